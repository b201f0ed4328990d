import asyncio

from prometheus_client.parser import text_string_to_metric_families

from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse
from dunlinsaddle.calls.listener import HttpFace
from dunlinsaddle.membership.view import State
from tests.fakes.mesh import Mesh
from tests.mesh_case import MeshTest


class WholePathTest(MeshTest):
    def test_a_request_is_answered_by_a_target_beside_another_node(self):
        async def scenario(mesh):
            response = await mesh.call('a', '/deep/x?y=1', caller_service='forged', colour='red')
            (seen,) = mesh.targets['b'].seen
            return response, seen

        response, seen = self.mesh(scenario)
        self.assertEqual((200, b'ok'), (response.status, response.body))
        self.assertEqual('/deep/x?y=1', seen.path)
        self.assertEqual('h.example', seen.header(b'host'))
        self.assertEqual('front', seen.header(b'caller-service'))
        self.assertEqual('red', seen.header(b'colour'))

    def test_the_target_gets_the_time_that_is_left_within_the_timeout(self):
        async def scenario(mesh):
            await mesh.call('a', '/deep/x')
            await mesh.call('a', '/deep/x', timeout=0.4)
            return [int(r.header(b'deadline-milliseconds')) for r in mesh.targets['b'].seen]

        first, second = self.mesh(scenario)
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

        self.assertEqual(404, self.mesh(unknown))
        self.assertEqual((503, True), self.mesh(fresh, configure=False))

    def test_a_request_is_answered_when_the_timeout_of_its_route_has_passed(self):
        async def scenario(mesh):
            mesh.targets['b'].seconds = 3.0
            loop = asyncio.get_running_loop()
            began = loop.time()
            response = await mesh.call('a', '/deep/x')
            await asyncio.sleep(0.1)
            return response.status, loop.time() - began, mesh.targets['b'].cancelled

        status, took, cancelled = self.mesh(scenario)
        self.assertEqual((504, 1), (status, cancelled))
        self.assertLess(took, 1.0)

    def test_readiness_needs_a_configuration(self):
        async def ready(mesh):
            response = await mesh.nodes['a']._answer_ready(None)
            return response.status

        self.assertEqual((503, 200), (self.mesh(ready, configure=False), self.mesh(ready)))

    def test_a_restarted_node_is_ready_once_it_knows_where_targets_are(self):
        # Callers come back as soon as the node says it is ready, and their first requests are
        # refused for want of a target: the configuration is one answer of the store away, the
        # members are that and a ping.
        async def scenario(mesh):
            node = await mesh.place('c', 'front')
            for _ in range(1000):
                if (await node._answer_ready(None)).status == 200:
                    break
                await asyncio.sleep(0.001)
            return (await mesh.call('c', '/deep/x')).status

        self.assertEqual(200, self.mesh(scenario))

    def test_a_node_alone_is_ready_though_those_listed_are_gone(self):
        # After all were killed the roster lists nodes that will never answer.
        async def scenario(mesh):
            for name in ('a', 'b'):
                await mesh.nodes[name].stop()
            node = await mesh.place('c', 'front')
            await asyncio.sleep(2.0)
            return (await node._answer_ready(None)).status

        self.assertEqual(200, self.mesh(scenario))


class LateWaitTest(MeshTest):
    def test_a_request_that_only_waited_is_told_that_it_did_not_run(self):
        # An order waits for a slot of a target that stands still, until its time is up. Entry and
        # node ended it at the same moment, so that its caller got 504: it may have run, and must
        # not be sent again. The node ends the wait a little sooner.
        async def scenario(mesh):
            b = mesh.targets['b']
            b.slots = 1
            await asyncio.sleep(2)
            b.seconds = 60.0
            first = asyncio.create_task(mesh.call('a', '/deep/x', 'POST'))
            await asyncio.sleep(0.1)
            waited = await mesh.call('a', '/deep/y', 'POST', timeout=0.5)
            first.cancel()
            return waited.status, b'retry-after' in dict(waited.headers), len(b.seen)

        self.assertEqual((503, True, 1), self.mesh(scenario, kind='unsafe', timeout='3000ms'))


