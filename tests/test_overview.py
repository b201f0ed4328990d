"""What a node on the platform knows, as operators read it."""

import asyncio
from unittest import mock

import msgspec
from testtools import TestCase

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.exit_status import ExitStatus
from dunlinsaddle.mesh.overview import LISTENER_HEADER, PATH
from dunlinsaddle.policy.context import LOWEST_LEVEL
from tests.builders import build_tenant
from tests.mesh_case import MeshTest
from tests.utils import run_cli


class OverviewTest(MeshTest):
    def test_the_overview_tells_what_is_known_and_how_old_it_is(self):
        async def scenario(mesh):
            await mesh.call('a', '/deep/x', authorization='Bearer unknown')
            await mesh.call('a', '/deep/x', authorization='Bearer key-of-acme')
            await asyncio.sleep(3)
            req = HttpRequest('GET', PATH, [], b'', '')
            exchange = await mesh.client.send(mesh.nodes['a'].settings.metrics, req, 1)
            return msgspec.json.decode(exchange.response.body)

        tenants = [build_tenant('acme', requestsPerS=50, burst=9), build_tenant('zeta')]
        overview = self.run_mesh(scenario, tenants=tenants)
        node, capacity = overview['node'], overview['capacity']
        self.assertEqual(
            ('a', 7, 2), tuple(node[k] for k in ('instance', 'configuration', 'members'))
        )
        self.assertEqual((40, 0), (capacity['slots'], capacity['inflight']))
        self.assertLess(capacity['heartbeat_age'], 2)
        services = {row['service']: row for row in overview['services']}
        self.assertEqual(LOWEST_LEVEL, services['deep']['level'])
        self.assertIsNone(services['front']['level'])
        targets = {row['instance']: row for row in overview['targets']}
        self.assertAlmostEqual(3.0, targets['b']['load_age'], delta=0.1)
        self.assertEqual((None, 'alive'), (targets['a']['load_age'], targets['a']['state']))
        organisations = {row['organisation']: row for row in overview['organisations']}
        self.assertEqual((50, 9), (organisations['acme']['rate'], organisations['acme']['burst']))
        self.assertEqual(['acme', 'zeta'], sorted(organisations))
        self.assertNotIn('key-of-acme', str(overview))


class NodesCommandTest(TestCase):
    OVERVIEW = {
        'node': {'instance': 'a', 'configuration': 7},
        'capacity': {'slots': 40},
        'services': [{'service': 'deep', 'level': None}, {'service': 'front', 'level': 12.5}],
        'targets': [{'instance': 'b', 'load': {'inflight': 3}}],
        'organisations': [],
    }

    def run_nodes(self, *argv, header=LISTENER_HEADER):
        response = HttpResponse(200, [header], msgspec.json.encode(self.OVERVIEW))
        exchange = mock.AsyncMock(return_value=Answered(response))
        with mock.patch.object(HttpClient, 'send', exchange):
            return run_cli('nodes', '--node', '127.0.0.1:9464', *argv)

    def test_each_kind_of_knowledge_is_a_table(self):
        result = self.run_nodes()
        self.assertEqual((0, ''), (result.status, result.error))
        rows = [line.split() for line in result.output.splitlines()]
        for row in (['capacity.slots', '40'], ['deep', '-'], ['front', '12.5'], ['b', '3']):
            self.assertIn(row, rows)
        self.assertIn(['INSTANCE', 'LOAD.INFLIGHT'], rows)
        self.assertEqual(self.OVERVIEW, self.run_nodes('--json').json)

    def test_another_listener_is_reported(self):
        result = self.run_nodes(header=(b'server', b'x'))
        self.assertEqual(ExitStatus.UNAVAILABLE, result.status)
        self.assertIn("not a node's metrics listener", result.error)
