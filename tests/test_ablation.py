from testtools import TestCase

from dunlinsaddle.policy.admission import Run, Sample, Wait
from dunlinsaddle.policy.slots import SlotAdmission
from tests.ablation import OVERRIDES
from tests.builders import build_ticket


class AblationTest(TestCase):
    def start_order(self, mechanism: str) -> list[int]:
        """Return the ids of queued calls in the order they start, with a mechanism off."""
        with OVERRIDES[mechanism].patch_values():
            admission = SlotAdmission()
            admission.set_slots(1)
            first = build_ticket(0, deadline=99.0)
            self.assertIsInstance(admission.admit(0.0, first), Run)
            admission.finish(0.0, first, Sample('default', 0.01, True))
            self.assertIsInstance(admission.admit(0.0, first), Run)
            for number, level, hop in ((1, 310, 0), (2, 300, 0), (3, 320, 3)):
                ticket = build_ticket(
                    number, level=level, hop=hop, arrived_at=number, deadline=99.0
                )
                self.assertIsInstance(admission.admit(0.0, ticket), Wait)
            started = []
            for _ in range(3):
                admission.finish(0.0, first, Sample('default', 0.01, True))
                started += [t.call_id for t in admission.dequeue(0.0).started]
        return started

    def test_every_mechanism_can_be_switched_off(self):
        # The ablation is run by hand only. Without this test, a renamed or moved part would show
        # up as an error there long after the change.
        for mechanism in OVERRIDES:
            self.assertEqual({1, 2, 3}, set(self.start_order(mechanism)), mechanism)

    def test_compared_queue_orders_differ(self):
        self.assertEqual([2, 1, 3], self.start_order('(nothing off)'))
        self.assertEqual([1, 2, 3], self.start_order('queue order by level'))
        self.assertEqual([3, 2, 1], self.start_order('one order for all hops'))
