"""HTTP/1.1 client with kept connections, which tells what was never sent from what was lost."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from dunlinsaddle.calls.connection import (
    Answered,
    ClientConnection,
    ResponseMatcher,
    SendResult,
    match_any_response,
)
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.messages import Lost, NotSent
from dunlinsaddle.calls.pool import MAX_REUSE_IDLE_SECONDS, ConnectionPool
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.settings import Address

CONNECT_TIMEOUT_SECONDS = 1.0  #: seconds; a live target takes a connection within milliseconds
#: Of an answer where nothing else is said: a bound on memory, by judgement.
DEFAULT_MAX_BODY_BYTES = 1 << 20
#: The same for a request that must not be sent twice: were it lost, it could not be repeated.
NON_IDEMPOTENT_REUSE_SECONDS = 0.25


class _Sending(NamedTuple):
    """One request on its way."""

    address: Address
    req: HttpRequest
    deadline: float
    allow_resend: Callable[[], bool] | None
    matches_request: ResponseMatcher


class HttpClient(OnLoop):
    """Sends requests, each over a connection of its own, and keeps those that stay whole.

    ``allow_close_delimited`` accepts responses whose body ends with the connection, for servers
    that guarantee to reset the connection of an incomplete response.
    """

    def __init__(
        self, max_body_bytes: int = DEFAULT_MAX_BODY_BYTES, *, allow_close_delimited: bool = False
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.allow_close_delimited = allow_close_delimited
        self._pools: dict[Address, ConnectionPool] = {}

    async def send(
        self,
        address: Address,
        req: HttpRequest,
        timeout: float,
        *,
        allow_resend: Callable[[], bool] | None = None,
        matches_request: ResponseMatcher = match_any_response,
    ) -> SendResult:
        """Send one request and wait at most ``timeout`` seconds for the whole response.

        Pass ``allow_resend`` for an idempotent request. It is called when the response on a
        reused connection is overdue while later requests were answered, and returns whether to
        send the request again on a new connection; the first response counts.
        ``matches_request`` checks the headers of a response: responses to other requests are
        skipped.
        """
        deadline = self.now() + timeout
        sending = _Sending(address, req, deadline, allow_resend, matches_request)
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(address)
        conn = pool.take(MAX_REUSE_IDLE_SECONDS if allow_resend else NON_IDEMPOTENT_REUSE_SECONDS)
        if conn is None:
            return await self._send_anew(sending, pool)
        return await self._send_on(conn, sending, pool)

    async def _send_anew(self, sending: _Sending, pool: ConnectionPool) -> SendResult:
        loop = self.loop
        address = sending.address
        try:
            async with asyncio.timeout_at(
                min(loop.time() + CONNECT_TIMEOUT_SECONDS, sending.deadline)
            ):
                _, conn = await loop.create_connection(
                    lambda: ClientConnection(
                        self.max_body_bytes, allow_close_delimited=self.allow_close_delimited
                    ),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as exc:
            return NotSent(f'{address}: {exc or "no connection in time"}')
        return await self._send_on(conn, sending, pool)

    async def _send_on(
        self, conn: ClientConnection, sending: _Sending, pool: ConnectionPool
    ) -> SendResult:
        if conn.loop.time() >= sending.deadline:
            conn.transport.abort()
            return NotSent('the deadline passed before it was sent')
        try:
            fut = conn.send(sending.req, pool.host, sending.matches_request)
        except ValueError as exc:
            conn.transport.abort()
            return NotSent(f'it cannot be written as HTTP: {exc}')
        return await self._wait(conn, fut, sending, pool)

    async def _wait(
        self,
        conn: ClientConnection,
        fut: 'asyncio.Future[SendResult]',
        sending: _Sending,
        pool: ConnectionPool,
    ) -> SendResult:
        loop = conn.loop
        sent_at = loop.time()
        overdue = pool.overdue_at(sent_at)
        if sending.allow_resend is not None and conn.answers and overdue < sending.deadline:
            # One timer at a time: nearly all calls end before either.
            conn.timer = loop.call_at(overdue, self._check_overdue, conn, sending, pool, sent_at)
        else:
            conn.timer = loop.call_at(sending.deadline, self._expire, pool, conn)
        try:
            exchange = await fut
        except asyncio.CancelledError:
            # Closing is how the other side hears that nobody waits any more.
            conn.transport.abort()
            raise
        finally:
            conn.timer.cancel()
            if conn.repeat is not None:
                conn.repeat.cancel()
        if isinstance(exchange, Answered):
            pool.keep(conn, sent_at)
        return exchange

    async def can_connect(self, address: Address) -> bool:
        """Say whether a fresh connection can be opened."""
        loop = self.loop
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                transport, _ = await loop.create_connection(
                    asyncio.Protocol, address.host, address.port
                )
        except (OSError, TimeoutError):
            return False
        transport.close()
        return True

    def _expire(self, pool: ConnectionPool, conn: ClientConnection) -> None:
        if conn.answers:
            # What forgot this connection may have forgotten the others of its age too.
            pool.drop_idle()
        conn.drop(Lost('no answer in time', ErrorKind.DEADLINE_EXCEEDED))

    def _check_overdue(
        self, conn: ClientConnection, sending: _Sending, pool: ConnectionPool, sent_at: float
    ) -> None:
        # Later requests were answered, this one was not: either it is slow or its connection
        # is lost, and nothing seen from here tells which. Both get an answer if it is sent
        # once more over a new connection while the old one is still listened to.
        assert sending.allow_resend is not None
        conn.timer = conn.loop.call_at(sending.deadline, self._expire, pool, conn)
        if pool.answered_at > sent_at and sending.allow_resend():
            pool.drop_idle()
            conn.repeat = conn.loop.create_task(self._repeat(conn, sending, pool))

    async def _repeat(
        self, conn: ClientConnection, sending: _Sending, pool: ConnectionPool
    ) -> None:
        exchange = await self._send_anew(sending, pool)
        if isinstance(exchange, Answered):
            conn.drop(exchange)

    def close(self) -> None:
        """Drop all idle connections."""
        for pool in self._pools.values():
            pool.drop_idle()
