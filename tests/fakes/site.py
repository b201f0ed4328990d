"""Complete nodes and their targets in one event loop.

The links between nodes can be cut, and can lose replies.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.calls.messages import Lost, Reply
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.membership.roster import ROSTER_KIND
from dunlinsaddle.node import Node
from dunlinsaddle.records.changes import RECORD_KIND
from dunlinsaddle.settings import Address
from tests.builders import build_document, build_environment, build_logger, build_settings
from tests.fakes.store import FakeStore

HOST = '127.0.0.1'
CALL_HEADER = b'dunlinsaddle-call'


def paused_wall_clock() -> float:
    """Return a Unix time that follows the paused clock.

    With the machine's wall clock, each node would lag behind the nodes started before it by as
    much as the paused clock jumped in between, which differs from run to run.
    """
    return 1_790_000_000.0 + asyncio.get_running_loop().time()


async def seconds_until(read: Callable[[], Any], is_expected: Callable[[Any], bool]) -> float:
    """Poll a value until it is as expected, and return the seconds it took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not is_expected(await read()):
        assert loop.time() - started_at < 60, 'not within a minute'
        await asyncio.sleep(0.1)
    return loop.time() - started_at


class Target:
    """Holds a slot for a fixed time, then calls its downstream services for the same request."""

    def __init__(
        self, *, downstream: tuple[str, ...] = (), slots: int = 1000, service_seconds: float = 0.01
    ):
        self.downstream = downstream
        self.service_seconds = service_seconds
        self.slots = asyncio.Semaphore(slots)
        self.runs: Counter[str] = Counter()  #: by id of the root request
        self.cancelled = 0
        self.node: Node
        self.listener = HttpListener(self.handle, HttpLimits())

    async def handle(self, req: HttpRequest) -> HttpResponse:
        self.runs[req.header(b'dunlinsaddle-request')] += 1
        try:
            async with self.slots:
                await asyncio.sleep(self.service_seconds)
            statuses = [await self.call(path, req) for path in self.downstream]
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        all_succeeded = all(status == 200 for status in statuses)
        return HttpResponse(200 if all_succeeded else 502, [], req.path.encode())

    async def call(self, path: str, req: HttpRequest) -> int:
        method, _, path = path.rpartition(' ')
        headers = [(CALL_HEADER, req.header(CALL_HEADER).encode())]
        downstream_req = HttpRequest(method or 'GET', path, headers, b'', '')
        exchange = await HttpClient().send(self.node.addresses.local, downstream_req, 30)
        return exchange.response.status if isinstance(exchange, Answered) else 0


class Site:
    """Runs nodes, each with at most one target, that share one store."""

    def __init__(self, seed: int = 5) -> None:
        self.store = FakeStore(separate_kinds={ROSTER_KIND})
        self.nodes: dict[str, Node] = {}
        self.targets: dict[str, Any] = {}
        self.client = HttpClient()
        self.rng = Random(seed)
        self.reply_loss_rate = 0.0  #: share of the replies between nodes that get lost
        #: Whether the link between two failure domains is cut.
        self.is_link_cut: Callable[[str, str], bool] = lambda one, other: False
        self._domains: dict[Address, str] = {}

    async def write_record(self, service: str = 'cut-orders', **changes: Any) -> int:
        stored = self.store.objects.get((RECORD_KIND, service))
        value = {'record': build_document(service, **changes)}
        written = await self.store.put(RECORD_KIND, service, value, stored.version if stored else 0)
        return written.unwrap().version

    async def start_node(
        self, name: str, domain: str = 'bangor-hall', store: Any = None, **settings: str
    ) -> Node:
        port = 100 * (len(self.nodes) + 1)
        names = ('callers', 'local', 'peers', 'operators', 'gossip')
        addresses = {listener: f'{HOST}:{port + n}' for n, listener in enumerate(names)}
        cfg = build_settings(instance=name, domain=domain, **addresses, **settings)
        env = build_environment(rng=Random(self.rng.random()), wall_clock=paused_wall_clock)
        node = Node(cfg, env, build_logger())
        node.use_store(store or self.store)
        self._inject_faults(node, domain)
        await node.start()
        self.nodes[name] = node
        self._domains[node.addresses.peers] = self._domains[node.addresses.gossip] = domain
        return node

    async def start_target(
        self, name: str, service: str, target: Any = None, domain: str = 'bangor-hall'
    ) -> Node:
        """Start a target and its node."""
        target = target or Target()
        node = await self.start_node(name, domain)
        target.node = node
        address = Address(HOST, node.addresses.callers.port + 10)
        await target.listener.listen(address)
        announcement = {'service': service, 'address': str(address)}
        req = HttpRequest('POST', '/-/announce', [], msgspec.json.encode(announcement), '')
        await self.client.send(node.addresses.local, req, 5)
        self.targets[name] = target
        return node

    async def call(
        self, entry: str, path: str, method: str = 'GET', timeout: float = 60, **headers: str
    ) -> HttpResponse:
        """Send a request; fail when no complete response arrives."""
        header_list = [(n.replace('_', '-').encode(), v.encode()) for n, v in headers.items()]
        req = HttpRequest(method, path, header_list, b'', '')
        exchange = await self.client.send(self.nodes[entry].addresses.callers, req, timeout)
        assert isinstance(exchange, Answered), exchange
        return exchange.response

    async def stop(self) -> None:
        self.client.close()
        for node in self.nodes.values():
            await node.stop()

    def _inject_faults(self, node: Node, domain: str) -> None:
        """Apply ``is_link_cut`` and ``reply_loss_rate`` to the links and gossip of a node."""
        call, connect, listen = node.links.call, node.links._connect, node.agent.listen

        def is_unreachable(address: Address) -> bool:
            return self.is_link_cut(domain, self._domains.get(address, domain))

        async def call_with_loss(address: Address, frame: Any) -> Any:
            reply = await call(address, frame)
            is_lost = isinstance(reply, Reply) and self.rng.random() < self.reply_loss_rate
            return Lost('the reply got lost') if is_lost else reply

        async def connect_unless_cut(address: Address) -> Any:
            if is_unreachable(address):
                await asyncio.sleep(1)
                raise TimeoutError
            link = await connect(address)
            receive, write = link.data_received, link.transport.write
            link.data_received = lambda data: None if is_unreachable(address) else receive(data)
            link.transport.write = lambda data: None if is_unreachable(address) else write(data)
            return link

        async def listen_with_cuts(open_gossip: Any, address: Address) -> Any:
            async def open_with_cuts(local: Address, receiver: Any) -> Any:
                transport = await open_gossip(local, receiver)
                send = transport.send
                transport.send = lambda to, data: None if is_unreachable(to) else send(to, data)
                return transport

            return await listen(open_with_cuts, address)

        node.links.call = call_with_loss  # type: ignore[method-assign]
        node.links._connect = connect_unless_cut  # type: ignore[method-assign]
        node.agent.listen = listen_with_cuts  # type: ignore[method-assign,assignment]
