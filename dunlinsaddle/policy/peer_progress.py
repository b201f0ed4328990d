"""Decides whether a peer that has not taken all data is slow, has gone, or takes nothing at all."""

import math
from enum import Enum, auto
from typing import NamedTuple

#: Silence after which a peer that owes an acknowledgement has gone. With the interval of the watch
#: it is found within 3 s, as by the kernel's own timeout.
SILENT_SECONDS = 2.5
#: Time without progress that any reader may take. Most pauses are shorter; a longer one is borne
#: only while the data is still of use.
MIN_STALL_SECONDS = 3.0
DEFAULT_MAX_STALL_SECONDS = 15.0  #: time without progress after which the data is given up


class SendState(NamedTuple):
    """What is known of the data that was written to a connection."""

    undelivered: int  #: bytes that the peer has not acknowledged
    delivered: int = 0  #: bytes that it has acknowledged; 0 if the kernel does not say
    #: Seconds since anything that it sent; None if the kernel does not say.
    silent_seconds: float | None = None
    is_probe_unanswered: bool = False  #: the kernel has asked whether its window is still closed
    is_in_flight: bool = False  #: data was sent that its window has room for

    @property
    def owes_ack(self) -> bool:
        """Whether something was sent that a live peer acknowledges at once."""
        return self.is_probe_unanswered or self.is_in_flight


class Verdict(Enum):
    """What to do with a connection."""

    WAIT = auto()
    DELIVERED = auto()  #: there is nothing to watch
    SLOW = (
        auto()
    )  #: the peer is alive: the kernel must not end the connection for its closed window
    GONE = auto()  #: end it: the peer does not acknowledge
    STALLED = auto()  #: end it: the peer takes nothing, though it is alive


class PeerProgress:
    """Follows how a peer takes the data of one connection.

    A peer that reads slowly closes its receive window, and so looks like one that has gone to a
    timeout for unacknowledged data. But it still acknowledges the probes of its window. These
    become rare while the window stays closed, so that silence alone proves nothing: only silence
    after something that a live peer acknowledges at once. Nor does a packet of the peer prove that
    it gets ours, if data is in flight that it does not acknowledge.
    """

    def __init__(self, now: float) -> None:
        self.is_slow = False  #: the kernel's timeout was lifted, so that this class must replace it
        self.looks = 0
        self._started_at = self._progressed_at = now
        self._in_flight_since = math.inf  #: without an acknowledgement of any of it
        self._latest: SendState | None = None

    def judge(
        self, now: float, state: SendState, useful_until: float, max_stall_seconds: float
    ) -> Verdict:
        """Return what to do, given the latest state.

        ``useful_until`` is the time until which the data is of use to the peer.
        """
        previous, self._latest = self._latest, state
        self.looks += 1
        if not state.undelivered:
            return Verdict.DELIVERED
        has_progressed = previous is None or _has_progressed(previous, state)
        if has_progressed:
            self._progressed_at = now
        if not state.is_in_flight:
            self._in_flight_since = math.inf
        elif has_progressed or self._in_flight_since == math.inf:
            self._in_flight_since = now
        if self.is_slow and previous is not None and self._has_gone(now, previous, state):
            return Verdict.GONE
        stalled_seconds = now - self._progressed_at
        is_useful = now < useful_until and stalled_seconds < max_stall_seconds
        if stalled_seconds >= MIN_STALL_SECONDS and not is_useful:
            return Verdict.STALLED
        if previous is not None and not self.is_slow and self._has_closed_window(now, state):
            self.is_slow = True
            return Verdict.SLOW
        return Verdict.WAIT

    def _has_closed_window(self, now: float, state: SendState) -> bool:
        """Return whether the peer is alive, and takes no more data for now."""
        if state.silent_seconds is None or state.is_in_flight:
            return False
        return state.silent_seconds < now - self._started_at

    def _has_gone(self, now: float, previous: SendState, state: SendState) -> bool:
        if now - self._in_flight_since >= SILENT_SECONDS:
            return True
        silent_seconds = math.inf if state.silent_seconds is None else state.silent_seconds
        # An acknowledgement may be under way at one look, not at two.
        return silent_seconds >= SILENT_SECONDS and previous.owes_ack and state.owes_ack


def _has_progressed(previous: SendState, state: SendState) -> bool:
    return state.delivered > previous.delivered or state.undelivered < previous.undelivered
