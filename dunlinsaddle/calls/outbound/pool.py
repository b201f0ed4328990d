"""Pool of keep-alive connections to one address."""

import asyncio
import math

from dunlinsaddle.calls.outbound.connection import ClientConnection
from dunlinsaddle.settings import Address

MAX_IDLE_CONNECTIONS = 64  #: per address; more would use up the target's connection limit
#: How long after its last response an idle connection may be reused, in seconds. It is shorter
#: than the idle timeout of common servers, so that requests seldom race with the server's close.
MAX_REUSE_IDLE_SECONDS = 2.0
PRUNE_MARGIN_SECONDS = 0.01  #: delay of the timer, so that the connection has expired by then
MIN_OVERDUE_SECONDS = 1.0
OVERDUE_FACTOR = 4.0  #: a response is overdue after this multiple of the slowest recent time
SLOWEST_DECAY = 0.98  #: per response; the slowest time falls to half after 34 responses


class ConnectionPool:
    """Idle connections to one address, and the response times seen there."""

    def __init__(self, address: Address) -> None:
        self.host = str(address).encode()
        self.idle: list[ClientConnection] = []
        self.prune_timer: asyncio.TimerHandle | None = None
        self.slowest_seconds = 0.0
        self.last_answered_sent_at = 0.0  #: when the latest request that was answered was sent
        self._renewed_at = -math.inf

    def acquire(
        self, now: float, max_idle_seconds: float, request_id: str = ''
    ) -> ClientConnection | None:
        """Return the most recently used connection that may carry the request, or None.

        A connection that has been idle for longer than ``max_idle_seconds`` is not returned.
        """
        while self.idle and not self.idle[-1].is_reusable(MAX_REUSE_IDLE_SECONDS):
            self.idle.pop().transport.abort()
        for index in reversed(range(len(self.idle))):
            conn = self.idle[index]
            if now - conn.last_response_at > max_idle_seconds:
                return None
            if not conn.closed and conn.sent_requests.allows(now, request_id):
                return self.idle.pop(index)
        return None

    def _prune(self) -> None:
        """Close expired connections, oldest first: they count against the target's limit."""
        self.prune_timer = None
        while self.idle and not self.idle[0].is_reusable(MAX_REUSE_IDLE_SECONDS):
            self.idle.pop(0).transport.abort()
        if self.idle:
            self._schedule_prune(self.idle[0])

    def _schedule_prune(self, conn: ClientConnection) -> None:
        at = conn.last_response_at + MAX_REUSE_IDLE_SECONDS + PRUNE_MARGIN_SECONDS
        self.prune_timer = conn.loop.call_at(at, self._prune)

    def release(self, conn: ClientConnection, sent_at: float) -> None:
        """Return a connection to the pool after a response, and record the response time."""
        if conn.closed or conn.transport.is_closing():
            return
        response_seconds = conn.loop.time() - sent_at
        self.slowest_seconds = max(self.slowest_seconds * SLOWEST_DECAY, response_seconds)
        self.last_answered_sent_at = max(self.last_answered_sent_at, sent_at)
        if len(self.idle) < MAX_IDLE_CONNECTIONS and conn.opened_at > self._renewed_at:
            self.idle.append(conn)
            if self.prune_timer is None:
                self._schedule_prune(conn)
        else:
            conn.transport.abort()

    def abort_idle(self) -> None:
        """Abort all idle connections."""
        idle, self.idle = self.idle, []
        for conn in idle:
            conn.transport.abort()

    def renew(self, now: float) -> None:
        """Forget the server, which has restarted: reuse no connection opened before.

        Requests in progress keep their connection, as the new server may have received them.
        """
        self.abort_idle()
        self._renewed_at = now
        self.slowest_seconds = 0.0

    def overdue_at(self, sent_at: float) -> float:
        """Return when a response counts as overdue compared with recent response times."""
        return sent_at + max(MIN_OVERDUE_SECONDS, OVERDUE_FACTOR * self.slowest_seconds)
