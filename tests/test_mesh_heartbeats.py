"""Heartbeats of a target, and how its node and other nodes act on them."""

import asyncio

from dunlinsaddle.calls.http import HttpRequest
from tests.mesh_case import MeshTest


class HeartbeatTest(MeshTest):
    def test_a_draining_target_gets_no_new_requests(self):
        async def scenario(mesh):
            b = mesh.targets['b']
            b.state = 'draining'
            acknowledged = await b.send_heartbeat(mesh.client)
            response = await mesh.call('a', '/deep/x')
            return acknowledged, response.status, len(b.requests)

        self.assertEqual((200, 503, 0), self.run_mesh(scenario))

    def test_an_acknowledged_drain_notice_holds_while_the_store_is_down(self):
        # The node must keep an acknowledged drain notice without the help of the store. Otherwise
        # the target gets a request although its drain notice was acknowledged.
        async def scenario(mesh):
            mesh.store.down = True
            b = mesh.targets['b']
            b.state = 'draining'
            acknowledged = await b.send_heartbeat(mesh.client)
            response = await mesh.call('a', '/deep/x')
            mesh.store.down = False
            await asyncio.sleep(3)
            later = await mesh.call('a', '/deep/x')
            return acknowledged, response.status, later.status, len(b.requests)

        self.assertEqual((200, 503, 503, 0), self.run_mesh(scenario))

    def test_requests_are_served_during_an_outage_of_the_store(self):
        # Nodes keep the members and the configuration that they know.
        async def scenario(mesh):
            mesh.store.down = True
            statuses = []
            for _ in range(20):
                statuses.append((await mesh.call('a', '/deep/x')).status)
                await asyncio.sleep(1)
            return set(statuses)

        self.assertEqual({200}, self.run_mesh(scenario))

    def test_heartbeats_of_another_target_and_invalid_heartbeats_are_rejected(self):
        async def scenario(mesh):
            b = mesh.targets['b']
            b.heartbeats_enabled = False
            statuses = [
                await b.send_heartbeat(mesh.client, **fields)
                for fields in (
                    {'service': 'other', 'state': 'draining'},
                    {'address': '127.0.0.1:1', 'state': 'draining'},
                    {'state': 'asleep'},
                    {'slots': '40'},
                    {'sequence': None},
                )
            ]
            return statuses, (await mesh.call('a', '/deep/x')).status

        self.assertEqual(([400] * 5, 200), self.run_mesh(scenario))

    def test_a_delayed_heartbeat_of_a_previous_incarnation_is_ignored(self):
        # The target crashed during a network partition and restarted under the same id. A delayed
        # heartbeat of the first incarnation says that it drains: the second must keep serving.
        async def scenario(mesh):
            b = mesh.targets['b']
            b.heartbeats_enabled = False
            b.started_at_ms, b.sequence = 5000, 0
            await b.send_heartbeat(mesh.client)
            await b.send_heartbeat(mesh.client, born=1, sequence=900, state='draining')
            return (await mesh.call('a', '/deep/x')).status

        self.assertEqual(200, self.run_mesh(scenario))

    def test_a_target_that_restarted_under_the_same_id_serves_at_once(self):
        async def scenario(mesh):
            b = mesh.targets['b']
            b.heartbeats_enabled = False
            await b.send_heartbeat(mesh.client, state='draining')
            b.started_at_ms, b.sequence = 9000, 0
            await b.send_heartbeat(mesh.client)
            await asyncio.sleep(1)
            return (await mesh.call('a', '/deep/x')).status

        self.assertEqual(200, self.run_mesh(scenario))

    def test_a_warm_up_that_a_target_announces_reaches_the_senders(self):
        # Otherwise all senders give a cold target its full share, and calls queue behind its start.
        async def scenario(mesh):
            b = mesh.targets['b']
            b.heartbeats_enabled = False
            b.started_at_ms, b.sequence = 9000, 0
            await b.send_heartbeat(mesh.client, coldRemaining='3000ms')
            # Replies to calls that were sent before the restart was known here are not recorded.
            await asyncio.sleep(0.2)
            router, loop, shares = mesh.nodes['a'].router, asyncio.get_running_loop(), []
            for _ in range(4):
                await mesh.call('a', '/deep/x')
                shares.append(router.report(loop.time(), 'b', 'd')['warmup_share'])
                await asyncio.sleep(1)
            return shares

        shares = self.run_mesh(scenario)
        self.assertLess(shares[0], 0.2)
        self.assertEqual([*sorted(shares)[:3], 1.0], shares)

    def test_a_load_that_a_target_reports_reaches_the_senders(self):
        # The fourth figure says that work takes three times as long as before.
        async def scenario(mesh):
            b, router, loop = mesh.targets['b'], mesh.nodes['a'].router, asyncio.get_running_loop()
            seconds = []
            for load in (b'1,0,40,100', b'1,0,40,300'):
                b.extra_headers = [(b'server-load', load)]
                await mesh.call('a', '/deep/x')
                await mesh.call('a', '/deep/x')
                seconds.append(router.report(loop.time(), 'b', 'd')['service_seconds'])
            return seconds

        usual, slow = self.run_mesh(scenario)
        self.assertGreater(slow, 1.2 * usual)

    # Guards against a restarted node that gives work to a target it knows nothing of, and against
    # one that never does because the target was too busy to be asked.
    def test_a_restarted_node_gives_work_to_its_target_once_that_confirms_that_it_serves(self):
        async def scenario(mesh):
            b = mesh.targets['b']
            b.is_full = True
            await mesh.kill('b')
            await mesh.restart('b')
            await asyncio.sleep(2)
            while_full = mesh.nodes['b'].target.address
            b.is_full = False
            await asyncio.sleep(0.2)
            return while_full, mesh.nodes['b'].target.accepts_work

        self.assertEqual((None, True), self.run_mesh(scenario))

    # Guards against a health check that was answered before the departure and read after it.
    def test_a_health_check_sent_before_a_departure_confirms_nothing(self):
        async def scenario(mesh):
            b, endpoint = mesh.targets['b'], mesh.nodes['b'].heartbeat_endpoint
            b.heartbeats_enabled = False
            late = b.build_heartbeat()
            answered, probe = [], endpoint.probe.ask

            async def ask_slowly():
                answered.append(health := await probe())
                await asyncio.sleep(0.2)
                return health

            endpoint.probe.ask = ask_slowly
            await endpoint.handle(HttpRequest('DELETE', late.path, [], b'', ''))
            first = asyncio.create_task(endpoint.handle(late))
            await asyncio.sleep(0.1)
            b.is_leaving = True
            await endpoint.handle(HttpRequest('DELETE', late.path, [], b'', ''))
            second = await endpoint.handle(late)
            statuses = (await first).status, second.status
            return statuses, len(answered), mesh.nodes['b'].target.address

        self.assertEqual(((503, 503), 2, None), self.run_mesh(scenario))

    def test_a_target_that_cannot_be_asked_is_ordered_by_its_own_numbers(self):
        # Its health path is unknown here: a heartbeat after the deregistration is still refused.
        async def scenario(mesh):
            b, endpoint = mesh.targets['b'], mesh.nodes['b'].heartbeat_endpoint
            b.heartbeats_enabled = False
            endpoint.probe.find_health_path = lambda: ''
            late = b.build_heartbeat()
            await endpoint.handle(HttpRequest('DELETE', late.path, [], b'', ''))
            refused = (await endpoint.handle(late)).status
            b.started_at_ms = 9000
            return refused, await b.send_heartbeat(mesh.client)

        self.assertEqual((503, 200), self.run_mesh(scenario))
