from random import Random

from testtools import TestCase

from dunlinsaddle.policy.admission import Run, Sample, Wait
from dunlinsaddle.policy.context import LOWEST_LEVEL
from dunlinsaddle.policy.slots import FULL_SCAN_INTERVAL_SECONDS, SlotAdmission
from dunlinsaddle.policy.wait_queue import WaitQueue
from tests.builders import build_ticket

SECONDS = {'lookup': 0.02, 'view': 0.5, 'release': 0.1}


class WaitQueueTest(TestCase):
    def test_work_ahead_is_the_sum_over_the_calls_ahead(self):
        # New calls are refused by the work ahead of them. If it is wrong, callers wait in vain or
        # are refused while slots are free.
        rng = Random(4)
        queue = WaitQueue(SECONDS.__getitem__)
        queued = []
        for number in range(3000):
            if queued and rng.random() < 0.5:
                removed = queued.pop(rng.randrange(len(queued)))
                queue.discard(removed)
                queue.discard(removed)
            else:
                rule, level = rng.choice([*SECONDS]), rng.randrange(LOWEST_LEVEL + 1)
                queued.append(build_ticket(number, rule=rule, level=level, arrived_at=number))
                queue.add(queued[-1])
            level = rng.randrange(LOWEST_LEVEL + 1)
            before = [SECONDS[t.rule] for t in queued if t.level <= level]
            ahead = queue.ahead_of(build_ticket(level=level))
            self.assertEqual(len(before), ahead.calls)
            self.assertAlmostEqual(sum(before), ahead.work_seconds)
            self.assertEqual(len(queued), queue.total().calls)
            self.assertAlmostEqual(sum(SECONDS[t.rule] for t in queued), queue.total().work_seconds)
        ordered = sorted(queued, key=lambda t: (t.level, t.arrived_at))
        self.assertEqual(ordered, [queue.pop_first() for _ in queued])
        self.assertEqual((0, 0), (len(queue), queue.total().work_seconds))


class CountingAdmission(SlotAdmission):
    lookups = 0

    def _service_time(self, rule):
        self.lookups += 1
        return super()._service_time(rule)


class LongQueueTest(TestCase):
    def lookups_per_arrival(self, waiting: int) -> float:
        """Return the number of service time lookups per arrival behind ``waiting`` calls."""
        admission = CountingAdmission()
        admission.set_slots(40)
        first = build_ticket(-1, deadline=900.0)
        admission.admit(0.0, first)
        admission.finish(0.0, first, Sample('default', 0.02, True))
        number = 0
        while len(admission.queue) < waiting:
            admission.admit(0.0, build_ticket(number, level=300, deadline=900.0))
            number += 1
        admission.lookups = 0
        for arrival in range(200):
            ticket = build_ticket(9000 + arrival, level=100, deadline=900.0)
            verdict = admission.admit(arrival * FULL_SCAN_INTERVAL_SECONDS / 200, ticket)
            self.assertIsInstance(verdict, Wait)
        return admission.lookups / 200

    def test_cost_of_an_arrival_does_not_depend_on_the_queue_length(self):
        # Adding up the work of all waiting calls at each arrival took 70 % of a node's processor
        # time in a surge: the node beside a deep service answered late, and its calls timed out.
        self.assertLess(self.lookups_per_arrival(2000), 1.5 * self.lookups_per_arrival(50))

    def test_late_call_in_the_middle_of_the_queue_is_evicted_soon(self):
        # Its deadline is earlier than those of the calls behind it, which are in time.
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
