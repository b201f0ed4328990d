"""A listener that gives whole HTTP/1.1 requests to a handler, and answers them in order."""

import asyncio
import math
import os
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from dunlinsaddle.calls.http import (
    BODILESS,
    FRAMING,
    HOP_BY_HOP,
    HttpRequest,
    HttpResponse,
    failure_response,
    message_events,
)
from dunlinsaddle.calls.keepalive import watch_connection
from dunlinsaddle.calls.messages import Headers
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.settings import Address

MAX_TARGET_BYTES = 8192
ACCEPTED_AT_ONCE = 16  #: connections taken between two other events
BACKLOG = 1024  #: connections that wait in the kernel
#: Requests of these methods may run beside others of their connection.
REPEATABLE_METHODS = frozenset({b'GET', b'HEAD', b'OPTIONS'})


class HttpLimits(NamedTuple):
    """Bounds of one face. Sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 1 << 20
    connections: int = 4096
    header_timeout: float = 10.0
    idle_timeout: float = 75.0


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class _Exchange:
    """One request on a connection, from its first byte to its answer.

    Each has a parser of its own when several are in progress: the parser of ``h11`` takes one
    request at a time and writes its answer.
    """

    __slots__ = ('chunks', 'head', 'headers', 'last', 'parser', 'size', 'started', 'task', 'wire')

    def __init__(self, parser: h11.Connection) -> None:
        self.parser = parser
        self.head: h11.Request | None = None
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.started = False
        self.task: asyncio.Task[None] | None = None
        self.wire: bytes | None = None  #: the answer, once there is one
        self.last = False  #: the connection ends behind the answer

    @property
    def repeatable(self) -> bool:
        """Whether the method lets it run beside the requests around it (RFC 9112, 9.3.2)."""
        return self.head is not None and self.head.method in REPEATABLE_METHODS


class _Connection(asyncio.Protocol):
    """One accepted connection: reads requests, and answers them in the order of their arrival."""

    def __init__(self, face: 'HttpFace') -> None:
        self.face = face
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None
        self.expires_at = math.inf
        self.reading: _Exchange | None = None
        self.answering: deque[_Exchange] = deque()
        self.held = b''  #: read, but not parsed yet
        self.spare: h11.Connection | None = None
        self.ending = False
        self.unsent = False
        self.remote = ''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # Any unsent byte pauses: a drain waits until the last answer has left the process.
        transport.set_write_buffer_limits(high=0)
        watch_connection(transport)
        name = transport.get_extra_info('peername')
        self.remote = str(name[0]) if isinstance(name, tuple) else ''
        self.face.connections.add(self)
        if len(self.face.connections) > self.face.limits.connections:
            self._refuse(self._next(), Failure(ErrorKind.TOO_MANY_CONNECTIONS, retry_after=1.0))
            return
        self._set_timer(self.face.limits.header_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        self.face.connections.discard(self)
        self._stop_timer()
        if self.timer is not None:
            self.timer.cancel()
        for exchange in self.answering:
            if exchange.task is not None:
                exchange.task.cancel()
        self.face.note_idle()

    def data_received(self, data: bytes) -> None:
        self.held = self.held + data if self.held else data
        self._advance()
        # Requests sent before the answer to the last one wait here. Without a bound a caller
        # that never reads its answers could fill the memory.
        if len(self.held) > self.face.limits.header_bytes:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        # Most callers that go away send the same as one that only ends its sending side.
        # Work for a caller that has gone is the waste that this system is against, so both
        # count as gone: the call is cancelled down the chain.
        return False

    def pause_writing(self) -> None:
        self.unsent = True

    def resume_writing(self) -> None:
        self.unsent = False
        self.face.note_idle()
        if not self.transport.is_closing():
            self._flush()
            self._advance()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered, or an answer still being sent."""
        return bool(self.answering) or self._started() or self.unsent

    def _started(self) -> bool:
        return bool(self.held) or (self.reading is not None and self.reading.started)

    def _set_timer(self, timeout: float) -> None:
        # Several times a request the bound moves, mostly outwards. A timer that fires early
        # and is set again costs less than one cancelled each time.
        self.expires_at = self.loop.time() + timeout
        if self.timer is not None:
            if self.timer.when() <= self.expires_at:
                return
            self.timer.cancel()
        self.timer = self.loop.call_at(self.expires_at, self._check_expired)

    def _stop_timer(self) -> None:
        self.expires_at = math.inf

    def _check_expired(self) -> None:
        self.timer = None
        if self.expires_at <= self.loop.time():
            self._expired()
        elif self.expires_at < math.inf:
            self.timer = self.loop.call_at(self.expires_at, self._check_expired)

    def _expired(self) -> None:
        if self.unsent or self.transport.is_closing():
            self.transport.abort()
        elif self.reading is not None and self.reading.started:
            self._refuse(self.reading, Failure(ErrorKind.REQUEST_TIMEOUT))
        elif not self.answering:
            self.transport.close()

    def _close(self) -> None:
        """Close once all is sent, or after a while if the other side does not read."""
        self.transport.close()
        self._set_timer(self.face.limits.header_timeout)

    def _may_read(self) -> bool:
        """Whether another request may be taken up beside those that are being answered."""
        if self.ending or self.unsent or self.transport.is_closing():
            return False
        if not self.answering:
            return True
        return len(self.answering) < self.face.pipeline and self.answering[-1].repeatable

    def _next(self) -> _Exchange:
        """Begin to read a request, with the parser of the last one where that is free."""
        parser, self.spare = self.spare, None
        if parser is None:
            size = self.face.limits.header_bytes
            parser = h11.Connection(h11.SERVER, max_incomplete_event_size=size)
        self.reading = _Exchange(parser)
        return self.reading

    def _advance(self) -> None:
        while self._may_read():
            exchange = self.reading
            if exchange is None:
                if not self.held:
                    break
                exchange = self._next()
            if self.held:
                data, self.held = self.held, b''
                exchange.parser.receive_data(data)
            if not exchange.started:
                # A sender that trickles bytes would hold a connection for ever: the time runs
                # over the whole request, not from byte to byte.
                exchange.started = True
                self._set_timer(self.face.limits.header_timeout)
            if not self._parse(exchange):
                break
        if not self.held and not self.transport.is_closing():
            self.transport.resume_reading()

    def _parse(self, exchange: _Exchange) -> bool:
        """Take what the parser has; say whether a whole request was read."""
        try:
            while self.reading is exchange and not self.ending:
                event = exchange.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return False
                self._take(exchange, event)
        except h11.RemoteProtocolError as exc:
            too_large = exc.error_status_hint == 431
            kind = ErrorKind.HEADERS_TOO_LARGE if too_large else ErrorKind.MALFORMED_REQUEST
            self._refuse(exchange, Failure(kind, str(exc)))
        return not self.ending

    def _take(self, exchange: _Exchange, event: object) -> None:
        match event:
            case h11.Request():
                failure = self._begin(exchange, event)
                if failure is not None:
                    self._refuse(exchange, failure)
            case h11.Data():
                exchange.size += len(event.data)
                exchange.chunks.append(bytes(event.data))
                if exchange.size > self.face.limits.body_bytes:
                    self._refuse(exchange, Failure(ErrorKind.BODY_TOO_LARGE))
            case h11.EndOfMessage():
                self._start(exchange)
            case h11.ConnectionClosed():
                self.ending = True
                self._close()

    def _begin(self, exchange: _Exchange, head: h11.Request) -> Failure | None:
        exchange.head = head
        # Taken out once: each walk over the parser's own type builds all pairs anew.
        headers = exchange.headers = list(head.headers)
        self._set_timer(self.face.limits.header_timeout)
        if len(head.target) > MAX_TARGET_BYTES:
            return Failure(ErrorKind.TARGET_TOO_LONG)
        # The parser bounds only what is not yet whole: a large head in one piece passes it.
        if sum([len(n) + len(v) + 4 for n, v in headers]) > self.face.limits.header_bytes:
            return Failure(ErrorKind.HEADERS_TOO_LARGE)
        if head.method == b'CONNECT':
            return Failure(ErrorKind.METHOD_NOT_ALLOWED, 'CONNECT')
        framing = {n: v for n, v in headers if n in FRAMING}
        if len(framing) > 1:
            # Two parties that pick different ones would cut the stream at different places,
            # and a caller could slip a request in as part of a body (RFC 9112, 6.1).
            return Failure(ErrorKind.MALFORMED_REQUEST, 'Content-Length and Transfer-Encoding')
        if int(framing.get(b'content-length', b'0')) > self.face.limits.body_bytes:
            return Failure(ErrorKind.BODY_TOO_LARGE)
        if exchange.parser.they_are_waiting_for_100_continue and not self.answering:
            event = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(exchange.parser.send(event) or b'')
        return None

    def _start(self, exchange: _Exchange) -> None:
        assert exchange.head is not None
        self._stop_timer()
        req = HttpRequest(
            exchange.head.method.decode('ascii'),
            exchange.head.target.decode('latin-1'),
            exchange.headers,
            b''.join(exchange.chunks),
            self.remote,
        )
        exchange.chunks = []
        # What came behind the request is not this parser's any more.
        self.held = bytes(exchange.parser.trailing_data[0])
        self.reading = None
        self.answering.append(exchange)
        exchange.task = self.loop.create_task(self._respond(exchange, req))

    async def _respond(self, exchange: _Exchange, req: HttpRequest) -> None:
        try:
            response = await self.face.handler(req)
            wire = self._wire(exchange, response)
        except Exception:
            self.face.on_fault(req)
            wire = self._failure_wire(exchange, Failure(ErrorKind.INTERNAL))
        exchange.task = None
        exchange.wire = wire
        if not self.transport.is_closing():
            self._flush()
            self._advance()

    def _wire(self, exchange: _Exchange, response: HttpResponse) -> bytes:
        headers = [(n, v) for n, v in response.headers if n not in HOP_BY_HOP]
        assert exchange.head is not None
        bodiless = exchange.head.method == b'HEAD' or response.status in BODILESS
        if not bodiless:
            headers.append((b'content-length', str(len(response.body)).encode()))
        if self.face.closing:
            headers.append((b'connection', b'close'))
        body = b'' if bodiless else response.body
        head = h11.Response(status_code=response.status, headers=headers)
        return _encode(exchange.parser, message_events(head, body))

    def _flush(self) -> None:
        """Send the answers that are due: each only when all before it have been sent."""
        # One answer at a time is in memory: the next waits until this one is sent.
        while self.answering and self.answering[0].wire is not None and not self.unsent:
            exchange = self.answering.popleft()
            self.transport.write(exchange.wire or b'')
            if exchange.last or _spent(exchange.parser):
                self._end()
                return
            self._reuse(exchange.parser)
        if self.answering:
            return
        limits = self.face.limits
        self._set_timer(limits.header_timeout if self._started() else limits.idle_timeout)
        self.face.note_idle()

    def _end(self) -> None:
        """Close behind an answer; requests behind it count as unread, and are not run on."""
        self.ending = True
        for exchange in self.answering:
            if exchange.task is not None:
                exchange.task.cancel()
        self.answering.clear()
        self._close()

    def _reuse(self, parser: h11.Connection) -> None:
        if self.spare is None and not parser.trailing_data[0]:
            parser.start_next_cycle()
            self.spare = parser

    def _refuse(self, exchange: _Exchange, failure: Failure) -> None:
        """Answer what cannot be read any further, behind the answers before it."""
        self.ending = True
        self._stop_timer()
        self.reading = None
        exchange.wire = self._failure_wire(exchange, failure)
        self.answering.append(exchange)
        self._flush()

    def _failure_wire(self, exchange: _Exchange, failure: Failure) -> bytes:
        exchange.last = True
        response = failure_response(failure)
        headers = [*response.headers, (b'connection', b'close')]
        headers.append((b'content-length', str(len(response.body)).encode()))
        if exchange.parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b''
        head = h11.Response(status_code=response.status, headers=headers)
        return _encode(exchange.parser, message_events(head, response.body))


