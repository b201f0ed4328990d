"""Who may call: keys of organisations, and calls of targets, which carry none."""

import asyncio
import json

from testtools import TestCase

from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.platform.configuration import read_configuration
from dunlinsaddle.records.models import Rank
from tests.builders import build_configuration, build_route, build_tenant
from tests.fakes.mesh import LIMITS
from tests.mesh_case import MeshTest

SECRET = 'ruddedev3nax7u27gxpr'
TENANTS = [build_tenant('acme', SECRET, priority=1), build_tenant('zeta', 'zeta-key')]
BEARER = f'Bearer {SECRET}'


class KeyedMeshTest(MeshTest):
    def keyed(self, scenario, **terms):
        return self.run_mesh(scenario, **{'tenants': TENANTS, **terms})


class KeyTest(KeyedMeshTest):
    def test_the_target_hears_whose_request_it_is_and_not_the_key(self):
        async def scenario(mesh):
            answer = await mesh.call('a', '/deep/x', authorization=BEARER, tenant='zeta')
            return answer.status, mesh.targets['b'].requests[0]

        status, seen = self.keyed(scenario)
        self.assertEqual(200, status)
        self.assertEqual(['acme'], [v.decode() for n, v in seen.headers if n == b'tenant'])
        self.assertNotIn(SECRET, repr(seen))

    def test_a_key_that_nobody_holds_gets_401_and_runs_nothing(self):
        async def scenario(mesh):
            answers = [
                await mesh.call('a', '/deep/x', request_id='q1', authorization='Bearer wrong'),
                await mesh.call('a', '/deep/x', request_id='q2'),
                await mesh.call('a', '/deep/x', request_id='q3', authorization=f'Basic {SECRET}'),
            ]
            return [a.status for a in answers], mesh.targets['b'].requests

        self.assertEqual(([401, 401, 401], []), self.keyed(scenario))

    def test_a_public_route_needs_no_key(self):
        async def scenario(mesh):
            answer = await mesh.call('a', '/deep/x', tenant='zeta')
            return answer.status, mesh.targets['b'].requests[0].header(b'tenant')

        self.assertEqual((200, ''), self.keyed(scenario, public=True))

    def test_without_organisations_headers_go_on_as_they_came(self):
        async def scenario(mesh):
            await mesh.call('a', '/front/x', authorization=BEARER)
            return mesh.targets['a'].requests[0].header(b'authorization')

        self.assertEqual(BEARER, self.run_mesh(scenario))

    def test_a_key_is_in_no_line_of_the_log(self):
        async def scenario(mesh):
            with self.assertLogs('dunlinsaddle.tests.test', 'DEBUG') as logs:
                for word in (BEARER, 'Bearer made-up-secret'):
                    await mesh.call('a', '/deep/x', authorization=word)
                    await mesh.call('a', '/nowhere/x', authorization=word)
            return json.dumps([vars(r) for r in logs.records], default=str)

        written = self.keyed(scenario)
        self.assertNotIn(SECRET, written)
        self.assertNotIn('made-up-secret', written)
        self.assertIn('acme', written)

    def test_the_organisations_priority_goes_before_the_routes(self):
        async def scenario(mesh):
            ranks = []
            executor = mesh.nodes['b'].executor
            execute = executor.execute

            async def note(work):
                ranks.append(work.ctx.priority.rank)
                return await execute(work)

            executor.execute = note
            await mesh.call('a', '/deep/x', authorization=BEARER)
            await mesh.call('a', '/deep/x', authorization='Bearer zeta-key')
            return ranks

        self.assertEqual([Rank.HIGH, Rank.NORMAL], self.keyed(scenario))


class CallOfTargetTest(KeyedMeshTest):
    """A call without a key is let in for the request that it is made for, and for no other."""

    async def through(self, mesh, call_id):
        """Send a request to ``a`` whose target makes one call; gives the statuses of both."""
        seen = []
        entry = mesh.nodes['a'].settings.callers

        async def script(req):
            headers = [(b'host', b'h.example'), (b'request-id', call_id(req).encode())]
            call = HttpRequest('GET', '/deep/y', headers, b'', '')
            exchange = await mesh.client.send(entry, call, 1.0)
            assert isinstance(exchange, Answered)
            seen.append(exchange.response.status)
            return mesh.targets['a'].signed_response(req)

        mesh.targets['a'].respond = script
        answer = await mesh.call('a', '/front/x', authorization=BEARER)
        return answer.status, seen

    def test_a_call_of_a_running_request_counts_as_its_organisations(self):
        async def scenario(mesh):
            statuses = await self.through(mesh, lambda req: req.header(b'request-id') + '.1')
            return statuses, mesh.targets['b'].requests[0].header(b'tenant')

        self.assertEqual(((200, [200]), 'acme'), self.keyed(scenario))

    def test_a_call_names_the_organisation_of_its_request_also_when_that_is_dropped(self):
        async def scenario(mesh):
            async def script(req):
                held = mesh.store.objects['config', 'main']
                routes = held.value['resources'][:2]
                without = build_configuration('r9', routes, TENANTS[1:])
                await mesh.store.put('config', 'main', without, held.version)
                await asyncio.sleep(0.3)
                call_id = req.header(b'request-id') + '.1'
                headers = [(b'host', b'h.example'), (b'request-id', call_id.encode())]
                call = HttpRequest('GET', '/deep/y', headers, b'', '')
                await mesh.client.send(mesh.nodes['a'].settings.callers, call, 1.0)
                return mesh.targets['a'].signed_response(req)

            mesh.targets['a'].respond = script
            await mesh.call('a', '/front/x', authorization=BEARER)
            return [req.header(b'tenant') for req in mesh.targets['b'].requests]

        self.assertEqual(['acme'], self.keyed(scenario))

    def test_an_id_that_extends_no_running_request_is_no_way_in(self):
        async def scenario(mesh):
            _, statuses = await self.through(mesh, lambda req: 'made-up.1')
            return statuses, mesh.targets['b'].requests

        self.assertEqual(([503], []), self.keyed(scenario))

    def test_a_call_after_the_end_of_its_request_is_told_503(self):
        async def scenario(mesh):
            await mesh.call('a', '/front/x', request_id='done', authorization=BEARER)
            late = await mesh.call('a', '/deep/y', request_id='done.1')
            return late.status, late.headers

        status, headers = self.keyed(scenario)
        self.assertEqual(503, status)
        self.assertIn(b'retry-after', dict(headers))

    def test_a_call_reaches_a_node_that_restarted_beside_its_target(self):
        async def scenario(mesh):
            await mesh.kill('a')
            await mesh.restart('a')
            await asyncio.sleep(2)
            return (await mesh.call('a', '/deep/y', request_id='lost.1')).status

        self.assertEqual(503, self.keyed(scenario))


