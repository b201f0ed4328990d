"""Callers of a whole fleet of nodes in one loop, and what they and the targets see."""

import asyncio
import itertools
from collections import Counter
from random import Random
from typing import Any, NamedTuple

from dunlinsaddle.calls.http import HttpResponse
from standins.soak_says import most_in_window
from tests.builders import build_configuration, build_route
from tests.fakes.mesh import Mesh, MeshTarget

SERVICE = 'deep'
#: Paths of requests by the rank of their route; 0 is the most valued.
PATHS = {0: '/orders/x', 2: '/views/x'}
ORDER_SHARE = 0.25  #: of all requests
#: Entries, each of a service of its own, which tells where a request began; and three targets.
ENTRIES = ('a:front-a:d', 'b:front-b:e', 'c:front-c:f')
TARGETS = ('t:deep:d', 'u:deep:e', 'v:deep:f')
TOLD_BEFORE = 0.5  #: seconds since an instance passed on an answer that names it


class Asked(NamedTuple):
    """One request of a caller and its answer."""

    request_id: str
    when: float
    entry: str
    rank: int
    status: int
    seconds: float
    retry_after: float


class Callers:
    """Callers at the entries, each at so many requests a second, with some clients' habits.

    They do not come again after a refusal, so that each request shows what was decided on it.
    """

    def __init__(self, mesh: Mesh, rate: float, seed: int = 1, timeout: float = 4.0) -> None:
        self.mesh = mesh
        self.rate = rate
        self.timeout = timeout
        self.rng = Random(seed)
        self.asked: list[Asked] = []
        #: When each instance passed on an answer with a header of its target first.
        self.told: dict[bytes, dict[str, float]] = {}
        self._numbers = itertools.count()
        self._out: set[asyncio.Task[None]] = set()

    async def configure(self, **terms: Any) -> None:
        """Write routes of two ranks to one service."""
        routes = []
        for rank, path in PATHS.items():
            named = {'prefix': path.removesuffix('x'), 'service': SERVICE, 'priority': rank}
            routes.append(build_route(f'rank-{rank}', **named, **terms))
        held = self.mesh.store.objects.get(('config', 'main'))
        value = build_configuration('r9', routes)
        await self.mesh.store.put('config', 'main', value, held.version if held else 0)

    async def ask_for(self, seconds: float) -> None:
        """Ask at all entries for a while."""
        names = [entry.partition(':')[0] for entry in ENTRIES]
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(self.rate * len(names)))
            task = loop.create_task(self._ask(self.rng.choice(names)))
            self._out.add(task)
            task.add_done_callback(self._out.discard)

    async def end(self) -> None:
        """Wait for the answers that are still out."""
        while self._out:
            await asyncio.gather(*self._out)

    async def _ask(self, entry: str) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        rank = 0 if self.rng.random() < ORDER_SHARE else 2
        request_id = f'load-{next(self._numbers)}'
        response = await self.mesh.call(
            entry, PATHS[rank], timeout=self.timeout, request_id=request_id
        )
        now = loop.time()
        self._note(entry, response, now)
        found = dict(response.headers)
        wait = float(found.get(b'retry-after', b'0'))
        self.asked.append(Asked(request_id, began, entry, rank, response.status, now - began, wait))

    def _note(self, entry: str, response: HttpResponse, now: float) -> None:
        origin = self.mesh.nodes[entry].settings.service
        for name, _ in response.headers:
            self.told.setdefault(name, {}).setdefault(origin, now)

    def served(self, rank: int, since: float = 0.0) -> float:
        """Give the share of the requests of a rank that were served."""
        counts = Counter(
            one.status == 200 for one in self.asked if one.rank == rank and one.when >= since
        )
        return counts[True] / max(counts.total(), 1)

    def most_in_window(self, target: MeshTarget, named_at: float) -> int:
        """Give the most requests that a target got in a window from instances told of its rate."""
        told = self.told.get(b'server-limit', {})
        counted = [
            a.when
            for a in target.arrivals
            if a.when >= told.get(a.origin, float('inf')) + TOLD_BEFORE
        ]
        return most_in_window(counted, named_at)
