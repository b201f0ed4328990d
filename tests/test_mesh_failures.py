"""Failures of targets and nodes, as callers see them."""

import asyncio
import itertools
from functools import partial

from dunlinsaddle.calls.http import HttpLimits, HttpResponse
from dunlinsaddle.calls.inbound.listener import HttpListener
from tests.fakes.mesh import build_refusal
from tests.fakes.target import RepeatingTarget
from tests.mesh_case import MeshTest


class FailureTest(MeshTest):
    def test_an_unsigned_successful_response_is_not_passed_to_the_caller(self):
        # The response was corrupted. An idempotent request is sent to the other target, and the
        # caller gets a complete response.
        async def scenario(mesh):
            async def respond_corrupted(req):
                return HttpResponse(200, [], b'corrupted')

            mesh.targets['b'].respond = respond_corrupted
            return {(await mesh.call('a', '/deep/x')).body for _ in range(6)}

        self.assertEqual({b'ok'}, self.run_mesh(scenario, targets=('a:front', 'b:deep', 'c:deep')))

    def test_a_request_that_is_not_idempotent_is_sent_to_one_target_only(self):
        async def scenario(mesh):
            async def respond_corrupted(req):
                return HttpResponse(200, [], b'corrupted')

            for name in 'bc':
                mesh.targets[name].respond = respond_corrupted
            statuses = {(await mesh.call('a', '/deep/x', 'POST')).status for _ in range(10)}
            runs = mesh.targets['b'].runs + mesh.targets['c'].runs
            return statuses, max(runs.values())

        targets = ('a:front', 'b:deep', 'c:deep')
        self.assertEqual(({502}, 1), self.run_mesh(scenario, targets=targets, kind='unsafe'))

    def test_a_request_that_a_target_did_not_execute_is_sent_to_another_target(self):
        async def scenario(mesh):
            async def refuse(req):
                return build_refusal(req)

            mesh.targets['b'].respond = refuse
            return {(await mesh.call('a', '/deep/x', 'POST')).status for _ in range(10)}

        targets = ('a:front', 'b:deep', 'c:deep')
        self.assertEqual({200}, self.run_mesh(scenario, targets=targets, kind='unsafe'))

    def test_a_target_that_refuses_calls_gets_fewer_of_them(self):
        # Each refused call uses up a retry of a budget that all nodes share, and the retry may
        # fail too. A target that refuses calls has the lowest load: without a penalty, 30 of 60
        # calls were sent to it first.
        async def scenario(mesh):
            async def refuse(req):
                return build_refusal(req)

            mesh.targets['b'].respond = refuse
            for target in mesh.targets.values():
                target.response_seconds = 0.05
            for _ in range(6):
                await asyncio.gather(*(mesh.call('a', '/deep/x') for _ in range(10)))
            return len(mesh.targets['b'].requests)

        arrivals = self.run_mesh(scenario, targets=('a:front', 'b:deep', 'c:deep'))
        self.assertLess(arrivals, 24)

    def sends_until_success(self, fail, times: int, **route_options):
        """Respond with ``fail(req)`` to the first sends; return the status and sends by target."""

        async def scenario(mesh):
            async def respond(req):
                target = next(t for t in mesh.targets.values() if req in t.requests)
                runs = sum(t.runs[req.header(b'request-id')] for t in mesh.targets.values())
                return fail(req) if runs <= times else target.signed_response(req)

            for name in 'bcd':
                mesh.targets[name].respond = respond
            method = 'POST' if route_options.get('kind') == 'unsafe' else 'GET'
            response = await mesh.call('a', '/deep/x', method)
            return response.status, [len(mesh.targets[name].requests) for name in 'bcd']

        targets = ('a:front', 'b:deep', 'c:deep', 'd:deep')
        return self.run_mesh(scenario, targets=targets, **route_options)

    def test_a_refused_call_is_sent_again_to_a_target_that_refused_it(self):
        # All targets of a service refuse part of the calls although they are healthy. The route
        # allows two targets per call. If both refuse it, a third send to one of them is as likely
        # to succeed as the first.
        status, arrivals = self.sends_until_success(build_refusal, 3, kind='unsafe')
        self.assertEqual((200, 4), (status, sum(arrivals)))
        self.assertEqual(1, arrivals.count(0))

    # A late copy of a refusal was taken for the answer to the next send, which the target ran.
    def test_a_late_copy_of_a_refusal_does_not_end_the_next_send(self):
        for status, gap, refusals in itertools.product((503, 421), (0, 1, 2), (1, 2, 3)):
            target = RepeatingTarget(refusals, status=status, gap=gap)
            self.assert_runs_are_answered(target, f'{status}, {gap} others, {refusals} refusals')

    # A refusal that names no request was believed: callers were told that it will never run.
    def test_a_refusal_that_names_no_request_promises_nothing(self):
        for status, gap in itertools.product((503, 421), (0, 1, 2)):
            target = RepeatingTarget(1, status=status, gap=gap, is_named=False)
            statuses = self.run_mesh(partial(self.send_to, target), kind='unsafe', attempts=1)
            self.assertEqual([502] * 30, statuses, f'{status}, {gap} others')
            self.assertEqual(1, max(target.sends.values()))

    # A request that ran was answered 503, as its target had failed with that status.
    def test_a_failure_of_a_target_does_not_promise_that_the_request_has_not_run(self):
        async def scenario(mesh):
            b = mesh.targets['b']
            responses = {}
            for status in (408, 429, 503, 500, 504):

                async def fail(req, status=status):
                    return b.signed_response(req, status=status)

                b.respond = fail
                response = await mesh.call('a', '/deep/x', 'POST')
                is_signed = b'server-signature' in dict(response.headers)
                responses[status] = (response.status, is_signed)
            return responses

        unknown = (502, False)
        expected = {408: unknown, 429: unknown, 503: unknown, 500: (500, True), 504: (504, True)}
        self.assertEqual(expected, self.run_mesh(scenario, kind='unsafe'))
        unchanged = {status: (status, True) for status in expected}
        self.assertEqual(unchanged, self.run_mesh(scenario, kind='safe'))

    # A request without an id was sent on, although targets refuse it and cannot say for which.
    def test_a_request_without_an_id_is_malformed(self):
        async def scenario(mesh):
            statuses = [(await mesh.call('a', '/deep/x', request_id='')).status]
            statuses.append((await mesh.call('a', '/nowhere/x', request_id='')).status)
            return statuses, len(mesh.targets['b'].requests)

        self.assertEqual(([400, 404], 0), self.run_mesh(scenario))

    def assert_runs_are_answered(self, target, case):
        statuses = self.run_mesh(partial(self.send_to, target), kind='unsafe', attempts=1)
        message = f'{case}: {statuses}'
        # A target that answers 421 is another one, and gets the request no second time.
        self.assertEqual(target.status == 503, bool(target.runs), message)
        self.assertEqual(len(target.runs), sum(target.runs.values()), message)
        self.assertEqual(len(target.runs), statuses.count(200), message)
        self.assertEqual(30, statuses.count(200) + statuses.count(503), message)

    async def send_to(self, repeating, mesh):
        """Put a target in the place of b's, and return the statuses of thirty requests to it."""
        mesh.targets['b'].listener.close()
        await repeating.server.listen(mesh.nodes['b'].settings.target)
        statuses = []
        for _ in range(10):
            calls = [mesh.call('a', '/deep/x', 'POST') for _ in range(3)]
            statuses += [response.status for response in await asyncio.gather(*calls)]
        repeating.server.server.close()
        return statuses

    def test_an_idempotent_request_whose_responses_are_lost_succeeds_at_the_third_send(self):
        # Targets run the request and reset the connection, in two of ten cases twice in a row. The
        # route allows two targets, and a third send to one of them succeeds.
        status, arrivals = self.sends_until_success(
            lambda req: HttpResponse(200, [], b'corrupted'), 2
        )
        self.assertEqual((200, 3), (status, sum(arrivals)))
        self.assertEqual(1, arrivals.count(0))

    def test_a_request_is_not_run_by_another_incarnation_at_the_same_address(self):
        # The target terminated and another one got its address before the node noticed: it responds
        # with 421, and the caller learns that the request did not run.
        async def scenario(mesh):
            b = mesh.targets['b']
            b.heartbeats_enabled = False
            b.target_id = 'i-other'
            response = await mesh.call('a', '/deep/x')
            return response.status, len(b.requests)

        self.assertEqual((503, 0), self.run_mesh(scenario))

    def test_a_request_is_cancelled_at_the_target_when_its_caller_disconnects(self):
        async def scenario(mesh):
            mesh.targets['b'].response_seconds = 0.7
            call = asyncio.create_task(mesh.call('a', '/deep/x'))
            await asyncio.sleep(0.2)
            call.cancel()
            await asyncio.sleep(0.1)
            return mesh.targets['b'].cancelled

        self.assertEqual(1, self.run_mesh(scenario))

    def test_a_request_that_crashes_targets_is_quarantined_on_all_nodes(self):
        # Each target that runs the request crashes and is back after two seconds. The caller sends
        # it again with a new id, through any node. Two crashes are enough for all nodes to refuse
        # it, and the remaining targets serve other requests meanwhile.
        crashed_targets = []

        async def scenario(mesh):
            def crash_on_kill(target):
                async def run(req):
                    if not req.path.endswith('kill'):
                        return target.signed_response(req)
                    crashed_targets.append(target)
                    target.listener.close()
                    await asyncio.sleep(2.0)
                    target.listener = HttpListener(target.handle, HttpLimits())
                    await target.listener.listen(target.node.settings.target)
                    return target.signed_response(req)

                return run

            for name in 'bcd':
                mesh.targets[name].respond = crash_on_kill(mesh.targets[name])
            kill_statuses, other_statuses = [], []
            for turn in range(24):
                ingress = 'abcd'[turn % 4]
                kill_statuses.append((await mesh.call(ingress, '/deep/kill')).status)
                other_statuses.append((await mesh.call(ingress, f'/deep/{turn}')).status)
                await asyncio.sleep(0.5)
            return kill_statuses[-1], other_statuses.count(200)

        targets = ('a:front', 'b:deep', 'c:deep', 'd:deep')
        last, served = self.run_mesh(scenario, targets=targets, attempts=2)
        self.assertEqual((422, True), (last, len(crashed_targets) <= 3))
        self.assertGreaterEqual(served, 22)

    def test_a_frozen_node_gets_no_calls_after_a_few_seconds(self):
        # A node hangs with its connections open. Calls sent to it get no response, and idempotent
        # ones would all wait for their deadline.
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
