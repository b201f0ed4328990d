import asyncio
from random import Random

import msgspec
from result import Ok

from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.platform.store import Conflict, Unavailable
from standins.platform import MAX_VALUE_BYTES
from tests.builders import build_document, build_record_sync
from tests.store_case import StoreClientTestCase

NODE_HOST = '::1'  #: peer address of connections in memory


class StoreClientTest(StoreClientTestCase):
    def test_writes_are_conditional_and_a_watch_reports_deletes(self):
        async def scenario(store, platform):
            created = await store.put('records', 'a', {'n': 1}, 0)
            self.assertIsInstance(created, Ok)
            conflict = (await store.put('records', 'a', {'n': 2}, 0)).unwrap_err()
            self.assertEqual({'n': 1}, conflict.current.value)
            created = created.unwrap()
            since = (await store.list('records')).unwrap().version
            deleted = (await store.delete('records', 'a', created.version)).unwrap()
            self.assertIsNone(deleted.value)
            self.assertEqual([], (await store.list('records')).unwrap().objects)
            self.assertEqual([deleted], (await store.watch('records', since, 3)).unwrap().objects)
            self.assertEqual(Conflict(None), (await store.put('audit', 'a', 1, 7)).unwrap_err())
            large = await store.put('records', 'b', 'x' * MAX_VALUE_BYTES, 0)
            self.assertEqual(Unavailable('status 413'), large.unwrap_err())
            self.assertIsNone((await store.get('records', 'b')).unwrap())

        self.run_with_platform(scenario)

    def test_consecutive_watches_miss_no_change(self):
        # Each watch starts where the previous one ended, while changes are written at random
        # times, also between two watches and several at once.
        async def scenario(store, platform):
            rng = Random(3)

            async def write():
                for number in range(200):
                    await store.put('records', f's{number}', number, 0)
                    await asyncio.sleep(rng.choice([0, 0, 0.001, 0.1, 4]))

            writer = asyncio.create_task(write())
            names_seen, since, calls = [], 0, 0
            while not writer.done() or len(names_seen) < 200:
                listing = (await store.watch('records', since, 3)).unwrap()
                names_seen += [o.name for o in listing.objects]
                since, calls = listing.version, calls + 1
            return names_seen, calls

        names_seen, calls = self.run_with_platform(scenario)
        self.assertEqual(
            [f's{n}' for n in range(200)], sorted(names_seen, key=lambda n: int(n[1:]))
        )
        self.assertEqual(200, len(set(names_seen)))
        self.assertLess(calls, 400)

    def test_lost_response_and_outage_are_reported_as_unavailable(self):
        async def scenario(store, platform):
            platform.faults = {'lose_answers': 1}
            lost = await store.put('records', 'a', 1, 0)
            stored = (await store.get('records', 'a')).unwrap()
            platform.faults = {'down': True}
            return lost, stored.value, await store.get('records', 'a')

        lost, value, during_outage = self.run_with_platform(scenario)
        self.assertIsInstance(lost.unwrap_err(), Unavailable)
        self.assertEqual(1, value)
        self.assertIsInstance(during_outage.unwrap_err(), Unavailable)

    def test_records_are_received_from_a_slow_platform(self):
        # Every response of the platform takes 6 s. With a shorter fixed grace the node would never
        # receive a change; instead its grace grows with each attempt and returns to the minimum
        # once the platform is fast again.
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

    def test_listing_of_many_pages_is_read_completely(self):
        async def scenario(store, platform):
            for number in range(23):
                await store.put('records', f'r{number:02}', number, 0)
            platform.faults = {'page': 5}
            return (await store.list('records')).unwrap()

        listing = self.run_with_platform(scenario)
        self.assertEqual(list(range(23)), [stored.value for stored in listing.objects])

    def test_watch_from_before_the_history_lists_everything(self):
        # The platform has dropped its history while the node was disconnected: what has changed
        # since must still be returned, once.
        async def scenario(store, platform):
            since = (await store.put('records', 'a', 1, 0)).unwrap().version
            await store.put('records', 'b', 2, 0)
            platform.forget_history()
            listing = (await store.watch('records', since - 1, 3)).unwrap()
            return listing, dict(store.failures)

        listing, failures = self.run_with_platform(scenario)
        self.assertEqual([1, 2], [stored.value for stored in listing.objects])
        self.assertEqual({'410': 1}, failures)

    def test_error_status_is_unavailable_and_nothing_was_written(self):
        # 503, 429, and a platform that rejects only this node: all respond at once.
        async def scenario(store, platform):
            results = []
            for faults in ({'busy': True}, {'over_rate': True}, {'refused_hosts': [NODE_HOST]}):
                platform.faults = faults
                results.append(await store.put('records', 'a', 1, 0))
                results.append(await store.list('records'))
            platform.faults = {}
            return results, (await store.get('records', 'a')).unwrap(), store.failures

        results, stored, failures = self.run_with_platform(scenario)
        self.assertTrue(all(isinstance(r.unwrap_err(), Unavailable) for r in results))
        self.assertIsNone(stored)
        self.assertEqual({'503': 4, '429': 2}, dict(failures))

    def test_delayed_write_is_reported_as_unavailable_and_loses_to_a_newer_one(self):
        # The first write gets no response and is performed seconds later. By then another write
        # has created the object, so its condition is not met any more.
        async def scenario(store, platform):
            platform.faults = {'act_late': 9.0}
            first = await store.put('records', 'a', 'late', 0)
            platform.faults = {}
            second = await store.put('records', 'a', 'in time', 0)
            await asyncio.sleep(10)
            return first, second, (await store.get('records', 'a')).unwrap()

        first, second, stored = self.run_with_platform(scenario)
        self.assertIsInstance(first.unwrap_err(), Unavailable)
        self.assertTrue(second.is_ok())
        self.assertEqual('in time', stored.value)

    def test_invalid_object_in_a_listing_does_not_hide_others(self):
        async def scenario(store, platform):
            await store.put('records', 'a', 1, 0)
            platform.objects['records', 'b'] = {'metadata': 7}
            await store.put('records', 'c', 3, 0)
            return (await store.list('records')).unwrap()

        self.assertEqual(
            [1, 3], [stored.value for stored in self.run_with_platform(scenario).objects]
        )

    def test_invalid_responses_are_reported_as_unavailable(self):
        # An error page of a proxy, a truncated body or wrong types must not be treated as a
        # listing, a missing object or a conflict.
        valid = {'metadata': {'name': 'a', 'revision': 1}, 'specification': None}
        wrong_type = {'metadata': {'name': 'a', 'revision': '1'}, 'specification': None}
        bodies = (
            b'',
            b'<html>busy</html>',
            b'null',
            b'[]',
            b'{"items": 7, "atRevision": 1}',
            b'{"items": [], "atRevision": "1"}',
            b'{"items": [{}]}',
            b'{"events": [{}], "atRevision": 1}',
            msgspec.json.encode(valid)[:-9],
            msgspec.json.encode(wrong_type),
            b'[' * 100_000,
            b'\xff\xfe',
        )

        async def scenario(store, platform):
            for status in (200, 409, 500):
                for body in bodies:
                    response[:] = [status, body]
                    results = [
                        await store.list('records'),
                        await store.watch('records', 0, 1),
                        await store.watch('records', 7, 1),
                        await store.put('records', 'a', 1, 0),
                        await store.get('records', 'a'),
                    ]
                    for result in results:
                        self.assertIsInstance(result.unwrap_err(), Unavailable, (status, body))

        response = [200, b'']

        async def respond_with_invalid_body(req):
            return HttpResponse(response[0], [], response[1])

        self.run_with_platform(scenario, respond_with_invalid_body)
