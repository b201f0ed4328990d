import asyncio
from collections import Counter

from testtools import TestCase

from standins.soak import Sent, judge, run

#: One short run for each change of the code; seeds that ever failed stay here, with the cause.
#: 10: a node that started while the store took calls and said nothing had no configuration for
#: 27 s, the time of a whole watch (about every second run, at 5 s of faults).
SEEDS = ((2, 3.0), (10, 5.0))


class SoakTest(TestCase):
    def test_promises_hold_while_processes_are_harmed(self):
        # Callers keep their connections while nodes and targets are killed, frozen, stopped
        # and started, and ways are cut. What they see, and what targets ran, is judged.
        for seed, seconds in SEEDS:
            record = asyncio.run(run(seed, seconds))
            self.assertEqual([], record.findings, (seed, record.faults))


class JudgeTest(TestCase):
    def sent(self, **changes):
        return Sent('q', 'orders', 'a', 200, True, 0.1)._replace(**changes)

    def found(self, runs, **changes):
        return len(judge([self.sent(), self.sent(**changes)], Counter(runs)))

    def test_each_broken_promise_is_a_finding(self):
        self.assertEqual(0, self.found({'q': 1}))
        self.assertEqual(2, self.found({'q': 2}))
        self.assertEqual(1, self.found({'q': 1}, status=503))
        self.assertEqual(1, self.found({'q': 1}, sound=False))
        self.assertEqual(1, self.found({'q': 1}, status=404))
