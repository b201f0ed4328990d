"""Keeps the ranges of whatever service the local target serves now."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from dunlinsaddle.key_ownership.range_manager import RangeManager
from dunlinsaddle.membership.view import MemberView

CHECK_INTERVAL_SECONDS = (
    0.5  #: seconds between two looks; a target serves another service at a restart only
)


class LocalService(NamedTuple):
    """What the local target serves: an empty service while there is none."""

    service: str
    leaving: bool


class LocalRangeUpdater:
    """Looks twice a second whether something is due; most looks cost no platform call."""

    def __init__(
        self, manager: RangeManager, view: MemberView, served: Callable[[], LocalService]
    ) -> None:
        self.manager = manager
        self.view = view
        self.served = served
        self._last_service = ''

    async def run(self) -> None:
        """Keep the ranges until cancelled."""
        while True:
            await self.update()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def update(self) -> None:
        """Do what is due now."""
        served = self.served()
        if self._last_service not in ('', served.service):
            # The target has died or serves something else: its ranges go to others.
            former, self._last_service = self._last_service, ''
            await self.manager.tick(former, self._serving(former), leaving=True)
        if not served.service:
            return
        self._last_service = served.service
        serving = self._serving(served.service)
        await self.manager.tick(served.service, serving, leaving=served.leaving)

    def _serving(self, service: str) -> list[str]:
        return [m.instance for m in self.view.serving_members(service)]
