from testtools import TestCase

from tests.fakes.slots_load import (
    AdmissionControlledTarget,
    FifoTarget,
    LoadPattern,
    LookupLoad,
    SlotsLoad,
)

SEEDS = (1, 2, 3)
#: From second 5 to 12 of 20. Twice the usual rate is what days of high load bring; a target
#: that turns slow there takes 1.5 to 5 times as long.
SURGE = LoadPattern(surge=2.0)
HARD = LoadPattern(surge=2.0, immediate_retries=True)
SLOW = LoadPattern(slowdown=2.0)
ALL = LoadPattern(surge=2.0, slowdown=1.5, immediate_retries=True)


class SlotsLoadTest(TestCase):
    def worst(self, pattern: LoadPattern):
        """Give the least share of each kind over the seeds."""
        runs = [SlotsLoad(AdmissionControlledTarget, pattern, seed).run() for seed in SEEDS]
        return [min(shares) for shares in zip(*runs, strict=True)]

    def check(self, pattern: LoadPattern, views: float) -> None:
        """Hold calls of running work whole, and requests to what is left of the slots."""
        served, calls, late = self.worst(pattern)
        self.assertGreaterEqual(calls, 0.99)
        self.assertGreaterEqual(served, views)
        self.assertGreaterEqual(late, 0.98)

    def test_usual_load_is_served_whole(self):
        self.check(LoadPattern(), views=0.99)

    def test_surge(self):
        # Calls need 21.6 of the 38 slots then, which leaves 14 for views: 29 a second of 80,
        # so 0.67 of all in the run.
        self.check(SURGE, views=0.62)

    def test_surge_with_callers_that_come_again_at_once(self):
        # They are refused at once each time, and take no slot from anybody.
        self.check(HARD, views=0.62)

    def test_slow_target(self):
        self.check(SLOW, views=0.65)

    def test_surge_slow_target_and_hard_callers_at_once(self):
        self.check(ALL, views=0.45)

    def test_a_queue_in_order_of_arrival_loses_the_work_that_calls_are_made_for(self):
        # What the node's queue is measured against: four in ten calls come too late, and each
        # takes with it a request for which up to four hops have worked already.
        for pattern in (SURGE, HARD, SLOW, ALL):
            runs = [SlotsLoad(FifoTarget, pattern, seed).run() for seed in SEEDS]
            self.assertLess(max(run.calls for run in runs), 0.7)


class LookupsTest(TestCase):
    def served(self, seed: int, *, by_level: bool) -> float:
        return LookupLoad(
            requests_per_second=600.0, seconds=8.0, seed=seed, by_level=by_level
        ).run()

    def test_requests_whose_calls_a_service_cannot_all_serve_are_served_whole_or_not(self):
        # 600 requests a second need 72 of 35 slots. A request needs all of its four calls: when
        # each is as likely to be refused as any other, most requests lose one of them, for
        # which the others were served in vain.
        for seed in SEEDS:
            self.assertGreater(self.served(seed, by_level=True), 0.46)
            self.assertLess(self.served(seed, by_level=False), 0.4)
