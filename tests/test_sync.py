import asyncio
import itertools
from random import Random

from dunlinsaddle.calls.messages import RecordsPush, RecordsRequest
from dunlinsaddle.membership.roster import ROSTER_KIND
from dunlinsaddle.membership.view import State
from dunlinsaddle.node import Node
from dunlinsaddle.records.chunks import MAX_CHUNK_BYTES
from dunlinsaddle.records.history import RECORD_KIND
from dunlinsaddle.records.models import RecordEntry
from dunlinsaddle.records.topology import FANOUT, WATCHER_COUNT
from tests.builders import build_document, build_environment, build_logger, build_settings
from tests.clock import PausedClockTest
from tests.fakes.records import FakeFleet, FakeNode
from tests.fakes.store import FakeStore

DOMAINS = ['bangor-hall', 'caernarfon-hall', 'menai-hall']
MAX_IN_FORCE_SECONDS = 2.0
MAX_CATCH_UP_SECONDS = 5.0


async def write(fleet: FakeFleet, deadline: float, service: str = 'cut-orders') -> int:
    stored = fleet.store.objects.get((RECORD_KIND, service))
    value = {'record': build_document(service, deadline=deadline)}
    written = await fleet.store.put(RECORD_KIND, service, value, stored.version if stored else 0)
    return written.unwrap().version


