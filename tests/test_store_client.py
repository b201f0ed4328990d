import asyncio
from random import Random

import msgspec
from result import Ok

from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.platform.store import Conflict, Unavailable
from standins.platform import MAX_VALUE_BYTES
from tests.builders import build_document, build_record_sync
from tests.store_case import StoreCase

CALLER = '::1'  #: as connections in memory name the other end


class StoreClientTest(StoreCase):
    def test_writes_are_conditional_and_a_watch_tells_of_deletes(self):
        async def scenario(store, platform):
            made = await store.put('records', 'a', {'n': 1}, 0)
            self.assertIsInstance(made, Ok)
            again = (await store.put('records', 'a', {'n': 2}, 0)).unwrap_err()
            self.assertEqual({'n': 1}, again.current.value)
            made = made.unwrap()
            since = (await store.list('records')).unwrap().version
            gone = (await store.delete('records', 'a', made.version)).unwrap()
            self.assertIsNone(gone.value)
            self.assertEqual([], (await store.list('records')).unwrap().objects)
            self.assertEqual([gone], (await store.watch('records', since, 3)).unwrap().objects)
            self.assertEqual(Conflict(None), (await store.put('audit', 'a', 1, 7)).unwrap_err())
            large = await store.put('records', 'b', 'x' * MAX_VALUE_BYTES, 0)
            self.assertEqual(Unavailable('status 413'), large.unwrap_err())
            self.assertIsNone((await store.get('records', 'b')).unwrap())

        self.run_with_platform(scenario)

    def test_watch_loses_no_change_however_writes_fall(self):
        # One watch after another, each from where the last ended, while changes are written
        # at random moments, also between two watches and several at once.
        async def scenario(store, platform):
            rng = Random(3)

            async def write():
                for number in range(200):
                    await store.put('records', f's{number}', number, 0)
                    await asyncio.sleep(rng.choice([0, 0, 0.001, 0.1, 4]))

            writer = asyncio.create_task(write())
            seen, since, calls = [], 0, 0
            while not writer.done() or len(seen) < 200:
                listing = (await store.watch('records', since, 3)).unwrap()
                seen += [o.name for o in listing.objects]
                since, calls = listing.version, calls + 1
            return seen, calls

        seen, calls = self.run_with_platform(scenario)
        self.assertEqual([f's{n}' for n in range(200)], sorted(seen, key=lambda n: int(n[1:])))
        self.assertEqual(200, len(set(seen)))
        self.assertLess(calls, 400)

    def test_lost_answer_and_outage_are_told_as_unknown(self):
        async def scenario(store, platform):
            platform.faults = {'lose_answers': 1}
            lost = await store.put('records', 'a', 1, 0)
            held = (await store.get('records', 'a')).unwrap()
            platform.faults = {'down': True}
            return lost, held.value, await store.get('records', 'a')

        lost, value, out = self.run_with_platform(scenario)
        self.assertIsInstance(lost.unwrap_err(), Unavailable)
        self.assertEqual(1, value)
        self.assertIsInstance(out.unwrap_err(), Unavailable)

    def test_records_come_through_a_slow_platform(self):
        # Every answer of the platform takes 6 s for an hour. A node that waited a fixed time
        # for each would never hear of a change; this one waits longer after each try, and is
        # back at its short wait once the platform is fast again.
        async def scenario(store, platform):
            sync = build_record_sync(store)
            await store.put('records', 'cut-orders', {'record': build_document()}, 0)
            platform.faults = {'delay': 6.0}
            task = asyncio.create_task(sync.run())
            await asyncio.sleep(60)
            version, slow = sync.record_cache.version('cut-orders'), sync._watch_grace.seconds
            platform.faults = {}
            await asyncio.sleep(20)
            task.cancel()
            return version, slow > 6, sync._watch_grace.seconds

        self.assertEqual((2, True, 2.0), self.run_with_platform(scenario))

    def test_a_listing_of_many_pages_is_read_whole(self):
        async def scenario(store, platform):
            for number in range(23):
                await store.put('records', f'r{number:02}', number, 0)
            platform.faults = {'page': 5}
            return (await store.list('records')).unwrap()

        listing = self.run_with_platform(scenario)
        self.assertEqual(list(range(23)), [held.value for held in listing.objects])

    def test_a_watch_whose_history_is_gone_reads_all_anew(self):
        # The platform has dropped its history while the node was away: what changed meanwhile
        # must come all the same, once.
        async def scenario(store, platform):
            since = (await store.put('records', 'a', 1, 0)).unwrap().version
            await store.put('records', 'b', 2, 0)
            platform.forget_history()
            listing = (await store.watch('records', since - 1, 3)).unwrap()
            return listing, dict(store.failures)

        listing, failures = self.run_with_platform(scenario)
        self.assertEqual([1, 2], [held.value for held in listing.objects])
        self.assertEqual({'410': 1}, failures)

    def test_a_refusal_says_that_nothing_was_done(self):
        # 503, 429, and a platform that turns this node alone away: all are answers at once.
        async def scenario(store, platform):
            results = []
            for faults in ({'busy': True}, {'over_rate': True}, {'refused_hosts': [CALLER]}):
                platform.faults = faults
                results.append(await store.put('records', 'a', 1, 0))
                results.append(await store.list('records'))
            platform.faults = {}
            return results, (await store.get('records', 'a')).unwrap(), store.failures

        results, held, failures = self.run_with_platform(scenario)
        self.assertTrue(all(isinstance(r.unwrap_err(), Unavailable) for r in results))
        self.assertIsNone(held)
        self.assertEqual({'503': 4, '429': 2}, dict(failures))

    def test_a_write_that_is_done_late_is_told_as_unknown_and_loses_to_a_newer_one(self):
        # The first write gets no answer and is done seconds later. By then another one has
        # made the object: its condition does not hold any more.
        async def scenario(store, platform):
            platform.faults = {'act_late': 9.0}
            first = await store.put('records', 'a', 'late', 0)
            platform.faults = {}
            second = await store.put('records', 'a', 'in time', 0)
            await asyncio.sleep(10)
            return first, second, (await store.get('records', 'a')).unwrap()

        first, second, held = self.run_with_platform(scenario)
        self.assertIsInstance(first.unwrap_err(), Unavailable)
        self.assertTrue(second.is_ok())
        self.assertEqual('in time', held.value)

    def test_an_object_that_another_writer_spoiled_hides_no_other(self):
        async def scenario(store, platform):
            await store.put('records', 'a', 1, 0)
            platform.objects['records', 'b'] = {'metadata': 7}
            await store.put('records', 'c', 3, 0)
            return (await store.list('records')).unwrap()

        self.assertEqual([1, 3], [held.value for held in self.run_with_platform(scenario).objects])

    def test_garbage_counts_as_no_answer(self):
        # A proxy on the way answers with its own page, a body is cut short, types are wrong:
        # none of it may be taken for a listing, for "there is none" or for a conflict.
        good = {'metadata': {'name': 'a', 'revision': 1}, 'specification': None}
        wrong = {'metadata': {'name': 'a', 'revision': '1'}, 'specification': None}
        bodies = (
            b'',
            b'<html>busy</html>',
            b'null',
            b'[]',
            b'{"items": 7, "atRevision": 1}',
            b'{"items": [], "atRevision": "1"}',
            b'{"items": [{}]}',
            b'{"events": [{}], "atRevision": 1}',
            msgspec.json.encode(good)[:-9],
            msgspec.json.encode(wrong),
            b'[' * 100_000,
            b'\xff\xfe',
        )

        async def scenario(store, platform):
            for status in (200, 409, 500):
                for body in bodies:
                    answer[:] = [status, body]
                    results = [
                        await store.list('records'),
                        await store.watch('records', 0, 1),
                        await store.watch('records', 7, 1),
                        await store.put('records', 'a', 1, 0),
                        await store.get('records', 'a'),
                    ]
                    for result in results:
                        self.assertIsInstance(result.unwrap_err(), Unavailable, (status, body))

        answer = [200, b'']

        async def garbage(req):
            return HttpResponse(answer[0], [], answer[1])

        self.run_with_platform(scenario, garbage)
