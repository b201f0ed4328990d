"""What a target said of its departure binds once it is acknowledged, in every order of events."""

from tests.fakes.departures import (
    FIRST_START_MS,
    DepartureScenario,
    Findings,
    NextStart,
    Order,
    all_orders,
)
from tests.mesh_case import MeshTest

NOTHING_FOUND = Findings(0, unserved=False, unacknowledged=False)


class DepartureTest(MeshTest):
    def play(self, order: Order) -> Findings:
        async def scenario(mesh):
            mesh.targets['b'].started_at_ms = FIRST_START_MS
            return await DepartureScenario(mesh, order).run()

        return self.run_mesh(scenario, targets=('a:front', 'b:deep', 'c:front'), settle_seconds=2.0)

    def check_all(self, next_start: NextStart) -> None:
        findings = {order: self.play(order) for order in all_orders(next_start)}
        self.assertEqual({}, {o: found for o, found in findings.items() if found != NOTHING_FOUND})

    # Guards against requests that reach a target after its departure was acknowledged by a node
    # that was restarted, and against a live target that gets none.
    def test_an_acknowledged_departure_survives_a_restart_of_the_node(self):
        self.check_all(NextStart.NONE)

    # Guards against the same where the target has started again under its id: its departure was
    # taken for a late message of the former start.
    def test_an_acknowledged_departure_of_a_later_start_binds(self):
        self.check_all(NextStart.LATER)

    # As above; the former start has left a start time that the present one repeats.
    def test_an_acknowledged_departure_of_a_start_at_the_same_time_binds(self):
        self.check_all(NextStart.SAME)

    # As above; the clock of the target was set back, and its heartbeats were taken for late ones.
    def test_an_acknowledged_departure_of_a_start_with_an_earlier_clock_binds(self):
        self.check_all(NextStart.EARLIER)
