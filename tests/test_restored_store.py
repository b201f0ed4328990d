"""The store comes back from an older copy: its revisions go back and are given out again."""

import asyncio

import msgspec

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.platform.store import ABSENT, Conflict, Place, place_of
from standins.platform import Platform
from tests.builders import build_configuration, build_document, build_record_sync, running_follower
from tests.mesh_case import SETTLE_SECONDS, MeshTest
from tests.store_case import StoreCase

IN_FORCE = 2.0  #: seconds within which a change has to be in force
AWAY = 2.6  #: seconds for which the store answers nobody
LONG = 6.0  #: seconds; longer than a watch, whose answer proves what held when it was sent
NAMES = ('a:front', 'b:deep', 'c:front', 'd:deep', 'e:front')
ANSWER = 0.004  #: seconds for an answer of the store; with none, a loop without a pause never ends


class Operator:
    """Writes to the store itself, which answers it whatever it does to others."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    async def configure(self, version: str) -> None:
        await self._write('config', 'main', build_configuration(version))

    async def spend_revisions(self, count: int) -> None:
        """Write what nobody watches."""
        for number in range(count):
            await self._write('other', f'o{number}', self.platform.revision)

    async def _write(self, kind: str, name: str, value: object) -> None:
        method, path = 'POST', f'/objects/{kind}'
        if (kind, name) in self.platform.objects:
            method, path = 'PUT', f'{path}/{name}'
        body = msgspec.json.encode({'metadata': {'name': name}, 'specification': value})
        await self.platform.handle(HttpRequest(method, path, [], body, ''))


class ClientTest(StoreCase):
    def test_a_change_behind_a_revision_that_was_given_out_again_is_not_missed(self):
        """The counter has passed the watcher's revision before it asks again: no 410 tells it."""

        async def scenario(store, platform):
            operator = Operator(platform)
            copy = platform.copy()
            await operator.spend_revisions(3)
            since = (await store.list('config')).unwrap().version
            platform.restore(copy)
            await operator.configure('r23')
            await operator.spend_revisions(6)
            return (await store.watch('config', since, 5.0)).unwrap()

        listing = self.with_platform(scenario)
        self.assertEqual(['r23'], [held.value['version'] for held in listing.objects])
        self.assertEqual(Place(1, 8), place_of(listing.version))

    def test_a_watch_that_is_refused_costs_one_call(self):
        """All watchers of a store in trouble would ask twice, as its refusals tell a new epoch."""

        async def scenario(store, platform):
            since = (await store.list('config')).unwrap().version
            platform.restore(platform.copy())
            platform.faults = {'busy': True}
            before = store.calls
            refused = await store.watch('config', since, 5.0)
            return store.calls - before, refused.is_err()

        self.assertEqual((1, True), self.with_platform(scenario))

    def test_a_write_on_the_condition_of_an_earlier_epoch_changes_nothing(self):
        """Another writer's object has the revision that the first writer read, and is not its."""

        async def scenario(store, platform):
            copy = platform.copy()
            read = (await store.put('records', 'a', 'mine', ABSENT)).unwrap()
            platform.restore(copy)
            theirs = (await store.put('records', 'a', 'theirs', ABSENT)).unwrap()
            self.assertEqual(place_of(read.version).revision, place_of(theirs.version).revision)
            refused = [
                await store.put('records', 'a', 'mine again', read.version),
                await store.delete('records', 'a', read.version),
            ]
            return refused, (await store.get('records', 'a')).unwrap()

        refused, held = self.with_platform(scenario)
        self.assertEqual('theirs', held.value)
        self.assertEqual([Conflict(held)] * 2, [result.unwrap_err() for result in refused])

    def test_a_listing_that_spans_the_return_is_listed_anew(self):
        """The first pages are of objects that are gone, and the rest of those that are there."""

        async def scenario(store, platform):
            for name in 'abc':
                await store.put('records', name, 'kept', ABSENT)
            copy = platform.copy()
            await store.put('records', 'aa', 'lost', ABSENT)
            platform.faults = {'page': 1, 'delay': 1.0}
            listing = asyncio.create_task(store.list('records'))
            await asyncio.sleep(2.5)
            platform.restore(copy)
            mixed = (await listing).unwrap()
            platform.faults = {}
            return mixed, (await store.watch('records', mixed.version, 5.0)).unwrap()

        mixed, anew = self.with_platform(scenario)
        self.assertIn('lost', [held.value for held in mixed.objects])
        self.assertEqual(['a', 'b', 'c'], [held.name for held in anew.objects])


class RecordsTest(StoreCase):
    def test_a_record_changed_after_the_return_is_in_force(self):
        """Its revision is below that of the version held, which was lost with the store's."""

        async def scenario(store, platform):
            await store.put('records', 'cut-orders', {'record': build_document()}, ABSENT)
            sync = build_record_sync(store)
            platform.faults = {'delay': ANSWER}
            copy = platform.copy()
            await Operator(platform).spend_revisions(6)
            held = (await store.get('records', 'cut-orders')).unwrap()
            await store.put('records', 'cut-orders', {'record': None}, held.version)
            task = asyncio.create_task(sync.run())
            await asyncio.sleep(5)
            before = sync.book.find('cut-orders')
            platform.restore(copy)
            held = (await store.get('records', 'cut-orders')).unwrap()
            document = build_document(deadline=1.25)
            await store.put('records', 'cut-orders', {'record': document}, held.version)
            await asyncio.sleep(5)
            task.cancel()
            return before, sync.book.find('cut-orders').deadline

        self.assertEqual((None, 1.25), self.with_platform(scenario))


