from random import Random

from testtools import TestCase

from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.route import (
    AVOID_LEAVING_SECONDS,
    CONSECUTIVE_FAILURES_TO_EJECT,
    MAX_EJECTION_SECONDS,
    MAX_RATE_AGE_SECONDS,
    Candidate,
    Router,
)

BANGOR = Candidate('bangor-1', 'bangor-hall')
MENAI = Candidate('menai-1', 'menai-hall')
CAERNARFON = Candidate('caernarfon-1', 'caernarfon-hall')
ALL_TARGETS = [BANGOR, MENAI, CAERNARFON]


class RouterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.router = Router('bangor-hall', Random(3))

    def choice_shares(
        self, now: float = 0.0, candidates=ALL_TARGETS, rounds: int = 600
    ) -> dict[str, float]:
        counts: dict[str, int] = {}
        for _ in range(rounds):
            chosen = self.router.choose(now, candidates)
            counts[chosen.instance] = counts.get(chosen.instance, 0) + 1
        return {name: count / rounds for name, count in counts.items()}

    def fail_calls(
        self, instance: str, now: float = 0.0, times: int = CONSECUTIVE_FAILURES_TO_EJECT
    ) -> None:
        for _ in range(times):
            self.router.record_sent(instance)
            self.router.record_failure(now, instance)

    def report_load(self, instance: str, **load) -> None:
        self.router.record_sent(instance)
        self.router.record_answer(0.0, instance, Load(**load))

    def test_idle_target_in_the_own_domain_is_preferred(self):
        self.assertEqual({'bangor-1': 1.0}, self.choice_shares())

    def test_calls_go_to_other_domains_when_the_own_one_fills(self):
        self.report_load('bangor-1', inflight=30, limit=40)
        self.report_load('menai-1', inflight=2, limit=40)
        self.report_load('caernarfon-1', inflight=2, limit=40)
        self.assertLess(self.choice_shares().get('bangor-1', 0.0), 0.5)

    def test_no_more_than_half_of_the_targets_are_ejected(self):
        # All targets fail at once, as when this node's own network is broken. If all were
        # ejected, no call could show that they work again.
        for candidate in ALL_TARGETS:
            self.fail_calls(candidate.instance)
        self.report_load('bangor-1', inflight=90, limit=100)
        self.assertGreaterEqual(len(self.choice_shares()), 2)

    def test_ejected_target_gets_calls_again_later(self):
        self.fail_calls('bangor-1')
        self.assertNotIn('bangor-1', self.choice_shares())
        self.assertIn('bangor-1', self.choice_shares(now=60.0))

    # A target that was gone for long raised an error at each request that failed there.
    def test_pause_of_a_target_that_fails_for_hours_stays_within_its_bound(self):
        for number in range(5000):
            self.fail_calls('bangor-1', now=float(number))
        self.assertNotIn('bangor-1', self.choice_shares(now=5000.0))
        self.assertIn('bangor-1', self.choice_shares(now=5000.0 + MAX_EJECTION_SECONDS))

    def test_target_that_fails_immediately_does_not_attract_calls(self):
        # A target that responds 500 within a millisecond always has the fewest outstanding
        # calls: a choice by load alone sends it all calls, and callers see errors.
        for _ in range(20):
            self.router.record_sent('bangor-1')
            self.router.record_answer(0.0, 'bangor-1', Load(inflight=0, limit=40), error=True)
            for name in ('menai-1', 'caernarfon-1'):
                self.report_load(name, inflight=1, limit=40)
        self.assertLess(self.choice_shares().get('bangor-1', 0.0), 0.5)

    def test_suspect_is_used_only_when_no_other_candidate_remains(self):
        suspect = BANGOR._replace(suspect=True)
        self.assertNotIn('bangor-1', self.choice_shares(candidates=[suspect, MENAI, CAERNARFON]))
        self.assertEqual(suspect, self.router.choose(0.0, [suspect]))

    def test_target_that_reports_leaving_is_avoided(self):
        self.router.avoid_leaving(0.0, 'bangor-1')
        self.assertNotIn('bangor-1', self.choice_shares(now=AVOID_LEAVING_SECONDS / 2))

    def test_tried_targets_are_never_chosen_again(self):
        tried = frozenset({'bangor-1', 'menai-1', 'caernarfon-1'})
        self.assertIsNone(self.router.choose(0.0, ALL_TARGETS, tried))

    def answer_in_turn(self, **seconds: float) -> None:
        """Record twelve answered calls of each target, in turn, within a second."""
        for i in range(12):
            for name, duration in seconds.items():
                instance = name.replace('_', '-')
                self.router.record_sent(instance)
                self.router.record_duration(i / 12, instance, 'cuts', duration)
                self.router.record_answer(0.0, instance, Load(limit=100))

    def test_slow_target_gets_few_calls_while_others_have_capacity(self):
        # A target takes five times as long as the others. With its many slots it looks idle,
        # and it is preferred within its domain, so non-idempotent requests time out there.
        self.answer_in_turn(bangor_1=0.6, menai_1=0.12, caernarfon_1=0.12)
        self.assertLess(self.choice_shares(now=1.0).get('bangor-1', 0.0), 0.02)

    def test_slow_target_stays_idle_while_the_others_are_half_empty(self):
        # A slow target that gets no calls is idle. If its load alone counts, it is chosen again,
        # and four in ten non-idempotent requests still time out there.
        self.answer_in_turn(bangor_1=0.6, menai_1=0.12, caernarfon_1=0.12)
        self.report_load('bangor-1', inflight=1, limit=100)
        self.report_load('menai-1', inflight=30, limit=100)
        self.report_load('caernarfon-1', inflight=30, limit=100)
        self.assertLess(self.choice_shares(now=1.0).get('bangor-1', 0.0), 0.02)

    def test_slow_target_is_used_when_the_others_are_full(self):
        # Otherwise requests are refused although a slow target has free slots.
        self.answer_in_turn(bangor_1=0.6, menai_1=0.12, caernarfon_1=0.12)
        self.report_load('menai-1', inflight=94, waiting=60, limit=100)
        self.report_load('caernarfon-1', inflight=94, waiting=60, limit=100)
        self.assertGreater(self.choice_shares(now=1.0)['bangor-1'], 0.9)

    def test_slow_target_gets_calls_again_after_a_time_without_calls(self):
        # Without calls nothing can show that the target is fast again.
        self.answer_in_turn(bangor_1=0.6, menai_1=0.12, caernarfon_1=0.12)
        self.assertGreater(self.choice_shares(now=10.0)['bangor-1'], 0.9)

    def test_usual_differences_in_speed_do_not_change_the_choice(self):
        # Such differences show in the load; the target in the own domain remains preferred.
        self.answer_in_turn(bangor_1=0.15, menai_1=0.1, caernarfon_1=0.1)
        self.assertGreater(self.choice_shares(now=1.0)['bangor-1'], 0.9)

    def test_fast_failures_do_not_make_a_target_look_fast(self):
        # Otherwise a target that fails immediately attracts the calls of all nodes.
        self.answer_in_turn(bangor_1=0.12, menai_1=0.12, caernarfon_1=0.12)
        for _ in range(20):
            self.router.record_duration(1.0, 'menai-1', 'cuts', 0.001, completed=False)
        self.assertGreater(self.choice_shares(now=1.0)['bangor-1'], 0.9)

    def test_abandoned_calls_show_that_a_target_is_slow(self):
        # All calls to a target end at their deadline, so no response shows its duration.
        self.answer_in_turn(menai_1=0.12, caernarfon_1=0.12)
        for i in range(12):
            self.router.record_duration(i / 12, 'bangor-1', 'cuts', 0.8, completed=False)
        self.assertLess(self.choice_shares(now=1.0).get('bangor-1', 0.0), 0.02)

    def test_target_that_resets_most_calls_does_not_attract_calls(self):
        # Two of three targets reset most connections within a millisecond. They always have the
        # fewest outstanding calls, occasional responses prevent their ejection, and resent calls
        # reach the other faulty target.
        for i in range(60):
            for instance in ('bangor-1', 'menai-1'):
                self.router.record_sent(instance)
                if i % 5 == 4:
                    self.router.record_answer(0.0, instance, Load(inflight=2, limit=100))
                else:
                    self.router.record_failure(0.0, instance)
        self.report_load('caernarfon-1', inflight=5, limit=100)
        self.assertGreater(self.choice_shares(now=0.0)['caernarfon-1'], 0.6)

    def test_target_at_its_rate_limit_gets_no_calls(self):
        """By its slots alone it looks idle, and would attract most calls and refuse them."""
        for name in ('bangor-1', 'menai-1', 'caernarfon-1'):
            self.report_load(name, inflight=4, limit=40)
        self.router.record_rate(0.0, 'bangor-1', 5.0, used_share=1.0)
        self.assertEqual(0.0, self.choice_shares().get('bangor-1', 0.0))

    def test_target_below_its_rate_limit_gets_calls_while_the_others_are_full(self):
        for name in ('menai-1', 'caernarfon-1'):
            self.report_load(name, inflight=40, waiting=20, limit=40)
        self.router.record_rate(0.0, 'bangor-1', 5.0, used_share=0.3)
        self.assertGreater(self.choice_shares()['bangor-1'], 0.9)

    def test_outdated_rate_is_refreshed_by_one_call_at_a_time(self):
        self.router.record_rate(0.0, 'bangor-1', 0.25, used_share=1.0)
        now = MAX_RATE_AGE_SECONDS + 1
        self.assertEqual('bangor-1', self.router.choose(now, ALL_TARGETS).instance)
        self.router.record_sent('bangor-1')
        self.assertEqual(0.0, self.choice_shares(now).get('bangor-1', 0.0))
