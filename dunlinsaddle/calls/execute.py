"""Execution of calls at the local target: admission, the wait in the queue and the request."""

import asyncio
from collections.abc import Callable
from functools import partial

from dunlinsaddle.calls.call_state import (
    PendingCall,
    RunningCall,
    RunningCalls,
    downstream_retry_after,
)
from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.http import MIN_SERVER_ERROR_STATUS, HttpRequest, HttpResponse
from dunlinsaddle.calls.messages import (
    Lost,
    NotSent,
    RefusedCalls,
    RelayedTargetState,
    Reply,
    refusal,
)
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered, SendResult
from dunlinsaddle.calls.suspects import CrashReports, Suspects
from dunlinsaddle.calls.target import AdvertisedState, DefaultDialect, LocalTarget, TargetDialect
from dunlinsaddle.calls.trials import Refused, RunAsTrial, WaitedTooLong
from dunlinsaddle.calls.waiters import RETRY_AFTER_SECONDS, AdmissionFuture, Waiters
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.policy.admission import (
    AdmissionDecision,
    AdmissionPolicy,
    Load,
    Refuse,
    Run,
    Sample,
    Ticket,
    Wait,
)
from dunlinsaddle.policy.context import CallContext
from dunlinsaddle.policy.level import UPDATE_INTERVAL_SECONDS, ChainLevels
from dunlinsaddle.policy.quarantine import Paused, Quarantine, Quarantined, Suspected
from dunlinsaddle.stats import Hop, Stats

#: Slightly longer than the interval, so that the update is due when the timer fires.
TICK_INTERVAL_SECONDS = UPDATE_INTERVAL_SECONDS + 0.0001
#: Called with a request id, the time at which that request was sent, and the state that the target
#: advertised in its response.
OnAdvertisedState = Callable[[str, float, AdvertisedState], None]