class FollowTest(StoreCase):
    def follow(self, scenario):
        async def run(store, platform):
            async with running_follower(store) as follower:
                return await scenario(platform, follower)

        return self.with_platform(run)

    async def drill(self, platform: Platform) -> None:
        """Follow r18 and r21, and come back from a copy that lacks r21 and all since r18."""
        operator = Operator(platform)
        await operator.configure('r18')
        copy = platform.copy()
        await operator.spend_revisions(6)
        await operator.configure('r21')
        await asyncio.sleep(IN_FORCE)
        platform.faults = {'down': True}
        await asyncio.sleep(AWAY)
        platform.restore(copy)
        platform.faults = {'delay': ANSWER}

    def test_a_change_made_after_the_store_came_back_older_is_in_force_in_time(self):
        """Callers are served by old routes, as the new revision is below the one held."""

        async def scenario(platform, follower):
            await self.drill(platform)
            await Operator(platform).configure('r21')
            await asyncio.sleep(IN_FORCE)
            await Operator(platform).configure('r23')
            await asyncio.sleep(IN_FORCE)
            return follower.version

        self.assertEqual(23, self.follow(scenario))

    def test_a_store_that_came_back_older_is_not_asked_without_a_pause(self):
        """The watchers take up a third of the store's rate until its counter is past theirs."""

        async def scenario(platform, follower):
            await self.drill(platform)
            await asyncio.sleep(IN_FORCE)
            before = platform.reads
            await asyncio.sleep(10)
            return platform.reads - before

        self.assertLess(self.follow(scenario), 10)

    def test_a_copy_that_is_older_than_what_is_in_force_reverts_nothing(self):
        """Callers are served by r18 until the operator has written r21 again."""

        async def scenario(platform, follower):
            await self.drill(platform)
            await asyncio.sleep(IN_FORCE)
            return follower.version

        self.assertEqual(21, self.follow(scenario))

    def test_an_older_copy_proves_nothing(self):
        """A key may be gone with what the store does not know: the lease must not run on."""

        async def scenario(platform, follower):
            await self.drill(platform)
            await asyncio.sleep(LONG)
            age = follower.configuration_lease.age
            await Operator(platform).configure('r21')
            await asyncio.sleep(IN_FORCE)
            return age, follower.configuration_lease.age

        before, after = self.follow(scenario)
        self.assertGreater(before, LONG)
        self.assertLess(after, LONG)

    def test_changes_are_in_force_after_each_of_three_returns(self):
        async def scenario(platform, follower):
            operator = Operator(platform)
            versions = []
            for number in range(3):
                await operator.configure(f'r{10 * number + 1}')
                copy = platform.copy()
                await operator.spend_revisions(5 - number)
                await asyncio.sleep(0.1)
                platform.restore(copy)
                await asyncio.sleep(0.5)
                await operator.configure(f'r{10 * number + 5}')
                await asyncio.sleep(IN_FORCE)
                versions.append(follower.version)
            return versions

        self.assertEqual([5, 15, 25], self.follow(scenario))

    def test_a_store_that_keeps_no_history_is_not_asked_without_a_pause(self):
        """Each watch is refused and lists at once: the watchers take up the store's rate."""

        async def scenario(platform, follower):
            await Operator(platform).configure('r18')
            platform.faults = {'delay': ANSWER, 'no_history': True}
            await asyncio.sleep(10)
            asked = platform.reads
            await Operator(platform).configure('r23')
            await asyncio.sleep(IN_FORCE)
            return asked, follower.version

        asked, version = self.follow(scenario)
        self.assertLess(asked, 50)
        self.assertEqual(23, version)


class FleetTest(MeshTest):
    def test_a_node_that_starts_from_the_copy_hears_what_is_in_force_from_its_peers(self):
        """It takes r7 of the copy, whose version is above that of r9 in the epoch before."""

        async def scenario(mesh):
            copy = dict(mesh.store.objects), mesh.store.revision
            await mesh.configure('r9')
            await asyncio.sleep(1)
            mesh.store.restore(*copy)
            await mesh.kill('b')
            await mesh.restart('b')
            await asyncio.sleep(SETTLE_SECONDS)
            restarted = mesh.nodes['b'].follower.version
            await mesh.configure('r12')
            await asyncio.sleep(IN_FORCE)
            return restarted, {node.follower.version for node in mesh.nodes.values()}

        self.assertEqual((9, {12}), self.run_mesh(scenario, targets=NAMES))

    def test_a_new_node_finds_the_others_though_the_copy_holds_no_roster(self):
        """It lists itself alone, knows no target, and refuses its callers until a keeper looks."""

        async def scenario(mesh):
            await asyncio.sleep(60)
            mesh.store.restore({}, 0)
            await mesh.configure('r7')
            await asyncio.sleep(IN_FORCE)
            node = await mesh.add_node('f', 'front', port=2000)
            await asyncio.sleep(IN_FORCE)
            return len(node.view)

        self.assertEqual(6, self.run_mesh(scenario, targets=NAMES))

    def test_nodes_that_the_store_turns_away_keep_up_through_the_return(self):
        """Their peers' versions are of another epoch than the last that they heard themselves."""

        async def scenario(mesh):
            copy = dict(mesh.store.objects), mesh.store.revision
            await mesh.configure('r9')
            await asyncio.sleep(1)
            mesh.nodes_without_store = {'a', 'c'}
            mesh.store.restore(*copy)
            await mesh.configure('r12')
            await asyncio.sleep(IN_FORCE)
            return {node.follower.version for node in mesh.nodes.values()}

        self.assertEqual({12}, self.run_mesh(scenario, targets=NAMES))
