"""Targets that announce in responses that they leave, while heartbeats still say ready."""

import asyncio

from tests.fakes.mesh import LIMITS
from tests.fakes.mesh_load import INGRESS_NODES, TARGETS, LoadGenerator
from tests.mesh_case import MeshTest

LEAVING_HEADERS = [(b'server-leaving', b'1')]


class LeavingTest(MeshTest):
    """Three ingress nodes with 20 requests per second each, and three targets; one leaves."""

    def run_cluster(self, scenario, targets=INGRESS_NODES + TARGETS, **route_options):
        async def run(mesh):
            callers = LoadGenerator(mesh, 20.0)
            await callers.configure(**route_options)
            await asyncio.sleep(1)
            await callers.send_for(1.0)
            return await scenario(mesh, callers)

        return self.run_mesh(run, configure=False, targets=targets)

    async def announce_leaving(self, mesh, callers, name='t'):
        """Make a target announce that it leaves; return the time when all origins know it."""
        mesh.targets[name].extra_headers = LEAVING_HEADERS
        await callers.send_for(2.0)
        return asyncio.get_running_loop().time()

    def count_late_arrivals(self, mesh, callers, name='t'):
        """Count requests that reached the target but were sent after the drain time."""
        announced_at = callers.first_header_at.get(b'server-leaving', {})
        sent = {request.request_id: request for request in callers.sent}
        return sum(
            sent[a.request_id].sent_at
            > announced_at.get(a.origin, float('inf')) + LIMITS.drain_seconds
            for a in mesh.targets[name].arrivals
            if a.request_id in sent
        )

    def test_a_target_that_announces_in_responses_that_it_leaves_gets_no_new_requests(self):
        """Requests that still arrive when the target terminates would be lost."""

        async def scenario(mesh, callers):
            since = await self.announce_leaving(mesh, callers)
            await callers.send_for(6.0)
            await callers.wait_for_responses()
            return self.count_late_arrivals(mesh, callers), [
                callers.served_share(rank, since) for rank in (0, 2)
            ]

        self.assertEqual((0, [1.0, 1.0]), self.run_cluster(scenario))

    def test_a_leaving_target_that_refused_a_connection_gets_no_new_requests(self):
        """After a refused connection the next heartbeat would be taken for a new incarnation."""

        async def scenario(mesh, callers):
            await self.announce_leaving(mesh, callers)
            mesh.nodes['t'].target.record_connection_refused()
            await callers.send_for(6.0)
            await callers.wait_for_responses()
            return self.count_late_arrivals(mesh, callers)

        self.assertEqual(0, self.run_cluster(scenario))

    def test_the_next_incarnation_of_a_leaving_target_gets_requests(self):
        async def scenario(mesh, callers):
            await self.announce_leaving(mesh, callers)
            target = mesh.targets['t']
            target.extra_headers, target.started_at_ms, target.sequence = [], 9000, 0
            await target.send_heartbeat(mesh.client)
            # Ingress nodes that saw the target terminate avoid it for some seconds.
            await callers.send_for(8.0)
            await callers.wait_for_responses()
            since = asyncio.get_running_loop().time() - 1.0
            return sum(a.arrived_at > since for a in target.arrivals)

        self.assertGreater(self.run_cluster(scenario), 0)

    def test_a_leaving_target_gets_no_new_requests_after_its_node_restarts(self):
        """The restarted node has lost the announcement and would pass on the first request."""

        async def scenario(mesh, callers):
            await self.announce_leaving(mesh, callers)
            await mesh.kill('t')
            await callers.send_for(3.0)
            await mesh.restart('t')
            await callers.send_for(8.0)
            await callers.wait_for_responses()
            return self.count_late_arrivals(mesh, callers)

        self.assertEqual(0, self.run_cluster(scenario))

    def test_calls_waiting_for_a_rate_are_not_sent_to_a_draining_target_after_the_drain_time(self):
        """With a low rate a call waits for seconds and would reach a target that has terminated."""

        async def scenario(mesh, callers):
            target = mesh.targets['t']
            target.extra_headers = [(b'server-limit', b'0.5')]
            await mesh.call('a', '/orders/x')
            calls = [
                asyncio.create_task(mesh.call('a', '/orders/x', timeout=8.0)) for _ in range(4)
            ]
            await asyncio.sleep(2.2)
            target.state = 'draining'
            await target.send_heartbeat(mesh.client)
            acknowledged_at = asyncio.get_running_loop().time()
            responses = await asyncio.gather(*calls)
            last_arrival = target.arrivals[-1].arrived_at - acknowledged_at
            return last_arrival, {response.status for response in responses}

        route_options = {'timeout': '8000ms', 'targetLatency': None}
        last_arrival, statuses = self.run_cluster(
            scenario, (*INGRESS_NODES, 't:deep:d'), **route_options
        )
        self.assertLessEqual(last_arrival, LIMITS.drain_seconds)
        self.assertEqual({200, 503}, statuses)
