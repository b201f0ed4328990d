import asyncio
from random import Random

from prometheus_client.parser import text_string_to_metric_families

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.membership.view import State
from standins.pipelining import PipeliningCaller
from tests.builders import build_configuration, build_route
from tests.fakes.mesh import Mesh
from tests.mesh_case import MeshTest


class RequestPathTest(MeshTest):
    def test_a_request_is_served_by_the_target_of_another_node(self):
        async def scenario(mesh):
            response = await mesh.call('a', '/deep/x?y=1', caller_service='forged', colour='red')
            (received,) = mesh.targets['b'].requests
            return response, received

        response, received = self.run_mesh(scenario)
        self.assertEqual((200, b'ok'), (response.status, response.body))
        self.assertEqual('/deep/x?y=1', received.path)
        self.assertEqual('h.example', received.header(b'host'))
        self.assertEqual('front', received.header(b'caller-service'))
        self.assertEqual('red', received.header(b'colour'))

    def test_the_target_gets_the_lower_of_the_route_timeout_and_the_remaining_time(self):
        async def scenario(mesh):
            await mesh.call('a', '/deep/x')
            await mesh.call('a', '/deep/x', timeout=0.4)
            return [int(r.header(b'deadline-milliseconds')) for r in mesh.targets['b'].requests]

        first, second = self.run_mesh(scenario)
        self.assertTrue(700 < first <= 800, first)
        self.assertTrue(300 < second <= 400, second)

    def test_unknown_routes_get_404_and_a_node_without_configuration_503(self):
        # A node without a configuration does not know the routes: a 404 would be a final error
        # for a request that has a route.
        async def call_unknown_route(mesh):
            return (await mesh.call('a', '/nowhere/x')).status

        async def call_deep(mesh):
            response = await mesh.call('a', '/deep/x')
            return response.status, float(dict(response.headers)[b'retry-after']) > 0

        self.assertEqual(404, self.run_mesh(call_unknown_route))
        self.assertEqual((503, True), self.run_mesh(call_deep, configure=False))

    def test_a_node_with_the_usable_part_of_a_configuration_refuses_only_the_unreadable_route(self):
        # Node c starts while the newest configuration has an unreadable route, which the others
        # have rejected. It serves the other routes, and answers 503 and not 404. The others keep
        # theirs, and do not fetch the version that c announces again and again.
        async def scenario(mesh):
            broken = [
                build_route('all', prefix='/', service='front'),
                build_route('front', prefix='/front/', service='front'),
                build_route('deep', prefix='/deep/', kind=7),
            ]
            stored = mesh.store.objects['config', 'main'].version
            await mesh.store.put('config', 'main', build_configuration('r8', broken), stored)
            await mesh.add_node('c', 'front')
            await asyncio.sleep(2)
            fetches = []
            answer_peer = mesh.nodes['c'].follower.answer_peer
            mesh.nodes['c'].peer_server.on_records = lambda frame: (
                fetches.append(frame) or answer_peer(frame)
            )
            await asyncio.sleep(10)
            responses = [await mesh.call('c', path) for path in ('/front/x', '/deep/x')]
            kept = await mesh.call('a', '/deep/x')
            versions = [node.follower.version for node in mesh.nodes.values()]
            return [r.status for r in responses], kept.status, versions, len(fetches)

        statuses, kept, versions, fetches = self.run_mesh(scenario)
        self.assertEqual(([200, 503], 200, [7, 7, 8]), (statuses, kept, versions))
        self.assertLess(fetches, 3)

    def test_a_request_fails_with_504_after_the_timeout_of_its_route(self):
        async def scenario(mesh):
            mesh.targets['b'].response_seconds = 3.0
            loop = asyncio.get_running_loop()
            began = loop.time()
            response = await mesh.call('a', '/deep/x')
            await asyncio.sleep(0.1)
            return response.status, loop.time() - began, mesh.targets['b'].cancelled

        status, elapsed, cancelled = self.run_mesh(scenario)
        self.assertEqual((504, 1), (status, cancelled))
        self.assertLess(elapsed, 1.0)

    def test_a_node_is_not_ready_without_a_configuration(self):
        async def readiness(mesh):
            response = await mesh.nodes['a']._handle_readiness(None)
            return response.status

        self.assertEqual(
            (503, 200), (self.run_mesh(readiness, configure=False), self.run_mesh(readiness))
        )

    def test_a_restarted_node_is_ready_only_when_it_knows_targets(self):
        # The configuration takes one response of the store, the members take a ping more. A node
        # that reports ready in between would refuse its first requests for lack of a target.
        async def scenario(mesh):
            node = await mesh.add_node('c', 'front')
            for _ in range(1000):
                if (await node._handle_readiness(None)).status == 200:
                    break
                await asyncio.sleep(0.001)
            return (await mesh.call('c', '/deep/x')).status

        self.assertEqual(200, self.run_mesh(scenario))

    def test_a_single_node_is_ready_although_the_nodes_in_the_roster_are_gone(self):
        # After all nodes were killed, the roster lists nodes that will never respond.
        async def scenario(mesh):
            for name in ('a', 'b'):
                await mesh.nodes[name].stop()
            node = await mesh.add_node('c', 'front')
            await asyncio.sleep(2.0)
            return (await node._handle_readiness(None)).status

        self.assertEqual(200, self.run_mesh(scenario))


