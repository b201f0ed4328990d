"""The link between nodes: many calls at once over one connection to each peer.

Frames are MessagePack (msgspec) behind a length of four bytes. Why not HTTP or pynng here:
docs/design/peer-link.md.
"""

import asyncio
import hashlib
import hmac
import secrets
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec

from dunlinsaddle.calls.messages import (
    Call,
    Cancel,
    Challenge,
    Frame,
    Hello,
    Lost,
    NotSent,
    Ping,
    Pong,
    RecordFrame,
    RecordsAnswer,
    RecordsAsk,
    RecordsPush,
    Reply,
)
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.settings import Address

LENGTH_BYTES = 4
FRAME_OVERHEAD = 1 << 16
HANDSHAKE_BYTES = 512
HANDSHAKE_TIMEOUT = 1.0
PROBE_EVERY = 0.5
SILENT_AFTER = 1.5

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


class LinkLimits(NamedTuple):
    """Bounds of a link. Times in seconds."""

    body_bytes: int = 1 << 20
    probe_every: float = PROBE_EVERY
    silent_after: float = SILENT_AFTER


def sign(key: str, nonce: bytes, instance: str) -> bytes:
    """Give the proof that an instance holds the shared key, bound to one nonce."""
    return hmac.digest(key.encode(), nonce + instance.encode(), hashlib.sha256)


class _FrameProtocol(asyncio.Protocol):
    """Cuts a stream of bytes into frames; a wrong frame ends the connection."""

    def __init__(self, limits: LinkLimits) -> None:
        self.limits = limits
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport
        self.buffer = bytearray()
        self.most = HANDSHAKE_BYTES
        self.heard_at = self.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.heard_at = self.loop.time()
        buffer = self.buffer
        buffer += data
        while len(buffer) >= LENGTH_BYTES:
            size = int.from_bytes(buffer[:LENGTH_BYTES], 'big')
            if size > self.most:
                self.transport.abort()
                return
            end = LENGTH_BYTES + size
            if len(buffer) < end:
                return
            body = bytes(buffer[LENGTH_BYTES:end])
            del buffer[:end]
            try:
                frame = _decoder.decode(body)
            except msgspec.MsgspecError:
                self.transport.abort()
                return
            self.take(frame)

    def send(self, frame: Frame) -> None:
        body = _encoder.encode(frame)
        self.transport.write(len(body).to_bytes(LENGTH_BYTES, 'big') + body)

    def trust(self) -> None:
        """Allow frames of full size, once the other side has proved that it holds the key."""
        self.most = self.limits.body_bytes + FRAME_OVERHEAD

    def take(self, frame: Frame) -> None:
        raise NotImplementedError


CallHandler = Callable[[Call], Awaitable[Reply]]
RecordsHandler = Callable[[RecordFrame], RecordsAnswer | None]


class _Serving(_FrameProtocol):
    """The listening end of a link."""

    def __init__(self, server: 'PeerServer') -> None:
        super().__init__(server.limits)
        self.server = server
        self.nonce = secrets.token_bytes(16)
        self.instance = ''
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.server.links.add(self)
        self.timer = self.loop.call_later(HANDSHAKE_TIMEOUT, self._unproved)
        self.send(Challenge(self.nonce))

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.links.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        for task in list(self.tasks.values()):
            task.cancel()

    def _unproved(self) -> None:
        if not self.instance:
            self.transport.abort()

    def take(self, frame: Frame) -> None:
        match frame:
            case Hello() if not self.instance:
                self._check(frame)
            case Call() if self.instance:
                task = self.loop.create_task(self._serve(frame))
                self.tasks[frame.id] = task
            case Cancel() if self.instance:
                task_of_call = self.tasks.get(frame.id)
                if task_of_call is not None:
                    task_of_call.cancel()
            case Ping() if self.instance:
                self.send(Pong(frame.number))
            case RecordsAsk() | RecordsPush() if self.instance:
                answer = self.server.on_records(frame)
                if answer is not None:
                    self.send(answer)
            case _:
                self.transport.abort()

    def _check(self, hello: Hello) -> None:
        want = sign(self.server.key, self.nonce, hello.instance)
        if not hello.instance or not hmac.compare_digest(want, hello.proof):
            self.server.refused += 1
            self.transport.abort()
            return
        self.instance = hello.instance
        self.trust()

    async def _serve(self, call: Call) -> None:
        try:
            reply = await self.server.handler(call)
            reply.id = call.id
            if not self.transport.is_closing():
                self.send(reply)
        finally:
            self.tasks.pop(call.id, None)


class PeerServer:
    """Takes calls from other nodes, after each has proved that it holds the shared key."""

    def __init__(self, key: str, handler: CallHandler, limits: LinkLimits) -> None:
        self.key = key
        self.handler = handler
        self.limits = limits
        self.links: set[_Serving] = set()
        self.refused = 0
        self.on_records: RecordsHandler = lambda frame: None
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Start to listen; gives the address in use. Raises OSError when it is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Serving(self), address.host, address.port, backlog=1024
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def close(self) -> None:
        """Stop listening and end every link."""
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            link.transport.abort()


