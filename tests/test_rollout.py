import tempfile
import time
from pathlib import Path

import msgspec
from testtools import TestCase

from standins.demo import operate
from standins.fleet import Fleet, TargetSpec
from tests.builders import build_document

DOMAINS = {'bangor-1': 'bangor-hall', 'caernarfon-1': 'caernarfon-hall', 'menai-1': 'menai-hall'}
IN_FORCE_SECONDS = 2.0
PATIENCE = 10.0


class RolloutTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)
        for name, domain in DOMAINS.items():
            self.fleet.place(name, TargetSpec('cut-orders', domain, 10, 0.005))
        self.operators = [p.faces['operators'] for p in self.fleet.placed.values()]

    def wait_for(self, reached) -> float:
        began = time.monotonic()
        while not reached():
            if time.monotonic() - began > PATIENCE:
                raise AssertionError(operate(self.operators[0], 'rollout'))
            time.sleep(0.01)
        return time.monotonic() - began

    def rollout(self) -> list[dict]:
        return msgspec.json.decode(operate(self.operators[0], 'rollout', '--json'))

    def apply(self, deadline: float) -> int:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / 'record.json'
        path.write_bytes(msgspec.json.encode(build_document(deadline=deadline)))
        answer = operate(self.operators[1], 'apply', str(path), '--json')
        return msgspec.json.decode(answer)[0]['version']

    def test_accepted_change_is_in_force_in_every_domain(self):
        # Separate processes over TCP. The change is given to a node of one failure domain;
        # a node of another one asks members of all three what is in force there.
        self.wait_for(lambda: len(self.rollout()) == len(DOMAINS))
        for number in range(5):
            version = self.apply(1.0 + number)
            taken = self.wait_for(
                lambda version=version: all(
                    row['in_force'].get('cut-orders') == version for row in self.rollout()
                )
            )
            self.assertLess(taken, IN_FORCE_SECONDS)
