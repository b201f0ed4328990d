from testtools import TestCase

from tests.fakes.slots_load import (
    AdmissionControlledTarget,
    FifoTarget,
    LoadPattern,
    LookupLoad,
    SlotsLoad,
)

SEEDS = (1, 2, 3)
#: Twice the normal rate occurs on days of high load; a target that becomes slow then takes 1.5 to
#: 5 times as long.
SURGE = LoadPattern(surge=2.0)
IMMEDIATE_RETRIES = LoadPattern(surge=2.0, immediate_retries=True)
SLOW = LoadPattern(slowdown=2.0)
COMBINED = LoadPattern(surge=2.0, slowdown=1.5, immediate_retries=True)


class SlotsLoadTest(TestCase):
    def lowest_shares(self, pattern: LoadPattern):
        """Return the lowest share of each kind over the seeds."""
        runs = [SlotsLoad(AdmissionControlledTarget, pattern, seed).run() for seed in SEEDS]
        return [min(shares) for shares in zip(*runs, strict=True)]

    def check(self, pattern: LoadPattern, min_views: float) -> None:
        """Check that nearly all calls are served, and views with the slots that are left."""
        views, calls, late_views = self.lowest_shares(pattern)
        self.assertGreaterEqual(calls, 0.99)
        self.assertGreaterEqual(views, min_views)
        self.assertGreaterEqual(late_views, 0.98)

    def test_normal_load_is_served(self):
        self.check(LoadPattern(), min_views=0.99)

    def test_surge(self):
        # Calls need 21.6 of the 38 slots during the surge. That leaves 14 for views: 29 of 80 per
        # second, or 0.67 of all views of the run.
        self.check(SURGE, min_views=0.62)

    def test_surge_with_immediate_retries(self):
        # Immediate retries are refused at once and use no slots.
        self.check(IMMEDIATE_RETRIES, min_views=0.62)

    def test_slow_target(self):
        self.check(SLOW, min_views=0.65)

    def test_surge_with_slow_target_and_immediate_retries(self):
        self.check(COMBINED, min_views=0.45)

    def test_a_fifo_queue_serves_many_calls_too_late(self):
        # The baseline for the admission queue: four in ten calls are served too late, and with
        # each call a request fails that up to four hops have worked on.
        for pattern in (SURGE, IMMEDIATE_RETRIES, SLOW, COMBINED):
            runs = [SlotsLoad(FifoTarget, pattern, seed).run() for seed in SEEDS]
            self.assertLess(max(run.calls for run in runs), 0.7)


class LookupLoadTest(TestCase):
    def completed_share(self, seed: int, *, by_level: bool) -> float:
        return LookupLoad(
            requests_per_second=600.0, seconds=8.0, seed=seed, by_level=by_level
        ).run()

    def test_an_overloaded_service_serves_all_calls_of_a_request_or_none(self):
        # 600 requests per second need 72 slots, and there are 35. A request needs all of its four
        # calls. When all calls are equally likely to be refused, most requests lose one of them,
        # and their other calls were served in vain.
        for seed in SEEDS:
            self.assertGreater(self.completed_share(seed, by_level=True), 0.46)
            self.assertLess(self.completed_share(seed, by_level=False), 0.4)
