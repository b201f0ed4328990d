from testtools import TestCase

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.resend_guard import BURST, ResendGuard
from dunlinsaddle.records.models import Rank


class ResendGuardTest(TestCase):
    def setUp(self):
        super().setUp()
        self.guard = ResendGuard()

    def check(self, now: float, request_key: str = 'one', rank: Rank = Rank.NORMAL):
        return self.guard.check(now, 'tablet', request_key, rank=rank, ratio=0.2)

    def resend_every_10_ms(self, times: int, rank: Rank = Rank.NORMAL) -> int:
        passed = 0
        for number in range(times):
            now = number * 0.01
            if self.check(now, rank=rank) is None:
                passed += 1
            self.guard.record_refusal(now, 'tablet', 'one', retry_after=100.0)
        return passed

    def test_caller_that_resends_immediately_is_refused(self):
        # The service sheds a call, and its caller resends it every 10 ms. All resends but a small
        # burst are refused at the entry node and cost no target anything.
        self.assertLessEqual(self.resend_every_10_ms(1000), BURST + 1)

    def test_refusal_has_a_retry_after(self):
        self.resend_every_10_ms(100)
        failure = self.check(1.0)
        self.assertEqual(ErrorKind.CALLER_OVER_RATE, failure.kind)
        self.assertGreater(failure.retry_after, 0)

    def test_resend_after_retry_after_is_allowed(self):
        self.resend_every_10_ms(100)
        self.assertIsNone(self.check(1000.0))

    def test_other_calls_of_the_same_caller_are_allowed(self):
        self.resend_every_10_ms(100)
        self.assertIsNone(self.check(1.0, request_key='two'))

    def test_critical_requests_are_always_allowed(self):
        self.assertEqual(1000, self.resend_every_10_ms(1000, rank=Rank.CRITICAL))
