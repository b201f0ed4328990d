import asyncio
from random import Random
from types import SimpleNamespace

from result import Err, Ok
from testtools import TestCase

from dunlinsaddle.calls.messages import RecordsResponse
from dunlinsaddle.platform.configuration import read_configuration
from dunlinsaddle.platform.store import WATCH_GRACE_SECONDS, Unavailable
from dunlinsaddle.records.models import RecordEntry
from dunlinsaddle.routes.config_follower import PEER_TIMEOUT_SECONDS
from dunlinsaddle.routes.models import Limits, WeightedService
from dunlinsaddle.routes.table import RouteTable, choose_service
from dunlinsaddle.settings import Address
from tests.builders import (
    build_configuration,
    build_member,
    build_route,
    build_tenant,
    running_follower,
)
from tests.clock import PausedClockTest
from tests.fakes.store import FakeStore


class RouteTableTest(TestCase):
    def build_table(self, *prefixes):
        routes = [build_route(prefix, prefix=prefix) for prefix in prefixes]
        return RouteTable(read_configuration(build_configuration(routes=routes)).unwrap())

    def test_longest_matching_prefix_wins(self):
        table = self.build_table('/a/', '/a/b/', '/')
        matches = {
            path: table.find_route('h.example', path).name for path in ('/a/b/c', '/a/x', '/z')
        }
        self.assertEqual({'/a/b/c': '/a/b/', '/a/x': '/a/', '/z': '/'}, matches)

    def test_prefix_matches_whole_path_segments_only(self):
        table = self.build_table('/a/b/')
        self.assertIsNone(table.find_route('h.example', '/a/bc'))
        self.assertIsNone(table.find_route('h.example', '/a/b'))
        self.assertIsNotNone(table.find_route('h.example', '/a/b/?q=/x/'))

    def test_slash_in_the_query_is_not_part_of_the_path(self):
        self.assertIsNone(self.build_table('/a/b/').find_route('h.example', '/a?x=/b/'))

    def test_hosts_match_without_case_and_port(self):
        table = self.build_table('/a/')
        self.assertIsNotNone(table.find_route('H.Example:8080', '/a/1'))
        self.assertIsNone(table.find_route('other.example', '/a/1'))

    def test_services_are_chosen_by_weight(self):
        rng = Random(1)
        weighted_services = (WeightedService('x', 90), WeightedService('y', 10))
        chosen = [choose_service(weighted_services, rng) for _ in range(2000)]
        self.assertAlmostEqual(0.9, chosen.count('x') / 2000, delta=0.03)


class ReadConfigurationTest(TestCase):
    def test_route_settings_are_converted_to_internal_types(self):
        resource = build_route('r', kind='unsafe', timeout='1000ms', targetLatency='1.5s')
        configuration = read_configuration(
            build_configuration(version='r12', routes=[resource])
        ).unwrap()
        self.assertEqual(12, configuration.version)
        (route,) = configuration.routes
        self.assertEqual(
            (False, 1.0, 1.5), (route.idempotent, route.timeout, route.latency_objective)
        )
        self.assertEqual((WeightedService('svc', 1.0),), route.weighted_services)
        self.assertEqual(15.0, configuration.limits.idle_timeout)

    def test_invalid_configuration_is_rejected_as_a_whole(self):
        valid = build_configuration()
        for value in (
            None,
            [],
            {},
            {**valid, 'version': 7},
            {**valid, 'version': 'x7'},
            {**valid, 'resources': [{'resourceKind': 'routes'}]},
            build_configuration(routes=[build_route('r', kind=7)]),
            build_configuration(routes=[build_route('r', kind=None)]),
            build_configuration(routes=[build_route('r', timeout='soon')]),
            build_configuration(routes=[build_route('r', service=None)]),
        ):
            self.assertIsInstance(read_configuration(value), Err, value)

    def test_only_safe_requests_and_downloads_may_run_twice(self):
        """Guards against an upload, or a kind of a later version, that runs twice."""
        kinds = ('safe', 'download', 'unsafe', 'upload', 'odd', '', 'Safe')
        routes = [build_route(kind, kind=kind, prefix=f'/{n}/') for n, kind in enumerate(kinds)]
        configuration = read_configuration(build_configuration(routes=routes)).unwrap()
        self.assertEqual(
            ['safe', 'download'], [r.name for r in configuration.routes if r.idempotent]
        )
        self.assertEqual({'odd': 'odd', '': '', 'Safe': 'Safe'}, configuration.unknown_kinds)

    def test_unknown_fields_and_kinds_are_ignored(self):
        valid = build_configuration(routes=[build_route('r', colour='red')])
        valid['resources'].append({'resourceKind': 'later', 'specification': 7})
        self.assertIsInstance(read_configuration(valid), Ok)


