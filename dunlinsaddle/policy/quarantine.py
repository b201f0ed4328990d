"""Requests that crash targets: suspected after a crash, refused once a trial has confirmed it."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated, NamedTuple

import msgspec
import xxhash
from msgspec import Meta

from dunlinsaddle.errors import ErrorKind, Failure

SUSPECT_SECONDS = 120.0  #: longer than callers keep resending a request
#: Time for which a request is refused after the first trial that crashed its target, and the factor
#: for each further one. Few trials are left to a request that crashes whatever runs it.
FIRST_REFUSAL_SECONDS = 30.0
REFUSAL_GROWTH = 4.0
QUARANTINE_SECONDS = 900.0  #: as long as idempotency keys are remembered by default
MAX_FINGERPRINTS = 10_000  #: requests with a record; bounds memory
MAX_CRASHES = 8  #: crashes that are kept for a request; more do not change what is decided
MAX_CLEARED = 32  #: cleared crashes that are kept for a request, whose reports may still arrive
#: Trials that crash before a request is refused as the cause, if equal ones completed before the
#: crashes. Then it is unlikely, and one trial may meet a crash with another cause.
TRIALS_AFTER_COMPLETION = 2
#: Time between these trials: most crashes with a common cause come within it.
PAUSE_SECONDS = 2.0
MAX_COMPLETED = 4096  #: latest completed requests that a node remembers
MAX_TOLD_REQUESTS = 32  #: that a node which starts is told of; the message has more to carry
UNNAMED_CRASH = 0  #: stands for the crashes that a node of an older build reports by number only


class Crash(NamedTuple):
    """The end of one start of one target, which was running the request."""

    name: int  #: the same in all reports of this crash
    was_trial: bool = False  #: the request ran beside no other suspect
    completed_before: bool = False  #: the target had completed an equal request


class CrashedRequest(msgspec.Struct, array_like=True, frozen=True):
    """Crashes of targets that ran a request, as they are told to a node that starts."""

    fingerprint: int
    crashes: Annotated[list[Crash], Meta(max_length=MAX_CRASHES)]
    age: Annotated[float, Meta(ge=0, le=QUARANTINE_SECONDS)]  #: seconds since the latest


class _Record:
    """The crashes of a request. A cleared crash stays cleared, however often it is reported."""

    __slots__ = ('changed_at', 'cleared', 'crashes')

    def __init__(self, now: float) -> None:
        self.crashes: dict[int, Crash] = {}
        self.cleared: dict[int, None] = {}
        self.changed_at = now  #: when the latest crash was learned of

    @property
    def trial_count(self) -> int:
        return sum(crash.was_trial for crash in self.crashes.values())

    @property
    def missing_trials(self) -> int:
        """Trials that have to crash before the request counts as the cause; 0 or less: it does."""
        completed_before = any(crash.completed_before for crash in self.crashes.values())
        return (TRIALS_AFTER_COMPLETION if completed_before else 1) - self.trial_count

    @property
    def expires_at(self) -> float:
        return self.changed_at + (QUARANTINE_SECONDS if self.trial_count else SUSPECT_SECONDS)

    @property
    def refused_until(self) -> float:
        if not self.trial_count:
            return self.changed_at
        if self.missing_trials > 0:
            return self.changed_at + PAUSE_SECONDS
        seconds = FIRST_REFUSAL_SECONDS * REFUSAL_GROWTH**-self.missing_trials
        return self.changed_at + min(seconds, QUARANTINE_SECONDS)

    def add(self, now: float, crash: Crash) -> bool:
        """Add a crash; return whether it changes what is known."""
        if crash.name in self.cleared:
            return False
        known = self.crashes.get(crash.name, Crash(crash.name))
        merged = Crash(
            crash.name,
            known.was_trial or crash.was_trial,
            known.completed_before or crash.completed_before,
        )
        if self.crashes.get(crash.name) == merged:
            return False
        self.crashes[crash.name] = merged
        self.changed_at = max(self.changed_at, now)
        if len(self.crashes) > MAX_CRASHES:
            # Those that were no trials first: they decide nothing beside one that was.
            del self.crashes[min(self.crashes, key=lambda name: self.crashes[name].was_trial)]
        return True

    def clear(self, names: Iterable[int]) -> None:
        for name in names:
            self.crashes.pop(name, None)
            self.cleared[name] = None
            if len(self.cleared) > MAX_CLEARED:
                del self.cleared[next(iter(self.cleared))]


@dataclass(frozen=True, slots=True)
class NotSuspected:
    """No target is known to have crashed because of the request."""


@dataclass(frozen=True, slots=True)
class Suspected:
    """A target crashed while it ran this request: run it as a trial, beside no other suspect."""


@dataclass(frozen=True, slots=True)
class Paused:
    """A trial crashed its target, but equal requests completed before: wait for the next trial."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class Quarantined:
    """A target crashed while it ran the request as a trial: refuse it for a while."""

    failure: Failure


QuarantineState = NotSuspected | Suspected | Paused | Quarantined


