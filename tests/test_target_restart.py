"""A target restarts under the id that it had: nothing of its former start applies to it."""

import asyncio

import msgspec
from testtools import TestCase

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.membership.messages import Details, MemberUpdate, update_of
from dunlinsaddle.membership.view import State
from dunlinsaddle.policy.context import LOWEST_LEVEL
from dunlinsaddle.policy.level import ReportedLevel
from tests.builders import build_member, build_pending_call
from tests.mesh_case import MeshTest

GOSSIP_SECONDS = 2.0  #: in which all nodes hear of a change


class MixedVersionsTest(TestCase):
    def test_nodes_of_versions_without_the_checksum_read_updates_and_send_none(self):
        class FormerUpdate(msgspec.Struct, array_like=True):
            instance: str
            incarnation: int
            state: State
            details: Details | None = None
            age: int = 0
            details_checksum: int = 0

        member = build_member(target_checksum=1 << 31)
        encoded = msgspec.msgpack.encode(update_of(member))
        former = msgspec.msgpack.decode(encoded, type=FormerUpdate)
        relayed = msgspec.msgpack.decode(msgspec.msgpack.encode(former), type=MemberUpdate)
        self.assertEqual((member.incarnation, 0), (relayed.incarnation, relayed.target_checksum))
        self.assertEqual(update_of(member).details, relayed.details)


