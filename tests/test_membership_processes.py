import signal
import time
from collections.abc import Callable

import msgspec
from testtools import TestCase

from standins.demo import operate
from standins.fleet import Fleet, TargetSpec

DOMAINS = ('bangor-hall', 'caernarfon-hall', 'menai-hall')


class MembershipProcessesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        for i in range(4):
            self.fleet.place(f'n{i}', TargetSpec('cut-orders', DOMAINS[i % 3], 5, 0.01))
        self.within(10, lambda: self.seen() == {f'n{i}': 'alive' for i in range(4)})

    def seen(self, by: str = 'n0', field: str = 'state') -> dict[str, str]:
        operators = self.fleet.placed[by].faces['operators']
        rows = msgspec.json.decode(operate(operators, 'targets', '--json'))
        return {row['instance']: row[field] for row in rows}

    def within(self, limit: float, holds: Callable[[], bool]) -> float:
        began = time.monotonic()
        while not holds():
            if time.monotonic() - began > limit:
                raise AssertionError(f'not within {limit} s: {self.seen()}')
            time.sleep(0.05)
        return time.monotonic() - began

    def test_a_killed_node_is_suspected_within_three_seconds(self):
        self.fleet.placed['n3'].node.kill()
        self.within(3.5, lambda: self.seen()['n3'] == 'suspect')
        self.within(8, lambda: self.seen()['n3'] == 'dead')

    def test_a_frozen_node_comes_back_when_it_goes_on(self):
        # The node stands still for four seconds, long enough to be suspected everywhere.
        node = self.fleet.placed['n3'].node
        node.kill(signal.SIGSTOP)
        self.within(3.5, lambda: self.seen()['n3'] == 'suspect')
        node.kill(signal.SIGCONT)
        self.within(5, lambda: set(self.seen().values()) == {'alive'})
        self.within(5, lambda: set(self.seen('n3').values()) == {'alive'})

    def test_a_stopped_node_leaves_at_once(self):
        self.fleet.placed['n3'].node.kill(signal.SIGTERM)
        self.within(2, lambda: self.seen()['n3'] in ('draining', 'left'))
        self.within(2, lambda: self.seen()['n3'] == 'left')

    def test_the_node_withdraws_the_service_of_a_killed_target(self):
        # The node is well and says so; calls sent there would all be refused. The target's
        # announcements stop and its port refuses, so the node withdraws its service.
        self.fleet.placed['n3'].target.kill()
        self.within(3.0, lambda: self.seen(field='service')['n3'] == '')
        self.assertEqual('alive', self.seen()['n3'])
