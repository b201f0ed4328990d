"""Authentication by the keys of organisations, calls of targets, and quotas."""

import asyncio
import json
from collections import Counter
from itertools import chain

from prometheus_client.parser import text_string_to_metric_families
from testtools import TestCase

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.platform.configuration import read_configuration
from dunlinsaddle.records.models import Rank
from tests.builders import build_configuration, build_route, build_tenant
from tests.fakes.mesh import LIMITS
from tests.mesh_case import MeshTest

SECRET = 'ruddedev3nax7u27gxpr'
TENANTS = [build_tenant('acme', SECRET, priority=1), build_tenant('zeta', 'zeta-key')]
BEARER = f'Bearer {SECRET}'


class KeyedMeshTest(MeshTest):
    def run_keyed(self, scenario, **options):
        return self.run_mesh(scenario, **{'tenants': TENANTS, **options})


class KeyTest(KeyedMeshTest):
    def test_target_receives_the_organisation_and_not_the_key(self):
        async def scenario(mesh):
            answer = await mesh.call('a', '/deep/x', authorization=BEARER, tenant='zeta')
            return answer.status, mesh.targets['b'].requests[0]

        status, received = self.run_keyed(scenario)
        self.assertEqual(200, status)
        self.assertEqual(['acme'], [v.decode() for n, v in received.headers if n == b'tenant'])
        self.assertNotIn(SECRET, repr(received))

    def test_unknown_key_gets_401_and_is_not_executed(self):
        async def scenario(mesh):
            answers = [
                await mesh.call('a', '/deep/x', request_id='q1', authorization='Bearer wrong'),
                await mesh.call('a', '/deep/x', request_id='q2'),
                await mesh.call('a', '/deep/x', request_id='q3', authorization=f'Basic {SECRET}'),
            ]
            return [a.status for a in answers], mesh.targets['b'].requests

        self.assertEqual(([401, 401, 401], []), self.run_keyed(scenario))

    def test_public_route_needs_no_key(self):
        async def scenario(mesh):
            answer = await mesh.call('a', '/deep/x', tenant='zeta')
            return answer.status, mesh.targets['b'].requests[0].header(b'tenant')

        self.assertEqual((200, ''), self.run_keyed(scenario, public=True))

    def test_headers_are_passed_on_unchanged_without_organisations(self):
        async def scenario(mesh):
            await mesh.call('a', '/front/x', authorization=BEARER)
            return mesh.targets['a'].requests[0].header(b'authorization')

        self.assertEqual(BEARER, self.run_mesh(scenario))

    def test_keys_are_not_logged(self):
        async def scenario(mesh):
            with self.assertLogs('dunlinsaddle.tests.test', 'DEBUG') as logs:
                for authorization in (BEARER, 'Bearer made-up-secret'):
                    await mesh.call('a', '/deep/x', authorization=authorization)
                    await mesh.call('a', '/nowhere/x', authorization=authorization)
            return json.dumps([vars(r) for r in logs.records], default=str)

        logged = self.run_keyed(scenario)
        self.assertNotIn(SECRET, logged)
        self.assertNotIn('made-up-secret', logged)
        self.assertIn('acme', logged)

    def test_priority_of_the_organisation_overrides_that_of_the_route(self):
        async def scenario(mesh):
            ranks = []
            executor = mesh.nodes['b'].executor
            execute = executor.execute

            async def record_rank(work):
                ranks.append(work.ctx.priority.rank)
                return await execute(work)

            executor.execute = record_rank
            await mesh.call('a', '/deep/x', authorization=BEARER)
            await mesh.call('a', '/deep/x', authorization='Bearer zeta-key')
            return ranks

        self.assertEqual([Rank.HIGH, Rank.NORMAL], self.run_keyed(scenario))


