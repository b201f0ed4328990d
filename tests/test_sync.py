import asyncio
from random import Random

from dunlinsaddle.calls.messages import RecordsPush, RecordsRequest
from dunlinsaddle.membership.roster import ROSTERS
from dunlinsaddle.membership.view import State
from dunlinsaddle.node import Node
from dunlinsaddle.records.chunks import MAX_CHUNK_BYTES
from dunlinsaddle.records.history import RECORDS
from dunlinsaddle.records.models import RecordEntry
from dunlinsaddle.records.topology import FANOUT, WATCHER_COUNT
from tests.builders import build_document, build_environment, build_logger, build_settings
from tests.clock import PausedClockTest
from tests.fakes.records import FakeFleet, FakeNode
from tests.fakes.store import FakeStore

DOMAINS = ['bangor-hall', 'caernarfon-hall', 'menai-hall']
IN_FORCE_SECONDS = 2.0
CATCH_UP_SECONDS = 5.0


async def write(fleet: FakeFleet, deadline: float, service: str = 'cut-orders') -> int:
    held = fleet.store.objects.get((RECORDS, service))
    value = {'record': build_document(service, deadline=deadline)}
    written = await fleet.store.put(RECORDS, service, value, held.version if held else 0)
    return written.unwrap().version


class InForceTest(PausedClockTest):
    def test_change_is_in_force_everywhere_within_two_seconds(self):
        async def scenario():
            fleet = FakeFleet(DOMAINS, 20)
            fleet.start()
            await asyncio.sleep(5)
            taken = []
            for number in range(20):
                version = await write(fleet, 1.0 + number)
                nodes = list(fleet.nodes.values())
                taken.append(await fleet.wait_for_version('cut-orders', version, nodes))
                await asyncio.sleep(fleet.rng.random() * 3)
            return max(taken)

        self.assertLess(self.run_paused(scenario()), IN_FORCE_SECONDS)

    def test_dead_nodes_in_the_tree_are_gone_round(self):
        # A third of a failure domain is dead and not yet noticed. Whoever they would have
        # served hears down the other watcher's tree, or at the next exchange.
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
            taken = await fleet.wait_for_version(
                'cut-orders', version, fleet.live_nodes('menai-hall')
            )
            return taken, max(n.push_count for n in fleet.nodes.values())

        taken, sent = self.run_paused(scenario())
        self.assertLess(taken, IN_FORCE_SECONDS)
        self.assertLess(sent, 5 * FANOUT)

    def test_frozen_nodes_in_the_tree_are_gone_round(self):
        # A tenth of a failure domain is frozen, and links to it stay open: pushes to it vanish
        # without a sign. Whoever hears first tells its neighbours too.
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
            self.assertLess(self.run_paused(scenario(seed)), IN_FORCE_SECONDS)

    def test_domain_cut_from_the_platform_hears_through_another(self):
        # The platform's answers to one failure domain vanish; its watchers wait in vain. The
        # other domains still reach it: a watcher elsewhere pushes to two of its members, and
        # these pass the change on to the rest.
        async def scenario():
            fleet = FakeFleet(DOMAINS, 40)
            fleet.start()
            await asyncio.sleep(5)
            fleet.cut_from_platform.add('menai-hall')
            await asyncio.sleep(1)
            version = await write(fleet, 2.0)
            return await fleet.wait_for_version(
                'cut-orders', version, fleet.live_nodes('menai-hall')
            )

        self.assertLess(self.run_paused(scenario()), IN_FORCE_SECONDS)

    def test_cut_off_domain_catches_up_after_it_rejoins(self):
        # A failure domain loses the platform and all others for a while, during which records
        # change and one is deleted. Watches on dead connections, backoff and exchanges each
        # take their time; the moment of rejoining is varied against all of them.
        async def scenario(seed: int):
            fleet = FakeFleet(DOMAINS, 6, seed)
            fleet.start()
            await write(fleet, 1.0, 'slab-stock')
            await asyncio.sleep(4)
            fleet.isolate('menai-hall')
            await asyncio.sleep(fleet.rng.random() * 12)
            await fleet.store.delete(RECORDS, 'slab-stock', 1)
            version = await write(fleet, 2.0)
            await asyncio.sleep(fleet.rng.random() * 12)
            fleet.rejoin()
            taken = await fleet.wait_for_version(
                'cut-orders', version, fleet.live_nodes('menai-hall')
            )
            return taken, [
                n.record_cache.find('slab-stock') for n in fleet.live_nodes('menai-hall')
            ]

        for seed in range(40):
            taken, deleted = self.run_paused(scenario(seed))
            self.assertLess(taken, CATCH_UP_SECONDS)
            self.assertEqual([None] * 6, deleted)

    def test_watchers_that_died_unnoticed_are_made_up_for(self):
        # Both watchers of one failure domain are killed and still count as alive in every
        # view, so nobody there watches. The others' pushes carry changes in meanwhile.
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

        self.assertLess(self.run_paused(scenario()), IN_FORCE_SECONDS)

    def test_all_watchers_dead_unnoticed_leave_the_slow_poll(self):
        # Every watcher of every domain dies at once and none is missed. Nobody waits at the
        # platform any more: the nodes notice that nothing certain came for long and ask.
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

    def test_watchers_noticed_dead_are_replaced(self):
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


