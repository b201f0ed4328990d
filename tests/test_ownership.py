from itertools import pairwise

import msgspec
from testtools import TestCase

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.key_table import (
    FUTURE_MARGIN_MS,
    KeyRefused,
    KeyStarted,
    KeyTable,
    StoredAnswer,
)
from dunlinsaddle.policy.ownership import (
    CLAIM_BELOW_MS,
    DEFAULT_HORIZON_MS,
    EXTEND_BELOW_SHARE,
    HANDOVER_BACKDATE_MS,
    TAKEOVER_MARGIN_MS,
    Interval,
    ListenerIdentity,
    Owner,
    PlanContext,
    RangeMap,
    RangePlan,
    decode_range_map,
    encode_range_map,
    plan_ranges,
)

NOW = 1_000_000_000
EXTENSION_DUE_MS = int(EXTEND_BELOW_SHARE * DEFAULT_HORIZON_MS)
A, B = Owner('bangor-1', 'a1'), Owner('caernarfon-1', 'b1')
BOTH = (A.instance, B.instance)


def build_map(*intervals: Interval, present=None) -> RangeMap:
    return RangeMap((tuple(intervals),) * 64, present or {A.instance: A.epoch, B.instance: B.epoch})


def make_plan(ranges: RangeMap, owner: Owner, serving=BOTH, **changes) -> RangePlan | None:
    context = PlanContext(owner, serving, NOW, {})._replace(**changes)
    return plan_ranges('cut-orders', ranges, context)


class PlanTest(TestCase):
    def assert_disjoint(self, ranges: RangeMap):
        for intervals in ranges.ranges:
            for earlier, later in pairwise(intervals):
                self.assertLessEqual(earlier.until, later.start)

    def test_two_new_nodes_share_the_ranges(self):
        first = make_plan(RangeMap(), A)
        second = make_plan(first.range_map, B)
        owners = [intervals[-1].owner for intervals in second.range_map.ranges]
        self.assertEqual(64, len(owners))
        self.assertTrue(20 < owners.count(A) < 44, owners.count(A))
        self.assertIsNone(make_plan(second.range_map, A))

    def test_owner_extends_only_when_due(self):
        long = build_map(Interval(A, 0, NOW + EXTENSION_DUE_MS))
        self.assertIsNone(make_plan(long, A, (A.instance,)))
        due = make_plan(build_map(Interval(A, 0, NOW + EXTENSION_DUE_MS - 1)), A, (A.instance,))
        self.assertEqual(
            {NOW + DEFAULT_HORIZON_MS}, {row[-1].until for row in due.range_map.ranges}
        )

    def test_successor_starts_where_an_unresponsive_owner_ends(self):
        # An owner that is cut off from the platform continues with its old map. If the successor
        # started at its own current time, both would run keys created before the owner's end.
        until = NOW + CLAIM_BELOW_MS - 1
        claimed = make_plan(build_map(Interval(A, 0, until)), B).range_map
        self.assertEqual({(B, until)}, {(r[-1].owner, r[-1].start) for r in claimed.ranges})
        self.assert_disjoint(claimed)
        early = make_plan(build_map(Interval(A, 0, NOW + CLAIM_BELOW_MS)), B)
        self.assertIsNone(early)

    def test_leaving_owner_closes_after_its_last_accepted_key(self):
        ahead = NOW + 20_000
        left = make_plan(
            build_map(Interval(A, 0, NOW + DEFAULT_HORIZON_MS)),
            A,
            is_leaving=True,
            latest_births={3: ahead},
        )
        self.assertEqual(ahead + 1, left.range_map.ranges[3][0].until)
        self.assertEqual(NOW - HANDOVER_BACKDATE_MS, left.range_map.ranges[4][0].until)
        self.assertEqual({B}, {row[-1].owner for row in left.range_map.ranges})
        self.assertNotIn(A.instance, left.range_map.present_epochs)
        self.assert_disjoint(left.range_map)

    def test_last_instance_to_leave_hands_its_ranges_to_no_one(self):
        left = make_plan(
            build_map(Interval(A, 0, NOW + DEFAULT_HORIZON_MS)), A, (A.instance,), is_leaving=True
        )
        self.assertEqual({1}, {len(row) for row in left.range_map.ranges})
        self.assertIsNone(make_plan(left.range_map, A, (A.instance,), is_leaving=True, now=NOW + 5))

    def test_restarted_node_is_not_the_owner_that_it_was_before(self):
        restarted = Owner(A.instance, 'a2')
        until = NOW + CLAIM_BELOW_MS - 1
        claimed = make_plan(build_map(Interval(A, 0, until)), restarted, (A.instance,))
        self.assertEqual(
            {(restarted, until)}, {(r[-1].owner, r[-1].start) for r in claimed.range_map.ranges}
        )
        self.assertEqual('a2', claimed.range_map.present_epochs[A.instance])

    def test_later_run_at_the_same_endpoint_takes_over_from_a_killed_owner_early(self):
        # The owner's clock was 20 s ahead of its successor's, so it may have run keys created up
        # to 50 s from now, and its interval is closed after those. A run at another endpoint
        # waits for the interval to end.
        restarted, origin = Owner(A.instance, 'a2'), 5_000_000
        former = build_map(Interval(A, 0, NOW + DEFAULT_HORIZON_MS))
        former = former._replace(listeners={A.epoch: ListenerIdentity('here', origin + 20_000)})
        taken = make_plan(
            former, restarted, (A.instance,), listener=ListenerIdentity('here', origin)
        ).range_map
        end = NOW + 20_000 + TAKEOVER_MARGIN_MS
        wanted = (Interval(A, 0, end), Interval(restarted, end, end + DEFAULT_HORIZON_MS))
        self.assertEqual({wanted}, set(taken.ranges))
        self.assertEqual({restarted.epoch: ListenerIdentity('here', origin)}, taken.listeners)
        self.assertEqual(taken, decode_range_map(encode_range_map(taken)))
        for listener in (None, ListenerIdentity('there', origin)):
            waiting_plan = make_plan(former, restarted, (A.instance,), listener=listener)
            self.assertEqual(former.ranges, waiting_plan.range_map.ranges)

    def test_run_is_superseded_only_by_a_newer_one(self):
        # A run that owns no interval, such as a node that only claims opaque keys, is not
        # registered: the registered epoch is that of an older run, and the newer run is alive.
        ranges = build_map(Interval(A, 0, NOW), present={A.instance: 'a2', B.instance: 'b0'})
        self.assertEqual((True, False), (ranges.is_superseded(A), ranges.is_superseded(B)))
        self.assertFalse(build_map(Interval(A, 0, NOW)).is_superseded(A))

    def test_stored_map_decodes_to_the_same_map(self):
        ranges = make_plan(RangeMap(), A).range_map
        self.assertEqual(ranges, decode_range_map(encode_range_map(ranges)))
        for value in (None, {}, {'owners': []}):
            self.assertRaises(msgspec.ValidationError, decode_range_map, value)
        empty = {'owners': [], 'ranges': [], 'present': {}}
        self.assertRaises(ValueError, decode_range_map, empty)


