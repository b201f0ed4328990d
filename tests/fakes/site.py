"""Whole nodes with their targets in one loop, links that can be cut and lose answers."""

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse
from dunlinsaddle.calls.listener import HttpListener
from dunlinsaddle.calls.messages import Lost, Reply
from dunlinsaddle.membership.roster import ROSTER_KIND
from dunlinsaddle.node import Node
from dunlinsaddle.records.changes import RECORD_KIND
from dunlinsaddle.settings import Address
from tests.builders import build_document, build_environment, build_logger, build_settings
from tests.fakes.store import FakeStore

HOST = '127.0.0.1'
CALL_HEADER = b'dunlinsaddle-call'


def paused_wall_clock() -> float:
    """Give Unix time as the paused clock has it.

    With the machine's own, each node would be behind the ones before it by as much as the
    paused clock had jumped meanwhile, and how much that is would be chance.
    """
    return 1_790_000_000.0 + asyncio.get_running_loop().time()


async def seconds_until(look: Callable[[], Any], good: Callable[[Any], bool]) -> float:
    """Look again and again until what is seen is good; gives how long it took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not good(await look()):
        assert loop.time() - began < 60, 'not within a minute'
        await asyncio.sleep(0.1)
    return loop.time() - began


class Target:
    """Has slots, takes its time, and then calls the services below on behalf of its caller."""

    def __init__(
        self, *, downstream: tuple[str, ...] = (), slots: int = 1000, service_seconds: float = 0.01
    ):
        self.downstream = downstream
        self.service_seconds = service_seconds
        self.slots = asyncio.Semaphore(slots)
        self.runs: Counter[str] = Counter()  #: by the id of the root request
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
        good = all(status == 200 for status in statuses)
        return HttpResponse(200 if good else 502, [], req.path.encode())

    async def call(self, path: str, req: HttpRequest) -> int:
        method, _, path = path.rpartition(' ')
        headers = [(CALL_HEADER, req.header(CALL_HEADER).encode())]
        down = HttpRequest(method or 'GET', path, headers, b'', '')
        exchange = await HttpClient().send(self.node.addresses.local, down, 30)
        return exchange.response.status if isinstance(exchange, Answered) else 0


class Site:
    """Nodes by name, each with at most one target, over one store."""

    def __init__(self, seed: int = 5) -> None:
        self.store = FakeStore(separate_kinds={ROSTER_KIND})
        self.nodes: dict[str, Node] = {}
        self.targets: dict[str, Any] = {}
        self.client = HttpClient()
        self.rng = Random(seed)
        self.reply_loss_rate = 0.0  #: share of the answers between nodes that get lost
        self.is_link_cut: Callable[[str, str], bool] = lambda one, other: (
            False
        )  #: of failure domains
        self._names: dict[Address, str] = {}

    async def write_record(self, service: str = 'cut-orders', **changes: Any) -> int:
        held = self.store.objects.get((RECORD_KIND, service))
        value = {'record': build_document(service, **changes)}
        written = await self.store.put(RECORD_KIND, service, value, held.version if held else 0)
        return written.unwrap().version

    async def start_node(
        self, name: str, domain: str = 'bangor-hall', store: Any = None, **settings: str
    ) -> Node:
        port = 100 * (len(self.nodes) + 1)
        names = ('callers', 'local', 'peers', 'operators', 'gossip')
        faces = {listener: f'{HOST}:{port + n}' for n, listener in enumerate(names)}
        cfg = build_settings(instance=name, domain=domain, **faces, **settings)
        env = build_environment(rng=Random(self.rng.random()), wall_clock=paused_wall_clock)
        node = Node(cfg, env, build_logger())
        node.use_store(store or self.store)
        self._break_links(node, domain)
        await node.start()
        self.nodes[name] = node
        self._names[node.addresses.peers] = self._names[node.addresses.gossip] = domain
        return node

    async def start_target(
        self, name: str, service: str, target: Any = None, domain: str = 'bangor-hall'
    ) -> Node:
        """Start a target and the node beside it."""
        target = target or Target()
        node = await self.start_node(name, domain)
        target.node = node
        address = Address(HOST, node.addresses.callers.port + 10)
        await target.listener.listen(address)
        said = {'service': service, 'address': str(address)}
        req = HttpRequest('POST', '/-/announce', [], msgspec.json.encode(said), '')
        await self.client.send(node.addresses.local, req, 5)
        self.targets[name] = target
        return node

    async def call(
        self, entry: str, path: str, method: str = 'GET', timeout: float = 60, **headers: str
    ) -> HttpResponse:
        """Send a request; fails where no whole answer came."""
        named = [(n.replace('_', '-').encode(), v.encode()) for n, v in headers.items()]
        req = HttpRequest(method, path, named, b'', '')
        exchange = await self.client.send(self.nodes[entry].addresses.callers, req, timeout)
        assert isinstance(exchange, Answered), exchange
        return exchange.response

    async def stop(self) -> None:
        self.client.close()
        for node in self.nodes.values():
            await node.stop()

    def _break_links(self, node: Node, domain: str) -> None:
        """Make the links and datagrams of a node subject to the faults of this site."""
        call, dial, listen = node.links.call, node.links._connect, node.agent.listen

        def away(address: Address) -> bool:
            return self.is_link_cut(domain, self._names.get(address, domain))

        async def losing(address: Address, frame: Any) -> Any:
            reply = await call(address, frame)
            lost = isinstance(reply, Reply) and self.rng.random() < self.reply_loss_rate
            return Lost('the answer got lost') if lost else reply

        async def dialling(address: Address) -> Any:
            if away(address):
                await asyncio.sleep(1)
                raise TimeoutError
            link = await dial(address)
            take, write = link.data_received, link.transport.write
            link.data_received = lambda data: None if away(address) else take(data)
            link.transport.write = lambda data: None if away(address) else write(data)
            return link

        async def listening(open_gossip: Any, address: Address) -> Any:
            async def opened(at: Address, receiver: Any) -> Any:
                transport = await open_gossip(at, receiver)
                send = transport.send
                transport.send = lambda to, data: None if away(to) else send(to, data)
                return transport

            return await listen(opened, address)

        node.links.call = losing  # type: ignore[method-assign]
        node.links._connect = dialling  # type: ignore[method-assign]
        node.agent.listen = listening  # type: ignore[method-assign,assignment]
