"""The dialling end of the links between nodes: many calls at once over one connection.

Why not HTTP or pynng here, and how a silent link is noticed: docs/design/peer-link.md.
"""

import asyncio
from typing import Any

from dunlinsaddle.calls.frames import (
    HANDSHAKE_TIMEOUT_SECONDS,
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
    Lost,
    NotSent,
    Ping,
    Pong,
    RecordsPush,
    RecordsRequest,
    RecordsResponse,
    Reply,
    TargetDeaths,
    Welcome,
)
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.settings import Address

#: A link is used without further ado this long after the last sign of life, in seconds. One
#: that carries calls hears a Pong more often than that.
REUSE_SECONDS = 1.0
PROOF_SECONDS = 0.25  #: seconds for a sign of life; a peer answers within milliseconds


class _Dialling(FrameProtocol):
    """The dialling end of a link: matches replies to calls by their number."""

    def __init__(self, key: str, instance: str, limits: LinkLimits) -> None:
        super().__init__(limits)
        self.key = key
        self.instance = instance
        self.greeted = False
        self.ready: asyncio.Future[None] = self.loop.create_future()
        self.proof: asyncio.Future[None] | None = None
        self.waiting: dict[int, asyncio.Future[Any]] = {}
        self.numbers = 0
        self.busy_since = 0.0
        self.retired = False

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if not self.ready.done():
            self.ready.set_exception(ConnectionError('the peer refused the link'))
            self.ready.exception()
        self._proved()
        for fut in self.waiting.values():
            if not fut.done():
                fut.set_result(Lost('the link to the peer ended'))
        self.waiting.clear()

    def take(self, frame: Frame) -> None:
        match frame:
            case Challenge() if not self.greeted:
                self.greeted = True
                proof = make_proof(self.key, Role.DIALLING, frame.nonce, self.instance)
                self.send(Hello(self.instance, proof, self.nonce))
            case Welcome() if self.greeted and not self.ready.done():
                self._check(frame)
            case Reply() | RecordsResponse() | KeysAck() if self.ready.done():
                # A reply whose call is over is late: it belongs to nobody.
                fut = self.waiting.pop(frame.id, None)
                if fut is not None and not fut.done():
                    fut.set_result(frame)
            case Pong() if self.ready.done():
                self._proved()
            case _:
                self.transport.abort()

    def _check(self, welcome: Welcome) -> None:
        if not is_valid_proof(self.key, Role.LISTENING, self.nonce, '', welcome.proof):
            self.transport.abort()
            return
        self.trust()
        self.ready.set_result(None)

    def _proved(self) -> None:
        if self.proof is not None and not self.proof.done():
            self.proof.set_result(None)
        self.proof = None

    @property
    def fresh(self) -> bool:
        return self.open and self.loop.time() - self.last_received_at <= REUSE_SECONDS

    async def prove(self) -> bool:
        """Ask the peer for a sign of life; False when none comes soon."""
        if self.proof is None:
            self.proof = self.loop.create_future()
            self.send(Ping(0))
        try:
            async with asyncio.timeout(PROOF_SECONDS):
                await asyncio.shield(self.proof)
        except TimeoutError:
            return False
        return self.open

    def retire(self) -> None:
        """Give the link no more calls; it ends when those on it have ended."""
        self.retired = True
        if not self.waiting:
            self.transport.abort()

    def call(self, call: Call | RecordsRequest | KeysPush) -> 'asyncio.Future[Any]':
        self.numbers += 1
        call.id = self.numbers
        fut: asyncio.Future[Any] = self.loop.create_future()
        self.waiting[call.id] = fut
        self.send(call)
        if self.timer is None:
            self.busy_since = self.loop.time()
            self.timer = self.loop.call_later(self.limits.probe_interval, self._probe)
        return fut

    def expire(self, number: int) -> None:
        """End a call whose deadline has passed, here and at the peer."""
        fut = self.waiting.get(number)
        self.give_up(number)
        if fut is not None and not fut.done():
            fut.set_result(Lost('no answer before the deadline', ErrorKind.DEADLINE_EXCEEDED))

    def give_up(self, number: int) -> None:
        if self.waiting.pop(number, None) is not None and self.open:
            self.send(Cancel(number))

    def _probe(self) -> None:
        # A middle box can forget a connection: writes succeed and nothing ever answers. The
        # peer's Pong on this very connection is the evidence that it still works. An idle
        # link is not probed: thousands of them would cost more than the calls.
        self.timer = None
        if self.silent(self.busy_since):
            self.transport.abort()
        elif self.waiting:
            self.send(Ping(0))
            self.timer = self.loop.call_later(self.limits.probe_interval, self._probe)
        elif self.retired:
            self.transport.abort()