class Quarantine:
    """Knows the crashes of targets by the fingerprint of each request that they ran.

    Guards against two failures: a request that crashes each target that runs it would take all of
    them, as its caller sends it again; and requests that merely ran at a target that crashed would
    be refused, as many callers may send equal ones.

    A crash makes suspects of all requests in progress. It has a name, so that it counts once,
    however many equal requests it ended and however often it is told. A suspect runs as a trial:
    one at a time, beside no other suspect. Only a crash during a trial confirms it; two are needed
    if an equal request completed before, as all targets may crash of another cause. Any completion
    of an equal request, at any target, takes the known crashes back: a request that crashes
    whatever runs it never completes. After a confirmed crash the next trial has to wait, four times
    as long each time.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[int, _Record] = OrderedDict()
        self._completed: OrderedDict[int, None] = OrderedDict()

    def check(self, now: float, fingerprint: int) -> QuarantineState:
        """Return whether a request may be run, and under which restriction."""
        record = self._find(now, fingerprint)
        if record is None:
            return NotSuspected()
        if now >= record.refused_until:
            return Suspected()
        count = len(record.crashes)
        if record.missing_trials > 0:
            seconds = record.refused_until - now
            return Paused(Failure(ErrorKind.OVERLOADED, 'its target died in a trial', seconds))
        detail = (
            f'{count} targets died while they ran this request, {record.trial_count} of a trial'
        )
        return Quarantined(Failure(ErrorKind.QUARANTINED, detail))

    def crashes(self, now: float, fingerprint: int) -> tuple[Crash, ...]:
        """Return the crashes of a request that no completion has taken back."""
        record = self._find(now, fingerprint)
        return () if record is None else tuple(record.crashes.values())

    def record(self, now: float, fingerprint: int, crashes: Iterable[Crash]) -> bool:
        """Record crashes, seen here or reported; return whether any changes what is known.

        Those that are known or were taken back change nothing.
        """
        crashes = tuple(crashes)
        if not crashes:
            return False
        record = self._get_or_add(now, fingerprint)
        if record.expires_at <= now:
            record.crashes.clear()
        changes = [record.add(now, crash) for crash in crashes]
        return any(changes)

    def record_completion(self, fingerprint: int) -> None:
        """Remember that the local target completed a request."""
        self._completed[fingerprint] = None
        self._completed.move_to_end(fingerprint)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)

    def has_completed(self, fingerprint: int) -> bool:
        """Return whether the local target is known to have completed an equal request."""
        return fingerprint in self._completed

    def clear(self, now: float, fingerprint: int) -> tuple[int, ...]:
        """Take all known crashes back, as an equal request completed; return their names."""
        names = tuple(crash.name for crash in self.crashes(now, fingerprint))
        if names:
            self._records[fingerprint].clear(names)
        return names

    def merge_cleared(self, now: float, fingerprint: int, names: Iterable[int]) -> None:
        """Take back crashes that another node has cleared, also if their report is still to come.

        Crashes that the other node did not know of stay.
        """
        self._get_or_add(now, fingerprint).clear(names)

    def snapshot(self, now: float) -> list[CrashedRequest]:
        """Return the crashes that are not taken back, confirmed and late ones first."""
        known = [
            (fingerprint, record)
            for fingerprint, record in self._records.items()
            if record.crashes and record.expires_at > now
        ]
        known.sort(key=lambda entry: (not entry[1].trial_count, -entry[1].changed_at))
        return [
            CrashedRequest(fingerprint, list(record.crashes.values()), now - record.changed_at)
            for fingerprint, record in known[:MAX_TOLD_REQUESTS]
        ]

    def restore(self, now: float, requests: Iterable[CrashedRequest], age: float) -> int:
        """Record what a peer knew ``age`` seconds ago; return the number of requests."""
        requests = tuple(requests)
        for request in requests:
            self.record(now - request.age - age, request.fingerprint, request.crashes)
        return len(requests)

    def _get_or_add(self, now: float, fingerprint: int) -> _Record:
        record = self._records.get(fingerprint)
        if record is None:
            record = self._records[fingerprint] = _Record(now)
            if len(self._records) > MAX_FINGERPRINTS:
                self._records.popitem(last=False)
        self._records.move_to_end(fingerprint)
        return record

    def _find(self, now: float, fingerprint: int) -> _Record | None:
        """Return the record of a request with crashes that count, or None."""
        record = self._records.get(fingerprint)
        if record is None or not record.crashes or record.expires_at <= now:
            return None
        return record

    def __len__(self) -> int:
        return len(self._records)


def crashes_by_number(crash_count: int) -> tuple[Crash, ...]:
    """Return what is known from the number that nodes of older builds send in place of names.

    They count each request that a crash ended, so that two are no proof.
    """
    return (Crash(UNNAMED_CRASH),) if crash_count > 0 else ()


def number_of_crashes(crashes: Iterable[Crash]) -> int:
    """Return the number for nodes of older builds: they refuse a request from two on."""
    crashes = tuple(crashes)
    return 2 if any(crash.was_trial for crash in crashes) else min(len(crashes), 1)


def choose_trial_instance(fingerprint: int, instances: Iterable[str]) -> str | None:
    """Return the instance at which a suspected request is tried; None if there is none.

    All nodes choose the same one for a request, so that a request that crashes its targets takes
    one in a trial, although several callers may send it through several nodes at once. Requests
    with different fingerprints are tried at different targets.
    """
    return max(instances, key=lambda name: _rank(fingerprint, name), default=None)


def _rank(fingerprint: int, instance: str) -> int:
    return xxhash.xxh64_intdigest(instance.encode(), seed=fingerprint)
