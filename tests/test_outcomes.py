from random import Random

from testtools import TestCase

from dunlinsaddle.policy.failure_throttle import MIN_ADMITTED_SHARE, FailureThrottle
from tests.mesh_case import MeshTest
from tests.test_deep_load import ALIKE, ALIKE_SLOTS, ALL_SHED, shares


class OutcomesTest(TestCase):
    def admitted(self, outcomes: FailureThrottle, now: float, count: int = 400) -> float:
        return sum(outcomes.admits(now, 'lookup') for _ in range(count)) / count

    def ended(
        self, whole: float, seconds: float, outcomes: FailureThrottle, began: float = 0.0
    ) -> None:
        rng = Random(3)
        for step in range(int(seconds * 10)):
            outcomes.record_end(began + step / 10, 'lookup', failed=rng.random() >= whole)

    def test_all_are_let_in_while_they_are_whole(self):
        outcomes = FailureThrottle()
        self.ended(0.97, 5, outcomes)
        self.assertEqual(1.0, self.admitted(outcomes, 5.0))

    def test_a_rule_that_is_never_whole_is_let_in_to_find_out_only(self):
        # Nearly all requests fail three hops down: what they use up there is missing elsewhere.
        outcomes = FailureThrottle()
        self.ended(0.0, 5, outcomes)
        self.assertAlmostEqual(MIN_ADMITTED_SHARE, self.admitted(outcomes, 5.0), delta=0.1)

    def test_what_half_of_is_whole_is_not_held_back(self):
        outcomes = FailureThrottle()
        self.ended(0.6, 5, outcomes)
        self.assertGreater(self.admitted(outcomes, 5.0), 0.9)

    def test_it_is_open_again_soon_after_the_calls_are_taken_again(self):
        # Callers are refused though all would be served: only those let in show that.
        outcomes = FailureThrottle()
        self.ended(0.0, 5, outcomes)
        now = 5.0
        for step in range(15):
            now = 5.0 + step / 10
            if outcomes.admits(now, 'lookup'):
                outcomes.record_end(now, 'lookup', failed=False)
        self.assertGreater(self.admitted(outcomes, now), 0.9)

    def test_other_rules_are_not_held_back(self):
        outcomes = FailureThrottle()
        self.ended(0.0, 5, outcomes)
        self.assertTrue(all(outcomes.admits(5.0, 'map') for _ in range(50)))


class AllShedTest(TestCase):
    def test_fewer_requests_begin_in_vain_and_no_fewer_are_whole(self):
        # All targets of the deep service turn away half of what arrives: nine lookups in ten
        # failed after three hops of work.
        held = shares(ALIKE, ALL_SHED, ALIKE_SLOTS)
        free = shares(ALIKE, ALL_SHED, ALIKE_SLOTS, by_outcome=False)
        self.assertLess(held['lookup'].spoilt, 0.8)
        self.assertGreater(free['lookup'].spoilt, 0.85)
        self.assertGreaterEqual(held['lookup'].in_time, free['lookup'].in_time)
        self.assertGreater(held['order'].in_time, free['order'].in_time - 0.02)


SERVICES = ('front', 'deep', 'below')
TARGETS = ('a:front', 'b:deep', 'c:below')


class EntryTest(MeshTest):
    async def all_fail(self, mesh):
        """Send requests whose calls fail; gives those begun and refused, and if all were told."""
        middle, below = mesh.targets['b'], mesh.targets['c']

        async def fail(req):
            return below.signed_response(req, 500)

        async def call_and_fail(req):
            await mesh.nodes['b'].ingress.handle(type(req)('GET', '/below/x', _inner(req), b'', ''))
            return middle.signed_response(req, 502)

        below.respond = fail
        middle.respond = call_and_fail
        answers = [await mesh.call('a', '/deep/x') for _ in range(40)]
        statuses = [answer.status for answer in answers]
        told = all(
            b'retry-after' in dict(answer.headers) for answer in answers if answer.status == 503
        )
        return statuses.count(502), statuses.count(503), told

    def test_an_entry_refuses_most_of_a_rule_whose_calls_fail(self):
        # The target answers 502, as a call of its own fails further down. Callers are told
        # when to come back in place of an error after the work of three hops.
        failed, refused, told = self.run_mesh(self.all_fail, targets=TARGETS, services=SERVICES)
        self.assertEqual(40, failed + refused)
        self.assertGreater(refused, 10)
        self.assertTrue(told)

    def test_the_most_valued_are_not_held_back(self):
        # One in five orders is whole while targets shed: refused with the rest, they would be the
        # first to go and not the last.
        begun, refused, _ = self.run_mesh(
            self.all_fail, targets=TARGETS, services=SERVICES, priority=0
        )
        self.assertEqual((40, 0), (begun, refused))


def _inner(req):
    request_id = req.header(b'request-id')
    return [
        (b'host', b'h.example'),
        (b'request-id', f'{request_id}.1'.encode()),
        (b'deadline-milliseconds', b'500'),
    ]
