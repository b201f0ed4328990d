"""One accepted connection: reads requests and answers them in order."""

import asyncio
import math
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Protocol, cast

from dunlinsaddle.calls.http import (
    HOP_BY_HOP,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    failure_response,
)
from dunlinsaddle.calls.http_codec import (
    BODILESS_STATUSES,
    BodyTooLarge,
    HeadTooLarge,
    MalformedMessage,
    RequestMessage,
    RequestReader,
    encode_response,
)
from dunlinsaddle.calls.keepalive import enable_keepalive
from dunlinsaddle.errors import ErrorKind, Failure

MAX_TARGET_BYTES = 8192  #: of a path with its query; RFC 9110, 4.1 asks for 8,000 at least
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
#: Requests of these methods may run beside others of their connection.
SAFE_METHODS = frozenset({b'GET', b'HEAD', b'OPTIONS'})

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class Face(Protocol):
    """What a connection asks of the listener that accepted it."""

    pipeline: int
    handler: Handler
    limits: HttpLimits
    on_fault: Callable[[HttpRequest], None]
    connections: 'set[AcceptedConnection]'
    closing: bool

    def note_idle(self) -> None:
        """Wake who waits for the end of the requests."""


class _Exchange:
    """One request on a connection, from its last byte to its answer."""

    __slots__ = ('keep_alive', 'method', 'response', 'task')

    def __init__(self, method: bytes, *, keep_alive: bool) -> None:
        self.method = method
        self.keep_alive = keep_alive
        self.task: asyncio.Task[None] | None = None
        self.response: HttpResponse | None = None  #: the answer, once there is one

    @property
    def done(self) -> bool:
        """Whether the answer may be sent."""
        return self.response is not None


