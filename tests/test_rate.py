"""Rates that a target names: the bound alone, and admission under it."""

from random import Random

from testtools import TestCase

from dunlinsaddle.policy.admission import Refuse, Run, Sample, Wait
from dunlinsaddle.policy.rate_limit import BURST_SECONDS, MIN_RATE, RateLimit
from dunlinsaddle.policy.slots import SlotAdmission
from tests.builders import build_ticket

HAIR = 1e-6


class RateLimitTest(TestCase):
    def taken(self, limit, seconds, began=0.0, step=0.003):
        times, now = [], began
        while now < began + seconds:
            while limit.can_take(now):
                limit.take(now)
                times.append(now)
            now += step
        return times

    def test_no_window_has_more_than_the_rate_and_a_burst(self):
        rng = Random(3)
        for rate in (0.3, 1.0, 7.5, 13.7, 200.0):
            limit = RateLimit()
            limit.set_rate(0.0, rate)
            times = self.taken(limit, 20.0, step=rng.uniform(0.001, 0.02))
            for window in (0.5, 1.0, 4.0):
                most = max(sum(t <= x < t + window for x in times) for t in times)
                self.assertLessEqual(most, rate * window + max(rate * BURST_SECONDS, 1) + 1)
            self.assertGreaterEqual(len(times), int(rate * 19))

    def test_a_rate_of_nothing_still_lets_a_call_hear_of_its_end(self):
        limit = RateLimit()
        limit.set_rate(0.0, 0.0)
        self.assertEqual(int(40 * MIN_RATE), len(self.taken(limit, 40.1)))

    def test_none_is_bound_without_a_rate_or_after_it_has_ended(self):
        limit = RateLimit()
        self.assertEqual((True, 0.0), (limit.can_take(0.0), limit.wait_seconds(0.0, 900)))
        limit.set_rate(0.0, 1.0)
        self.assertFalse(limit.can_take(0.0))
        limit.set_rate(0.5, None)
        self.assertEqual((True, 0.0), (limit.can_take(0.5), limit.wait_seconds(0.5, 900)))

    def test_a_rate_that_changes_saves_up_nothing(self):
        limit = RateLimit()
        limit.set_rate(0.0, 100.0)
        limit.set_rate(5.0, 2.0)
        self.assertLessEqual(len(self.taken(limit, 1.0, began=5.0)), 3)


class RatedAdmissionTest(TestCase):
    def admission(self, rate, slots=40, seconds=0.1):
        admission = SlotAdmission()
        admission.set_slots(slots)
        first = build_ticket(-1, deadline=99.0)
        admission.admit(0.0, first)
        admission.finish(0.0, first, Sample('default', seconds, True))
        admission.set_rate_limit(0.0, rate)
        return admission

    def press(self, admission, calls, every):
        """Let far more calls of all levels arrive than the rate bears."""
        for step in range(calls):
            now = step * every
            admission.admit(now, build_ticket(step, level=step * 7 % 384, deadline=now + 0.3))
            self.run_released(admission, now)

    def run_released(self, admission, now):
        for started in admission.dequeue(now).started:
            admission.finish(now, started, Sample('default', 0.1, True))

    def test_a_waiting_call_starts_when_the_rate_has_room_though_none_ends(self):
        """Where nothing ends for a second, what waits would wait for ever."""
        admission = self.admission(2.0)
        self.assertIsInstance(admission.admit(0.0, build_ticket(1)), Wait)
        due = admission.seconds_to_next_start(0.0)
        self.assertAlmostEqual(0.5, due)
        self.assertEqual([], admission.dequeue(due - 0.01).started)
        self.assertEqual([1], [t.call_id for t in admission.dequeue(due + HAIR).started])
        self.assertIsNone(admission.seconds_to_next_start(1.0))

    def test_the_most_valued_waiting_call_goes_first(self):
        admission = self.admission(1.0)
        for number, level in enumerate((300, 5, 200)):
            admission.admit(0.0, build_ticket(number, level=level))
        started = [admission.dequeue(n + 1.01).started[0].level for n in range(3)]
        self.assertEqual([5, 200, 300], started)

    def test_what_the_rate_cannot_serve_in_time_is_refused_with_a_time_to_come_back(self):
        admission = self.admission(2.0)
        verdicts = [admission.admit(0.0, build_ticket(n, useful_until=1.2)) for n in range(6)]
        self.assertEqual([Wait, Wait, Refuse], [type(v) for v in verdicts[:3]])
        self.assertGreater(verdicts[-1].failure.retry_after, 0.3)

    def test_free_slots_are_no_room_while_the_rate_has_none(self):
        """Taken for room, they open the level, and entries send all that the rate cannot bear."""
        admission = self.admission(10.0, slots=100)
        self.press(admission, 200, every=0.01)
        self.assertLess(admission.load(2.0).level, 128)

    def test_a_rate_above_what_the_slots_bear_changes_nothing(self):
        admission = self.admission(1e6)
        verdicts = [type(admission.admit(1.0, build_ticket(n))) for n in range(40)]
        self.assertEqual([Run] * 38 + [Wait] * 2, verdicts)

    def test_the_next_incarnation_is_not_bound(self):
        admission = self.admission(0.5)
        admission.reset_after_restart(0.0)
        verdicts = {type(admission.admit(0.0, build_ticket(n))) for n in range(5)}
        self.assertEqual({Run}, verdicts)

    def test_the_level_opens_at_once_when_the_rate_ends(self):
        """The next token of the old rate was seconds away, and entries refuse until then."""
        admission = self.admission(0.25)
        self.press(admission, 210, every=0.02)
        self.assertLess(admission.load(4.2).level, 128)
        admission.set_rate_limit(4.2, None)
        self.run_released(admission, 4.2)
        self.assertEqual(511, admission.load(4.4).level)
