"""Distribution of configurations from the few nodes that watch the store to the whole fleet."""

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
IN_FORCE_SECONDS = 2.0  #: seconds until a change must be in force, the shortest of all deployments
NAMES = [f'n{i:02}' for i in range(NODES)]


def domain_of(index: int) -> str:
    return f'd{index % DOMAINS}'


def _domain_of_node(mesh: Mesh, name: str) -> str:
    return mesh.nodes[name].settings.domain


class FleetTest(MeshTest):
    def run_fleet(self, scenario):
        targets = [f'{name}:front:{domain_of(index)}' for index, name in enumerate(NAMES)]
        return self.run_mesh(scenario, targets=targets, settle_seconds=12)

    async def change(self, mesh: Mesh) -> set[int]:
        """Change the configuration; return the versions in force after the time allowed."""
        stored = mesh.store.objects['config', 'main']
        await mesh.store.put('config', 'main', build_configuration('r9'), stored.version)
        await asyncio.sleep(IN_FORCE_SECONDS)
        return {n.follower.version for name, n in mesh.nodes.items() if name not in mesh.stopped}

    def watchers(self, mesh: Mesh) -> list[str]:
        return [name for name, node in mesh.nodes.items() if node.follower.should_watch()]

    def test_three_nodes_of_each_domain_watch_and_all_nodes_get_a_change(self):
        async def scenario(mesh):
            watchers = self.watchers(mesh)
            return len(watchers), await self.change(mesh)

        self.assertEqual((COORDINATORS_PER_DOMAIN * DOMAINS, {9}), self.run_fleet(scenario))

    def test_store_calls_do_not_grow_with_the_number_of_nodes(self):
        # The platform counts each call, a pending watch as one, and its rate limits grow more
        # slowly than the fleet. With a watch at every node, calls were the largest daily cost.
        async def scenario(mesh):
            before = mesh.store.call_count
            await asyncio.sleep(60)
            return mesh.store.call_count - before

        # Nine watches of five seconds, one call a second for each domain, and two roster passes of
        # nine coordinators.
        self.assertLessEqual(self.run_fleet(scenario), 9 * 60 / 5 + DOMAINS * 60 + 9 * 4)

    def count_first_start_calls(self, count: int) -> int:
        """Start nodes at the same time; return the store calls until all are configured."""

        async def run():
            mesh = Mesh()
            mesh.first_start = True
            await mesh.configure('r7')
            before = mesh.store.call_count
            for index in range(count):
                await mesh.add_node(f'n{index:02}', 'front', domain_of(index))
            await asyncio.sleep(6)
            versions = {node.follower.version for node in mesh.nodes.values()}
            calls = mesh.store.call_count - before
            await mesh.stop()
            return versions, calls

        versions, calls = self.run_paused(run())
        self.assertEqual({7}, versions)
        return calls

    def test_each_further_node_of_a_first_start_adds_little_more_than_one_store_call(self):
        # Hundreds of nodes that started at the same time each wrote a roster, read it again after a
        # conflict, and read the configuration, which one of them could send to the others. Each
        # needs only one read of the rosters; the number of coordinators and watchers is constant.
        further = self.count_first_start_calls(2 * NODES) - self.count_first_start_calls(NODES)
        self.assertLessEqual(further, 1.5 * NODES)

    def test_a_change_is_in_force_when_the_store_rejects_all_watchers_of_a_domain(self):
        # The store rejects the three watchers of one domain, whose callers would be served by
        # outdated routes. The watchers of the other domains announce the change.
        async def scenario(mesh):
            mesh.nodes_without_store = {
                name for name in self.watchers(mesh) if _domain_of_node(mesh, name) == 'd1'
            }
            await asyncio.sleep(3)
            return await self.change(mesh)

        self.assertEqual({9}, self.run_fleet(scenario))

    def test_a_change_is_in_force_right_after_all_watchers_but_one_have_died(self):
        # Eight of nine watchers are killed at the same time and their deaths are not detected yet.
        async def scenario(mesh):
            for name in self.watchers(mesh)[1:]:
                await mesh.kill(name)
            return await self.change(mesh)

        self.assertEqual({9}, self.run_fleet(scenario))

    def test_dead_watchers_are_replaced(self):
        # All nine die at once, more than a third of the fleet. Each death is detected by a probe,
        # and each node sends one probe per second.
        async def scenario(mesh):
            dead = self.watchers(mesh)
            for name in dead:
                await mesh.kill(name)
            await asyncio.sleep(10)
            live = [n for n in self.watchers(mesh) if n not in dead]
            return len(live), await self.change(mesh)

        self.assertEqual((COORDINATORS_PER_DOMAIN * DOMAINS, {9}), self.run_fleet(scenario))

    def test_a_node_that_starts_while_the_store_is_down_is_configured_by_its_peers(self):
        # Its callers get 503 until it has a configuration. The peers ping its address, by which
        # they discover each other, and each ping carries the version of the peer's configuration.
        async def scenario(mesh):
            name = next(n for n in NAMES if n not in self.watchers(mesh))
            await mesh.kill(name)
            mesh.store.down = True
            await asyncio.sleep(1)
            await mesh.restart(name)
            await asyncio.sleep(4)
            return mesh.nodes[name].follower.version

        self.assertEqual(7, self.run_fleet(scenario))


