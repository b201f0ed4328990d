from random import Random

from testtools import TestCase

from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.route import (
    AVOID_LEAVING_SECONDS,
    CONSECUTIVE_FAILURES_TO_EJECT,
    MAX_RATE_AGE_SECONDS,
    Candidate,
    Router,
)

NEAR = Candidate('bangor-1', 'bangor-hall')
FAR = Candidate('menai-1', 'menai-hall')
OTHER = Candidate('caernarfon-1', 'caernarfon-hall')
ALL = [NEAR, FAR, OTHER]


class RouterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.router = Router('bangor-hall', Random(3))

    def shares(self, now: float = 0.0, candidates=ALL, rounds: int = 600) -> dict[str, float]:
        counts: dict[str, int] = {}
        for _ in range(rounds):
            chosen = self.router.choose(now, candidates)
            counts[chosen.instance] = counts.get(chosen.instance, 0) + 1
        return {name: count / rounds for name, count in counts.items()}

    def lose_calls(
        self, instance: str, now: float = 0.0, times: int = CONSECUTIVE_FAILURES_TO_EJECT
    ) -> None:
        for _ in range(times):
            self.router.record_sent(instance)
            self.router.record_failure(now, instance)

    def load(self, instance: str, **load) -> None:
        self.router.record_sent(instance)
        self.router.record_answer(0.0, instance, Load(**load))

    def test_idle_targets_are_chosen_near_first(self):
        self.assertEqual({'bangor-1': 1.0}, self.shares())

    def test_calls_spill_to_other_domains_when_the_near_target_fills(self):
        self.load('bangor-1', inflight=30, limit=40)
        self.load('menai-1', inflight=2, limit=40)
        self.load('caernarfon-1', inflight=2, limit=40)
        self.assertLess(self.shares().get('bangor-1', 0.0), 0.5)

    def test_no_more_than_half_of_the_targets_are_ejected(self):
        # All targets fail at once, as they do when this node's own network is broken. Were
        # all left out, no call could ever show that they work again.
        for candidate in ALL:
            self.lose_calls(candidate.instance)
        self.load('bangor-1', inflight=90, limit=100)
        self.assertGreaterEqual(len(self.shares()), 2)

    def test_ejected_target_gets_calls_again_later(self):
        self.lose_calls('bangor-1')
        self.assertNotIn('bangor-1', self.shares())
        self.assertIn('bangor-1', self.shares(now=60.0))

    def test_target_that_fails_at_once_does_not_draw_the_load(self):
        # The caller sees errors: a target answers 500 within a millisecond, so it always
        # has the fewest calls outstanding, and a choice by load alone sends it everything.
        for _ in range(20):
            self.router.record_sent('bangor-1')
            self.router.record_answer(0.0, 'bangor-1', Load(inflight=0, limit=40), error=True)
            for name in ('menai-1', 'caernarfon-1'):
                self.load(name, inflight=1, limit=40)
        self.assertLess(self.shares().get('bangor-1', 0.0), 0.5)

    def test_suspect_is_used_only_when_nobody_else_is_left(self):
        suspect = NEAR._replace(suspect=True)
        self.assertNotIn('bangor-1', self.shares(candidates=[suspect, FAR, OTHER]))
        self.assertEqual(suspect, self.router.choose(0.0, [suspect]))

    def test_target_that_said_it_leaves_is_avoided(self):
        self.router.avoid_leaving(0.0, 'bangor-1')
        self.assertNotIn('bangor-1', self.shares(now=AVOID_LEAVING_SECONDS / 2))

    def test_tried_targets_are_never_chosen_again(self):
        tried = frozenset({'bangor-1', 'menai-1', 'caernarfon-1'})
        self.assertIsNone(self.router.choose(0.0, ALL, tried))

    def pace(self, **seconds: float) -> None:
        """Let each target answer twelve calls, in turn, within a second."""
        for i in range(12):
            for name, took in seconds.items():
                instance = name.replace('_', '-')
                self.router.record_sent(instance)
                self.router.record_duration(i / 12, instance, 'cuts', took)
                self.router.record_answer(0.0, instance, Load(limit=100))

    def test_slow_target_is_given_little_while_others_have_room(self):
        # Requests that may not be repeated time out, one after the other, at a target that
        # takes five times as long. It has many slots, so by its load it looks idle enough,
        # and its own domain prefers it.
        self.pace(bangor_1=0.6, menai_1=0.12, caernarfon_1=0.12)
        self.assertLess(self.shares(now=1.0).get('bangor-1', 0.0), 0.02)

    def test_slow_target_stays_idle_while_the_others_are_half_empty(self):
        # The slow one gets nothing, so it is idle, so it is given calls: four in ten that may
        # not be repeated still time out there.
        self.pace(bangor_1=0.6, menai_1=0.12, caernarfon_1=0.12)
        self.load('bangor-1', inflight=1, limit=100)
        self.load('menai-1', inflight=30, limit=100)
        self.load('caernarfon-1', inflight=30, limit=100)
        self.assertLess(self.shares(now=1.0).get('bangor-1', 0.0), 0.02)

    def test_slow_target_is_used_when_the_others_are_full(self):
        # Requests are refused though a target has free slots: slow is better than nothing.
        self.pace(bangor_1=0.6, menai_1=0.12, caernarfon_1=0.12)
        self.load('menai-1', inflight=94, waiting=60, limit=100)
        self.load('caernarfon-1', inflight=94, waiting=60, limit=100)
        self.assertGreater(self.shares(now=1.0)['bangor-1'], 0.9)

    def test_slow_target_gets_calls_again_when_nothing_has_been_heard_for_a_while(self):
        # A target is fast again, and is left idle for good: no call shows it any more.
        self.pace(bangor_1=0.6, menai_1=0.12, caernarfon_1=0.12)
        self.assertGreater(self.shares(now=10.0)['bangor-1'], 0.9)

    def test_usual_differences_of_speed_change_nothing(self):
        # What targets differ in speed, their load shows; the near one stays the first choice.
        self.pace(bangor_1=0.15, menai_1=0.1, caernarfon_1=0.1)
        self.assertGreater(self.shares(now=1.0)['bangor-1'], 0.9)

    def test_failure_sooner_than_usual_does_not_make_a_target_look_fast(self):
        # A target that fails at once would draw the calls of all.
        self.pace(bangor_1=0.12, menai_1=0.12, caernarfon_1=0.12)
        for _ in range(20):
            self.router.record_duration(1.0, 'menai-1', 'cuts', 0.001, whole=False)
        self.assertGreater(self.shares(now=1.0)['bangor-1'], 0.9)

    def test_call_that_was_given_up_shows_that_its_target_is_slow(self):
        # All calls at a target end at their deadline, and no answer ever tells of its time.
        self.pace(menai_1=0.12, caernarfon_1=0.12)
        for i in range(12):
            self.router.record_duration(i / 12, 'bangor-1', 'cuts', 0.8, whole=False)
        self.assertLess(self.shares(now=1.0).get('bangor-1', 0.0), 0.02)

    def test_target_that_loses_most_answers_at_once_does_not_draw_the_load(self):
        # Two of three targets reset the connection within a millisecond in place of most
        # answers. They always have the fewest calls outstanding, an answer now and then keeps
        # them from being left out, and calls that are sent again meet the other bad one.
        for i in range(60):
            for instance in ('bangor-1', 'menai-1'):
                self.router.record_sent(instance)
                if i % 5 == 4:
                    self.router.record_answer(0.0, instance, Load(inflight=2, limit=100))
                else:
                    self.router.record_failure(0.0, instance)
        self.load('caernarfon-1', inflight=5, limit=100)
        self.assertGreater(self.shares(now=0.0)['caernarfon-1'], 0.6)

    def test_target_whose_rate_is_used_up_is_left_to_the_others(self):
        """By its slots alone it is idle, and would draw most calls and refuse them."""
        for name in ('bangor-1', 'menai-1', 'caernarfon-1'):
            self.load(name, inflight=4, limit=40)
        self.router.record_rate(0.0, 'bangor-1', 5.0, use=1.0)
        self.assertEqual(0.0, self.shares().get('bangor-1', 0.0))

    def test_target_with_a_rate_gets_calls_while_the_others_are_full(self):
        for name in ('menai-1', 'caernarfon-1'):
            self.load(name, inflight=40, waiting=20, limit=40)
        self.router.record_rate(0.0, 'bangor-1', 5.0, use=0.3)
        self.assertGreater(self.shares()['bangor-1'], 0.9)

    def test_rate_that_is_used_up_is_asked_for_anew_by_one_call_at_a_time(self):
        self.router.record_rate(0.0, 'bangor-1', 0.25, use=1.0)
        now = MAX_RATE_AGE_SECONDS + 1
        self.assertEqual('bangor-1', self.router.choose(now, ALL).instance)
        self.router.record_sent('bangor-1')
        self.assertEqual(0.0, self.shares(now).get('bangor-1', 0.0))
