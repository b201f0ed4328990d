"""What a target announces, and what its node makes of it."""

import asyncio

from tests.mesh_case import MeshTest


class AnnounceTest(MeshTest):
    def test_a_draining_target_gets_nothing_new(self):
        async def scenario(mesh):
            b = mesh.targets['b']
            b.state = 'draining'
            acknowledged = await b.send_heartbeat(mesh.client)
            response = await mesh.call('a', '/deep/x')
            return acknowledged, response.status, len(b.requests)

        self.assertEqual((200, 503, 0), self.run_mesh(scenario))

    def test_an_acknowledgement_binds_also_while_the_store_is_away(self):
        # A target is told that its leaving is known, and is then given a request. The store
        # was away at that moment: what the node has acknowledged must not depend on it.
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

    def test_an_outage_of_the_store_alone_loses_nothing(self):
        # Callers notice nothing: members and configuration that are known hold without it.
        async def scenario(mesh):
            mesh.store.down = True
            statuses = []
            for _ in range(20):
                statuses.append((await mesh.call('a', '/deep/x')).status)
                await asyncio.sleep(1)
            return set(statuses)

        self.assertEqual({200}, self.run_mesh(scenario))

    def test_heartbeats_that_name_another_target_or_cannot_be_read_change_nothing(self):
        async def scenario(mesh):
            b = mesh.targets['b']
            b.heartbeats_enabled = False
            statuses = [
                await b.send_heartbeat(mesh.client, **wrong)
                for wrong in (
                    {'service': 'other', 'state': 'draining'},
                    {'address': '127.0.0.1:1', 'state': 'draining'},
                    {'state': 'asleep'},
                    {'slots': '40'},
                    {'sequence': None},
                )
            ]
            return statuses, (await mesh.call('a', '/deep/x')).status

        self.assertEqual(([400] * 5, 200), self.run_mesh(scenario))

    def test_a_late_heartbeat_of_an_earlier_start_is_not_taken(self):
        # The target crashed behind a cut and started again under the same id. A heartbeat of
        # its first start arrives late and says that it drains: the second one must serve on.
        async def scenario(mesh):
            b = mesh.targets['b']
            b.heartbeats_enabled = False
            b.started_at_ms, b.sequence = 5000, 0
            await b.send_heartbeat(mesh.client)
            await b.send_heartbeat(mesh.client, born=1, sequence=900, state='draining')
            return (await mesh.call('a', '/deep/x')).status

        self.assertEqual(200, self.run_mesh(scenario))

    def test_a_target_that_started_again_under_its_id_serves_at_once(self):
        async def scenario(mesh):
            b = mesh.targets['b']
            b.heartbeats_enabled = False
            await b.send_heartbeat(mesh.client, state='draining')
            b.started_at_ms, b.sequence = 9000, 0
            await b.send_heartbeat(mesh.client)
            await asyncio.sleep(1)
            return (await mesh.call('a', '/deep/x')).status

        self.assertEqual(200, self.run_mesh(scenario))