class Executor(LoopBound):
    """Runs calls at the local target, within the concurrency limit of admission control."""

    def __init__(
        self,
        target: LocalTarget,
        admission: AdmissionPolicy,
        client: HttpClient,
        running: RunningCalls,
        stats: Stats,
        quarantine: Quarantine,
        is_observe_only: Callable[[str], bool] = lambda service: False,
        crash_reports: CrashReports | None = None,
        levels: ChainLevels | None = None,
        dialect: TargetDialect | None = None,
    ) -> None:
        self.dialect = dialect or DefaultDialect()
        self.target = target
        self.admission = admission
        self.client = client
        self.running = running
        self.stats = stats
        self.quarantine = quarantine
        self.is_observe_only = is_observe_only
        self.suspects = Suspects(quarantine, target, client, running, crash_reports)
        self.levels = levels or ChainLevels()
        self.decisions: DecisionLog | None = None
        self.on_advertised_state: OnAdvertisedState = lambda request_id, sent_at, state: None
        #: Returns the target's advertised state, which is sent to other nodes with each reply.
        self.get_relayed_state: Callable[[], RelayedTargetState | None] = lambda: None
        #: Returns how calls that were made for a running call are refused, sent with its reply.
        self.get_refused_calls: Callable[[RunningCall], RefusedCalls | None] = lambda running: None
        self._waiters = Waiters(admission, self._release)
        self._ticket_count = 0
        self._unadmitted_ids: set[int] = set()
        self._ticket_count_at_tick = 0  #: value of ``_ticket_count`` at the last tick
        self._is_tick_scheduled = False

    async def execute(self, call: PendingCall) -> Reply:
        """Run one call at the local target, or refuse it.

        A refusal proves that the call did not run: nothing is written to the target before
        admission, and after the first write no reply claims that the call did not run.
        """
        failure = self._check_target(call.ctx)
        if failure is not None:
            return self._refuse(failure, call)
        ctx = call.ctx
        now = self.now()
        self.quarantine.record(now, ctx.run_fingerprint, ctx.crashes)
        match self.quarantine.check(now, ctx.run_fingerprint):
            case Paused(failure) | Quarantined(failure) if self.is_observe_only(ctx.service):
                self.stats.observed_refusals[failure.kind.value] += 1
            case Paused(failure) | Quarantined(failure):
                return self._refuse(failure, call)
            case Suspected() if not self.is_observe_only(ctx.service):
                return await self._run_suspect(call)
        return await self._admit_and_run(call)

    async def _run_suspect(self, call: PendingCall) -> Reply:
        """Run a suspected request as a trial, or as any other once it is no suspect any more."""
        turn = await self.suspects.trials.wait_turn(call)
        match turn:
            case Refused(confirmed):
                return self._refuse(confirmed, call)
            case WaitedTooLong():
                too_late = Failure(ErrorKind.TOO_LATE_TO_START, '', RETRY_AFTER_SECONDS)
                return self._refuse(self._check_target(call.ctx) or too_late, call)
        try:
            # The target may have begun to drain meanwhile.
            failure = self._check_target(call.ctx)
            if failure is not None:
                return self._refuse(failure, call)
            return await self._admit_and_run(call)
        finally:
            if isinstance(turn, RunAsTrial):
                self.suspects.trials.end()

    async def _admit_and_run(self, call: PendingCall) -> Reply:
        ticket = self._build_ticket(call.ctx)
        failure = await self._admit(ticket, call.ctx)
        if call.wait_time is not None:
            call.wait_time.seconds += self.now() - ticket.arrived_at
        if failure is not None:
            return self._refuse(failure, call)
        return await self._run(call, ticket)

    def _check_target(self, ctx: CallContext) -> Failure | None:
        if self.target.draining:
            return Failure(ErrorKind.DRAINING, retry_after=RETRY_AFTER_SECONDS)
        if self.target.address is None or self.target.service != ctx.service:
            detail = f'no target of {ctx.service} is announced here'
            return Failure(ErrorKind.NO_TARGET, detail, RETRY_AFTER_SECONDS)
        return None

    def _build_ticket(self, ctx: CallContext) -> Ticket:
        self._ticket_count += 1
        loop = self.loop
        now = loop.time()
        if not self._is_tick_scheduled:
            self._is_tick_scheduled = True
            loop.call_later(TICK_INTERVAL_SECONDS, self._tick)
        level = ctx.priority.level
        return Ticket(
            self._ticket_count,
            level,
            now,
            ctx.deadline,
            ctx.rule,
            ctx.caller,
            ctx.hop,
            ctx.useful_until,
        )

    def _tick(self) -> None:
        """Update admission between calls, so that a call seldom has to wait for a due update.

        Without calls no tick is scheduled, so that an idle node is not woken up.
        """
        loop = self.loop
        self.admission.load(loop.time())
        self._is_tick_scheduled = self._ticket_count != self._ticket_count_at_tick
        self._ticket_count_at_tick = self._ticket_count
        if self._is_tick_scheduled:
            loop.call_later(TICK_INTERVAL_SECONDS, self._tick)

    async def _admit(self, ticket: Ticket, ctx: CallContext) -> Failure | None:
        loop = self.loop
        decision = self.admission.admit(loop.time(), ticket)
        if self.is_observe_only(ctx.service):
            self._count_observed(ticket, decision)
            return None
        match decision:
            case Run():
                return None
            case Refuse(failure):
                return failure
            case Wait(evicted):
                if evicted is not None:
                    self._end_wait(
                        evicted, Failure(ErrorKind.OVERLOADED, retry_after=RETRY_AFTER_SECONDS)
                    )
        if self.decisions is not None:
            self.decisions.log_queued(ctx, self._chain_load(ctx))
        future = self._waiters.add(ticket)
        try:
            refused = await future
        except asyncio.CancelledError:
            self._cancel_waiting(ticket, future)
            raise
        finally:
            self._waiters.remove(ticket)
        self.stats.record_wait(loop.time() - ticket.arrived_at)
        return refused

    def _count_observed(self, ticket: Ticket, decision: AdmissionDecision) -> None:
        """Count the decision of admission in observe mode, in which every call runs.

        An older system still protects the service, and two systems must not both refuse its
        calls. A call that would have waited stays in admission's queue until it ends.
        """
        match decision:
            case Run():
                return
            case Wait(evicted):
                self.stats.observed_waits += 1
                if evicted is not None:
                    self.stats.observed_refusals[ErrorKind.OVERLOADED.value] += 1
            case Refuse(failure):
                self.stats.observed_refusals[failure.kind.value] += 1
        self._unadmitted_ids.add(ticket.call_id)

    def _cancel_waiting(self, ticket: Ticket, future: AdmissionFuture) -> None:
        """Remove a cancelled call, whether it still waits or has just been admitted."""
        if future.done() and not future.cancelled() and future.result() is None:
            now = self.now()
            self._finish(ticket, Sample(ticket.rule, 0.0, completed=False), now)
        else:
            self.admission.cancel(ticket)

    def refuse_waiting(self) -> None:
        """Refuse all waiting calls of a draining target: they did not run and can be resent."""
        self._waiters.refuse_all(Failure(ErrorKind.DRAINING, retry_after=RETRY_AFTER_SECONDS))
        self.suspects.trials.refuse_waiting()

    def _start_waiting(self, ticket: Ticket, now: float) -> bool:
        """Start a call that admission has taken from its queue; return False if it has gone."""
        if ticket.call_id in self._unadmitted_ids:
            # In observe mode it runs without admission, and does not wait.
            self._unadmitted_ids.discard(ticket.call_id)
            return True
        if self._waiters.resolve(ticket, None):
            return True
        # It was cancelled, and its task has not run since: without this, nobody would give its
        # slot back, and the target would have one less for good.
        self.admission.finish(now, ticket, Sample(ticket.rule, 0.0, completed=False))
        return False

    def _end_wait(self, ticket: Ticket, failure: Failure) -> None:
        self._unadmitted_ids.discard(ticket.call_id)
        self._waiters.resolve(ticket, failure)

    async def _run(self, call: PendingCall, ticket: Ticket) -> Reply:
        loop = self.loop
        running = RunningCall(call, loop.time(), partial(self._set_waiting_downstream, ticket))
        self.running.add(running)
        completed = False
        try:
            reply = await self._call_target(call, running)
            completed = reply.kind == ''
            self.suspects.record_answer(call.ctx, reply)
        except asyncio.CancelledError:
            self.stats.wasted += 1
            raise
        finally:
            now = loop.time()
            self.running.remove(running)
            self._finish(
                ticket, Sample(ticket.rule, running.processing_seconds(now), completed), now
            )
        reply.unspent_retry_tokens = call.allowance.tokens
        reply.load = self._chain_load(call.ctx)._replace(cost=self._compute_cost(running))
        self._add_target_report(call.ctx, reply)
        reply.refused_calls = self.get_refused_calls(running)
        return reply

    def _add_target_report(self, ctx: CallContext, reply: Reply) -> None:
        reply.target_state = self.get_relayed_state()
        reply.speed = self.admission.speed(self.now(), ctx.rule)

    def _compute_cost(self, running: RunningCall) -> float:
        """Return the cost of a call at its bottleneck: this service or those downstream."""
        own = running.processing_seconds(self.now()) / max(self.admission.limit, 1)
        return max(own, running.downstream_cost)

    def _chain_load(self, ctx: CallContext) -> Load:
        """Return the load with the strictest level of this hop and those downstream.

        The hops upstream refuse calls by that level.
        """
        now = self.now()
        return self.admission.load(now).with_chain_level(self.levels, now, ctx.service, ctx.rule)

    def _set_waiting_downstream(self, ticket: Ticket, now: float, is_waiting: bool) -> None:
        """Free the slot of a call while the target waits for a downstream call made for it."""
        if ticket.call_id in self._unadmitted_ids:
            return
        if is_waiting:
            self.admission.pause(now, ticket)
        else:
            self.admission.resume(now, ticket)
        self._release(now)

    async def _call_target(self, call: PendingCall, running: RunningCall) -> Reply:
        address = self.target.address
        if address is None:
            # The target disappeared while the call waited in the queue.
            return refusal(Failure(ErrorKind.NO_TARGET, 'the target has gone', RETRY_AFTER_SECONDS))
        budget = call.ctx.deadline - running.started_at
        headers = self.dialect.request_headers(call, running, budget)
        req = HttpRequest(call.method, call.path, headers, call.body, '')
        allow_resend = partial(self._try_spend_resend, call) if call.ctx.idempotent else None
        loop = self.loop
        sent_at = loop.time()
        start_number = self.target.start_number
        result = await self.client.send(
            address,
            req,
            budget,
            allow_resend=allow_resend,
            matches_request=partial(self.dialect.match_response, running),
            request_id=call.ctx.request_id,
        )
        elapsed = loop.time() - sent_at
        self.stats.record_latency(Hop.TARGET, elapsed)
        if call.wait_time is not None:
            call.wait_time.seconds += elapsed
        reply = self._to_reply(call, running, sent_at, result)
        await self.suspects.record_lost(call, start_number, reply)
        if self.decisions is not None:
            status = result.response.status if isinstance(result, Answered) else 0
            self.decisions.log_send_ended(call.ctx, reply, status, elapsed)
        return reply

    def _to_reply(
        self, call: PendingCall, running: RunningCall, sent_at: float, result: SendResult
    ) -> Reply:
        """Return the reply to a call that was sent to the target at ``sent_at``."""
        match result:
            case Answered(response, connection, earlier_responses):
                self._report_advertised_state(call, sent_at, response)
                reply = self._read_reply(call, running, response)
                reply.connection, reply.earlier_answers = connection, earlier_responses
            case NotSent(detail, is_local_exhaustion=True):
                # NO_TARGET would have the sender avoid the target.
                reply = refusal(Failure(ErrorKind.OVERLOADED, detail, RETRY_AFTER_SECONDS))
            case NotSent(detail, is_refused):
                # A busy target may not accept in time, too; one that drains would count as new.
                if is_refused:
                    self.target.record_connection_refused()
                reply = refusal(Failure(ErrorKind.NO_TARGET, detail, RETRY_AFTER_SECONDS))
            case Lost(detail, kind, connection, earlier_answers):
                reply = refusal(Failure(kind, detail))
                reply.connection, reply.earlier_answers = connection, earlier_answers
        return reply

    def _read_reply(self, call: PendingCall, running: RunningCall, response: HttpResponse) -> Reply:
        reply = self.dialect.read_reply(call, response)
        if not reply.kind:
            reply.retry_after = downstream_retry_after(reply, running)
        if reply.status >= MIN_SERVER_ERROR_STATUS:
            reply.cause = running.downstream_failure
        return reply

    def _report_advertised_state(
        self, call: PendingCall, sent_at: float, response: HttpResponse
    ) -> None:
        state = self.dialect.read_advertised_state(response)
        if state is not None:
            self.on_advertised_state(call.ctx.request_id, sent_at, state)

    def _try_spend_resend(self, call: PendingCall) -> bool:
        # No call is sent to a target that leaves, not even one that was sent to it before.
        return self.target.accepts_work and call.allowance.spend()

    def _finish(self, ticket: Ticket, sample: Sample, now: float) -> None:
        if ticket.call_id in self._unadmitted_ids:
            self._unadmitted_ids.discard(ticket.call_id)
            self.admission.cancel(ticket)
        else:
            self.admission.finish(now, ticket, sample)
        self._release(now)

    def _release(self, now: float) -> None:
        failure = Failure(ErrorKind.TOO_LATE_TO_START, retry_after=RETRY_AFTER_SECONDS)
        has_free_slot = True
        while has_free_slot:
            dequeued = self.admission.dequeue(now)
            gone = [ticket for ticket in dequeued.started if not self._start_waiting(ticket, now)]
            for dropped in dequeued.expired:
                self._end_wait(dropped, failure)
            has_free_slot = bool(gone)
        self._waiters.schedule_release(now)

    def _refuse(self, failure: Failure, call: PendingCall) -> Reply:
        self.stats.shed[failure.kind.value] += 1
        load = self._chain_load(call.ctx)
        if self.decisions is not None:
            self.decisions.log_refused(call.ctx, failure, load)
        reply = refusal(failure, load=load)
        self._add_target_report(call.ctx, reply)
        # The sender may have restarted, and would send the request to other targets.
        self.suspects.add_crashes(call.ctx, reply)
        reply.unspent_retry_tokens = call.allowance.tokens
        return reply
