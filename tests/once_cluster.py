"""Nodes with the real idempotency router and range keeper, a shared fake store and no sockets."""

import asyncio
from collections import Counter
from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec
from result import Err

from dunlinsaddle.calls.at_most_once.handover import hand_over_keys, take_over_keys
from dunlinsaddle.calls.at_most_once.idempotency import IdempotencyRouter
from dunlinsaddle.calls.call_state import PendingCall, read_call_frame
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
from tests.builders import build_member, build_release_call
from tests.fakes.store import FakeStore

SERVICE = 'cut-orders'
EPOCH_MS = 1_750_000_000_000
NAMES = ('bangor-1', 'caernarfon-1', 'menai-1')


class DelayedWriteStore(FakeStore):
    """A FakeStore whose writes can be delayed until long after the client has timed out."""

    def __init__(self) -> None:
        super().__init__()
        self.delays_writes = False
        self.delayed_writes: list[tuple[str, str, Any, int]] = []

    async def put(self, kind: str, name: str, value: Any, expected: int) -> Any:
        if self.delays_writes:
            self.delayed_writes.append((kind, name, value, expected))
            return Err(Unavailable('no answer in time'))
        return await super().put(kind, name, value, expected)

    async def apply_delayed_write(self) -> None:
        """Apply the oldest delayed write; its version condition decides whether it succeeds."""
        if self.delayed_writes:
            await super().put(*self.delayed_writes.pop(0))