def _encode(parser: h11.Connection, events: list[h11.Event]) -> bytes:
    return b''.join(parser.send(event) or b'' for event in events)


def _spent(parser: h11.Connection) -> bool:
    """Say whether the connection has to end behind the answer that was just written."""
    return parser.our_state is not h11.DONE or parser.their_state is not h11.DONE


def _lengthen_queue(fileno: object) -> None:
    if not isinstance(fileno, int):
        # A loop whose connections are in memory has no queue in a kernel.
        return
    with socket.socket(fileno=os.dup(fileno)) as sock:
        sock.listen(BACKLOG)


class HttpFace:
    """A listener that hands whole requests to ``handler``.

    Up to ``pipeline`` requests of one connection run at the same time; answers go out in the
    order of the requests.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        on_fault: Callable[[HttpRequest], None] = lambda req: None,
        *,
        pipeline: int = 1,
    ) -> None:
        self.pipeline = pipeline
        self.handler = handler
        self.limits = limits
        self.on_fault = on_fault
        self.connections: set[_Connection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None
        self._idle = asyncio.Event()

    async def listen(self, address: Address) -> Address:
        """Start to listen; gives the address in use. Raises OSError when it is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), address.host, address.port, backlog=ACCEPTED_AT_ONCE
        )
        # The loop takes up to its backlog of connections in one go, and nothing else meanwhile.
        # With a long one a flood of new connections kept it from the gossip for so long that
        # other nodes held this one for dead. The queue in the kernel may be as long as before.
        for sock in self._server.sockets:
            _lengthen_queue(sock.fileno())
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def start_closing(self) -> None:
        """Tell callers with each answer that its connection ends; go on listening."""
        self.closing = True

    def stop_listening(self) -> None:
        """Take no new connection; those that wait for a request are closed."""
        self.closing = True
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            if not conn.busy:
                conn.transport.close()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress and every answer has left this process."""
        while any(conn.busy for conn in self.connections):
            self._idle.clear()
            await self._idle.wait()

    def note_idle(self) -> None:
        """Wake who waits for the end of the requests."""
        self._idle.set()

    def close(self) -> None:
        """Close everything at once."""
        self.stop_listening()
        for conn in list(self.connections):
            conn.transport.abort()
