"""A target that says with its answers that it leaves, while its heartbeats still say ready."""

import asyncio

from tests.fakes.mesh import LIMITS
from tests.fakes.mesh_load import ENTRIES, TARGETS, Callers
from tests.mesh_case import MeshTest

LEAVING = [(b'server-leaving', b'1')]


class LeavingTest(MeshTest):
    """Three entries with 20 requests a second each, and three targets, one of which leaves."""

    def fleet(self, scenario, targets=ENTRIES + TARGETS, **terms):
        async def run(mesh):
            callers = Callers(mesh, 20.0)
            await callers.configure(**terms)
            await asyncio.sleep(1)
            await callers.ask_for(1.0)
            return await scenario(mesh, callers)

        return self.run_mesh(run, configure=False, targets=targets)

    async def leave(self, mesh, callers, name='t'):
        """Let a target say so; give when every entry has passed on an answer that does."""
        mesh.targets[name].extra_headers = LEAVING
        await callers.ask_for(2.0)
        return asyncio.get_running_loop().time()

    def late(self, mesh, callers, name='t'):
        """Count the requests that were sent too late and reached the target all the same."""
        told = callers.told.get(b'server-leaving', {})
        sent = {one.request_id: one for one in callers.asked}
        return sum(
            sent[a.request_id].when > told.get(a.origin, float('inf')) + LIMITS.drain_seconds
            for a in mesh.targets[name].arrivals
            if a.request_id in sent
        )

    def test_a_target_that_says_with_its_answers_that_it_leaves_gets_nothing_new(self):
        """It ends while requests still come, and their callers lose them."""

        async def scenario(mesh, callers):
            since = await self.leave(mesh, callers)
            await callers.ask_for(6.0)
            await callers.end()
            return self.late(mesh, callers), [callers.served(rank, since) for rank in (0, 2)]

        self.assertEqual((0, [1.0, 1.0]), self.fleet(scenario))

    def test_a_target_that_leaves_and_refused_a_connection_gets_nothing_new(self):
        """It turns one connection away, and its next heartbeat is taken for that of a new one."""

        async def scenario(mesh, callers):
            await self.leave(mesh, callers)
            mesh.nodes['t'].target.record_connection_refused()
            await callers.ask_for(6.0)
            await callers.end()
            return self.late(mesh, callers)

        self.assertEqual(0, self.fleet(scenario))

    def test_the_next_incarnation_serves_at_once(self):
        async def scenario(mesh, callers):
            await self.leave(mesh, callers)
            target = mesh.targets['t']
            target.extra_headers, target.started_at_ms, target.sequence = [], 9000, 0
            await target.send_heartbeat(mesh.client)
            # Entries that met its end avoid it for some seconds.
            await callers.ask_for(8.0)
            await callers.end()
            began = asyncio.get_running_loop().time() - 1.0
            return sum(a.when > began for a in target.arrivals)

        self.assertGreater(self.fleet(scenario), 0)

    def test_entries_that_were_told_keep_to_it_though_the_node_beside_the_target_starts_again(self):
        """The new node knows of no leaving, and hands on the first request that it is sent."""

        async def scenario(mesh, callers):
            await self.leave(mesh, callers)
            await mesh.kill('t')
            await callers.ask_for(3.0)
            await mesh.restart('t')
            await callers.ask_for(8.0)
            await callers.end()
            return self.late(mesh, callers)

        self.assertEqual(0, self.fleet(scenario))

    def test_what_waits_for_the_rate_of_a_target_that_leaves_is_not_given_to_it_later(self):
        """Where little may run a call waits for seconds, and reaches a target that has left."""

        async def scenario(mesh, callers):
            target = mesh.targets['t']
            target.extra_headers = [(b'server-limit', b'0.5')]
            await mesh.call('a', '/orders/x')
            asked = [
                asyncio.create_task(mesh.call('a', '/orders/x', timeout=8.0)) for _ in range(4)
            ]
            await asyncio.sleep(2.2)
            target.state = 'draining'
            await target.send_heartbeat(mesh.client)
            acknowledged_at = asyncio.get_running_loop().time()
            answers = await asyncio.gather(*asked)
            last = target.arrivals[-1].when - acknowledged_at
            return last, {answer.status for answer in answers}

        long = {'timeout': '8000ms', 'targetLatency': None}
        last, statuses = self.fleet(scenario, (*ENTRIES, 't:deep:d'), **long)
        self.assertLessEqual(last, LIMITS.drain_seconds)
        self.assertEqual({200, 503}, statuses)
