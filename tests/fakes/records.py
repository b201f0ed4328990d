"""Record synchronisation of nodes in memory, with network partitions and platform outages."""

import asyncio
from collections.abc import Callable
from random import Random

from result import Err, Result

from dunlinsaddle.calls.messages import RecordFrame, RecordsPush, RecordsRequest, RecordsResponse
from dunlinsaddle.calls.outbound.client import CONNECT_TIMEOUT_SECONDS
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.platform.store import Listing, Unavailable
from dunlinsaddle.records.record_cache import RecordCache
from dunlinsaddle.records.sync import RecordSync
from dunlinsaddle.settings import Address
from tests.builders import build_logger, build_member
from tests.fakes.store import FakeStore

LATENCY = 0.001


class PartitionedStore:
    """The store as seen by one node: while cut off, responses are lost and connections fail.

    While it is silent, connections hold and calls are never answered.
    """

    def __init__(
        self, store: FakeStore, is_disconnected: Callable[[], bool], is_silent: Callable[[], bool]
    ) -> None:
        self.store = store
        self.is_disconnected = is_disconnected
        self.is_silent = is_silent

    async def watch(
        self, kind: str, since: int, timeout: float, grace: float
    ) -> Result[Listing, Unavailable]:
        loop = asyncio.get_running_loop()
        if self.is_disconnected():
            self._record_call()
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            return Err(Unavailable('no connection in time'))
        if self.is_silent():
            self._record_call()
            await asyncio.sleep(timeout + grace)
            return Err(Unavailable('no response in time'))
        deadline = loop.time() + timeout + grace
        result = await self.store.watch(kind, since, timeout, grace)
        if not self.is_disconnected():
            return result
        await asyncio.sleep(deadline - loop.time())
        return Err(Unavailable('no response in time'))

    def _record_call(self) -> None:
        self.store.calls += 1
        self.store.call_times.append(asyncio.get_running_loop().time())


class FakeNode:
    """The record synchronisation and record cache of one node."""

    def __init__(self, fleet: 'FakeFleet', member: Member, newest_schema: int = 2) -> None:
        self.fleet = fleet
        self.member = member
        self.alive = True
        self.frozen = False  #: links to it stay open, but it handles nothing and sends no responses
        self.push_count = 0
        self.record_cache = RecordCache(newest_schema=newest_schema)
        self.view = MemberView()
        store = PartitionedStore(
            fleet.store,
            lambda: member.domain in fleet.domains_without_platform,
            lambda: fleet.is_platform_silent,
        )
        self.sync = RecordSync(
            self.record_cache,
            store,  # type: ignore[arg-type]
            self.view,
            self,
            lambda: member,
            Random(fleet.rng.random()),
            build_logger('sync'),
        )
        self.task: asyncio.Task[None] | None = None

    async def fetch_records(
        self, address: Address, request: RecordsRequest, timeout: float
    ) -> RecordsResponse | None:
        node = await self._find_reachable(address, timeout)
        return None if node is None else node.sync.handle_frame(request)

    async def notify(self, address: Address, push: RecordsPush) -> bool:
        self.fleet.pushed.append(push)
        self.push_count += 1
        if self.fleet.nodes[address].frozen:
            return True
        node = await self._find_reachable(address, 1.0)
        if node is not None:
            node.receive(push)
        return node is not None

    def receive(self, frame: RecordFrame) -> None:
        self.sync.handle_frame(frame)

    async def _find_reachable(self, address: Address, timeout: float) -> 'FakeNode | None':
        await asyncio.sleep(LATENCY)
        node = self.fleet.nodes[address]
        domain_pair = frozenset((self.member.domain, node.member.domain))
        if (
            self.alive
            and node.alive
            and not node.frozen
            and domain_pair not in self.fleet.disconnected_pairs
        ):
            return node
        await asyncio.sleep(timeout)
        return None

    def start(self) -> None:
        self.task = asyncio.get_running_loop().create_task(self.sync.run())

    def freeze(self) -> None:
        self.frozen = True
        if self.task is not None:
            self.task.cancel()

    def kill(self) -> None:
        self.alive = False
        if self.task is not None:
            self.task.cancel()


class FakeFleet:
    """Nodes in several failure domains that share one platform."""

    def __init__(self, domains: list[str], members: int, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.store = FakeStore()
        self.disconnected_pairs: set[frozenset[str]] = set()
        self.domains_without_platform: set[str] = set()
        self.is_platform_silent = False
        self.pushed: list[RecordsPush] = []
        self.nodes: dict[Address, FakeNode] = {}
        for domain in domains:
            for number in range(members):
                self.add(domain, f'{domain}-{number}')

    def add(self, domain: str, instance: str, newest_schema: int = 2) -> FakeNode:
        """Add a node to the membership views of all others, and all others to its view."""
        address = Address('127.0.0.1', len(self.nodes) + 1)
        member = build_member(instance, domain=domain, peers=address)
        node = FakeNode(self, member, newest_schema)
        for other in self.nodes.values():
            other.view.merge(member)
            node.view.merge(other.member)
        self.nodes[address] = node
        return node

    def start(self) -> None:
        for node in self.nodes.values():
            node.start()

    def live_nodes(self, domain: str) -> list[FakeNode]:
        return [n for n in self.nodes.values() if n.alive and n.member.domain == domain]

    def isolate(self, domain: str) -> None:
        """Disconnect a failure domain from the platform and from all other domains."""
        others = {n.member.domain for n in self.nodes.values()} - {domain}
        self.disconnected_pairs |= {frozenset((domain, other)) for other in others}
        self.domains_without_platform.add(domain)

    def rejoin(self) -> None:
        self.disconnected_pairs.clear()
        self.domains_without_platform.clear()

    async def wait_for_version(
        self, service: str, version: int, nodes: list[FakeNode], timeout_seconds: float = 60.0
    ) -> float:
        """Wait until a version is in force at all given nodes; return the seconds that it took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while any(n.record_cache.version(service) < version for n in nodes):
            if loop.time() - started_at > timeout_seconds:
                behind = [
                    n.member.instance for n in nodes if n.record_cache.version(service) < version
                ]
                raise AssertionError(f'version {version} not in force at {behind}')
            await asyncio.sleep(0.01)
        return loop.time() - started_at

    def max_calls_in_one_second(self, since: float) -> int:
        """Return the maximum number of platform calls in any one second after ``since``."""
        times = [t for t in self.store.call_times if t >= since]
        return max((sum(t <= other < t + 1 for other in times) for t in times), default=0)
