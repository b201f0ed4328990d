"""A configuration reaches all nodes of a fleet through the few that watch the store."""

import asyncio

from testtools import TestCase

from dunlinsaddle.membership.coordinators import (
    COORDINATORS_PER_DOMAIN,
    StoreWatchers,
    rank_by_hash,
)
from dunlinsaddle.membership.view import MemberView, State
from tests.builders import build_configuration, build_member
from tests.fakes.mesh import Mesh
from tests.fakes.network import GossipSimulation
from tests.mesh_case import MeshTest

DOMAINS = 3
NODES = 24
IN_FORCE = 2.0  #: seconds within which a change has to be in force, the least of the deployments
NAMES = [f'n{i:02}' for i in range(NODES)]


def domain_of(index: int) -> str:
    return f'd{index % DOMAINS}'


def _domain(mesh: Mesh, name: str) -> str:
    return mesh.nodes[name].settings.domain


class FleetTest(MeshTest):
    def fleet(self, scenario):
        targets = [f'{name}:front:{domain_of(index)}' for index, name in enumerate(NAMES)]
        return self.run_mesh(scenario, targets=targets, settle_seconds=12)

    async def change(self, mesh: Mesh) -> set[int]:
        """Change the configuration; gives the versions in force when it has to be."""
        held = mesh.store.objects['config', 'main']
        await mesh.store.put('config', 'main', build_configuration('r9'), held.version)
        await asyncio.sleep(IN_FORCE)
        return {n.follower.version for name, n in mesh.nodes.items() if name not in mesh.stopped}

    def watchers(self, mesh: Mesh) -> list[str]:
        return [name for name, node in mesh.nodes.items() if node.follower.should_watch()]

    def test_three_nodes_of_each_domain_watch_and_all_hear_of_a_change(self):
        async def scenario(mesh):
            found = self.watchers(mesh)
            return len(found), await self.change(mesh)

        self.assertEqual((COORDINATORS_PER_DOMAIN * DOMAINS, {9}), self.fleet(scenario))

    def test_calls_to_the_store_do_not_grow_with_the_nodes(self):
        # The platform counts each call, a waiting watch as one, and its rates grow more slowly
        # than the fleet: with a watch at every node the calls were the largest cost of a day.
        async def scenario(mesh):
            before = mesh.store.calls
            await asyncio.sleep(60)
            return mesh.store.calls - before

        # Nine watches of five seconds, and two passes of nine keepers over the rosters.
        self.assertLessEqual(self.fleet(scenario), 9 * 60 / 5 + 9 * 4)

    def first_start(self, count: int) -> int:
        """Start so many nodes at once; gives the calls to the store until all are configured."""

        async def run():
            mesh = Mesh()
            mesh.first_start = True
            await mesh.configure('r7')
            before = mesh.store.calls
            for index in range(count):
                await mesh.add_node(f'n{index:02}', 'front', domain_of(index))
            await asyncio.sleep(6)
            versions = {node.follower.version for node in mesh.nodes.values()}
            calls = mesh.store.calls - before
            await mesh.stop()
            return versions, calls

        versions, calls = self.run_paused(run())
        self.assertEqual({7}, versions)
        return calls

    def test_a_first_start_costs_the_store_little_more_than_one_call_for_each_further_node(self):
        # Hundreds of nodes that start as one each wrote a roster, read it again as another was
        # first, and read the configuration, which one of them could tell the others. What each
        # needs is one look at the rosters; keepers and watchers are as many in any fleet.
        further = self.first_start(2 * NODES) - self.first_start(NODES)
        self.assertLessEqual(further, 1.5 * NODES)

    def test_a_change_is_in_force_when_the_store_turns_the_watchers_of_a_domain_away(self):
        # Callers of one domain are served by old routes: the store refuses its three watchers,
        # and serves all others. Word comes from the watchers of the other domains.
        async def scenario(mesh):
            mesh.nodes_without_store = {
                name for name in self.watchers(mesh) if _domain(mesh, name) == 'd1'
            }
            await asyncio.sleep(3)
            return await self.change(mesh)

        self.assertEqual({9}, self.fleet(scenario))

    def test_a_change_is_in_force_right_after_all_watchers_but_one_have_died(self):
        # Eight of nine watchers are killed at the same moment, and nobody has noticed yet.
        async def scenario(mesh):
            for name in self.watchers(mesh)[1:]:
                await mesh.kill(name)
            return await self.change(mesh)

        self.assertEqual({9}, self.fleet(scenario))

    def test_dead_watchers_are_replaced(self):
        # All nine die at once, more than a third of the fleet: each death is found by a probe, of
        # which every node makes one a second.
        async def scenario(mesh):
            dead = self.watchers(mesh)
            for name in dead:
                await mesh.kill(name)
            await asyncio.sleep(10)
            living = [n for n in self.watchers(mesh) if n not in dead]
            return len(living), await self.change(mesh)

        self.assertEqual((COORDINATORS_PER_DOMAIN * DOMAINS, {9}), self.fleet(scenario))

    def test_a_node_that_starts_while_the_store_is_away_hears_from_its_peers(self):
        # Its callers get 503 until it knows a configuration. The peers ping its address, which
        # tells it of them and them of it, and with each ping comes the version that they hold.
        async def scenario(mesh):
            name = next(n for n in NAMES if n not in self.watchers(mesh))
            await mesh.kill(name)
            mesh.store.down = True
            await asyncio.sleep(1)
            await mesh.restart(name)
            await asyncio.sleep(4)
            return mesh.nodes[name].follower.version

        self.assertEqual(7, self.fleet(scenario))


