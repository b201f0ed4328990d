"""The store is restored from an older copy, so it assigns the same revisions again."""

import asyncio

import msgspec

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.platform.store import ABSENT, Conflict, StorePosition, version_to_position
from standins.platform import EMPTY_COPY, Platform
from tests.builders import build_configuration, build_document, build_record_sync, running_follower
from tests.mesh_case import SETTLE_SECONDS, MeshTest
from tests.store_case import StoreClientTestCase

EFFECTIVE_SECONDS = 2.0  #: within which a change must take effect
OUTAGE_SECONDS = 2.6  #: for which the store answers no call
#: Longer than one watch, whose answer renews the lease as of the sending of the watch.
LONGER_THAN_WATCH_SECONDS = 6.0
NAMES = ('a:front', 'b:deep', 'c:front', 'd:deep', 'e:front')
#: Delay of the store's answers; without one, a loop that does not pause would never end.
ANSWER_DELAY_SECONDS = 0.004


class Operator:
    """Writes to the store directly, unaffected by the faults that other clients see."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    async def configure(self, version: str) -> None:
        await self._write('config', 'main', build_configuration(version))

    async def spend_revisions(self, count: int) -> None:
        """Advance the store's revision by writing objects that nobody watches."""
        for number in range(count):
            await self._write('other', f'o{number}', self.platform.revision)

    async def _write(self, kind: str, name: str, value: object) -> None:
        method, path = 'POST', f'/objects/{kind}'
        if (kind, name) in self.platform.objects:
            method, path = 'PUT', f'{path}/{name}'
        body = msgspec.json.encode({'metadata': {'name': name}, 'specification': value})
        await self.platform.handle(HttpRequest(method, path, [], body, ''))


class ClientTest(StoreClientTestCase):
    def test_change_is_not_missed_when_its_revision_is_assigned_again(self):
        """The store passes the watcher's revision before the next watch: it does not answer 410."""

        async def scenario(store, platform):
            operator = Operator(platform)
            copy = platform.copy()
            await operator.spend_revisions(3)
            since = (await store.list('config')).unwrap().version
            platform.restore(copy)
            await operator.configure('r23')
            await operator.spend_revisions(6)
            return (await store.watch('config', since, 5.0)).unwrap()

        listing = self.run_with_platform(scenario)
        self.assertEqual(['r23'], [held.value['version'] for held in listing.objects])
        self.assertEqual(StorePosition(1, 8), version_to_position(listing.version))

    def test_refused_watch_costs_one_call(self):
        """A refusal names the new epoch: all watchers of a failing store might call it twice."""

        async def scenario(store, platform):
            since = (await store.list('config')).unwrap().version
            platform.restore(platform.copy())
            platform.faults = {'busy': True}
            before = store.calls
            refused = await store.watch('config', since, 5.0)
            return store.calls - before, refused.is_err()

        self.assertEqual((1, True), self.run_with_platform(scenario))

    def test_conditional_write_with_a_version_of_an_earlier_epoch_changes_nothing(self):
        """Another writer's object has the same revision as the lost one that was read before."""

        async def scenario(store, platform):
            copy = platform.copy()
            read = (await store.put('records', 'a', 'mine', ABSENT)).unwrap()
            platform.restore(copy)
            theirs = (await store.put('records', 'a', 'theirs', ABSENT)).unwrap()
            self.assertEqual(
                version_to_position(read.version).revision,
                version_to_position(theirs.version).revision,
            )
            refused = [
                await store.put('records', 'a', 'mine again', read.version),
                await store.delete('records', 'a', read.version),
            ]
            return refused, (await store.get('records', 'a')).unwrap()

        refused, held = self.run_with_platform(scenario)
        self.assertEqual('theirs', held.value)
        self.assertEqual([Conflict(held)] * 2, [result.unwrap_err() for result in refused])

    def test_listing_that_spans_the_restore_is_repeated(self):
        """The first pages are from before the restore, the others from after it."""

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

        mixed, repeated = self.run_with_platform(scenario)
        self.assertIn('lost', [held.value for held in mixed.objects])
        self.assertEqual(['a', 'b', 'c'], [held.name for held in repeated.objects])


class RecordsTest(StoreClientTestCase):
    def test_record_changed_after_the_restore_takes_effect(self):
        """The new revision is lower than the one that this node holds and the store has lost."""

        async def scenario(store, platform):
            await store.put('records', 'cut-orders', {'record': build_document()}, ABSENT)
            sync = build_record_sync(store)
            platform.faults = {'delay': ANSWER_DELAY_SECONDS}
            copy = platform.copy()
            await Operator(platform).spend_revisions(6)
            held = (await store.get('records', 'cut-orders')).unwrap()
            await store.put('records', 'cut-orders', {'record': None}, held.version)
            task = asyncio.create_task(sync.run())
            await asyncio.sleep(5)
            before = sync.record_cache.find('cut-orders')
            platform.restore(copy)
            held = (await store.get('records', 'cut-orders')).unwrap()
            document = build_document(deadline=1.25)
            await store.put('records', 'cut-orders', {'record': document}, held.version)
            await asyncio.sleep(5)
            task.cancel()
            return before, sync.record_cache.find('cut-orders').deadline

        self.assertEqual((None, 1.25), self.run_with_platform(scenario))


