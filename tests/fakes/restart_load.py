"""Load of organisations on a mesh of platform nodes that all restart at once."""

import asyncio
from collections import Counter
from random import Random
from typing import Any, NamedTuple

import msgspec

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.platform.store import ABSENT
from tests.builders import build_configuration, build_route, build_tenant
from tests.fakes.mesh import Mesh

DOMAINS = ('bangor', 'caernarfon', 'menai')
SERVICES = ('front', 'deep')
NODES_PER_SERVICE_AND_DOMAIN = 2
SLOTS = 12
SERVICE_SECONDS = {'front': 0.05, 'deep': 0.25}
#: Requests a second; the calls of the deep service then use three fifths of its slots.
RATE = 160.0
ORGANISATIONS = 8
QUOTA_RATIO = 1.6  #: quota of an organisation over its usual rate
DOWN_SECONDS = 0.8  #: between the stop and the start of all nodes
IMMEDIATE_RETRY_SHARE = 0.3
TIMEOUT_SECONDS = 5.0
IN_TIME_SECONDS = 1.5  #: a response that takes longer counts as late


class Ended(NamedTuple):
    """One attempt of a caller: when it was sent, and how it ended."""

    sent_at: float
    organisation: str
    reason: str  #: empty for a response in time
    is_repeat: bool


class RestartLoad:
    """Sends requests to random nodes, each of which leads to a call of another service."""

    def __init__(self, mesh: Mesh, seed: int = 1, rate: float = RATE) -> None:
        self.mesh = mesh
        self.rate = rate  #: requests a second
        self.rng = Random(seed)
        self.ended: list[Ended] = []
        self.restarted_at = 0.0
        self._pending: set[asyncio.Task[None]] = set()

    async def start(self, **node_options: Any) -> None:
        """Configure the mesh and start its nodes, with heartbeats at random times."""
        routes = [
            build_route(s, prefix=f'/{s}/', service=s, priority=rank, timeout='5000ms')
            for rank, s in enumerate(SERVICES)
        ]
        quota = dict.fromkeys(('rateLimit', 'burst'), QUOTA_RATIO * self.rate / ORGANISATIONS)
        tenants = [build_tenant(f'o{i}', f'key-{i}', **quota) for i in range(ORGANISATIONS)]
        value = build_configuration('r7', routes, tenants)
        await self.mesh.store.put('config', 'main', value, ABSENT)
        for number in range(NODES_PER_SERVICE_AND_DOMAIN):
            for domain in DOMAINS:
                for service in SERVICES:
                    name = f'{service}-{domain}-{number}'
                    await self.mesh.add_node(
                        name,
                        service,
                        domain,
                        slots=SLOTS,
                        response_seconds=SERVICE_SECONDS[service],
                    )
                    self.mesh.targets[name].respond = self._responder(name)
                    await asyncio.sleep(self.rng.uniform(0, 0.2))

    def _responder(self, name: str) -> Any:
        target = self.mesh.targets[name]

        async def respond(req: HttpRequest) -> HttpResponse:
            await asyncio.sleep(SERVICE_SECONDS[target.service])
            if target.service == 'front':
                call_id = req.header(b'request-id') + '.1'
                response = await self._call(name, '/deep/y', call_id, '')
                if response is None or response.status != 200:
                    return target.signed_response(req, 503)
            return target.signed_response(req)

        return respond

    async def _call(
        self, ingress: str, path: str, request_id: str, key: str
    ) -> HttpResponse | None:
        headers = [
            (b'host', b'h.example'),
            (b'request-id', request_id.encode()),
            (b'deadline-milliseconds', b'%d' % (1000 * TIMEOUT_SECONDS)),
        ]
        if key:
            headers.append((b'authorization', f'Bearer {key}'.encode()))
        req = HttpRequest('GET', path, headers, b'', '')
        node = self.mesh.nodes[ingress]
        exchange = await self.mesh.client.send(node.settings.callers, req, TIMEOUT_SECONDS + 1)
        return exchange.response if isinstance(exchange, Answered) else None

    async def send_for(self, seconds: float) -> None:
        """Send requests for ``seconds``."""
        until = _now() + seconds
        while _now() < until:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            task = asyncio.create_task(self._send_with_retry())
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)

    async def restart_all(self) -> None:
        """Stop all nodes without notice, and start them together later, without their state."""
        names = list(self.mesh.nodes)
        for name in names:
            await self.mesh.kill(name)
        await asyncio.sleep(DOWN_SECONDS)
        self.restarted_at = _now()
        await asyncio.gather(*map(self.mesh.restart, names))

    async def wait(self) -> None:
        """Wait for the responses that are still pending."""
        while self._pending:
            await asyncio.gather(*self._pending)

    async def _send_with_retry(self) -> None:
        organisation = self.rng.randrange(ORGANISATIONS)
        retry_after = await self._send(organisation, is_repeat=False)
        if retry_after is None:
            return
        if self.rng.random() >= IMMEDIATE_RETRY_SHARE:
            await asyncio.sleep(min(retry_after, IN_TIME_SECONDS / 3))
        await self._send(organisation, is_repeat=True)

    async def _send(self, organisation: int, *, is_repeat: bool) -> float | None:
        sent_at = _now()
        ingress = self.rng.choice(list(self.mesh.nodes))
        request_id = f'{self.rng.getrandbits(48):x}'
        path = '/front/x' if self.rng.random() < 0.7 else '/deep/x'
        response = await self._call(ingress, path, request_id, f'key-{organisation}')
        reason = _reason(response, _now() - sent_at)
        self.ended.append(Ended(sent_at, f'o{organisation}', reason, is_repeat))
        if not reason or response is None or response.status < 429:
            return None
        return float(dict(response.headers).get(b'retry-after', b'0.5'))

    def reasons(self, since: float, seconds: float) -> Counter[str]:
        """Count the ends of the attempts sent from ``since`` seconds after the restart on."""
        start = self.restarted_at + since
        return Counter(e.reason for e in self.ended if start <= e.sent_at < start + seconds)

    def served_share(self, since: float, seconds: float) -> float:
        """Return the share of attempts that were answered in time."""
        reasons = self.reasons(since, seconds)
        return reasons[''] / max(reasons.total(), 1)


def _reason(response: HttpResponse | None, seconds: float) -> str:
    if response is None:
        return 'no connection'
    if response.status == 200:
        return '' if seconds <= IN_TIME_SECONDS else 'late'
    try:
        problem = msgspec.json.decode(response.body)
        return f'{problem["type"].rpartition("/")[2]}: {problem.get("detail", "")}'
    except msgspec.MsgspecError:
        return f'status {response.status}'


def _now() -> float:
    return asyncio.get_running_loop().time()