class UsablePartTest(TestCase):
    """What a node without a configuration takes of one that is partly unreadable."""

    def read(self, *changed, **kwargs):
        value = build_configuration(**kwargs)
        value['resources'].extend(changed)
        self.assertIsInstance(read_configuration(value), Err)
        return read_configuration(value, usable_part=True)

    def test_unreadable_route_keeps_its_requests_from_shorter_prefixes(self):
        """Guards against requests that run by the rules of another route, or get a final 404."""
        for rest in ({'timeout': 'soon'}, {'kind': 7}, {'service': None}, {'trafficSplit': [{}]}):
            routes = [build_route('outer', prefix='/'), build_route('inner', prefix='/a/', **rest)]
            table = RouteTable(self.read(routes=routes).unwrap())
            found = [table.find_route('h.example', path) for path in ('/a/x', '/b')]
            self.assertEqual(
                [('inner', False, False), ('outer', True, True)],
                [(r.name, r.is_readable, r.idempotent) for r in found],
                rest,
            )

    def test_services_and_limits_without_readable_entry_get_the_defaults(self):
        value = build_configuration()
        for entry in value['resources'][1:]:
            entry['specification'] = {'maxConnections': 'many'}
        configuration = read_configuration(value, usable_part=True).unwrap()
        self.assertEqual(({}, Limits()), (configuration.services, configuration.limits))
        self.assertEqual(['services', 'limits'], [e.kind for e in configuration.unreadable])

    def test_unreadable_host_prefix_or_organisation_makes_the_whole_unusable(self):
        """Guards against a route or a key that opens because a closer entry is missing."""
        for entry in (
            build_route('r', host=7),
            build_route('r', prefix=None),
            build_route('r', prefix='/a', timeout='soon'),
            {'resourceKind': 'routes'},
            {'specification': {}},
            build_tenant('org', requestsPerS='few'),
            build_tenant('', 'key'),
            {'resourceKind': 'tenants', 'metadata': {'name': 'org'}},
        ):
            self.assertIsInstance(self.read(entry), Err, entry)


class SilentStore(FakeStore):
    """Never answers a watch that was started before ``silent_until``."""

    silent_until = 0.5  #: seconds on the paused clock, which starts at 0

    async def watch(self, kind, since, timeout, grace=WATCH_GRACE_SECONDS):
        if asyncio.get_running_loop().time() < self.silent_until:
            await asyncio.sleep(timeout + grace)
            return Err(Unavailable('no answer in time'))
        return await super().watch(kind, since, timeout, grace)


class DisconnectingStore(FakeStore):
    """Ends the second watch without reporting a change, and does not answer the third."""

    def __init__(self) -> None:
        super().__init__()
        self.watch_count = 0

    async def watch(self, kind, since, timeout, grace=WATCH_GRACE_SECONDS):
        self.watch_count += 1
        if self.watch_count == 2:
            await asyncio.sleep(1.0)
            return Err(Unavailable('the connection ended'))
        if self.watch_count == 3:
            await asyncio.sleep(timeout + grace)
            return Err(Unavailable('no answer in time'))
        return await super().watch(kind, since, timeout, grace)


class LinksToOneDeadPeer:
    """Links of a node: the peer named dead never answers, all others hold r9."""

    async def fetch_records(self, address, request, timeout):
        if address.host == 'dead':
            await asyncio.sleep(timeout)
            return None
        entry = RecordEntry('main', 9, build_configuration('r9'))
        return RecordsResponse(0, 9, 0.0, False, [entry])


