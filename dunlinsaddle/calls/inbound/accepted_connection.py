"""Server side of one HTTP/1.1 connection: reads requests and writes the responses in order."""

import asyncio
import math
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Protocol, cast

from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    failure_response,
)
from dunlinsaddle.calls.http_codec import (
    BodyTooLarge,
    HeadTooLarge,
    MalformedMessage,
    write_parts,
)
from dunlinsaddle.calls.inbound.eviction import Activity, EvictionOrder
from dunlinsaddle.calls.inbound.exchange import SAFE_METHODS, Exchange
from dunlinsaddle.calls.inbound.movable_timer import MovableTimer
from dunlinsaddle.calls.keepalive import enable_keepalive, limit_unread_bytes
from dunlinsaddle.calls.messages import CALL_COST_BYTES, Body, Headers
from dunlinsaddle.calls.request_reader import RequestMessage, RequestReader
from dunlinsaddle.calls.send_watch import Sending
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.peer_progress import Verdict

MAX_TARGET_BYTES = 8192  #: of a path with its query; RFC 9110, 4.1 asks for at least 8,000
#: Lowest average rate of a body, not counting the first ``header_timeout`` seconds. Without it, a
#: sender that trickles bytes would hold the connection forever. A link that has narrowed to a
#: fiftieth of its usual rate still carries several times as much.
MIN_BODY_BYTES_PER_SECOND = 1024.0
#: Time for which input is read and discarded after the last response. If the connection were closed
#: while the caller still sends, it would be reset, and the caller could lose that response.
LINGER_SECONDS = 1.0
#: Of the kernel, for a connection whose input waits to be read; twice that is reserved. Callers are
#: near, so that a small window costs them little.
MAX_UNREAD_BYTES = 1 << 15
CONNECTION_COST_BYTES = 12_288  #: memory that a connection takes without any requests
#: Retry-After of a request for whose body there is no memory; most bodies are held for less.
BODY_MEMORY_RETRY_SECONDS = 1.0
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class Listener(Protocol):
    """The parts of a listener that its accepted connections use."""

    pipeline: int
    handler: Handler
    limits: HttpLimits
    on_fault: Callable[[HttpRequest], None]
    on_refusal: Callable[[Headers, Failure], None]
    held_memory: HeldMemory
    on_not_taken: Callable[[str, str, int], None]
    connections: 'set[AcceptedConnection]'
    eviction_order: 'EvictionOrder[AcceptedConnection]'
    accepting: bool
    closing: bool
    finishing: bool

    def make_room(self) -> bool:
        """Close a connection if there are too many; return whether there is room then."""

    def notify_idle_waiters(self) -> None:
        """Wake the tasks that wait until no request is in progress."""


