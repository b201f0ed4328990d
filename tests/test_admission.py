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
    def test_more_important_call_evicts_a_less_important_one_from_the_queue(self):
        admission = Admission(limit=1)
        self.assertIsInstance(admission.admit(0.0, build_ticket(1)), Run)
        self.assertEqual(Wait(), admission.admit(0.0, build_ticket(2, level=300)))
        verdict = admission.admit(0.0, build_ticket(3, level=5))
        self.assertEqual(Wait(evicted=build_ticket(2, level=300)), verdict)

    def test_call_of_a_running_request_precedes_others_of_its_rank(self):
        # If the last hop of a chain shed by level alone, it would drop requests that ten hops have
        # worked on in favour of requests on which no work has been done.
        admission = Admission(limit=1)
        admission.admit(0.0, build_ticket(1))
        admission.admit(0.0, build_ticket(2, level=130))
        almost_done = build_ticket(3, level=250, hop=9)
        verdict = admission.admit(0.0, almost_done)
        self.assertEqual(Wait(evicted=build_ticket(2, level=130)), verdict)
        critical = build_ticket(4, level=5)
        self.assertEqual(Wait(evicted=almost_done), admission.admit(0.0, critical))

    def test_call_that_cannot_finish_in_time_is_refused_on_arrival(self):
        admission = Admission(limit=1)
        self.finish_one(admission, 1, seconds=2.0)
        admission.admit(2.0, build_ticket(2))
        verdict = admission.admit(2.0, build_ticket(3, deadline=3.0))
        self.assertIsInstance(verdict, Refuse)
        self.assertEqual(ErrorKind.TOO_LATE_TO_START, verdict.failure.kind)

    def test_waiting_call_expires_when_it_can_no_longer_meet_its_deadline(self):
        admission = Admission(limit=1)
        self.finish_one(admission, 1, seconds=1.0)
        admission.admit(1.0, build_ticket(2))
        late = build_ticket(3, deadline=4.0)
        self.assertEqual(Wait(), admission.admit(1.0, late))
        admission.finish(3.5, build_ticket(2), Sample('default', 2.5, completed=True))
        self.assertEqual([late], admission.dequeue(3.5).expired)

    def test_call_that_waits_for_another_service_does_not_count_against_the_limit(self):
        # Otherwise callers of a healthy service are refused while a service that it calls is slow:
        # the few calls that wait for the slow service use up the whole limit.
        admission = Admission(limit=1)
        admission.admit(0.0, build_ticket(1))
        admission.pause(0.0, build_ticket(1))
        self.assertIsInstance(admission.admit(0.0, build_ticket(2)), Run)

    def test_cost_of_a_decision_does_not_depend_on_the_number_of_calls(self):
        """The aim is 20 microseconds; the bound here allows for a busy machine."""
        few, many = self.decision_seconds(10), self.decision_seconds(10_000)
        self.assertLess(few, 60e-6)
        self.assertLess(many, 60e-6)

    def decision_seconds(self, inflight: int) -> float:
        admission = Admission(limit=inflight, max_inflight=20_000)
        tickets = [build_ticket(i, level=i % 512) for i in range(inflight + 2000)]
        for ticket in tickets[:inflight]:
            admission.admit(0.0, ticket)
        durations = []
        for i in range(2000):
            now = i * 1e-4
            began = perf_counter()
            admission.finish(now, tickets[i], Sample('default', 0.1, completed=True))
            admission.dequeue(now)
            admission.admit(now, tickets[inflight + i])
            durations.append(perf_counter() - began)
        return median(durations)

    def test_capacity_observed_under_a_low_limit_grows_with_the_limit(self):
        """Otherwise callers are refused by the initial rate long after the limit has risen."""
        admission = Admission()
        now = self.saturate(admission, seconds=0.4, ends=80)
        self.assertGreater(admission._capacity(now), 0.8 * admission.limit / 0.4)

    def saturate(self, admission: Admission, seconds: float, ends: int) -> float:
        """Offer more calls than are admitted until ``ends`` have ended; return the time."""
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
    def test_retry_after_grows_with_the_excess_and_has_jitter(self):
        mild = [retry_after(1.0, ticket) for ticket in range(100)]
        strong = [retry_after(10.0, ticket) for ticket in range(100)]
        self.assertGreater(min(strong), max(mild))
        self.assertGreater(len({round(seconds, 2) for seconds in mild}), 30)