class WaitTimeoutTest(MeshTest):
    def test_a_request_that_timed_out_while_waiting_is_refused_as_not_run(self):
        # A request waits for a slot of a hanging target until its deadline. If the ingress ended it
        # at the same moment as the target's node, its caller would get 504, which means that it may
        # have run and must not be retried. The node of the target ends the wait a little sooner.
        async def scenario(mesh):
            b = mesh.targets['b']
            b.slots = 1
            await asyncio.sleep(2)
            b.response_seconds = 60.0
            first = asyncio.create_task(mesh.call('a', '/deep/x', 'POST'))
            await asyncio.sleep(0.1)
            response = await mesh.call('a', '/deep/y', 'POST', timeout=0.5)
            first.cancel()
            return response.status, b'retry-after' in dict(response.headers), len(b.requests)

        self.assertEqual((503, True, 1), self.run_mesh(scenario, kind='unsafe', timeout='3000ms'))


class MembershipTest(MeshTest):
    def test_nodes_find_each_other_when_the_store_recovers(self):
        # The store is down while all nodes start. Two seconds after it recovers, each node can
        # serve requests through the others.
        async def scenario(mesh):
            mesh.store.down = False
            await mesh.configure()
            await asyncio.sleep(2.0)
            return [(await mesh.call(name, '/deep/x')).status for name in 'abc']

        async def run():
            mesh = Mesh()
            mesh.store.down = True
            for name, service in (('a', 'front'), ('b', 'deep'), ('c', 'front')):
                await mesh.add_node(name, service)
            await asyncio.sleep(20)
            try:
                return await scenario(mesh)
            finally:
                await mesh.stop()

        self.assertEqual([200] * 3, self.run_paused(run()))

    def test_a_node_restarted_while_the_store_is_down_is_found_by_its_peers(self):
        # A killed node starts again at its address without any state, while the store is down. Its
        # peers ping it, and it gets the members and the configuration from them.
        async def scenario(mesh):
            mesh.store.down = True
            await mesh.nodes['a'].stop()
            await asyncio.sleep(0.5)
            node = mesh.build_node('a', 'front', 'd', 100)
            mesh.targets['a'].node = node
            await node.start()
            await asyncio.sleep(6.0)
            return (await mesh.call('a', '/deep/x')).status

        self.assertEqual(200, self.run_mesh(scenario, targets=('a:front', 'b:deep', 'c:deep')))


