"""HTTP endpoint for the heartbeats of the local target."""

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from result import Err, Ok

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.target import (
    HealthUnknown,
    LocalTarget,
    NoHealthPath,
    NotServing,
    Serving,
)
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.mesh.heartbeats import (
    Deregistration,
    Heartbeat,
    HeartbeatTracker,
    Start,
    Verdict,
)
from dunlinsaddle.mesh.target_probe import TargetProbe
from dunlinsaddle.platform.heartbeats import acknowledgement, deferral, read_heartbeat, rejection
from dunlinsaddle.policy.slots import SlotAdmission
from dunlinsaddle.settings import Address

#: Time for which a heartbeat waits to be confirmed; its sender waits a second for the response.
CONFIRMATION_WAIT_SECONDS = 0.6
#: Pause before a target that gave no answer is asked again.
PROBE_INTERVAL_SECONDS = 0.1
#: Time for which a start is kept for confirmation; a live target sends the next heartbeat sooner.
CANDIDATE_SECONDS = 3.0


class Effect(StrEnum):
    """What a heartbeat or deregistration changed."""

    CHANGED = 'changed'  #: the target, or whether it may get new work
    REFRESHED = 'refreshed'  #: applied, with no change of those
    IGNORED = 'ignored'  #: acknowledged; nothing that it says applies to the current target
    DEFERRED = 'deferred'  #: not applied and not acknowledged, as the target did not confirm it
    REJECTED = 'rejected'  #: invalid, or of another target; not acknowledged


class _Candidate(NamedTuple):
    """The latest heartbeat of a start that the target has not confirmed yet."""

    heartbeat: Heartbeat
    received_at: float


