from random import Random

from testtools import TestCase

from dunlinsaddle.policy.admission import Run, Sample, Wait
from dunlinsaddle.policy.context import LOWEST_LEVEL
from dunlinsaddle.policy.slots import FULL_SCAN_INTERVAL_SECONDS, SlotAdmission
from dunlinsaddle.policy.wait_queue import WaitQueue
from tests.builders import build_ticket

SECONDS = {'lookup': 0.02, 'view': 0.5, 'release': 0.1}


class WaitingCallsTest(TestCase):
    def test_the_work_ahead_is_that_of_the_calls_ahead(self):
        # An arrival is refused by the work ahead of it: counted wrong, callers wait in vain or
        # are refused beside free slots.
        rng = Random(4)
        waiting = WaitQueue(SECONDS.__getitem__)
        held = []
        for number in range(3000):
            if held and rng.random() < 0.5:
                gone = held.pop(rng.randrange(len(held)))
                waiting.discard(gone)
                waiting.discard(gone)
            else:
                rule, level = rng.choice([*SECONDS]), rng.randrange(LOWEST_LEVEL + 1)
                held.append(build_ticket(number, rule=rule, level=level, arrived_at=number))
                waiting.add(held[-1])
            level = rng.randrange(LOWEST_LEVEL + 1)
            before = [SECONDS[t.rule] for t in held if t.level <= level]
            ahead = waiting.ahead_of(build_ticket(level=level))
            self.assertEqual(len(before), ahead.calls)
            self.assertAlmostEqual(sum(before), ahead.work_seconds)
            self.assertEqual(len(held), waiting.total().calls)
            self.assertAlmostEqual(sum(SECONDS[t.rule] for t in held), waiting.total().work_seconds)
        ordered = sorted(held, key=lambda t: (t.level, t.arrived_at))
        self.assertEqual(ordered, [waiting.pop_first() for _ in held])
        self.assertEqual((0, 0), (len(waiting), waiting.total().work_seconds))


class CountedAdmission(SlotAdmission):
    looked = 0

    def _time(self, rule):
        self.looked += 1
        return super()._time(rule)


class LongQueueTest(TestCase):
    def looks(self, waiting: int) -> float:
        """Give how often a service time is asked for at an arrival behind so many calls."""
        admission = CountedAdmission()
        admission.set_slots(40)
        first = build_ticket(-1, deadline=900.0)
        admission.admit(0.0, first)
        admission.finish(0.0, first, Sample('default', 0.02, True))
        number = 0
        while len(admission.queue) < waiting:
            admission.admit(0.0, build_ticket(number, level=300, deadline=900.0))
            number += 1
        admission.looked = 0
        for arrival in range(200):
            ticket = build_ticket(9000 + arrival, level=100, deadline=900.0)
            verdict = admission.admit(arrival * FULL_SCAN_INTERVAL_SECONDS / 200, ticket)
            self.assertIsInstance(verdict, Wait)
        return admission.looked / 200

    def test_an_arrival_costs_the_same_behind_any_number_of_calls(self):
        # In a surge the node beside a deep service answers late, and its calls time out: with
        # each arrival it added up the work of all calls that wait, seven tenths of its time.
        self.assertLess(self.looks(2000), 1.5 * self.looks(50))

    def test_a_call_that_is_late_in_the_middle_of_the_queue_is_told_soon(self):
        # Its objective is shorter than those of the calls behind it, which are in time.
        admission = SlotAdmission()
        admission.set_slots(1)
        number = 0
        while isinstance(admission.admit(0.0, build_ticket(number, deadline=900.0)), Run):
            number += 1
        admission.finish(0.0, build_ticket(0), Sample('default', 0.1, True))
        admission.admit(0.0, build_ticket(50, level=200, deadline=0.5))
        for n in range(20):
            admission.admit(0.0, build_ticket(100 + n, level=300, deadline=900.0))
        evicted = []
        for n in range(40):
            ticket = build_ticket(500 + n, level=100, deadline=900.0)
            verdict = admission.admit(n * FULL_SCAN_INTERVAL_SECONDS / 10, ticket)
            evicted += [verdict.evicted.call_id] if verdict.evicted else []
        self.assertEqual([50], evicted)
