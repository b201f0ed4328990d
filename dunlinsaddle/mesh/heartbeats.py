"""Heartbeat messages of the local target, and the check that rejects stale ones."""

from enum import StrEnum
from typing import NamedTuple

#: Deregistered ids that are remembered, the latest ones: a bound on memory. A target gets a new id
#: with each deployment, and late heartbeats arrive within minutes.
MAX_DEREGISTERED_IDS = 1000


class Heartbeat(NamedTuple):
    """A periodic report in which a target announces itself and its state."""

    target_id: str
    service: str
    address: tuple[str, int]
    slots: int
    draining: bool
    warmup_seconds: float  #: for how long the target is still slow after its start
    started_at_ms: int  #: Unix milliseconds, 0 if the target does not report its start time
    sequence: int  #: increases with each heartbeat of one incarnation


class Deregistration(NamedTuple):
    """A report in which a target announces that it terminates."""

    target_id: str


class Staleness(StrEnum):
    """Why a heartbeat is acknowledged but not applied."""

    OLD_SEQUENCE = 'old-sequence'  #: a later heartbeat of the same start was applied
    FORMER_START = 'former-start'  #: the current target started later
    DEREGISTERED = 'deregistered'  #: its start was deregistered


class HeartbeatTracker:
    """Tracks the current incarnation and rejects stale heartbeats.

    A network partition can delay a heartbeat until its sender has crashed and the next
    incarnation has announced itself at the same address. If the delayed heartbeat were
    accepted, requests would be sent to an incarnation that no longer exists.
    """

    def __init__(self) -> None:
        self.current: Heartbeat | None = None
        self._deregistered: dict[str, int] = {}  #: start time of each deregistered incarnation

    def accept(self, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat; return False if it is stale and was ignored."""
        if self.find_staleness(heartbeat) is not None:
            return False
        self.current = heartbeat
        return True

    def find_staleness(self, heartbeat: Heartbeat) -> Staleness | None:
        """Return why a heartbeat is stale, None if it is to be applied."""
        if self._is_deregistered(heartbeat):
            return Staleness.DEREGISTERED
        current = self.current
        if current is None or _is_newer(heartbeat, current):
            return None
        if (heartbeat.target_id, heartbeat.started_at_ms) == (
            current.target_id,
            current.started_at_ms,
        ):
            return Staleness.OLD_SEQUENCE
        return Staleness.FORMER_START

    def deregister(self, deregistration: Deregistration) -> bool:
        """Record a deregistration; return whether it is from the current incarnation."""
        current = self.current
        if current is None or current.target_id != deregistration.target_id:
            started_at_ms = self._deregistered.get(deregistration.target_id, 0)
            self._record_deregistered(deregistration.target_id, started_at_ms)
            return False
        self._record_deregistered(current.target_id, current.started_at_ms)
        self.current = None
        return True

    def _record_deregistered(self, target_id: str, started_at_ms: int) -> None:
        self._deregistered.pop(target_id, None)
        self._deregistered[target_id] = started_at_ms
        if len(self._deregistered) > MAX_DEREGISTERED_IDS:
            del self._deregistered[next(iter(self._deregistered))]

    def _is_deregistered(self, heartbeat: Heartbeat) -> bool:
        started_at_ms = self._deregistered.get(heartbeat.target_id)
        return started_at_ms is not None and heartbeat.started_at_ms <= started_at_ms


def _is_newer(heartbeat: Heartbeat, current: Heartbeat) -> bool:
    if heartbeat.target_id == current.target_id:
        return (heartbeat.started_at_ms, heartbeat.sequence) > (
            current.started_at_ms,
            current.sequence,
        )
    # If neither incarnation reports its start time, the one received later is the newer.
    return heartbeat.started_at_ms >= current.started_at_ms