class HeartbeatEndpoint(LoopBound):
    """Accepts heartbeats from the target named in the settings and updates its state.

    A positive response is a promise: a departure that it acknowledges is in force before it is
    sent. A heartbeat that cannot be applied gets no such response, and its sender repeats it.
    """

    def __init__(
        self,
        service: str,
        target: LocalTarget,
        admission: SlotAdmission,
        probe: TargetProbe,
        on_change: Callable[[], None],
        logger: logging.Logger,
        *,
        is_first_start: bool = False,
    ) -> None:
        self.service = service
        self.address: Address = probe.address
        self.target = target
        self.admission = admission
        self.probe = probe
        self.on_change = on_change
        self.logger = logger
        self.tracker = HeartbeatTracker(is_first_start=is_first_start)
        self.last_heartbeat_at = -math.inf  #: loop time of the latest accepted heartbeat
        self.starts = 0  #: incarnations that were announced
        self.effects: Counter[Effect] = Counter()  #: messages by their effect
        self._ignored: tuple[Start, bool, str] | None = None  #: logged last
        self._candidate: _Candidate | None = None
        self._confirmation: asyncio.Task[None] | None = None
        #: Departures heard. A health check that was sent before the latest proves nothing.
        self._departure_count = 0

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Process one heartbeat or deregistration."""
        match read_heartbeat(req):
            case Err(why):
                self.logger.warning('heartbeat unusable', extra={'why': why})
                self.effects[Effect.REJECTED] += 1
                return rejection(why)
            case Ok(Heartbeat() as heartbeat) if not self._is_own(heartbeat):
                self.logger.warning('heartbeat of another target', extra=_log_fields(heartbeat))
                self.effects[Effect.REJECTED] += 1
                return rejection('not the target beside this node')
            case Ok(Heartbeat() as heartbeat):
                effect = await self._process_heartbeat(heartbeat)
            case Ok(Deregistration() as deregistration):
                effect = self._process_deregistration(deregistration)
        self.effects[effect] += 1
        return deferral() if effect is Effect.DEFERRED else acknowledgement()

    def close(self) -> None:
        """Stop asking the target."""
        if self._confirmation is not None:
            self._confirmation.cancel()

    def _is_own(self, heartbeat: Heartbeat) -> bool:
        return (heartbeat.service, heartbeat.address) == (self.service, self.address)

    def _process_deregistration(self, deregistration: Deregistration) -> Effect:
        self._record_departure(deregistration.target_id)
        current = self.tracker.current
        extra = {'target': deregistration.target_id}
        if self.tracker.deregister(deregistration):
            self.logger.info('target left', extra=extra)
            self.target.clear()
            self.on_change()
            return Effect.CHANGED
        extra['current'] = current.target_id if current is not None else ''
        self.logger.info('deregistration of a target that is not the current one', extra=extra)
        return Effect.IGNORED

    async def _process_heartbeat(self, heartbeat: Heartbeat) -> Effect:
        if heartbeat.draining:
            self._record_departure(heartbeat.target_id)
        verdict = self.tracker.judge(heartbeat)
        match verdict:
            case Verdict.APPLY:
                return self._apply(heartbeat)
            case Verdict.APPLY_IF_SERVING:
                return await self._apply_if_serving(heartbeat)
            case Verdict.APPLY_UNLESS_SERVING:
                return await self._apply_unless_serving(heartbeat)
            case Verdict.GONE:
                self.tracker.depart(heartbeat)
        self._log_ignored(heartbeat, verdict.value)
        return Effect.IGNORED

    def _record_departure(self, target_id: str) -> None:
        self._departure_count += 1
        if self._candidate is not None and self._candidate.heartbeat.target_id == target_id:
            self._candidate = None

    async def _apply_if_serving(self, heartbeat: Heartbeat) -> Effect:
        self._candidate = _Candidate(heartbeat, self.now())
        if self._confirmation is None or self._confirmation.done():
            self._confirmation = self.loop.create_task(self._confirm_candidate())
        await asyncio.wait({self._confirmation}, timeout=CONFIRMATION_WAIT_SECONDS)
        current = self.tracker.current
        is_applied = current is not None and current.start == heartbeat.start
        return Effect.CHANGED if is_applied and self.target.accepts_work else Effect.DEFERRED

    async def _confirm_candidate(self) -> None:
        """Ask the target until it is clear whether the candidate serves."""
        while self._candidate is not None:
            departure_count = self._departure_count
            health = await self.probe.ask()
            candidate = self._candidate
            if candidate is None:
                return
            if departure_count != self._departure_count:
                continue
            match health:
                case Serving(target_id) if target_id == candidate.heartbeat.target_id:
                    self._candidate = None
                    self._apply(candidate.heartbeat)
                case NoHealthPath():
                    self._candidate = None
                    self._apply_by_order(candidate.heartbeat)
                case HealthUnknown() if self.now() < candidate.received_at + CANDIDATE_SECONDS:
                    await asyncio.sleep(PROBE_INTERVAL_SECONDS)
                case Serving() | NotServing() | HealthUnknown():
                    self._candidate = None
                    self._log_ignored(candidate.heartbeat, f'not confirmed: {health}')

    def _apply_by_order(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat of a target that cannot be asked if its own numbers are newer."""
        current = self.tracker.current
        is_same_start = current is not None and current.start == heartbeat.start
        if is_same_start or not self.tracker.is_newer(heartbeat):
            self._log_ignored(heartbeat, 'the target cannot be asked')
            return
        self._apply(heartbeat)

    async def _apply_unless_serving(self, heartbeat: Heartbeat) -> Effect:
        health = await self.probe.ask()
        match health:
            case Serving(target_id) if target_id == heartbeat.target_id:
                why = 'the target serves'
            case NoHealthPath():
                why = 'the target cannot be asked'
            case _ if self.tracker.judge(heartbeat) is Verdict.GONE:
                why = Verdict.GONE.value
            case _:
                return self._apply(heartbeat)
        self._log_ignored(heartbeat, why)
        return Effect.DEFERRED

    def _apply(self, heartbeat: Heartbeat) -> Effect:
        previous = self.tracker.current
        self.tracker.apply(heartbeat)
        now = self.last_heartbeat_at = self.now()
        self.admission.set_slots(heartbeat.slots)
        is_new = (
            previous is None
            or previous.start != heartbeat.start
            or (previous.draining and not heartbeat.draining)
        )
        if is_new:
            self.logger.info('target announced', extra=_log_fields(heartbeat))
            self.starts += 1
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

    def _log_ignored(self, heartbeat: Heartbeat, why: str) -> None:
        # One line for a series: a target whose heartbeats are all ignored repeats them.
        ignored = (heartbeat.start, heartbeat.draining, why)
        if ignored == self._ignored:
            return
        self._ignored = ignored
        current = self.tracker.current
        extra = {**_log_fields(heartbeat), 'why': why}
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
