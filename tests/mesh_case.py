"""A test of whole nodes of the platform in one loop, with a paused clock."""

import asyncio

from tests.clock import PausedClockTest
from tests.fakes.mesh import Mesh

SETTLED = 4.0  #: seconds after which all nodes know one another and the configuration


class MeshTest(PausedClockTest):
    def mesh(
        self,
        scenario,
        *,
        configure=True,
        targets=('a:front', 'b:deep'),
        settled=SETTLED,
        **terms,
    ):
        """Run a scenario; ``targets`` are names with service and, if not the usual one, domain."""

        async def run():
            mesh = Mesh()
            if configure:
                await mesh.configure(**terms)
            for target in targets:
                await mesh.place(*target.split(':'))
            await asyncio.sleep(settled)
            try:
                return await scenario(mesh)
            finally:
                await mesh.stop()

        return self.run_paused(run())