class AcceptedConnection(asyncio.Protocol):
    """Protocol of an accepted connection: parses requests and answers them in order of arrival.

    Input that cannot be processed yet is buffered: ``unread`` holds bytes that have not been
    parsed, ``unstarted`` holds parsed requests that must wait for those before them.
    """

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport
        self.timer = MovableTimer(self.loop, self._handle_timeout)
        self.reader = RequestReader(
            listener.limits.max_header_bytes,
            listener.limits.max_body_bytes,
        )
        self.unsent_bytes = 0  #: size of a response that has not completely left the process
        self.exchanges: deque[Exchange] = deque()
        self.unstarted: deque[RequestMessage] = deque()
        self.unread = b''
        self.has_sent_continue = False
        self.read_started_at = 0.0
        self.body_started_at = math.inf
        self.is_ending = False
        self.discards_input = False  #: nothing more is answered; see LINGER_SECONDS
        self.awaits_close = False  #: the end was announced, and the caller may not know it yet
        self.is_write_paused = False
        self.is_read_paused = False
        self.remote = ''
        self.sending = Sending(self)
        self.counted_bytes = 0  #: as last reported
        self.activity = Activity.BUSY  #: as last reported
        self.is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read, or refuse the connection when the listener has too many."""
        # Transports of other event loops need not inherit from asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        # Pause writing on any unsent byte: a drain waits until the last response has left
        # the process.
        self.transport.set_write_buffer_limits(high=0)
        enable_keepalive(transport)
        limit_unread_bytes(transport, MAX_UNREAD_BYTES)
        name = transport.get_extra_info('peername')
        self.remote = str(name[0]) if isinstance(name, tuple) else ''
        if not self.listener.accepting:
            # It was accepted just before the listener stopped: its requests would be cut off.
            self.transport.close()
            return
        self.listener.connections.add(self)
        if not self.listener.make_room():
            self._refuse(Failure(ErrorKind.TOO_MANY_CONNECTIONS, retry_after=1.0))
            return
        self.timer.set(self.listener.limits.header_timeout)
        self._report()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress: their responses can no longer be delivered."""
        self.is_closed = True
        self.listener.connections.discard(self)
        self.listener.eviction_order.remove(self)
        self.timer.close()
        self._drop_requests()
        self.reader.close()
        self.listener.held_memory.release(self)
        self.listener.notify_idle_waiters()

    def data_received(self, data: bytes) -> None:
        """Buffer and process input; pause reading when too much of it is unread."""
        if self.discards_input:
            return
        self.unread = self.unread + data if self.unread else data
        self._process_input()
        # Pipelined requests wait in this buffer. Without a bound, a caller that never reads
        # its responses could exhaust the memory.
        if len(self.unread) > self.listener.limits.max_header_bytes:
            self.is_read_paused = True
            self.transport.pause_reading()
        self._report()

    def eof_received(self) -> bool:
        """Close the connection."""
        # A half-close cannot be distinguished from a disconnect of the caller, which is by far the
        # more frequent case. Both are treated as a disconnect, so that no work is done for a
        # caller that has gone: the call is cancelled down the chain.
        return False

    def pause_writing(self) -> None:
        """Record that a response has not completely left the process."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Send the next response and process the input that waited for it."""
        self.is_write_paused = False
        self.unsent_bytes = 0
        self.listener.notify_idle_waiters()
        if self.discards_input:
            self.timer.set(LINGER_SECONDS)
        if not self.transport.is_closing():
            self._flush()
            self._process_input()
        self._report()

    def end_sending(self, verdict: Verdict, undelivered: int) -> None:
        """End the connection of a caller that does not take its answer."""
        self.listener.on_not_taken(self.remote, verdict.name.lower(), undelivered)
        self.transport.abort()

    @property
    def has_begun(self) -> bool:
        """Whether requests are in progress, or responses on their way."""
        return bool(self.exchanges) or self.is_write_paused

    def give_up(self) -> None:
        """Refuse the request that arrives, if it holds the most here; else end the connection."""
        self.counted_bytes = 0
        arriving = self.reader.held_bytes
        if not self.is_ending and arriving > self._held_for_requests() + self.unsent_bytes:
            self._refuse(Failure(ErrorKind.TOO_MANY_BODIES, retry_after=BODY_MEMORY_RETRY_SECONDS))
            self._report()
            return
        self.listener.on_not_taken(self.remote, 'memory', self.unsent_bytes)
        self.transport.abort()
        # Not left to the end of the connection, which comes after all other input that is ready.
        self._drop_requests()

    def make_way(self) -> None:
        """End the connection, so that its descriptor serves another caller."""
        if self.is_busy:
            self.transport.abort()
        else:
            self.transport.close()

    def _report(self) -> None:
        """Tell the listener what this connection holds and does, where that has changed."""
        if self.is_closed:
            return
        activity = self._activity()
        if activity is not self.activity:
            self.activity = activity
            self.listener.eviction_order.record(self, activity)
        held = CONNECTION_COST_BYTES + len(self.unread) + self.unsent_bytes
        if self.reader.bytes_fed:
            held += self.reader.held_bytes
        if self.is_read_paused:
            held += 2 * MAX_UNREAD_BYTES
        held += self._held_for_requests()
        if held != self.counted_bytes:
            self.counted_bytes = held
            self.listener.held_memory.set(self, held)

    def _activity(self) -> Activity:
        if self.exchanges:
            return Activity.BUSY
        if self.is_write_paused:
            return Activity.SENDING
        return Activity.READING if self._has_pending_input() else Activity.IDLE

    def _held_for_requests(self) -> int:
        """Return what whole requests hold, or the responses that are ready in their place."""
        held = 0
        for exchange in self.exchanges:
            held += exchange.held_bytes
        for message in self.unstarted:
            held += message.held_bytes
        return held

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered, or a response may not have arrived yet."""
        has_pending_input = not self.is_ending and self._has_pending_input()
        is_sending = self.is_write_paused or self.awaits_close
        return bool(self.exchanges) or has_pending_input or is_sending

    def _has_pending_input(self) -> bool:
        return bool(self.unread or self.unstarted) or not self.reader.idle

    def _handle_timeout(self) -> None:
        if (self.is_write_paused or self.is_ending) and self.sending.is_undelivered:
            # The caller reads slowly. If it has gone, or reads nothing, the watch ends this.
            self.timer.set(LINGER_SECONDS)
        elif self.is_write_paused or self.transport.is_closing():
            self.transport.abort()
        elif self.is_ending:
            self.transport.close()
        elif not self.reader.idle:
            self._refuse(Failure(ErrorKind.REQUEST_TIMEOUT))
        elif not self.exchanges:
            self.transport.close()

    def _close(self) -> None:
        """Close when all data is sent, or after a timeout if the other side does not read."""
        self.is_ending = True
        self._cancel_requests()
        if self.discards_input and self.transport.can_write_eof():
            self.transport.write_eof()
            self.transport.resume_reading()
        else:
            self.sending.outlive_connection()
            self.transport.close()
        is_sent = self.discards_input and not self.is_write_paused
        self.timer.set(LINGER_SECONDS if is_sent else self.listener.limits.header_timeout)
        self.listener.notify_idle_waiters()

    def _cancel_requests(self) -> None:
        """Cancel all requests; clients consider those after a ``Connection: close`` unprocessed."""
        for exchange in self.exchanges:
            exchange.cancel()
        self.exchanges.clear()
        self.unstarted.clear()

    def _drop_requests(self) -> None:
        """Cancel all requests, and free what has arrived of others."""
        self._cancel_requests()
        self.reader.discard_message()
        self.unread = b''

    def _can_start(self, method: bytes) -> bool:
        """Return whether a request may run concurrently with those in progress."""
        if not self.exchanges:
            return True
        # RFC 9112, 9.3.2: an unsafe request waits for the requests before it.
        is_safe = method in SAFE_METHODS and self.exchanges[-1].is_safe
        return is_safe and self._has_room()

    def _has_room(self) -> bool:
        """Return whether the connection may have one more request in progress.

        A caller that always has requests in progress would otherwise never get the answer behind
        which there is none, so that its connection would be served until the process ends.
        """
        limit = 1 if self.listener.finishing else self.listener.pipeline
        return len(self.exchanges) < limit

    def _process_input(self) -> None:
        """Start the requests that may run, and parse more input once all of them have started."""
        while not (self.is_ending or self.is_write_paused or self.transport.is_closing()):
            if self.unstarted:
                if not self._can_start(self.unstarted[0].method):
                    break
                self._start_request(self.unstarted.popleft())
            elif self.unread and self._has_room():
                self._parse_input()
            else:
                break
        if not self.unread and not self.transport.is_closing():
            self.is_read_paused = False
            self.transport.resume_reading()

    def _parse_input(self) -> None:
        # Parse in chunks, so that few parsed requests wait to be started.
        size = self.listener.limits.max_header_bytes
        data, self.unread = self.unread[:size], self.unread[size:]
        now = self.loop.time()
        if self.reader.idle:
            # The timeout covers the whole head, not the gap between two bytes: a sender that
            # trickles bytes would otherwise hold the connection forever.
            self.timer.set(self.listener.limits.header_timeout)
            self.read_started_at = now
            self.body_started_at = math.inf
        try:
            self._add_unstarted(self.reader.feed(data), now)
        except BodyTooLarge:
            self._refuse(Failure(ErrorKind.BODY_TOO_LARGE))
        except HeadTooLarge as exc:
            self._refuse(Failure(ErrorKind.HEADERS_TOO_LARGE, str(exc)))
        except MalformedMessage as exc:
            self._refuse(Failure(ErrorKind.MALFORMED_REQUEST, str(exc)))
        if self.is_ending:
            return
        if self.reader.in_body:
            self._extend_body_timeout(now)
        if self.reader.expects_continue and not self.exchanges and not self.has_sent_continue:
            self.has_sent_continue = True
            self.transport.write(CONTINUE_RESPONSE)

    def _add_unstarted(self, messages: list[RequestMessage], now: float) -> None:
        read_seconds = now - self.read_started_at
        if messages and read_seconds > 0:
            messages[0] = messages[0]._replace(read_seconds=read_seconds)
        self.unstarted.extend(messages)
        if messages and not self.reader.idle:
            # The next request has begun in the same data.
            self.read_started_at = now
            self.body_started_at = math.inf
            self.timer.set(self.listener.limits.header_timeout)

    def _extend_body_timeout(self, now: float) -> None:
        """Allow a body that makes progress to arrive in full, however large it is."""
        if self.listener.closing:
            # A slow upload must not keep a stopping node until it is killed.
            return
        self.body_started_at = min(self.body_started_at, now)
        header_timeout = self.listener.limits.header_timeout
        allowed_seconds = header_timeout + self.reader.body_size / MIN_BODY_BYTES_PER_SECOND
        self.timer.set(min(header_timeout, self.body_started_at + allowed_seconds - now))

    def _start_request(self, message: RequestMessage) -> None:
        self.timer.stop()
        self.has_sent_continue = False
        exchange = Exchange(
            message.method,
            self.loop.time(),
            keep_alive=message.keep_alive,
            held_bytes=message.held_bytes + CALL_COST_BYTES,
        )
        if len(message.target) > MAX_TARGET_BYTES:
            self._refuse(Failure(ErrorKind.URI_TOO_LONG))
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
            message.read_seconds,
        )
        self.exchanges.append(exchange)
        exchange.task = self.loop.create_task(self._respond(exchange, req))

    async def _respond(self, exchange: Exchange, req: HttpRequest) -> None:
        try:
            response = await self.listener.handler(req)
        except Exception:
            self.listener.on_fault(req)
            response = exchange.fail(ErrorKind.INTERNAL)
        exchange.finish(response)
        del req  # its body is not needed any more
        if not self.transport.is_closing():
            self._flush()
            self._process_input()
        self._report()

    def _encode_response(self, exchange: Exchange) -> list[Body]:
        assert exchange.response is not None
        listener = self.listener
        may_end = not self.exchanges and (listener.finishing or not self.unstarted)
        if listener.closing and may_end:
            # Announce the close only with the last response: clients consider requests behind a
            # ``Connection: close`` as unprocessed, but these have already been passed on.
            exchange.keep_alive = False
            self.awaits_close = self.discards_input = True
            self.unread = b''
        try:
            return exchange.encode(exchange.response)
        except ValueError:
            self.listener.on_fault(HttpRequest(exchange.method.decode(), '', [], b'', self.remote))
            return exchange.encode(exchange.fail(ErrorKind.INTERNAL))

    def _write_response(self, exchange: Exchange) -> None:
        parts = self._encode_response(exchange)
        write_parts(self.transport, parts)
        # Whatever is left of it, the parts stay whole until all has left the process.
        self.unsent_bytes = sum(map(len, parts)) if self.is_write_paused else 0
        if exchange.response is not None:
            self.sending.useful_until = exchange.response.useful_until
        self.sending.max_stall_seconds = self.listener.limits.idle_timeout
        self.sending.start()

    def _flush(self) -> None:
        """Send the responses that are ready, in the order of their requests."""
        # Write one response at a time, to keep at most one encoded response in memory.
        while self.exchanges and self.exchanges[0].done and not self.is_write_paused:
            exchange = self.exchanges.popleft()
            self._write_response(exchange)
            if not exchange.keep_alive:
                self._close()
                return
        if self.exchanges or self.is_ending:
            return
        limits = self.listener.limits
        self.timer.set(limits.header_timeout if self._has_pending_input() else limits.idle_timeout)
        self.listener.notify_idle_waiters()

    def _refuse(self, failure: Failure) -> None:
        """Answer a request that cannot be processed, after the responses before it, and close."""
        self.timer.stop()
        self.unread = b''
        self.discards_input = not self.reader.idle
        self.listener.on_refusal(self.reader.headers, failure)
        self.reader.discard_message()
        self.unstarted.clear()
        exchange = Exchange(b'', self.loop.time(), keep_alive=False)
        exchange.response = failure_response(failure)
        self.exchanges.append(exchange)
        self.is_ending = True
        self._flush()
