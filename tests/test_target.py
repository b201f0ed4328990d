from testtools import TestCase

from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.settings import Address

ADDRESS = Address('127.0.0.1', 9000)
OTHER_ADDRESS = Address('127.0.0.1', 9001)


class LocalTargetTest(TestCase):
    def setUp(self):
        super().setUp()
        self.target = LocalTarget()
        self.starts = 0
        self.target.on_start = self.count_start
        self.target.announce('cut-orders', ADDRESS)

    def count_start(self) -> None:
        self.starts += 1

    def test_announcement_of_a_draining_target_does_not_end_its_drain(self):
        # A draining target keeps announcing itself every two seconds until it exits. If an
        # announcement counted as a start, it would get new work and abort it at its exit.
        self.target.drain()
        self.target.announce('cut-orders', ADDRESS)
        self.assertTrue(self.target.draining)

    def test_announcement_does_not_end_the_drain_of_the_node(self):
        self.target.node_draining = True
        self.target.announce('cut-orders', OTHER_ADDRESS)
        self.assertTrue(self.target.draining)

    def test_repeated_announcement_is_not_a_start(self):
        # A restart at each announcement would discard the learned concurrency limit.
        self.target.announce('cut-orders', ADDRESS)
        self.assertEqual(1, self.starts)

    def test_new_target_ends_the_drain_of_the_previous_one(self):
        self.target.drain()
        self.target.announce('cut-orders', OTHER_ADDRESS)
        self.assertFalse(self.target.draining)

    def test_target_that_returns_at_the_same_port_is_a_new_one(self):
        self.target.drain()
        self.target.record_connection_refused()
        self.target.announce('cut-orders', ADDRESS)
        self.assertEqual((2, False), (self.starts, self.target.draining))
