import asyncio

import msgspec

from dunlinsaddle.calls.client import Answered, HttpClient
from dunlinsaddle.calls.http import HttpFace, HttpLimits, HttpRequest, HttpResponse
from dunlinsaddle.node import Node
from dunlinsaddle.records.changes import RECORDS
from dunlinsaddle.settings import Address
from tests.builders import build_document, build_environment, build_logger, build_settings
from tests.clock import PausedClockTest
from tests.fakes.store import FakeStore

HOST = '127.0.0.1'
TARGETS = 4
RESENDS = 12


class MortalTarget:
    """Dies of a request whose path ends in ``poison``: all its connections end, none opens."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.face = HttpFace(self.handle, HttpLimits())
        self.dead = False

    async def handle(self, req: HttpRequest) -> HttpResponse:
        await asyncio.sleep(0.05)
        if req.path.endswith('poison'):
            self.dead = True
            self.face.close()
        return HttpResponse(200, [], b'ok')


class KillerTest(PausedClockTest):
    def test_at_most_two_targets_die_of_one_request(self):
        # A request crashes each target that runs it. Its caller sends it again at once, each
        # time by another entry, while innocent calls are in progress everywhere. Without a
        # word between the nodes each entry would find a target that has not heard of it.
        async def scenario() -> tuple[int, int, int]:
            await self.start()
            innocent = [asyncio.create_task(self.innocent(n)) for n in range(100)]
            last = 0
            for number in range(RESENDS):
                last = await self.call(number, '/cut-orders/poison')
            statuses = await asyncio.gather(*innocent)
            served = sum(status == 200 for status in statuses)
            dead = sum(target.dead for target in self.targets)
            await self.stop()
            return dead, last, served

        dead, last, served = self.run_paused(scenario())
        self.assertLessEqual(dead, 2)
        self.assertEqual(422, last)
        self.assertGreaterEqual(served, 95)

    async def start(self) -> None:
        self.client = HttpClient()
        store = FakeStore()
        doc = build_document(retry_bound=5)
        await store.put(RECORDS, 'cut-orders', {'record': doc}, 0)
        self.targets, self.nodes = [], []
        for number in range(TARGETS):
            await self.place(number, store)
        await asyncio.sleep(5)

    async def place(self, number: int, store: FakeStore) -> None:
        target = MortalTarget(Address(HOST, 9000 + number))
        await target.face.listen(target.address)
        names = ('callers', 'local', 'peers', 'operators', 'gossip')
        faces = {name: f'{HOST}:{100 * (number + 1) + n}' for n, name in enumerate(names)}
        settings = build_settings(instance=f'bangor-{number}', **faces)
        node = Node(settings, build_environment(), build_logger())
        node.use_store(store)
        await node.start()
        said = {'service': 'cut-orders', 'address': str(target.address)}
        req = HttpRequest('POST', '/-/announce', [], msgspec.json.encode(said), '')
        await self.client.send(node.faces.local, req, 5)
        self.targets.append(target)
        self.nodes.append(node)

    async def innocent(self, number: int) -> int:
        await asyncio.sleep(number * 0.01)
        return await self.call(number, f'/cut-orders/orders/{number}')

    async def call(self, number: int, path: str) -> int:
        node = self.nodes[number % TARGETS]
        exchange = await self.client.send(
            node.faces.callers, HttpRequest('GET', path, [], b'', ''), 60
        )
        assert isinstance(exchange, Answered), exchange
        return exchange.response.status

    async def stop(self) -> None:
        self.client.close()
        for node in self.nodes:
            await node.stop()