class InForceTest(PausedClockTest):
    def test_change_is_in_force_everywhere_within_two_seconds(self):
        async def scenario():
            fleet = FakeFleet(DOMAINS, 20)
            fleet.start()
            await asyncio.sleep(5)
            durations = []
            for number in range(20):
                version = await write(fleet, 1.0 + number)
                nodes = list(fleet.nodes.values())
                durations.append(await fleet.wait_for_version('cut-orders', version, nodes))
                await asyncio.sleep(fleet.rng.random() * 3)
            return max(durations)

        self.assertLess(self.run_paused(scenario()), MAX_IN_FORCE_SECONDS)

    def test_push_reaches_the_nodes_below_dead_nodes(self):
        # A third of a failure domain is dead and not yet detected. Nodes below them in a push tree
        # get the change through the tree of the other watcher or in the next exchange.
        async def scenario():
            fleet = FakeFleet(['menai-hall'], 120)
            fleet.start()
            await asyncio.sleep(10)
            watchers = fleet.live_nodes('menai-hall')[0].sync.watchers()
            nodes = [n for n in fleet.live_nodes('menai-hall') if n.member.instance not in watchers]
            for node in fleet.rng.sample(nodes, 40):
                node.kill()
            await asyncio.sleep(0.1)
            version = await write(fleet, 2.0)
            elapsed = await fleet.wait_for_version(
                'cut-orders', version, fleet.live_nodes('menai-hall')
            )
            return elapsed, max(n.push_count for n in fleet.nodes.values())

        elapsed, sent = self.run_paused(scenario())
        self.assertLess(elapsed, MAX_IN_FORCE_SECONDS)
        self.assertLess(sent, 5 * FANOUT)

    def test_push_reaches_the_nodes_below_frozen_nodes(self):
        # A tenth of a failure domain is frozen with open links, so pushes to it are lost without
        # an error. Each node also forwards a change to its neighbours.
        async def scenario(seed: int):
            fleet = FakeFleet(['menai-hall'], 120, seed)
            fleet.start()
            await asyncio.sleep(10)
            watchers = fleet.live_nodes('menai-hall')[0].sync.watchers()
            nodes = [n for n in fleet.live_nodes('menai-hall') if n.member.instance not in watchers]
            for node in fleet.rng.sample(nodes, 12):
                node.freeze()
            await asyncio.sleep(0.1)
            version = await write(fleet, 2.0)
            reachable = [n for n in fleet.live_nodes('menai-hall') if not n.frozen]
            return await fleet.wait_for_version('cut-orders', version, reachable)

        for seed in (10, 19, 30, 31):
            self.assertLess(self.run_paused(scenario(seed)), MAX_IN_FORCE_SECONDS)

    def test_domain_without_the_platform_gets_changes_from_other_domains(self):
        # All responses of the platform to one failure domain are lost. Watchers of the other
        # domains push the change to two of its members, which forward it to the rest.
        async def scenario():
            fleet = FakeFleet(DOMAINS, 40)
            fleet.start()
            await asyncio.sleep(5)
            fleet.domains_without_platform.add('menai-hall')
            await asyncio.sleep(1)
            version = await write(fleet, 2.0)
            return await fleet.wait_for_version(
                'cut-orders', version, fleet.live_nodes('menai-hall')
            )

        self.assertLess(self.run_paused(scenario()), MAX_IN_FORCE_SECONDS)

    def test_isolated_domain_catches_up_after_it_rejoins(self):
        # A failure domain loses the platform and all other domains while records are changed and
        # deleted. The time of rejoining varies relative to watches on dead connections, backoffs
        # and exchanges.
        async def scenario(seed: int):
            fleet = FakeFleet(DOMAINS, 6, seed)
            fleet.start()
            await write(fleet, 1.0, 'slab-stock')
            await asyncio.sleep(4)
            fleet.isolate('menai-hall')
            await asyncio.sleep(fleet.rng.random() * 12)
            await fleet.store.delete(RECORD_KIND, 'slab-stock', 1)
            version = await write(fleet, 2.0)
            await asyncio.sleep(fleet.rng.random() * 12)
            fleet.rejoin()
            elapsed = await fleet.wait_for_version(
                'cut-orders', version, fleet.live_nodes('menai-hall')
            )
            return elapsed, [
                n.record_cache.find('slab-stock') for n in fleet.live_nodes('menai-hall')
            ]

        for seed in range(40):
            elapsed, deleted = self.run_paused(scenario(seed))
            self.assertLess(elapsed, MAX_CATCH_UP_SECONDS)
            self.assertEqual([None] * 6, deleted)

    def test_domain_with_undetected_dead_watchers_gets_changes_from_other_domains(self):
        # Both watchers of one failure domain are killed but still alive in every view, so no node
        # there watches. Pushes from other domains deliver the changes.
        async def scenario():
            fleet = FakeFleet(DOMAINS, 6)
            fleet.start()
            await asyncio.sleep(4)
            names = fleet.live_nodes('menai-hall')[0].sync.watchers()
            for node in fleet.live_nodes('menai-hall'):
                if node.member.instance in names:
                    node.kill()
            await asyncio.sleep(0.1)
            version = await write(fleet, 2.0)
            return await fleet.wait_for_version(
                'cut-orders', version, fleet.live_nodes('menai-hall')
            )

        self.assertLess(self.run_paused(scenario()), MAX_IN_FORCE_SECONDS)

    def test_nodes_poll_when_all_watchers_are_dead_and_undetected(self):
        # All watchers of all domains die at once without being detected, so no node watches the
        # platform. The other nodes poll it once their records have not been confirmed for long.
        async def scenario():
            fleet = FakeFleet(DOMAINS, 6)
            fleet.start()
            await asyncio.sleep(20)
            for domain in DOMAINS:
                names = fleet.live_nodes(domain)[0].sync.watchers()
                for node in fleet.live_nodes(domain):
                    if node.member.instance in names:
                        node.kill()
            await asyncio.sleep(0.1)
            version = await write(fleet, 2.0)
            alive = [n for n in fleet.nodes.values() if n.alive]
            return await fleet.wait_for_version('cut-orders', version, alive)

        self.assertLess(self.run_paused(scenario()), 40.0)

    def test_watchers_detected_as_dead_are_replaced(self):
        async def scenario():
            fleet = FakeFleet(['menai-hall'], 6)
            node = next(iter(fleet.nodes.values()))
            before = node.sync.watchers()
            for other in fleet.nodes.values():
                if other.member.instance in before:
                    node.view.merge(other.member._replace(state=State.DEAD))
            return before, node.sync.watchers(), node.member.instance

        before, after, me = self.run_paused(scenario())
        self.assertEqual((WATCHER_COUNT, WATCHER_COUNT), (len(before), len(after)))
        self.assertEqual(set(), (set(before) & set(after)) - {me})


