"""HTTP/1.1 messages, and a listener that gives whole requests to a handler."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11
import msgspec

from dunlinsaddle.calls.messages import Headers, Reply, refusal
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.settings import Address

MAX_TARGET_BYTES = 8192
HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'host',
        b'expect',
    }
)
OWN_PREFIX = b'dunlinsaddle-'


class HttpRequest(NamedTuple):
    """A whole request. Header names are in lower case."""

    method: str
    path: str
    headers: Headers
    body: bytes
    remote: str

    def header(self, name: bytes) -> str:
        """Give the first value of a header, or an empty text."""
        for have, value in self.headers:
            if have == name:
                return value.decode('latin-1')
        return ''


class HttpResponse(NamedTuple):
    """A whole response."""

    status: int
    headers: Headers
    body: bytes


class HttpLimits(NamedTuple):
    """Bounds of one face. Sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 1 << 20
    connections: int = 4096
    header_timeout: float = 10.0
    idle_timeout: float = 75.0


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def forwarded_headers(headers: Headers) -> Headers:
    """Give the headers that travel on: neither hop-by-hop ones nor any of ours.

    A caller that sets our headers itself could raise its own priority or allowance, so they
    end at the face that they came in by.
    """
    return [(n, v) for n, v in headers if n not in HOP_BY_HOP and not n.startswith(OWN_PREFIX)]


def json_response(value: object, status: int = 200) -> HttpResponse:
    """Give a JSON response."""
    body = msgspec.json.encode(value)
    return HttpResponse(status, [(b'content-type', b'application/json')], body)


def response_of(reply: Reply) -> HttpResponse:
    """Give the response that carries a reply to a caller."""
    headers = [*reply.headers, (b'dunlinsaddle-outcome', reply.outcome.value.encode())]
    if reply.retry_after > 0:
        headers.append((b'retry-after', str(math.ceil(reply.retry_after)).encode()))
    return HttpResponse(reply.status, headers, reply.body)


def failure_response(failure: Failure) -> HttpResponse:
    """Give the response that answers a failure."""
    return response_of(refusal(failure))