class _Dialling(_FrameProtocol):
    """The dialling end of a link: matches replies to calls by their number."""

    def __init__(self, key: str, instance: str, limits: LinkLimits) -> None:
        super().__init__(limits)
        self.key = key
        self.instance = instance
        self.ready: asyncio.Future[None] = self.loop.create_future()
        self.waiting: dict[int, asyncio.Future[Any]] = {}
        self.numbers = 0
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if not self.ready.done():
            self.ready.set_exception(ConnectionError('the peer refused the link'))
            self.ready.exception()
        for fut in self.waiting.values():
            if not fut.done():
                fut.set_result(Lost('the link to the peer ended'))
        self.waiting.clear()

    def take(self, frame: Frame) -> None:
        match frame:
            case Challenge() if not self.ready.done():
                self.send(Hello(self.instance, sign(self.key, frame.nonce, self.instance)))
                self.trust()
                self.ready.set_result(None)
                self._probe()
            case Reply() | RecordsAnswer():
                # A reply whose call is over is late: it belongs to nobody.
                fut = self.waiting.pop(frame.id, None)
                if fut is not None and not fut.done():
                    fut.set_result(frame)
            case Pong():
                pass
            case _:
                self.transport.abort()

    def call(self, call: Call | RecordsAsk) -> 'asyncio.Future[Any]':
        self.numbers += 1
        call.id = self.numbers
        fut: asyncio.Future[Any] = self.loop.create_future()
        self.waiting[call.id] = fut
        self.send(call)
        return fut

    def give_up(self, number: int) -> None:
        if self.waiting.pop(number, None) is not None and not self.transport.is_closing():
            self.send(Cancel(number))

    def _probe(self) -> None:
        # A middle box can forget a connection: writes succeed and nothing ever answers. The
        # peer's Pong on this very connection is the evidence that it still works.
        silence = self.loop.time() - self.heard_at
        if silence > self.limits.silent_after:
            self.transport.abort()
            return
        if silence > self.limits.probe_every / 2:
            self.send(Ping(0))
        self.timer = self.loop.call_later(self.limits.probe_every, self._probe)


class PeerLinks:
    """Links to peers, dialled when first needed and shared by all calls to that peer."""

    def __init__(self, key: str, instance: str, limits: LinkLimits) -> None:
        self.key = key
        self.instance = instance
        self.limits = limits
        self._links: dict[Address, _Dialling] = {}
        self._dialling: dict[Address, asyncio.Task[_Dialling]] = {}

    async def call(self, address: Address, call: Call) -> Reply | NotSent | Lost:
        """Send a call and wait for its reply within the call's budget."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + call.budget
        try:
            link = await self._link(address)
        except (OSError, TimeoutError) as exc:
            return NotSent(f'{address}: {exc or "no link in time"}')
        call.budget = deadline - loop.time()
        if call.budget <= 0:
            return NotSent('the deadline passed before it was sent')
        fut = link.call(call)
        try:
            reply: Reply | Lost = await asyncio.wait_for(fut, call.budget)
            return reply
        except TimeoutError:
            link.give_up(call.id)
            return Lost('no answer before the deadline', ErrorKind.DEADLINE_EXCEEDED)
        except asyncio.CancelledError:
            link.give_up(call.id)
            raise

    async def ask_records(
        self, address: Address, ask: RecordsAsk, timeout: float
    ) -> RecordsAnswer | None:
        """Ask a peer for records; None when no answer comes within ``timeout`` seconds."""
        try:
            async with asyncio.timeout(timeout):
                link = await self._link(address)
                try:
                    answer = await link.call(ask)
                finally:
                    link.waiting.pop(ask.id, None)
        except (OSError, TimeoutError):
            return None
        return answer if isinstance(answer, RecordsAnswer) else None

    async def push_records(self, address: Address, push: RecordsPush) -> bool:
        """Send records to a peer; say whether there is a link to it."""
        try:
            (await self._link(address)).send(push)
        except (OSError, TimeoutError):
            return False
        return True

    def close(self) -> None:
        """End all links."""
        for link in self._links.values():
            link.transport.abort()
        self._links.clear()

    async def _link(self, address: Address) -> _Dialling:
        link = self._links.get(address)
        if link is not None and not link.closed and not link.transport.is_closing():
            return link
        task = self._dialling.get(address)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._dial(address))
            self._dialling[address] = task
            task.add_done_callback(lambda _: self._dialling.pop(address, None))
        return await asyncio.shield(task)

    async def _dial(self, address: Address) -> _Dialling:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(HANDSHAKE_TIMEOUT):
            _, link = await loop.create_connection(
                lambda: _Dialling(self.key, self.instance, self.limits), address.host, address.port
            )
            await link.ready
        self._links[address] = link
        return link