class NoRevertTest(PausedClockTest):
    def test_new_node_gets_all_records_from_peers_while_the_platform_is_down(self):
        async def scenario():
            fleet = FakeFleet(DOMAINS, 4)
            fleet.start()
            for number in range(30):
                await write(fleet, 1.0, f'service-{number}')
            await asyncio.sleep(4)
            fleet.domains_without_platform.update(DOMAINS)
            new = fleet.add('menai-hall', 'menai-hall-fresh')
            new.start()
            await asyncio.sleep(1)
            return len(list(new.record_cache.entries())), new.record_cache.complete_version

        self.assertEqual((30, 30), self.run_paused(scenario()))

    def test_new_node_with_an_outdated_peer_keeps_the_highest_versions(self):
        # One peer was disconnected and still has old records, one of them of a service that has
        # been deleted. It responds to a new node first; the responses of the others correct it.
        async def scenario():
            fleet = FakeFleet(['menai-hall'], 3)
            await write(fleet, 1.0)
            await write(fleet, 1.0, 'slab-stock')
            old, *others = fleet.nodes.values()
            for node in fleet.nodes.values():
                await node.sync._watch(0)
            await fleet.store.delete(RECORD_KIND, 'slab-stock', 2)
            version = await write(fleet, 2.0)
            for node in others:
                await node.sync._watch(0)
            old.record_cache._documents = {
                e.service: e for e in old.record_cache.documents_after(0)[:2]
            }
            fleet.domains_without_platform.add('menai-hall')
            new = fleet.add('menai-hall', 'fresh')
            await new.sync._pull(old.member)
            for node in others:
                await new.sync._pull(node.member)
            await new.sync._pull(old.member)
            return new.record_cache.version('cut-orders') - version, new.record_cache.find(
                'slab-stock'
            )

        self.assertEqual((0, None), self.run_paused(scenario()))

    def test_no_node_reverts_a_record_during_partitions_restarts_and_replayed_pushes(self):
        # Failure domains are disconnected and rejoined at random while records change, nodes start
        # empty, and old pushes are delivered again. Versions at a node must never decrease, and no
        # change up to its complete revision may be missing. After the last rejoin all nodes must
        # agree with the platform.
        async def scenario(seed: int):
            rng = Random(seed)
            fleet = FakeFleet(DOMAINS, 4, seed)
            fleet.start()
            min_versions: dict[tuple[str, str], int] = {}
            for step in range(60):
                await self.inject_fault(fleet, rng)
                await write(fleet, 1.0 + step, rng.choice(['cut-orders', 'slab-stock']))
                await asyncio.sleep(rng.random())
                for node in fleet.nodes.values():
                    for entry in node.record_cache.entries():
                        key = (node.member.instance, entry.service)
                        self.assertGreaterEqual(entry.version, min_versions.get(key, 0))
                        min_versions[key] = entry.version
                    self.assert_complete(fleet, node)
            fleet.rejoin()
            await asyncio.sleep(MAX_CATCH_UP_SECONDS)
            expected = {name: stored.version for (_, name), stored in fleet.store.objects.items()}
            for node in fleet.nodes.values():
                actual = {e.service: e.version for e in node.record_cache.entries()}
                self.assertEqual(expected, actual)

        for seed in range(10):
            self.run_paused(scenario(seed))

    def assert_complete(self, fleet: FakeFleet, node: FakeNode) -> None:
        actual = {e.service: e.version for e in node.record_cache.entries()}
        for (_, name), stored in fleet.store.objects.items():
            if stored.version <= node.record_cache.complete_version:
                self.assertEqual(stored.version, actual.get(name))

    async def inject_fault(self, fleet: FakeFleet, rng: Random) -> None:
        match rng.randrange(5):
            case 0:
                fleet.isolate(rng.choice(DOMAINS))
            case 1:
                fleet.rejoin()
            case 2:
                fleet.domains_without_platform.add(rng.choice(DOMAINS))
            case 3:
                nodes = list(fleet.nodes.values())
                for push in rng.sample(fleet.pushed, min(20, len(fleet.pushed))):
                    rng.choice(nodes).receive(push)
            case 4:
                fleet.add(rng.choice(DOMAINS), f'fresh-{len(fleet.nodes)}').start()

    def test_watcher_also_pushes_changes_that_it_already_knew(self):
        # A watcher gets the newer of two changes from a peer, then both from the platform. Its
        # push claims to contain all changes up to a revision: without the newer one, the receiver
        # would consider itself complete and never request it.
        async def scenario():
            fleet = FakeFleet(['menai-hall'], 2)
            one, two = fleet.nodes.values()
            await write(fleet, 1.0, 'slab-stock')
            version = await write(fleet, 1.0)
            entry = RecordEntry('cut-orders', version, build_document())
            one.receive(RecordsPush(1, version, 'menai-hall', '', [entry]))
            await one.sync._watch(0)
            await asyncio.sleep(0.1)
            return two.record_cache.complete_version, two.record_cache.version('cut-orders')

        self.assertEqual((2, 2), self.run_paused(scenario()))

    def test_node_with_the_old_schema_forwards_records_that_it_cannot_decode(self):
        # A node with the new schema gets records only from one with the old schema. That one keeps
        # its last valid record and reports the new one, which still arrives.
        async def scenario():
            fleet = FakeFleet([], 0)
            old = fleet.add('menai-hall', 'old', newest_schema=1)
            new = fleet.add('bangor-hall', 'new')
            first = {'schema': 1, 'service': 'cut-orders', 'deadline_seconds': 4.0}
            await fleet.store.put(RECORD_KIND, 'cut-orders', {'record': first}, 0)
            await old.sync._watch(0)
            await write(fleet, 2.0)
            await old.sync._watch(0)
            fleet.domains_without_platform.add('bangor-hall')
            await new.sync._pull(old.member)
            return old, new

        old, new = self.run_paused(scenario())
        self.assertEqual(
            (1, 2), (old.record_cache.version('cut-orders'), new.record_cache.version('cut-orders'))
        )
        self.assertEqual(2, old.record_cache.unreadable['cut-orders'].version)

    def test_many_large_records_are_sent_in_chunks(self):
        async def scenario():
            fleet = FakeFleet(['menai-hall'], 2)
            one, two = fleet.nodes.values()
            rules = [
                {'name': f'rule-{n}', 'method': 'GET', 'path': f'/{n}/' + 'x' * 100}
                for n in range(100)
            ]
            for number in range(20):
                doc = build_document(f'service-{number}', requests=rules)
                await fleet.store.put(RECORD_KIND, doc['service'], {'record': doc}, 0)
            await one.sync._watch(0)
            part = one.sync.handle_frame(RecordsRequest(0, 0))
            await two.sync._pull(one.member)
            return len(part.entries), part.has_more, two.record_cache.complete_version

        count, more, revision = self.run_paused(scenario())
        self.assertLess(count * 15_000, 2 * MAX_CHUNK_BYTES)
        self.assertEqual((True, 20), (more, revision))


