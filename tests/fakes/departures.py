"""A target beside a node: its starts, late messages and departures, and restarts of the node."""

import asyncio
import itertools
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from tests.fakes.mesh import LIMITS, Mesh, MeshTarget

FIRST_START_MS = 5000
STEP_SECONDS = 0.3  #: between two events
CALL_INTERVAL_SECONDS = 0.2
#: A target that has left serves on for so long, and a live one must get requests again by then.
SERVED_ON_SECONDS = 4.0


class NextStart(Enum):
    """The second start of the target under its id, by its start time in milliseconds."""

    NONE = None
    LATER = FIRST_START_MS + 4000
    SAME = FIRST_START_MS
    EARLIER = FIRST_START_MS - 4000  #: its clock was set back


class Late(Enum):
    """A message that arrives later than others that were sent after it."""

    NONE = 'none'
    READY = 'ready'  #: the latest heartbeat of the present start that it sent before it left
    FORMER_READY = 'former-ready'
    FORMER_DRAINING = 'former-draining'
    FORMER_DELETE = 'former-delete'


class Departure(Enum):
    """How the target announces that it leaves."""

    NONE = 'none'
    DELETE = 'delete'
    DRAINING = 'draining'


class NodeRestart(Enum):
    """When the node is killed and started again."""

    NEVER = 'never'
    BEFORE_DEPARTURE = 'before'
    AFTER_DEPARTURE = 'after'


class Order(NamedTuple):
    """One order of events."""

    next_start: NextStart
    early: Late  #: arrives before the departure
    departure: Departure
    node: NodeRestart
    late: Late  #: arrives after the departure


def all_orders(next_start: NextStart) -> Iterator[Order]:
    """Return all orders with this second start that can occur."""
    choices = itertools.product([next_start], Late, Departure, NodeRestart, Late)
    for order in itertools.starmap(Order, choices):
        has_former = next_start is not NextStart.NONE
        late = {order.early, order.late} - {Late.NONE, Late.READY}
        if late and not has_former:
            continue
        if order.early is order.late is not Late.NONE or order.early is Late.READY:
            continue
        if order.departure is Departure.NONE and order.late is not Late.NONE:
            continue
        yield order


class Findings(NamedTuple):
    """What was wrong, each 0 or False if nothing was."""

    late_arrivals: int  #: requests later than the drain time after an acknowledged departure
    unserved: bool  #: a live target got no requests
    unacknowledged: bool  #: a departure that the target repeated was not acknowledged


class DepartureScenario:
    """Plays one order and watches what reaches the target."""

    def __init__(self, mesh: Mesh, order: Order) -> None:
        self.mesh = mesh
        self.order = order
        self.target: MeshTarget = mesh.targets['b']
        self.client = HttpClient()
        self.left_at = float('inf')  #: when a departure of the present start was acknowledged
        self.former: dict[Late, HttpRequest] = {}

    async def run(self) -> Findings:
        """Play the order beside callers at two nodes."""
        callers = [asyncio.create_task(self._call(name)) for name in ('a', 'c')]
        try:
            await self._play()
        finally:
            for task in callers:
                task.cancel()
        arrived_at = [arrival.arrived_at for arrival in self.target.arrivals]
        late = sum(at > self.left_at + LIMITS.drain_seconds for at in arrived_at)
        leaves = self.order.departure is not Departure.NONE
        recent = asyncio.get_running_loop().time() - 2.0
        unserved = not leaves and not any(at > recent for at in arrived_at)
        return Findings(late, unserved, leaves and self.left_at == float('inf'))

    async def _play(self) -> None:
        order = self.order
        target = self.target
        target.heartbeats_enabled = True
        await asyncio.sleep(2.0)
        if order.next_start is not NextStart.NONE:
            self._start_again(order.next_start.value)
            await asyncio.sleep(2.0)
        await self._send_late(order.early)
        delayed = target.build_heartbeat()
        if order.node is NodeRestart.BEFORE_DEPARTURE:
            await self._restart_node()
        await self._leave()
        if order.node is NodeRestart.AFTER_DEPARTURE:
            await self._restart_node()
        self.former[Late.READY] = delayed
        await self._send_late(order.late)
        await asyncio.sleep(SERVED_ON_SECONDS)

    def _start_again(self, started_at_ms: int) -> None:
        target = self.target
        path = f'/instances/{target.target_id}'
        self.former = {
            Late.FORMER_READY: target.build_heartbeat(),
            Late.FORMER_DRAINING: target.build_heartbeat(state='draining'),
            Late.FORMER_DELETE: HttpRequest('DELETE', path, [], b'', ''),
        }
        target.started_at_ms, target.sequence = started_at_ms, 0

    async def _send_late(self, late: Late) -> None:
        if late is not Late.NONE:
            await self._send(self.former[late])
            await asyncio.sleep(STEP_SECONDS)

    async def _restart_node(self) -> None:
        await self.mesh.kill('b')
        await asyncio.sleep(STEP_SECONDS)
        await self.mesh.restart('b')
        await asyncio.sleep(STEP_SECONDS)

    async def _leave(self) -> None:
        """Announce the departure, again if it was not acknowledged, as targets do."""
        target = self.target
        if self.order.departure is Departure.NONE:
            return
        if self.order.departure is Departure.DELETE:
            target.is_leaving, target.heartbeats_enabled = True, False
            req = HttpRequest('DELETE', f'/instances/{target.target_id}', [], b'', '')
        else:
            target.state = 'draining'
        for _ in range(3):
            if self.order.departure is Departure.DRAINING:
                req = target.build_heartbeat()
            if await self._send(req) == 200:
                self.left_at = asyncio.get_running_loop().time()
                break
            await asyncio.sleep(STEP_SECONDS)
        await asyncio.sleep(STEP_SECONDS)

    async def _send(self, req: HttpRequest) -> int:
        exchange = await self.client.send(self.target.node.settings.announce, req, 1.0)
        return exchange.response.status if isinstance(exchange, Answered) else 0

    async def _call(self, ingress: str) -> None:
        calls: set[asyncio.Task[object]] = set()
        try:
            while True:
                calls.add(asyncio.create_task(self.mesh.call(ingress, '/deep/x', timeout=1.0)))
                await asyncio.sleep(CALL_INTERVAL_SECONDS)
        finally:
            for task in calls:
                task.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
