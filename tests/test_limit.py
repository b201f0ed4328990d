from testtools import TestCase

from dunlinsaddle.policy.concurrency_limit import INITIAL_LIMIT, AdaptiveLimit
from tests.builders import FakeServer


class AdaptiveLimitTest(TestCase):
    def test_limit_finds_the_slots_without_being_told(self):
        server = FakeServer(slots=60, service_time=0.02)
        limit = AdaptiveLimit(max_limit=1000)
        server.run(limit, seconds=20)
        self.assertGreater(limit.value, 45)
        self.assertLess(limit.value, 120)

    def test_limit_that_nobody_told_rises_before_the_first_calls_have_been_judged(self):
        """A fleet that has just started refuses callers for seconds with its slots free."""
        server = FakeServer(slots=60, service_time=0.4)
        limit = AdaptiveLimit(max_limit=1000)
        server.run(limit, seconds=3 * server.service_time)
        self.assertGreater(limit.value, 2 * INITIAL_LIMIT)

    def test_limit_that_was_told_waits_for_the_first_calls_to_be_judged(self):
        """A target is given more than its slots from its first calls on, and answers late."""
        server = FakeServer(slots=60, service_time=0.4)
        limit = AdaptiveLimit(initial=60, max_limit=1000)
        server.run(limit, seconds=server.service_time)
        self.assertEqual(60, limit.value)

    def test_limit_never_exceeds_the_connections(self):
        server = FakeServer(slots=200, service_time=0.02)
        limit = AdaptiveLimit(max_limit=30)
        server.run(limit, seconds=10)
        self.assertLessEqual(limit.value, 30)

    def test_slower_target_keeps_its_limit(self):
        # The caller sees ever fewer calls admitted, though the target could take them. The
        # target becomes five times slower; own time rises and the limit is cut. A cut does
        # not make a slow target faster, so each cut is followed by the next, down to one.
        server = FakeServer(slots=60, service_time=0.02)
        limit = AdaptiveLimit(max_limit=1000)
        server.run(limit, seconds=20)
        server.service_time *= 5
        server.run(limit, seconds=30)
        self.assertGreater(limit.value, 40)

    def test_restarted_target_starts_slowly(self):
        limit = AdaptiveLimit(initial=100, max_limit=1000)
        limit.reset_after_restart(1.0)
        self.assertEqual(25, limit.value)