class NeverBackTest(PausedClockTest):
    def test_fresh_node_gets_everything_from_peers_while_the_platform_is_down(self):
        async def scenario():
            fleet = FakeFleet(DOMAINS, 4)
            fleet.start()
            for number in range(30):
                await write(fleet, 1.0, f'service-{number}')
            await asyncio.sleep(4)
            fleet.cut_from_platform.update(DOMAINS)
            fresh = fleet.add('menai-hall', 'menai-hall-fresh')
            fresh.start()
            await asyncio.sleep(1)
            return len(list(fresh.record_cache.entries())), fresh.record_cache.complete_revision

        self.assertEqual((30, 30), self.run_paused(scenario()))

    def test_fresh_node_with_an_old_peer_takes_the_higher(self):
        # One peer was cut off and still has the old record, also of a service that has been
        # deleted. It answers a fresh node first; the others' answers put it right.
        async def scenario():
            fleet = FakeFleet(['menai-hall'], 3)
            await write(fleet, 1.0)
            await write(fleet, 1.0, 'slab-stock')
            old, *others = fleet.nodes.values()
            for node in fleet.nodes.values():
                await node.sync._watch(0)
            await fleet.store.delete(RECORDS, 'slab-stock', 2)
            version = await write(fleet, 2.0)
            for node in others:
                await node.sync._watch(0)
            old.record_cache._documents = {
                e.service: e for e in old.record_cache.documents_after(0)[:2]
            }
            fleet.cut_from_platform.add('menai-hall')
            fresh = fleet.add('menai-hall', 'fresh')
            await fresh.sync._pull(old.member)
            for node in others:
                await fresh.sync._pull(node.member)
            await fresh.sync._pull(old.member)
            return fresh.record_cache.version('cut-orders') - version, fresh.record_cache.find(
                'slab-stock'
            )

        self.assertEqual((0, None), self.run_paused(scenario()))

    def test_no_node_ever_goes_back_under_cuts_restarts_and_replayed_pushes(self):
        # Failure domains are cut and rejoined at random while records change, nodes restart
        # with nothing, and old pushes are delivered again at any time. At every step each
        # node's version of each record is at least what it was, and nothing is missing up to
        # its complete revision; after the last rejoin all agree with the platform.
        async def scenario(seed: int):
            rng = Random(seed)
            fleet = FakeFleet(DOMAINS, 4, seed)
            fleet.start()
            floor: dict[tuple[str, str], int] = {}
            for step in range(60):
                await self.disturb(fleet, rng)
                await write(fleet, 1.0 + step, rng.choice(['cut-orders', 'slab-stock']))
                await asyncio.sleep(rng.random())
                for node in fleet.nodes.values():
                    for entry in node.record_cache.entries():
                        key = (node.member.instance, entry.service)
                        self.assertGreaterEqual(entry.version, floor.get(key, 0))
                        floor[key] = entry.version
                    self.assert_complete(fleet, node)
            fleet.rejoin()
            await asyncio.sleep(CATCH_UP_SECONDS)
            want = {name: held.version for (_, name), held in fleet.store.objects.items()}
            for node in fleet.nodes.values():
                have = {e.service: e.version for e in node.record_cache.entries()}
                self.assertEqual(want, have)

        for seed in range(10):
            self.run_paused(scenario(seed))

    def assert_complete(self, fleet: FakeFleet, node: FakeNode) -> None:
        have = {e.service: e.version for e in node.record_cache.entries()}
        for (_, name), held in fleet.store.objects.items():
            if held.version <= node.record_cache.complete_revision:
                self.assertEqual(held.version, have.get(name))

    async def disturb(self, fleet: FakeFleet, rng: Random) -> None:
        match rng.randrange(5):
            case 0:
                fleet.isolate(rng.choice(DOMAINS))
            case 1:
                fleet.rejoin()
            case 2:
                fleet.cut_from_platform.add(rng.choice(DOMAINS))
            case 3:
                nodes = list(fleet.nodes.values())
                for push in rng.sample(fleet.pushed, min(20, len(fleet.pushed))):
                    rng.choice(nodes).receive(push)
            case 4:
                fleet.add(rng.choice(DOMAINS), f'fresh-{len(fleet.nodes)}').start()

    def test_watcher_that_knew_a_part_passes_on_all(self):
        # A watcher hears of the newer of two changes from a peer first, then gets both from
        # the platform. What it pushes says "all changes up to here": without the one that it
        # knew already, a receiver would count itself complete and never ask for that one.
        async def scenario():
            fleet = FakeFleet(['menai-hall'], 2)
            one, two = fleet.nodes.values()
            await write(fleet, 1.0, 'slab-stock')
            version = await write(fleet, 1.0)
            entry = RecordEntry('cut-orders', version, build_document())
            one.receive(RecordsPush(1, version, 'menai-hall', '', [entry]))
            await one.sync._watch(0)
            await asyncio.sleep(0.1)
            return two.record_cache.complete_revision, two.record_cache.version('cut-orders')

        self.assertEqual((2, 2), self.run_paused(scenario()))

    def test_node_of_the_old_schema_hands_on_what_it_cannot_read(self):
        # Between the platform and a node of the new schema stands one of the old schema. It
        # keeps its own last good record, says why, and the new record still arrives.
        async def scenario():
            fleet = FakeFleet([], 0)
            old = fleet.add('menai-hall', 'old', newest_schema=1)
            new = fleet.add('bangor-hall', 'new')
            first = {'schema': 1, 'service': 'cut-orders', 'deadline_seconds': 4.0}
            await fleet.store.put(RECORDS, 'cut-orders', {'record': first}, 0)
            await old.sync._watch(0)
            await write(fleet, 2.0)
            await old.sync._watch(0)
            fleet.cut_from_platform.add('bangor-hall')
            await new.sync._pull(old.member)
            return old, new

        old, new = self.run_paused(scenario())
        self.assertEqual(
            (1, 2), (old.record_cache.version('cut-orders'), new.record_cache.version('cut-orders'))
        )
        self.assertEqual(2, old.record_cache.unreadable['cut-orders'].version)

    def test_many_large_records_cross_in_parts(self):
        async def scenario():
            fleet = FakeFleet(['menai-hall'], 2)
            one, two = fleet.nodes.values()
            rules = [
                {'name': f'rule-{n}', 'method': 'GET', 'path': f'/{n}/' + 'x' * 100}
                for n in range(100)
            ]
            for number in range(20):
                doc = build_document(f'service-{number}', requests=rules)
                await fleet.store.put(RECORDS, doc['service'], {'record': doc}, 0)
            await one.sync._watch(0)
            part = one.sync.handle_frame(RecordsRequest(0, 0))
            await two.sync._pull(one.member)
            return len(part.entries), part.has_more, two.record_cache.complete_revision

        count, more, revision = self.run_paused(scenario())
        self.assertLess(count * 15_000, 2 * MAX_CHUNK_BYTES)
        self.assertEqual((True, 20), (more, revision))