class NodeProcess:
    """One run of a node: a crashed one never returns, a frozen one can resume."""

    def __init__(self, cluster: 'Cluster', name: str, epoch: str, clock_skew: float) -> None:
        self.cluster = cluster
        self.name = name
        self.loop = asyncio.get_running_loop()
        wall = EPOCH_MS / 1000 + self.loop.time() + clock_skew
        clock = MonotonicWallClock(lambda: wall)
        rng = Random(sum(name.encode()))
        self.range_manager = RangeManager(cluster.store, Owner(name, epoch), clock.now, rng)
        self.range_manager.listener = ListenerIdentity(
            f'{name} at {cluster.move_counts[name]}', clock.loop_epoch()
        )
        self.view = MemberView()
        self.refusal_kind: ErrorKind | None = None
        self.failure_kind: ErrorKind | None = None
        self.run_seconds = 0.0
        self.leaving = False
        for other in NAMES:
            self.view.merge(cluster.current_member(other))
        links: Any = SimpleNamespace(call=self.call, push_keys=self.push_keys)
        self.links = links
        executor: Any = SimpleNamespace(execute=self.execute)
        self.router = IdempotencyRouter(
            self.range_manager,
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
        if peer is None or frozenset((self.name, peer.name)) in self.cluster.cut_links:
            return NotSent('no link')
        if peer.name in self.cluster.frozen:
            return Lost('no answer', ErrorKind.DEADLINE_EXCEEDED)
        if frame.owner_approved:
            return await peer.execute(read_call_frame(frame, self.loop.time()))
        reply = await peer.router.handle_peer_call(frame)
        if self.cluster.replies_to_lose > 0:
            self.cluster.replies_to_lose -= 1
            return Lost('the link ended')
        return reply

    async def push_keys(self, address: Address, push: KeysPush, timeout: float) -> bool:
        peer = self.cluster.nodes.get(address.host)
        is_reachable = frozenset((self.name, address.host)) not in self.cluster.cut_links
        if peer is None or not is_reachable or address.host in self.cluster.frozen:
            return False
        take_over_keys(peer.router.tables, msgspec.convert(msgspec.to_builtins(push), KeysPush))
        return True

    async def drain_and_leave(self) -> None:
        """Drain: close the ranges, accept no more keys, hand them over and leave."""
        self.leaving = True
        await self.tick()
        self.range_manager.close()
        await self.router.wait_idle()
        await hand_over_keys(self.router.tables, self.range_manager, self.view, self.links)
        for node in self.cluster.nodes.values():
            node.view.merge(self.cluster.current_member(self.name)._replace(state=State.LEFT))

    async def execute(self, call: PendingCall) -> Reply:
        reply = await self.call_target(call.ctx.key)
        reply.unspent_retry_tokens = call.allowance.tokens
        return reply

    async def call_target(self, key: str) -> Reply:
        if self.refusal_kind is not None:
            return refusal(Failure(self.refusal_kind))
        self.cluster.runs[key] += 1
        await asyncio.sleep(self.run_seconds)
        if self.failure_kind is not None:
            self.cluster.uncertain_keys.add(key)
            return refusal(Failure(self.failure_kind))
        return Reply(0, 200, [], f'{key} at {self.name}'.encode(), Outcome.DONE)

    async def handle(self, call: PendingCall) -> Reply:
        return await self.router.handle(call)

    async def tick(self) -> None:
        serving = [m.instance for m in self.view.serving_members(SERVICE)]
        await self.range_manager.tick(SERVICE, serving, leaving=self.leaving)

    async def send(self, key: str, **changes: Any) -> Reply:
        """Send a call to this node, and check the reply against the runs at the targets."""
        cluster = self.cluster
        runs_before, is_only_send = cluster.runs[key], not cluster.open_sends[key]
        cluster.open_sends[key] += 1
        cluster.sends[key] += 1
        send_number = cluster.sends[key]
        reply = await self.handle(build_release_call(key, **changes))
        cluster.open_sends[key] -= 1
        is_only_send = is_only_send and cluster.sends[key] == send_number
        if key:
            cluster.check_reply(key, reply, cluster.runs[key] if is_only_send else runs_before)
        return reply


class Cluster:
    """Three nodes of one service, with network cuts, freezes and crashes on demand."""

    process_type = NodeProcess

    def __init__(self) -> None:
        self.store = DelayedWriteStore()
        self.nodes: dict[str, NodeProcess] = {}
        self.frozen: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.runs: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.sends: Counter[str] = Counter()
        self.open_sends: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        self.violations: list[str] = []
        self.replies_to_lose = 0
        self.epoch_count = 0
        self.move_counts: Counter[str] = Counter()
        self.start_counts: Counter[str] = Counter()
        self.uncertain_keys: set[str] = set()  #: keys with a run whose end no node saw
        self.rng = Random(11)

    def start(self, name: str, clock_skew: float = 0.0, *, moved: bool = False) -> NodeProcess:
        """Start a node, or restart it with an empty memory.

        A frozen previous run that may resume still holds its port: ``moved`` starts the new run
        at another address.
        """
        self.epoch_count += 1
        self.move_counts[name] += moved
        self.start_counts[name] += 1
        for node in self.nodes.values():
            node.view.merge(self.current_member(name))
        self.nodes[name] = self.process_type(self, name, f'e{self.epoch_count}', clock_skew)
        return self.nodes[name]

    def current_member(self, name: str) -> Member:
        """Return the member entry that the present run of a node gossips."""
        incarnation = max(self.start_counts[name], 1)
        return build_member(name, incarnation=incarnation, peers=Address(name, 1))

    async def run_ticks(self, rounds: int = 12) -> None:
        """Run the periodic tick of all nodes that are not frozen, several times."""
        for _ in range(rounds):
            for node in list(self.nodes.values()):
                if node.name not in self.frozen:
                    await node.tick()
            await asyncio.sleep(2.1)

    async def send_to(self, name: str, count: int, keys: list[str], ahead: int = 0) -> None:
        """Send calls with new keys to one node, and append the keys to ``keys``."""
        for _ in range(count):
            keys.append(self.generate_key(ahead))
            await self.nodes[name].send(keys[-1])

    async def refresh(self) -> None:
        """Let all nodes read the map of owners."""
        for node in self.nodes.values():
            await node.range_manager.refresh(SERVICE)

    def generate_key(self, skew_ms: int = 0) -> str:
        now = EPOCH_MS + int(asyncio.get_running_loop().time() * 1000)
        return generate_key(now + skew_ms, self.rng, SERVICE).text

    def find_owner(self, key: str) -> NodeProcess:
        """Return the node that owns a key by the map in the store."""
        stored: StoredObject = self.store.objects['ranges', SERVICE]
        parsed_key: Any = parse_key(key).unwrap()
        interval = decode_range_map(stored.value).find(
            range_number(SERVICE, parsed_key), parsed_key.birth
        )
        assert interval is not None
        return self.nodes[interval.owner.instance]

    def generate_key_owned_by(self, name: str) -> str:
        """Generate a key that this node owns by the map in the store."""
        while True:
            key = self.generate_key()
            if self.find_owner(key).name == name:
                return key

    def check_reply(self, key: str, reply: Reply, certain_runs: int) -> None:
        """Record violations of at-most-once execution, and replies that are wrong.

        ``certain_runs`` counts the runs that cannot belong to a concurrent send of the key.
        """
        self.answers[reply.outcome.value] += 1
        self.kinds[reply.kind] += 1
        if self.runs[key] > 1:
            self.violations.append(f'{key} ran {self.runs[key]} times')
        is_key_reused = reply.kind == ErrorKind.KEY_REUSED.value
        if reply.outcome is Outcome.NOT_RUN and certain_runs and not is_key_reused:
            self.violations.append(f'{key} ran, but {reply.kind} says that it did not')
        if reply.outcome is Outcome.DONE and key in self.uncertain_keys:
            self.violations.append(
                f'the outcome of {key} is uncertain, but the reply says that it is done'
            )
        if reply.outcome is Outcome.DONE and not self.runs[key]:
            self.violations.append(f'{key} never ran, but the reply says that it did')