class StopTest(MeshTest):
    def test_a_stopping_node_responds_to_the_requests_it_received(self):
        async def scenario(mesh):
            mesh.targets['b'].response_seconds = 0.5
            calls = [asyncio.create_task(mesh.call('a', '/deep/x')) for _ in range(5)]
            await asyncio.sleep(0.1)
            drain = asyncio.create_task(mesh.nodes['a'].drain())
            await asyncio.sleep(0.1)
            ready = (await mesh.nodes['a']._handle_readiness(None)).status
            late = await mesh.call('a', '/deep/x')
            statuses = [(await call).status for call in calls]
            await drain
            return ready, late.status, dict(late.headers).get(b'connection'), statuses

        self.assertEqual((503, 200, b'close', [200] * 5), self.run_mesh(scenario))

    # A connection that was never idle was served until the node ended, and then cut off.
    def test_callers_that_always_have_requests_in_progress_lose_none(self):
        for outstanding, seconds in ((4, 0.35), (2, 0.6), (12, 0.15), (4, 1.3), (16, 0.02)):
            callers = self.stop_under_pipelined_load(outstanding, seconds)
            for caller in callers:
                started = {r.header(b'request-id') for r in self.requests}
                left = {*(lost.request_id for lost in caller.lost), *caller.unread}
                self.assertEqual(set(), started & left, outstanding)
                self.assertTrue(caller.answers[-1].closes)

    def stop_under_pipelined_load(self, outstanding, response_seconds):
        rng = Random(3)

        async def scenario(mesh):
            target = mesh.targets['b']

            async def respond(req):
                await asyncio.sleep(response_seconds * rng.uniform(0.5, 1.5))
                return target.signed_response(req)

            target.respond, target.slots = respond, 200
            address = mesh.nodes['a'].settings.callers
            callers = [PipeliningCaller(f'c{n}', address, '/deep/x', outstanding) for n in range(4)]
            tasks = [asyncio.create_task(caller.run()) for caller in callers]
            await asyncio.sleep(1.0)
            await mesh.nodes['a'].drain()
            await mesh.kill('a')
            await asyncio.sleep(0.1)
            self.requests = target.requests
            for task in tasks:
                task.cancel()
            return callers

        return self.run_mesh(scenario)

    # The listener closed while a request ran at the target, so that its calls failed.
    def test_the_target_of_a_stopping_node_can_make_calls_until_its_requests_end(self):
        async def scenario(mesh):
            target = mesh.targets['a']

            async def respond(req):
                await asyncio.sleep(3.5)
                call = await mesh.call('a', '/deep/x', request_id=f'{req.header(b"request-id")}.1')
                return target.signed_response(req, call.status)

            target.respond = respond
            request = asyncio.create_task(mesh.call('b', '/front/x'))
            await asyncio.sleep(0.1)
            await mesh.nodes['a'].drain()
            return (await request).status

        self.assertEqual(200, self.run_mesh(scenario, timeout='5000ms'))

    # A request that was complete just before the end of the node was started and cut off.
    def test_a_request_that_arrives_too_late_is_refused_as_not_run(self):
        async def scenario(mesh):
            mesh.targets['b'].response_seconds = 1.5
            node = mesh.nodes['a']
            address = node.settings.callers
            reader, writer = await asyncio.open_connection(address.host, address.port)
            drain = asyncio.create_task(node.drain())
            await asyncio.sleep(2.0)
            writer.write(b'POST /deep/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: q\r\n')
            writer.write(b'content-length: 3\r\n\r\n')
            await asyncio.sleep(2.5)
            writer.write(b'abc')
            answer = await reader.read()
            writer.close()
            await drain
            return answer, mesh.targets['b'].runs

        answer, runs = self.run_mesh(scenario)
        self.assertTrue(answer.startswith(b'HTTP/1.1 503'), answer)
        self.assertIn(b'retry-after', answer)
        self.assertEqual({}, runs)

    def test_other_nodes_stop_using_the_target_of_a_stopping_node(self):
        async def scenario(mesh):
            drain = asyncio.create_task(mesh.nodes['b'].drain())
            statuses = [(await mesh.call('a', '/deep/x')).status for _ in range(20)]
            await asyncio.sleep(0.5)
            state = mesh.nodes['a'].view.find('b').state
            await drain
            return set(statuses), state

        targets = ('a:front', 'b:deep', 'c:deep')
        self.assertEqual(({200}, State.DRAINING), self.run_mesh(scenario, targets=targets))


class MetricsTest(MeshTest):
    def test_metrics_are_readable_by_the_prometheus_client_library(self):
        async def scenario(mesh):
            await mesh.call('a', '/deep/x')
            node = mesh.nodes['a']
            req = HttpRequest('GET', '/metrics', [], b'', '')
            exchange = await mesh.client.send(node.settings.metrics, req, 1)
            return exchange.response.body.decode()

        families = {f.name: f for f in text_string_to_metric_families(self.run_mesh(scenario))}
        whole_call_counts = [
            sample.value
            for sample in families['dunlinsaddle_latency_bucket'].samples
            if sample.labels['hop'] == 'whole' and sample.labels['le'] == '+Inf'
        ]
        self.assertEqual([1.0], whole_call_counts)
        (version,) = families['dunlinsaddle_configuration_version'].samples
        self.assertEqual(7.0, version.value)
        self.assertIn('dunlinsaddle_members', families)

    def test_cluster_metrics_come_before_histograms(self):
        # A collector that truncates long responses did not get the version of the configuration.
        async def scenario(mesh):
            req = HttpRequest('GET', '/metrics', [], b'', '')
            exchange = await mesh.client.send(mesh.nodes['a'].settings.metrics, req, 1)
            return exchange.response.body.decode()

        head, separator, _ = self.run_mesh(scenario).partition('_bucket')
        self.assertTrue(separator)
        for name in ('configuration_version', 'configuration_revision', 'platform_calls_total'):
            self.assertIn(f'\ndunlinsaddle_{name} ', head)
