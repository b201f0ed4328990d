"""The face on which the target beside the node says that it lives, drains and goes."""

import asyncio
import logging
import math
from collections.abc import Callable

from result import Err, Ok

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.mesh.heartbeats import Deregistration, Heartbeat, HeartbeatTracker
from dunlinsaddle.platform.heartbeats import acknowledgement, read_heartbeat, rejection
from dunlinsaddle.policy.slots import SlotAdmission
from dunlinsaddle.settings import Address


class HeartbeatEndpoint:
    """Takes heartbeats of the one target that the settings name."""

    def __init__(
        self,
        service: str,
        address: Address,
        target: LocalTarget,
        admission: SlotAdmission,
        on_change: Callable[[], None],
        logger: logging.Logger,
    ) -> None:
        self.service = service
        self.address = address
        self.target = target
        self.admission = admission
        self.on_change = on_change
        self.logger = logger
        self.tracker = HeartbeatTracker()
        self.last_heartbeat_at = -math.inf  #: time of the loop of the latest heartbeat that counts

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one heartbeat or farewell."""
        match read_heartbeat(req):
            case Err(why):
                self.logger.warning('heartbeat unusable', extra={'why': why})
                return rejection(why)
            case Ok(Deregistration() as farewell):
                self._farewell(farewell)
            case Ok(Heartbeat() as beat):
                if (beat.service, beat.address) != (self.service, self.address):
                    self.logger.warning('heartbeat of another target', extra=_named(beat))
                    return rejection('not the target beside this node')
                self._heartbeat(beat)
        return acknowledgement()

    def _farewell(self, farewell: Deregistration) -> None:
        if self.tracker.deregister(farewell):
            self.logger.info('target left', extra={'target': farewell.target_id})
            self.target.clear()
            self.on_change()

    def _heartbeat(self, beat: Heartbeat) -> None:
        held = self.tracker.current
        if not self.tracker.accept(beat):
            return
        self.last_heartbeat_at = asyncio.get_running_loop().time()
        self.admission.set_slots(beat.slots)
        new = held is None or (held.target_id, held.started_at_ms) != (
            beat.target_id,
            beat.started_at_ms,
        )
        if new:
            self.logger.info('target announced', extra=_named(beat))
            self.target.start_incarnation(
                beat.service, self.address, beat.target_id, beat.started_at_ms
            )
        if beat.draining and not self.target.draining:
            self.logger.info('target drains', extra=_named(beat))
            self.target.drain()
        self.on_change()


def _named(beat: Heartbeat) -> dict[str, object]:
    return {
        'target': beat.target_id,
        'started': beat.started_at_ms,
        'sequence': beat.sequence,
        'slots': beat.slots,
        'draining': beat.draining,
    }
