"""HTTP/1.1 client with kept connections, which tells what was never sent from what was lost."""

import asyncio
from dataclasses import dataclass

import h11

from dunlinsaddle.calls.http import HOP_BY_HOP, HttpRequest, HttpResponse
from dunlinsaddle.calls.messages import Lost, NotSent
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.settings import Address

CONNECT_TIMEOUT = 1.0
MAX_IDLE = 64


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole response came."""

    response: HttpResponse


Exchange = Answered | NotSent | Lost


class _Connection(asyncio.Protocol):
    """One kept connection: a request at a time."""

    def __init__(self) -> None:
        self.parser = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport
        self.fut: asyncio.Future[Exchange] | None = None
        self.head: h11.Response | None = None
        self.chunks: list[bytes] = []
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.fut is not None and not self.fut.done():
            self._feed(b'')
        self._settle(Lost('the connection ended before the whole answer', ErrorKind.TARGET_LOST))

    def data_received(self, data: bytes) -> None:
        if self.fut is None:
            # Bytes that nobody asked for: the next request would take them for its answer.
            self.transport.abort()
            return
        self._feed(data)

    def send(self, req: HttpRequest, host: str) -> 'asyncio.Future[Exchange]':
        self.fut = asyncio.get_running_loop().create_future()
        self.head, self.chunks = None, []
        headers = [(b'host', host.encode())]
        headers += [(n, v) for n, v in req.headers if n not in HOP_BY_HOP]
        headers.append((b'content-length', str(len(req.body)).encode()))
        head = h11.Request(method=req.method, target=req.path, headers=headers)
        events: list[h11.Event] = [head, h11.Data(data=req.body), h11.EndOfMessage()]
        self.transport.write(b''.join(self.parser.send(event) or b'' for event in events))
        return self.fut

    @property
    def reusable(self) -> bool:
        return not self.closed and not self.transport.is_closing()

    def _feed(self, data: bytes) -> None:
        try:
            self.parser.receive_data(data)
            self._advance()
        except h11.RemoteProtocolError as exc:
            self.transport.abort()
            self._settle(Lost(str(exc), ErrorKind.INCOMPLETE_ANSWER))

    def _advance(self) -> None:
        while True:
            event = self.parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            match event:
                case h11.Response():
                    self.head = event
                case h11.Data():
                    self.chunks.append(bytes(event.data))
                case h11.EndOfMessage():
                    self._complete()
                    return
                case h11.ConnectionClosed():
                    return

    def _complete(self) -> None:
        assert self.head is not None
        headers = [(bytes(n), bytes(v)) for n, v in self.head.headers]
        response = HttpResponse(self.head.status_code, headers, b''.join(self.chunks))
        if self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE:
            self.parser.start_next_cycle()
        else:
            self.transport.close()
        self._settle(Answered(response))

    def _settle(self, exchange: Exchange) -> None:
        fut, self.fut = self.fut, None
        if fut is not None and not fut.done():
            fut.set_result(exchange)


class HttpClient:
    """Sends requests, each over a connection of its own, and keeps those that stay whole."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[_Connection]] = {}

    async def send(self, address: Address, req: HttpRequest, timeout: float) -> Exchange:
        """Send one request and wait at most ``timeout`` seconds for the whole response."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        conn = self._take(address)
        if conn is None:
            try:
                conn = await asyncio.wait_for(self._dial(address), min(CONNECT_TIMEOUT, timeout))
            except (OSError, TimeoutError) as exc:
                return NotSent(f'{address}: {exc or "no connection in time"}')
        fut = conn.send(req, str(address))
        try:
            exchange = await asyncio.wait_for(fut, max(deadline - loop.time(), 0))
        except TimeoutError:
            conn.transport.abort()
            return Lost('no answer in time', ErrorKind.DEADLINE_EXCEEDED)
        except asyncio.CancelledError:
            # Closing is how the other side hears that nobody waits any more.
            conn.transport.abort()
            raise
        self._keep(address, conn)
        return exchange

    async def reaches(self, address: Address) -> bool:
        """Say whether a fresh connection can be opened."""
        try:
            conn = await asyncio.wait_for(self._dial(address), CONNECT_TIMEOUT)
        except (OSError, TimeoutError):
            return False
        self._keep(address, conn)
        return True

    def close(self) -> None:
        """Drop all idle connections."""
        for conns in self._idle.values():
            for conn in conns:
                conn.transport.abort()
        self._idle.clear()

    async def _dial(self, address: Address) -> _Connection:
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(_Connection, address.host, address.port)
        return conn

    def _take(self, address: Address) -> _Connection | None:
        conns = self._idle.get(address, [])
        while conns:
            conn = conns.pop()
            if conn.reusable:
                return conn
        return None

    def _keep(self, address: Address, conn: _Connection) -> None:
        if not conn.reusable:
            return
        conns = self._idle.setdefault(address, [])
        if len(conns) < MAX_IDLE:
            conns.append(conn)
        else:
            conn.transport.close()
