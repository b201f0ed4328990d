import asyncio
import itertools

import msgspec
from result import Err, Ok

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.platform.store import Unavailable
from dunlinsaddle.records.changes import Change, apply_change
from dunlinsaddle.records.history import (
    AUDIT_KIND,
    MAX_HISTORY_BYTES,
    RECORD_KIND,
    archive_oldest_entries,
    read_audit,
    read_history,
    read_record_object,
)
from tests.builders import build_change, build_document
from tests.clock import PausedClockTest
from tests.fakes.store import FakeStore


class ChangesTest(PausedClockTest):
    def setUp(self):
        super().setUp()
        self.store = FakeStore()

    def apply(self, change: Change, newest_schema: int = 2):
        return self.run_paused(apply_change(self.store, change, newest_schema))

    def read_trail(self, service: str = 'cut-orders'):
        return self.run_paused(read_history(self.store, service)).unwrap()

    def test_trail_has_one_entry_per_accepted_change_with_versions_before_and_after(self):
        first = self.apply(build_change('a')).unwrap()
        changed = build_change('b', doc=build_document(deadline=2.0), expected=first.version)
        second = self.apply(changed).unwrap()
        refused = self.apply(build_change('c', expected=first.version))
        self.assertIsInstance(refused, Err)
        lines = self.read_trail()
        self.assertEqual(['a', 'b'], [line.id for line in lines])
        self.assertEqual([0, first.version], [line.before for line in lines])
        self.assertEqual([first.version, second.version], [line.after for line in lines])
        self.assertEqual(['deadline'], lines[1].changed)

    def test_write_with_a_lost_response_is_reported_as_done_and_made_once(self):
        # The platform performs the write and its response is lost. Reading back finds the id of
        # the change, so it is reported as done. When the operator sends it again, the change is
        # found and not made a second time.
        self.store.lose_answers = 1
        accepted = self.apply(build_change('a')).unwrap()
        again = self.apply(build_change('a')).unwrap()
        self.assertEqual((True, True), (accepted.settled, again.settled))
        self.assertEqual(accepted.version, again.version)
        self.assertEqual(1, self.store.revision)

    def test_resend_after_a_later_change_returns_the_version_of_the_first_write(self):
        # The response is lost, another operator changes the record, and the first operator sends
        # again. Compared by version alone, the change would conflict with itself.
        first = self.apply(build_change('a')).unwrap()
        self.apply(build_change('b', doc=build_document(deadline=2.0), expected=first.version))
        again = self.apply(build_change('a')).unwrap()
        self.assertEqual((first.version, True), (again.version, again.settled))
        self.assertEqual(2, self.store.revision)

    def test_resend_after_a_delete_does_not_recreate_the_record(self):
        # A create is allowed on a tombstone. Only the id in the trail prevents a late resend of
        # the create from undoing the delete.
        first = self.apply(build_change('a')).unwrap()
        self.apply(build_change('b', doc=None, expected=first.version))
        self.assertTrue(self.apply(build_change('a')).unwrap().settled)
        self.assertIsNone(self.store.objects[RECORD_KIND, 'cut-orders'].value['record'])

    def test_reused_id_of_another_change_is_rejected(self):
        self.apply(build_change('a'))
        rejected = self.apply(build_change('a', doc=build_document(deadline=2.0))).unwrap_err()
        self.assertIs(ErrorKind.KEY_REUSED, rejected.failure.kind)

    def test_write_that_never_arrived_is_reported_as_unavailable(self):
        self.store.drop_writes = 9
        rejected = self.apply(build_change('a')).unwrap_err()
        self.assertIs(ErrorKind.PLATFORM_UNAVAILABLE, rejected.failure.kind)
        self.store.drop_writes = 0
        self.assertFalse(self.apply(build_change('a')).unwrap().settled)
        self.assertEqual(1, len(self.read_trail()))

    def test_concurrent_change_is_rejected_with_the_author_and_fields_of_the_other(self):
        # Both operators read the same version and write at the same time to a slow platform.
        first = self.apply(build_change('a')).unwrap()
        self.store.delay = 0.05
        ann = build_change('b', who='ann', doc=build_document(deadline=2.0), expected=first.version)
        bob = build_change('c', who='bob', doc=build_document(retry_bound=5), expected=ann.expected)

        async def race():
            return await asyncio.gather(
                apply_change(self.store, ann), apply_change(self.store, bob)
            )

        accepted_result, rejected_result = self.run_paused(race())
        self.assertIsInstance(accepted_result, Ok)
        rejected = rejected_result.unwrap_err()
        self.assertIs(ErrorKind.VERSION_CONFLICT, rejected.failure.kind)
        self.assertIn('changed by ann at 2023-11-14T22:13:20Z (deadline)', rejected.failure.detail)
        self.assertEqual(['deadline'], rejected.conflict.their_fields)
        self.assertEqual(['deadline', 'retry_bound'], rejected.conflict.your_fields)
        self.assertEqual(accepted_result.unwrap().version, rejected.conflict.version)

    def test_concurrent_changes_with_lost_responses_leave_one_entry_per_accepted_change(self):
        # Twelve operators change one record at once and every third write response is lost. Each
        # retries with the version of the conflict until its change is accepted.
        response_lost = itertools.cycle([False, False, True])

        class Lossy(FakeStore):
            async def put(self, *args):
                result = await super().put(*args)
                return (
                    Err(Unavailable('lost')) if next(response_lost) and result.is_ok() else result
                )

        self.store = Lossy()
        self.store.delay = 0.01

        async def operator(number):
            expected = 0
            while True:
                doc = build_document(deadline=1.0 + number)
                change = build_change(f'{number}/{expected}', doc=doc, expected=expected)
                match await apply_change(self.store, change):
                    case Ok(accepted):
                        return accepted.version
                    case Err(rejected):
                        assert rejected.conflict is not None, rejected
                        expected = rejected.conflict.version

        async def all_operators():
            return await asyncio.gather(*map(operator, range(12)))

        versions = self.run_paused(all_operators())
        lines = self.read_trail()
        self.assertEqual(sorted(versions), [line.after for line in lines])
        self.assertEqual([0, *sorted(versions)[:-1]], [line.before for line in lines])

    def test_long_trail_is_moved_to_audit_objects_without_loss(self):
        version = 0
        for number in range(400):
            doc = build_document(deadline=1.0 + number)
            change = build_change(str(number), doc=doc, expected=version, why='x' * 200)
            version = self.apply(change).unwrap().version
        self.assertEqual([str(n) for n in range(400)], [line.id for line in self.read_trail()])
        audit = self.run_paused(read_audit(self.store)).unwrap()
        self.assertEqual(400, len(audit))
        sizes = [len(msgspec.json.encode(o.value)) for o in self.store.objects.values()]
        self.assertGreater(len([k for k, _ in self.store.objects if k == AUDIT_KIND]), 0)
        self.assertLess(max(sizes), 2 * MAX_HISTORY_BYTES)

    def test_audit_since_a_time_reads_no_audit_objects_that_it_does_not_need(self):
        version = 0
        for number in range(100):
            change = build_change(
                str(number), expected=version, when=1000.0 + number, why='x' * 300
            )
            change = change._replace(doc=build_document(deadline=1.0 + number))
            version = self.apply(change).unwrap().version
        before = self.store.calls
        lines = self.run_paused(read_audit(self.store, 1098.0)).unwrap()
        self.assertEqual((['98', '99'], 1), ([e.id for e in lines], self.store.calls - before))

    def test_interrupted_move_to_an_audit_object_is_completed_by_the_next_writer(self):
        # A writer copies the oldest entries to an audit object and fails before it writes the
        # record. The next writer uses that copy, which is shorter than its own would be.
        version = 0
        for number in range(10):
            doc = build_document(deadline=1.0 + number)
            version = (
                self.apply(build_change(str(number), doc=doc, expected=version)).unwrap().version
            )
        value = read_record_object(self.store.objects[RECORD_KIND, 'cut-orders'])
        partial = {**value, 'history': value['history'][:6]}
        self.run_paused(archive_oldest_entries(self.store, 'cut-orders', partial, 10))
        archived_value = self.run_paused(
            archive_oldest_entries(self.store, 'cut-orders', value, 10)
        ).unwrap()
        self.assertEqual(
            [str(n) for n in range(3, 10)], [e['id'] for e in archived_value['history']]
        )
        self.assertEqual(1, archived_value['archived'])

    def test_older_tool_cannot_overwrite_a_newer_schema(self):
        # A tool with the old schema reads a record, changes it and writes it back: the fields
        # that it does not know would be silently lost.
        old = {'schema': 1, 'service': 'cut-orders', 'requests': []}
        first = self.apply(build_change('a')).unwrap()
        change = build_change('b', doc=old, expected=first.version)
        rejected = self.apply(change, newest_schema=1).unwrap_err()
        self.assertIs(ErrorKind.NEWER_SCHEMA, rejected.failure.kind)
        self.assertIsInstance(self.apply(change._replace(downgrade=True)), Ok)
        upgraded = build_change('c', expected=self.read_trail()[-1].after)
        self.assertIn('schema', self.apply(upgraded).unwrap().changed)

    def test_trail_of_a_newer_version_is_preserved_or_the_change_rejected(self):
        first = self.apply(build_change('a')).unwrap()
        stored = self.store.objects[RECORD_KIND, 'cut-orders']
        stored.value['history'][0]['ticket'] = 'OPS-7'
        stored.value['labels'] = ['kept']
        change = build_change('b', doc=build_document(deadline=2.0), expected=first.version)
        self.apply(change)
        value = self.store.objects[RECORD_KIND, 'cut-orders'].value
        self.assertEqual(('OPS-7', ['kept']), (value['history'][0]['ticket'], value['labels']))
        value['history'][0] = {'another': 'shape'}
        rejected = self.apply(build_change('c', expected=2)).unwrap_err()
        self.assertIs(ErrorKind.NEWER_SCHEMA, rejected.failure.kind)

    def test_delete_of_a_missing_record_and_invalid_texts_are_rejected(self):
        cases = (
            (build_change('a', doc=None), ErrorKind.UNKNOWN_SERVICE),
            (build_change('a', who=' '), ErrorKind.INVALID_RECORD),
            (build_change('a', why='x' * 501), ErrorKind.INVALID_RECORD),
            (build_change('a', service='slab-stock'), ErrorKind.INVALID_RECORD),
            (build_change('a', expected=3), ErrorKind.VERSION_CONFLICT),
        )
        for change, kind in cases:
            self.assertIs(kind, self.apply(change).unwrap_err().failure.kind)
        self.assertEqual(0, self.store.revision)
