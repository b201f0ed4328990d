from testtools import TestCase

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.callers import BURST, ResendGuard
from dunlinsaddle.records.models import Rank


class ResendGuardTest(TestCase):
    def setUp(self):
        super().setUp()
        self.guard = ResendGuard()

    def check(self, now: float, name: str = 'one', rank: Rank = Rank.NORMAL):
        return self.guard.check(now, 'tablet', name, rank=rank, ratio=0.2)

    def hammer(self, times: int, rank: Rank = Rank.NORMAL) -> int:
        passed = 0
        for number in range(times):
            now = number * 0.01
            if self.check(now, rank=rank) is None:
                passed += 1
            self.guard.record_refusal(now, 'tablet', 'one', retry_after=100.0)
        return passed

    def test_caller_that_asks_again_at_once_is_refused_at_the_entry(self):
        # The service sheds a call, and its caller sends it again every 10 ms. All but a
        # small burst ends at the entry node and costs no target anything.
        self.assertLessEqual(self.hammer(1000), BURST + 1)

    def test_refusal_tells_when_to_come_back(self):
        self.hammer(100)
        failure = self.check(1.0)
        self.assertEqual(ErrorKind.CALLER_OVER_RATE, failure.kind)
        self.assertGreater(failure.retry_after, 0)

    def test_resend_after_the_time_it_was_told_is_free(self):
        self.hammer(100)
        self.assertIsNone(self.check(1000.0))

    def test_other_calls_of_the_same_caller_pass(self):
        self.hammer(100)
        self.assertIsNone(self.check(1.0, name='two'))

    def test_most_valued_requests_always_pass(self):
        self.assertEqual(1000, self.hammer(1000, rank=Rank.CRITICAL))
