"""Entries that get few requests know which of them a service further down would refuse."""

import asyncio
import math
from random import Random

from testtools import TestCase

from dunlinsaddle.membership.messages import Level, Sealer
from dunlinsaddle.mesh.level_gossip import GOSSIP_INTERVAL_SECONDS
from dunlinsaddle.policy.context import LOWEST_LEVEL
from dunlinsaddle.policy.level import ChainLevels, ReportedLevel
from tests.builders import build_member
from tests.fakes.network import Machines
from tests.mesh_case import MeshTest

ADMITTED = 320.0  #: half of the lowest rank
WORDS_A_ROUND = 2  #: that an entry hears
ANSWER_AGE = 0.4  #: seconds that an answer is under way


def begun_in_vain(rate: float, *, news: bool, seconds: float = 600.0) -> tuple[float, float]:
    """Give the shares of requests let in beyond the level, and refused below it, at one entry."""
    rng = Random(8)
    levels = ChainLevels()
    levels.record_response(0.0, 'deep', 'lookup', ReportedLevel(ADMITTED))
    answers: list[float] = []
    beyond = vain = within = refused = 0
    now, told = 0.0, 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        while news and told + GOSSIP_INTERVAL_SECONDS < now:
            told += rng.expovariate(WORDS_A_ROUND / GOSSIP_INTERVAL_SECONDS)
            levels.record_level(told, 'deep', ReportedLevel(ADMITTED + rng.uniform(-5, 5)))
        while answers and answers[0] <= now:
            levels.record_response(answers.pop(0), 'deep', 'lookup', ReportedLevel(ADMITTED))
        level = rng.randrange(256, LOWEST_LEVEL + 1)
        failure = levels.check(now, 'deep', 'lookup', level)
        if failure is None:
            answers.append(now + ANSWER_AGE)
        good = level <= ADMITTED
        within += good
        beyond += not good
        vain += not good and failure is None
        refused += good and failure is not None
    return vain / beyond, refused / within


class SparseEntryTest(TestCase):
    def test_few_begin_in_vain_however_few_requests_an_entry_gets(self):
        # A request passes three hops and fails, as its entry has heard nothing of the service for
        # half a second. Hundreds of entries each get three requests a second, and are refused
        # the very answers that would tell them.
        for rate in (5.0, 2.5, 1.0):
            without, _ = begun_in_vain(rate, news=False)
            vain, refused = begun_in_vain(rate, news=True)
            self.assertGreater(without, 0.3)
            self.assertLess(vain, 0.03)
            self.assertLess(refused, 0.02)


class LevelGossipTest(TestCase):
    def heard(self, count: int, targets: int) -> dict[str, int]:
        """Let each target's node tell its level for a second; gives how often each node heard."""
        net = Machines(3)
        net.fill(count, domains=5)
        for index, node in enumerate(net.nodes.values()):
            service = 'deep' if index < targets else 'front'
            for other in net.nodes.values():
                other.view.take(node.me._replace(incarnation=2, service=service))
            node.me = node.me._replace(incarnation=2, service=service)
        times = dict.fromkeys(net.nodes, 0)

        def hear(name: str, service: str, level: float) -> None:
            assert (service, level) == ('deep', 300.0)
            times[name] += 1

        for name, node in net.nodes.items():
            node.on_level = lambda service, level, name=name: hear(name, service, level)
        for _ in range(4):
            for name in list(net.nodes)[:targets]:
                net.send(name, net.nodes[name].tell_level(300.0))
            net.run(GOSSIP_INTERVAL_SECONDS)
        return times

    def test_an_absurd_level_is_refused(self):
        # One such number would stay in the average that entries refuse by, for good.
        sealer = Sealer('a-key')
        head = {'sender': 'n', 'reply_to': build_member().gossip}
        for level in (math.nan, math.inf, -1.0, 1e9):
            self.assertIsNone(sealer.open(sealer.seal(Level(**head, level=level))), level)
        self.assertIsNotNone(sealer.open(sealer.seal(Level(**head, level=300.0))))

    def test_each_node_hears_a_level_several_times_a_second(self):
        for count, targets in ((194, 50), (70, 4)):
            times = self.heard(count, targets)
            self.assertGreater(sum(times.values()) / count, 7.0)
            self.assertLess(sum(n < 2 for n in times.values()) / count, 0.05)


class MeshLevelTest(MeshTest):
    def test_an_entry_that_sent_nothing_lately_knows_that_a_service_is_full(self):
        # One request is answered while the service has room. Then others fill it from elsewhere:
        # the first request of this entry that it would refuse is refused here.
        async def scenario(mesh):
            mesh.targets['b'].slots = 4
            mesh.targets['b'].response_seconds = 0.2
            await asyncio.sleep(2)
            await mesh.call('a', '/deep/x')
            levels = mesh.nodes['a'].executor.levels
            free = levels.admitted_level(asyncio.get_running_loop().time(), 'deep', 'deep')
            flood = [asyncio.create_task(self.press(mesh, 'c', began=n / 100)) for n in range(300)]
            await asyncio.sleep(2.9)
            full = levels.admitted_level(asyncio.get_running_loop().time(), 'deep', 'deep')
            await asyncio.gather(*flood)
            return free, full

        free, full = self.run_mesh(scenario, targets=('a:front', 'b:deep', 'c:front'))
        self.assertEqual(LOWEST_LEVEL, free)
        self.assertLess(full, LOWEST_LEVEL)

    async def press(self, mesh, entry, began):
        await asyncio.sleep(began)
        await mesh.call(entry, '/deep/x', timeout=0.5)
