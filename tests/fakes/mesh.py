"""Nodes of the platform and their targets in one event loop, with a shared fake store."""

import asyncio
from collections import Counter
from random import Random
from typing import Any, NamedTuple

import msgspec

from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.mesh.node import STORE_TIMEOUT_SECONDS, MeshNode
from dunlinsaddle.mesh.settings import DeploymentLimits, MeshSettings
from dunlinsaddle.settings import Address
from tests.builders import build_configuration, build_environment, build_logger, build_route
from tests.fakes.fleet_store import STORE_ADDRESS, FleetStore
from tests.fakes.network import current_network
from tests.fakes.site import HOST, paused_wall_clock

LIMITS = DeploymentLimits(
    drain_seconds=2.0,
    grace_seconds=6.0,
    retry_ratio=0.2,
    extra_retries=55.0,
    retry_window_seconds=10.0,
    quota_slack=20.0,
    revocation_seconds=5.0,
)
HEARTBEAT_INTERVAL_SECONDS = 1.5
HEALTH_PATH = '/health'


class Arrival(NamedTuple):
    """A request that reached a target."""

    arrived_at: float
    origin: str  #: service of the instance that received it from its caller
    request_id: str


def build_refusal(req: HttpRequest, status: int = 503) -> HttpResponse:
    """Build the response of a target that does not run a request."""
    names = [(b'request-id', req.header(b'request-id').encode()), (b'not-executed', b'1')]
    return HttpResponse(status, names, b'')


class MeshTarget:
    """A target that sends heartbeats, checks the expected instance, and signs its responses."""

    def __init__(self, service: str, *, slots: int = 40, response_seconds: float = 0.01) -> None:
        self.service = service
        self.slots = slots
        self.response_seconds = response_seconds
        self.target_id = f'i-{id(self):x}'
        self.state = 'ready'
        self.started_at_ms = 1
        self.sequence = 0
        self.heartbeats_enabled = True
        self.runs: Counter[str] = Counter()
        self.cancelled = 0
        self.requests: list[HttpRequest] = []
        self.respond: Any = None  #: handler that replaces the default response
        self.extra_headers: list[tuple[bytes, bytes]] = []  #: added to each signed response
        self.arrivals: list[Arrival] = []
        self.is_leaving = False  #: reported at the health path; it still serves
        self.is_full = (
            False  #: rejects health checks, as any other request, without an answer to them
        )
        self.node: MeshNode
        self.listener = HttpListener(self.handle, HttpLimits())

    async def handle(self, req: HttpRequest) -> HttpResponse:
        if req.path == HEALTH_PATH:
            return self._health_response(req)
        request_id = req.header(b'request-id')
        now = asyncio.get_running_loop().time()
        self.arrivals.append(Arrival(now, req.header(b'caller-service'), request_id))
        if req.header(b'expected-instance') not in ('', self.target_id):
            return build_refusal(req, 421)
        self.runs[request_id] += 1
        self.requests.append(req)
        if self.respond is not None:
            return await self.respond(req)
        try:
            await asyncio.sleep(self.response_seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.signed_response(req)

    def _health_response(self, req: HttpRequest) -> HttpResponse:
        if self.is_full:
            return build_refusal(req)
        status = 503 if self.is_leaving or self.state == 'draining' else 200
        return HttpResponse(status, [(b'instance', self.target_id.encode())], b'')

    def signed_response(
        self, req: HttpRequest, status: int = 200, body: bytes = b'ok'
    ) -> HttpResponse:
        headers = [
            (b'request-id', req.header(b'request-id').encode()),
            (b'server-signature', self.target_id.encode()),
            *self.extra_headers,
        ]
        return HttpResponse(status, headers, body)

    def build_heartbeat(self, **changes: Any) -> HttpRequest:
        self.sequence += 1
        fields = {
            'service': self.service,
            'address': str(self.node.settings.target),
            'zone': 'd',
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemaining': '0ms',
            'sequence': self.sequence,
            'born': self.started_at_ms,
            **changes,
        }
        return HttpRequest(
            'PUT', f'/instances/{self.target_id}', [], msgspec.json.encode(fields), ''
        )

    async def send_heartbeat(self, client: HttpClient, **changes: Any) -> int:
        """Send one heartbeat; return the response status, 0 without a response."""
        exchange = await client.send(
            self.node.settings.announce, self.build_heartbeat(**changes), 1
        )
        return exchange.response.status if isinstance(exchange, Answered) else 0

    async def run_heartbeats(self, client: HttpClient) -> None:
        while True:
            if self.heartbeats_enabled:
                await self.send_heartbeat(client)
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)


