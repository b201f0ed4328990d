from testtools import TestCase

from dunlinsaddle.policy.admission import Run, Sample, Wait
from dunlinsaddle.policy.slots import SlotAdmission
from tests.ablation import WITHOUT
from tests.builders import build_ticket


class AblationTest(TestCase):
    def starts(self, without: str) -> list[int]:
        """Give the order in which calls start that wait, by their ids, with a mechanism off."""
        with WITHOUT[without].patch_values():
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

    def test_every_mechanism_can_still_be_switched_off(self):
        # The table is made by hand: a part that has moved shows there as an error, months later.
        for without in WITHOUT:
            self.assertEqual({1, 2, 3}, set(self.starts(without)), without)

    def test_the_orders_that_are_compared_differ(self):
        self.assertEqual([2, 1, 3], self.starts('(nothing off)'))
        self.assertEqual([1, 2, 3], self.starts('order by level'))
        self.assertEqual([3, 2, 1], self.starts('one order for calls and others'))
