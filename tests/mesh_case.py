"""A test of whole nodes of the platform in one loop, with a paused clock."""

import asyncio

from tests.clock import PausedClockTest
from tests.fakes.mesh import Mesh

SETTLED = 4.0  #: seconds after which all nodes know one another and the configuration


class MeshTest(PausedClockTest):
    def mesh(self, scenario, *, configure=True, targets=('a:front', 'b:deep'), **terms):
        async def run():
            mesh = Mesh()
            if configure:
                await mesh.configure(**terms)
            for name, service in (pair.split(':') for pair in targets):
                await mesh.place(name, service)
            await asyncio.sleep(SETTLED)
            try:
                return await scenario(mesh)
            finally:
                await mesh.stop()

        return self.run_paused(run())
