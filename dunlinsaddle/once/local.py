"""Keeps the ranges of whatever service the local target serves now."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from dunlinsaddle.membership.view import MemberView
from dunlinsaddle.once.keeper import RangeKeeper

KEEP_SECONDS = 0.5  #: seconds between two looks; a target serves another service at a restart only


class Served(NamedTuple):
    """What the local target serves: an empty service while there is none."""

    service: str
    leaving: bool


class LocalRanges:
    """Looks twice a second whether something is due; most looks cost no platform call."""

    def __init__(self, keeper: RangeKeeper, view: MemberView, served: Callable[[], Served]) -> None:
        self.keeper = keeper
        self.view = view
        self.served = served
        self._kept = ''

    async def run(self) -> None:
        """Keep the ranges until cancelled."""
        while True:
            await self.keep()
            await asyncio.sleep(KEEP_SECONDS)

    async def keep(self) -> None:
        """Do what is due now."""
        served = self.served()
        if self._kept not in ('', served.service):
            # The target has died or serves something else: its ranges go to others.
            former, self._kept = self._kept, ''
            await self.keeper.tick(former, self._serving(former), leaving=True)
        if not served.service:
            return
        self._kept = served.service
        serving = self._serving(served.service)
        await self.keeper.tick(served.service, serving, leaving=served.leaving)

    def _serving(self, service: str) -> list[str]:
        return [m.instance for m in self.view.serving(service)]
