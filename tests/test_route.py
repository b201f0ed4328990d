from random import Random

from testtools import TestCase

from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.route import AVOID_SECONDS, EJECT_AFTER, Candidate, Router

NEAR = Candidate('bangor-1', 'bangor-hall')
FAR = Candidate('menai-1', 'menai-hall')
OTHER = Candidate('caernarfon-1', 'caernarfon-hall')
ALL = [NEAR, FAR, OTHER]


class RouterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.router = Router('bangor-hall', Random(3))

    def shares(self, now: float = 0.0, candidates=ALL, rounds: int = 600) -> dict[str, float]:
        counts: dict[str, int] = {}
        for _ in range(rounds):
            chosen = self.router.choose(now, candidates)
            counts[chosen.instance] = counts.get(chosen.instance, 0) + 1
        return {name: count / rounds for name, count in counts.items()}

    def fail(self, instance: str, now: float = 0.0, times: int = EJECT_AFTER) -> None:
        for _ in range(times):
            self.router.sent(instance)
            self.router.failed(now, instance)

    def load(self, instance: str, **load) -> None:
        self.router.sent(instance)
        self.router.answered(instance, Load(**load))

    def test_idle_targets_are_chosen_near_first(self):
        self.assertEqual({'bangor-1': 1.0}, self.shares())

    def test_calls_spill_to_other_domains_when_the_near_target_fills(self):
        self.load('bangor-1', inflight=30, limit=40)
        self.load('menai-1', inflight=2, limit=40)
        self.load('caernarfon-1', inflight=2, limit=40)
        self.assertLess(self.shares()['bangor-1'], 0.5)

    def test_no_more_than_half_of_the_targets_are_ejected(self):
        # All targets fail at once, as they do when this node's own network is broken. Were
        # all left out, no call could ever show that they work again.
        for candidate in ALL:
            self.fail(candidate.instance)
        self.assertGreaterEqual(len(self.shares()), 2)

    def test_ejected_target_gets_calls_again_later(self):
        self.fail('bangor-1')
        self.assertNotIn('bangor-1', self.shares())
        self.assertIn('bangor-1', self.shares(now=60.0))

    def test_target_that_fails_at_once_does_not_draw_the_load(self):
        # The caller sees errors: a target answers 500 within a millisecond, so it always
        # has the fewest calls outstanding, and a choice by load alone sends it everything.
        for _ in range(20):
            self.router.sent('bangor-1')
            self.router.answered('bangor-1', Load(inflight=0, limit=40), error=True)
            for name in ('menai-1', 'caernarfon-1'):
                self.load(name, inflight=1, limit=40)
        self.assertLess(self.shares()['bangor-1'], 0.5)

    def test_suspect_is_used_only_when_nobody_else_is_left(self):
        suspect = NEAR._replace(suspect=True)
        self.assertNotIn('bangor-1', self.shares(candidates=[suspect, FAR, OTHER]))
        self.assertEqual(suspect, self.router.choose(0.0, [suspect]))

    def test_target_that_said_it_leaves_is_avoided(self):
        self.router.avoid(0.0, 'bangor-1')
        self.assertNotIn('bangor-1', self.shares(now=AVOID_SECONDS / 2))

    def test_tried_targets_are_never_chosen_again(self):
        tried = frozenset({'bangor-1', 'menai-1', 'caernarfon-1'})
        self.assertIsNone(self.router.choose(0.0, ALL, tried))
