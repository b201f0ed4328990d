"""Periodic update of the key ranges of the local target's service."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from dunlinsaddle.key_ownership.range_manager import RangeManager
from dunlinsaddle.membership.view import MemberView

CHECK_INTERVAL_SECONDS = 0.5  #: a target changes its service only when it restarts


class LocalService(NamedTuple):
    """The service of the local target, empty if there is no target."""

    service: str
    leaving: bool


class LocalRangeUpdater:
    """Checks twice per second whether ranges need work; most checks make no platform call."""

    def __init__(
        self, manager: RangeManager, view: MemberView, served: Callable[[], LocalService]
    ) -> None:
        self.manager = manager
        self.view = view
        self.served = served
        self._last_service = ''

    async def run(self) -> None:
        """Update the ranges until cancelled."""
        while True:
            await self.update()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def update(self) -> None:
        """Do the work that is due now."""
        served = self.served()
        if self._last_service not in ('', served.service):
            # The target has died or serves another service: hand its ranges over.
            former, self._last_service = self._last_service, ''
            await self.manager.tick(former, self._serving(former), leaving=True)
        if not served.service:
            return
        self._last_service = served.service
        serving = self._serving(served.service)
        await self.manager.tick(served.service, serving, leaving=served.leaving)

    def _serving(self, service: str) -> list[str]:
        return [m.instance for m in self.view.serving_members(service)]