class ConfigurationAnnouncementTest(TestCase):
    def seconds_to_spread(self, count: int, loss: float) -> float:
        """Return the seconds until all nodes know a version announced by a watcher per domain."""
        net = GossipSimulation(5)
        net.add_nodes(count, domains=5)
        net.loss = loss
        net.run(2)
        informed: set[str] = set()

        def record_version(name: str, version: int) -> None:
            informed.add(name)
            net.send(name, net.nodes[name].announce_configuration(version))

        for name, node in net.nodes.items():
            node.on_configuration_version = lambda member, version, name=name: record_version(
                name, version
            )
        for domain in range(5):
            view = net.nodes['n000'].view
            watcher = rank_by_hash(view, f'domain-{domain}')[0].instance
            informed.add(watcher)
            domain_members = [m for m in view.members() if m.domain == f'domain-{domain}']
            net.send(watcher, net.nodes[watcher].announce_configuration(8, domain_members))
        return net.run_until(lambda: len(informed) == count, 4, 0.05)

    def test_a_version_reaches_a_large_fleet_immediately(self):
        self.assertLess(self.seconds_to_spread(194, 0.0), 0.2)
        self.assertLess(self.seconds_to_spread(960, 0.0), 0.2)

    def test_a_version_reaches_all_nodes_despite_lost_datagrams(self):
        # Nodes that miss the announcement learn the version from a ping within a second.
        self.assertLess(self.seconds_to_spread(194, 0.1), IN_FORCE_SECONDS - 0.5)


class StoreWatchersTest(TestCase):
    def test_a_suspected_watcher_is_replaced_at_once(self):
        view = MemberView()
        for index in range(8):
            view.merge(build_member(f'n{index}', domain='d'))
        watchers = StoreWatchers(view, 'd')
        chosen = [name for name in (f'n{i}' for i in range(8)) if watchers.includes(name)]
        self.assertEqual(COORDINATORS_PER_DOMAIN, len(chosen))
        suspected = view.find(chosen[0])._replace(state=State.SUSPECT)
        view.merge(suspected)
        chosen_later = [name for name in (f'n{i}' for i in range(8)) if watchers.includes(name)]
        self.assertNotIn(chosen[0], chosen_later)
        self.assertEqual(COORDINATORS_PER_DOMAIN, len(chosen_later))

    def test_draining_nodes_watch_if_all_nodes_of_a_domain_drain(self):
        view = MemberView()
        for index in range(4):
            view.merge(build_member(f'n{index}', domain='d', state=State.DRAINING))
        watchers = StoreWatchers(view, 'd')
        self.assertEqual(COORDINATORS_PER_DOMAIN, sum(watchers.includes(f'n{i}') for i in range(4)))
