import asyncio
from random import Random

import msgspec

from dunlinsaddle.admin import MAX_CHANGE_BYTES
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.membership.roster import ROSTER_KIND
from dunlinsaddle.node import Node
from dunlinsaddle.records.history import RECORD_KIND
from tests.builders import (
    OPERATOR_TOKEN,
    build_document,
    build_environment,
    build_logger,
    build_settings,
)
from tests.clock import PausedClockTest
from tests.fakes.store import FakeStore

FUZZ_INPUT_COUNT = 2500
VALID_CHANGE = {'id': 'a', 'record': build_document(), 'expected': 0, 'who': 'ann', 'why': 'trial'}
PATHS = ('status', 'rollout', 'targets', 'metrics', 'audit', 'records', 'explain')


class AdminTest(PausedClockTest):
    def run_with_node(self, scenario):
        async def run():
            settings = build_settings(
                callers='127.0.0.1:1',
                local='127.0.0.1:2',
                peers='127.0.0.1:3',
                operators='127.0.0.1:4',
            )
            self.store = FakeStore(separate_kinds={ROSTER_KIND})
            self.node = Node(settings, build_environment(), build_logger())
            self.node.use_store(self.store)
            self.client = HttpClient()
            await self.node.start()
            try:
                return await scenario()
            finally:
                self.client.close()
                await self.node.stop()

        return self.run_paused(run())

    async def send(self, method: str, path: str, body: bytes = b'', token: str = OPERATOR_TOKEN):
        headers = [(b'authorization', f'Bearer {token}'.encode('latin-1'))]
        req = HttpRequest(method, path, headers, body, '')
        exchange = await self.client.send(self.node.addresses.operators, req, 30)
        assert isinstance(exchange, Answered), exchange
        return exchange.response

    async def send_for_status(self, *args, **kwargs):
        return (await self.send(*args, **kwargs)).status

    def test_everything_but_health_needs_the_token(self):
        async def scenario():
            tokens = (
                'none',
                'x',
                OPERATOR_TOKEN[:-1],
                OPERATOR_TOKEN + 'x',
                'ÿþ',
                OPERATOR_TOKEN[::-1],
            )
            put = msgspec.json.encode(VALID_CHANGE)
            for token in tokens:
                for path in PATHS:
                    status = await self.send_for_status('GET', f'/v1/{path}', token=token)
                    self.assertEqual(401, status)
                path = '/v1/records/cut-orders'
                self.assertEqual(401, await self.send_for_status('PUT', path, put, token=token))
            self.assertEqual(200, await self.send_for_status('GET', '/health', token='none'))
            return self.store.revision

        self.assertEqual(0, self.run_with_node(scenario))

    def test_wrong_path_method_or_body_gets_the_matching_status(self):
        cases = (
            ('GET', '/v1/nothing', b'', 404),
            ('GET', '/v2/records', b'', 404),
            ('GET', '/v1/records/a/b/c', b'', 404),
            ('GET', '/v1/records/a/b', b'', 404),
            ('POST', '/v1/records', b'', 405),
            ('POST', '/v1/status', b'', 405),
            ('GET', '/v1/explain', b'', 405),
            ('POST', '/v1/records/a', b'', 405),
            ('GET', '/v1/records/a/check', b'', 405),
            ('GET', '/v1/audit?since=x', b'', 400),
            ('POST', '/v1/explain', b'{}', 400),
            ('PUT', '/v1/records/a', b'{', 422),
            ('PUT', '/v1/records/a', b'x' * (MAX_CHANGE_BYTES + 1), 413),
            ('PUT', '/v1/records/a', msgspec.json.encode({**VALID_CHANGE, 'id': ''}), 422),
            ('PUT', '/v1/records/a', msgspec.json.encode({**VALID_CHANGE, 'record': None}), 422),
            ('PUT', '/v1/records/a', msgspec.json.encode({**VALID_CHANGE, 'force': True}), 422),
            ('PUT', '/v1/records/a', msgspec.json.encode(VALID_CHANGE), 422),
        )

        async def scenario():
            for method, path, body, status in cases:
                response = await self.send(method, path, body)
                self.assertEqual(status, response.status, (method, path))
                self.assertEqual(status, msgspec.json.decode(response.body)['status'])
            return self.store.revision

        self.assertEqual(0, self.run_with_node(scenario))

    def test_conflict_response_lists_the_fields_that_both_sides_changed(self):
        async def scenario():
            path = '/v1/records/cut-orders'
            await self.send('PUT', path, msgspec.json.encode(VALID_CHANGE))
            theirs = {
                **VALID_CHANGE,
                'id': 'b',
                'record': build_document(deadline=2.0),
                'expected': 1,
            }
            await self.send('PUT', path, msgspec.json.encode({**theirs, 'who': 'bob'}))
            mine = {**theirs, 'id': 'c', 'record': build_document(retry_bound=5)}
            return await self.send('PUT', path, msgspec.json.encode(mine))

        response = self.run_with_node(scenario)
        conflict = msgspec.json.decode(response.body)['conflict']
        self.assertEqual((409, 2), (response.status, conflict['version']))
        self.assertEqual('bob', conflict['theirs'][0]['who'])
        self.assertEqual(['deadline', 'retry_bound'], conflict['your_fields'])

    def test_status_shows_unreadable_records_and_the_lost_platform(self):
        async def scenario():
            value = {'record': build_document(deadline=2.0)}
            await self.store.put(RECORD_KIND, 'cut-orders', value, 0)
            await asyncio.sleep(1)
            value = {'record': {'schema': 3, 'service': 'cut-orders'}}
            await self.store.put(RECORD_KIND, 'cut-orders', value, 1)
            await asyncio.sleep(1)
            self.store.down = True
            await asyncio.sleep(20)
            return msgspec.json.decode((await self.send('GET', '/v1/status')).body)

        status = self.run_with_node(scenario)
        self.assertEqual(1, status['records']['cut-orders']['version'])
        self.assertEqual(2, status['unreadable']['cut-orders']['version'])
        self.assertIn('newer', status['unreadable']['cut-orders']['why'])
        self.assertEqual('lost', status['platform']['state'])
        self.assertGreater(status['platform']['for_seconds'], 15)

    def test_metrics_can_be_read_without_a_collector(self):
        async def scenario():
            await self.store.put(RECORD_KIND, 'cut-orders', {'record': build_document()}, 0)
            await asyncio.sleep(1)
            req = HttpRequest('GET', '/cut-orders/orders/1', [], b'', '')
            await self.client.send(self.node.addresses.callers, req, 10)
            return msgspec.json.decode((await self.send('GET', '/v1/metrics')).body)

        metrics = self.run_with_node(scenario)
        self.assertEqual('not-run', metrics['dunlinsaddle.calls'][0]['outcome'])
        self.assertEqual(1, metrics['dunlinsaddle.calls'][0]['value'])
        version = {'value': 1, 'service': 'cut-orders'}
        self.assertEqual([version], metrics['dunlinsaddle.record_version'])
        self.assertGreater(metrics['dunlinsaddle.platform_calls'][0]['value'], 0)
        self.assertIn('limit', {p['of'] for p in metrics['dunlinsaddle.load']})

    def test_random_input_neither_writes_records_nor_causes_errors(self):
        # Clients without the token send noise, truncated or corrupted requests, huge headers and
        # wrong tokens; a client with the token sends broken documents. Nothing is written, no
        # response is a 500, no connection stays open, and the node still works afterwards.
        async def scenario():
            rng = Random(20)
            next_input = self.input_generator(rng)
            for _ in range(FUZZ_INPUT_COUNT):
                await self.send_bytes(next_input())
            await asyncio.sleep(100)
            return await self.send_for_status('GET', '/health'), len(
                self.node.operators_listener.connections
            )

        self.assertEqual((200, 1), self.run_with_node(scenario))
        self.assertEqual((0, 0), (self.store.revision, self.node.stats.faults))

    async def send_bytes(self, data: bytes) -> None:
        reader, writer = await asyncio.open_connection('127.0.0.1', 4)
        writer.write(data)
        response = b''
        try:
            async with asyncio.timeout(0.5):
                response = await reader.read(65_536)
        except (TimeoutError, ConnectionError):
            pass
        writer.transport.abort()
        self.assertNotIn(b'HTTP/1.1 500', response)

    def input_generator(self, rng: Random):
        def request(method: str, path: str, body: bytes, token: str) -> bytes:
            head = f'{method} {path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {token}\r\n'
            return f'{head}content-length: {len(body)}\r\n\r\n'.encode('latin-1') + body

        def noise() -> bytes:
            return rng.randbytes(rng.randrange(1, 400))

        def corrupted() -> bytes:
            text = bytearray(
                request('PUT', '/v1/records/a', msgspec.json.encode(VALID_CHANGE), 'wrong')
            )
            for _ in range(rng.randrange(1, 8)):
                text[rng.randrange(len(text))] = rng.randrange(256)
            return bytes(text[: rng.randrange(1, len(text) + 1)])

        def huge_header() -> bytes:
            return b'GET / HTTP/1.1\r\n' + b'x-pad: ' + b'y' * rng.randrange(20_000, 60_000)

        def wrong_token() -> bytes:
            token = ''.join(rng.choice('abcÿ-. ') for _ in range(rng.randrange(20)))
            return request('PUT', '/v1/records/a', msgspec.json.encode(VALID_CHANGE), token)

        def broken_document() -> bytes:
            values = [None, True, -1, 1e308, '', 'x' * 300, [], [[]], {}, {'schema': 2}, 2**70]
            body = {name: rng.choice([value, *values]) for name, value in VALID_CHANGE.items()}
            body['record'] = rng.choice([*values, {**VALID_CHANGE['record'], 'requests': values}])
            method = rng.choice(['PUT', 'POST', 'DELETE', 'GET', 'PATCH'])
            path = rng.choice(['records/a', 'records/a/check', 'records/%2f', 'explain', 'audit'])
            raw = msgspec.json.encode(body).replace(b'1e308', rng.choice([b'1e999', b'NaN', b'[']))
            return request(method, f'/v1/{path}', raw, OPERATOR_TOKEN)

        def deeply_nested() -> bytes:
            body = b'{"id":"a","record":' + b'[' * rng.randrange(5_000, 30_000)
            return request('PUT', '/v1/records/a', body, OPERATOR_TOKEN)

        kinds = [noise, corrupted, huge_header, wrong_token, broken_document, deeply_nested]
        return lambda: rng.choice(kinds)()