class NewsTest(TestCase):
    def spread(self, count: int, loss: float) -> float:
        """Give the seconds until all have heard, when one watcher of each domain tells it."""
        net = GossipSimulation(5)
        net.add_nodes(count, domains=5)
        net.loss = loss
        net.run(2)
        holders: set[str] = set()

        def take(name: str, version: int) -> None:
            holders.add(name)
            net.send(name, net.nodes[name].announce_configuration(version))

        for name, node in net.nodes.items():
            node.on_configuration_version = lambda member, version, name=name: take(name, version)
        for domain in range(5):
            view = net.nodes['n000'].view
            first = rank_by_hash(view, f'domain-{domain}')[0].instance
            holders.add(first)
            near = [m for m in view.members() if m.domain == f'domain-{domain}']
            net.send(first, net.nodes[first].announce_configuration(8, near))
        return net.run_until(lambda: len(holders) == count, 4, 0.05)

    def test_word_of_a_version_reaches_a_large_fleet_at_once(self):
        self.assertLess(self.spread(194, 0.0), 0.2)
        self.assertLess(self.spread(960, 0.0), 0.2)

    def test_word_reaches_all_where_datagrams_get_lost(self):
        # Whoever hears nothing at once hears the version with a ping of the next second.
        self.assertLess(self.spread(194, 0.1), IN_FORCE - 0.5)


class WatchersTest(TestCase):
    def test_a_suspected_watcher_is_replaced_at_once(self):
        view = MemberView()
        for index in range(8):
            view.merge(build_member(f'n{index}', domain='d'))
        watchers = StoreWatchers(view, 'd')
        chosen = [name for name in (f'n{i}' for i in range(8)) if watchers.includes(name)]
        self.assertEqual(COORDINATORS_PER_DOMAIN, len(chosen))
        suspected = view.find(chosen[0])._replace(state=State.SUSPECT)
        view.merge(suspected)
        after = [name for name in (f'n{i}' for i in range(8)) if watchers.includes(name)]
        self.assertNotIn(chosen[0], after)
        self.assertEqual(COORDINATORS_PER_DOMAIN, len(after))

    def test_where_all_of_a_domain_leave_some_still_watch(self):
        view = MemberView()
        for index in range(4):
            view.merge(build_member(f'n{index}', domain='d', state=State.DRAINING))
        watchers = StoreWatchers(view, 'd')
        self.assertEqual(COORDINATORS_PER_DOMAIN, sum(watchers.includes(f'n{i}') for i in range(4)))
