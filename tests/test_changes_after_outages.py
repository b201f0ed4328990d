"""Changes of the configuration take effect in time after outages and restores of the store."""

import asyncio
import itertools
from typing import NamedTuple

from standins.platform import Faults
from tests.fakes.mesh import Mesh
from tests.mesh_case import MeshTest

DOMAINS = 3
NODES = 12
#: Bounds of the deployments: a change is in force this long after its acknowledgement, but not
#: before a store that was disturbed has been stable for the second one.
IN_FORCE_SECONDS = 2.0
STABLE_SECONDS = 3.0
CUT_SECONDS = 0.001  #: until watchers have read that their watches were cut
REWRITE_SECONDS = 0.05  #: from the restore until operators have written the latest version again


class Outage(NamedTuple):
    """How the store goes away and returns from a copy that lacks the latest version."""

    seconds: float
    silent: bool  #: whether calls get no answer; else they are refused with 503
    forgets_watches: bool = False  #: instead of cutting them
    change_before_seconds: float = 4.0  #: from the latest change, which ended all watches


class Late(NamedTuple):
    """A node that serves by an older version than it should."""

    node: str
    version: int
    expected_version: int


class ChangesAfterOutagesTest(MeshTest):
    def find_late_nodes(self, outage: Outage, change_gaps=(0.4, 1.5, 2.0, 1.0, 2.5)) -> set[Late]:
        """Return the nodes that do not use a change when it must be in force."""
        targets = [f'n{i:02}:front:d{i % DOMAINS}' for i in range(NODES)]

        async def scenario(mesh: Mesh) -> set[Late]:
            platform = mesh.store.platform
            copy = platform.copy()
            await mesh.configure('r9')
            await asyncio.sleep(outage.change_before_seconds)
            platform.faults = Faults(forgets_watches=outage.forgets_watches)
            platform.restore(copy)
            await asyncio.sleep(CUT_SECONDS)
            platform.faults = Faults(down=True) if outage.silent else Faults(busy=True)
            await asyncio.sleep(outage.seconds)
            platform.faults = Faults()
            stable_at = asyncio.get_running_loop().time() + STABLE_SECONDS
            checks = []
            for number, gap in enumerate((REWRITE_SECONDS, *change_gaps)):
                await asyncio.sleep(gap)
                await mesh.configure(f'r{9 + number}')
                due_at = asyncio.get_running_loop().time() + IN_FORCE_SECONDS
                check = self.check(mesh, 9 + number, max(due_at, stable_at))
                checks.append(asyncio.create_task(check))
            return set().union(*await asyncio.gather(*checks))

        return self.run_mesh(scenario, targets=targets, settle_seconds=12)

    async def check(self, mesh: Mesh, version: int, due_at: float) -> set[Late]:
        await asyncio.sleep(due_at - asyncio.get_running_loop().time())
        return {
            Late(name, node.follower.version, version)
            for name, node in mesh.nodes.items()
            if node.follower.version < version
        }

    def assert_in_time(self, *outages: Outage) -> None:
        late = {outage: self.find_late_nodes(outage) for outage in outages}
        self.assertEqual({}, {outage: nodes for outage, nodes in late.items() if nodes})

    def test_changes_after_a_store_that_refused_calls(self):
        # All watches end at once, and calls are refused for longer than a backoff grows.
        self.assert_in_time(*(Outage(seconds, silent=False) for seconds in (0.4, 2.6, 8.0)))

    def test_changes_after_a_silent_store_that_never_answers_the_calls_sent_meanwhile(self):
        # Watchers ask in step and double their timeouts in step: none asks the store for seconds
        # after its return, because each waits for the answer to an earlier call.
        self.assert_in_time(*(Outage(seconds, silent=True) for seconds in (0.4, 2.6, 4.5, 8.0)))

    def test_changes_after_a_restore_that_leaves_the_waiting_watches_without_an_answer(self):
        # Connections stay open, and nothing tells a watcher that its watch will not be answered.
        self.assert_in_time(
            *(
                Outage(seconds, silent=True, forgets_watches=True, change_before_seconds=age)
                for seconds in (0.02, 2.6, 12.0)
                for age in (0.5, 2.0, 4.0)
            )
        )

    def test_nodes_that_start_during_a_silence_get_their_configuration_soon_after_its_end(self):
        # A node asks for its first configuration with a call that is never answered, and with ever
        # longer ones after it. Its callers get 503 until one of them expires.
        async def find_configured(count: int, seconds: float) -> set[bool]:
            mesh = Mesh()
            await mesh.configure()
            mesh.store.platform.faults = Faults(down=True)
            for number in range(count):
                await mesh.add_node(f'n{number}', 'front')
            await asyncio.sleep(seconds)
            mesh.store.platform.faults = Faults()
            await asyncio.sleep(IN_FORCE_SECONDS)
            configured = {node.follower.version > 0 for node in mesh.nodes.values()}
            await mesh.stop()
            return configured

        for count, seconds in itertools.product((1, 3), (2.0, 8.0, 20.0)):
            configured = self.run_paused(find_configured(count, seconds))
            self.assertEqual({True}, configured, (count, seconds))
