import asyncio
from random import Random

from dunlinsaddle.membership.agent import GossipAgent
from dunlinsaddle.membership.coordinators import COORDINATORS_PER_DOMAIN, rank_by_hash
from dunlinsaddle.membership.roster import ROSTER_KIND, Bootstrap, RosterStore
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.settings import Address
from tests.builders import PEER_KEY, build_member
from tests.clock import PausedClockTest
from tests.fakes.network import open_in_memory
from tests.fakes.store import FakeStore


class Fleet:
    """Gossip agents and roster bootstraps of several nodes on one event loop with a fake store."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.agents: dict[str, GossipAgent] = {}
        self.tasks: dict[str, list[asyncio.Task[None]]] = {}

    async def start(self, name: str, domain: str, seeds: tuple[Address, ...] = ()) -> Member:
        rng = Random(name)
        agent = GossipAgent(MemberView(), PEER_KEY, rng, seeds)
        address = await agent.listen(open_in_memory, Address('127.0.0.1', 0))
        incarnation = int(asyncio.get_running_loop().time() * 1000) + 1
        me = build_member(name, domain=domain, gossip=address, incarnation=incarnation)
        agent.start(me)
        bootstrap = Bootstrap(RosterStore(self.store, domain), agent.gossip, rng)
        self.tasks[name] = [
            asyncio.create_task(agent.run()),
            asyncio.create_task(bootstrap.run()),
        ]
        self.agents[name] = agent
        return me

    def stop(self, name: str, *, gracefully: bool = False) -> None:
        for task in self.tasks.pop(name):
            task.cancel()
        agent = self.agents.pop(name)
        agent.leave() if gracefully else agent._transport.close()

    def has_joined(self) -> bool:
        return all(self.known_instances(name) >= set(self.agents) for name in self.agents)

    def known_instances(self, name: str) -> set[str]:
        members = self.agents[name].gossip.view.members()
        return {m.instance for m in members if m.state == State.ALIVE}

    async def wait_joined(self, limit: float) -> float:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while not self.has_joined():
            if loop.time() - started_at > limit:
                raise AssertionError(f'not joined within {limit} s')
            await asyncio.sleep(0.1)
        return loop.time() - started_at


class RosterTest(PausedClockTest):
    def test_nodes_that_start_at_the_same_time_discover_each_other(self):
        # The store is empty, all nodes write at the same time and one write per roster succeeds.
        # Each failure domain starts isolated until the next pass reads the other rosters.
        async def scenario():
            fleet = Fleet()
            for i in range(30):
                await fleet.start(f'n{i}', f'domain-{i % 3}')
            elapsed = await fleet.wait_joined(20)
            calls = fleet.store.calls
            await asyncio.sleep(300)
            return elapsed, calls, fleet.store.calls - calls

        elapsed, calls, later_calls = self.run_paused(scenario())
        self.assertLess(elapsed, 10)
        self.assertLess(calls, 30 * 5)
        self.assertLess(later_calls / 300, 3 * COORDINATORS_PER_DOMAIN / 30 * 2)

    def test_a_roster_lists_a_few_live_instances(self):
        async def scenario():
            fleet = Fleet()
            for i in range(20):
                await fleet.start(f'n{i}', 'bangor-hall')
            await fleet.wait_joined(20)
            listed = [
                e['instance']
                for e in fleet.store.objects[ROSTER_KIND, 'bangor-hall'].value['members']
            ]
            for name in listed:
                fleet.stop(name)
            await asyncio.sleep(120)
            return listed, await RosterStore(fleet.store, 'bangor-hall').read(), set(fleet.agents)

        listed, rosters, live = self.run_paused(scenario())
        self.assertLessEqual(len(listed), 8)
        relisted = {m.instance for m in rosters['bangor-hall'].members}
        self.assertLessEqual(3, len(relisted & live))

    def test_seeds_suffice_for_discovery_while_the_store_is_down(self):
        async def scenario():
            fleet = Fleet()
            fleet.store.down = True
            first = await fleet.start('n0', 'bangor-hall')
            for i in range(1, 10):
                await fleet.start(f'n{i}', 'bangor-hall', (first.gossip,))
            return await fleet.wait_joined(10)

        self.assertLess(self.run_paused(scenario()), 5)

    def test_store_calls_are_spread_out_after_an_outage(self):
        # After an outage of three minutes, calls of all nodes within one second would overload the
        # store again.
        async def scenario():
            fleet = Fleet()
            for i in range(60):
                await fleet.start(f'n{i}', f'domain-{i % 3}')
            await fleet.wait_joined(20)
            fleet.store.down = True
            await asyncio.sleep(180)
            fleet.store.down = False
            max_calls = 0
            for _ in range(60):
                before = fleet.store.calls
                await asyncio.sleep(1)
                max_calls = max(max_calls, fleet.store.calls - before)
            return max_calls

        self.assertLessEqual(self.run_paused(scenario()), 6)

    def test_replacing_all_nodes_causes_few_store_calls(self):
        # All instances are replaced one after the other within four minutes, at new addresses. Each
        # reads the rosters once or twice; a roster is written only after listed members are gone.
        async def scenario():
            fleet = Fleet()
            names = [f'n{i}' for i in range(48)]
            for i, name in enumerate(names):
                await fleet.start(name, f'domain-{i % 3}')
            await fleet.wait_joined(20)
            await asyncio.sleep(60)
            calls_before, writes_before = fleet.store.calls, fleet.store.revision
            for i, name in enumerate(names):
                fleet.stop(name, gracefully=i % 2 == 0)
                await fleet.start(name, f'domain-{i % 3}')
                await asyncio.sleep(5)
            await fleet.wait_joined(20)
            return fleet.store.calls - calls_before, fleet.store.revision - writes_before

        calls, writes = self.run_paused(scenario())
        self.assertLess(calls, 48 * 4)
        self.assertLess(writes, 48 / 2)

    def test_an_unreadable_roster_is_replaced(self):
        async def scenario():
            fleet = Fleet()
            await fleet.store.put(ROSTER_KIND, 'bangor-hall', {'members': ['x', {'a': 1}]}, 0)
            await fleet.start('n0', 'bangor-hall')
            await asyncio.sleep(5)
            return await RosterStore(fleet.store, 'bangor-hall').read()

        rosters = self.run_paused(scenario())
        self.assertEqual(['n0'], [m.instance for m in rosters['bangor-hall'].members])

    def test_equal_views_select_the_same_coordinators(self):
        view, other = MemberView(), MemberView()
        members = [build_member(f'n{i}') for i in range(9)]
        for member in members:
            view.merge(member)
        for member in reversed(members):
            other.merge(member)
        self.assertEqual(rank_by_hash(view, 'bangor-hall'), rank_by_hash(other, 'bangor-hall'))
