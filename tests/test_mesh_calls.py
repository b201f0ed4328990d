import asyncio
from collections import Counter
from typing import Any

from dunlinsaddle.calls.http import HttpResponse
from tests.mesh_case import MeshTest


class ResendTest(MeshTest):
    def test_a_target_that_fails_by_itself_is_followed_by_another_one(self):
        # One run in a hundred ends with 500: the caller of a lookup gets the other target's
        # answer, and its own second try is spared.
        async def scenario(mesh):
            b = mesh.targets['b']

            async def failing(req):
                return b.signed_response(req, status=500)

            b.respond = failing
            return {(await mesh.call('a', '/deep/x')).status for _ in range(6)}

        targets = ('a:front', 'b:deep', 'c:deep')
        self.assertEqual({200}, self.run_mesh(scenario, targets=targets))

    def test_calls_leave_targets_that_lose_most_of_their_answers(self):
        # Two of three targets break off within a millisecond in place of most answers. They
        # look idle, so first and second tries go to them, and callers get 502 for seconds.
        async def lose(req):
            target = mesh_now.targets['b']
            if sum(target.runs.values()) % 5:
                return HttpResponse(200, [], b'')
            return target.signed_response(req)

        mesh_now: Any = None

        async def scenario(mesh):
            nonlocal mesh_now
            mesh_now = mesh
            mesh.targets['b'].respond = mesh.targets['c'].respond = lose
            statuses = []
            for _ in range(150):
                statuses.append((await mesh.call('a', '/deep/x')).status)
                await asyncio.sleep(0.01)
            return sum(status != 200 for status in statuses)

        failed = self.run_mesh(scenario, targets=('a:front', 'b:deep', 'c:deep', 'd:deep'))
        self.assertLess(failed, 15)


class EarlyRefusalTest(MeshTest):
    def test_a_request_is_held_against_the_levels_once(self):
        # Each look counts the request in the trend of the demand, and draws again whether one at
        # the edge of a level may pass: looked at twice, such requests were refused twice as often.
        async def scenario(mesh):
            levels = mesh.nodes['a'].executor.levels
            looks, check = [], levels.check

            def note(*args, **kwargs):
                looks.append(args)
                return check(*args, **kwargs)

            levels.check = note
            await mesh.call('a', '/deep/x')
            return len(looks)

        self.assertEqual(1, self.run_mesh(scenario))


class ParentTest(MeshTest):
    def test_a_targets_call_takes_the_terms_of_the_request_it_is_made_for(self):
        # The target derives the id of its call from the one it runs: the call goes before
        # requests at the entry, with the rank of its root, and ends with its root's time.
        async def scenario(mesh):
            a, seen = mesh.targets['a'], {}

            async def calling(req):
                request_id = req.header(b'request-id')
                await asyncio.sleep(0.3)
                down = await mesh.call('a', '/deep/x', request_id=f'{request_id}.7f')
                return a.signed_response(req, status=down.status)

            execute = mesh.nodes['b'].executor.execute

            async def watched(work):
                seen[work.ctx.request_id] = work.ctx
                return await execute(work)

            mesh.nodes['b'].executor.execute = watched
            a.respond = calling
            response = await mesh.call('a', '/front/x', request_id='root', priority='0')
            alone = await mesh.call('a', '/deep/x', request_id='other.7f')
            return response.status, alone.status, seen

        first, alone, seen = self.run_mesh(scenario)
        self.assertEqual((200, 200), (first, alone))
        self.assertEqual((1, 0), (seen['root.7f'].hop, seen['other.7f'].hop))

    def test_requests_are_refused_at_their_entry_when_the_service_below_is_full(self):
        # 300 requests a second need two calls each of a service that takes 380 a second. A
        # request that loses a call has wasted the work of its own target and its caller's
        # time; refused at the entry it has not run, and comes back soon.
        async def scenario(mesh):
            a, b = mesh.targets['a'], mesh.targets['b']
            b.slots, b.response_seconds = 20, 0.05
            await b.send_heartbeat(mesh.client)

            async def calling(req):
                request_id = req.header(b'request-id')
                for number in range(2):
                    down = await mesh.call('a', '/deep/x', request_id=f'{request_id}.{number}')
                    if down.status != 200:
                        return a.signed_response(req, status=500)
                return a.signed_response(req)

            a.respond = calling
            calls = []
            for number in range(900):
                request_id = f'root{number}'
                call = mesh.call('c', '/front/x', request_id=request_id)
                calls.append(asyncio.create_task(call))
                await asyncio.sleep(1 / 300)
            return Counter([(await call).status for call in calls])

        targets = ('a:front', 'b:deep', 'c:other')
        ended = self.run_mesh(scenario, targets=targets)
        self.assertGreater(ended[200], 400)
        self.assertGreater(ended[503], 150)
        self.assertLess(ended[500], 150)

    def test_calls_of_a_repeated_run_count_as_repeats(self):
        async def scenario(mesh):
            a = mesh.targets['a']

            async def calling(req):
                request_id = req.header(b'request-id')
                await mesh.call('a', '/deep/x', request_id=f'{request_id}.1')
                return a.signed_response(req)

            async def failing(req):
                return a.signed_response(req, status=500)

            a.respond, mesh.targets['c'].respond = calling, failing
            for number in range(20):
                await mesh.call('c', '/front/x', request_id=f'root{number}')
            now = asyncio.get_running_loop().time()
            return mesh.nodes['a'].budget._window_of('deep').repeat_count(now)

        targets = ('a:front', 'b:deep', 'c:front')
        self.assertGreater(self.run_mesh(scenario, targets=targets), 0)

    def test_a_request_that_failed_further_down_is_not_sent_again_at_once(self):
        # A service further down is refused; the target above answers 500. The caller is told
        # when to come back, and no second run adds to the overload.
        async def scenario(mesh):
            targets = {name: mesh.targets[name] for name in 'ac'}
            mesh.targets['b'].state = 'draining'
            await mesh.targets['b'].send_heartbeat(mesh.client)

            def calling(name):
                async def script(req):
                    request_id = f'{req.header(b"request-id")}.1'
                    down = await mesh.call(name, '/deep/x', request_id=request_id)
                    return targets[name].signed_response(
                        req, status=200 if down.status == 200 else 500
                    )

                return script

            for name, target in targets.items():
                target.respond = calling(name)
            response = await mesh.call('b', '/front/x')
            return response, sum(sum(target.runs.values()) for target in targets.values())

        response, runs = self.run_mesh(scenario, targets=('a:front', 'b:deep', 'c:front'))
        self.assertEqual((500, 1), (response.status, runs))
        self.assertGreater(float(dict(response.headers)[b'retry-after']), 0)

    def test_a_targets_failure_is_told_when_nobody_else_answers(self):
        async def scenario(mesh):
            b = mesh.targets['b']

            async def failing(req):
                return b.signed_response(req, status=500, body=b'its own words')

            b.respond = failing
            mesh.targets['c'].state = 'draining'
            await mesh.targets['c'].send_heartbeat(mesh.client)
            return [await mesh.call('a', '/deep/x') for _ in range(6)]

        targets = ('a:front', 'b:deep', 'c:deep')
        responses = self.run_mesh(scenario, targets=targets)
        self.assertEqual({(500, b'its own words')}, {(r.status, r.body) for r in responses})
