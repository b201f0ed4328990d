import msgspec

from standins.fleet import TargetSpec
from tests.fleet_case import FleetCase

TARGETS = {
    'bangor-1': TargetSpec('cut-orders', 'bangor-hall', 10, 0.005, ('/slab-stock/slabs/1',)),
    'caernarfon-1': TargetSpec('cut-orders', 'caernarfon-hall', 10, 0.005, ('/slab-stock/x',)),
    'menai-1': TargetSpec('slab-stock', 'menai-hall', 10, 0.005),
}


class WholePathTest(FleetCase):
    def test_calls_are_answered_after_a_node_was_killed(self):
        # A node is killed between two calls while the rosters still list it. Calls routed to it
        # cannot be sent, so they have certainly not run and are sent to the other target.
        for name, spec in TARGETS.items():
            self.fleet.deploy(name, spec)
        entry = self.fleet.deployments['menai-1']
        for service in ('cut-orders', 'slab-stock'):
            self.apply_record(entry.name, service)
        self.wait_for_answer(entry)
        self.fleet.deployments['bangor-1'].node.kill()
        bodies = [self.wait_for_answer(entry) for _ in range(10)]
        names = {msgspec.json.decode(body)['target'] for body in bodies}
        self.assertEqual({'caernarfon-1'}, names)