class _Connection(asyncio.Protocol):
    """One accepted connection: reads a request, answers it, then reads the next."""

    def __init__(self, face: 'HttpFace') -> None:
        self.face = face
        self.loop = asyncio.get_running_loop()
        self.parser = self._parser()
        self.transport: asyncio.Transport
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.head: h11.Request | None = None
        self.chunks: list[bytes] = []
        self.size = 0
        self.remote = ''

    def _parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self.face.limits.header_bytes)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        name = transport.get_extra_info('peername')
        self.remote = str(name[0]) if isinstance(name, tuple) else ''
        self.face.connections.add(self)
        if len(self.face.connections) > self.face.limits.connections:
            self._refuse(Failure(ErrorKind.TOO_MANY_CONNECTIONS, retry_after=1.0))
            return
        self._wait_for_request(self.face.limits.header_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        self.face.connections.discard(self)
        self._stop_timer()
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._refuse(Failure(ErrorKind.MALFORMED_REQUEST, str(exc)))
            return
        if self.task is None:
            self._advance()

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        """Nothing to do: one answer at a time is in the buffer."""

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self.task is not None or self.head is not None

    def _wait_for_request(self, timeout: float) -> None:
        self._stop_timer()
        self.timer = self.loop.call_later(timeout, self._expired)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _expired(self) -> None:
        # A sender that trickles bytes would hold a connection for ever: the time runs over
        # the whole request, not from byte to byte.
        if self.task is not None:
            return
        started = self.head is not None or bool(self.parser.trailing_data[0])
        if started:
            self._refuse(Failure(ErrorKind.REQUEST_TIMEOUT))
        else:
            self.transport.close()

    def _advance(self) -> None:
        try:
            while True:
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                match event:
                    case h11.Request():
                        if not self._begin(event):
                            return
                    case h11.Data():
                        self.size += len(event.data)
                        self.chunks.append(bytes(event.data))
                        if self.size > self.face.limits.body_bytes:
                            self._refuse(Failure(ErrorKind.BODY_TOO_LARGE))
                            return
                    case h11.EndOfMessage():
                        self._start()
                        return
                    case h11.ConnectionClosed():
                        self.transport.close()
                        return
        except h11.RemoteProtocolError as exc:
            too_large = exc.error_status_hint == 431
            kind = ErrorKind.HEADERS_TOO_LARGE if too_large else ErrorKind.MALFORMED_REQUEST
            self._refuse(Failure(kind, str(exc)))

    def _begin(self, head: h11.Request) -> bool:
        self.head = head
        self._wait_for_request(self.face.limits.header_timeout)
        if len(head.target) > MAX_TARGET_BYTES:
            self._refuse(Failure(ErrorKind.TARGET_TOO_LONG))
            return False
        declared = next((v for n, v in head.headers if n == b'content-length'), b'0')
        if int(declared) > self.face.limits.body_bytes:
            self._refuse(Failure(ErrorKind.BODY_TOO_LARGE))
            return False
        if self.parser.they_are_waiting_for_100_continue:
            self._write([h11.InformationalResponse(status_code=100, headers=[])])
        return True

    def _start(self) -> None:
        assert self.head is not None
        self._stop_timer()
        req = HttpRequest(
            self.head.method.decode('ascii'),
            self.head.target.decode('latin-1'),
            [(bytes(n), bytes(v)) for n, v in self.head.headers],
            b''.join(self.chunks),
            self.remote,
        )
        self.task = self.loop.create_task(self._respond(req))

    async def _respond(self, req: HttpRequest) -> None:
        try:
            response = await self.face.handler(req)
        except asyncio.CancelledError:
            raise
        except Exception:
            self.face.on_fault(req)
            response = failure_response(Failure(ErrorKind.INTERNAL))
        self.task = None
        self._answer(response)

    def _answer(self, response: HttpResponse) -> None:
        if self.transport.is_closing():
            return
        headers = [
            *((n, v) for n, v in response.headers if n not in HOP_BY_HOP),
            (b'content-length', str(len(response.body)).encode()),
        ]
        if self.face.closing:
            headers.append((b'connection', b'close'))
        head = h11.Response(status_code=response.status, headers=headers)
        self._write([head, h11.Data(data=response.body), h11.EndOfMessage()])
        if self.parser.our_state is h11.MUST_CLOSE or self.parser.our_state is h11.ERROR:
            self.transport.close()
            return
        self._next_cycle()

    def _next_cycle(self) -> None:
        self.parser.start_next_cycle()
        self.head, self.chunks, self.size = None, [], 0
        self._wait_for_request(self.face.limits.idle_timeout)
        self._advance()

    def _refuse(self, failure: Failure) -> None:
        self._stop_timer()
        response = failure_response(failure)
        headers = [*response.headers, (b'connection', b'close')]
        headers.append((b'content-length', str(len(response.body)).encode()))
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = h11.Response(status_code=response.status, headers=headers)
            self._write([head, h11.Data(data=response.body), h11.EndOfMessage()])
        self.transport.close()

    def _write(self, events: list[h11.Event]) -> None:
        self.transport.write(b''.join(self.parser.send(event) or b'' for event in events))


class HttpFace:
    """A listener that hands whole requests to ``handler``, one at a time per connection."""

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        on_fault: Callable[[HttpRequest], None] = lambda req: None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.on_fault = on_fault
        self.connections: set[_Connection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Start to listen; gives the address in use. Raises OSError when it is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), address.host, address.port, backlog=1024
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def stop_listening(self) -> None:
        """Take no new connection; those that wait for a request are closed."""
        self.closing = True
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            if not conn.busy:
                conn.transport.close()

    def close(self) -> None:
        """Close everything at once."""
        self.stop_listening()
        for conn in list(self.connections):
            conn.transport.abort()
