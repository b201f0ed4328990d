from tests.fleet_case import DOMAINS, TIMEOUT_SECONDS, FleetCase

IN_FORCE_SECONDS = 2.0


class RolloutTest(FleetCase):
    def setUp(self):
        super().setUp()
        self.start_target_in_each_domain(10, 0.005)

    def rollout(self) -> list[dict]:
        return self.run_command('bangor-1', 'rollout')

    def test_accepted_change_is_in_force_in_every_domain(self):
        # Separate processes over TCP. The change is given to a node of one failure domain;
        # a node of another one asks members of all three what is in force there.
        self.wait_until(TIMEOUT_SECONDS, lambda: len(self.rollout()) == len(DOMAINS))
        for number in range(5):
            version = self.apply_record('caernarfon-1', deadline=1.0 + number)
            taken = self.wait_until(
                TIMEOUT_SECONDS,
                lambda version=version: all(
                    row['in_force'].get('cut-orders') == version for row in self.rollout()
                ),
            )
            self.assertLess(taken, IN_FORCE_SECONDS)
