from random import Random

from testtools import TestCase

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.records.diff import changed_fields
from dunlinsaddle.records.models import Rank, RecordEntry
from dunlinsaddle.records.record_cache import RecordCache
from dunlinsaddle.records.schema import MAX_RECORD_BYTES, decode_record, encode_record
from tests.builders import build_document, build_record

OLD = {
    'schema': 1,
    'service': 'cut-orders',
    'requests': [
        {'name': 'release', 'method': 'POST', 'path': '/r', 'priority': 0, 'idempotent': False}
    ],
    'deadline_seconds': 5.0,
    'retries': 3,
}


def random_document(rng: Random, good: dict) -> object:
    values = [None, True, 0, -1, 2**64, 1e400, float('nan'), '', 'x', b'x', [], [[]], {}, {0: 1}]
    match rng.randrange(4):
        case 0:
            return rng.choice(values)
        case 1:
            return {rng.choice([*good, 0, b'k', '']): rng.choice(values) for _ in range(4)}
        case 2:
            return {**good, rng.choice([*good, 0, 'more']): rng.choice(values[2:])}
        case _:
            rule = dict(good['requests'][0])
            rule[rng.choice([*rule, 0, 'more'])] = rng.choice(values[:12])
            return {**good, 'service': rng.choice(['a', 'cut-orders']), 'requests': [rule, rule]}


class SchemaTest(TestCase):
    def test_equal_records_in_both_schemas_differ_only_in_schema(self):
        rule = {'name': 'release', 'method': 'POST', 'path': '/r', 'idempotent': False}
        new = build_document(requests=[{**rule, 'rank': 'critical'}], deadline=5.0, retry_bound=3)
        self.assertEqual(['schema'], changed_fields(OLD, new))
        self.assertEqual(Rank.CRITICAL, decode_record(OLD).unwrap().rules[0].rank)

    def test_encoded_record_decodes_to_the_same_record(self):
        record = build_record(deadline=3.0, slots=5)
        self.assertEqual(record, decode_record(encode_record(record)).unwrap())

    def test_invalid_document_is_rejected_with_the_name_of_the_field(self):
        rule = OLD['requests'][0]
        cases = (
            ([], 'JSON object'),
            ({'service': 'a'}, 'schema'),
            (build_document(schema=True), 'schema'),
            (build_document(deadlin=1.0), 'deadlin:'),
            (build_document(deadline=0), 'deadline: 0'),
            (build_document(retry_bound=11), 'retry_bound: 11'),
            (build_document(service='Cut Orders'), "'Cut Orders'"),
            (build_document(targets={'slot': 1}), 'targets.slot'),
            (build_document(requests=[{'name': 'a'}]), 'method'),
            (build_document(requests=[rule]), 'requests[0].priority'),
            ({**OLD, 'requests': [rule, rule]}, 'two rules'),
            ({**OLD, 'requests': [{**rule, 'priority': 4}]}, 'requests[0].priority: 4'),
            ({**OLD, 'requests': [{**rule, 'path': 'r'}]}, "path 'r'"),
            ({**OLD, 'requests': [{**rule, 'method': 'post'}]}, "method 'post'"),
            ({**OLD, 'requests': [{**rule, 'name': 'x' * MAX_RECORD_BYTES}]}, 'at most 32768'),
        )
        for doc, text in cases:
            failure = decode_record(doc).unwrap_err()
            self.assertIs(ErrorKind.INVALID_RECORD, failure.kind)
            self.assertIn(text, failure.detail)

    def test_reordered_rules_count_as_a_change(self):
        rules = [{'name': name, 'method': 'GET', 'path': '/**'} for name in ('first', 'second')]
        new = build_document(requests=rules[::-1])
        self.assertEqual(['requests'], changed_fields(build_document(requests=rules), new))


class RecordBookTest(TestCase):
    def test_older_version_never_replaces_a_newer_one(self):
        # A late watch response, an outdated peer or a replayed push delivers an old version, also
        # of a record that has been deleted since.
        record_cache = RecordCache()
        old, new = RecordEntry('cut-orders', 3, OLD), RecordEntry('cut-orders', 5, None)
        self.assertTrue(record_cache.update_entry(new))
        self.assertFalse(record_cache.update_entry(old))
        self.assertFalse(record_cache.update_entry(new))
        self.assertIsNone(record_cache.find('cut-orders'))
        self.assertEqual([new], record_cache.documents_after(0))

    def test_node_with_the_old_schema_keeps_its_last_valid_record(self):
        # During an upgrade a node that supports only schema 1 receives schema 2. It keeps the
        # record that it could decode, reports the other and still forwards it.
        record_cache = RecordCache(newest_schema=1)
        record_cache.update_entry(RecordEntry('cut-orders', 3, OLD))
        newer = RecordEntry('cut-orders', 5, build_document())
        self.assertTrue(record_cache.update_entry(newer))
        self.assertEqual(
            (3, 5.0), (record_cache.version('cut-orders'), record_cache.find('cut-orders').deadline)
        )
        self.assertEqual(5, record_cache.unreadable['cut-orders'].version)
        self.assertIn('schema: 2 is newer than 1', record_cache.unreadable['cut-orders'].why)
        self.assertEqual([newer], record_cache.documents_after(3))
        record_cache.update_entry(RecordEntry('cut-orders', 6, {**OLD, 'retries': 1}))
        self.assertEqual((6, {}), (record_cache.version('cut-orders'), record_cache.unreadable))

    def test_undecodable_record_leaves_the_record_in_force(self):
        record_cache = RecordCache()
        record_cache.update_entry(RecordEntry('cut-orders', 3, build_document()))
        for version, doc in enumerate(('text', 7, [], {'schema': 2}, build_document('other')), 4):
            record_cache.update_entry(RecordEntry('cut-orders', version, doc))
            self.assertEqual(3, record_cache.version('cut-orders'))
            self.assertEqual(version, record_cache.unreadable['cut-orders'].version)

    def test_random_documents_never_raise_and_never_apply_partly(self):
        # A faulty peer, or one of another version, may send anything that MessagePack can encode.
        # An exception would close the link, and a partly decoded record must never be in force.
        rng = Random(4)
        record_cache = RecordCache()
        record_cache.update_entry(RecordEntry('cut-orders', 1, build_document()))
        good = build_document(deadline=1.0, targets={'slots': 1})
        unreadable = 0
        for version in range(2, 3002):
            before = record_cache.version('cut-orders'), record_cache.find('cut-orders')
            doc = random_document(rng, good)
            record_cache.update_entry(RecordEntry('cut-orders', version, doc))
            if record_cache.version('cut-orders') == version:
                expected = None if doc is None else decode_record(doc).unwrap()
                self.assertEqual(expected, record_cache.find('cut-orders'))
                continue
            unreadable += 1
            self.assertEqual(
                before, (record_cache.version('cut-orders'), record_cache.find('cut-orders'))
            )
            self.assertEqual(version, record_cache.unreadable['cut-orders'].version)
        self.assertGreater(unreadable, 2000)

    def test_complete_revision_does_not_advance_over_a_gap(self):
        record_cache = RecordCache()
        record_cache.mark_complete(0, 4)
        record_cache.mark_complete(6, 9)
        self.assertEqual(4, record_cache.complete_version)
        record_cache.mark_complete(2, 7)
        record_cache.mark_complete(0, 5)
        self.assertEqual(7, record_cache.complete_version)