class LinkedNodesTest(PausedClockTest):
    def test_node_without_the_platform_hears_over_its_links(self):
        # Two whole nodes; one of them never reaches the platform. It gets the first record by
        # asking its peer, and a later one by the peer's push.
        async def scenario():
            near, far = FakeStore(separate_kinds={ROSTERS}), FakeStore()
            far.down = True
            one = build_node('bangor-1', 'bangor-hall', 10, near)
            two = build_node('menai-1', 'menai-hall', 20, far)
            await near.put(RECORDS, 'cut-orders', {'record': build_document()}, 0)
            await one.start()
            await two.start()
            one.view.merge(two.local_member())
            two.view.merge(one.local_member())
            await asyncio.sleep(3)
            first = two.record_cache.version('cut-orders')
            await near.put(RECORDS, 'cut-orders', {'record': build_document()}, 1)
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
    def test_calls_at_rest_do_not_grow_with_the_fleet(self):
        async def scenario(members: int):
            fleet = FakeFleet(DOMAINS, members)
            fleet.start()
            await asyncio.sleep(10)
            before = fleet.store.calls
            await asyncio.sleep(60)
            return (fleet.store.calls - before) / 60

        few, many = self.run_paused(scenario(5)), self.run_paused(scenario(40))
        self.assertEqual(few, many)
        self.assertLess(many, 2.5)

    def test_all_nodes_replaced_at_once_ask_their_peers_first(self):
        # Every node starts new within a second, with nothing, while the old ones go: only
        # the watchers ask the platform, the others get all from peers.
        async def scenario():
            fleet = FakeFleet(DOMAINS, 20)
            fleet.start()
            await write(fleet, 1.0)
            await asyncio.sleep(10)
            old = list(fleet.nodes.values())
            began = asyncio.get_running_loop().time()
            fresh: list[FakeNode] = []
            for node in old:
                name = f'{node.member.instance}-fresh'
                fresh.append(fleet.add(node.member.domain, name))
                fresh[-1].start()
                node.kill()
                for other in fleet.nodes.values():
                    other.view.merge(node.member._replace(state=State.LEFT))
                await asyncio.sleep(1 / len(old))
            await asyncio.sleep(10)
            versions = {n.record_cache.version('cut-orders') for n in fresh}
            return versions, fleet.max_calls_in_one_second(began)

        versions, busiest = self.run_paused(scenario())
        self.assertEqual({1}, versions)
        self.assertLess(busiest, 40)

    def test_return_of_the_platform_brings_no_herd(self):
        # The platform is out for two minutes and comes back with a change. During the outage
        # all nodes know that they may be behind. At no second does the load grow with the
        # number of nodes, and the change is in force soon after the return.
        async def scenario(members: int):
            fleet = FakeFleet(DOMAINS, members)
            fleet.start()
            await asyncio.sleep(10)
            began = asyncio.get_running_loop().time()
            fleet.store.down = True
            await asyncio.sleep(120)
            fleet.store.down = False
            version = await write(fleet, 2.0)
            nodes = list(fleet.nodes.values())
            taken = await fleet.wait_for_version('cut-orders', version, nodes)
            await asyncio.sleep(20)
            return taken, fleet.max_calls_in_one_second(began)

        for members in (10, 40):
            taken, busiest = self.run_paused(scenario(members))
            self.assertLess(taken, CATCH_UP_SECONDS)
            self.assertLess(busiest, 25)
