"""HTTP endpoint for the heartbeats of the local target."""

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from result import Err, Ok

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.mesh.heartbeats import Deregistration, Heartbeat, HeartbeatTracker, Staleness
from dunlinsaddle.platform.heartbeats import acknowledgement, read_heartbeat, rejection
from dunlinsaddle.policy.slots import SlotAdmission
from dunlinsaddle.settings import Address

#: Time after a target has restarted under its id in which the first deregistration is attributed to
#: the former start, if that one has sent none. A deregistration does not name the start that it
#: belongs to. A sender that gets no response sends it again within seconds.
LATE_DEREGISTRATION_SECONDS = 10.0


class Effect(StrEnum):
    """What a heartbeat or deregistration changed."""

    CHANGED = 'changed'  #: the target, or whether it may get new work
    REFRESHED = 'refreshed'  #: applied, with no change of those
    IGNORED = 'ignored'  #: acknowledged, but stale
    REJECTED = 'rejected'  #: invalid, or of another target; not acknowledged


class HeartbeatEndpoint:
    """Accepts heartbeats from the target named in the settings and updates its state."""

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
        self.last_heartbeat_at = -math.inf  #: loop time of the latest accepted heartbeat
        self.starts = 0  #: incarnations that were announced
        self.effects: Counter[Effect] = Counter()  #: messages by their effect
        self._ignored: tuple[str, int, bool, Staleness] | None = None  #: logged last
        self._expects_late_until = -math.inf  #: see LATE_DEREGISTRATION_SECONDS

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Process one heartbeat or deregistration."""
        match read_heartbeat(req):
            case Err(why):
                self.logger.warning('heartbeat unusable', extra={'why': why})
                self.effects[Effect.REJECTED] += 1
                return rejection(why)
            case Ok(Deregistration() as deregistration):
                self.effects[self._process_deregistration(deregistration)] += 1
            case Ok(Heartbeat() as heartbeat):
                if (heartbeat.service, heartbeat.address) != (self.service, self.address):
                    self.logger.warning('heartbeat of another target', extra=_log_fields(heartbeat))
                    self.effects[Effect.REJECTED] += 1
                    return rejection('not the target beside this node')
                self.effects[self._process_heartbeat(heartbeat)] += 1
        return acknowledgement()

    def _process_deregistration(self, deregistration: Deregistration) -> Effect:
        extra = {'target': deregistration.target_id}
        if self._is_late(deregistration):
            self.logger.info('late deregistration ignored', extra=extra)
            self._expects_late_until = -math.inf
            return Effect.IGNORED
        current = self.tracker.current
        if self.tracker.deregister(deregistration):
            self.logger.info('target left', extra=extra)
            self.target.clear()
            self.on_change()
            return Effect.CHANGED
        current_id = current.target_id if current is not None else ''
        extra = {**extra, 'current': current_id}
        self.logger.info('deregistration of a target that is not the current one', extra=extra)
        return Effect.IGNORED

    def _is_late(self, deregistration: Deregistration) -> bool:
        """Return whether a deregistration belongs to the former start of the current target.

        Applied to the current start, it would leave that without calls for good. A target drains
        before it ends, so a deregistration is applied to a target that drains.
        """
        current = self.tracker.current
        return (
            current is not None
            and current.target_id == deregistration.target_id
            and not current.draining
            and asyncio.get_running_loop().time() < self._expects_late_until
        )

    def _process_heartbeat(self, heartbeat: Heartbeat) -> Effect:
        previous = self.tracker.current
        staleness = self.tracker.find_staleness(heartbeat)
        if staleness is not None:
            self._log_ignored(heartbeat, staleness)
            return Effect.IGNORED
        self.tracker.accept(heartbeat)
        now = self.last_heartbeat_at = asyncio.get_running_loop().time()
        self.admission.set_slots(heartbeat.slots)
        is_new = previous is None or (previous.target_id, previous.started_at_ms) != (
            heartbeat.target_id,
            heartbeat.started_at_ms,
        )
        if is_new:
            self.logger.info('target announced', extra=_log_fields(heartbeat))
            self.starts += 1
            is_same_id = previous is not None and previous.target_id == heartbeat.target_id
            late_seconds = LATE_DEREGISTRATION_SECONDS if is_same_id else -math.inf
            self._expects_late_until = self.last_heartbeat_at + late_seconds
            self.target.start_incarnation(
                heartbeat.service, self.address, heartbeat.target_id, heartbeat.started_at_ms
            )
        # After the new incarnation, whose start clears what is known of the previous one.
        self.admission.set_warmup(now, heartbeat.warmup_seconds)
        starts_drain = heartbeat.draining and not self.target.draining
        if starts_drain:
            self.logger.info('target drains', extra=_log_fields(heartbeat))
            self.target.drain()
        self.on_change()
        return Effect.CHANGED if is_new or starts_drain else Effect.REFRESHED

    def _log_ignored(self, heartbeat: Heartbeat, staleness: Staleness) -> None:
        # One line for a series: a target whose heartbeats are all ignored repeats them.
        ignored = (heartbeat.target_id, heartbeat.started_at_ms, heartbeat.draining, staleness)
        if ignored == self._ignored:
            return
        self._ignored = ignored
        current = self.tracker.current
        extra = {**_log_fields(heartbeat), 'why': staleness.value}
        if current is not None:
            extra |= {f'current_{name}': value for name, value in _log_fields(current).items()}
        self.logger.info('heartbeat ignored', extra=extra)


def _log_fields(heartbeat: Heartbeat) -> dict[str, object]:
    return {
        'target': heartbeat.target_id,
        'started': heartbeat.started_at_ms,
        'sequence': heartbeat.sequence,
        'slots': heartbeat.slots,
        'draining': heartbeat.draining,
        'warmup': heartbeat.warmup_seconds,
    }