class OrganisationFormatTest(TestCase):
    def read(self, *tenants):
        return read_configuration(build_configuration(tenants=list(tenants)))

    def test_keys_are_held_as_digests_only(self):
        found = self.read(build_tenant('acme', SECRET, requestsPerS=5, burst=7)).ok()
        self.assertNotIn(SECRET, repr(found))
        self.assertEqual((5, 7), tuple(found.organisations[0].quota))

    def test_no_limit_is_0_or_left_out(self):
        found = self.read(build_tenant('a'), build_tenant('b', requestsPerS=0)).ok()
        self.assertEqual([None, None], [org.quota for org in found.organisations])

    def test_contradictions_are_refused_without_telling_the_key(self):
        for tenants in (
            [build_tenant('a', SECRET), build_tenant('b', SECRET)],
            [build_tenant('a'), build_tenant('a', SECRET)],
            [build_tenant('a', SECRET, requestsPerS=-1)],
            [build_tenant('a', SECRET, burst=-1)],
            [build_tenant('a', SECRET, priority='high')],
            [build_tenant('a', 7)],
            [build_tenant('a\r\nb', SECRET)],
        ):
            why = self.read(*tenants).err()
            self.assertIsNotNone(why)
            self.assertNotIn(SECRET, why)

    def test_a_route_says_whether_it_is_public(self):
        routes = [build_route('r', public=True), build_route('s', prefix='/s/')]
        found = read_configuration(build_configuration(routes=routes)).ok()
        self.assertEqual([True, False], [r.public for r in found.routes])


class QuotaTest(KeyedMeshTest):
    """Requests of an organisation over all nodes, by whole nodes."""

    TENANTS = (build_tenant('acme', SECRET, requestsPerS=2, burst=3), build_tenant('zeta'))

    def quota_mesh(self, scenario):
        targets = ('a:front', 'b:deep', 'c:deep')
        return self.keyed(scenario, tenants=list(self.TENANTS), targets=targets, settle_seconds=8)

    async def flood(self, mesh, count, path='/deep/x', key=BEARER):
        calls = [
            mesh.call('abc'[i % 3], path, request_id=f'q{i}', authorization=key)
            for i in range(count)
        ]
        return await asyncio.gather(*calls)

    def test_what_is_over_the_limit_is_told_when_there_is_room(self):
        async def scenario(mesh):
            answers = await self.flood(mesh, 40)
            waits = [float(dict(a.headers)[b'retry-after']) for a in answers if a.status == 429]
            return [a.status for a in answers].count(200), sorted(waits)

        served, waits = self.quota_mesh(scenario)
        slack = LIMITS.quota_slack
        self.assertEqual(40 - served, len(waits))
        self.assertLessEqual(served, (2 * 5 + 3) * 1.1 + slack)
        self.assertGreaterEqual(served, 3)
        self.assertGreater(waits[-1], waits[0])

    def test_another_organisation_is_served_beside_a_flood(self):
        async def scenario(mesh):
            flood = asyncio.ensure_future(self.flood(mesh, 40))
            answers = await self.flood(mesh, 9, key='Bearer key-of-zeta')
            await flood
            return {a.status for a in answers}

        self.assertEqual({200}, self.quota_mesh(scenario))

    def test_what_did_not_run_counts_for_nothing(self):
        async def scenario(mesh):
            for name in 'bc':
                mesh.targets[name].heartbeats_enabled = False
                mesh.nodes[name].target.clear()
            refused = await self.flood(mesh, 6)
            await asyncio.sleep(0.1)
            tokens = [node.ledger.tokens_left().get('acme') for node in mesh.nodes.values()]
            return {a.status for a in refused}, max(t for t in tokens if t is not None)

        statuses, tokens = self.quota_mesh(scenario)
        self.assertEqual({503}, statuses)
        self.assertGreaterEqual(tokens, 3)
