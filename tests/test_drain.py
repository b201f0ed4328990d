import asyncio

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.messages import NotSent
from dunlinsaddle.settings import Address
from tests.clock import PausedClockTest
from tests.fakes.pair import NodePair, SleepingTarget

DRAIN_RUNS = 50


class PairTest(PausedClockTest):
    def with_pair(self, use, slots=1000):
        async def scenario():
            pair = await NodePair(SleepingTarget(slots)).start()
            try:
                return await use(pair)
            finally:
                await pair.stop()
                await asyncio.sleep(0.1)

        return self.run_paused(scenario())


class DrainTest(PairTest):
    def drain_under_load(self):
        """Drain the target's node, with calls through both nodes before and afterwards."""

        async def use(pair):
            loop = asyncio.get_running_loop()
            calls = []
            drained = None
            for number in range(40):
                node = pair.target_node if number % 2 else pair.entry_node
                sleep = str(0.1 + number % 7)
                calls.append(loop.create_task(pair.call(node, number, sleep=sleep)))
                await asyncio.sleep(0.1)
                if number == 20:
                    started_at = loop.time()
                    drained = loop.create_task(pair.target_node.drain())
                if number == 30:
                    assert not drained.done()
            await drained
            await pair.target_node.stop()
            return started_at, pair.target, await asyncio.gather(*calls)

        return self.with_pair(use)

    def test_drains_under_load_cut_no_response(self):
        # A target drains while calls of up to seven seconds run, wait in its queue and arrive
        # through both nodes. Every call that it started is answered in full to its own caller.
        # No call, hedged lookups included, starts more than two seconds after the drain began.
        # All other calls are refused as not run.
        cut = late = refused = 0
        for _ in range(DRAIN_RUNS):
            started_at, target, responses = self.drain_under_load()
            answered = set()
            for number, response in enumerate(responses):
                if response is None:
                    refused += 1
                    continue
                if response.status == 200:
                    self.assertEqual(str(number).encode(), response.body)
                    answered.add(str(number))
                    continue
                refused += 1
                outcome = dict(response.headers)[b'dunlinsaddle-outcome']
                self.assertEqual(b'not-run', outcome, response)
            cut += len(target.started.keys() - answered) + len(answered - target.finished)
            late += sum(at > started_at + 2 for starts in target.started.values() for at in starts)
        self.assertEqual((0, 0), (cut, late))
        self.assertGreater(refused, 0)

    def test_announcements_of_a_draining_target_do_not_end_its_drain(self):
        # The target requests its drain and still announces itself every two seconds. Callers
        # are refused until it is replaced: an announcement with another address ends the drain.
        async def use(pair):
            local = pair.target_node.addresses.local
            await pair.send(local, 'POST', '/-/drain')
            await asyncio.sleep(5)
            refused = await pair.call(pair.target_node)
            pair.target_node.target.announce('cut-orders', Address('127.0.0.1', 9001))
            return refused.status, pair.target_node.target.draining

        self.assertEqual((503, False), self.with_pair(use))

    def test_a_drained_target_that_restarts_on_the_same_port_serves_again(self):
        # The target drains, stops and restarts on the same port ten seconds later. The node has
        # detected meanwhile that it was gone, so the announcement counts as a new target.
        async def use(pair):
            await pair.send(pair.target_node.addresses.local, 'POST', '/-/drain')
            pair.announce_task.cancel()
            await asyncio.sleep(10)
            pair.announce_task = asyncio.get_running_loop().create_task(pair.announce())
            await asyncio.sleep(1)
            return (await pair.call(pair.target_node)).status

        self.assertEqual(200, self.with_pair(use))

    # Guards against a drain that ends because one connection was not accepted in time: the next
    # announcement of the target would count as one of a new target.
    def test_a_connection_that_is_not_accepted_in_time_does_not_end_a_drain(self):
        async def use(pair):
            async def send_slowly(*args, **options):
                await asyncio.sleep(1)
                return NotSent('no connection in time')

            pair.target_node.client.send = send_slowly
            call = asyncio.create_task(pair.call(pair.target_node))
            await asyncio.sleep(0.5)
            await pair.send(pair.target_node.addresses.local, 'POST', '/-/drain')
            await call
            await asyncio.sleep(5)
            return pair.target_node.target.draining

        self.assertTrue(self.with_pair(use))

    def test_drain_waits_for_calls_that_run_on_other_nodes(self):
        # The entry node drains. It has no target, but one of its callers waits for a call that
        # runs on another node: closing now would cut the response.
        async def use(pair):
            loop = asyncio.get_running_loop()
            call = loop.create_task(pair.call(pair.entry_node, 7, sleep='5'))
            await asyncio.sleep(0.1)
            started_at = loop.time()
            await pair.entry_node.drain()
            elapsed = loop.time() - started_at
            await pair.entry_node.stop()
            return await call, elapsed

        response, elapsed = self.with_pair(use)
        self.assertEqual(b'7', response.body)
        self.assertGreater(elapsed, 4.5)

    def test_drain_of_an_idle_node_ends_after_the_notice_period(self):
        async def use(pair):
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            await pair.entry_node.drain()
            return loop.time() - started_at

        self.assertLess(self.with_pair(use), 1.1)


