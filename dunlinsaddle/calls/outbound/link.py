"""Client side of the links between nodes: many concurrent calls over one connection.

docs/design/peer-link.md explains why the links use neither HTTP nor pynng, and how a silent link
is detected.
"""

import asyncio
import contextlib
from typing import Any

from dunlinsaddle.calls.frame_codec import FrameStart
from dunlinsaddle.calls.frames import (
    HANDSHAKE_TIMEOUT_SECONDS,
    FrameProtocol,
    LinkLimits,
    Role,
    is_valid_proof,
    make_proof,
)
from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.messages import (
    Call,
    Cancel,
    Challenge,
    Frame,
    Hello,
    KeysAck,
    KeysPush,
    Lost,
    NotSent,
    Ping,
    Pong,
    RecordsPush,
    RecordsRequest,
    RecordsResponse,
    Reply,
    TargetCrashes,
    Welcome,
)
from dunlinsaddle.calls.outbound.resource_errors import is_resource_exhaustion
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.settings import Address

#: How long after it last received data a link is used without a check, in seconds. A link with
#: calls in progress receives Pong frames more often than that.
UNCHECKED_REUSE_SECONDS = 1.0
REPLY_TAG = str(Reply.__struct_config__.tag)
CHECK_TIMEOUT_SECONDS = 0.25  #: for the Pong of a check; a live peer answers within milliseconds


class _ClientLink(FrameProtocol):
    """The client side of a link; matches replies to calls by their number."""

    def __init__(
        self, key: str, instance: str, limits: LinkLimits, held_memory: HeldMemory
    ) -> None:
        super().__init__(limits, held_memory)
        self.key = key
        self.instance = instance
        self.hello_sent = False
        self.ready: asyncio.Future[None] = self.loop.create_future()
        self.check_future: asyncio.Future[None] | None = None
        self.pending: dict[int, asyncio.Future[Any]] = {}
        self.unsent_calls: dict[int, int] = {}  #: bodies that are not completely sent, by call
        self.last_call_id = 0
        self.busy_since = 0.0
        self.retired = False

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if not self.ready.done():
            self.ready.set_exception(ConnectionError('the peer refused the link'))
            self.ready.exception()
        self._finish_check()
        for future in self.pending.values():
            if not future.done():
                future.set_result(Lost('the link to the peer ended'))
        self.pending.clear()

    def handle_frame(self, frame: Frame) -> None:
        match frame:
            case Challenge() if not self.hello_sent:
                self.hello_sent = True
                proof = make_proof(self.key, Role.DIALLING, frame.nonce, self.instance)
                self.send(Hello(self.instance, proof, self.nonce))
            case Welcome() if self.hello_sent and not self.ready.done():
                self._authenticate(frame)
            case Reply() | RecordsResponse() | KeysAck() if self.ready.done():
                # A late reply, whose call has ended, is ignored.
                future = self.pending.pop(frame.id, None)
                if future is not None and not future.done():
                    future.set_result(frame)
            case Pong() if self.ready.done():
                self._finish_check()
            case _:
                self.transport.abort()

    @property
    def has_begun(self) -> bool:
        """Whether a call has run; an arriving reply is the only large frame here."""
        return True

    def release_arrived(self) -> None:
        """Discount a complete reply right before its caller takes it over."""
        self.loop.call_soon(self.count_held)

    def refuse_arriving(self, start: FrameStart) -> bool:
        """Report the call of the arriving reply as lost."""
        future = self.pending.pop(start.id, None) if start.tag == REPLY_TAG else None
        if future is not None and not future.done():
            detail = f'the answers held are larger than {self.held_memory.limit} bytes'
            future.set_result(Lost(detail, ErrorKind.INCOMPLETE_ANSWER))
        return start.tag == REPLY_TAG

    def _authenticate(self, welcome: Welcome) -> None:
        if not is_valid_proof(self.key, Role.LISTENING, self.nonce, '', welcome.proof):
            self.transport.abort()
            return
        self.mark_authenticated()
        self.ready.set_result(None)

    def _finish_check(self) -> None:
        if self.check_future is not None and not self.check_future.done():
            self.check_future.set_result(None)
        self.check_future = None

    @property
    def is_fresh(self) -> bool:
        return self.is_open and self.loop.time() - self.last_received_at <= UNCHECKED_REUSE_SECONDS

    async def check(self) -> bool:
        """Ping the peer and return whether it answers in time."""
        if self.check_future is None:
            self.check_future = self.loop.create_future()
            self.send(Ping(0))
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
                await asyncio.shield(self.check_future)
        except TimeoutError:
            return False
        return self.is_open

    def retire(self) -> None:
        """Start no more calls on the link and close it when its pending calls have ended."""
        self.retired = True
        if not self.pending:
            self.transport.abort()

    def call(self, call: Call | RecordsRequest | KeysPush) -> 'asyncio.Future[Any]':
        self.last_call_id += 1
        call.id = self.last_call_id
        future: asyncio.Future[Any] = self.loop.create_future()
        self.pending[call.id] = future
        self.send(call)
        if self.write_paused and isinstance(call, Call):
            self.unsent_calls[call.id] = len(call.body)
        if self.timer is None:
            self.busy_since = self.loop.time()
            self.timer = self.loop.call_later(self.limits.probe_interval, self._probe)
        return future

    def _count_abandoned(self, call_id: int) -> None:
        """Count a call whose request has ended, as long as its frame is not sent."""
        size = self.unsent_calls.pop(call_id, 0)
        if size:
            self.unsent_bytes += size
            self.count_held()

    def pause_writing(self) -> None:
        # What is not sent belongs to requests in progress, which are counted where they are held.
        self.write_paused = True

    def resume_writing(self) -> None:
        self.unsent_calls.clear()
        super().resume_writing()

    def expire(self, call_id: int) -> None:
        """End a call whose deadline has passed, and cancel it at the peer."""
        future = self.pending.get(call_id)
        self.cancel(call_id)
        if future is not None and not future.done():
            future.set_result(Lost('no answer before the deadline', ErrorKind.DEADLINE_EXCEEDED))

    def cancel(self, call_id: int) -> None:
        if self.pending.pop(call_id, None) is not None and self.is_open:
            self._count_abandoned(call_id)
            self.send(Cancel(call_id))

    def _probe(self) -> None:
        # A middlebox can drop a connection silently: writes succeed but nothing is answered.
        # Only a Pong on this very connection shows that it still works. Idle links are not
        # probed: with thousands of them, probes would cost more than the calls.
        self.timer = None
        if self.is_silent(self.busy_since):
            self.transport.abort()
        elif self.pending:
            self.send(Ping(0))
            self.timer = self.loop.call_later(self.limits.probe_interval, self._probe)
        elif self.retired:
            self.transport.abort()


