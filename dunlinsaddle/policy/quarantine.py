"""Requests that crashed targets: suspected after one crash, refused after the second."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from dunlinsaddle.errors import ErrorKind, Failure

#: Crashes of targets before a request is refused. The first does not show which of the requests
#: in progress caused it; the second does, as suspects run one at a time.
CRASHES_TO_QUARANTINE = 2
SUSPECT_SECONDS = 120.0  #: longer than callers keep resending a request
QUARANTINE_SECONDS = 900.0  #: as long as idempotency keys are remembered by default
MAX_FINGERPRINTS = 10_000  #: requests with a record; bounds memory


class _Record(NamedTuple):
    crash_count: int
    until: float


@dataclass(frozen=True, slots=True)
class NotSuspected:
    """No target is known to have crashed while it ran the request."""


@dataclass(frozen=True, slots=True)
class Suspected:
    """A target crashed while it ran this and other requests: run it beside no other suspect."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Two targets crashed while they ran the request: refuse it, and do not send it again."""

    failure: Failure


QuarantineState = NotSuspected | Suspected | Quarantined


class Quarantine:
    """Counts crashes of targets by the fingerprint of each request that they ran.

    A crash makes suspects of all requests in progress, one of which caused it. A target runs
    only one suspect at a time, so the second crash identifies the cause. The others are cleared
    when they complete.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[int, _Record] = OrderedDict()

    def check(self, now: float, fingerprint: int) -> QuarantineState:
        """Return whether a request may be run, and under which restriction."""
        crash_count = self.crash_count(now, fingerprint)
        if not crash_count:
            return NotSuspected()
        if crash_count < CRASHES_TO_QUARANTINE:
            return Suspected()
        detail = f'{crash_count} targets died while they ran this request'
        return Quarantined(Failure(ErrorKind.QUARANTINED, detail))

    def crash_count(self, now: float, fingerprint: int) -> int:
        """Return the number of crashes recorded for a request."""
        record = self._records.get(fingerprint)
        if record is None or record.until <= now:
            return 0
        return record.crash_count

    def record_crash(self, now: float, fingerprint: int) -> int:
        """Record that a target crashed while it ran the request; return the new count."""
        return self.merge_crash_count(now, fingerprint, self.crash_count(now, fingerprint) + 1)

    def merge_crash_count(self, now: float, fingerprint: int, crash_count: int) -> int:
        """Merge the crash count of another node: the higher one is kept. Return the new count."""
        if crash_count <= 0:
            return self.crash_count(now, fingerprint)
        count = max(min(crash_count, CRASHES_TO_QUARANTINE), self.crash_count(now, fingerprint))
        seconds = QUARANTINE_SECONDS if count >= CRASHES_TO_QUARANTINE else SUSPECT_SECONDS
        self._records[fingerprint] = _Record(count, now + seconds)
        self._records.move_to_end(fingerprint)
        if len(self._records) > MAX_FINGERPRINTS:
            self._records.popitem(last=False)
        return count

    def record_completion(self, now: float, fingerprint: int) -> None:
        """Record that a request completed, so it did not crash its target."""
        if self.crash_count(now, fingerprint) < CRASHES_TO_QUARANTINE:
            self._records.pop(fingerprint, None)

    def __len__(self) -> int:
        return len(self._records)
