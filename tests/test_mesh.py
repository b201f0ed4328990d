import asyncio

from prometheus_client.parser import text_string_to_metric_families

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.membership.view import State
from tests.fakes.mesh import Mesh
from tests.mesh_case import MeshTest


class WholePathTest(MeshTest):
    def test_a_request_is_answered_by_a_target_beside_another_node(self):
        async def scenario(mesh):
            response = await mesh.call('a', '/deep/x?y=1', caller_service='forged', colour='red')
            (seen,) = mesh.targets['b'].requests
            return response, seen

        response, seen = self.run_mesh(scenario)
        self.assertEqual((200, b'ok'), (response.status, response.body))
        self.assertEqual('/deep/x?y=1', seen.path)
        self.assertEqual('h.example', seen.header(b'host'))
        self.assertEqual('front', seen.header(b'caller-service'))
        self.assertEqual('red', seen.header(b'colour'))

    def test_the_target_gets_the_time_that_is_left_within_the_timeout(self):
        async def scenario(mesh):
            await mesh.call('a', '/deep/x')
            await mesh.call('a', '/deep/x', timeout=0.4)
            return [int(r.header(b'deadline-milliseconds')) for r in mesh.targets['b'].requests]

        first, second = self.run_mesh(scenario)
        self.assertTrue(700 < first <= 800, first)
        self.assertTrue(300 < second <= 400, second)

    def test_unknown_routes_get_404_and_a_node_without_configuration_503(self):
        # A node that knows no configuration cannot say that a route is not there: a 404 would
        # end a request that every configuration allows.
        async def unknown(mesh):
            return (await mesh.call('a', '/nowhere/x')).status

        async def fresh(mesh):
            response = await mesh.call('a', '/deep/x')
            return response.status, float(dict(response.headers)[b'retry-after']) > 0

        self.assertEqual(404, self.run_mesh(unknown))
        self.assertEqual((503, True), self.run_mesh(fresh, configure=False))

    def test_a_request_is_answered_when_the_timeout_of_its_route_has_passed(self):
        async def scenario(mesh):
            mesh.targets['b'].response_seconds = 3.0
            loop = asyncio.get_running_loop()
            began = loop.time()
            response = await mesh.call('a', '/deep/x')
            await asyncio.sleep(0.1)
            return response.status, loop.time() - began, mesh.targets['b'].cancelled

        status, took, cancelled = self.run_mesh(scenario)
        self.assertEqual((504, 1), (status, cancelled))
        self.assertLess(took, 1.0)

    def test_readiness_needs_a_configuration(self):
        async def ready(mesh):
            response = await mesh.nodes['a']._answer_ready(None)
            return response.status

        self.assertEqual((503, 200), (self.run_mesh(ready, configure=False), self.run_mesh(ready)))

    def test_a_restarted_node_is_ready_once_it_knows_where_targets_are(self):
        # Callers come back as soon as the node says it is ready, and their first requests are
        # refused for want of a target: the configuration is one answer of the store away, the
        # members are that and a ping.
        async def scenario(mesh):
            node = await mesh.add_node('c', 'front')
            for _ in range(1000):
                if (await node._answer_ready(None)).status == 200:
                    break
                await asyncio.sleep(0.001)
            return (await mesh.call('c', '/deep/x')).status

        self.assertEqual(200, self.run_mesh(scenario))

    def test_a_node_alone_is_ready_though_those_listed_are_gone(self):
        # After all were killed the roster lists nodes that will never answer.
        async def scenario(mesh):
            for name in ('a', 'b'):
                await mesh.nodes[name].stop()
            node = await mesh.add_node('c', 'front')
            await asyncio.sleep(2.0)
            return (await node._answer_ready(None)).status

        self.assertEqual(200, self.run_mesh(scenario))