class PeerLinks(LoopBound):
    """Links to peers; each is opened on first use and shared by all calls to that peer."""

    def __init__(
        self,
        key: str,
        instance: str,
        limits: LinkLimits,
        held_memory: HeldMemory | None = None,
    ) -> None:
        self.key = key
        self.instance = instance
        self.limits = limits
        self.held_memory = held_memory or HeldMemory()
        self._links: dict[Address, _ClientLink] = {}
        self._connecting: dict[Address, asyncio.Task[_ClientLink]] = {}

    async def call(self, address: Address, call: Call) -> Reply | NotSent | Lost:
        """Send a call and wait for its reply within the call's timeout."""
        loop = self.loop
        deadline = loop.time() + call.timeout
        try:
            link = self._links.get(address)
            if link is None or not link.is_fresh:
                async with asyncio.timeout_at(deadline):
                    link = await self._get_link(address)
        except (OSError, TimeoutError) as exc:
            detail = f'{address}: {exc or "no link in time"}'
            return NotSent(detail, is_local_exhaustion=is_resource_exhaustion(exc))
        if len(link.pending) + len(link.writable_waiters) >= self.limits.max_calls:
            return NotSent(f'{address}: the peer takes no more calls')
        if link.write_paused:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline):
                    await link.wait_writable()
        call.timeout = deadline - loop.time()
        if call.timeout <= 0:
            return NotSent('the deadline passed before it was sent')
        if not link.is_open:
            return NotSent(f'{address}: the link ended before it was sent')
        future = link.call(call)
        call_id = call.id
        timer = loop.call_at(deadline, link.expire, call_id)
        try:
            reply: Reply | Lost = await future
            return reply
        except asyncio.CancelledError:
            link.cancel(call_id)
            raise
        finally:
            timer.cancel()

    async def fetch_records(
        self, address: Address, request: RecordsRequest, timeout: float
    ) -> RecordsResponse | None:
        """Fetch records from a peer; None if no answer arrives within ``timeout`` seconds."""
        response = await self._request(address, request, timeout)
        return response if isinstance(response, RecordsResponse) else None

    async def push_keys(self, address: Address, push: KeysPush, timeout: float) -> bool:
        """Send keys to a peer; return whether it acknowledged them in ``timeout`` seconds."""
        return isinstance(await self._request(address, push, timeout), KeysAck)

    async def notify(self, address: Address, frame: RecordsPush | TargetCrashes) -> bool:
        """Send a frame that has no reply; return whether there is a link to send it on."""
        try:
            (await self._get_link(address)).send(frame)
        except (OSError, TimeoutError):
            return False
        return True

    def close(self) -> None:
        """Abort all links and connection attempts."""
        for task in self._connecting.values():
            task.cancel()
        for link in self._links.values():
            link.transport.abort()
        self._links.clear()

    async def _request(
        self, address: Address, request: RecordsRequest | KeysPush, timeout: float
    ) -> Any:
        try:
            async with asyncio.timeout(timeout):
                link = await self._get_link(address)
                try:
                    return await link.call(request)
                finally:
                    link.pending.pop(request.id, None)
        except (OSError, TimeoutError):
            return None

    async def _get_link(self, address: Address) -> _ClientLink:
        link = self._links.get(address)
        if link is not None and link.is_open and (link.is_fresh or await link.check()):
            return link
        task = self._connecting.get(address)
        if task is None:
            task = self.loop.create_task(self._connect(address))
            self._connecting[address] = task
            task.add_done_callback(lambda done: self._on_connected(address, done))
        return await asyncio.shield(task)

    def _on_connected(self, address: Address, task: 'asyncio.Task[_ClientLink]') -> None:
        self._connecting.pop(address, None)
        if task.cancelled() or task.exception() is not None:
            return
        old = self._links.get(address)
        if old is not None and old.is_open:
            old.retire()
        self._links[address] = task.result()

    async def _connect(self, address: Address) -> _ClientLink:
        loop = self.loop
        link: _ClientLink | None = None
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                _, link = await loop.create_connection(
                    lambda: _ClientLink(self.key, self.instance, self.limits, self.held_memory),
                    address.host,
                    address.port,
                )
                await link.ready
        except BaseException:
            if link is not None:
                link.transport.abort()
            raise
        return link
