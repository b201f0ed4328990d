"""Nodes that share a platform and fake targets: real gates and keepers, no sockets."""

import asyncio
from collections import Counter
from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec
from result import Err

from dunlinsaddle.calls.call_state import PendingCall, read_call_frame
from dunlinsaddle.calls.handover import hand_over_keys, take_over_keys
from dunlinsaddle.calls.idempotency import IdempotencyRouter
from dunlinsaddle.calls.messages import Call, KeysPush, Lost, NotSent, Reply, refusal
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.key_ownership.range_manager import MonotonicWallClock, RangeManager
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.platform.store import StoredObject, Unavailable
from dunlinsaddle.policy.keys import generate_key, parse_key, range_number
from dunlinsaddle.policy.ownership import ListenerIdentity, Owner, decode_range_map
from dunlinsaddle.policy.route import Router
from dunlinsaddle.settings import Address
from dunlinsaddle.stats import Stats
from tests.builders import build_member, build_release
from tests.fakes.store import FakeStore

SERVICE = 'cut-orders'
EPOCH_MS = 1_750_000_000_000
NAMES = ('bangor-1', 'caernarfon-1', 'menai-1')


class LateStore(FakeStore):
    """A FakeStore whose writes can also take effect long after their answer was given up."""

    def __init__(self) -> None:
        super().__init__()
        self.late = False
        self.pending: list[tuple[str, str, Any, int]] = []

    async def put(self, kind: str, name: str, value: Any, expected: int) -> Any:
        if self.late:
            self.pending.append((kind, name, value, expected))
            return Err(Unavailable('no answer in time'))
        return await super().put(kind, name, value, expected)

    async def land(self) -> None:
        """Let the oldest late write arrive; its condition decides whether it takes effect."""
        if self.pending:
            await super().put(*self.pending.pop(0))


class Process:
    """One run of one node: gone for good when it crashes, but a frozen one can wake."""

    def __init__(self, cluster: 'Cluster', name: str, epoch: str, skew: float) -> None:
        self.cluster = cluster
        self.name = name
        self.loop = asyncio.get_running_loop()
        wall = EPOCH_MS / 1000 + self.loop.time() + skew
        clock = MonotonicWallClock(lambda: wall)
        rng = Random(sum(name.encode()))
        self.keeper = RangeManager(cluster.store, Owner(name, epoch), clock.now, rng)
        self.keeper.listener = ListenerIdentity(
            f'{name} at {cluster.moves[name]}', clock.loop_epoch()
        )
        self.view = MemberView()
        self.refuses: ErrorKind | None = None
        self.fails: ErrorKind | None = None
        self.seconds = 0.0
        self.leaving = False
        for other in NAMES:
            self.view.merge(cluster.member(other))
        links: Any = SimpleNamespace(call=self.call, push_keys=self.push_keys)
        self.links = links
        executor: Any = SimpleNamespace(execute=self.execute)
        self.gate = IdempotencyRouter(
            self.keeper,
            self.view,
            Router('bangor-hall', rng),
            links,
            executor,
            Stats(),
            rng,
            lambda service: 900.0,
        )

    async def call(self, address: Address, frame: Call) -> Reply | NotSent | Lost:
        peer = self.cluster.nodes.get(address.host)
        if peer is None or frozenset((self.name, peer.name)) in self.cluster.cuts:
            return NotSent('no link')
        if peer.name in self.cluster.frozen:
            return Lost('no answer', ErrorKind.DEADLINE_EXCEEDED)
        if frame.owner_approved:
            return await peer.execute(read_call_frame(frame, self.loop.time()))
        reply = await peer.gate.handle_peer_call(frame)
        if self.cluster.lose_replies > 0:
            self.cluster.lose_replies -= 1
            return Lost('the link ended')
        return reply

    async def push_keys(self, address: Address, push: KeysPush, timeout: float) -> bool:
        peer = self.cluster.nodes.get(address.host)
        reached = frozenset((self.name, address.host)) not in self.cluster.cuts
        if peer is None or not reached or address.host in self.cluster.frozen:
            return False
        take_over_keys(peer.gate.tables, msgspec.convert(msgspec.to_builtins(push), KeysPush))
        return True

    async def leave(self) -> None:
        """Drain: close the ranges, accept no key any more, tell the heirs, and go."""
        self.leaving = True
        await self.tick()
        self.keeper.close()
        await self.gate.wait_idle()
        await hand_over_keys(self.gate.tables, self.keeper, self.view, self.links)
        for node in self.cluster.nodes.values():
            node.view.merge(self.cluster.member(self.name)._replace(state=State.LEFT))

    async def execute(self, call: PendingCall) -> Reply:
        reply = await self.run_target(call.ctx.key)
        reply.unspent_retry_tokens = call.allowance.tokens
        return reply

    async def run_target(self, key: str) -> Reply:
        if self.refuses is not None:
            return refusal(Failure(self.refuses))
        self.cluster.runs[key] += 1
        await asyncio.sleep(self.seconds)
        if self.fails is not None:
            self.cluster.failed.add(key)
            return refusal(Failure(self.fails))
        return Reply(0, 200, [], f'{key} at {self.name}'.encode(), Outcome.DONE)

    async def enter(self, call: PendingCall) -> Reply:
        return await self.gate.handle(call)

    async def tick(self) -> None:
        serving = [m.instance for m in self.view.serving_members(SERVICE)]
        await self.keeper.tick(SERVICE, serving, leaving=self.leaving)

    async def send(self, key: str, **changes: Any) -> Reply:
        """Enter a call here, and hold the answer against what the targets saw."""
        cluster = self.cluster
        ran, alone = cluster.runs[key], not cluster.open[key]
        cluster.open[key] += 1
        cluster.sends[key] += 1
        number = cluster.sends[key]
        reply = await self.enter(build_release(key, **changes))
        cluster.open[key] -= 1
        alone = alone and cluster.sends[key] == number
        if key:
            cluster.check(key, reply, cluster.runs[key] if alone else ran)
        return reply


