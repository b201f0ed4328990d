import signal

from standins.fleet import TargetSpec
from tests.fleet_case import DOMAINS, FleetCase


class MembershipProcessesTest(FleetCase):
    def setUp(self):
        super().setUp()
        for i in range(4):
            self.fleet.deploy(
                f'n{i}', TargetSpec('cut-orders', list(DOMAINS.values())[i % 3], 5, 0.01)
            )
        self.wait_until(10, lambda: self.observe_targets() == {f'n{i}': 'alive' for i in range(4)})

    def test_a_killed_node_is_suspected_within_three_seconds(self):
        self.fleet.deployments['n3'].node.kill()
        self.wait_until(3.5, lambda: self.observe_targets()['n3'] == 'suspect')
        self.wait_until(8, lambda: self.observe_targets()['n3'] == 'dead')

    def test_a_paused_node_is_alive_again_after_it_resumes(self):
        # The pause is long enough for every node to suspect it.
        node = self.fleet.deployments['n3'].node
        node.kill(signal.SIGSTOP)
        self.wait_until(3.5, lambda: self.observe_targets()['n3'] == 'suspect')
        node.kill(signal.SIGCONT)
        self.wait_until(5, lambda: set(self.observe_targets().values()) == {'alive'})
        self.wait_until(5, lambda: set(self.observe_targets('n3').values()) == {'alive'})

    def test_a_stopped_node_leaves_at_once(self):
        self.fleet.deployments['n3'].node.kill(signal.SIGTERM)
        self.wait_until(2, lambda: self.observe_targets()['n3'] in ('draining', 'left'))
        self.wait_until(2, lambda: self.observe_targets()['n3'] == 'left')

    def test_the_node_withdraws_the_service_of_a_killed_target(self):
        # The node itself is alive, but calls routed to it would all be refused. The target stops
        # announcing itself and its port is closed, so the node withdraws the service.
        self.fleet.deployments['n3'].target.kill()
        self.wait_until(3.0, lambda: self.observe_targets(field='service')['n3'] == '')
        self.assertEqual('alive', self.observe_targets()['n3'])
