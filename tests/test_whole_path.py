import asyncio
import tempfile
import time
from pathlib import Path

import msgspec
from testtools import TestCase

from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.settings import read_address
from standins.caller import Caller
from standins.demo import operate
from standins.fleet import Fleet, Placed, TargetSpec
from tests.builders import build_document

PATIENCE = 10.0
ORDERS = {
    'bangor-1': TargetSpec('cut-orders', 'bangor-hall', 10, 0.005, ('/slab-stock/slabs/1',)),
    'caernarfon-1': TargetSpec('cut-orders', 'caernarfon-hall', 10, 0.005, ('/slab-stock/x',)),
    'menai-1': TargetSpec('slab-stock', 'menai-hall', 10, 0.005),
}


class WholePathTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)

    def call(self, placed: Placed, path: str = '/cut-orders/orders/17') -> HttpResponse | None:
        async def once() -> HttpResponse | None:
            caller = Caller()
            response = await caller.call(read_address(placed.faces['callers']), 'GET', path)
            caller.close()
            return response

        return asyncio.run(once())

    def answered(self, placed: Placed) -> bytes:
        deadline = time.monotonic() + PATIENCE
        while time.monotonic() < deadline:
            response = self.call(placed)
            if response is not None and response.status == 200:
                return response.body
            time.sleep(0.05)
        raise AssertionError(f'{placed.name} gave no answer in {PATIENCE} s')

    def test_calls_are_answered_after_a_node_was_killed(self):
        # The caller sees answers before and after. A node is killed between two calls, and
        # the rosters still name it: calls that are routed there never leave the entry node,
        # which proves that they did not run, so they are sent to the other target.
        for name, spec in ORDERS.items():
            self.fleet.place(name, spec)
        entry = self.fleet.placed['menai-1']
        for service in ('cut-orders', 'slab-stock'):
            operate(entry.faces['operators'], 'apply', self.write_record(service))
        self.answered(entry)
        self.fleet.placed['bangor-1'].node.kill()
        bodies = [self.answered(entry) for _ in range(10)]
        names = {msgspec.json.decode(body)['target'] for body in bodies}
        self.assertEqual({'caernarfon-1'}, names)

    def write_record(self, service: str) -> str:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / f'{service}.json'
        path.write_bytes(msgspec.json.encode(build_document(service)))
        return str(path)
