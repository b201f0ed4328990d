from tests.fleet_case import DOMAINS, TIMEOUT_SECONDS, FleetCase

MAX_ROLLOUT_SECONDS = 2.0


class RolloutTest(FleetCase):
    def setUp(self):
        super().setUp()
        self.start_target_in_each_domain(10, 0.005)

    def rollout(self) -> list[dict]:
        return self.run_command('bangor-1', 'rollout')

    def test_accepted_change_is_in_force_in_every_domain(self):
        # A node in one failure domain takes the change. A node in another one asks members of all
        # three failure domains which version is in force there.
        self.wait_until(TIMEOUT_SECONDS, lambda: len(self.rollout()) == len(DOMAINS))
        for number in range(5):
            version = self.apply_record('caernarfon-1', deadline=1.0 + number)
            elapsed = self.wait_until(
                TIMEOUT_SECONDS,
                lambda version=version: all(
                    row['in_force'].get('cut-orders') == version for row in self.rollout()
                ),
            )
            self.assertLess(elapsed, MAX_ROLLOUT_SECONDS)
