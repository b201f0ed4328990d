"""The kept connections to one address."""

import asyncio

from dunlinsaddle.calls.connection import ClientConnection
from dunlinsaddle.settings import Address

MAX_IDLE_CONNECTIONS = 64  #: connections kept to one address: more would fill the target's places
#: A kept connection is used again only this long after its last answer, in seconds. Shorter
#: than the idle timeout of common servers, so that a request seldom meets their closing.
MAX_REUSE_IDLE_SECONDS = 2.0
PRUNE_MARGIN_SECONDS = (
    0.01  #: seconds by which the timer comes later, to find the connection expired
)
MIN_OVERDUE_SECONDS = 1.0  #: seconds; by judgement
OVERDUE_FACTOR = 4.0  #: times the slowest recent answer from which one is late
SLOWEST_DECAY = 0.98  #: what one answer leaves of the slowest: half after 34


class ConnectionPool:
    """The kept connections to one address, and how long its answers take."""

    def __init__(self, address: Address) -> None:
        self.host = str(address).encode()
        self.idle: list[ClientConnection] = []
        self.timer: asyncio.TimerHandle | None = None
        self.slowest = 0.0
        self.answered_at = 0.0  #: when the latest request that was answered had been sent

    def take(self, within: float) -> ClientConnection | None:
        """Give the connection that was answered on last, if that is recent enough."""
        while self.idle and not self.idle[-1].reusable(MAX_REUSE_IDLE_SECONDS):
            self.idle.pop().transport.abort()
        if not self.idle or not self.idle[-1].reusable(within):
            return None
        return self.idle.pop()

    def _prune(self) -> None:
        """Close what will not be used again, the oldest first: it fills the target's places."""
        self.timer = None
        while self.idle and not self.idle[0].reusable(MAX_REUSE_IDLE_SECONDS):
            self.idle.pop(0).transport.abort()
        if self.idle:
            self._prune_after(self.idle[0])

    def _prune_after(self, conn: ClientConnection) -> None:
        at = conn.answered_at + MAX_REUSE_IDLE_SECONDS + PRUNE_MARGIN_SECONDS
        self.timer = conn.loop.call_at(at, self._prune)

    def keep(self, conn: ClientConnection, sent_at: float) -> None:
        """Keep a connection that has just been answered on, and note the time it took."""
        if conn.closed or conn.transport.is_closing():
            return
        took = conn.loop.time() - sent_at
        self.slowest = max(self.slowest * SLOWEST_DECAY, took)
        self.answered_at = max(self.answered_at, sent_at)
        if len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(conn)
            if self.timer is None:
                self._prune_after(conn)
        else:
            conn.transport.abort()

    def drop_idle(self) -> None:
        """Trust no kept connection any more."""
        idle, self.idle = self.idle, []
        for conn in idle:
            conn.transport.abort()

    def overdue_at(self, sent_at: float) -> float:
        """Give the time from which an answer is late against the usual."""
        return sent_at + max(MIN_OVERDUE_SECONDS, OVERDUE_FACTOR * self.slowest)