class ConfigFollowerTest(PausedClockTest):
    def run_follower(self, scenario, store=None):
        store = store or FakeStore()

        async def run():
            async with running_follower(store) as follower:
                return await scenario(store, follower)

        return self.run_paused(run())

    def test_change_takes_effect_at_once(self):
        async def scenario(store, follower):
            stored = (await store.put('config', 'main', build_configuration('r3'), 0)).unwrap()
            await asyncio.sleep(0.2)
            first = follower.version
            await store.put('config', 'main', build_configuration('r9'), stored.version)
            await asyncio.sleep(0.2)
            return first, follower.version

        self.assertEqual((3, 9), self.run_follower(scenario))

    def test_older_or_invalid_configuration_is_ignored(self):
        # The store returns old data, or another writer breaks the object. The last valid
        # configuration, which has the highest version read so far, must stay in force.
        async def scenario(store, follower):
            stored = (await store.put('config', 'main', build_configuration('r9'), 0)).unwrap()
            await asyncio.sleep(0.2)
            for value in (build_configuration('r8'), {'version': 'r20'}, 7):
                stored = (await store.put('config', 'main', value, stored.version)).unwrap()
                await asyncio.sleep(0.2)
            return follower.version

        self.assertEqual(9, self.run_follower(scenario))

    def test_usable_part_is_taken_only_without_a_configuration_and_gives_way_to_a_newer_one(self):
        # r8 cannot be read in full. A node that starts then serves the rest of it; the next valid
        # version replaces it, and the part of r10 is not better than that.
        broken = [build_route('inner', timeout='soon')]

        async def scenario(store, follower):
            versions, stored = [], 0
            for value in (
                build_configuration('r8', broken),
                build_configuration('r9'),
                build_configuration('r10', broken),
            ):
                stored = (await store.put('config', 'main', value, stored)).unwrap().version
                await asyncio.sleep(0.2)
                versions.append((follower.version, len(follower.table.configuration.unreadable)))
            return versions

        self.assertEqual([(8, 1), (9, 0), (9, 0)], self.run_follower(scenario))

    def test_new_node_is_not_held_up_by_a_store_that_did_not_answer(self):
        # The node starts while the store accepts calls without answering them, so its first call
        # is never answered. It must have its configuration two seconds after the store answers
        # again, although that first call would still be waiting.
        async def scenario(store, follower):
            await store.put('config', 'main', build_configuration('r4'), 0)
            await asyncio.sleep(2.5)
            return follower.version

        self.assertEqual(4, self.run_follower(scenario, SilentStore()))

    def test_change_missed_by_a_closed_watch_takes_effect_although_the_next_call_hangs(self):
        # The store drops its history: watches report nothing for a second, while a change is made,
        # and are closed. The next call is sent on a dead connection. If it were a watch of the
        # usual duration, the old routes would stay in force for five more seconds.
        async def scenario(store, follower):
            stored = (await store.put('config', 'main', build_configuration('r4'), 0)).unwrap()
            await asyncio.sleep(0.5)
            await store.put('config', 'main', build_configuration('r6'), stored.version)
            await asyncio.sleep(3.0)
            return follower.version

        self.assertEqual(6, self.run_follower(scenario, DisconnectingStore()))

    def test_change_made_in_an_outage_takes_effect_within_two_seconds_of_its_end(self):
        # The store is down for a long time, and a change is made just as it returns. The backoff
        # between two calls must not have grown beyond the time limit for changes.
        async def scenario(store, follower):
            store.down = True
            await asyncio.sleep(60)
            store.down = False
            await store.put('config', 'main', build_configuration('r4'), 0)
            await asyncio.sleep(2)
            return follower.version

        self.assertEqual(4, self.run_follower(scenario))

    def test_change_announced_by_several_peers_is_fetched_although_the_first_does_not_answer(self):
        # All watchers announce a change in the same millisecond. The node asks the first, whose
        # link is silent, and would forget the others until the next probe, a second or two later.
        async def scenario(store, follower):
            store.down = True
            follower.links = LinksToOneDeadPeer()
            for name in ('dead', 'b', 'c'):
                member = build_member(name, peers=Address(name, 1))
                follower.handle_peer_version(member, 9)
            await asyncio.sleep(PEER_TIMEOUT_SECONDS + 0.1)
            return follower.version

        self.assertEqual(9, self.run_follower(scenario))

    def test_an_older_valid_version_is_fetched_after_newer_ones_were_rejected(self):
        # Peers of a newer build hold versions that this build cannot read. The node would stay
        # behind the peers of its own build, and must not fetch what it rejected again and again.
        held = {
            '8': build_configuration('r8', tenants=[build_tenant('t', priority='x')]),
            '9': build_configuration('r9', tenants=[build_tenant('t', priority='x')]),
            '7': build_configuration('r7'),
        }

        async def scenario(store, follower):
            await store.put('config', 'main', build_configuration('r3'), 0)
            await asyncio.sleep(0.1)
            requests = []

            async def fetch_records(address, request, timeout):
                requests.append(address.host)
                entry = RecordEntry('main', int(address.host), held[address.host])
                return RecordsResponse(0, entry.version, 0.0, False, [entry])

            follower.links = SimpleNamespace(fetch_records=fetch_records)
            for name in '898978':
                member = build_member(name, peers=Address(name, 1))
                follower.handle_peer_version(member, int(name))
                await asyncio.sleep(0.1)
            return requests, follower.version

        self.assertEqual((['8', '9', '7'], 7), self.run_follower(scenario))
