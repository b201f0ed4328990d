"""Background task that maintains this node's key ranges for its target's service."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from dunlinsaddle.key_ownership.range_manager import RangeManager
from dunlinsaddle.membership.view import MemberView

CHECK_INTERVAL_SECONDS = 0.5  #: often enough, as a target changes its service only by a restart


class LocalService(NamedTuple):
    """The service of the local target, empty without a target, and whether it drains."""

    service: str
    leaving: bool


class LocalRangeUpdater:
    """Keeps the key ranges up to date as the local target starts, runs and leaves.

    Checks twice per second whether a change is due; most checks make no call to the platform.
    """

    def __init__(
        self, manager: RangeManager, view: MemberView, get_local_service: Callable[[], LocalService]
    ) -> None:
        self.manager = manager
        self.view = view
        self.get_local_service = get_local_service
        self._managed_service = ''

    async def run(self) -> None:
        """Check the ranges periodically until cancelled."""
        while True:
            await self.update()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def update(self) -> None:
        """Perform the changes of ranges that are due."""
        local = self.get_local_service()
        if self._managed_service not in ('', local.service):
            # The target is gone or serves another service now: hand over the old ranges.
            previous_service, self._managed_service = self._managed_service, ''
            await self.manager.tick(
                previous_service, self._serving_instances(previous_service), leaving=True
            )
        if not local.service:
            return
        self._managed_service = local.service
        serving_instances = self._serving_instances(local.service)
        await self.manager.tick(local.service, serving_instances, leaving=local.leaving)

    def _serving_instances(self, service: str) -> list[str]:
        return [m.instance for m in self.view.serving_members(service)]