class TargetRestartTest(MeshTest):
    async def restart_target(self, mesh, name='b', started_at_ms=9000):
        """Announce a new start; heartbeats are then sent by the test only."""
        target = mesh.targets[name]
        target.heartbeats_enabled = False
        target.started_at_ms, target.sequence = started_at_ms, 0
        self.assertEqual(200, await target.send_heartbeat(mesh.client))
        return target

    async def deregister(self, mesh, name='b'):
        path = f'/instances/{mesh.targets[name].target_id}'
        req = HttpRequest('DELETE', path, [], b'', '')
        await mesh.client.send(mesh.nodes[name].settings.announce, req, 1)

    def router_report(self, mesh, observer='a', instance='b'):
        now = asyncio.get_running_loop().time()
        return mesh.nodes[observer].router.report(now, instance, 'd')

    def record_overload(self, mesh):
        """Let a node and its peer believe that the target fails, is slow, limited and full."""
        now = asyncio.get_running_loop().time()
        router, admission = mesh.nodes['a'].router, mesh.nodes['b'].admission
        for _ in range(3):
            router.record_sent('b')
            router.record_failure(now, 'b')
        for instance, seconds in (('a', 0.1), ('b', 9.0), ('b', 9.0)):
            router.record_duration(now, instance, 'deep', seconds)
        router.record_rate(now, 'b', 0.5, 1.0)
        mesh.nodes['a'].executor.levels.record_response(now, 'deep', 'deep', ReportedLevel(0.0))
        admission._mean_service_time = 9.0
        admission._level.level = 0.0

    def test_everything_learned_about_the_former_start_is_discarded_at_every_node(self):
        # A peer has ejected the target and refuses its requests early; the node beside it admits
        # few. Without a new start all of this would last for seconds, the ejection up to 30 s.
        async def scenario(mesh):
            self.record_overload(mesh)
            before = self.router_report(mesh)
            incarnation = mesh.nodes['a'].view.find('b').incarnation
            await self.restart_target(mesh)
            admission = mesh.nodes['b'].admission
            at_node = admission.level, admission._mean_service_time
            await asyncio.sleep(0.3)
            after = self.router_report(mesh)
            level = mesh.nodes['a'].executor.levels.admitted_level(0.0, 'deep', 'deep')
            response = await mesh.call('a', '/deep/x')
            risen = mesh.nodes['a'].view.find('b').incarnation - incarnation
            return before, at_node, after, level, response.status, risen

        before, at_node, after, level, status, risen = self.run_mesh(scenario)
        self.assertGreater(before['left_out_for'], 1)
        self.assertEqual((LOWEST_LEVEL, 0.0), at_node)
        self.assertEqual((0, 0, 1.0, 0), tuple(after[k] for k in self.REPORTED))
        self.assertEqual((LOWEST_LEVEL, 200, 1), (level, status, risen))

    REPORTED = ('left_out_for', 'error_share', 'pace', 'outstanding')

    def test_a_late_result_of_a_call_to_the_former_start_does_not_count(self):
        # The call is sent, the target restarts and the peers hear of it, then the call fails.
        async def scenario(mesh):
            b = mesh.targets['b']
            b.response_seconds = 3.0
            call = asyncio.create_task(mesh.call('a', '/deep/x', 'POST'))
            await asyncio.sleep(0.1)
            in_flight = self.router_report(mesh)['outstanding']
            await self.restart_target(mesh)
            await asyncio.sleep(GOSSIP_SECONDS)
            b.listener.close()
            status = (await call).status
            return in_flight, status, [self.router_report(mesh)[k] for k in self.REPORTED]

        in_flight, status, report = self.run_mesh(scenario, kind='unsafe', timeout='5000ms')
        self.assertEqual((1, 502, [0, 0, 1.0, 0]), (in_flight, status, report))

    def test_late_or_repeated_gossip_of_the_former_start_changes_nothing(self):
        async def scenario(mesh):
            view = mesh.nodes['a'].view
            former = view.find('b')
            await self.restart_target(mesh)
            await asyncio.sleep(GOSSIP_SECONDS)
            current = view.find('b')
            self.record_overload(mesh)
            merged = [view.merge(m) for m in (former, former._replace(state=State.DEAD), current)]
            return merged, self.router_report(mesh)['left_out_for'] > 1, view.find('b') == current

        self.assertEqual(([False] * 3, True, True), self.run_mesh(scenario))

    def test_the_restart_of_a_node_beside_a_running_target_keeps_what_is_known_of_it(self):
        # A rate that the target has advertised still holds; only its node has forgotten it.
        async def scenario(mesh):
            mesh.targets['b'].extra_headers = [(b'server-limit', b'7')]
            await mesh.call('a', '/deep/x')
            await mesh.kill('b')
            await asyncio.sleep(1)
            await mesh.restart('b')
            await asyncio.sleep(4)
            return mesh.nodes['a'].dispatcher.results.target_states['b'].rate

        self.assertEqual(7, self.run_mesh(scenario))

    # Guards against a target that is left without calls for good by a deregistration that its
    # former start sent, which names the id of both.
    def test_a_late_deregistration_of_the_former_start_holds_until_the_next_heartbeat(self):
        async def scenario(mesh):
            b = await self.restart_target(mesh)
            await self.deregister(mesh)
            after = mesh.nodes['b'].target.address, (await mesh.call('a', '/deep/x')).status
            acknowledged = await b.send_heartbeat(mesh.client)
            await asyncio.sleep(GOSSIP_SECONDS)
            again = (await mesh.call('a', '/deep/x')).status
            b.is_leaving = True
            await self.deregister(mesh)
            refused = await b.send_heartbeat(mesh.client)
            await asyncio.sleep(GOSSIP_SECONDS)
            return after, acknowledged, again, refused, (await mesh.call('a', '/deep/x')).status

        self.assertEqual(((None, 503), 200, 200, 503, 503), self.run_mesh(scenario))

    # Guards against calls to a target whose deregistration, soon after its start under the id that
    # it had, was acknowledged and taken for one of its former start.
    def test_a_deregistration_of_the_current_start_is_believed(self):
        async def scenario(mesh, *, draining, wait):
            b = await self.restart_target(mesh)
            if draining:
                await b.send_heartbeat(mesh.client, state='draining')
            await asyncio.sleep(wait)
            await self.deregister(mesh)
            return mesh.nodes['b'].target.address

        for draining, wait in ((True, 0.1), (False, 0.1), (False, 11.0)):
            address = self.run_mesh(lambda m, d=draining, w=wait: scenario(m, draining=d, wait=w))
            self.assertIsNone(address)

    def test_a_deregistration_before_the_new_start_does_not_affect_it(self):
        # Deregistration, a late heartbeat of the former start, then the new start.
        async def scenario(mesh):
            b = mesh.targets['b']
            b.heartbeats_enabled, b.is_leaving = False, True
            await self.deregister(mesh)
            await b.send_heartbeat(mesh.client)
            address = mesh.nodes['b'].target.address
            b.is_leaving = False
            await self.restart_target(mesh)
            await asyncio.sleep(GOSSIP_SECONDS)
            return address, (await mesh.call('a', '/deep/x')).status

        self.assertEqual((None, 200), self.run_mesh(scenario))

    # Guards against a request that is sent again to a target after its deregistration.
    def test_no_call_in_progress_is_sent_again_after_a_deregistration(self):
        async def scenario(mesh):
            b, node = mesh.targets['b'], mesh.nodes['b']
            b.heartbeats_enabled, b.is_leaving = False, True
            await self.deregister(mesh)
            return node.executor._try_spend_resend(build_pending_call()), node.target.draining

        self.assertEqual((False, False), self.run_mesh(scenario))

    def test_no_connection_to_the_former_start_is_reused(self):
        # After a crash behind a cut, such connections look open. A request that must not run
        # twice and is sent over one of them has an unknown outcome.
        async def scenario(mesh):
            b = mesh.targets['b']
            b.response_seconds = 1.0
            in_use = asyncio.create_task(mesh.call('a', '/deep/x'))
            await asyncio.sleep(0.5)
            b.response_seconds = 0.0
            await mesh.call('a', '/deep/x')
            pool = mesh.nodes['b'].client._pools[mesh.nodes['b'].settings.target]
            idle = len(pool.idle)
            await self.restart_target(mesh)
            idle_after = len(pool.idle)
            await in_use
            return idle, idle_after, len(pool.idle)

        self.assertEqual((1, 0, 0), self.run_mesh(scenario, timeout='3000ms'))
