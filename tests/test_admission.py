from heapq import heappop, heappush
from itertools import count
from statistics import median
from time import perf_counter

from testtools import TestCase

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.admission import Admission, Refuse, Run, Sample, Ticket, Wait
from dunlinsaddle.policy.retry_after import retry_after
from tests.builders import build_ticket


class AdmissionTest(TestCase):
    def test_more_valued_call_takes_the_place_of_a_less_valued_one(self):
        admission = Admission(limit=1)
        self.assertIsInstance(admission.admit(0.0, build_ticket(1)), Run)
        self.assertEqual(Wait(), admission.admit(0.0, build_ticket(2, level=300)))
        verdict = admission.admit(0.0, build_ticket(3, level=5))
        self.assertEqual(Wait(evicted=build_ticket(2, level=300)), verdict)

    def test_call_with_work_done_goes_before_others_of_its_rank(self):
        # Callers lose requests that are almost done: the last hop of a chain sheds by level
        # alone, and drops what ten hops have worked for to take in what nobody has.
        admission = Admission(limit=1)
        admission.admit(0.0, build_ticket(1))
        admission.admit(0.0, build_ticket(2, level=130))
        almost_done = build_ticket(3, level=250, hop=9)
        verdict = admission.admit(0.0, almost_done)
        self.assertEqual(Wait(evicted=build_ticket(2, level=130)), verdict)
        critical = build_ticket(4, level=5)
        self.assertEqual(Wait(evicted=almost_done), admission.admit(0.0, critical))

    def test_call_that_cannot_finish_in_time_is_refused_at_once(self):
        admission = Admission(limit=1)
        self.finish_one(admission, 1, seconds=2.0)
        admission.admit(2.0, build_ticket(2))
        verdict = admission.admit(2.0, build_ticket(3, deadline=3.0))
        self.assertIsInstance(verdict, Refuse)
        self.assertEqual(ErrorKind.TOO_LATE_TO_START, verdict.failure.kind)

    def test_waiting_call_is_dropped_when_its_time_has_run_out(self):
        admission = Admission(limit=1)
        self.finish_one(admission, 1, seconds=1.0)
        admission.admit(1.0, build_ticket(2))
        late = build_ticket(3, deadline=4.0)
        self.assertEqual(Wait(), admission.admit(1.0, late))
        admission.finish(3.5, build_ticket(2), Sample('default', 2.5, completed=True))
        self.assertEqual([late], admission.dequeue(3.5).expired)

    def test_call_that_waits_for_another_service_gives_its_place_away(self):
        # Callers of a healthy service are refused while a service below it is slow. Its
        # target waits for the slow one on behalf of a few calls, and these hold all places.
        admission = Admission(limit=1)
        admission.admit(0.0, build_ticket(1))
        admission.pause(0.0, build_ticket(1))
        self.assertIsInstance(admission.admit(0.0, build_ticket(2)), Run)

    def test_cost_of_a_decision_stays_flat(self):
        """The aim is 20 microseconds; the bound here leaves room for a busy machine."""
        few, many = self.decision_cost(10), self.decision_cost(10_000)
        self.assertLess(few, 60e-6)
        self.assertLess(many, 60e-6)

    def decision_cost(self, inflight: int) -> float:
        admission = Admission(limit=inflight, max_inflight=20_000)
        tickets = [build_ticket(i, level=i % 512) for i in range(inflight + 2000)]
        for ticket in tickets[:inflight]:
            admission.admit(0.0, ticket)
        costs = []
        for i in range(2000):
            now = i * 1e-4
            began = perf_counter()
            admission.finish(now, tickets[i], Sample('default', 0.1, completed=True))
            admission.dequeue(now)
            admission.admit(now, tickets[inflight + i])
            costs.append(perf_counter() - began)
        return median(costs)

    def test_rate_learned_under_a_low_limit_grows_with_it(self):
        """Callers are refused by the rate of the first limit long after it has risen."""
        admission = Admission()
        now = self.saturate(admission, seconds=0.4, ends=80)
        self.assertGreater(admission._capacity(now), 0.8 * admission.limit / 0.4)

    def saturate(self, admission: Admission, seconds: float, ends: int) -> float:
        """Offer more than is let in until so many calls have ended; gives the time."""
        now, numbers = 0.0, count()
        running: list[tuple[float, Ticket]] = []
        for _ in range(ends):
            while True:
                ticket = build_ticket(next(numbers), arrived_at=now, deadline=now + 10)
                if not isinstance(admission.admit(now, ticket), Run):
                    break
                heappush(running, (now + seconds, ticket))
            now, ended = heappop(running)
            admission.finish(now, ended, Sample('default', seconds, completed=True))
            for ticket in admission.dequeue(now).started:
                heappush(running, (now + seconds, ticket))
        return now

    def finish_one(self, admission: Admission, call_id: int, seconds: float) -> None:
        admission.admit(0.0, build_ticket(call_id))
        sample = Sample('default', seconds, completed=True)
        admission.finish(seconds, build_ticket(call_id), sample)


class RetryAfterTest(TestCase):
    def test_time_to_come_back_grows_with_the_excess_and_is_spread(self):
        mild = [retry_after(1.0, ticket) for ticket in range(100)]
        strong = [retry_after(10.0, ticket) for ticket in range(100)]
        self.assertGreater(min(strong), max(mild))
        self.assertGreater(len({round(seconds, 2) for seconds in mild}), 30)