class AnnounceTest(MeshTest):
    def test_a_draining_target_gets_nothing_new(self):
        async def scenario(mesh):
            b = mesh.targets['b']
            b.state = 'draining'
            acknowledged = await b.announce(mesh.client)
            response = await mesh.call('a', '/deep/x')
            return acknowledged, response.status, len(b.seen)

        self.assertEqual((200, 503, 0), self.mesh(scenario))

    def test_an_acknowledgement_binds_also_while_the_store_is_away(self):
        # A target is told that its leaving is known, and is then given a request. The store
        # was away at that moment: what the node has acknowledged must not depend on it.
        async def scenario(mesh):
            mesh.store.down = True
            b = mesh.targets['b']
            b.state = 'draining'
            acknowledged = await b.announce(mesh.client)
            response = await mesh.call('a', '/deep/x')
            mesh.store.down = False
            await asyncio.sleep(3)
            later = await mesh.call('a', '/deep/x')
            return acknowledged, response.status, later.status, len(b.seen)

        self.assertEqual((200, 503, 503, 0), self.mesh(scenario))

    def test_an_outage_of_the_store_alone_loses_nothing(self):
        # Callers notice nothing: members and configuration that are known hold without it.
        async def scenario(mesh):
            mesh.store.down = True
            statuses = []
            for _ in range(20):
                statuses.append((await mesh.call('a', '/deep/x')).status)
                await asyncio.sleep(1)
            return set(statuses)

        self.assertEqual({200}, self.mesh(scenario))

    def test_heartbeats_that_name_another_target_or_cannot_be_read_change_nothing(self):
        async def scenario(mesh):
            b = mesh.targets['b']
            b.beating = False
            statuses = [
                await b.announce(mesh.client, **wrong)
                for wrong in (
                    {'service': 'other', 'state': 'draining'},
                    {'address': '127.0.0.1:1', 'state': 'draining'},
                    {'state': 'asleep'},
                    {'slots': '40'},
                    {'sequence': None},
                )
            ]
            return statuses, (await mesh.call('a', '/deep/x')).status

        self.assertEqual(([400] * 5, 200), self.mesh(scenario))

    def test_a_late_heartbeat_of_an_earlier_start_is_not_taken(self):
        # The target crashed behind a cut and started again under the same id. A heartbeat of
        # its first start arrives late and says that it drains: the second one must serve on.
        async def scenario(mesh):
            b = mesh.targets['b']
            b.beating = False
            b.born, b.sequence = 5000, 0
            await b.announce(mesh.client)
            await b.announce(mesh.client, born=1, sequence=900, state='draining')
            return (await mesh.call('a', '/deep/x')).status

        self.assertEqual(200, self.mesh(scenario))

    def test_a_target_that_started_again_under_its_id_serves_at_once(self):
        async def scenario(mesh):
            b = mesh.targets['b']
            b.beating = False
            await b.announce(mesh.client, state='draining')
            b.born, b.sequence = 9000, 0
            await b.announce(mesh.client)
            await asyncio.sleep(1)
            return (await mesh.call('a', '/deep/x')).status

        self.assertEqual(200, self.mesh(scenario))


class FailureTest(MeshTest):
    def test_an_unsigned_success_never_reaches_the_caller(self):
        # The target's bytes were spoiled: an idempotent request goes to the other target,
        # the caller sees a whole answer.
        async def scenario(mesh):
            async def spoiled(req):
                return HttpResponse(200, [], b'spoiled')

            mesh.targets['b'].script = spoiled
            return {(await mesh.call('a', '/deep/x')).body for _ in range(6)}

        self.assertEqual({b'ok'}, self.mesh(scenario, targets=('a:front', 'b:deep', 'c:deep')))

    def test_a_request_that_is_not_idempotent_goes_to_one_target_only(self):
        async def scenario(mesh):
            async def spoiled(req):
                return HttpResponse(200, [], b'spoiled')

            for name in 'bc':
                mesh.targets[name].script = spoiled
            statuses = {(await mesh.call('a', '/deep/x', 'POST')).status for _ in range(10)}
            runs = mesh.targets['b'].runs + mesh.targets['c'].runs
            return statuses, max(runs.values())

        targets = ('a:front', 'b:deep', 'c:deep')
        self.assertEqual(({502}, 1), self.mesh(scenario, targets=targets, kind='unsafe'))

    def test_what_a_target_says_it_did_not_run_is_sent_to_another_one(self):
        async def scenario(mesh):
            async def full(req):
                return HttpResponse(503, [(b'not-executed', b'1')], b'')

            mesh.targets['b'].script = full
            return {(await mesh.call('a', '/deep/x', 'POST')).status for _ in range(10)}

        targets = ('a:front', 'b:deep', 'c:deep')
        self.assertEqual({200}, self.mesh(scenario, targets=targets, kind='unsafe'))

    def test_calls_leave_a_target_that_turns_them_away(self):
        # Each call that a target turns away costs a try out of a budget that all nodes share,
        # and the second one may be lost as well. By its load the target is the idlest of all:
        # 30 of 60 calls went there first.
        async def scenario(mesh):
            async def full(req):
                return HttpResponse(503, [(b'not-executed', b'1')], b'')

            mesh.targets['b'].script = full
            for target in mesh.targets.values():
                target.seconds = 0.05
            for _ in range(6):
                await asyncio.gather(*(mesh.call('a', '/deep/x') for _ in range(10)))
            return len(mesh.targets['b'].seen)

        arrivals = self.mesh(scenario, targets=('a:front', 'b:deep', 'c:deep'))
        self.assertLess(arrivals, 24)

    def sends_until_answered(self, spoilt: HttpResponse, times: int, **terms):
        """Let targets answer so often with ``spoilt``; gives the status and the sends to each."""

        async def scenario(mesh):
            async def script(req):
                target = next(t for t in mesh.targets.values() if req in t.seen)
                runs = sum(t.runs[req.header(b'request-id')] for t in mesh.targets.values())
                return spoilt if runs <= times else target.signed(req)

            for name in 'bcd':
                mesh.targets[name].script = script
            method = 'POST' if terms.get('kind') == 'unsafe' else 'GET'
            response = await mesh.call('a', '/deep/x', method)
            return response.status, [len(mesh.targets[name].seen) for name in 'bcd']

        targets = ('a:front', 'b:deep', 'c:deep', 'd:deep')
        return self.mesh(scenario, targets=targets, **terms)

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
            b.beating = False
            b.target_id = 'i-other'
            response = await mesh.call('a', '/deep/x')
            return response.status, len(b.seen)

        self.assertEqual((503, 0), self.mesh(scenario))

    def test_the_work_ends_when_the_caller_has_gone(self):
        async def scenario(mesh):
            mesh.targets['b'].seconds = 0.7
            call = asyncio.create_task(mesh.call('a', '/deep/x'))
            await asyncio.sleep(0.2)
            call.cancel()
            await asyncio.sleep(0.1)
            return mesh.targets['b'].cancelled

        self.assertEqual(1, self.mesh(scenario))

    def test_a_request_that_kills_its_target_is_stopped_over_all_nodes(self):
        # Each target that runs it dies, and is back after two seconds. Its caller sends it
        # again with a new id, by any node. Two deaths are enough for all nodes to know it;
        # other requests are served all the while by whoever lives.
        deaths = []

        async def scenario(mesh):
            def deadly(target):
                async def run(req):
                    if not req.path.endswith('kill'):
                        return target.signed(req)
                    deaths.append(target)
                    target.face.close()
                    await asyncio.sleep(2.0)
                    target.face = HttpFace(target.handle, HttpLimits())
                    await target.face.listen(target.node.settings.target)
                    return target.signed(req)

                return run

            for name in 'bcd':
                mesh.targets[name].script = deadly(mesh.targets[name])
            killed, others = [], []
            for turn in range(24):
                entry = 'abcd'[turn % 4]
                killed.append((await mesh.call(entry, '/deep/kill')).status)
                others.append((await mesh.call(entry, f'/deep/{turn}')).status)
                await asyncio.sleep(0.5)
            return killed[-1], others.count(200)

        targets = ('a:front', 'b:deep', 'c:deep', 'd:deep')
        last, served = self.mesh(scenario, targets=targets, attempts=2)
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

        statuses = self.mesh(scenario, targets=('a:front', 'b:deep', 'c:deep', 'd:deep'))
        self.assertGreaterEqual(statuses.count(200), 47)
        self.assertEqual({200}, set(statuses[-20:]))


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
                await mesh.place(name, service)
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
            node = mesh.node('a', 'front', 'd', 100)
            mesh.targets['a'].node = node
            await node.start()
            await asyncio.sleep(6.0)
            return (await mesh.call('a', '/deep/x')).status

        self.assertEqual(200, self.mesh(scenario, targets=('a:front', 'b:deep', 'c:deep')))


