import asyncio
from random import Random

from result import Err, Ok
from testtools import TestCase

from dunlinsaddle.platform.configuration import read_configuration
from dunlinsaddle.platform.store import WATCH_GRACE, Unavailable
from dunlinsaddle.routes.models import WeightedService
from dunlinsaddle.routes.table import RouteTable, choose_service
from tests.builders import build_configuration, build_route, running_follower
from tests.clock import PausedClockTest
from tests.fakes.store import FakeStore


class RouteTableTest(TestCase):
    def table(self, *prefixes):
        routes = [build_route(prefix, prefix=prefix) for prefix in prefixes]
        return RouteTable(read_configuration(build_configuration(routes=routes)).unwrap())

    def test_longest_prefix_that_begins_the_path_wins(self):
        table = self.table('/a/', '/a/b/', '/')
        found = {
            path: table.find_route('h.example', path).name for path in ('/a/b/c', '/a/x', '/z')
        }
        self.assertEqual({'/a/b/c': '/a/b/', '/a/x': '/a/', '/z': '/'}, found)

    def test_a_prefix_matches_whole_parts_of_the_path_only(self):
        table = self.table('/a/b/')
        self.assertIsNone(table.find_route('h.example', '/a/bc'))
        self.assertIsNone(table.find_route('h.example', '/a/b'))
        self.assertIsNotNone(table.find_route('h.example', '/a/b/?q=/x/'))

    def test_a_slash_in_the_query_is_no_part_of_the_path(self):
        self.assertIsNone(self.table('/a/b/').find_route('h.example', '/a?x=/b/'))

    def test_hosts_are_told_apart_without_case_or_port(self):
        table = self.table('/a/')
        self.assertIsNotNone(table.find_route('H.Example:8080', '/a/1'))
        self.assertIsNone(table.find_route('other.example', '/a/1'))

    def test_services_of_a_split_are_chosen_by_weight(self):
        rng = Random(1)
        weighted_services = (WeightedService('x', 90), WeightedService('y', 10))
        chosen = [choose_service(weighted_services, rng) for _ in range(2000)]
        self.assertAlmostEqual(0.9, chosen.count('x') / 2000, delta=0.03)


class ReadConfigurationTest(TestCase):
    def test_terms_are_decoded_into_seconds_and_words_of_ours(self):
        route = build_route('r', kind='unsafe', timeout='1000ms', targetLatency='1.5s')
        found = read_configuration(build_configuration(version='r12', routes=[route])).unwrap()
        self.assertEqual(12, found.version)
        (plain,) = found.routes
        self.assertEqual(
            (False, 1.0, 1.5), (plain.idempotent, plain.timeout, plain.latency_objective)
        )
        self.assertEqual((WeightedService('svc', 1.0),), plain.weighted_services)
        self.assertEqual(15.0, found.limits.idle_timeout)

    def test_what_cannot_be_used_is_refused_whole(self):
        good = build_configuration()
        bad_route = build_configuration(routes=[build_route('r', kind='odd')])
        for value in (
            None,
            [],
            {},
            {**good, 'version': 7},
            {**good, 'version': 'x7'},
            {**good, 'resources': [{'resourceKind': 'routes'}]},
            bad_route,
            build_configuration(routes=[build_route('r', timeout='soon')]),
            build_configuration(routes=[build_route('r', service=None)]),
        ):
            self.assertIsInstance(read_configuration(value), Err, value)

    def test_unknown_fields_and_kinds_are_passed_over(self):
        good = build_configuration(routes=[build_route('r', colour='red')])
        good['resources'].append({'resourceKind': 'later', 'specification': 7})
        self.assertIsInstance(read_configuration(good), Ok)


class SilentStore(FakeStore):
    """Never answers a watch that came while it was silent."""

    silent_until = 0.5  #: of the paused clock, which starts at 0

    async def watch(self, kind, since, timeout, grace=WATCH_GRACE):
        if asyncio.get_running_loop().time() < self.silent_until:
            await asyncio.sleep(timeout + grace)
            return Err(Unavailable('no answer in time'))
        return await super().watch(kind, since, timeout, grace)


class CutStore(FakeStore):
    """Cuts the watch that waits, hides a change from it, and is silent to the next call."""

    def __init__(self) -> None:
        super().__init__()
        self.watches = 0

    async def watch(self, kind, since, timeout, grace=WATCH_GRACE):
        self.watches += 1
        if self.watches == 2:
            await asyncio.sleep(1.0)
            return Err(Unavailable('the connection ended'))
        if self.watches == 3:
            await asyncio.sleep(timeout + grace)
            return Err(Unavailable('no answer in time'))
        return await super().watch(kind, since, timeout, grace)


class FollowTest(PausedClockTest):
    def follow(self, scenario, store=None):
        store = store or FakeStore()

        async def run():
            async with running_follower(store) as follower:
                return await scenario(store, follower)

        return self.run_paused(run())

    def test_a_change_is_in_force_at_once(self):
        async def scenario(store, follower):
            held = (await store.put('config', 'main', build_configuration('r3'), 0)).unwrap()
            await asyncio.sleep(0.2)
            first = follower.version
            await store.put('config', 'main', build_configuration('r9'), held.version)
            await asyncio.sleep(0.2)
            return first, follower.version

        self.assertEqual((3, 9), self.follow(scenario))

    def test_an_older_or_unreadable_configuration_changes_nothing(self):
        # The store answers with old data, or another writer spoils the object: callers are
        # served by the last good configuration, which is the highest that was ever read.
        async def scenario(store, follower):
            held = (await store.put('config', 'main', build_configuration('r9'), 0)).unwrap()
            await asyncio.sleep(0.2)
            for value in (build_configuration('r8'), {'version': 'r20'}, 7):
                held = (await store.put('config', 'main', value, held.version)).unwrap()
                await asyncio.sleep(0.2)
            return follower.version

        self.assertEqual(9, self.follow(scenario))

    def test_a_store_that_takes_calls_and_says_nothing_holds_up_no_fresh_node(self):
        # The node starts while the store is silent: its first call is never answered. Two
        # seconds after the store is back the node has its configuration, though that call
        # still waits for an answer.
        async def scenario(store, follower):
            await store.put('config', 'main', build_configuration('r4'), 0)
            await asyncio.sleep(2.5)
            return follower.version

        self.assertEqual(4, self.follow(scenario, SilentStore()))

    def test_a_change_missed_by_a_cut_watch_is_in_force_soon_though_the_next_call_is_silent(self):
        # The store forgets its history: watches hear nothing for a second, while a change is
        # made, and are cut. The next call goes out on a connection that has gone silent. Were
        # it a watch as long as usual, the old routes would be in force for five seconds more.
        async def scenario(store, follower):
            held = (await store.put('config', 'main', build_configuration('r4'), 0)).unwrap()
            await asyncio.sleep(0.5)
            await store.put('config', 'main', build_configuration('r6'), held.version)
            await asyncio.sleep(3.0)
            return follower.version

        self.assertEqual(6, self.follow(scenario, CutStore()))

    def test_a_change_made_in_an_outage_is_in_force_within_two_seconds_of_its_end(self):
        # The store is down for long; a change is made just as it returns. The node must not
        # wait out a long pause between two tries.
        async def scenario(store, follower):
            store.down = True
            await asyncio.sleep(60)
            store.down = False
            await store.put('config', 'main', build_configuration('r4'), 0)
            await asyncio.sleep(2)
            return follower.version

        self.assertEqual(4, self.follow(scenario))