class LinkedNodesTest(PausedClockTest):
    def test_node_without_the_platform_gets_records_over_peer_links(self):
        # Of two complete nodes one never reaches the platform. It gets the first record by a
        # request to its peer, and a later one by a push of the peer.
        async def scenario():
            reachable_store, unreachable_store = (
                FakeStore(separate_kinds={ROSTER_KIND}),
                FakeStore(),
            )
            unreachable_store.down = True
            one = build_node('bangor-1', 'bangor-hall', 10, reachable_store)
            two = build_node('menai-1', 'menai-hall', 20, unreachable_store)
            await reachable_store.put(RECORD_KIND, 'cut-orders', {'record': build_document()}, 0)
            await one.start()
            await two.start()
            one.view.merge(two.local_member())
            two.view.merge(one.local_member())
            await asyncio.sleep(3)
            first = two.record_cache.version('cut-orders')
            await reachable_store.put(RECORD_KIND, 'cut-orders', {'record': build_document()}, 1)
            await asyncio.sleep(0.1)
            second = two.record_cache.version('cut-orders')
            await two.stop()
            await one.stop()
            return first, second

        self.assertEqual((1, 2), self.run_paused(scenario()))


def build_node(instance: str, domain: str, port: int, store: FakeStore) -> Node:
    faces = ('callers', 'local', 'peers', 'gossip', 'operators')
    addresses = {name: f'127.0.0.1:{port + n}' for n, name in enumerate(faces)}
    settings = build_settings(instance=instance, domain=domain, **addresses)
    node = Node(settings, build_environment(), build_logger(instance))
    node.use_store(store)
    return node


