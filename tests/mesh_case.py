"""A test of whole nodes of the platform in one loop, with a paused clock."""

import asyncio

from tests.clock import PausedClockTest
from tests.fakes.mesh import Mesh

SETTLE_SECONDS = 4.0  #: seconds after which all nodes know one another and the configuration


class MeshTest(PausedClockTest):
    def run_mesh(
        self,
        scenario,
        *,
        configure=True,
        targets=('a:front', 'b:deep'),
        settle_seconds=SETTLE_SECONDS,
        **terms,
    ):
        """Run a scenario; ``targets`` are names with service and, if not the usual one, domain."""

        async def run():
            mesh = Mesh()
            if configure:
                await mesh.configure(**terms)
            for target in targets:
                await mesh.add_node(*target.split(':'))
            await asyncio.sleep(settle_seconds)
            try:
                return await scenario(mesh)
            finally:
                await mesh.stop()

        return self.run_paused(run())
