"""Targets and nodes that fail, as callers of whole nodes see it."""

import asyncio

from dunlinsaddle.calls.http import HttpLimits, HttpResponse
from dunlinsaddle.calls.listener import HttpListener
from tests.mesh_case import MeshTest


class FailureTest(MeshTest):
    def test_an_unsigned_success_never_reaches_the_caller(self):
        # The target's bytes were spoiled: an idempotent request goes to the other target,
        # the caller sees a whole answer.
        async def scenario(mesh):
            async def spoiled(req):
                return HttpResponse(200, [], b'spoiled')

            mesh.targets['b'].respond = spoiled
            return {(await mesh.call('a', '/deep/x')).body for _ in range(6)}

        self.assertEqual({b'ok'}, self.run_mesh(scenario, targets=('a:front', 'b:deep', 'c:deep')))

    def test_a_request_that_is_not_idempotent_goes_to_one_target_only(self):
        async def scenario(mesh):
            async def spoiled(req):
                return HttpResponse(200, [], b'spoiled')

            for name in 'bc':
                mesh.targets[name].respond = spoiled
            statuses = {(await mesh.call('a', '/deep/x', 'POST')).status for _ in range(10)}
            runs = mesh.targets['b'].runs + mesh.targets['c'].runs
            return statuses, max(runs.values())

        targets = ('a:front', 'b:deep', 'c:deep')
        self.assertEqual(({502}, 1), self.run_mesh(scenario, targets=targets, kind='unsafe'))

    def test_what_a_target_says_it_did_not_run_is_sent_to_another_one(self):
        async def scenario(mesh):
            async def full(req):
                return HttpResponse(503, [(b'not-executed', b'1')], b'')

            mesh.targets['b'].respond = full
            return {(await mesh.call('a', '/deep/x', 'POST')).status for _ in range(10)}

        targets = ('a:front', 'b:deep', 'c:deep')
        self.assertEqual({200}, self.run_mesh(scenario, targets=targets, kind='unsafe'))

    def test_calls_leave_a_target_that_turns_them_away(self):
        # Each call that a target turns away costs a try out of a budget that all nodes share,
        # and the second one may be lost as well. By its load the target is the idlest of all:
        # 30 of 60 calls went there first.
        async def scenario(mesh):
            async def full(req):
                return HttpResponse(503, [(b'not-executed', b'1')], b'')

            mesh.targets['b'].respond = full
            for target in mesh.targets.values():
                target.response_seconds = 0.05
            for _ in range(6):
                await asyncio.gather(*(mesh.call('a', '/deep/x') for _ in range(10)))
            return len(mesh.targets['b'].requests)

        arrivals = self.run_mesh(scenario, targets=('a:front', 'b:deep', 'c:deep'))
        self.assertLess(arrivals, 24)

    def sends_until_answered(self, spoilt: HttpResponse, times: int, **terms):
        """Let targets answer so often with ``spoilt``; gives the status and the sends to each."""

        async def scenario(mesh):
            async def script(req):
                target = next(t for t in mesh.targets.values() if req in t.requests)
                runs = sum(t.runs[req.header(b'request-id')] for t in mesh.targets.values())
                return spoilt if runs <= times else target.signed_response(req)

            for name in 'bcd':
                mesh.targets[name].respond = script
            method = 'POST' if terms.get('kind') == 'unsafe' else 'GET'
            response = await mesh.call('a', '/deep/x', method)
            return response.status, [len(mesh.targets[name].requests) for name in 'bcd']

        targets = ('a:front', 'b:deep', 'c:deep', 'd:deep')
        return self.run_mesh(scenario, targets=targets, **terms)

    def test_a_call_that_is_turned_away_unrun_is_tried_again_where_it_was(self):
        # All targets of a service turn away part of what arrives, while their health checks
        # are good. Its route allows two targets for each call, and those refuse it: the caller
        # is failed, though a third send to one of them is as good as the first.
        turned_away = HttpResponse(503, [(b'not-executed', b'1')], b'')
        status, arrivals = self.sends_until_answered(turned_away, 3, kind='unsafe')
        self.assertEqual((200, 4), (status, sum(arrivals)))
        self.assertEqual(1, arrivals.count(0))

    def test_a_lookup_whose_answers_are_lost_is_answered_at_the_third_send(self):
        # Targets run the request and reset the connection, two in ten times one after the
        # other. Its route allows two targets: the caller of a lookup is failed, though a third
        # send, to one of the two, is answered.
        status, arrivals = self.sends_until_answered(HttpResponse(200, [], b'spoiled'), 2)
        self.assertEqual((200, 3), (status, sum(arrivals)))
        self.assertEqual(1, arrivals.count(0))

    def test_another_incarnation_at_the_address_does_not_run_the_request(self):
        # The target has gone and another one got its address before the node has heard: it
        # answers 421, and the caller is told that nothing ran.
        async def scenario(mesh):
            b = mesh.targets['b']
            b.heartbeats_enabled = False
            b.target_id = 'i-other'
            response = await mesh.call('a', '/deep/x')
            return response.status, len(b.requests)

        self.assertEqual((503, 0), self.run_mesh(scenario))

    def test_the_work_ends_when_the_caller_has_gone(self):
        async def scenario(mesh):
            mesh.targets['b'].response_seconds = 0.7
            call = asyncio.create_task(mesh.call('a', '/deep/x'))
            await asyncio.sleep(0.2)
            call.cancel()
            await asyncio.sleep(0.1)
            return mesh.targets['b'].cancelled

        self.assertEqual(1, self.run_mesh(scenario))

    def test_a_request_that_kills_its_target_is_stopped_over_all_nodes(self):
        # Each target that runs it dies, and is back after two seconds. Its caller sends it
        # again with a new id, by any node. Two deaths are enough for all nodes to know it;
        # other requests are served all the while by whoever lives.
        deaths = []

        async def scenario(mesh):
            def deadly(target):
                async def run(req):
                    if not req.path.endswith('kill'):
                        return target.signed_response(req)
                    deaths.append(target)
                    target.listener.close()
                    await asyncio.sleep(2.0)
                    target.listener = HttpListener(target.handle, HttpLimits())
                    await target.listener.listen(target.node.settings.target)
                    return target.signed_response(req)

                return run

            for name in 'bcd':
                mesh.targets[name].respond = deadly(mesh.targets[name])
            killed, others = [], []
            for turn in range(24):
                entry = 'abcd'[turn % 4]
                killed.append((await mesh.call(entry, '/deep/kill')).status)
                others.append((await mesh.call(entry, f'/deep/{turn}')).status)
                await asyncio.sleep(0.5)
            return killed[-1], others.count(200)

        targets = ('a:front', 'b:deep', 'c:deep', 'd:deep')
        last, served = self.run_mesh(scenario, targets=targets, attempts=2)
        self.assertEqual((422, True), (last, len(deaths) <= 3))
        self.assertGreaterEqual(served, 22)

    def test_calls_leave_a_frozen_node_within_seconds(self):
        # A node stands still with its connections open: calls given to it get no answer, and
        # those that may be repeated would wait for their deadline, one after the other.
        async def scenario(mesh):
            async def hang(call):
                await asyncio.sleep(60)

            frozen = mesh.nodes['b']
            frozen.peer_server.handler = hang
            frozen.agent.gossip.receive = lambda now, message: []
            frozen.agent.gossip.tick = lambda now: []
            statuses = []
            for _ in range(50):
                statuses.append((await mesh.call('a', '/deep/x', timeout=1.0)).status)
                await asyncio.sleep(0.05)
            return statuses

        statuses = self.run_mesh(scenario, targets=('a:front', 'b:deep', 'c:deep', 'd:deep'))
        self.assertGreaterEqual(statuses.count(200), 47)
        self.assertEqual({200}, set(statuses[-20:]))