class Mesh:
    """A cluster of nodes by name, each with its own target."""

    def __init__(self, seed: int = 5) -> None:
        self.store = FleetStore()
        self.nodes_without_store: set[str] = set()  #: get status 503 from the store
        self.isolated: set[str] = set()  #: reachable only by their callers
        self.stopped: set[str] = set()
        self.first_start = False
        self.rng = Random(seed)
        self.client = HttpClient(allow_close_delimited=True)
        self.nodes: dict[str, MeshNode] = {}
        self.targets: dict[str, MeshTarget] = {}
        self._heartbeat_tasks: list[asyncio.Task[None]] = []
        self._request_count = 0

    async def configure(self, version: str = 'r7', **options: Any) -> None:
        """Store a configuration that routes ``/SERVICE/`` to each service."""
        services = options.pop('services', ('front', 'deep'))
        tenants = options.pop('tenants', None)
        routes = [build_route(s, prefix=f'/{s}/', service=s, **options) for s in services]
        stored = self.store.objects.get(('config', 'main'))
        value = build_configuration(version, routes, tenants)
        await self.store.put('config', 'main', value, stored.version if stored else 0)

    async def add_node(
        self, name: str, service: str, domain: str = 'd', port: int = 0, **target_options: Any
    ) -> MeshNode:
        """Start a target and its node."""
        port = port or 100 * (len(self.nodes) + 1)
        target = MeshTarget(service, **target_options)
        node = self.build_node(name, service, domain, port)
        target.node = node
        self.targets[name] = target
        await target.listener.listen(node.settings.target)
        await node.start()
        node.budget.start(-LIMITS.retry_window_seconds * 2)  # it has run for long
        self._heartbeat_tasks.append(asyncio.create_task(target.run_heartbeats(self.client)))
        return node

    def build_node(self, name: str, service: str, domain: str, port: int) -> MeshNode:
        addresses = [Address(HOST, port + n) for n in range(7)]
        cfg = MeshSettings(
            name,
            domain,
            'r',
            *addresses[:6],
            addresses[6],
            service,
            STORE_ADDRESS,
            LIMITS,
            self.first_start,
        )
        env = build_environment(rng=Random(self.rng.random()), wall_clock=paused_wall_clock)
        store = self.store.connect(lambda: name in self.nodes_without_store, STORE_TIMEOUT_SECONDS)
        node = MeshNode(cfg, env, build_logger(), store)
        self._allow_isolation(name, node)
        self.nodes[name] = node
        return node

    def _allow_isolation(self, name: str, node: MeshNode) -> None:
        open_link = node.links._get_link

        async def link(address: Address) -> Any:
            if name in self.isolated or address in self._isolated_addresses():
                raise TimeoutError('isolated')
            return await open_link(address)

        node.links._get_link = link  # type: ignore[method-assign]

    def _isolated_addresses(self) -> set[Address]:
        return {self.nodes[name].settings.peers for name in self.isolated}

    def isolate(self, names: set[str]) -> None:
        """Isolate only these nodes from all others and from the store."""
        self.isolated = names
        self.nodes_without_store = set(names)
        current_network().unreachable = {self.nodes[name].settings.gossip for name in names}

    async def kill(self, name: str) -> None:
        """Stop a node without a notice to the others."""
        node = self.nodes[name]
        node.agent._started = False
        self.stopped.add(name)
        await node.stop()

    async def restart(self, name: str) -> None:
        """Start a killed node again at its address, without its previous state."""
        cfg = self.nodes[name].settings
        node = self.build_node(name, cfg.service, cfg.domain, cfg.callers.port)
        self.targets[name].node = node
        self.stopped.discard(name)
        await node.start()

    async def call(
        self, ingress: str, path: str, method: str = 'GET', timeout: float = 5.0, **headers: str
    ) -> HttpResponse:
        """Send a request; raise AssertionError without a complete response."""
        self._request_count += 1
        fields = {
            'host': 'h.example',
            'request-id': f'q-{self._request_count}',
            'deadline-milliseconds': str(int(timeout * 1000)),
            **{name.replace('_', '-'): text for name, text in headers.items()},
        }
        pairs = [(name.encode(), text.encode()) for name, text in fields.items() if text]
        req = HttpRequest(method, path, pairs, b'', '')
        exchange = await self.client.send(self.nodes[ingress].settings.callers, req, timeout + 1)
        assert isinstance(exchange, Answered), exchange
        return exchange.response

    async def stop(self) -> None:
        for task in self._heartbeat_tasks:
            task.cancel()
        self.client.close()
        for name, node in self.nodes.items():
            if name not in self.stopped:
                await node.stop()
