from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from dunlinsaddle.errors import ErrorKind, Outcome
from dunlinsaddle.policy.retry import RetryAllowance, may_resend


class _Chain:
    """A chain in which any call may fail at random; counts the resends of one root."""

    def __init__(self, depth: int, fan_out: int, seed: int) -> None:
        self.depth = depth
        self.fan_out = fan_out
        self.rng = Random(seed)
        self.resends = 0

    def serve(self, allowance: RetryAllowance, hop: int) -> None:
        for _ in range(self.fan_out if hop < self.depth else 0):
            self.call(allowance, hop + 1)

    def call(self, allowance: RetryAllowance, hop: int) -> None:
        while True:
            handed = allowance.delegate()
            below = RetryAllowance(handed)
            self.serve(below, hop)
            if self.rng.random() < 0.5:
                allowance.reclaim(handed, below.tokens)
                return
            if self.rng.random() < 0.5:
                allowance.reclaim(handed, below.tokens)
            if not allowance.spend():
                return
            self.resends += 1


class AllowanceTest(TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.integers(1, 11), st.integers(1, 3), st.integers(0, 10), st.integers(0, 1 << 32))
    def test_resends_of_one_request_stay_within_the_bound(self, depth, fan_out, bound, seed):
        # Every hop may fail and be retried. With a retry rule of its own at each hop the
        # tries would multiply with the depth; with one allowance the sum is the bound.
        chain = _Chain(min(depth, 5) if fan_out > 1 else depth, fan_out, seed)
        chain.serve(RetryAllowance(bound), 0)
        self.assertLessEqual(chain.resends, bound)

    def test_more_tokens_than_were_handed_down_do_not_come_back(self):
        allowance = RetryAllowance(3)
        handed = allowance.delegate()
        allowance.reclaim(handed, 100)
        self.assertEqual(3, allowance.tokens)


class MayResendTest(TestCase):
    def test_what_may_have_run_is_resent_only_if_idempotent(self):
        lost = (ErrorKind.TARGET_LOST, Outcome.UNKNOWN)
        self.assertTrue(may_resend(*lost, idempotent=True))
        self.assertFalse(may_resend(*lost, idempotent=False))

    def test_refusal_for_overload_is_final(self):
        refused = (ErrorKind.OVERLOADED, Outcome.NOT_RUN)
        self.assertFalse(may_resend(*refused, idempotent=True))

    def test_leaving_target_costs_a_refused_hop_only(self):
        refused = (ErrorKind.DRAINING, Outcome.NOT_RUN)
        self.assertTrue(may_resend(*refused, idempotent=False))