class LateWaitTest(MeshTest):
    def test_a_request_that_only_waited_is_told_that_it_did_not_run(self):
        # An order waits for a slot of a target that stands still, until its time is up. Entry and
        # node ended it at the same moment, so that its caller got 504: it may have run, and must
        # not be sent again. The node ends the wait a little sooner.
        async def scenario(mesh):
            b = mesh.targets['b']
            b.slots = 1
            await asyncio.sleep(2)
            b.response_seconds = 60.0
            first = asyncio.create_task(mesh.call('a', '/deep/x', 'POST'))
            await asyncio.sleep(0.1)
            waited = await mesh.call('a', '/deep/y', 'POST', timeout=0.5)
            first.cancel()
            return waited.status, b'retry-after' in dict(waited.headers), len(b.requests)

        self.assertEqual((503, True, 1), self.run_mesh(scenario, kind='unsafe', timeout='3000ms'))


class MembershipTest(MeshTest):
    def test_nodes_find_each_other_when_the_store_returns(self):
        # The store is away while all start. Two seconds after its return every node serves by
        # every other one.
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

    def test_a_node_restarted_while_the_store_is_away_is_found_by_its_peers(self):
        # One node is killed and starts again at its address, knowing nothing; the store does
        # not answer. Its peers ping it, and it gets members and configuration from them.
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
    def test_a_stopping_node_answers_what_it_has_read(self):
        async def scenario(mesh):
            mesh.targets['b'].response_seconds = 0.5
            calls = [asyncio.create_task(mesh.call('a', '/deep/x')) for _ in range(5)]
            await asyncio.sleep(0.1)
            ended = asyncio.create_task(mesh.nodes['a'].drain())
            await asyncio.sleep(0.1)
            ready = (await mesh.nodes['a']._answer_ready(None)).status
            late = await mesh.call('a', '/deep/x')
            statuses = [(await call).status for call in calls]
            await ended
            return ready, late.status, dict(late.headers).get(b'connection'), statuses

        self.assertEqual((503, 200, b'close', [200] * 5), self.run_mesh(scenario))

    def test_others_stop_choosing_the_target_of_a_stopping_node(self):
        async def scenario(mesh):
            ended = asyncio.create_task(mesh.nodes['b'].drain())
            statuses = [(await mesh.call('a', '/deep/x')).status for _ in range(20)]
            await asyncio.sleep(0.5)
            state = mesh.nodes['a'].view.find('b').state
            await ended
            return set(statuses), state

        targets = ('a:front', 'b:deep', 'c:deep')
        self.assertEqual(({200}, State.DRAINING), self.run_mesh(scenario, targets=targets))


class MetricsTest(MeshTest):
    def test_a_client_library_reads_the_metrics(self):
        async def scenario(mesh):
            await mesh.call('a', '/deep/x')
            node = mesh.nodes['a']
            req = HttpRequest('GET', '/metrics', [], b'', '')
            exchange = await mesh.client.send(node.settings.metrics, req, 1)
            return exchange.response.body.decode()

        families = {f.name: f for f in text_string_to_metric_families(self.run_mesh(scenario))}
        whole = [
            sample.value
            for sample in families['dunlinsaddle_latency_bucket'].samples
            if sample.labels['hop'] == 'whole' and sample.labels['le'] == '+Inf'
        ]
        self.assertEqual([1.0], whole)
        (version,) = families['dunlinsaddle_configuration_version'].samples
        self.assertEqual(7.0, version.value)
        self.assertIn('dunlinsaddle_members', families)

    def test_beliefs_come_before_histograms(self):
        # A collector that keeps the first part of an answer saw no version of the configuration.
        async def scenario(mesh):
            req = HttpRequest('GET', '/metrics', [], b'', '')
            exchange = await mesh.client.send(mesh.nodes['a'].settings.metrics, req, 1)
            return exchange.response.body.decode()

        before, found, _ = self.run_mesh(scenario).partition('_bucket')
        self.assertTrue(found)
        for name in ('configuration_version', 'configuration_revision', 'platform_calls_total'):
            self.assertIn(f'\ndunlinsaddle_{name} ', before)
