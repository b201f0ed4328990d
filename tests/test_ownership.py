from itertools import pairwise

import msgspec
from testtools import TestCase

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.once_table import FUTURE_MARGIN, Begun, Denied, KeyTable, Known
from dunlinsaddle.policy.ownership import (
    CLAIM_BELOW,
    CUT_BACK,
    EXTEND_BELOW,
    HORIZON,
    TAKEOVER_MARGIN,
    Interval,
    Owner,
    Place,
    Plan,
    RangeMap,
    Situation,
    decode_map,
    encode_map,
    plan_ranges,
)

NOW = 1_000_000_000
DUE = int(EXTEND_BELOW * HORIZON)
A, B = Owner('bangor-1', 'a1'), Owner('caernarfon-1', 'b1')
BOTH = (A.instance, B.instance)


def held(*last: Interval, present=None) -> RangeMap:
    return RangeMap((tuple(last),) * 64, present or {A.instance: A.epoch, B.instance: B.epoch})


def plan(ranges: RangeMap, me: Owner, serving=BOTH, **changes) -> Plan | None:
    here = Situation(me, serving, NOW, {})._replace(**changes)
    return plan_ranges('cut-orders', ranges, here)


class PlanTest(TestCase):
    def assert_disjoint(self, ranges: RangeMap):
        for intervals in ranges.ranges:
            for earlier, later in pairwise(intervals):
                self.assertLessEqual(earlier.until, later.start)

    def test_two_fresh_nodes_share_the_ranges(self):
        first = plan(RangeMap(), A)
        second = plan(first.map, B)
        owners = [intervals[-1].owner for intervals in second.map.ranges]
        self.assertEqual(64, len(owners))
        self.assertTrue(20 < owners.count(A) < 44, owners.count(A))
        self.assertIsNone(plan(second.map, A))

    def test_an_owner_extends_only_when_it_is_due(self):
        long = held(Interval(A, 0, NOW + DUE))
        self.assertIsNone(plan(long, A, (A.instance,)))
        due = plan(held(Interval(A, 0, NOW + DUE - 1)), A, (A.instance,))
        self.assertEqual({NOW + HORIZON}, {row[-1].until for row in due.map.ranges})

    def test_a_successor_starts_where_the_silent_owner_ends(self):
        # The owner is cut off from the platform and goes on by its old map. Were the successor
        # to start at its own "now", both would run keys born before the owner's end.
        until = NOW + CLAIM_BELOW - 1
        claimed = plan(held(Interval(A, 0, until)), B).map
        self.assertEqual({(B, until)}, {(r[-1].owner, r[-1].start) for r in claimed.ranges})
        self.assert_disjoint(claimed)
        early = plan(held(Interval(A, 0, NOW + CLAIM_BELOW)), B)
        self.assertIsNone(early)

    def test_a_leaving_owner_closes_behind_the_last_key_that_it_took(self):
        ahead = NOW + 20_000
        left = plan(held(Interval(A, 0, NOW + HORIZON)), A, leaving=True, highest={3: ahead})
        self.assertEqual(ahead + 1, left.map.ranges[3][0].until)
        self.assertEqual(NOW - CUT_BACK, left.map.ranges[4][0].until)
        self.assertEqual({B}, {row[-1].owner for row in left.map.ranges})
        self.assertNotIn(A.instance, left.map.present)
        self.assert_disjoint(left.map)

    def test_the_last_to_leave_gives_its_ranges_to_nobody(self):
        left = plan(held(Interval(A, 0, NOW + HORIZON)), A, (A.instance,), leaving=True)
        self.assertEqual({1}, {len(row) for row in left.map.ranges})
        self.assertIsNone(plan(left.map, A, (A.instance,), leaving=True, now=NOW + 5))

    def test_a_restarted_node_is_not_its_former_run(self):
        again = Owner(A.instance, 'a2')
        until = NOW + CLAIM_BELOW - 1
        claimed = plan(held(Interval(A, 0, until)), again, (A.instance,))
        self.assertEqual({(again, until)}, {(r[-1].owner, r[-1].start) for r in claimed.map.ranges})
        self.assertEqual('a2', claimed.map.present[A.instance])

    def test_a_killed_owner_is_followed_early_by_its_successor_at_the_same_place(self):
        # The owner's clock was 20 s ahead of its successor's, so it may have run keys born up
        # to 50 s from now. The cut lies behind those; elsewhere the range waits for its end.
        again, zero = Owner(A.instance, 'a2'), 5_000_000
        former = held(Interval(A, 0, NOW + HORIZON))
        former = former._replace(places={A.epoch: Place('here', zero + 20_000)})
        taken = plan(former, again, (A.instance,), place=Place('here', zero)).map
        cut = NOW + 20_000 + TAKEOVER_MARGIN
        wanted = (Interval(A, 0, cut), Interval(again, cut, cut + HORIZON))
        self.assertEqual({wanted}, set(taken.ranges))
        self.assertEqual({again.epoch: Place('here', zero)}, taken.places)
        self.assertEqual(taken, decode_map(encode_map(taken)))
        for place in (None, Place('there', zero)):
            waits = plan(former, again, (A.instance,), place=place)
            self.assertEqual(former.ranges, waits.map.ranges)

    def test_a_run_is_superseded_by_a_newer_one_alone(self):
        # A run that owns nothing here, as an entry that claims an opaque key, is not listed;
        # the epoch that stands there is that of an older run, and the newer one is alive.
        ranges = held(Interval(A, 0, NOW), present={A.instance: 'a2', B.instance: 'b0'})
        self.assertEqual((True, False), (ranges.superseded(A), ranges.superseded(B)))
        self.assertFalse(held(Interval(A, 0, NOW)).superseded(A))

    def test_the_stored_form_reads_back_and_stays_small(self):
        ranges = plan(RangeMap(), A).map
        self.assertEqual(ranges, decode_map(encode_map(ranges)))
        for value in (None, {}, {'owners': []}):
            self.assertRaises(msgspec.ValidationError, decode_map, value)
        empty = {'owners': [], 'ranges': [], 'present': {}}
        self.assertRaises(ValueError, decode_map, empty)


