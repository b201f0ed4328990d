"""The listening end of the links between nodes: runs calls that other nodes hand over."""

import asyncio
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
    TargetDeaths,
    Welcome,
    refusal,
)
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.settings import Address

CallHandler = Callable[[Call], Awaitable[Reply]]
RecordsHandler = Callable[[RecordFrame], RecordsResponse | None]


class _Serving(FrameProtocol):
    """The listening end of a link."""

    def __init__(self, server: 'PeerServer') -> None:
        super().__init__(server.limits)
        self.server = server
        self.instance = ''
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.busy_since = 0.0

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
        self.server.note_idle()

    def pause_writing(self) -> None:
        # A peer that takes no replies gives no more calls: else their replies would pile up.
        super().pause_writing()
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        super().resume_writing()
        if not self.transport.is_closing():
            self.transport.resume_reading()
        self.server.note_idle()

    @property
    def idle(self) -> bool:
        return not self.tasks and not self.transport.get_write_buffer_size()

    def take(self, frame: Frame) -> None:
        match frame:
            case Hello() if not self.instance:
                self._check(frame)
            case Call() if self.instance and frame.id not in self.tasks:
                self._begin(frame)
            case Cancel() if self.instance:
                task = self.tasks.get(frame.id)
                if task is not None:
                    task.cancel()
            case Ping() if self.instance:
                self.send(Pong(frame.number))
            case RecordsRequest() | RecordsPush() if self.instance:
                answer = self.server.on_records(frame)
                if answer is not None:
                    self.send(answer)
            case TargetDeaths() if self.instance:
                self.server.on_deaths(frame)
            case KeysPush() if self.instance:
                self.server.on_keys(frame)
                self.send(KeysAck(frame.id))
            case _:
                self.transport.abort()

    def _check(self, hello: Hello) -> None:
        key = self.server.key
        right = is_valid_proof(key, Role.DIALLING, self.nonce, hello.instance, hello.proof)
        if not right or not hello.instance or len(hello.nonce) != NONCE_BYTES:
            self.server.refused += 1
            self.transport.abort()
            return
        self.stop_timer()
        self.instance = hello.instance
        self.trust()
        self.send(Welcome(make_proof(key, Role.LISTENING, hello.nonce, '')))

    def _begin(self, call: Call) -> None:
        if len(self.tasks) >= self.limits.max_calls:
            self.send(refusal(Failure(ErrorKind.OVERLOADED, retry_after=1.0), call_id=call.id))
            return
        if self.timer is None:
            self.busy_since = self.loop.time()
            self.timer = self.loop.call_later(self.limits.probe_interval, self._watch)
        self.tasks[call.id] = self.loop.create_task(self._serve(call))

    def _watch(self) -> None:
        # The dialling side pings while it waits for replies: one that does not is cut off
        # or stopped, and the work that it asked for is wasted.
        self.timer = None
        if self.silent(self.busy_since):
            self.transport.abort()
        elif self.tasks or self.full:
            self.timer = self.loop.call_later(self.limits.probe_interval, self._watch)

    async def _serve(self, call: Call) -> None:
        try:
            reply = await self._answer(call)
            if self.open:
                self.send(reply)
        finally:
            del self.tasks[call.id]
            self.server.note_idle()

    async def _answer(self, call: Call) -> Reply:
        try:
            reply = await self.server.handler(call)
        except Exception:
            # Without a reply the other side would wait for its whole deadline.
            self.server.on_fault(call)
            reply = refusal(Failure(ErrorKind.INTERNAL))
        reply.id = call.id
        return reply


class PeerServer:
    """Takes calls from other nodes, after each has proved that it holds the shared key."""

    def __init__(
        self,
        key: str,
        handler: CallHandler,
        limits: LinkLimits,
        on_fault: Callable[[Call], None] = lambda call: None,
    ) -> None:
        self.key = key
        self.handler = handler
        self.limits = limits
        self.on_fault = on_fault
        self.links: set[_Serving] = set()
        self.refused = 0
        self.on_records: RecordsHandler = lambda frame: None
        self.on_deaths: Callable[[TargetDeaths], None] = lambda frame: None
        self.on_keys: Callable[[KeysPush], None] = lambda frame: None
        self._server: asyncio.Server | None = None
        self._idle = asyncio.Event()

    async def listen(self, address: Address) -> Address:
        """Start to listen; gives the address in use. Raises OSError when it is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Serving(self), address.host, address.port, backlog=1024
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def wait_idle(self) -> None:
        """Wait until no call runs and every reply has left this process."""
        while any(not link.idle for link in self.links):
            self._idle.clear()
            await self._idle.wait()

    def note_idle(self) -> None:
        """Wake who waits for the end of the calls."""
        self._idle.set()

    def close(self) -> None:
        """Stop listening and end every link."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.transport.abort()
