from testtools import TestCase

from dunlinsaddle.policy.concurrency_limit import INITIAL_LIMIT, AdaptiveLimit
from tests.builders import FakeServer


class AdaptiveLimitTest(TestCase):
    def test_limit_approaches_the_slots_without_an_initial_limit(self):
        server = FakeServer(slots=60, service_time=0.02)
        limit = AdaptiveLimit(max_limit=1000)
        server.run(limit, seconds=20)
        self.assertGreater(limit.value, 45)
        self.assertLess(limit.value, 120)

    def test_default_limit_grows_before_the_first_cohort_is_complete(self):
        """Otherwise nodes that have just started refuse callers for seconds with free slots."""
        server = FakeServer(slots=60, service_time=0.4)
        limit = AdaptiveLimit(max_limit=1000)
        server.run(limit, seconds=3 * server.service_time)
        self.assertGreater(limit.value, 2 * INITIAL_LIMIT)

    def test_configured_limit_does_not_grow_before_the_first_cohort_is_complete(self):
        """Otherwise a target gets more calls than it has slots from the start, and answers late."""
        server = FakeServer(slots=60, service_time=0.4)
        limit = AdaptiveLimit(initial=60, max_limit=1000)
        server.run(limit, seconds=server.service_time)
        self.assertEqual(60, limit.value)

    def test_limit_never_exceeds_its_upper_bound(self):
        server = FakeServer(slots=200, service_time=0.02)
        limit = AdaptiveLimit(max_limit=30)
        server.run(limit, seconds=10)
        self.assertLessEqual(limit.value, 30)

    def test_slower_target_keeps_its_limit(self):
        # The target becomes five times slower, so its own time rises and the limit is cut. A cut
        # does not make a slow target faster; without trials, one cut would follow another down to
        # one call, although the target could take more.
        server = FakeServer(slots=60, service_time=0.02)
        limit = AdaptiveLimit(max_limit=1000)
        server.run(limit, seconds=20)
        server.service_time *= 5
        server.run(limit, seconds=30)
        self.assertGreater(limit.value, 40)

    def test_restarted_target_begins_with_a_share_of_the_initial_limit(self):
        limit = AdaptiveLimit(initial=100, max_limit=1000)
        limit.reset_after_restart(1.0)
        self.assertEqual(25, limit.value)
