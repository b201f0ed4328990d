"""Two nodes, one target and a store in one event loop, for tests on a paused clock."""

import asyncio

import msgspec

from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.calls.messages import Lost, NotSent
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.node import Node
from dunlinsaddle.records.changes import RECORD_KIND
from dunlinsaddle.settings import Address
from tests.builders import build_document, build_environment, build_logger, build_settings
from tests.fakes.store import FakeStore

HOST = '127.0.0.1'
ANNOUNCE_INTERVAL_SECONDS = 2.0


class SleepingTarget:
    """Sleeps for the seconds in the ``sleep`` header, then answers with the ``number`` header."""

    def __init__(self, slots: int = 1000) -> None:
        self.started: dict[str, list[float]] = {}  #: start times by request number
        self.finished: set[str] = set()
        self.cancelled = 0
        self.slots = asyncio.Semaphore(slots)

    async def handle(self, req: HttpRequest) -> HttpResponse:
        number = req.header(b'number')
        self.started.setdefault(number, []).append(asyncio.get_running_loop().time())
        try:
            async with self.slots:
                await asyncio.sleep(float(req.header(b'sleep') or 0.05))
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        self.finished.add(number)
        return HttpResponse(200, [], number.encode())


class NodePair:
    """Runs two nodes: ``entry_node`` without a target, ``target_node`` with one of cut-orders."""

    def __init__(self, target: SleepingTarget, **record: object) -> None:
        self.target = target
        self.document = build_document(**record)
        self.client = HttpClient()
        self.store = FakeStore()

    async def start(self) -> 'NodePair':
        await self.store.put(RECORD_KIND, 'cut-orders', {'record': self.document}, 0)
        listener = HttpListener(self.target.handle, HttpLimits())
        await listener.listen(Address(HOST, 9000))
        self.entry_node = await self.start_node('menai-1', 100)
        self.target_node = await self.start_node('bangor-1', 200)
        self.announce_task = asyncio.get_running_loop().create_task(self.announce())
        # After three announcements a missing one counts as a sign that the target is gone.
        await asyncio.sleep(4.5)
        return self

    async def announce(self) -> None:
        """Announce the target periodically, as real targets do, even while it drains."""
        announcement = msgspec.json.encode({'service': 'cut-orders', 'address': f'{HOST}:9000'})
        req = HttpRequest('POST', '/-/announce', [], announcement, '')
        while True:
            await self.client.send(self.target_node.addresses.local, req, 1)
            await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)

    async def start_node(self, name: str, port: int) -> Node:
        names = ('callers', 'local', 'peers', 'operators')
        addresses = {listener: f'{HOST}:{port + n}' for n, listener in enumerate(names)}
        settings = build_settings(instance=name, drain_timeout='30', **addresses)
        node = Node(settings, build_environment(), build_logger())
        node.use_store(self.store)
        await node.start()
        return node

    async def send(
        self, address: Address, method: str, path: str, body: bytes = b'', **headers: str
    ) -> HttpResponse | None:
        """Send a request and return its response, or None when the port is closed.

        Raises AssertionError when the connection is lost before the response is complete.
        """
        header_list = [(n.replace('_', '-').encode(), v.encode()) for n, v in headers.items()]
        exchange = await self.client.send(
            address, HttpRequest(method, path, header_list, body, ''), 60
        )
        match exchange:
            case Answered(response):
                return response
            case NotSent():
                return None
            case Lost(detail):
                raise AssertionError(f'connection lost during {path}: {detail}')

    async def call(self, node: Node, number: int = 0, **headers: str) -> HttpResponse | None:
        path = f'/cut-orders/orders/{number}'
        return await self.send(node.addresses.callers, 'GET', path, number=str(number), **headers)

    async def stop(self) -> None:
        self.announce_task.cancel()
        self.client.close()
        for node in (self.entry_node, self.target_node):
            await node.stop()
