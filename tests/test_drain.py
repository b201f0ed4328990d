import asyncio

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.settings import Address
from tests.clock import PausedClockTest
from tests.fakes.pair import Pair, SleepingTarget

DRAINS = 50


class PairTest(PausedClockTest):
    def with_pair(self, use, slots=1000):
        async def scenario():
            pair = await Pair(SleepingTarget(slots)).start()
            try:
                return await use(pair)
            finally:
                await pair.stop()
                await asyncio.sleep(0.1)

        return self.run_paused(scenario())


class DrainTest(PairTest):
    def drain_under_load(self):
        """Drain the node beside the target, with calls through both nodes before and after."""

        async def use(pair):
            loop = asyncio.get_running_loop()
            calls = []
            drained = None
            for number in range(40):
                node = pair.beside if number % 2 else pair.entry
                sleep = str(0.1 + number % 7)
                calls.append(loop.create_task(pair.call(node, number, sleep=sleep)))
                await asyncio.sleep(0.1)
                if number == 20:
                    began = loop.time()
                    drained = loop.create_task(pair.beside.drain())
                if number == 30:
                    assert not drained.done()
            await drained
            await pair.beside.stop()
            return began, pair.target, await asyncio.gather(*calls)

        return self.with_pair(use)

    def test_fifty_drains_under_load_cut_nothing(self):
        # A target leaves while calls of up to seven seconds run, wait in its queue, and come
        # in by both nodes. Every call that it started is answered whole to its own caller;
        # nothing starts later than two seconds after, repeats of slow lookups included;
        # the others are refused as not run.
        cut = late = refused = 0
        for _ in range(DRAINS):
            began, target, responses = self.drain_under_load()
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
            late += sum(at > began + 2 for starts in target.started.values() for at in starts)
        self.assertEqual((0, 0), (cut, late))
        self.assertGreater(refused, 0)

    def test_a_target_that_announces_itself_goes_on_draining(self):
        # The target asks for its drain, and goes on announcing itself every two seconds as
        # before. Callers are refused until it is replaced: another address ends the drain.
        async def use(pair):
            local = pair.beside.addresses.local
            await pair.send(local, 'POST', '/-/drain')
            await asyncio.sleep(5)
            refused = await pair.call(pair.beside)
            pair.beside.target.announce('cut-orders', Address('127.0.0.1', 9001))
            return refused.status, pair.beside.target.draining

        self.assertEqual((503, False), self.with_pair(use))

    def test_a_drained_target_that_comes_back_on_its_port_serves_again(self):
        # The target drains, ends, and is started anew on the same port ten seconds later.
        # In between it was found gone, so its announcement is that of a new target.
        async def use(pair):
            await pair.send(pair.beside.addresses.local, 'POST', '/-/drain')
            pair.announcing.cancel()
            await asyncio.sleep(10)
            pair.announcing = asyncio.get_running_loop().create_task(pair.announce())
            await asyncio.sleep(1)
            return (await pair.call(pair.beside)).status

        self.assertEqual(200, self.with_pair(use))

    def test_calls_that_run_elsewhere_are_waited_for(self):
        # The entry node leaves. It has no call at its own target, but its caller waits for
        # one at another: closing now would cut that answer.
        async def use(pair):
            loop = asyncio.get_running_loop()
            call = loop.create_task(pair.call(pair.entry, 7, sleep='5'))
            await asyncio.sleep(0.1)
            began = loop.time()
            await pair.entry.drain()
            elapsed = loop.time() - began
            await pair.entry.stop()
            return await call, elapsed

        response, elapsed = self.with_pair(use)
        self.assertEqual(b'7', response.body)
        self.assertGreater(elapsed, 4.5)

    def test_a_drain_of_an_idle_node_is_over_after_its_notice(self):
        async def use(pair):
            loop = asyncio.get_running_loop()
            began = loop.time()
            await pair.entry.drain()
            return loop.time() - began

        self.assertLess(self.with_pair(use), 1.1)