class TargetCallTest(KeyedMeshTest):
    """A call without a key is accepted only on behalf of a request that runs at the target."""

    async def call_through_target(self, mesh, build_call_id):
        """Send a request to ``a`` whose target makes one call; return the statuses of both."""
        call_statuses = []
        entry = mesh.nodes['a'].settings.callers

        async def respond(req):
            headers = [(b'host', b'h.example'), (b'request-id', build_call_id(req).encode())]
            call = HttpRequest('GET', '/deep/y', headers, b'', '')
            exchange = await mesh.client.send(entry, call, 1.0)
            assert isinstance(exchange, Answered)
            call_statuses.append(exchange.response.status)
            return mesh.targets['a'].signed_response(req)

        mesh.targets['a'].respond = respond
        answer = await mesh.call('a', '/front/x', authorization=BEARER)
        return answer.status, call_statuses

    def test_call_of_a_running_request_has_its_organisation(self):
        async def scenario(mesh):
            statuses = await self.call_through_target(
                mesh, lambda req: req.header(b'request-id') + '.1'
            )
            return statuses, mesh.targets['b'].requests[0].header(b'tenant')

        self.assertEqual(((200, [200]), 'acme'), self.run_keyed(scenario))

    def test_call_keeps_its_organisation_when_that_is_removed_meanwhile(self):
        async def scenario(mesh):
            async def respond(req):
                stored = mesh.store.objects['config', 'main']
                routes = stored.value['resources'][:2]
                without = build_configuration('r9', routes, TENANTS[1:])
                await mesh.store.put('config', 'main', without, stored.version)
                await asyncio.sleep(0.3)
                call_id = req.header(b'request-id') + '.1'
                headers = [(b'host', b'h.example'), (b'request-id', call_id.encode())]
                call = HttpRequest('GET', '/deep/y', headers, b'', '')
                await mesh.client.send(mesh.nodes['a'].settings.callers, call, 1.0)
                return mesh.targets['a'].signed_response(req)

            mesh.targets['a'].respond = respond
            await mesh.call('a', '/front/x', authorization=BEARER)
            return [req.header(b'tenant') for req in mesh.targets['b'].requests]

        self.assertEqual(['acme'], self.run_keyed(scenario))

    def test_id_that_extends_no_running_request_is_refused(self):
        async def scenario(mesh):
            _, statuses = await self.call_through_target(mesh, lambda req: 'made-up.1')
            return statuses, mesh.targets['b'].requests

        self.assertEqual(([503], []), self.run_keyed(scenario))

    def test_call_after_the_end_of_its_request_gets_503(self):
        async def scenario(mesh):
            await mesh.call('a', '/front/x', request_id='done', authorization=BEARER)
            late = await mesh.call('a', '/deep/y', request_id='done.1')
            return late.status, late.headers

        status, headers = self.run_keyed(scenario)
        self.assertEqual(503, status)
        self.assertIn(b'retry-after', dict(headers))

    def test_call_to_a_node_that_restarted_beside_its_target_gets_503(self):
        async def scenario(mesh):
            await mesh.kill('a')
            await mesh.restart('a')
            await asyncio.sleep(2)
            return (await mesh.call('a', '/deep/y', request_id='lost.1')).status

        self.assertEqual(503, self.run_keyed(scenario))


class OrganisationFormatTest(TestCase):
    def read(self, *tenants):
        return read_configuration(build_configuration(tenants=list(tenants)))

    def test_keys_are_held_as_digests_only(self):
        configuration = self.read(build_tenant('acme', SECRET, requestsPerS=5, burst=7)).ok()
        self.assertNotIn(SECRET, repr(configuration))
        self.assertEqual((5, 7), tuple(configuration.organisations[0].quota))

    def test_quota_of_0_or_none_means_no_limit(self):
        configuration = self.read(build_tenant('a'), build_tenant('b', requestsPerS=0)).ok()
        self.assertEqual([None, None], [org.quota for org in configuration.organisations])

    def test_invalid_organisations_are_rejected_without_revealing_keys(self):
        for tenants in (
            [build_tenant('a', SECRET), build_tenant('b', SECRET)],
            [build_tenant('a'), build_tenant('a', SECRET)],
            [build_tenant('a', SECRET, requestsPerS=-1)],
            [build_tenant('a', SECRET, burst=-1)],
            [build_tenant('a', SECRET, priority='high')],
            [build_tenant('a', 7)],
            [build_tenant('a\r\nb', SECRET)],
        ):
            error = self.read(*tenants).err()
            self.assertIsNotNone(error)
            self.assertNotIn(SECRET, error)

    def test_public_routes_are_read(self):
        routes = [build_route('r', public=True), build_route('s', prefix='/s/')]
        configuration = read_configuration(build_configuration(routes=routes)).ok()
        self.assertEqual([True, False], [r.public for r in configuration.routes])


