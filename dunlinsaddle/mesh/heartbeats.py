"""Heartbeat messages of the local target, and the decision which of them to apply."""

from enum import StrEnum
from typing import NamedTuple

#: Starts that are remembered of those that left, and of those that were replaced: a bound on
#: memory. Late heartbeats arrive within minutes.
MAX_FORMER_STARTS = 1000


class Start(NamedTuple):
    """Identifies one start of a target, which may start again under its id."""

    target_id: str
    started_at_ms: int  #: by the target's clock, which may be set back between two starts


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

    @property
    def start(self) -> Start:
        """The start of the target that sent this heartbeat."""
        return Start(self.target_id, self.started_at_ms)


class Deregistration(NamedTuple):
    """A report in which a target announces that it terminates."""

    target_id: str


class Verdict(StrEnum):
    """What to do with a heartbeat."""

    APPLY = 'apply'
    #: Apply it if the target confirms that it serves.
    APPLY_IF_SERVING = 'apply-if-serving'
    #: Apply it unless the target says that it serves.
    APPLY_UNLESS_SERVING = 'apply-unless-serving'
    OLD_SEQUENCE = 'old-sequence'  #: ignore it: a later heartbeat of its start was applied
    FORMER_START = 'former-start'  #: ignore it: another start has replaced its start
    GONE = 'gone'  #: ignore it: its start gets no work, and leaves


class HeartbeatTracker:
    """Tracks the current start of the target and decides which heartbeats to apply.

    A network partition can delay a heartbeat until its sender has left or crashed and the next
    incarnation has announced itself at the same address. Neither sequence numbers nor start times
    tell such a heartbeat from a fresh one in all cases: both begin anew with the target, its clock
    may have been set back, and a node that was restarted has seen none. If a late heartbeat were
    applied, requests would be sent to a target that has left; if a fresh one were ignored, the node
    would miss that the target leaves.

    So the two directions differ. A departure is applied without proof, as a live target returns
    within seconds. A start that is not the current one, or that has left, gets work only after
    the target itself has confirmed that it serves.
    """

    def __init__(self, *, is_first_start: bool = False) -> None:
        self.current: Heartbeat | None = None
        #: Whether the whole deployment starts now and no target has been heard yet: then there is
        #: no departure that a restart of this node could have forgotten.
        self._is_first = is_first_start
        self._replaced: dict[Start, None] = {}
        self._departed: dict[str, int] = {}  #: start time of each departed start, by id

    def judge(self, heartbeat: Heartbeat) -> Verdict:
        """Return what to do with a heartbeat."""
        if heartbeat.draining:
            return self._judge_departure(heartbeat)
        current = self.current
        if current is None or current.draining:
            return Verdict.APPLY if self._is_first else Verdict.APPLY_IF_SERVING
        if heartbeat.start == current.start:
            is_newer = heartbeat.sequence > current.sequence
            return Verdict.APPLY if is_newer else Verdict.OLD_SEQUENCE
        if heartbeat.start in self._replaced:
            return Verdict.FORMER_START
        return Verdict.APPLY_IF_SERVING

    def _judge_departure(self, heartbeat: Heartbeat) -> Verdict:
        current = self.current
        if current is None:
            return Verdict.GONE if self._is_departed(heartbeat) else Verdict.APPLY
        if heartbeat.target_id != current.target_id:
            # The target at the address refuses requests that name the current one.
            return Verdict.GONE
        if heartbeat.started_at_ms >= current.started_at_ms:
            return Verdict.APPLY
        return Verdict.APPLY_UNLESS_SERVING

    def apply(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat of the current start, or one that begins another start."""
        current = self.current
        self._is_first = False
        self._departed.pop(heartbeat.target_id, None)
        self._replaced.pop(heartbeat.start, None)
        if current is not None and current.start == heartbeat.start and heartbeat.draining:
            # A departure is final, also if an earlier heartbeat arrives after it.
            heartbeat = heartbeat._replace(sequence=max(heartbeat.sequence, current.sequence))
        elif current is not None and current.start != heartbeat.start:
            self._replaced[current.start] = None
            _discard_first(self._replaced)
        self.current = heartbeat

    def depart(self, heartbeat: Heartbeat) -> None:
        """Record that a start leaves that is not the current one."""
        self._record_departed(heartbeat.target_id, heartbeat.started_at_ms)

    def deregister(self, deregistration: Deregistration) -> bool:
        """Record a deregistration; return whether it is from the current incarnation."""
        current = self.current
        if current is None or current.target_id != deregistration.target_id:
            started_at_ms = self._departed.get(deregistration.target_id, 0)
            self._record_departed(deregistration.target_id, started_at_ms)
            return False
        self._record_departed(current.target_id, current.started_at_ms)
        self.current = None
        return True

    def is_newer(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is newer than all that is known, by its own numbers.

        For targets that cannot be asked; see the class for the cases in which this is wrong.
        """
        current = self.current
        if self._is_departed(heartbeat):
            return False
        if current is None:
            return True
        if heartbeat.target_id == current.target_id:
            return (heartbeat.started_at_ms, heartbeat.sequence) > (
                current.started_at_ms,
                current.sequence,
            )
        # If neither incarnation reports its start time, the one received later is the newer.
        return heartbeat.started_at_ms >= current.started_at_ms

    def _record_departed(self, target_id: str, started_at_ms: int) -> None:
        self._is_first = False
        self._departed.pop(target_id, None)
        self._departed[target_id] = started_at_ms
        _discard_first(self._departed)

    def _is_departed(self, heartbeat: Heartbeat) -> bool:
        started_at_ms = self._departed.get(heartbeat.target_id)
        return started_at_ms is not None and heartbeat.started_at_ms <= started_at_ms


def _discard_first(starts: dict[Start, None] | dict[str, int]) -> None:
    if len(starts) > MAX_FORMER_STARTS:
        del starts[next(iter(starts))]  # type: ignore[arg-type]
