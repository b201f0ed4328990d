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
DUE = int(EXTEND_BELOW_SHARE * DEFAULT_HORIZON_MS)
A, B = Owner('bangor-1', 'a1'), Owner('caernarfon-1', 'b1')
BOTH = (A.instance, B.instance)


def held(*last: Interval, present=None) -> RangeMap:
    return RangeMap((tuple(last),) * 64, present or {A.instance: A.epoch, B.instance: B.epoch})


def plan(ranges: RangeMap, me: Owner, serving=BOTH, **changes) -> RangePlan | None:
    here = PlanContext(me, serving, NOW, {})._replace(**changes)
    return plan_ranges('cut-orders', ranges, here)


class PlanTest(TestCase):
    def assert_disjoint(self, ranges: RangeMap):
        for intervals in ranges.ranges:
            for earlier, later in pairwise(intervals):
                self.assertLessEqual(earlier.until, later.start)

    def test_two_fresh_nodes_share_the_ranges(self):
        first = plan(RangeMap(), A)
        second = plan(first.range_map, B)
        owners = [intervals[-1].owner for intervals in second.range_map.ranges]
        self.assertEqual(64, len(owners))
        self.assertTrue(20 < owners.count(A) < 44, owners.count(A))
        self.assertIsNone(plan(second.range_map, A))

    def test_an_owner_extends_only_when_it_is_due(self):
        long = held(Interval(A, 0, NOW + DUE))
        self.assertIsNone(plan(long, A, (A.instance,)))
        due = plan(held(Interval(A, 0, NOW + DUE - 1)), A, (A.instance,))
        self.assertEqual(
            {NOW + DEFAULT_HORIZON_MS}, {row[-1].until for row in due.range_map.ranges}
        )

    def test_a_successor_starts_where_the_silent_owner_ends(self):
        # The owner is cut off from the platform and goes on by its old map. Were the successor
        # to start at its own "now", both would run keys born before the owner's end.
        until = NOW + CLAIM_BELOW_MS - 1
        claimed = plan(held(Interval(A, 0, until)), B).range_map
        self.assertEqual({(B, until)}, {(r[-1].owner, r[-1].start) for r in claimed.ranges})
        self.assert_disjoint(claimed)
        early = plan(held(Interval(A, 0, NOW + CLAIM_BELOW_MS)), B)
        self.assertIsNone(early)

    def test_a_leaving_owner_closes_behind_the_last_key_that_it_took(self):
        ahead = NOW + 20_000
        left = plan(
            held(Interval(A, 0, NOW + DEFAULT_HORIZON_MS)),
            A,
            is_leaving=True,
            latest_births={3: ahead},
        )
        self.assertEqual(ahead + 1, left.range_map.ranges[3][0].until)
        self.assertEqual(NOW - HANDOVER_BACKDATE_MS, left.range_map.ranges[4][0].until)
        self.assertEqual({B}, {row[-1].owner for row in left.range_map.ranges})
        self.assertNotIn(A.instance, left.range_map.present_epochs)
        self.assert_disjoint(left.range_map)

    def test_the_last_to_leave_gives_its_ranges_to_nobody(self):
        left = plan(
            held(Interval(A, 0, NOW + DEFAULT_HORIZON_MS)), A, (A.instance,), is_leaving=True
        )
        self.assertEqual({1}, {len(row) for row in left.range_map.ranges})
        self.assertIsNone(plan(left.range_map, A, (A.instance,), is_leaving=True, now=NOW + 5))

    def test_a_restarted_node_is_not_its_former_run(self):
        again = Owner(A.instance, 'a2')
        until = NOW + CLAIM_BELOW_MS - 1
        claimed = plan(held(Interval(A, 0, until)), again, (A.instance,))
        self.assertEqual(
            {(again, until)}, {(r[-1].owner, r[-1].start) for r in claimed.range_map.ranges}
        )
        self.assertEqual('a2', claimed.range_map.present_epochs[A.instance])

    def test_a_killed_owner_is_followed_early_by_its_successor_at_the_same_place(self):
        # The owner's clock was 20 s ahead of its successor's, so it may have run keys born up
        # to 50 s from now. The cut lies behind those; elsewhere the range waits for its end.
        again, zero = Owner(A.instance, 'a2'), 5_000_000
        former = held(Interval(A, 0, NOW + DEFAULT_HORIZON_MS))
        former = former._replace(listeners={A.epoch: ListenerIdentity('here', zero + 20_000)})
        taken = plan(
            former, again, (A.instance,), listener=ListenerIdentity('here', zero)
        ).range_map
        cut = NOW + 20_000 + TAKEOVER_MARGIN_MS
        wanted = (Interval(A, 0, cut), Interval(again, cut, cut + DEFAULT_HORIZON_MS))
        self.assertEqual({wanted}, set(taken.ranges))
        self.assertEqual({again.epoch: ListenerIdentity('here', zero)}, taken.listeners)
        self.assertEqual(taken, decode_range_map(encode_range_map(taken)))
        for place in (None, ListenerIdentity('there', zero)):
            waits = plan(former, again, (A.instance,), listener=place)
            self.assertEqual(former.ranges, waits.range_map.ranges)

    def test_a_run_is_superseded_by_a_newer_one_alone(self):
        # A run that owns nothing here, as an entry that claims an opaque key, is not listed;
        # the epoch that stands there is that of an older run, and the newer one is alive.
        ranges = held(Interval(A, 0, NOW), present={A.instance: 'a2', B.instance: 'b0'})
        self.assertEqual((True, False), (ranges.is_superseded(A), ranges.is_superseded(B)))
        self.assertFalse(held(Interval(A, 0, NOW)).is_superseded(A))

    def test_the_stored_form_reads_back_and_stays_small(self):
        ranges = plan(RangeMap(), A).range_map
        self.assertEqual(ranges, decode_range_map(encode_range_map(ranges)))
        for value in (None, {}, {'owners': []}):
            self.assertRaises(msgspec.ValidationError, decode_range_map, value)
        empty = {'owners': [], 'ranges': [], 'present': {}}
        self.assertRaises(ValueError, decode_range_map, empty)