class Cluster:
    """Three nodes of one service, with cuts, freezes and crashes at will."""

    process = Process

    def __init__(self) -> None:
        self.store = LateStore()
        self.nodes: dict[str, Process] = {}
        self.frozen: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.runs: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.sends: Counter[str] = Counter()
        self.open: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        self.lies: list[str] = []
        self.lose_replies = 0
        self.epochs = 0
        self.moves: Counter[str] = Counter()
        self.starts: Counter[str] = Counter()
        self.failed: set[str] = set()  #: keys whose runs' ends no node saw
        self.rng = Random(11)

    def start(self, name: str, skew: float = 0.0, *, moved: bool = False) -> Process:
        """Start a node, or start it afresh with nothing in memory.

        A former run that may wake still holds its port: then the new one is ``moved``.
        """
        self.epochs += 1
        self.moves[name] += moved
        self.starts[name] += 1
        for node in self.nodes.values():
            node.view.merge(self.member(name))
        self.nodes[name] = self.process(self, name, f'e{self.epochs}', skew)
        return self.nodes[name]

    def member(self, name: str) -> Member:
        """Give the word that the present run of a node spreads."""
        incarnation = max(self.starts[name], 1)
        return build_member(name, incarnation=incarnation, peers=Address(name, 1))

    async def settle(self, rounds: int = 12) -> None:
        """Let all nodes that run keep their ranges for a while."""
        for _ in range(rounds):
            for node in list(self.nodes.values()):
                if node.name not in self.frozen:
                    await node.tick()
            await asyncio.sleep(2.1)

    async def send_to(self, name: str, count: int, keys: list[str], ahead: int = 0) -> None:
        """Send new keys by one entry, and note them."""
        for _ in range(count):
            keys.append(self.mint(ahead))
            await self.nodes[name].send(keys[-1])

    async def refresh(self) -> None:
        """Let all nodes read the map."""
        for node in self.nodes.values():
            await node.keeper.refresh(SERVICE)

    def mint(self, skew_ms: int = 0) -> str:
        now = EPOCH_MS + int(asyncio.get_running_loop().time() * 1000)
        return generate_key(now + skew_ms, self.rng, SERVICE).text

    def owner(self, key: str) -> Process:
        """Give the node that the platform's map names for a key."""
        stored: StoredObject = self.store.objects['ranges', SERVICE]
        born: Any = parse_key(key).unwrap()
        interval = decode_range_map(stored.value).find(range_number(SERVICE, born), born.birth)
        assert interval is not None
        return self.nodes[interval.owner.instance]

    def owned_by(self, name: str) -> str:
        """Mint a key that a node owns by the platform's map."""
        while True:
            key = self.mint()
            if self.owner(key).name == name:
                return key

    def check(self, key: str, reply: Reply, ran: int) -> None:
        """Note each lie. ``ran``: runs that cannot be those of another send at the same time."""
        self.answers[reply.outcome.value] += 1
        self.kinds[reply.kind] += 1
        if self.runs[key] > 1:
            self.lies.append(f'{key} ran {self.runs[key]} times')
        reused = reply.kind == ErrorKind.KEY_REUSED.value
        if reply.outcome is Outcome.NOT_RUN and ran and not reused:
            self.lies.append(f'{key} ran, and {reply.kind} says that it did not')
        if reply.outcome is Outcome.DONE and key in self.failed:
            self.lies.append(f'the end of {key} is uncertain, and the answer says that it is done')
        if reply.outcome is Outcome.DONE and not self.runs[key]:
            self.lies.append(f'{key} never ran, and the answer says that it did')
