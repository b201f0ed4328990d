"""Gossip of admitted levels to ingress nodes that learn little from their own requests."""

import asyncio
import math
from random import Random

from testtools import TestCase

from dunlinsaddle.membership.messages import LevelReport, MessageCodec
from dunlinsaddle.mesh.level_gossip import GOSSIP_INTERVAL_SECONDS
from dunlinsaddle.policy.context import LOWEST_LEVEL
from dunlinsaddle.policy.level import ChainLevels, ReportedLevel
from tests.builders import build_member
from tests.fakes.network import GossipSimulation
from tests.mesh_case import MeshTest

ADMITTED_LEVEL = 320.0  #: admits half of the lowest rank
MESSAGES_PER_ROUND = 2  #: that an ingress node receives
RESPONSE_DELAY_SECONDS = 0.4


def simulate_ingress(rate: float, *, gossip: bool, seconds: float = 600.0) -> tuple[float, float]:
    """Return the shares of requests admitted above the level, and refused below it.

    One ingress node gets ``rate`` requests per second.
    """
    rng = Random(8)
    levels = ChainLevels()
    levels.record_response(0.0, 'deep', 'lookup', ReportedLevel(ADMITTED_LEVEL))
    responses: list[float] = []
    above = admitted_above = within = refused_within = 0
    now, gossiped_at = 0.0, 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        while gossip and gossiped_at + GOSSIP_INTERVAL_SECONDS < now:
            gossiped_at += rng.expovariate(MESSAGES_PER_ROUND / GOSSIP_INTERVAL_SECONDS)
            levels.record_level(
                gossiped_at, 'deep', ReportedLevel(ADMITTED_LEVEL + rng.uniform(-5, 5))
            )
        while responses and responses[0] <= now:
            levels.record_response(
                responses.pop(0), 'deep', 'lookup', ReportedLevel(ADMITTED_LEVEL)
            )
        level = rng.randrange(256, LOWEST_LEVEL + 1)
        failure = levels.check(now, 'deep', 'lookup', level)
        if failure is None:
            responses.append(now + RESPONSE_DELAY_SECONDS)
        is_within = level <= ADMITTED_LEVEL
        within += is_within
        above += not is_within
        admitted_above += not is_within and failure is None
        refused_within += is_within and failure is not None
    return admitted_above / above, refused_within / within


class LowTrafficIngressTest(TestCase):
    def test_gossip_keeps_the_level_accurate_at_an_ingress_with_few_requests(self):
        # Hundreds of ingress nodes get three requests per second each. After half a second without
        # a response, a node forgets the level of a service and admits requests that fail three
        # hops later. A node that refuses requests gets no responses to learn the level from.
        for rate in (5.0, 2.5, 1.0):
            admitted_without_gossip, _ = simulate_ingress(rate, gossip=False)
            admitted, refused = simulate_ingress(rate, gossip=True)
            self.assertGreater(admitted_without_gossip, 0.3)
            self.assertLess(admitted, 0.03)
            self.assertLess(refused, 0.02)


class LevelGossipTest(TestCase):
    def count_received(self, count: int, targets: int) -> dict[str, int]:
        """Let the nodes of targets gossip for a second; return the messages that each node got."""
        net = GossipSimulation(3)
        net.add_nodes(count, domains=5)
        for index, node in enumerate(net.nodes.values()):
            service = 'deep' if index < targets else 'front'
            for other in net.nodes.values():
                other.view.merge(node.me._replace(incarnation=2, service=service))
            node.me = node.me._replace(incarnation=2, service=service)
        received = dict.fromkeys(net.nodes, 0)

        def receive(name: str, service: str, level: float) -> None:
            assert (service, level) == ('deep', 300.0)
            received[name] += 1

        for name, node in net.nodes.items():
            node.on_level = lambda service, level, name=name: receive(name, service, level)
        for _ in range(4):
            for name in list(net.nodes)[:targets]:
                net.send(name, net.nodes[name].send_level(300.0))
            net.run(GOSSIP_INTERVAL_SECONDS)
        return received

    def test_an_invalid_level_is_rejected(self):
        # One such value would stay in the average that requests are refused by.
        codec = MessageCodec('a-key')
        header = {'sender': 'n', 'reply_to': build_member().gossip}
        for level in (math.nan, math.inf, -1.0, 1e9):
            self.assertIsNone(codec.decode(codec.encode(LevelReport(**header, level=level))), level)
        self.assertIsNotNone(codec.decode(codec.encode(LevelReport(**header, level=300.0))))

    def test_each_node_receives_a_level_several_times_per_second(self):
        for count, targets in ((194, 50), (70, 4)):
            received = self.count_received(count, targets)
            self.assertGreater(sum(received.values()) / count, 7.0)
            self.assertLess(sum(n < 2 for n in received.values()) / count, 0.05)


class MeshLevelTest(MeshTest):
    def test_an_idle_ingress_learns_that_a_service_is_overloaded(self):
        # The ingress sends one request while the service has capacity. Then another ingress
        # overloads the service, and the first must know the level without sending a request.
        async def scenario(mesh):
            mesh.targets['b'].slots = 4
            mesh.targets['b'].response_seconds = 0.2
            await asyncio.sleep(2)
            await mesh.call('a', '/deep/x')
            levels = mesh.nodes['a'].executor.levels
            level_before = levels.admitted_level(asyncio.get_running_loop().time(), 'deep', 'deep')
            calls = [
                asyncio.create_task(self.call_after(mesh, 'c', delay=n / 100)) for n in range(300)
            ]
            await asyncio.sleep(2.9)
            level_after = levels.admitted_level(asyncio.get_running_loop().time(), 'deep', 'deep')
            await asyncio.gather(*calls)
            return level_before, level_after

        level_before, level_after = self.run_mesh(
            scenario, targets=('a:front', 'b:deep', 'c:front')
        )
        self.assertEqual(LOWEST_LEVEL, level_before)
        self.assertLess(level_after, LOWEST_LEVEL)

    async def call_after(self, mesh, ingress, delay):
        await asyncio.sleep(delay)
        await mesh.call(ingress, '/deep/x', timeout=0.5)
