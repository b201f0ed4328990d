from testtools import TestCase

from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.settings import Address

HERE = Address('127.0.0.1', 9000)
ELSEWHERE = Address('127.0.0.1', 9001)


class LocalTargetTest(TestCase):
    def setUp(self):
        super().setUp()
        self.target = LocalTarget()
        self.starts = 0
        self.target.on_start = self.count
        self.target.announce('cut-orders', HERE)

    def count(self) -> None:
        self.starts += 1

    def test_heartbeat_of_a_draining_target_does_not_end_its_drain(self):
        # A target asks to be drained and goes on announcing itself every two seconds until
        # it ends. Taken as new at the first of them, it got new work and cut it at its end.
        self.target.drain()
        self.target.announce('cut-orders', HERE)
        self.assertTrue(self.target.draining)

    def test_heartbeat_does_not_end_the_stop_of_the_node(self):
        self.target.node_draining = True
        self.target.announce('cut-orders', ELSEWHERE)
        self.assertTrue(self.target.draining)

    def test_heartbeat_is_not_a_start(self):
        # Each heartbeat counted as a restart would throw away the learned limit.
        self.target.announce('cut-orders', HERE)
        self.assertEqual(1, self.starts)

    def test_new_target_ends_the_drain_of_the_old_one(self):
        self.target.drain()
        self.target.announce('cut-orders', ELSEWHERE)
        self.assertFalse(self.target.draining)

    def test_target_that_comes_back_at_the_same_port_is_a_new_one(self):
        self.target.drain()
        self.target.record_connection_refused()
        self.target.announce('cut-orders', HERE)
        self.assertEqual((2, False), (self.starts, self.target.draining))