class KeyTableTest(TestCase):
    def build_table(self, **bounds) -> KeyTable[str]:
        table: KeyTable[str] = KeyTable(**bounds)
        self.assertEqual(KeyStarted(), table.begin('k', NOW, 1, NOW))
        return table

    def test_lookup_result_depends_on_the_state(self):
        table = self.build_table()
        self.assertEqual(KeyRefused(ErrorKind.KEY_IN_PROGRESS), table.lookup('k', 1))
        self.assertEqual(KeyRefused(ErrorKind.KEY_REUSED), table.lookup('k', 2))
        table.complete('k', 'answer', 6)
        self.assertEqual(StoredAnswer('answer'), table.lookup('k', 1))
        table.mark_unknown('k')
        self.assertEqual(KeyRefused(ErrorKind.OUTCOME_UNKNOWN), table.lookup('k', 1))
        table.forget('k')
        self.assertIsNone(table.lookup('k', 1))

    def test_key_below_the_floor_never_runs_again(self):
        # A longer window or a clock set back would otherwise make a key acceptable again after
        # its entry has been dropped.
        table = self.build_table()
        table.raise_floor(NOW + 1)
        table.raise_floor(NOW - 5000)
        self.assertIsNone(table.lookup('k', 1))
        self.assertEqual(KeyRefused(ErrorKind.KEY_EXPIRED), table.begin('k', NOW, 1, NOW - 5000))

    def test_keys_from_the_future_are_refused(self):
        late = NOW + FUTURE_MARGIN_MS
        self.assertEqual(KeyStarted(), KeyTable().begin('k', late, 1, NOW))
        self.assertEqual(
            KeyRefused(ErrorKind.KEY_IN_FUTURE), KeyTable().begin('k', late + 1, 1, NOW)
        )

    def test_full_table_expires_its_oldest_keys(self):
        table = self.build_table(max_keys=10)
        for number in range(1, 50):
            self.assertEqual(KeyStarted(), table.begin(f'k{number}', NOW + number, 1, NOW))
        self.assertLessEqual(len(table), 10)
        self.assertEqual(KeyRefused(ErrorKind.KEY_EXPIRED), table.begin('k', NOW, 1, NOW))

    def test_records_of_a_former_owner_take_at_most_half_of_the_table(self):
        # A key that was still running counts as unknown. Records beyond half of the table are
        # dropped: raising the floor for them would expire the new owner's own keys.
        former = self.build_table()
        for number in range(9):
            former.begin(f'k{number}', NOW, 1, NOW)
            former.complete(f'k{number}', 'answer', 30)
        successor: KeyTable[str] = KeyTable(max_keys=10, max_bytes=60)
        for record in [*former.export_records(), *former.export_records()]:
            successor.import_record(record)
        self.assertEqual((5, 0), (len(successor), successor.floor))
        self.assertEqual(KeyRefused(ErrorKind.OUTCOME_UNKNOWN), successor.lookup('k', 1))
        self.assertEqual(StoredAnswer('answer'), successor.lookup('k0', 1))
        self.assertEqual(KeyRefused(ErrorKind.ANSWER_GONE), successor.lookup('k1', 1))
        self.assertEqual(KeyRefused(ErrorKind.KEY_REUSED), successor.lookup('k1', 2))

    def test_answers_are_bounded_and_keys_without_an_answer_count_as_done(self):
        table = self.build_table(max_bytes=100)
        table.complete('k', 'first', 60)
        table.begin('l', NOW, 1, NOW)
        table.complete('l', 'second', 60)
        self.assertEqual(KeyRefused(ErrorKind.ANSWER_GONE), table.lookup('k', 1))
        self.assertEqual(StoredAnswer('second'), table.lookup('l', 1))
        self.assertEqual(60, table.answer_bytes)
        table.begin('m', NOW, 1, NOW)
        table.complete('m', 'large', 1 << 20)
        self.assertEqual(KeyRefused(ErrorKind.ANSWER_GONE), table.lookup('m', 1))