class KeyTableTest(TestCase):
    def build(self, **bounds) -> KeyTable[str]:
        table: KeyTable[str] = KeyTable(**bounds)
        self.assertEqual(Begun(), table.begin('k', NOW, 1, NOW))
        return table

    def test_each_state_has_its_answer(self):
        table = self.build()
        self.assertEqual(Denied(ErrorKind.KEY_IN_PROGRESS), table.look('k', 1))
        self.assertEqual(Denied(ErrorKind.KEY_REUSED), table.look('k', 2))
        table.done('k', 'answer', 6)
        self.assertEqual(Known('answer'), table.look('k', 1))
        table.unknown('k')
        self.assertEqual(Denied(ErrorKind.OUTCOME_UNKNOWN), table.look('k', 1))
        table.not_run('k')
        self.assertIsNone(table.look('k', 1))

    def test_a_key_below_the_floor_never_runs_again(self):
        # The floor outlives a window made longer and a clock set back: both would otherwise
        # make a key look young again whose entry has gone.
        table = self.build()
        table.raise_floor(NOW + 1)
        table.raise_floor(NOW - 5000)
        self.assertIsNone(table.look('k', 1))
        self.assertEqual(Denied(ErrorKind.KEY_EXPIRED), table.begin('k', NOW, 1, NOW - 5000))

    def test_keys_from_the_future_wait(self):
        late = NOW + FUTURE_MARGIN
        self.assertEqual(Begun(), KeyTable().begin('k', late, 1, NOW))
        self.assertEqual(Denied(ErrorKind.KEY_IN_FUTURE), KeyTable().begin('k', late + 1, 1, NOW))

    def test_a_full_table_expires_its_oldest_keys(self):
        table = self.build(max_keys=10)
        for number in range(1, 50):
            self.assertEqual(Begun(), table.begin(f'k{number}', NOW + number, 1, NOW))
        self.assertLessEqual(len(table), 10)
        self.assertEqual(Denied(ErrorKind.KEY_EXPIRED), table.begin('k', NOW, 1, NOW))

    def test_what_a_former_owner_knew_takes_half_the_room(self):
        # A key that still ran at its end counts as unknown. Keys beyond the room are left out:
        # were the floor to rise for them, the heir's own keys would expire.
        former = self.build()
        for number in range(9):
            former.begin(f'k{number}', NOW, 1, NOW)
            former.done(f'k{number}', 'answer', 30)
        heir: KeyTable[str] = KeyTable(max_keys=10, max_bytes=60)
        for known in [*former.ended(), *former.ended()]:
            heir.learn(known)
        self.assertEqual((5, 0), (len(heir), heir.floor))
        self.assertEqual(Denied(ErrorKind.OUTCOME_UNKNOWN), heir.look('k', 1))
        self.assertEqual(Known('answer'), heir.look('k0', 1))
        self.assertEqual(Denied(ErrorKind.ANSWER_GONE), heir.look('k1', 1))
        self.assertEqual(Denied(ErrorKind.KEY_REUSED), heir.look('k1', 2))

    def test_answers_are_bounded_and_what_is_dropped_still_counts_as_done(self):
        table = self.build(max_bytes=100)
        table.done('k', 'first', 60)
        table.begin('l', NOW, 1, NOW)
        table.done('l', 'second', 60)
        self.assertEqual(Denied(ErrorKind.ANSWER_GONE), table.look('k', 1))
        self.assertEqual(Known('second'), table.look('l', 1))
        self.assertEqual(60, table.answer_bytes)
        table.begin('m', NOW, 1, NOW)
        table.done('m', 'large', 1 << 20)
        self.assertEqual(Denied(ErrorKind.ANSWER_GONE), table.look('m', 1))
