"""A listener that gives whole HTTP/1.1 requests to a handler, one at a time per connection."""

import asyncio
import math
import os
import socket
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


class HttpLimits(NamedTuple):
    """Bounds of one face. Sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 1 << 20
    connections: int = 4096
    header_timeout: float = 10.0
    idle_timeout: float = 75.0


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class _Connection(asyncio.Protocol):
    """One accepted connection: reads a request, answers it, then reads the next."""

    def __init__(self, face: 'HttpFace') -> None:
        self.face = face
        self.loop = asyncio.get_running_loop()
        size = face.limits.header_bytes
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=size)
        self.transport: asyncio.Transport
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.expires_at = math.inf
        self.head: h11.Request | None = None
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.ahead = 0  #: bytes read while a request is being answered
        self.started = False
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
            self._refuse(Failure(ErrorKind.TOO_MANY_CONNECTIONS, retry_after=1.0))
            return
        self._set_timer(self.face.limits.header_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        self.face.connections.discard(self)
        self._stop_timer()
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        self.face.note_idle()

    def data_received(self, data: bytes) -> None:
        self.parser.receive_data(data)
        if self.task is not None or self.unsent:
            self._read_ahead(len(data))
            return
        if not self.started:
            # A sender that trickles bytes would hold a connection for ever: the time runs
            # over the whole request, not from byte to byte.
            self.started = True
            self._set_timer(self.face.limits.header_timeout)
        self._advance()

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
        if self.task is None and not self.transport.is_closing():
            self._advance()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered, or an answer still being sent."""
        return self.task is not None or self.started or self.unsent

    def _read_ahead(self, size: int) -> None:
        # Requests sent before the answer to the last one wait in the parser. Without a
        # bound a caller that never reads its answers could fill the memory.
        self.ahead += size
        if self.ahead > self.face.limits.header_bytes:
            self.transport.pause_reading()

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
        elif self.started:
            self._refuse(Failure(ErrorKind.REQUEST_TIMEOUT))
        else:
            self.transport.close()

    def _close(self) -> None:
        """Close once all is sent, or after a while if the other side does not read."""
        self.transport.close()
        self._set_timer(self.face.limits.header_timeout)

    def _advance(self) -> None:
        try:
            while self.task is None and not self.transport.is_closing():
                event = self.parser.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    self.ahead = 0
                    self.transport.resume_reading()
                    return
                self._take(event)
        except h11.RemoteProtocolError as exc:
            too_large = exc.error_status_hint == 431
            kind = ErrorKind.HEADERS_TOO_LARGE if too_large else ErrorKind.MALFORMED_REQUEST
            self._refuse(Failure(kind, str(exc)))

    def _take(self, event: object) -> None:
        match event:
            case h11.Request():
                failure = self._begin(event)
                if failure is not None:
                    self._refuse(failure)
            case h11.Data():
                self.size += len(event.data)
                self.chunks.append(bytes(event.data))
                if self.size > self.face.limits.body_bytes:
                    self._refuse(Failure(ErrorKind.BODY_TOO_LARGE))
            case h11.EndOfMessage():
                self._start()
            case h11.ConnectionClosed():
                self._close()

    def _begin(self, head: h11.Request) -> Failure | None:
        self.head = head
        # Taken out once: each walk over the parser's own type builds all pairs anew.
        self.headers = list(head.headers)
        self.started = True
        self._set_timer(self.face.limits.header_timeout)
        if len(head.target) > MAX_TARGET_BYTES:
            return Failure(ErrorKind.TARGET_TOO_LONG)
        # The parser bounds only what is not yet whole: a large head in one piece passes it.
        if sum([len(n) + len(v) + 4 for n, v in self.headers]) > self.face.limits.header_bytes:
            return Failure(ErrorKind.HEADERS_TOO_LARGE)
        if head.method == b'CONNECT':
            return Failure(ErrorKind.METHOD_NOT_ALLOWED, 'CONNECT')
        framing = {n: v for n, v in self.headers if n in FRAMING}
        if len(framing) > 1:
            # Two parties that pick different ones would cut the stream at different places,
            # and a caller could slip a request in as part of a body (RFC 9112, 6.1).
            return Failure(ErrorKind.MALFORMED_REQUEST, 'Content-Length and Transfer-Encoding')
        if int(framing.get(b'content-length', b'0')) > self.face.limits.body_bytes:
            return Failure(ErrorKind.BODY_TOO_LARGE)
        if self.parser.they_are_waiting_for_100_continue:
            self._write([h11.InformationalResponse(status_code=100, headers=[])])
        return None

    def _start(self) -> None:
        assert self.head is not None
        self._stop_timer()
        req = HttpRequest(
            self.head.method.decode('ascii'),
            self.head.target.decode('latin-1'),
            self.headers,
            b''.join(self.chunks),
            self.remote,
        )
        self.chunks = []
        self.task = self.loop.create_task(self._respond(req))

    async def _respond(self, req: HttpRequest) -> None:
        try:
            response = await self.face.handler(req)
            wire = self._wire(response)
        except Exception:
            self.face.on_fault(req)
            wire = None
        self.task = None
        if not self.transport.is_closing():
            self._answer(wire)

    def _wire(self, response: HttpResponse) -> bytes:
        headers = [(n, v) for n, v in response.headers if n not in HOP_BY_HOP]
        assert self.head is not None
        bodiless = self.head.method == b'HEAD' or response.status in BODILESS
        if not bodiless:
            headers.append((b'content-length', str(len(response.body)).encode()))
        if self.face.closing:
            headers.append((b'connection', b'close'))
        body = b'' if bodiless else response.body
        head = h11.Response(status_code=response.status, headers=headers)
        return self._encode(message_events(head, body))

    def _answer(self, wire: bytes | None) -> None:
        if wire is None:
            self._refuse(Failure(ErrorKind.INTERNAL))
            return
        self.transport.write(wire)
        if self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE:
            self._close()
            return
        self.parser.start_next_cycle()
        self.head, self.size, self.started = None, 0, bool(self.parser.trailing_data[0])
        limits = self.face.limits
        self._set_timer(limits.header_timeout if self.started else limits.idle_timeout)
        self.face.note_idle()
        # One answer at a time is in memory: the next request waits until this one is sent.
        # Mostly there is none, and the parser need not be asked.
        if self.started and not self.unsent:
            self._advance()

    def _refuse(self, failure: Failure) -> None:
        response = failure_response(failure)
        headers = [*response.headers, (b'connection', b'close')]
        headers.append((b'content-length', str(len(response.body)).encode()))
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = h11.Response(status_code=response.status, headers=headers)
            self._write(message_events(head, response.body))
        self._close()

    def _write(self, events: list[h11.Event]) -> None:
        self.transport.write(self._encode(events))

    def _encode(self, events: list[h11.Event]) -> bytes:
        return b''.join(self.parser.send(event) or b'' for event in events)


def _lengthen_queue(fileno: object) -> None:
    if not isinstance(fileno, int):
        # A loop whose connections are in memory has no queue in a kernel.
        return
    with socket.socket(fileno=os.dup(fileno)) as sock:
        sock.listen(BACKLOG)


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