class AcceptedConnection(asyncio.Protocol):
    """One accepted connection: reads requests, and answers them in the order of their arrival."""

    def __init__(self, face: Face) -> None:
        self.face = face
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None
        self.expires_at = math.inf
        self.reader = RequestReader(face.limits.max_header_bytes, face.limits.max_body_bytes)
        self.answering: deque[_Exchange] = deque()
        self.waiting: deque[RequestMessage] = deque()  #: read, but not begun
        self.held = b''  #: not read yet
        self.continued = False
        self.ending = False
        self.unsent = False
        self.remote = ''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read, or refuse: the listener holds so many connections at most."""
        # The transport of another loop need not be a subclass of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        # Any unsent byte pauses: a drain waits until the last answer has left the process.
        self.transport.set_write_buffer_limits(high=0)
        enable_keepalive(transport)
        name = transport.get_extra_info('peername')
        self.remote = str(name[0]) if isinstance(name, tuple) else ''
        self.face.connections.add(self)
        if len(self.face.connections) > self.face.limits.max_connections:
            self._refuse(Failure(ErrorKind.TOO_MANY_CONNECTIONS, retry_after=1.0))
            return
        self._set_timer(self.face.limits.header_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the work: nobody will get its answers."""
        self.face.connections.discard(self)
        self._stop_timer()
        if self.timer is not None:
            self.timer.cancel()
        self._drop_work()
        self.face.note_idle()

    def data_received(self, data: bytes) -> None:
        """Read on, within the bound of what is held unread."""
        self.held = self.held + data if self.held else data
        self._advance()
        # Requests sent before the answer to the last one wait here. Without a bound a caller
        # that never reads its answers could fill the memory.
        if len(self.held) > self.face.limits.max_header_bytes:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Close at once."""
        # Most callers that go away send the same as one that only ends its sending side.
        # Work for a caller that has gone is the waste that this system is against, so both
        # count as gone: the call is cancelled down the chain.
        return False

    def pause_writing(self) -> None:
        """Note that an answer has not left the process."""
        self.unsent = True

    def resume_writing(self) -> None:
        """Go on with the next answer."""
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
        return bool(self.held or self.waiting) or not self.reader.idle

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
        elif not self.reader.idle:
            self._refuse(Failure(ErrorKind.REQUEST_TIMEOUT))
        elif not self.answering:
            self.transport.close()

    def _close(self) -> None:
        """Close once all is sent, or after a while if the other side does not read."""
        self.ending = True
        self._drop_work()
        self.transport.close()
        self._set_timer(self.face.limits.header_timeout)

    def _drop_work(self) -> None:
        """End what nobody will get an answer to; requests behind a closing count as unread."""
        for exchange in self.answering:
            if exchange.task is not None:
                exchange.task.cancel()
        self.answering.clear()
        self.waiting.clear()

    def _may_begin(self, method: bytes) -> bool:
        """Whether a request may run beside those that are being answered."""
        if not self.answering:
            return True
        if len(self.answering) >= self.face.pipeline:
            return False
        # RFC 9112, 9.3.2: one that changes something waits for those before it.
        return method in SAFE_METHODS and self.answering[-1].method in SAFE_METHODS

    def _advance(self) -> None:
        """Begin what may begin, and read on when all that was read has begun."""
        while not (self.ending or self.unsent or self.transport.is_closing()):
            if self.waiting:
                if not self._may_begin(self.waiting[0].method):
                    break
                self._begin(self.waiting.popleft())
            elif self.held and len(self.answering) < self.face.pipeline:
                self._read()
            else:
                break
        if not self.held and not self.transport.is_closing():
            self.transport.resume_reading()

    def _read(self) -> None:
        # In pieces, so that few requests wait that were read and not begun.
        size = self.face.limits.max_header_bytes
        data, self.held = self.held[:size], self.held[size:]
        if self.reader.idle:
            # A sender that trickles bytes would hold a connection for ever: the time runs
            # over the whole request, not from byte to byte.
            self._set_timer(self.face.limits.header_timeout)
        try:
            self.waiting.extend(self.reader.feed(data))
        except BodyTooLarge:
            self._refuse(Failure(ErrorKind.BODY_TOO_LARGE))
        except HeadTooLarge as exc:
            self._refuse(Failure(ErrorKind.HEADERS_TOO_LARGE, str(exc)))
        except MalformedMessage as exc:
            self._refuse(Failure(ErrorKind.MALFORMED_REQUEST, str(exc)))
        if self.reader.expects_continue and not self.answering and not self.continued:
            self.continued = True
            self.transport.write(CONTINUE)

    def _begin(self, message: RequestMessage) -> None:
        self._stop_timer()
        self.continued = False
        exchange = _Exchange(message.method, keep_alive=message.keep_alive)
        if len(message.target) > MAX_TARGET_BYTES:
            self._refuse(Failure(ErrorKind.TARGET_TOO_LONG))
            return
        if message.method == b'CONNECT':
            self._refuse(Failure(ErrorKind.METHOD_NOT_ALLOWED, 'CONNECT'))
            return
        req = HttpRequest(
            message.method.decode('ascii'),
            message.target.decode('latin-1'),
            message.headers,
            message.body,
            self.remote,
        )
        self.answering.append(exchange)
        exchange.task = self.loop.create_task(self._respond(exchange, req))

    async def _respond(self, exchange: _Exchange, req: HttpRequest) -> None:
        try:
            response = await self.face.handler(req)
        except Exception:
            self.face.on_fault(req)
            response = self._fail(exchange, ErrorKind.INTERNAL)
        exchange.task = None
        exchange.response = response
        if not self.transport.is_closing():
            self._flush()
            self._advance()

    def _fail(self, exchange: _Exchange, kind: ErrorKind) -> HttpResponse:
        exchange.keep_alive = False
        return failure_response(Failure(kind))

    def _wire(self, exchange: _Exchange, response: HttpResponse) -> bytes:
        headers = [(n, v) for n, v in response.headers if n not in HOP_BY_HOP]
        bodiless = exchange.method == b'HEAD' or response.status in BODILESS_STATUSES
        if not bodiless:
            headers.append((b'content-length', b'%d' % len(response.body)))
        if not exchange.keep_alive:
            headers.append((b'connection', b'close'))
        return encode_response(response.status, headers, b'' if bodiless else response.body)

    def _encoded(self, exchange: _Exchange) -> bytes:
        assert exchange.response is not None
        if self.face.closing and not self.answering and not self.waiting:
            # Not before the last: requests behind a closing count as unread, and those in
            # progress have been passed on.
            exchange.keep_alive = False
        try:
            return self._wire(exchange, exchange.response)
        except ValueError:
            self.face.on_fault(HttpRequest(exchange.method.decode(), '', [], b'', self.remote))
            return self._wire(exchange, self._fail(exchange, ErrorKind.INTERNAL))

    def _flush(self) -> None:
        """Send the answers that are due: each only when all before it have been sent."""
        # One answer at a time is in memory: the next waits until this one is sent.
        while self.answering and self.answering[0].done and not self.unsent:
            exchange = self.answering.popleft()
            self.transport.write(self._encoded(exchange))
            if not exchange.keep_alive:
                self._close()
                return
        if self.answering or self.ending:
            return
        limits = self.face.limits
        self._set_timer(limits.header_timeout if self._started() else limits.idle_timeout)
        self.face.note_idle()

    def _refuse(self, failure: Failure) -> None:
        """Answer what cannot be read any further, behind the answers before it."""
        self._stop_timer()
        self.held = b''
        exchange = _Exchange(b'', keep_alive=False)
        exchange.response = failure_response(failure)
        self.answering.append(exchange)
        self.ending = True
        self._flush()