class KeyTableTest(TestCase):
    def build(self, **bounds) -> KeyTable[str]:
        table: KeyTable[str] = KeyTable(**bounds)
        self.assertEqual(KeyStarted(), table.begin('k', NOW, 1, NOW))
        return table

    def test_each_state_has_its_answer(self):
        table = self.build()
        self.assertEqual(KeyRefused(ErrorKind.KEY_IN_PROGRESS), table.lookup('k', 1))
        self.assertEqual(KeyRefused(ErrorKind.KEY_REUSED), table.lookup('k', 2))
        table.complete('k', 'answer', 6)
        self.assertEqual(StoredAnswer('answer'), table.lookup('k', 1))
        table.mark_unknown('k')
        self.assertEqual(KeyRefused(ErrorKind.OUTCOME_UNKNOWN), table.lookup('k', 1))
        table.forget('k')
        self.assertIsNone(table.lookup('k', 1))

    def test_a_key_below_the_floor_never_runs_again(self):
        # The floor outlives a window made longer and a clock set back: both would otherwise
        # make a key look young again whose entry has gone.
        table = self.build()
        table.raise_floor(NOW + 1)
        table.raise_floor(NOW - 5000)
        self.assertIsNone(table.lookup('k', 1))
        self.assertEqual(KeyRefused(ErrorKind.KEY_EXPIRED), table.begin('k', NOW, 1, NOW - 5000))

    def test_keys_from_the_future_wait(self):
        late = NOW + FUTURE_MARGIN_MS
        self.assertEqual(KeyStarted(), KeyTable().begin('k', late, 1, NOW))
        self.assertEqual(
            KeyRefused(ErrorKind.KEY_IN_FUTURE), KeyTable().begin('k', late + 1, 1, NOW)
        )

    def test_a_full_table_expires_its_oldest_keys(self):
        table = self.build(max_keys=10)
        for number in range(1, 50):
            self.assertEqual(KeyStarted(), table.begin(f'k{number}', NOW + number, 1, NOW))
        self.assertLessEqual(len(table), 10)
        self.assertEqual(KeyRefused(ErrorKind.KEY_EXPIRED), table.begin('k', NOW, 1, NOW))

    def test_what_a_former_owner_knew_takes_half_the_room(self):
        # A key that still ran at its end counts as unknown. Keys beyond the room are left out:
        # were the floor to rise for them, the heir's own keys would expire.
        former = self.build()
        for number in range(9):
            former.begin(f'k{number}', NOW, 1, NOW)
            former.complete(f'k{number}', 'answer', 30)
        heir: KeyTable[str] = KeyTable(max_keys=10, max_bytes=60)
        for known in [*former.export_records(), *former.export_records()]:
            heir.import_record(known)
        self.assertEqual((5, 0), (len(heir), heir.floor))
        self.assertEqual(KeyRefused(ErrorKind.OUTCOME_UNKNOWN), heir.lookup('k', 1))
        self.assertEqual(StoredAnswer('answer'), heir.lookup('k0', 1))
        self.assertEqual(KeyRefused(ErrorKind.ANSWER_GONE), heir.lookup('k1', 1))
        self.assertEqual(KeyRefused(ErrorKind.KEY_REUSED), heir.lookup('k1', 2))

    def test_answers_are_bounded_and_what_is_dropped_still_counts_as_done(self):
        table = self.build(max_bytes=100)
        table.complete('k', 'first', 60)
        table.begin('l', NOW, 1, NOW)
        table.complete('l', 'second', 60)
        self.assertEqual(KeyRefused(ErrorKind.ANSWER_GONE), table.lookup('k', 1))
        self.assertEqual(StoredAnswer('second'), table.lookup('l', 1))
        self.assertEqual(60, table.answer_bytes)
        table.begin('m', NOW, 1, NOW)
        table.complete('m', 'large', 1 << 20)
        self.assertEqual(KeyRefused(ErrorKind.ANSWER_GONE), table.lookup('m', 1))
