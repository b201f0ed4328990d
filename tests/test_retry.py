from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from dunlinsaddle.errors import ErrorKind, Outcome
from dunlinsaddle.policy.retry import RetryAllowance, may_resend


class _CallGraph:
    """A call graph in which any call may fail; counts the resends for one root request."""

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
            delegated = allowance.delegate()
            callee_allowance = RetryAllowance(delegated)
            self.serve(callee_allowance, hop)
            if self.rng.random() < 0.5:
                allowance.reclaim(delegated, callee_allowance.tokens)
                return
            if self.rng.random() < 0.5:
                allowance.reclaim(delegated, callee_allowance.tokens)
            if not allowance.spend():
                return
            self.resends += 1


class AllowanceTest(TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.integers(1, 11), st.integers(1, 3), st.integers(0, 10), st.integers(0, 1 << 32))
    def test_resends_of_one_request_stay_within_the_bound(self, depth, fan_out, bound, seed):
        # Any hop may fail and be retried. If each hop had its own retry limit, the attempts would
        # multiply with the depth; with one shared allowance their sum is bounded.
        graph = _CallGraph(min(depth, 5) if fan_out > 1 else depth, fan_out, seed)
        graph.serve(RetryAllowance(bound), 0)
        self.assertLessEqual(graph.resends, bound)

    def test_no_more_tokens_are_reclaimed_than_were_delegated(self):
        allowance = RetryAllowance(3)
        delegated = allowance.delegate()
        allowance.reclaim(delegated, 100)
        self.assertEqual(3, allowance.tokens)


class MayResendTest(TestCase):
    def test_call_that_may_have_run_is_resent_only_if_idempotent(self):
        lost = (ErrorKind.TARGET_LOST, Outcome.UNKNOWN)
        self.assertTrue(may_resend(*lost, idempotent=True))
        self.assertFalse(may_resend(*lost, idempotent=False))

    def test_refusal_for_overload_is_final(self):
        refused = (ErrorKind.OVERLOADED, Outcome.NOT_RUN)
        self.assertFalse(may_resend(*refused, idempotent=True))

    def test_call_refused_by_a_draining_target_is_resent(self):
        refused = (ErrorKind.DRAINING, Outcome.NOT_RUN)
        self.assertTrue(may_resend(*refused, idempotent=False))
