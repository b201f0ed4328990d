"""The node beside a target: admission, the wait in the queue, and the call itself."""

import asyncio
from collections.abc import Callable
from functools import partial

from dunlinsaddle.calls.call_state import (
    PendingCall,
    RunningCall,
    RunningCalls,
    downstream_retry_after,
)
from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.http import MIN_SERVER_ERROR_STATUS, HttpRequest, HttpResponse
from dunlinsaddle.calls.messages import Lost, NotSent, RelayedTargetState, Reply, refusal
from dunlinsaddle.calls.target import AdvertisedState, DefaultDialect, LocalTarget, TargetDialect
from dunlinsaddle.calls.waiters import RETRY_AFTER_SECONDS, AdmissionFuture, Waiters
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.loops import OnLoop
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
from dunlinsaddle.policy.quarantine import Quarantine, Quarantined, Suspected
from dunlinsaddle.stats import Hop, Stats

TICK_SECONDS = UPDATE_INTERVAL_SECONDS + 0.0001  #: just enough for the tick to be due


#: Hears what the target says of itself: with the answer to which request, and when that was sent.
OnTargetStatus = Callable[[str, float, AdvertisedState], None]


class Executor(OnLoop):
    """Gives calls to the local target, as many at once as admission allows."""

    def __init__(
        self,
        target: LocalTarget,
        admission: AdmissionPolicy,
        client: HttpClient,
        running: RunningCalls,
        stats: Stats,
        quarantine: Quarantine,
        is_observe_only: Callable[[str], bool] = lambda service: False,
        on_target_crash: Callable[[int, int], None] = lambda fingerprint, deaths: None,
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
        self.on_target_crash = on_target_crash
        self.levels = levels or ChainLevels()
        self.decisions: DecisionLog | None = None
        #: Takes what the target says of itself with the answer to a request.
        self.on_target_status: OnTargetStatus = lambda request_id, sent_at, said: None
        #: Gives what other nodes are told of that with each reply.
        self.target_status: Callable[[], RelayedTargetState | None] = lambda: None
        self._waiters = Waiters(admission, self._release)
        self._tickets = 0
        self._shadows: set[int] = set()
        self._suspect_lock = asyncio.Lock()
        self._ticked = 0  #: tickets given out at the last tick
        self._ticking = False

    async def execute(self, call: PendingCall) -> Reply:
        """Run one call at the local target, or refuse it.

        A refusal from here is the proof that the call did not run: nothing is written to the
        target before admission, and once something is, no answer says "not run" any more.
        """
        failure = self._unfit(call.ctx)
        if failure is not None:
            return self._refused(failure, call)
        ctx = call.ctx
        now = self.now()
        self.quarantine.merge_deaths(now, ctx.fingerprint, ctx.deaths)
        match self.quarantine.check(now, ctx.fingerprint):
            case Quarantined(failure) if self.is_observe_only(ctx.service):
                self.stats.observed_refusals[failure.kind.value] += 1
            case Quarantined(failure):
                return self._refused(failure, call)
            case Suspected() if not self.is_observe_only(ctx.service):
                return await self._run_alone(call)
        return await self._admit_and_run(call)

    async def _run_alone(self, call: PendingCall) -> Reply:
        """Run a suspect beside no other, so that a second death names the guilty one."""
        left = call.ctx.deadline - self.now()
        try:
            # Not wait_for: in 3.11 a time out that meets the lock would leave it taken for ever.
            async with asyncio.timeout(max(left, 0)):
                await self._suspect_lock.acquire()
        except TimeoutError:
            return self._refused(
                Failure(ErrorKind.TOO_LATE_TO_START, '', RETRY_AFTER_SECONDS), call
            )
        try:
            return await self._admit_and_run(call)
        finally:
            self._suspect_lock.release()

    async def _admit_and_run(self, call: PendingCall) -> Reply:
        ticket = self._ticket(call.ctx)
        failure = await self._admit(ticket, call.ctx)
        if call.waits is not None:
            call.waits.seconds += self.now() - ticket.arrived_at
        if failure is not None:
            return self._refused(failure, call)
        return await self._run(call, ticket)

    def _unfit(self, ctx: CallContext) -> Failure | None:
        if self.target.draining:
            return Failure(ErrorKind.DRAINING, retry_after=RETRY_AFTER_SECONDS)
        if self.target.address is None or self.target.service != ctx.service:
            detail = f'no target of {ctx.service} is announced here'
            return Failure(ErrorKind.NO_TARGET, detail, RETRY_AFTER_SECONDS)
        return None

    def _ticket(self, ctx: CallContext) -> Ticket:
        self._tickets += 1
        loop = self.loop
        now = loop.time()
        if not self._ticking:
            self._ticking = True
            loop.call_later(TICK_SECONDS, self._tick)
        level = ctx.priority.level
        return Ticket(
            self._tickets,
            level,
            now,
            ctx.deadline,
            ctx.rule,
            ctx.caller,
            ctx.hop,
            ctx.useful_until,
        )

    def _tick(self) -> None:
        """Let admission decide between calls: a call that finds it due waits for it.

        Without calls there is nothing to decide, and an idle node is not woken.
        """
        loop = self.loop
        self.admission.load(loop.time())
        self._ticking = self._tickets != self._ticked
        self._ticked = self._tickets
        if self._ticking:
            loop.call_later(TICK_SECONDS, self._tick)

    async def _admit(self, ticket: Ticket, ctx: CallContext) -> Failure | None:
        loop = self.loop
        verdict = self.admission.admit(loop.time(), ticket)
        if self.is_observe_only(ctx.service):
            self._observe(ticket, verdict)
            return None
        match verdict:
            case Run():
                return None
            case Refuse(failure):
                return failure
            case Wait(evicted):
                if evicted is not None:
                    self._settle(
                        evicted, Failure(ErrorKind.OVERLOADED, retry_after=RETRY_AFTER_SECONDS)
                    )
        if self.decisions is not None:
            self.decisions.log_queued(ctx, self._load(ctx))
        end = self._waiters.add(ticket)
        try:
            refused = await end
        except asyncio.CancelledError:
            self._leave(ticket, end)
            raise
        finally:
            self._waiters.remove(ticket)
        self.stats.waited(loop.time() - ticket.arrived_at)
        return refused

    def _observe(self, ticket: Ticket, verdict: AdmissionDecision) -> None:
        """Count what would have been decided; the call runs whatever it was.

        Beside an older system that still protects the service nothing may be refused twice.
        A call that would have waited stays in the queue as a shadow until it ends.
        """
        match verdict:
            case Run():
                return
            case Wait(evicted):
                self.stats.observed_waits += 1
                if evicted is not None:
                    self.stats.observed_refusals[ErrorKind.OVERLOADED.value] += 1
            case Refuse(failure):
                self.stats.observed_refusals[failure.kind.value] += 1
        self._shadows.add(ticket.call_id)

    def _leave(self, ticket: Ticket, end: AdmissionFuture) -> None:
        """Take a cancelled call out, whether it still waits or was started this moment."""
        if end.done() and not end.cancelled() and end.result() is None:
            now = self.now()
            self._finish(ticket, Sample(ticket.rule, 0.0, completed=False), now)
        else:
            self.admission.cancel(ticket)

    def refuse_waiting(self) -> None:
        """Refuse what still waits at a target that leaves: it did not run, and can elsewhere."""
        self._waiters.refuse_all(Failure(ErrorKind.DRAINING, retry_after=RETRY_AFTER_SECONDS))

    def _settle(self, ticket: Ticket, failure: Failure | None) -> None:
        self._shadows.discard(ticket.call_id)
        self._waiters.resolve(ticket, failure)

    async def _run(self, call: PendingCall, ticket: Ticket) -> Reply:
        loop = self.loop
        running = RunningCall(call, loop.time(), partial(self._waits, ticket))
        self.running.add(running)
        completed = False
        try:
            reply = await self._call_target(call, running)
            completed = reply.kind == ''
            if completed and call.ctx.deaths:
                self.quarantine.record_completion(loop.time(), call.ctx.fingerprint)
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
        reply.load = self._load(call.ctx)._replace(cost=self._cost(running))
        reply.target_state = self.target_status()
        return reply

    def _cost(self, running: RunningCall) -> float:
        """Give the cost of a call at whichever is narrower: this service or those below it."""
        own = running.processing_seconds(self.now()) / max(self.admission.limit, 1)
        return max(own, running.downstream_cost)

    def _load(self, ctx: CallContext) -> Load:
        """Report the worst level of this hop and those below, for the hops above to refuse by."""
        now = self.now()
        return self.admission.load(now).with_chain_level(self.levels, now, ctx.service, ctx.rule)

    def _waits(self, ticket: Ticket, now: float, waits: bool) -> None:
        """Let another call run while the target waits for a service on behalf of this one."""
        if ticket.call_id in self._shadows:
            return
        if waits:
            self.admission.pause(now, ticket)
        else:
            self.admission.resume(now, ticket)
        self._release(now)

    async def _call_target(self, call: PendingCall, running: RunningCall) -> Reply:
        address = self.target.address
        if address is None:
            # It went while the call waited in the queue.
            return refusal(Failure(ErrorKind.NO_TARGET, 'the target has gone', RETRY_AFTER_SECONDS))
        budget = call.ctx.deadline - running.started
        headers = self.dialect.request_headers(call, running, budget)
        req = HttpRequest(call.method, call.path, headers, call.body, '')
        again = partial(self._may_repeat, call) if call.ctx.idempotent else None
        loop = self.loop
        sent_at = loop.time()
        exchange = await self.client.send(
            address,
            req,
            budget,
            allow_resend=again,
            matches_request=partial(self.dialect.matches_request, call),
        )
        took = loop.time() - sent_at
        self.stats.took(Hop.TARGET, took)
        if call.waits is not None:
            call.waits.seconds += took
        match exchange:
            case Answered(response):
                self._hear(call, sent_at, response)
                reply = self.dialect.read_reply(response)
                if not reply.kind:
                    reply.retry_after = downstream_retry_after(reply, running)
                if reply.status >= MIN_SERVER_ERROR_STATUS:
                    reply.cause = running.downstream_failure
                return reply
            case NotSent(detail):
                self.target.record_connection_refused()
                return refusal(Failure(ErrorKind.NO_TARGET, detail, RETRY_AFTER_SECONDS))
            case Lost(detail, kind):
                reply = refusal(Failure(kind, detail))
                if kind is ErrorKind.TARGET_LOST and not await self._target_lives():
                    now = self.now()
                    reply.deaths = self.quarantine.record_death(now, call.ctx.fingerprint)
                    self.on_target_crash(call.ctx.fingerprint, reply.deaths)
                return reply

    def _hear(self, call: PendingCall, sent_at: float, response: HttpResponse) -> None:
        said = self.dialect.read_advertised_state(response)
        if said is not None:
            self.on_target_status(call.ctx.request_id, sent_at, said)

    async def _target_lives(self) -> bool:
        """Say whether the target takes connections: a dead one refuses them at once."""
        address = self.target.address
        if address is None:
            return False
        lives = await self.client.can_connect(address)
        if not lives:
            self.target.record_connection_refused()
        return lives

    def _may_repeat(self, call: PendingCall) -> bool:
        # A target that leaves is given nothing new, a call it already has included.
        return not self.target.draining and call.allowance.spend()

    def _finish(self, ticket: Ticket, sample: Sample, now: float) -> None:
        if ticket.call_id in self._shadows:
            self._shadows.discard(ticket.call_id)
            self.admission.cancel(ticket)
        else:
            self.admission.finish(now, ticket, sample)
        self._release(now)

    def _release(self, now: float) -> None:
        released = self.admission.dequeue(now)
        for started in released.started:
            self._settle(started, None)
        late = Failure(ErrorKind.TOO_LATE_TO_START, retry_after=RETRY_AFTER_SECONDS)
        for dropped in released.expired:
            self._settle(dropped, late)
        self._waiters.schedule_release(now)

    def _refused(self, failure: Failure, call: PendingCall) -> Reply:
        self.stats.shed[failure.kind.value] += 1
        load = self._load(call.ctx)
        if self.decisions is not None:
            self.decisions.log_refused(call.ctx, failure, load)
        reply = refusal(failure, load=load)
        reply.target_state = self.target_status()
        reply.unspent_retry_tokens = call.allowance.tokens
        return reply
