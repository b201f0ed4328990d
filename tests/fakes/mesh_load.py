"""Load generator for a cluster of platform nodes, with statistics of requests and targets."""

import asyncio
import itertools
from collections import Counter
from random import Random
from typing import Any, NamedTuple

from dunlinsaddle.calls.http import HttpResponse
from standins.soak_says import max_arrivals_in_window
from tests.builders import build_configuration, build_route
from tests.fakes.mesh import Mesh, MeshTarget

SERVICE = 'deep'
#: Request paths by the rank of their route; rank 0 has the highest priority.
PATHS = {0: '/orders/x', 2: '/views/x'}
ORDER_SHARE = 0.25  #: of all requests
#: Ingress nodes. Each has a service of its own, which identifies it as the origin of a request.
INGRESS_NODES = ('a:front-a:d', 'b:front-b:e', 'c:front-c:f')
TARGETS = ('t:deep:d', 'u:deep:e', 'v:deep:f')
#: Time from the first response with a rate that an origin passes on until its requests count.
NOTICE_SECONDS = 0.5


class SentRequest(NamedTuple):
    """One request of a caller and its result."""

    request_id: str
    sent_at: float
    ingress: str
    rank: int
    status: int
    response_seconds: float
    retry_after: float


class LoadGenerator:
    """Sends ``rate`` requests per second to each ingress node, with random intervals.

    Refused requests are not sent again, so that each request shows one admission decision.
    """

    def __init__(self, mesh: Mesh, rate: float, seed: int = 1, timeout: float = 4.0) -> None:
        self.mesh = mesh
        self.rate = rate
        self.timeout = timeout
        self.rng = Random(seed)
        self.sent: list[SentRequest] = []
        #: By header and origin: when the origin first passed on a response with this header.
        self.first_header_at: dict[bytes, dict[str, float]] = {}
        self._request_numbers = itertools.count()
        self._pending: set[asyncio.Task[None]] = set()

    async def configure(self, **route_options: Any) -> None:
        """Store a configuration with routes of two ranks to one service."""
        routes = []
        for rank, path in PATHS.items():
            route = {'prefix': path.removesuffix('x'), 'service': SERVICE, 'priority': rank}
            routes.append(build_route(f'rank-{rank}', **route, **route_options))
        stored = self.mesh.store.objects.get(('config', 'main'))
        value = build_configuration('r9', routes)
        await self.mesh.store.put('config', 'main', value, stored.version if stored else 0)

    async def send_for(self, seconds: float) -> None:
        """Send requests to all ingress nodes for ``seconds``."""
        names = [ingress.partition(':')[0] for ingress in INGRESS_NODES]
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(self.rate * len(names)))
            task = loop.create_task(self._send(self.rng.choice(names)))
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)

    async def wait_for_responses(self) -> None:
        """Wait for the responses that are still pending."""
        while self._pending:
            await asyncio.gather(*self._pending)

    async def _send(self, ingress: str) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        rank = 0 if self.rng.random() < ORDER_SHARE else 2
        request_id = f'load-{next(self._request_numbers)}'
        response = await self.mesh.call(
            ingress, PATHS[rank], timeout=self.timeout, request_id=request_id
        )
        now = loop.time()
        self._record_headers(ingress, response, now)
        headers = dict(response.headers)
        retry_after = float(headers.get(b'retry-after', b'0'))
        self.sent.append(
            SentRequest(
                request_id, sent_at, ingress, rank, response.status, now - sent_at, retry_after
            )
        )

    def _record_headers(self, ingress: str, response: HttpResponse, now: float) -> None:
        origin = self.mesh.nodes[ingress].settings.service
        for name, _ in response.headers:
            self.first_header_at.setdefault(name, {}).setdefault(origin, now)

    def served_share(self, rank: int, since: float = 0.0) -> float:
        """Return the share of requests of a rank, sent after ``since``, that were served."""
        counts = Counter(
            request.status == 200
            for request in self.sent
            if request.rank == rank and request.sent_at >= since
        )
        return counts[True] / max(counts.total(), 1)

    def max_requests_in_window(self, target: MeshTarget, announced_at: float) -> int:
        """Return the most requests in a window from origins that know the rate of the target."""
        first_response_at = self.first_header_at.get(b'server-limit', {})
        arrival_times = [
            a.arrived_at
            for a in target.arrivals
            if a.arrived_at >= first_response_at.get(a.origin, float('inf')) + NOTICE_SECONDS
        ]
        return max_arrivals_in_window(arrival_times, announced_at)