class StopTest(MeshTest):
    def test_a_stopping_node_answers_what_it_has_read(self):
        async def scenario(mesh):
            mesh.targets['b'].seconds = 0.5
            calls = [asyncio.create_task(mesh.call('a', '/deep/x')) for _ in range(5)]
            await asyncio.sleep(0.1)
            ended = asyncio.create_task(mesh.nodes['a'].drain())
            await asyncio.sleep(0.1)
            ready = (await mesh.nodes['a']._answer_ready(None)).status
            late = await mesh.call('a', '/deep/x')
            statuses = [(await call).status for call in calls]
            await ended
            return ready, late.status, dict(late.headers).get(b'connection'), statuses

        self.assertEqual((503, 200, b'close', [200] * 5), self.mesh(scenario))

    def test_others_stop_choosing_the_target_of_a_stopping_node(self):
        async def scenario(mesh):
            ended = asyncio.create_task(mesh.nodes['b'].drain())
            statuses = [(await mesh.call('a', '/deep/x')).status for _ in range(20)]
            await asyncio.sleep(0.5)
            state = mesh.nodes['a'].view.find('b').state
            await ended
            return set(statuses), state

        targets = ('a:front', 'b:deep', 'c:deep')
        self.assertEqual(({200}, State.DRAINING), self.mesh(scenario, targets=targets))


class MetricsTest(MeshTest):
    def test_a_client_library_reads_the_metrics(self):
        async def scenario(mesh):
            await mesh.call('a', '/deep/x')
            node = mesh.nodes['a']
            req = HttpRequest('GET', '/metrics', [], b'', '')
            exchange = await mesh.client.send(node.settings.metrics, req, 1)
            return exchange.response.body.decode()

        families = {f.name: f for f in text_string_to_metric_families(self.mesh(scenario))}
        whole = [
            sample.value
            for sample in families['dunlinsaddle_latency_bucket'].samples
            if sample.labels['hop'] == 'whole' and sample.labels['le'] == '+Inf'
        ]
        self.assertEqual([1.0], whole)
        (version,) = families['dunlinsaddle_configuration_version'].samples
        self.assertEqual(7.0, version.value)
        self.assertIn('dunlinsaddle_members', families)
