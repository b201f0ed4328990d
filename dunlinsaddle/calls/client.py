"""HTTP/1.1 client with kept connections, which tells what was never sent from what was lost."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, cast

from dunlinsaddle.calls.http import HOP_BY_HOP, HttpRequest, HttpResponse
from dunlinsaddle.calls.keepalive import watch_connection
from dunlinsaddle.calls.messages import Headers, Lost, NotSent
from dunlinsaddle.calls.wire import (
    BodyTooLarge,
    Malformed,
    ResponseMessage,
    ResponseReader,
    encode_request,
)
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.settings import Address

CONNECT_TIMEOUT = 1.0
MAX_IDLE = 64
MAX_BODY_BYTES = 1 << 20
MAX_HEAD_BYTES = 1 << 16  #: of an answer; common servers send a few hundred bytes
#: A kept connection is used again only this long after its last answer, in seconds. Shorter
#: than the idle timeout of common servers, so that a request seldom meets their closing.
REUSE_SECONDS = 2.0
#: The same for a request that must not be sent twice: were it lost, it could not be repeated.
REUSE_ONCE_SECONDS = 0.25
PRUNE_MARGIN = 0.01
OVERDUE_SECONDS = 1.0
OVERDUE_FACTOR = 4.0
SLOWEST_DECAY = 0.98


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole response came."""

    response: HttpResponse


Exchange = Answered | NotSent | Lost
Belongs = Callable[[Headers], bool]  #: whether an answer is one to the request that was sent


def _any_answer(headers: Headers) -> bool:
    return True


