"""Rate limits that a target sets: the token bucket, and admission control with a rate limit."""

from random import Random

from testtools import TestCase

from dunlinsaddle.policy.admission import Refuse, Run, Sample, Wait
from dunlinsaddle.policy.rate_limit import BURST_SECONDS, MIN_RATE, RateLimit
from dunlinsaddle.policy.slots import SlotAdmission
from tests.builders import build_ticket

EPSILON = 1e-6


class RateLimitTest(TestCase):
    def take_all(self, limit, seconds, start=0.0, step=0.003):
        times, now = [], start
        while now < start + seconds:
            while limit.can_take(now):
                limit.take(now)
                times.append(now)
            now += step
        return times

    def test_no_window_exceeds_the_rate_plus_a_burst(self):
        rng = Random(3)
        for rate in (0.3, 1.0, 7.5, 13.7, 200.0):
            limit = RateLimit()
            limit.set_rate(0.0, rate)
            times = self.take_all(limit, 20.0, step=rng.uniform(0.001, 0.02))
            for window in (0.5, 1.0, 4.0):
                highest = max(sum(t <= x < t + window for x in times) for t in times)
                self.assertLessEqual(highest, rate * window + max(rate * BURST_SECONDS, 1) + 1)
            self.assertGreaterEqual(len(times), int(rate * 19))

    def test_rate_of_zero_still_allows_calls_that_detect_its_end(self):
        limit = RateLimit()
        limit.set_rate(0.0, 0.0)
        self.assertEqual(int(40 * MIN_RATE), len(self.take_all(limit, 40.1)))

    def test_calls_are_not_limited_without_a_rate_or_after_it_has_ended(self):
        limit = RateLimit()
        self.assertEqual((True, 0.0), (limit.can_take(0.0), limit.wait_seconds(0.0, 900)))
        limit.set_rate(0.0, 1.0)
        self.assertFalse(limit.can_take(0.0))
        limit.set_rate(0.5, None)
        self.assertEqual((True, 0.0), (limit.can_take(0.5), limit.wait_seconds(0.5, 900)))

    def test_change_of_the_rate_leaves_no_more_tokens_than_the_new_burst(self):
        limit = RateLimit()
        limit.set_rate(0.0, 100.0)
        limit.set_rate(5.0, 2.0)
        self.assertLessEqual(len(self.take_all(limit, 1.0, start=5.0)), 3)


class RateLimitedAdmissionTest(TestCase):
    def build_admission(self, rate, slots=40, seconds=0.1):
        admission = SlotAdmission()
        admission.set_slots(slots)
        first = build_ticket(-1, deadline=99.0)
        admission.admit(0.0, first)
        admission.finish(0.0, first, Sample('default', seconds, True))
        admission.set_rate_limit(0.0, rate)
        return admission

    def overload(self, admission, calls, interval):
        """Let far more calls of all levels arrive than the rate allows."""
        for step in range(calls):
            now = step * interval
            admission.admit(now, build_ticket(step, level=step * 7 % 384, deadline=now + 0.3))
            self.run_started(admission, now)

    def run_started(self, admission, now):
        for started in admission.dequeue(now).started:
            admission.finish(now, started, Sample('default', 0.1, True))

    def test_waiting_call_starts_when_the_rate_allows_it_without_another_ending(self):
        """Otherwise calls would wait for ever where no call is running."""
        admission = self.build_admission(2.0)
        self.assertIsInstance(admission.admit(0.0, build_ticket(1)), Wait)
        delay = admission.seconds_to_next_start(0.0)
        self.assertAlmostEqual(0.5, delay)
        self.assertEqual([], admission.dequeue(delay - 0.01).started)
        self.assertEqual([1], [t.call_id for t in admission.dequeue(delay + EPSILON).started])
        self.assertIsNone(admission.seconds_to_next_start(1.0))

    def test_most_important_waiting_call_starts_first(self):
        admission = self.build_admission(1.0)
        for number, level in enumerate((300, 5, 200)):
            admission.admit(0.0, build_ticket(number, level=level))
        started = [admission.dequeue(n + 1.01).started[0].level for n in range(3)]
        self.assertEqual([5, 200, 300], started)

    def test_call_that_the_rate_cannot_serve_in_time_is_refused_with_retry_after(self):
        admission = self.build_admission(2.0)
        verdicts = [admission.admit(0.0, build_ticket(n, useful_until=1.2)) for n in range(6)]
        self.assertEqual([Wait, Wait, Refuse], [type(v) for v in verdicts[:3]])
        self.assertGreater(verdicts[-1].failure.retry_after, 0.3)

    def test_free_slots_do_not_open_the_level_while_the_rate_limit_is_reached(self):
        """Otherwise the level opens, and entries send far more calls than the rate allows."""
        admission = self.build_admission(10.0, slots=100)
        self.overload(admission, 200, interval=0.01)
        self.assertLess(admission.load(2.0).level, 128)

    def test_rate_above_the_capacity_of_the_slots_changes_nothing(self):
        admission = self.build_admission(1e6)
        verdicts = [type(admission.admit(1.0, build_ticket(n))) for n in range(40)]
        self.assertEqual([Run] * 38 + [Wait] * 2, verdicts)

    def test_next_incarnation_has_no_rate_limit(self):
        admission = self.build_admission(0.5)
        admission.reset_after_restart(0.0)
        verdicts = {type(admission.admit(0.0, build_ticket(n))) for n in range(5)}
        self.assertEqual({Run}, verdicts)

    def test_level_opens_at_once_when_the_rate_limit_ends(self):
        """Otherwise entries refuse until the next token of the old rate, seconds later."""
        admission = self.build_admission(0.25)
        self.overload(admission, 210, interval=0.02)
        self.assertLess(admission.load(4.2).level, 128)
        admission.set_rate_limit(4.2, None)
        self.run_started(admission, 4.2)
        self.assertEqual(511, admission.load(4.4).level)