class CancellationTest(PairTest):
    def test_a_caller_that_goes_ends_the_work_two_nodes_down(self):
        # The caller closes its connection to the entry node. The target, two hops below,
        # sees its connection end and stops; the work so far is counted as wasted.
        async def use(pair):
            task = asyncio.get_running_loop().create_task(pair.call(pair.entry, 1, sleep='9'))
            await asyncio.sleep(0.5)
            task.cancel()
            await asyncio.sleep(0.1)
            return pair.target.cancelled, pair.beside.stats.wasted, len(pair.beside.running)

        self.assertEqual((1, 1, 0), self.with_pair(use))

    def test_the_answer_comes_at_the_deadline_and_the_work_stops(self):
        # The caller gives one second; the target needs nine. The answer is final and comes
        # at that second, and the target is stopped.
        async def use(pair):
            loop = asyncio.get_running_loop()
            answers = []
            for node in (pair.entry, pair.beside):
                began = loop.time()
                response = await pair.call(node, 1, sleep='9', request_timeout='1')
                answers.append((response.status, round(loop.time() - began, 1)))
            await asyncio.sleep(0.1)
            return answers, pair.target.cancelled

        answers, cancelled = self.with_pair(use)
        self.assertEqual([(504, 1.0), (504, 1.0)], answers)
        self.assertEqual(2, cancelled)

    def test_a_wait_in_the_queue_ends_at_the_deadline(self):
        # The target stands still with all slots taken, so nothing is released. A call that
        # waits in its queue is told at its deadline that it did not run.
        async def use(pair):
            loop = asyncio.get_running_loop()
            target = pair.beside.addresses.callers

            async def send(number, timeout):
                headers = {'number': str(number), 'sleep': '50', 'request_timeout': timeout}
                return await pair.send(target, 'GET', '/cut-orders/orders/1', **headers)

            slots = int(pair.beside.admission.limit)
            full = [loop.create_task(send(n, '10')) for n in range(slots)]
            await asyncio.sleep(0.1)
            began = loop.time()
            response = await send(slots, '1')
            elapsed = loop.time() - began
            for task in full:
                task.cancel()
            return response, elapsed, len(pair.target.started) - slots

        response, elapsed, started_late = self.with_pair(use)
        self.assertEqual(b'not-run', dict(response.headers)[b'dunlinsaddle-outcome'])
        self.assertAlmostEqual(1.0, elapsed, delta=0.05)
        self.assertEqual(0, started_late)

    def test_a_call_that_waited_for_a_target_that_is_gone_did_not_run(self):
        # All slots are taken for nine seconds and one call waits. The target falls silent and
        # is taken for gone. When a slot is free there is nobody to give the call to: its
        # caller hears that it did not run.
        async def use(pair):
            loop = asyncio.get_running_loop()
            pair.announcing.cancel()
            slots = int(pair.beside.admission.limit)
            calls = (pair.call(pair.beside, n, sleep='9') for n in range(slots))
            full = [loop.create_task(call) for call in calls]
            await asyncio.sleep(0.1)
            response = await pair.call(pair.beside, slots)
            await asyncio.gather(*full)
            ran = str(slots) in pair.target.started
            return response, pair.beside.stats.faults, ran

        response, faults, ran = self.with_pair(use)
        self.assertEqual(b'not-run', dict(response.headers)[b'dunlinsaddle-outcome'])
        self.assertEqual(0, faults)
        self.assertFalse(ran)

    def test_a_call_that_cannot_be_sent_after_its_deadline_did_not_run(self):
        async def use(pair):
            req = HttpRequest('GET', '/cut-orders/orders/1', [], b'', '')
            await pair.client.send(pair.beside.addresses.callers, req, 0)
            await asyncio.sleep(0.1)
            return len(pair.target.started)

        self.assertEqual(0, self.with_pair(use))
