import asyncio
from collections import Counter

from testtools import TestCase

from standins.soak import Sent, judge, run

SECONDS = 3.0
#: One short run for each change of the code; seeds that ever failed stay here, with the cause.
SEEDS = (2,)


class SoakTest(TestCase):
    def test_promises_hold_while_processes_are_harmed(self):
        # Callers keep their connections while nodes and targets are killed, frozen, stopped
        # and started, and ways are cut. What they see, and what targets ran, is judged.
        for seed in SEEDS:
            record = asyncio.run(run(seed, SECONDS))
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