class QuotaTest(KeyedMeshTest):
    """Quotas over several complete nodes."""

    TENANTS = (build_tenant('acme', SECRET, requestsPerS=2, burst=3), build_tenant('zeta'))

    def run_with_quotas(self, scenario, **options):
        targets = ('a:front', 'b:deep', 'c:deep')
        return self.run_keyed(
            scenario, tenants=list(self.TENANTS), targets=targets, settle_seconds=8, **options
        )

    async def flood(self, mesh, count, path='/deep/x', key=BEARER):
        calls = [
            mesh.call('abc'[i % 3], path, request_id=f'q{i}', authorization=key)
            for i in range(count)
        ]
        return await asyncio.gather(*calls)

    def test_requests_of_an_organisation_are_ordered_by_the_priority_of_their_route(self):
        # Its own priority is the same for all its requests, so that orders went with look-ups.
        async def scenario(mesh):
            ranks = []
            quotas = mesh.nodes['a'].quotas
            acquire = quotas.acquire

            async def record_demand(organisation, demand):
                ranks.append(demand.rank)
                return await acquire(organisation, demand)

            quotas.acquire = record_demand
            await mesh.call('a', '/deep/x', authorization=BEARER)
            return ranks

        tenants = [build_tenant('acme', SECRET, requestsPerS=2, burst=3, priority=1)]
        targets = ('a:front', 'b:deep')
        ranks = self.run_keyed(scenario, tenants=tenants, targets=targets, priority=0)
        self.assertEqual([Rank.CRITICAL], ranks)

    def test_requests_over_the_quota_get_429_with_spread_retry_times(self):
        async def scenario(mesh):
            answers = await self.flood(mesh, 40)
            waits = [float(dict(a.headers)[b'retry-after']) for a in answers if a.status == 429]
            return [a.status for a in answers].count(200), sorted(waits)

        served, waits = self.run_with_quotas(scenario)
        slack = LIMITS.quota_slack
        self.assertEqual(40 - served, len(waits))
        self.assertLessEqual(served, (2 * 5 + 3) * 1.1 + slack)
        self.assertGreaterEqual(served, 3)
        self.assertGreater(waits[-1], waits[0])

    def test_tokens_are_reserved_within_the_time_that_a_caller_can_wait(self):
        # The next token is there after 0.4 s. Callers wait for a third of the time that they have.
        async def scenario(mesh):
            answers = await self.flood(mesh, 40)
            return [float(dict(a.headers)[b'retry-after']) for a in answers if a.status == 429]

        self.assertGreater(min(self.run_with_quotas(scenario, timeout='0.8s')), 0.8)
        self.assertLess(min(self.run_with_quotas(scenario, timeout='4s')), 0.8)

    def test_log_and_metrics_tell_whether_the_lender_was_asked(self):
        # A caller that comes back sooner than told is refused by what the lender told it.
        async def scenario(mesh):
            with self.assertLogs('dunlinsaddle.tests.test', 'WARNING') as logs:
                await self.flood(mesh, 40)
                await self.flood(mesh, 3)
            denied = [r for r in logs.records if r.getMessage() == 'request denied']
            req = HttpRequest('GET', '/metrics', [], b'', '')
            metrics = await mesh.client.send(mesh.nodes['a'].settings.metrics, req, 1)
            sources = {record.detail.rpartition(' ')[0] for record in denied}
            return sources, metrics.response.body.decode()

        sources, metrics = self.run_with_quotas(scenario)
        self.assertEqual({'told by', 'known from'}, sources)
        self.assertIn('dunlinsaddle_quota_granted_total{rank="normal"}', metrics)
        for name in ('refused', 'refused_unasked'):
            self.assertRegex(metrics, rf'dunlinsaddle_quota_{name}_total{{rank="normal"}} [1-9]')

    def test_refusals_are_counted_by_reason_rank_and_organisation(self):
        async def scenario(mesh):
            answers = await self.flood(mesh, 40)
            await mesh.call('a', '/deep/x', authorization='Bearer unknown')
            bodies = []
            for node in mesh.nodes.values():
                req = HttpRequest('GET', '/metrics', [], b'', '')
                exchange = await mesh.client.send(node.settings.metrics, req, 1)
                bodies.append(exchange.response.body.decode())
            return [a.status for a in answers].count(429), bodies

        refused, bodies = self.run_with_quotas(scenario)
        counts = Counter()
        for family in chain.from_iterable(map(text_string_to_metric_families, bodies)):
            for sample in family.samples:
                counts[sample.name, *sorted(sample.labels.values())] += sample.value
        by_organisation = (
            'dunlinsaddle_organisation_refusals_total',
            'acme',
            'normal',
            'over-quota',
        )
        self.assertGreater(refused, 0)
        self.assertEqual(refused, counts[by_organisation])
        self.assertEqual(
            (refused, 1),
            (
                counts['dunlinsaddle_refused_requests_total', 'normal', 'over-quota'],
                counts['dunlinsaddle_refused_requests_total', '', 'unauthorized'],
            ),
        )

    def test_other_organisation_is_served_during_a_flood(self):
        async def scenario(mesh):
            flood = asyncio.ensure_future(self.flood(mesh, 40))
            answers = await self.flood(mesh, 9, key='Bearer key-of-zeta')
            await flood
            return {a.status for a in answers}

        self.assertEqual({200}, self.run_with_quotas(scenario))

    def test_requests_that_did_not_run_do_not_use_the_quota(self):
        async def scenario(mesh):
            for name in 'bc':
                mesh.targets[name].heartbeats_enabled = False
                mesh.nodes[name].target.clear()
            refused = await self.flood(mesh, 6)
            await asyncio.sleep(0.1)
            tokens = [node.ledger.tokens_left().get('acme') for node in mesh.nodes.values()]
            return {a.status for a in refused}, max(t for t in tokens if t is not None)

        statuses, tokens = self.run_with_quotas(scenario)
        self.assertEqual({503}, statuses)
        self.assertGreaterEqual(tokens, 3)
