import asyncio

from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.node import Node
from dunlinsaddle.records.changes import RECORDS
from tests.builders import build_document, build_environment, build_logger, build_settings
from tests.clock import PausedClockTest
from tests.fakes.pair import Pair, SleepingTarget
from tests.fakes.store import FakeStore


class NodePausedTest(PausedClockTest):
    def test_node_without_a_target_says_so_at_once(self):
        # The caller gets its refusal at once, not at its deadline, and hears when to come back.
        async def scenario():
            settings = build_settings(
                callers='127.0.0.1:1',
                local='127.0.0.1:2',
                peers='127.0.0.1:3',
                operators='127.0.0.1:4',
            )
            node = Node(settings, build_environment(), build_logger())
            store = FakeStore()
            await store.put(RECORDS, 'cut-orders', {'record': build_document()}, 0)
            node.use_store(store)
            faces = await node.start()
            await asyncio.sleep(1)
            began = asyncio.get_running_loop().time()
            req = HttpRequest('GET', '/cut-orders/orders/1', [], b'', '')
            exchange = await HttpClient().send(faces.callers, req, 10)
            elapsed = asyncio.get_running_loop().time() - began
            await node.stop()
            return exchange, elapsed

        exchange, elapsed = self.run_paused(scenario())
        assert isinstance(exchange, Answered)
        headers = dict(exchange.response.headers)
        self.assertEqual(503, exchange.response.status)
        self.assertEqual(b'not-run', headers[b'dunlinsaddle-outcome'])
        self.assertEqual(b'1', headers[b'retry-after'])
        self.assertLess(elapsed, 0.1)

    def test_added_time_leaves_out_what_a_call_waits_for(self):
        # Two calls at a target that takes one: the second waits in the queue. On a paused
        # clock the nodes themselves take no time, so what is left is what was left out wrongly.
        async def scenario():
            pair = await Pair(SleepingTarget(), targets={'connections': 1}).start()
            await asyncio.gather(*(pair.call(pair.entry, n, sleep='0.3') for n in range(2)))
            await pair.call(pair.beside, 3)
            found = [(n.stats.answered, n.stats.added_time) for n in (pair.entry, pair.beside)]
            queued = pair.beside.stats.queue_time_buckets
            await pair.stop()
            return found, sum(queued), queued[8]

        found, queued, at_half_a_second = self.run_paused(scenario())
        self.assertEqual([2, 3], [answered for answered, _ in found])
        for _, added in found:
            self.assertLess(added, 0.01)
        self.assertEqual((1, 1), (queued, at_half_a_second))
