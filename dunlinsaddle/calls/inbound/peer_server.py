"""Server side of the links between nodes: runs calls that other nodes send."""

import asyncio
import contextlib
import math
from collections.abc import Awaitable, Callable

from dunlinsaddle.calls.frame_codec import FrameStart
from dunlinsaddle.calls.frames import (
    HANDSHAKE_TIMEOUT_SECONDS,
    NONCE_BYTES,
    FrameProtocol,
    LinkLimits,
    Role,
    is_valid_proof,
    make_proof,
)
from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.inbound.peer_call import PeerCall
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

CALL_TAG = str(Call.__struct_config__.tag)
BODY_RETRY_SECONDS = 1.0  #: Retry-After of a call for whose body there is no memory
IDLE_CHECK_SECONDS = 0.05  #: between two checks whether all replies have been written out


class _ServerLink(FrameProtocol):
    """The server side of a link."""

    def __init__(self, server: 'PeerServer') -> None:
        super().__init__(server.limits, server.held_memory)
        self.server = server
        self.instance = ''  #: of the peer, empty until it is authenticated
        self.calls: dict[int, PeerCall] = {}
        self.busy_since = 0.0
        self.arriving_since = math.inf  #: start of the incomplete frame or latest Pong sent for it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if not self.server.make_room():
            self.transport.abort()
            return
        self.server.links.add(self)
        self.server.unauthenticated[self] = None
        self.timer = self.loop.call_later(HANDSHAKE_TIMEOUT_SECONDS, self.transport.abort)
        self.send(Challenge(self.nonce))

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.server.links.discard(self)
        self.server.unauthenticated.pop(self, None)
        for call in list(self.calls.values()):
            call.cancel()
        self.server.notify_idle_waiters()

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if not self.buffer and not self.skipped_bytes:
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
        # Read no more calls from a peer that does not read replies.
        super().pause_writing()
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        super().resume_writing()
        if not self.transport.is_closing():
            self.transport.resume_reading()
        self.server.notify_idle_waiters()

    def refuse_arriving(self, start: FrameStart) -> bool:
        """Refuse the call that arrives, which has not run."""
        if start.tag == CALL_TAG:
            self.send(refusal(self.server.refuse_body(), call_id=start.id))
        return start.tag == CALL_TAG

    @property
    def idle(self) -> bool:
        return not self.calls and not self.transport.get_write_buffer_size()

    def handle_frame(self, frame: Frame) -> None:
        match frame:
            case Hello() if not self.instance:
                self._authenticate(frame)
            case Call() if self.instance and frame.id not in self.calls:
                self._start_call(frame)
            case Cancel() if self.instance:
                call = self.calls.get(frame.id)
                if call is not None:
                    call.cancel()
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
        self.server.unauthenticated.pop(self, None)
        self.instance = hello.instance
        self.mark_authenticated()
        self.send(Welcome(make_proof(key, Role.LISTENING, hello.nonce, '')))

    def _start_call(self, frame: Call) -> None:
        if len(self.calls) >= self.limits.max_calls:
            self.send(refusal(Failure(ErrorKind.OVERLOADED, retry_after=1.0), call_id=frame.id))
            return
        if self.timer is None:
            self.busy_since = self.loop.time()
            self.timer = self.loop.call_later(self.limits.probe_interval, self._check_silence)
        call = self.calls[frame.id] = PeerCall(frame, self.server, self)
        call.start()

    def end_call(self, call_id: int) -> None:
        """Forget a call whose reply was sent, or that is not answered any more."""
        self.calls.pop(call_id, None)
        self.server.notify_idle_waiters()

    def _check_silence(self) -> None:
        # The client side pings while it waits for replies. A silent one is unreachable or
        # stopped, and the work for its calls would be wasted.
        self.timer = None
        if self.is_silent(self.busy_since):
            self.transport.abort()
        elif self.calls or self.write_paused:
            self.timer = self.loop.call_later(self.limits.probe_interval, self._check_silence)


class PeerServer:
    """Accepts calls from other nodes that have proved to hold the shared key."""

    def __init__(
        self,
        key: str,
        handler: CallHandler,
        limits: LinkLimits,
        on_fault: Callable[[Call], None] = lambda call: None,
        held_memory: HeldMemory | None = None,
    ) -> None:
        self.key = key
        self.handler = handler
        self.limits = limits
        self.on_fault = on_fault
        self.held_memory = held_memory or HeldMemory()
        #: Called with the id of a request, empty if it is not known, that is refused for its size.
        self.on_body_refused: Callable[[str, Failure], None] = lambda request_id, failure: None
        #: Returns whether the target may be at work for a request.
        self.is_running: Callable[[str], bool] = lambda request_id: True
        self.links: set[_ServerLink] = set()
        self.unauthenticated: dict[_ServerLink, None] = {}  #: links, oldest first
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

    def make_room(self) -> bool:
        """Return whether one more link may be opened; the oldest without a proof makes way.

        Connections of strangers would otherwise keep out the nodes.
        """
        if len(self.links) < self.limits.max_links:
            return True
        link = next(iter(self.unauthenticated), None)
        if link is None:
            return False
        del self.unauthenticated[link]
        self.links.discard(link)
        link.transport.abort()
        return True

    def refuse_body(self, request_id: str = '') -> Failure:
        """Report that there is no memory for a call, and return the failure for its sender."""
        # Not TOO_MANY_BODIES, which nodes of older versions do not know.
        failure = Failure(ErrorKind.OVERLOADED, 'too many request bodies', BODY_RETRY_SECONDS)
        self.on_body_refused(request_id, failure)
        return failure

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
