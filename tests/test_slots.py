from testtools import TestCase

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.admission import Refuse, Run, Sample, Wait
from dunlinsaddle.policy.context import LOWEST_LEVEL
from dunlinsaddle.policy.slots import SlotAdmission
from tests.builders import build_ticket


class SlotAdmissionTest(TestCase):
    def build_admission(self, slots=10, seconds=0.1):
        admission = SlotAdmission()
        admission.set_slots(slots)
        for number in range(3):
            ticket = build_ticket(-1 - number)
            admission.admit(0.0, ticket)
            admission.finish(0.0, ticket, Sample('default', seconds, True))
        return admission

    def fill(self, admission, **fields):
        number = 1000
        while isinstance(admission.admit(0.0, build_ticket(number, **fields)), Run):
            number += 1
        return number - 1000

    def test_only_95_percent_of_the_slots_are_used(self):
        # A target rejects calls beyond its slots or never answers them; either costs a retry.
        self.assertEqual(38, SlotAdmissionTest.fill(self, self.build_admission(slots=40), hop=1))

    def test_queue_order_depends_on_level_alone_and_not_on_the_hop(self):
        # If calls of running requests came first whatever their rank, they would take all slots and
        # callers of the deep service itself would get none. Running requests are protected by the
        # entries, which refuse requests whose calls would be refused.
        admission = self.build_admission()
        self.fill(admission, level=100)
        admission.admit(0.0, build_ticket(1, level=310, hop=3))
        admission.admit(0.0, build_ticket(2, level=300))
        admission.admit(0.0, build_ticket(3, level=120, hop=3))
        running = build_ticket(1000, level=100)
        started = []
        for _ in range(4):
            admission.finish(0.1, running, Sample('default', 0.1, True))
            started += [t.call_id for t in admission.dequeue(0.1).started]
        self.assertEqual([3, 2, 1], started[1:])

    def test_load_reports_the_level_that_fills_the_slots(self):
        # Entries must know which requests a full service can serve, or requests pass three hops and
        # fail there. With twice the demand, that is half of the levels of their rank.
        admission = self.build_admission(slots=20, seconds=0.1)
        self.assertEqual(LOWEST_LEVEL, admission.load(0.05).level)
        running = []
        now = 0.1
        for number in range(1200):
            now += 0.0025
            while running and running[0][0] <= now:
                ended = running.pop(0)[1]
                admission.finish(now, ended, Sample('default', 0.1, True))
                running += [(now + 0.1, ticket) for ticket in admission.dequeue(now).started]
            ticket = build_ticket(
                number, level=256 + number * 37 % 128, arrived_at=now, deadline=now + 0.3
            )
            if isinstance(admission.admit(now, ticket), Run):
                running.append((now + 0.1, ticket))
        self.assertGreater(admission.load(now).level, 256 + 128 * 0.35)
        self.assertLess(admission.load(now).level, 256 + 128 * 0.65)

    def test_call_that_cannot_be_answered_by_its_deadline_is_refused_on_arrival(self):
        admission = self.build_admission(seconds=0.4)
        self.fill(admission, deadline=60.0)
        verdict = admission.admit(0.0, build_ticket(1, deadline=0.3))
        self.assertIsInstance(verdict, Refuse)
        self.assertEqual(ErrorKind.OVERLOADED, verdict.failure.kind)
        self.assertGreater(verdict.failure.retry_after, 0.0)

    def test_call_that_cannot_be_answered_within_its_useful_time_is_refused(self):
        admission = self.build_admission(seconds=0.4)
        self.fill(admission, deadline=60.0)
        late = build_ticket(1, deadline=60.0, useful_until=0.2)
        self.assertIsInstance(admission.admit(0.0, late), Refuse)

    def test_last_waiting_call_is_evicted_as_soon_as_it_would_be_late(self):
        # Calls that arrive later and go first push it back. Refused at once, its caller has time to
        # retry; refused at the end of its wait, it has not.
        admission = self.build_admission(slots=1, seconds=0.1)
        self.fill(admission, deadline=60.0)
        self.assertIsInstance(admission.admit(0.0, build_ticket(5, deadline=0.35)), Wait)
        verdicts = [
            admission.admit(0.0, build_ticket(10 + n, level=100, deadline=60.0)) for n in range(3)
        ]
        evicted = [v.evicted.call_id for v in verdicts if v.evicted is not None]
        self.assertEqual([5], evicted)

    def test_retry_after_times_differ(self):
        admission = self.build_admission(slots=1, seconds=1.0)
        self.fill(admission, deadline=60.0)
        times = {
            admission.admit(0.0, build_ticket(n, deadline=0.5)).failure.retry_after
            for n in range(1, 9)
        }
        self.assertEqual(8, len(times))


class ExpectedWaitTest(TestCase):
    def test_expected_more_important_calls_lengthen_the_wait_at_the_entry(self):
        # More important calls take most slots all the time, so a request at the entry gets only the
        # slots they leave, while all slots together would serve it in time. Refused at once, its
        # caller can retry; refused after the wait, it has lost that time.
        admission = SlotAdmission()
        admission.set_slots(20)
        number = 0
        running = []
        for step in range(300):
            now = step * 0.01
            while admission.inflight < 16:
                number += 1
                ticket = build_ticket(number, hop=1, level=100, deadline=now + 5, rule='inner')
                self.assertIsInstance(admission.admit(now, ticket), Run)
                running.append(ticket)
            for ticket in running[:5]:
                admission.finish(now, ticket, Sample('inner', 0.03, True))
            running = running[5:]
        entry = build_ticket(9001, level=300, rule='view', deadline=99.0)
        admission.admit(3.0, entry)
        admission.finish(3.0, entry, Sample('view', 0.5, True))
        verdicts = [
            admission.admit(
                3.0, build_ticket(9100 + n, level=300, rule='view', arrived_at=3.0, deadline=4.5)
            )
            for n in range(30)
        ]
        waits = sum(isinstance(verdict, Wait) for verdict in verdicts)
        # With all 18 usable slots at 0.5 s, 36 calls would be queued for the remaining second.
        self.assertLess(waits, 18)
        self.assertIsInstance(verdicts[-1], Refuse)