class ConfigFollowerTest(StoreClientTestCase):
    def run_follower(self, scenario):
        async def run(store, platform):
            async with running_follower(store) as follower:
                return await scenario(platform, follower)

        return self.run_with_platform(run)

    async def restore_older_copy(self, platform: Platform) -> None:
        """Write r18 and r21, and restore a copy that lacks r21 and all writes since r18."""
        operator = Operator(platform)
        await operator.configure('r18')
        copy = platform.copy()
        await operator.spend_revisions(6)
        await operator.configure('r21')
        await asyncio.sleep(EFFECTIVE_SECONDS)
        platform.faults = {'down': True}
        await asyncio.sleep(OUTAGE_SECONDS)
        platform.restore(copy)
        platform.faults = {'delay': ANSWER_DELAY_SECONDS}

    def test_change_made_after_the_restore_takes_effect_in_time(self):
        """If revisions were compared, the old routes would stay: the new revision is lower."""

        async def scenario(platform, follower):
            await self.restore_older_copy(platform)
            await Operator(platform).configure('r21')
            await asyncio.sleep(EFFECTIVE_SECONDS)
            await Operator(platform).configure('r23')
            await asyncio.sleep(EFFECTIVE_SECONDS)
            return follower.version

        self.assertEqual(23, self.run_follower(scenario))

    def test_restored_store_is_not_called_without_a_pause(self):
        """Watchers used a third of the store's capacity until its revision had passed theirs."""

        async def scenario(platform, follower):
            await self.restore_older_copy(platform)
            await asyncio.sleep(EFFECTIVE_SECONDS)
            before = platform.read_count
            await asyncio.sleep(10)
            return platform.read_count - before

        self.assertLess(self.run_follower(scenario), 10)

    def test_restored_older_configuration_does_not_replace_the_newer_one(self):
        """Requests would be routed by r18 until the operator writes r21 again."""

        async def scenario(platform, follower):
            await self.restore_older_copy(platform)
            await asyncio.sleep(EFFECTIVE_SECONDS)
            return follower.version

        self.assertEqual(21, self.run_follower(scenario))

    def test_older_copy_does_not_renew_the_lease(self):
        """A configuration that the store has lost may revoke keys, so the lease must expire."""

        async def scenario(platform, follower):
            await self.restore_older_copy(platform)
            await asyncio.sleep(LONGER_THAN_WATCH_SECONDS)
            age = follower.configuration_lease.age
            await Operator(platform).configure('r21')
            await asyncio.sleep(EFFECTIVE_SECONDS)
            return age, follower.configuration_lease.age

        before, after = self.run_follower(scenario)
        self.assertGreater(before, LONGER_THAN_WATCH_SECONDS)
        self.assertLess(after, LONGER_THAN_WATCH_SECONDS)

    def test_changes_take_effect_after_each_of_three_restores(self):
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
                await asyncio.sleep(EFFECTIVE_SECONDS)
                versions.append(follower.version)
            return versions

        self.assertEqual([5, 15, 25], self.run_follower(scenario))

    def test_store_without_history_is_not_called_without_a_pause(self):
        """Each watch returns a listing at once, so watchers could use up the store's capacity."""

        async def scenario(platform, follower):
            await Operator(platform).configure('r18')
            platform.faults = {'delay': ANSWER_DELAY_SECONDS, 'no_history': True}
            await asyncio.sleep(10)
            read_count = platform.read_count
            await Operator(platform).configure('r23')
            await asyncio.sleep(EFFECTIVE_SECONDS)
            return read_count, follower.version

        read_count, version = self.run_follower(scenario)
        self.assertLess(read_count, 50)
        self.assertEqual(23, version)


class FleetTest(MeshTest):
    def test_node_that_starts_after_the_restore_gets_the_newer_configuration_from_peers(self):
        """It reads r7 from the copy; its store version is above that of r9 in the earlier epoch."""

        async def scenario(mesh):
            copy = mesh.store.platform.copy()
            await mesh.configure('r9')
            await asyncio.sleep(1)
            mesh.store.platform.restore(copy)
            await mesh.kill('b')
            await mesh.restart('b')
            await asyncio.sleep(SETTLE_SECONDS)
            restarted = mesh.nodes['b'].follower.version
            await mesh.configure('r12')
            await asyncio.sleep(EFFECTIVE_SECONDS)
            return restarted, {node.follower.version for node in mesh.nodes.values()}

        self.assertEqual((9, {12}), self.run_mesh(scenario, targets=NAMES))

    def test_new_node_discovers_the_others_although_the_copy_has_no_roster(self):
        """It would know no target and refuse its callers until a coordinator updates the roster."""

        async def scenario(mesh):
            await asyncio.sleep(60)
            mesh.store.platform.restore(EMPTY_COPY)
            await mesh.configure('r7')
            await asyncio.sleep(EFFECTIVE_SECONDS)
            node = await mesh.add_node('f', 'front', port=2000)
            await asyncio.sleep(EFFECTIVE_SECONDS)
            return len(node.view)

        self.assertEqual(6, self.run_mesh(scenario, targets=NAMES))

    def test_nodes_refused_by_the_store_stay_up_to_date_through_the_restore(self):
        """The store versions of their peers are from another epoch than their own last one."""

        async def scenario(mesh):
            copy = mesh.store.platform.copy()
            await mesh.configure('r9')
            await asyncio.sleep(1)
            mesh.nodes_without_store = {'a', 'c'}
            mesh.store.platform.restore(copy)
            await mesh.configure('r12')
            await asyncio.sleep(EFFECTIVE_SECONDS)
            return {node.follower.version for node in mesh.nodes.values()}

        self.assertEqual({12}, self.run_mesh(scenario, targets=NAMES))
