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
    #: Seconds since its latest acknowledgement; None if the kernel does not say.
    silent_seconds: float | None = None
    owes_ack: bool = False  #: data, or a probe of its closed window, is not acknowledged


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
    after something that a live peer acknowledges at once.
    """

    def __init__(self, now: float) -> None:
        self.is_slow = False  #: the kernel's timeout was lifted, so that this class must replace it
        self.looks = 0
        self._latest: SendState | None = None
        self._progressed_at = now

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
        if previous is None or self._has_progressed(previous, state):
            self._progressed_at = now
        if self._has_gone(previous, state):
            return Verdict.GONE
        stalled_seconds = now - self._progressed_at
        is_useful = now < useful_until and stalled_seconds < max_stall_seconds
        if stalled_seconds >= MIN_STALL_SECONDS and not is_useful:
            return Verdict.STALLED
        if previous is not None and not self.is_slow and _is_alive(state):
            self.is_slow = True
            return Verdict.SLOW
        return Verdict.WAIT

    @staticmethod
    def _has_progressed(previous: SendState, state: SendState) -> bool:
        return state.delivered > previous.delivered or state.undelivered < previous.undelivered

    def _has_gone(self, previous: SendState | None, state: SendState) -> bool:
        if not self.is_slow or previous is None:
            return False
        silent_seconds = math.inf if state.silent_seconds is None else state.silent_seconds
        # An acknowledgement may be under way at one look, not at two.
        return silent_seconds >= SILENT_SECONDS and previous.owes_ack and state.owes_ack


def _is_alive(state: SendState) -> bool:
    return state.silent_seconds is not None and state.silent_seconds < SILENT_SECONDS
