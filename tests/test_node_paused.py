import asyncio

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.node import Node
from dunlinsaddle.records.changes import RECORD_KIND
from tests.builders import build_document, build_environment, build_logger, build_settings
from tests.clock import PausedClockTest
from tests.fakes.pair import NodePair, SleepingTarget
from tests.fakes.store import FakeStore


class NodePausedTest(PausedClockTest):
    def test_node_without_a_target_refuses_immediately(self):
        # The caller is refused immediately, not at its deadline, and gets a Retry-After header.
        async def scenario():
            settings = build_settings(
                callers='127.0.0.1:1',
                local='127.0.0.1:2',
                peers='127.0.0.1:3',
                operators='127.0.0.1:4',
            )
            node = Node(settings, build_environment(), build_logger())
            store = FakeStore()
            await store.put(RECORD_KIND, 'cut-orders', {'record': build_document()}, 0)
            node.use_store(store)
            addresses = await node.start()
            await asyncio.sleep(1)
            started_at = asyncio.get_running_loop().time()
            req = HttpRequest('GET', '/cut-orders/orders/1', [], b'', '')
            exchange = await HttpClient().send(addresses.callers, req, 10)
            elapsed = asyncio.get_running_loop().time() - started_at
            await node.stop()
            return exchange, elapsed

        exchange, elapsed = self.run_paused(scenario())
        assert isinstance(exchange, Answered)
        headers = dict(exchange.response.headers)
        self.assertEqual(503, exchange.response.status)
        self.assertEqual(b'not-run', headers[b'dunlinsaddle-outcome'])
        self.assertEqual(b'1', headers[b'retry-after'])
        self.assertLess(elapsed, 0.1)

    def test_added_time_excludes_time_spent_waiting(self):
        # Two calls to a target that takes one at a time: the second waits in the queue. On a
        # paused clock the nodes take no time themselves, so any added time is queue or target
        # time that was not subtracted.
        async def scenario():
            pair = await NodePair(SleepingTarget(), targets={'connections': 1}).start()
            await asyncio.gather(*(pair.call(pair.entry_node, n, sleep='0.3') for n in range(2)))
            await pair.call(pair.target_node, 3)
            totals = [
                (n.stats.answered, n.stats.added_time) for n in (pair.entry_node, pair.target_node)
            ]
            queued = pair.target_node.stats.queue_time_buckets
            await pair.stop()
            return totals, sum(queued), queued[8]

        totals, queued, below_half_a_second = self.run_paused(scenario())
        self.assertEqual([2, 3], [answered for answered, _ in totals])
        for _, added in totals:
            self.assertLess(added, 0.01)
        self.assertEqual((1, 1), (queued, below_half_a_second))