class PlatformCallsTest(PausedClockTest):
    def test_idle_call_rate_does_not_grow_with_the_number_of_nodes(self):
        async def scenario(members: int):
            fleet = FakeFleet(DOMAINS, members)
            fleet.start()
            await asyncio.sleep(10)
            before = fleet.store.calls
            await asyncio.sleep(60)
            return (fleet.store.calls - before) / 60

        few_rate, many_rate = self.run_paused(scenario(5)), self.run_paused(scenario(40))
        self.assertEqual(few_rate, many_rate)
        self.assertLess(many_rate, 2.5)

    def test_nodes_replaced_all_at_once_query_their_peers_first(self):
        # All nodes are replaced by empty ones within a second: only the watchers query the
        # platform, the others get all records from peers.
        async def scenario():
            fleet = FakeFleet(DOMAINS, 20)
            fleet.start()
            await write(fleet, 1.0)
            await asyncio.sleep(10)
            old = list(fleet.nodes.values())
            started_at = asyncio.get_running_loop().time()
            new_nodes: list[FakeNode] = []
            for node in old:
                name = f'{node.member.instance}-fresh'
                new_nodes.append(fleet.add(node.member.domain, name))
                new_nodes[-1].start()
                node.kill()
                for other in fleet.nodes.values():
                    other.view.merge(node.member._replace(state=State.LEFT))
                await asyncio.sleep(1 / len(old))
            await asyncio.sleep(10)
            versions = {n.record_cache.version('cut-orders') for n in new_nodes}
            return versions, fleet.max_calls_in_one_second(started_at)

        versions, max_rate = self.run_paused(scenario())
        self.assertEqual({1}, versions)
        self.assertLess(max_rate, 40)

    def test_recovery_of_the_platform_causes_no_thundering_herd(self):
        # The platform is down for two minutes and then has a change. All nodes are stale during
        # the outage. The number of calls in any second must not grow with the number of nodes, and
        # the change must be in force soon after the recovery.
        async def scenario(members: int):
            fleet = FakeFleet(DOMAINS, members)
            fleet.start()
            await asyncio.sleep(10)
            started_at = asyncio.get_running_loop().time()
            fleet.store.down = True
            await asyncio.sleep(120)
            fleet.store.down = False
            version = await write(fleet, 2.0)
            nodes = list(fleet.nodes.values())
            elapsed = await fleet.wait_for_version('cut-orders', version, nodes)
            await asyncio.sleep(20)
            return elapsed, fleet.max_calls_in_one_second(started_at)

        for members in (10, 40):
            elapsed, max_rate = self.run_paused(scenario(members))
            self.assertLess(elapsed, MAX_CATCH_UP_SECONDS)
            self.assertLess(max_rate, 25)

    def test_change_after_a_platform_that_never_answers_the_calls_of_its_outage(self):
        # Each watch waits longer than the one before it, up to half a minute. Both watchers of a
        # domain would notice that long after the platform's return that there is a change.
        async def scenario(members: int, outage_seconds: float):
            fleet = FakeFleet(DOMAINS, members)
            fleet.start()
            await asyncio.sleep(10)
            started_at = asyncio.get_running_loop().time()
            fleet.is_platform_silent = True
            await asyncio.sleep(outage_seconds)
            fleet.is_platform_silent = False
            version = await write(fleet, 2.0)
            elapsed = await fleet.wait_for_version('cut-orders', version, [*fleet.nodes.values()])
            await asyncio.sleep(20)
            return elapsed, fleet.max_calls_in_one_second(started_at)

        for members, outage_seconds in itertools.product((2, 5, 10), (14, 60, 120)):
            elapsed, max_rate = self.run_paused(scenario(members, outage_seconds))
            self.assertLess(elapsed, MAX_CATCH_UP_SECONDS)
            self.assertLess(max_rate, 25)