class CancellationTest(PairTest):
    def test_caller_disconnect_cancels_the_work_two_hops_away(self):
        # The caller closes its connection to the entry node. The connection to the target, two
        # hops away, is closed too, and the work done so far is counted as wasted.
        async def use(pair):
            task = asyncio.get_running_loop().create_task(pair.call(pair.entry_node, 1, sleep='9'))
            await asyncio.sleep(0.5)
            task.cancel()
            await asyncio.sleep(0.1)
            return (
                pair.target.cancelled,
                pair.target_node.stats.wasted,
                len(pair.target_node.running),
            )

        self.assertEqual((1, 1, 0), self.with_pair(use))

    def test_deadline_ends_the_call_and_cancels_the_work(self):
        # The caller's timeout is one second and the target needs nine. The caller gets a 504
        # after one second, and the work at the target is cancelled.
        async def use(pair):
            loop = asyncio.get_running_loop()
            results = []
            for node in (pair.entry_node, pair.target_node):
                started_at = loop.time()
                response = await pair.call(node, 1, sleep='9', request_timeout='1')
                results.append((response.status, round(loop.time() - started_at, 1)))
            await asyncio.sleep(0.1)
            return results, pair.target.cancelled

        results, cancelled = self.with_pair(use)
        self.assertEqual([(504, 1.0), (504, 1.0)], results)
        self.assertEqual(2, cancelled)

    def test_queued_call_is_refused_at_its_deadline(self):
        # The target hangs with all slots taken, so no slot is released. A call that waits in
        # the queue is answered at its deadline, as not run.
        async def use(pair):
            loop = asyncio.get_running_loop()
            address = pair.target_node.addresses.callers

            async def send(number, timeout):
                headers = {'number': str(number), 'sleep': '50', 'request_timeout': timeout}
                return await pair.send(address, 'GET', '/cut-orders/orders/1', **headers)

            slots = int(pair.target_node.admission.limit)
            running = [loop.create_task(send(n, '10')) for n in range(slots)]
            await asyncio.sleep(0.1)
            started_at = loop.time()
            response = await send(slots, '1')
            elapsed = loop.time() - started_at
            for task in running:
                task.cancel()
            return response, elapsed, len(pair.target.started) - slots

        response, elapsed, started_late = self.with_pair(use)
        self.assertEqual(b'not-run', dict(response.headers)[b'dunlinsaddle-outcome'])
        self.assertAlmostEqual(1.0, elapsed, delta=0.05)
        self.assertEqual(0, started_late)

    def test_queued_call_is_not_run_if_the_target_disappears(self):
        # All slots are taken for nine seconds and one call waits. The target stops announcing
        # itself and is considered gone. When a slot becomes free there is no target for the
        # call, so it is answered as not run.
        async def use(pair):
            loop = asyncio.get_running_loop()
            pair.announce_task.cancel()
            slots = int(pair.target_node.admission.limit)
            calls = (pair.call(pair.target_node, n, sleep='9') for n in range(slots))
            running = [loop.create_task(call) for call in calls]
            await asyncio.sleep(0.1)
            response = await pair.call(pair.target_node, slots)
            await asyncio.gather(*running)
            ran = str(slots) in pair.target.started
            return response, pair.target_node.stats.faults, ran

        response, faults, ran = self.with_pair(use)
        self.assertEqual(b'not-run', dict(response.headers)[b'dunlinsaddle-outcome'])
        self.assertEqual(0, faults)
        self.assertFalse(ran)

    def test_call_without_time_left_is_not_sent(self):
        async def use(pair):
            req = HttpRequest('GET', '/cut-orders/orders/1', [], b'', '')
            await pair.client.send(pair.target_node.addresses.callers, req, 0)
            await asyncio.sleep(0.1)
            return len(pair.target.started)

        self.assertEqual(0, self.with_pair(use))