class _Connection(asyncio.Protocol):
    """One kept connection: a request at a time."""

    def __init__(self, max_body_bytes: int, *, open_ended: bool) -> None:
        self.max_body_bytes = max_body_bytes
        self.open_ended = open_ended
        self.loop = asyncio.get_running_loop()
        self.reader = ResponseReader(MAX_HEAD_BYTES, max_body_bytes)
        self.transport: asyncio.Transport
        self.fut: asyncio.Future[Exchange] | None = None
        self.heard = False
        self.closed = False
        self.answers = 0
        self.timer: asyncio.TimerHandle | None = None
        self.repeat: asyncio.Task[None] | None = None
        self.answered_at = 0.0
        self.belongs: Belongs = _any_answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transport of another loop need not be a subclass of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        watch_connection(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.heard and exc is None:
            # A reset also ends the bytes, but what came before it need not be all.
            self._end()
        kind = ErrorKind.INCOMPLETE_ANSWER if self.heard else ErrorKind.TARGET_LOST
        self.settle(Lost('the connection ended before the whole answer', kind))

    def data_received(self, data: bytes) -> None:
        if self.fut is None:
            # Bytes that nobody asked for: the next request would take them for its answer.
            self.transport.abort()
            return
        self.heard = True
        try:
            messages = self.reader.feed(data)
        except BodyTooLarge:
            detail = f'the answer is larger than {self.max_body_bytes} bytes'
            self.drop(Lost(detail, ErrorKind.OUTCOME_UNKNOWN))
        except Malformed as exc:
            self.drop(Lost(str(exc), ErrorKind.INCOMPLETE_ANSWER))
        else:
            self._take(messages)

    def send(self, req: HttpRequest, host: bytes, belongs: 'Belongs') -> 'asyncio.Future[Exchange]':
        """Write a request, with the host that it names or else the address.

        Raises ValueError, before any byte is written, for what is no HTTP.
        """
        named = req.header(b'host')
        headers = [(b'host', named.encode('latin-1') if named else host)]
        headers += [(n, v) for n, v in req.headers if n not in HOP_BY_HOP]
        wire = encode_request(req.method, req.path, headers, req.body)
        self.fut = self.loop.create_future()
        self.belongs = belongs
        self.heard = False
        self.reader.bodiless = req.method == 'HEAD'
        self.transport.write(wire)
        return self.fut

    def reusable(self, within: float) -> bool:
        fresh = self.loop.time() - self.answered_at <= within
        return fresh and not self.closed and not self.transport.is_closing()

    def settle(self, exchange: Exchange) -> None:
        fut, self.fut = self.fut, None
        if fut is not None and not fut.done():
            fut.set_result(exchange)

    def drop(self, exchange: Exchange) -> None:
        """End the connection: what still comes on it belongs to nobody."""
        self.transport.abort()
        self.settle(exchange)

    def _take(self, messages: list[ResponseMessage]) -> None:
        """Take the answer among what came, if it is there.

        An answer to an earlier request is passed over: the right one may follow on its heels.
        """
        for number, message in enumerate(messages):
            if self.belongs(message.headers):
                self._complete(message, extra=number + 1 < len(messages))
                return
        if self.reader.broken:
            self.drop(Lost('bytes that are no answer', ErrorKind.INCOMPLETE_ANSWER))
        elif not self.open_ended and self.reader.unframed:
            # A body that ends with the connection looks the same whole or cut.
            self.drop(Lost('the answer has no length', ErrorKind.OUTCOME_UNKNOWN))

    def _complete(self, message: ResponseMessage, *, extra: bool) -> None:
        reader = self.reader
        # Bytes behind the answer, as of a doubled one, would be read as the next answer.
        if message.keep_alive and not extra and not reader.broken and not reader.begun:
            self.answers += 1
            self.answered_at = self.loop.time()
        else:
            self.transport.abort()
        self._answer(message)

    def _answer(self, message: ResponseMessage) -> None:
        self.settle(Answered(HttpResponse(message.status, message.headers, message.body)))

    def _end(self) -> None:
        message = self.reader.end() if self.open_ended else None
        if message is not None and self.belongs(message.headers):
            self._answer(message)


class _Pool:
    """The kept connections to one address, and how long its answers take."""

    def __init__(self, address: Address) -> None:
        self.host = str(address).encode()
        self.idle: list[_Connection] = []
        self.timer: asyncio.TimerHandle | None = None
        self.slowest = 0.0
        self.answered_at = 0.0  #: when the latest request that was answered had been sent

    def take(self, within: float) -> _Connection | None:
        """Give the connection that was answered on last, if that is recent enough."""
        while self.idle and not self.idle[-1].reusable(REUSE_SECONDS):
            self.idle.pop().transport.abort()
        if not self.idle or not self.idle[-1].reusable(within):
            return None
        return self.idle.pop()

    def _prune(self) -> None:
        """Close what will not be used again, the oldest first: it fills the target's places."""
        self.timer = None
        while self.idle and not self.idle[0].reusable(REUSE_SECONDS):
            self.idle.pop(0).transport.abort()
        if self.idle:
            self._prune_after(self.idle[0])

    def _prune_after(self, conn: _Connection) -> None:
        at = conn.answered_at + REUSE_SECONDS + PRUNE_MARGIN
        self.timer = conn.loop.call_at(at, self._prune)

    def keep(self, conn: _Connection, sent_at: float) -> None:
        """Keep a connection that has just been answered on, and note the time it took."""
        if conn.closed or conn.transport.is_closing():
            return
        took = conn.loop.time() - sent_at
        self.slowest = max(self.slowest * SLOWEST_DECAY, took)
        self.answered_at = max(self.answered_at, sent_at)
        if len(self.idle) < MAX_IDLE:
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
        return sent_at + max(OVERDUE_SECONDS, OVERDUE_FACTOR * self.slowest)


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
        self._pools: dict[Address, _Pool] = {}

    async def send(
        self,
        address: Address,
        req: HttpRequest,
        timeout: float,
        *,
        may_repeat: Callable[[], bool] | None = None,
        belongs: Belongs = _any_answer,
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
            pool = self._pools[address] = _Pool(address)
        conn = pool.take(REUSE_SECONDS if may_repeat else REUSE_ONCE_SECONDS)
        if conn is None:
            return await self._send_anew(sending, pool)
        return await self._send_on(conn, sending, pool)

    async def _send_anew(self, sending: _Sending, pool: _Pool) -> Exchange:
        loop = self.loop
        address = sending.address
        try:
            async with asyncio.timeout_at(min(loop.time() + CONNECT_TIMEOUT, sending.deadline)):
                _, conn = await loop.create_connection(
                    lambda: _Connection(self.max_body_bytes, open_ended=self.open_ended),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as exc:
            return NotSent(f'{address}: {exc or "no connection in time"}')
        return await self._send_on(conn, sending, pool)

    async def _send_on(self, conn: _Connection, sending: _Sending, pool: _Pool) -> Exchange:
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
        self, conn: _Connection, fut: 'asyncio.Future[Exchange]', sending: _Sending, pool: _Pool
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

    def _expire(self, pool: _Pool, conn: _Connection) -> None:
        if conn.answers:
            # What forgot this connection may have forgotten the others of its age too.
            pool.drop_idle()
        conn.drop(Lost('no answer in time', ErrorKind.DEADLINE_EXCEEDED))

    def _check_overdue(
        self, conn: _Connection, sending: _Sending, pool: _Pool, sent_at: float
    ) -> None:
        # Later requests were answered, this one was not: either it is slow or its connection
        # is lost, and nothing seen from here tells which. Both get an answer if it is sent
        # once more over a new connection while the old one is still listened to.
        assert sending.may_repeat is not None
        conn.timer = conn.loop.call_at(sending.deadline, self._expire, pool, conn)
        if pool.answered_at > sent_at and sending.may_repeat():
            pool.drop_idle()
            conn.repeat = conn.loop.create_task(self._repeat(conn, sending, pool))

    async def _repeat(self, conn: _Connection, sending: _Sending, pool: _Pool) -> None:
        exchange = await self._send_anew(sending, pool)
        if isinstance(exchange, Answered):
            conn.drop(exchange)

    def close(self) -> None:
        """Drop all idle connections."""
        for pool in self._pools.values():
            pool.drop_idle()
