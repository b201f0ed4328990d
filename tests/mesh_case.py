"""Base class of tests that run a cluster of platform nodes with a paused clock."""

import asyncio

from tests.clock import PausedClockTest
from tests.fakes.mesh import Mesh

SETTLE_SECONDS = 4.0  #: until all nodes know each other and the configuration


class MeshTest(PausedClockTest):
    def run_mesh(
        self,
        scenario,
        *,
        configure=True,
        targets=('a:front', 'b:deep'),
        settle_seconds=SETTLE_SECONDS,
        **route_options,
    ):
        """Run a scenario; each of ``targets`` is ``NAME:SERVICE`` or ``NAME:SERVICE:DOMAIN``."""

        async def run():
            mesh = Mesh()
            if configure:
                await mesh.configure(**route_options)
            for target in targets:
                await mesh.add_node(*target.split(':'))
            await asyncio.sleep(settle_seconds)
            try:
                return await scenario(mesh)
            finally:
                await mesh.stop()

        return self.run_paused(run())