class PeerLinks(OnLoop):
    """Links to peers, dialled when first needed and shared by all calls to that peer."""

    def __init__(self, key: str, instance: str, limits: LinkLimits) -> None:
        self.key = key
        self.instance = instance
        self.limits = limits
        self._links: dict[Address, _Dialling] = {}
        self._dialling: dict[Address, asyncio.Task[_Dialling]] = {}

    async def call(self, address: Address, call: Call) -> Reply | NotSent | Lost:
        """Send a call and wait for its reply within the call's budget."""
        loop = self.loop
        deadline = loop.time() + call.timeout
        try:
            link = self._links.get(address)
            if link is None or not link.fresh:
                async with asyncio.timeout_at(deadline):
                    link = await self._link(address)
        except (OSError, TimeoutError) as exc:
            return NotSent(f'{address}: {exc or "no link in time"}')
        call.timeout = deadline - loop.time()
        if call.timeout <= 0:
            return NotSent('the deadline passed before it was sent')
        if link.full or len(link.waiting) >= self.limits.max_calls:
            return NotSent(f'{address}: the peer takes no more calls')
        fut = link.call(call)
        number = call.id
        timer = loop.call_at(deadline, link.expire, number)
        try:
            reply: Reply | Lost = await fut
            return reply
        except asyncio.CancelledError:
            link.give_up(number)
            raise
        finally:
            timer.cancel()

    async def fetch_records(
        self, address: Address, ask: RecordsRequest, timeout: float
    ) -> RecordsResponse | None:
        """Ask a peer for records; None when no answer comes within ``timeout`` seconds."""
        answer = await self._ask(address, ask, timeout)
        return answer if isinstance(answer, RecordsResponse) else None

    async def push_keys(self, address: Address, push: KeysPush, timeout: float) -> bool:
        """Give a peer keys; say whether it took them within ``timeout`` seconds."""
        return isinstance(await self._ask(address, push, timeout), KeysAck)

    async def notify(self, address: Address, frame: RecordsPush | TargetDeaths) -> bool:
        """Send a peer what wants no answer; say whether there is a link to it."""
        try:
            (await self._link(address)).send(frame)
        except (OSError, TimeoutError):
            return False
        return True

    def close(self) -> None:
        """End all links."""
        for task in self._dialling.values():
            task.cancel()
        for link in self._links.values():
            link.transport.abort()
        self._links.clear()

    async def _ask(self, address: Address, ask: RecordsRequest | KeysPush, timeout: float) -> Any:
        try:
            async with asyncio.timeout(timeout):
                link = await self._link(address)
                try:
                    return await link.call(ask)
                finally:
                    link.waiting.pop(ask.id, None)
        except (OSError, TimeoutError):
            return None

    async def _link(self, address: Address) -> _Dialling:
        link = self._links.get(address)
        if link is not None and link.open and (link.fresh or await link.prove()):
            return link
        task = self._dialling.get(address)
        if task is None:
            task = self.loop.create_task(self._dial(address))
            self._dialling[address] = task
            task.add_done_callback(lambda done: self._dialled(address, done))
        return await asyncio.shield(task)

    def _dialled(self, address: Address, task: 'asyncio.Task[_Dialling]') -> None:
        self._dialling.pop(address, None)
        if task.cancelled() or task.exception() is not None:
            return
        old = self._links.get(address)
        if old is not None and old.open:
            old.retire()
        self._links[address] = task.result()

    async def _dial(self, address: Address) -> _Dialling:
        loop = self.loop
        link: _Dialling | None = None
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                _, link = await loop.create_connection(
                    lambda: _Dialling(self.key, self.instance, self.limits),
                    address.host,
                    address.port,
                )
                await link.ready
        except BaseException:
            if link is not None:
                link.transport.abort()
            raise
        return link
