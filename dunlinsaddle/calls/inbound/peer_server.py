"""Server side of the links between nodes: runs calls that other nodes send."""

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable

from dunlinsaddle.calls.frames import (
    HANDSHAKE_TIMEOUT_SECONDS,
    NONCE_BYTES,
    FrameProtocol,
    LinkLimits,
    Role,
    is_valid_proof,
    make_proof,
)
from dunlinsaddle.calls.inbound.body_memory import BodyMemory
from dunlinsaddle.calls.messages import (
    Call,
    Cancel,
    Challenge,
    Frame,
    Hello,
    KeysAck,
    KeysPush,
    Ping,
    Pong,
    RecordFrame,
    RecordsPush,
    RecordsRequest,
    RecordsResponse,
    Reply,
    TargetCrashes,
    Welcome,
    refusal,
)
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.settings import Address

CallHandler = Callable[[Call], Awaitable[Reply]]
RecordsHandler = Callable[[RecordFrame], RecordsResponse | None]

IDLE_CHECK_SECONDS = 0.05  #: between two checks whether all replies have been written out


class _ServerLink(FrameProtocol):
    """The server side of a link."""

    def __init__(self, server: 'PeerServer') -> None:
        super().__init__(server.limits)
        self.server = server
        self.instance = ''  #: of the peer, empty until it is authenticated
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.busy_since = 0.0
        self.arriving_since = math.inf  #: start of the incomplete frame or latest Pong sent for it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if len(self.server.links) >= self.limits.max_links:
            self.transport.abort()
            return
        self.server.links.add(self)
        self.timer = self.loop.call_later(HANDSHAKE_TIMEOUT_SECONDS, self.transport.abort)
        self.send(Challenge(self.nonce))

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.server.links.discard(self)
        for task in list(self.tasks.values()):
            task.cancel()
        self.server.notify_idle_waiters()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if not self.buffer:
            self.arriving_since = math.inf
            return
        now = self.loop.time()
        self.arriving_since = min(self.arriving_since, now)
        if now - self.arriving_since >= self.limits.probe_interval and self.is_open:
            # The peer's pings wait behind the frame. Without a sign of life, it takes a link that
            # is slow for a lost one, and all calls in progress over it have an unknown outcome.
            self.arriving_since = now
            self.send(Pong(0))

    def pause_writing(self) -> None:
        # Read no more calls from a peer that does not read replies, or the replies to them
        # would accumulate in memory.
        super().pause_writing()
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        super().resume_writing()
        if not self.transport.is_closing():
            self.transport.resume_reading()
        self.server.notify_idle_waiters()

    @property
    def idle(self) -> bool:
        return not self.tasks and not self.transport.get_write_buffer_size()

    def handle_frame(self, frame: Frame) -> None:
        match frame:
            case Hello() if not self.instance:
                self._authenticate(frame)
            case Call() if self.instance and frame.id not in self.tasks:
                self._start_call(frame)
            case Cancel() if self.instance:
                task = self.tasks.get(frame.id)
                if task is not None:
                    task.cancel()
            case Ping() if self.instance:
                self.send(Pong(frame.number))
            case RecordsRequest() | RecordsPush() if self.instance:
                response = self.server.on_records(frame)
                if response is not None:
                    self.send(response)
            case TargetCrashes() if self.instance:
                self.server.on_target_crashes(frame)
            case KeysPush() if self.instance:
                self.server.on_keys(frame)
                self.send(KeysAck(frame.id))
            case _:
                self.transport.abort()

    def _authenticate(self, hello: Hello) -> None:
        key = self.server.key
        is_valid = is_valid_proof(key, Role.DIALLING, self.nonce, hello.instance, hello.proof)
        if not is_valid or not hello.instance or len(hello.nonce) != NONCE_BYTES:
            self.server.rejected_handshakes += 1
            self.transport.abort()
            return
        self.stop_timer()
        self.instance = hello.instance
        self.mark_authenticated()
        self.send(Welcome(make_proof(key, Role.LISTENING, hello.nonce, '')))

    def _start_call(self, call: Call) -> None:
        if len(self.tasks) >= self.limits.max_calls:
            self.send(refusal(Failure(ErrorKind.OVERLOADED, retry_after=1.0), call_id=call.id))
            return
        size = len(call.body)
        if size and not self.server.body_memory.reserve(size):
            # Not TOO_MANY_BODIES, which nodes of older versions do not know.
            failure = Failure(ErrorKind.OVERLOADED, 'too many request bodies', 1.0)
            self.server.on_body_refused(call, failure)
            self.send(refusal(failure, call_id=call.id))
            return
        if self.timer is None:
            self.busy_since = self.loop.time()
            self.timer = self.loop.call_later(self.limits.probe_interval, self._check_silence)
        task = self.tasks[call.id] = self.loop.create_task(self._run_call(call))
        if size:
            task.add_done_callback(lambda _: self.server.body_memory.release(size))

    def _check_silence(self) -> None:
        # The client side pings while it waits for replies. A silent one is unreachable or
        # stopped, and the work for its calls would be wasted.
        self.timer = None
        if self.is_silent(self.busy_since):
            self.transport.abort()
        elif self.tasks or self.write_paused:
            self.timer = self.loop.call_later(self.limits.probe_interval, self._check_silence)

    async def _run_call(self, call: Call) -> None:
        try:
            reply = await self._get_reply(call)
            if self.is_open:
                self.send(reply)
        finally:
            del self.tasks[call.id]
            self.server.notify_idle_waiters()

    async def _get_reply(self, call: Call) -> Reply:
        try:
            reply = await self.server.handler(call)
        except Exception:
            # Without a reply the caller would wait until its deadline.
            self.server.on_fault(call)
            reply = refusal(Failure(ErrorKind.INTERNAL))
        reply.id = call.id
        return reply


class PeerServer:
    """Accepts calls from other nodes that have proved to hold the shared key."""

    def __init__(
        self,
        key: str,
        handler: CallHandler,
        limits: LinkLimits,
        on_fault: Callable[[Call], None] = lambda call: None,
        body_memory: BodyMemory | None = None,
    ) -> None:
        self.key = key
        self.handler = handler
        self.limits = limits
        self.on_fault = on_fault
        self.body_memory = body_memory or BodyMemory()
        self.on_body_refused: Callable[[Call, Failure], None] = lambda call, failure: None
        self.links: set[_ServerLink] = set()
        self.rejected_handshakes = 0
        self.on_records: RecordsHandler = lambda frame: None
        self.on_target_crashes: Callable[[TargetCrashes], None] = lambda frame: None
        self.on_keys: Callable[[KeysPush], None] = lambda frame: None
        self._server: asyncio.Server | None = None
        self._idle = asyncio.Event()

    async def listen(self, address: Address) -> Address:
        """Start listening and return the bound address. Raises OSError if it is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerLink(self), address.host, address.port, backlog=1024
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def wait_idle(self) -> None:
        """Wait until no call is running and all replies have been written out."""
        while any(not link.idle for link in self.links):
            self._idle.clear()
            # A write buffer below its limit empties without a notification.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(IDLE_CHECK_SECONDS):
                    await self._idle.wait()

    def notify_idle_waiters(self) -> None:
        """Wake the tasks in ``wait_idle`` to check again."""
        self._idle.set()

    def close(self) -> None:
        """Stop listening and abort all links."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.transport.abort()
