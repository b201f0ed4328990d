"""Requests that targets died of: suspected after one death, refused after the second."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from dunlinsaddle.errors import ErrorKind, Failure

DEATHS_TO_QUARANTINE = (
    2  #: targets that one request may kill: the first death names no one, the second does
)
SUSPECT_SECONDS = 120.0  #: seconds; by judgement, longer than callers go on sending one request
QUARANTINE_SECONDS = 900.0  #: seconds; as long as keys are remembered by default
MAX_FINGERPRINTS = 10_000  #: requests held: a bound on memory


class _Record(NamedTuple):
    deaths: int
    until: float


@dataclass(frozen=True, slots=True)
class NotSuspected:
    """No target is known to have died of the request."""


@dataclass(frozen=True, slots=True)
class Suspected:
    """A target died while it ran the request, among others: run it beside no other suspect."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Two targets died of it: it is refused for good."""

    failure: Failure


QuarantineState = NotSuspected | Suspected | Quarantined


class Quarantine:
    """Deaths of targets by the fingerprint of the requests that they were running.

    A death names all requests in progress, one of them guilty. The suspects then run one at
    a time per target, so the second death names the guilty one alone; the innocent clear
    themselves by completing.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[int, _Record] = OrderedDict()

    def check(self, now: float, fingerprint: int) -> QuarantineState:
        """Say how a request may be run."""
        deaths = self.death_count(now, fingerprint)
        if not deaths:
            return NotSuspected()
        if deaths < DEATHS_TO_QUARANTINE:
            return Suspected()
        detail = f'{deaths} targets died while they ran this request'
        return Quarantined(Failure(ErrorKind.QUARANTINED, detail))

    def death_count(self, now: float, fingerprint: int) -> int:
        """Give the number of deaths that count against a request."""
        record = self._records.get(fingerprint)
        if record is None or record.until <= now:
            return 0
        return record.deaths

    def record_death(self, now: float, fingerprint: int) -> int:
        """Note that a target died while it ran the request; gives the deaths so far."""
        return self.merge_deaths(now, fingerprint, self.death_count(now, fingerprint) + 1)

    def merge_deaths(self, now: float, fingerprint: int, deaths: int) -> int:
        """Take what another node says; the higher number stays. Gives the deaths known."""
        if deaths <= 0:
            return self.death_count(now, fingerprint)
        known = max(min(deaths, DEATHS_TO_QUARANTINE), self.death_count(now, fingerprint))
        seconds = QUARANTINE_SECONDS if known >= DEATHS_TO_QUARANTINE else SUSPECT_SECONDS
        self._records[fingerprint] = _Record(known, now + seconds)
        self._records.move_to_end(fingerprint)
        if len(self._records) > MAX_FINGERPRINTS:
            self._records.popitem(last=False)
        return known

    def record_completion(self, now: float, fingerprint: int) -> None:
        """Note that a request ran to its end: it did not kill its target."""
        if self.death_count(now, fingerprint) < DEATHS_TO_QUARANTINE:
            self._records.pop(fingerprint, None)

    def __len__(self) -> int:
        return len(self._records)
