"""HTTP/1.1 client with kept connections, which tells what was never sent from what was lost."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from dunlinsaddle.calls.connection import Answered, Belongs, ClientConnection, Exchange, any_answer
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.messages import Lost, NotSent
from dunlinsaddle.calls.pool import REUSE_SECONDS, Pool
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.settings import Address

CONNECT_TIMEOUT = 1.0  #: seconds; a live target takes a connection within milliseconds
#: Of an answer where nothing else is said: a bound on memory, by judgement.
MAX_BODY_BYTES = 1 << 20
#: The same for a request that must not be sent twice: were it lost, it could not be repeated.
REUSE_ONCE_SECONDS = 0.25


class _Sending(NamedTuple):
    """One request on its way."""

    address: Address
    req: HttpRequest
    deadline: float
    may_repeat: Callable[[], bool] | None
    belongs: Belongs


class HttpClient(OnLoop):
    """Sends requests, each over a connection of its own, and keeps those that stay whole.

    ``open_ended`` accepts answers whose body ends with the connection, for servers that promise
    to reset a connection whose answer is not whole.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES, *, open_ended: bool = False) -> None:
        self.max_body_bytes = max_body_bytes
        self.open_ended = open_ended
        self._pools: dict[Address, Pool] = {}

    async def send(
        self,
        address: Address,
        req: HttpRequest,
        timeout: float,
        *,
        may_repeat: Callable[[], bool] | None = None,
        belongs: Belongs = any_answer,
    ) -> Exchange:
        """Send one request and wait at most ``timeout`` seconds for the whole response.

        ``may_repeat`` is given for an idempotent request. It is asked when the answer on a
        kept connection is overdue while others come, and says whether the request may go
        out once more, over a new connection; the first answer counts. ``belongs`` looks at an
        answer's headers: one that is to another request is passed over.
        """
        deadline = self.now() + timeout
        sending = _Sending(address, req, deadline, may_repeat, belongs)
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = Pool(address)
        conn = pool.take(REUSE_SECONDS if may_repeat else REUSE_ONCE_SECONDS)
        if conn is None:
            return await self._send_anew(sending, pool)
        return await self._send_on(conn, sending, pool)

    async def _send_anew(self, sending: _Sending, pool: Pool) -> Exchange:
        loop = self.loop
        address = sending.address
        try:
            async with asyncio.timeout_at(min(loop.time() + CONNECT_TIMEOUT, sending.deadline)):
                _, conn = await loop.create_connection(
                    lambda: ClientConnection(self.max_body_bytes, open_ended=self.open_ended),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as exc:
            return NotSent(f'{address}: {exc or "no connection in time"}')
        return await self._send_on(conn, sending, pool)

    async def _send_on(self, conn: ClientConnection, sending: _Sending, pool: Pool) -> Exchange:
        if conn.loop.time() >= sending.deadline:
            conn.transport.abort()
            return NotSent('the deadline passed before it was sent')
        try:
            fut = conn.send(sending.req, pool.host, sending.belongs)
        except ValueError as exc:
            conn.transport.abort()
            return NotSent(f'it cannot be written as HTTP: {exc}')
        return await self._wait(conn, fut, sending, pool)

    async def _wait(
        self, conn: ClientConnection, fut: 'asyncio.Future[Exchange]', sending: _Sending, pool: Pool
    ) -> Exchange:
        loop = conn.loop
        sent_at = loop.time()
        overdue = pool.overdue_at(sent_at)
        if sending.may_repeat is not None and conn.answers and overdue < sending.deadline:
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

    async def reaches(self, address: Address) -> bool:
        """Say whether a fresh connection can be opened."""
        loop = self.loop
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                transport, _ = await loop.create_connection(
                    asyncio.Protocol, address.host, address.port
                )
        except (OSError, TimeoutError):
            return False
        transport.close()
        return True

    def _expire(self, pool: Pool, conn: ClientConnection) -> None:
        if conn.answers:
            # What forgot this connection may have forgotten the others of its age too.
            pool.drop_idle()
        conn.drop(Lost('no answer in time', ErrorKind.DEADLINE_EXCEEDED))

    def _check_overdue(
        self, conn: ClientConnection, sending: _Sending, pool: Pool, sent_at: float
    ) -> None:
        # Later requests were answered, this one was not: either it is slow or its connection
        # is lost, and nothing seen from here tells which. Both get an answer if it is sent
        # once more over a new connection while the old one is still listened to.
        assert sending.may_repeat is not None
        conn.timer = conn.loop.call_at(sending.deadline, self._expire, pool, conn)
        if pool.answered_at > sent_at and sending.may_repeat():
            pool.drop_idle()
            conn.repeat = conn.loop.create_task(self._repeat(conn, sending, pool))

    async def _repeat(self, conn: ClientConnection, sending: _Sending, pool: Pool) -> None:
        exchange = await self._send_anew(sending, pool)
        if isinstance(exchange, Answered):
            conn.drop(exchange)

    def close(self) -> None:
        """Drop all idle connections."""
        for pool in self._pools.values():
            pool.drop_idle()
