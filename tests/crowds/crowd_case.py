"""Base class of the tests with clients that don't behave.

They check what does not depend on the speed of the machine: that the processes live, that their
memory and descriptors stay under the limits in their settings, and that ordinary requests are
answered while the crowd is still there. Each starts processes of its own at fixed addresses: one
of these tests runs at a time (``make crowds``).
"""

import asyncio
from collections.abc import Awaitable, Callable

from testtools import TestCase

from tests.crowds.clients import Crowd
from tests.crowds.machines import Limits, Machines

TWO_SERVICES = ['front', 'deep']
FRONT, DEEP = '0:front', '1:deep'  #: callers send to the first machine


class CrowdCase(TestCase):
    def run_crowd(
        self,
        scenario: Callable[[Machines], Awaitable[None]],
        limits: Limits,
        services: list[str] = TWO_SERVICES,
        slots: int = 60,
    ) -> None:
        """Run a scenario, and check what the nodes have held at its end."""

        async def run() -> list[str]:
            async with Machines(services, limits, slots) as machines:
                await scenario(machines)
                return machines.violations()

        self.assertEqual([], asyncio.run(run()))

    async def hold_open(
        self,
        machines: Machines,
        count: int,
        data: bytes,
        *,
        trickled: bytes = b'',
        wait: float = 5.0,
        settle: float = 0.0,
    ) -> None:
        """Check that others are answered while ``count`` connections that sent ``data`` stay.

        They go on to send ``trickled`` until the end; ``wait`` is as for ``Crowd.send``.
        """
        async with Crowd(machines.all[FRONT].outbound) as crowd:
            await crowd.send(count, data, wait=wait)
            if trickled:
                crowd.trickle(trickled)
            await asyncio.sleep(settle)
            await self.check_answered(machines)

    async def check_answered(self, machines: Machines) -> None:
        """Check that ordinary requests, and one with a body, are answered whole."""
        for path, body in (('/front/x', b''), ('/deep/x', b''), ('/deep/x', b'x' * 2000)):
            answer = await machines.answer_ordinary(FRONT, path, body)
            self.assertTrue(answer.is_success, (path, len(body), answer))
            self.assertEqual(b'.' * len(path), answer.body)
