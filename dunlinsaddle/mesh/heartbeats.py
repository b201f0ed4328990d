"""What the target beside a node says of itself, and which incarnation of it holds."""

from typing import NamedTuple


class Heartbeat(NamedTuple):
    """One sign of life of a target."""

    target_id: str
    service: str
    address: tuple[str, int]
    slots: int
    draining: bool
    warmup_seconds: float  #: seconds for which it stays slow after its start
    started_at_ms: int  #: Unix milliseconds, 0 if it does not say
    sequence: int  #: grows with each heartbeat of one incarnation


class Deregistration(NamedTuple):
    """The target says that it goes."""

    target_id: str


class HeartbeatTracker:
    """Decides which heartbeats count: late ones and those of older incarnations do not.

    A heartbeat held up by a cut may arrive after its sender has crashed and the next
    incarnation has announced itself at the same address. Taken as new, it would point
    requests at an incarnation that is gone.
    """

    def __init__(self) -> None:
        self.current: Heartbeat | None = None
        self._left: dict[str, int] = {}  #: start of each incarnation that has said farewell

    def accept(self, beat: Heartbeat) -> bool:
        """Take a heartbeat; say whether it is news on the present incarnation."""
        if self._has_left(beat):
            return False
        held = self.current
        if held is not None and not _newer(beat, held):
            return False
        self.current = beat
        return True

    def deregister(self, farewell: Deregistration) -> bool:
        """Take a farewell; say whether it is that of the present incarnation."""
        held = self.current
        if held is None or held.target_id != farewell.target_id:
            self._left.setdefault(farewell.target_id, 0)
            return False
        self._left[held.target_id] = held.started_at_ms
        self.current = None
        return True

    def _has_left(self, beat: Heartbeat) -> bool:
        left = self._left.get(beat.target_id)
        return left is not None and beat.started_at_ms <= left


def _newer(beat: Heartbeat, held: Heartbeat) -> bool:
    if beat.target_id == held.target_id:
        return (beat.started_at_ms, beat.sequence) > (held.started_at_ms, held.sequence)
    # Two incarnations that do not say when they started: the one heard later is the newer.
    return beat.started_at_ms >= held.started_at_ms
