"""Dispatch of a call to a target of its service, with resends to others where that is safe."""

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from dunlinsaddle.calls.call_state import Attempt, PendingCall, build_call_frame
from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.http import MIN_SERVER_ERROR_STATUS
from dunlinsaddle.calls.messages import Lost, NotSent, Reply, refusal
from dunlinsaddle.calls.outbound.link import PeerLinks
from dunlinsaddle.calls.outbound.member_calls import to_candidates
from dunlinsaddle.calls.resends import AllowanceResendPolicy, ResendPolicy
from dunlinsaddle.calls.results import CallResults
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.policy.context import CallContext
from dunlinsaddle.policy.quarantine import (
    Paused,
    Quarantine,
    Quarantined,
    choose_trial_instance,
    crashes_by_number,
)
from dunlinsaddle.policy.retry import REFUSED_BY_NODE, RetryAllowance
from dunlinsaddle.policy.route import Candidate, Router
from dunlinsaddle.stats import Stats

if TYPE_CHECKING:
    from dunlinsaddle.calls.at_most_once.idempotency import IdempotencyRouter

#: Minimum time until the deadline for a resend. With less, an answer in time is unlikely, and a
#: call that provably has not run would be started in vain.
MIN_RESEND_SECONDS = 0.05
NO_TARGET_RETRY_AFTER_SECONDS = 1.0  #: a target that has returned is announced by then
#: Cause that is reported for a request refused because other requests of its rule fail.
RULE_FAILING_CAUSE = 'calls of its rule fail'
#: Cause that is reported for a request refused because its calls cannot be repeated often enough.
NO_REPEATS_CAUSE = 'no repeats are left for its calls'
#: Error kinds of calls that were not sent to any target.
NOT_DELIVERED_KINDS = frozenset(kind.value for kind in REFUSED_BY_NODE)


class _CandidateSet(NamedTuple):
    """Input of the router for one service, cached while the view returns the same list."""

    serving: list[Member]
    members: dict[str, Member]
    candidates: list[Candidate]


def _build_candidate_set(serving: list[Member]) -> _CandidateSet:
    members = {m.instance: m for m in serving}
    return _CandidateSet(serving, members, to_candidates(members.values()))


class Dispatcher(LoopBound):
    """Chooses a target, sends the call to it, and spends the retry allowance on resends."""

    def __init__(
        self,
        instance: str,
        view: MemberView,
        router: Router,
        links: PeerLinks,
        executor: Executor,
        stats: Stats,
        quarantine: Quarantine,
    ) -> None:
        self.instance = instance
        self.view = view
        self.router = router
        self.links = links
        self.executor = executor
        self.stats = stats
        self.quarantine = quarantine
        self.idempotency_router: IdempotencyRouter | None = None
        self.resend_policy: ResendPolicy = AllowanceResendPolicy()
        self.decisions: DecisionLog | None = None
        self.results = CallResults(view, router, executor.levels)
        self._candidate_sets: dict[str, _CandidateSet] = {}

    async def dispatch(self, call: PendingCall, parent_rule: str = '') -> Reply:
        """Send a call to one target after another until a reply is final.

        ``parent_rule`` is the rule of the running call that the local target makes this call for.
        """
        if parent_rule:
            now = self.now()
            self.executor.levels.record_call(now, parent_rule, call.ctx.service, call.ctx.rule)
        if self.idempotency_router is not None and not call.ctx.idempotent:
            return await self._dispatch_at_most_once(self.idempotency_router, call)
        return self.find_early_refusal(call) or await self.send(call)

    def find_early_refusal(self, call: PendingCall) -> Reply | None:
        """Return the refusal of a call that would be refused further down, or None."""
        failure = self._check_quarantine(call.ctx) or self._check_downstream_levels(call.ctx)
        return None if failure is None else self._refuse_early(call, failure)

    def refuse_failing_rule(self, call: PendingCall, cause: str = RULE_FAILING_CAUSE) -> Reply:
        """Refuse a request that would most likely fail, with a Retry-After."""
        useful_seconds = call.ctx.useful_until - self.now()
        reply = self._refuse_early(call, self.executor.levels.refuse(useful_seconds))
        reply.cause = cause
        return reply

    def _refuse_early(self, call: PendingCall, failure: Failure) -> Reply:
        self.stats.shed[failure.kind.value] += 1
        reply = refusal(failure)
        reply.unspent_retry_tokens = call.allowance.tokens
        return reply

    async def send(self, call: PendingCall) -> Reply:
        """Send a call to one target after another, without a check for an early refusal."""
        call = self._add_known_crashes(call)
        tried_instances: set[str] = set()
        delivered_to: set[str] = set()
        last_reply: Reply | None = None
        target_reply: Reply | None = None
        may_have_run = False
        while True:
            member = self._next_member(call, tried_instances, delivered_to, last_reply)
            if member is None:
                last_reply = last_reply or self._no_target_reply(call.ctx)
                break
            if last_reply is not None and not self.resend_policy.spend(call, last_reply):
                break
            if last_reply is not None:
                self._record_resend(call, last_reply, len(tried_instances))
                call = self.resend_policy.prepare_resend(call, last_reply)
            tried_instances.add(member.instance)
            last_reply = await self._send_to(call, member)
            self._record_crashes(call.ctx, last_reply)
            call = self._add_known_crashes(call)
            may_have_run = may_have_run or last_reply.outcome is not Outcome.NOT_RUN
            if not last_reply.kind:
                target_reply = last_reply
            if last_reply.kind not in NOT_DELIVERED_KINDS:
                delivered_to.add(member.instance)
            if not self._may_resend(call, last_reply):
                break
        if last_reply.kind and target_reply is not None:
            # A response of a target, even an error, is more useful to the caller than the reason
            # why no other target answered.
            last_reply = target_reply
        last_reply.unspent_retry_tokens = call.allowance.tokens
        return _correct_outcome(last_reply) if may_have_run else last_reply

    def _next_member(
        self,
        call: PendingCall,
        tried_instances: set[str],
        delivered_to: set[str],
        last_reply: Reply | None,
    ) -> Member | None:
        service = call.ctx.service
        if not delivered_to or not self.resend_policy.is_limited_to_tried_targets(call):
            member = self._choose_for(call.ctx, tried_instances)
            if member is not None or last_reply is None:
                return member
            refused = last_reply.kind == ErrorKind.TARGET_REFUSED.value
            if not refused or not self.results.refused_shares.share(self.now(), service):
                return None
            # All targets have refused the call. If they refuse half of all calls at random, three
            # targets that are tried once each fail an eighth of the calls. Another send to one of
            # them is as likely to succeed as the first.
        not_delivered_to = {m.instance for m in self.view.serving_members(service)} - delivered_to
        return self.choose_member(service, not_delivered_to, call.ctx.rule)

    def _choose_for(self, ctx: CallContext, tried_instances: set[str]) -> Member | None:
        """Return the member to send a call to: for a suspected request, the one of its trial."""
        if not ctx.crashes or self.executor.is_observe_only(ctx.service):
            return self.choose_member(ctx.service, tried_instances, ctx.rule)
        serving = self.view.serving_members(ctx.service)
        members = {m.instance: m for m in serving if m.instance not in tried_instances}
        alive = [name for name, member in members.items() if member.state is State.ALIVE]
        chosen = choose_trial_instance(ctx.run_fingerprint, alive or members)
        return None if chosen is None else members[chosen]

    def _record_resend(self, call: PendingCall, last_reply: Reply, attempts: int) -> None:
        self.stats.retries += 1
        if self.decisions is not None:
            self.decisions.log_resent(call.ctx, last_reply, attempts)

    async def _dispatch_at_most_once(self, router: 'IdempotencyRouter', call: PendingCall) -> Reply:
        """Dispatch a call that must run at most once; it is never refused early.

        A key that is resent may have run before. Only its owner knows, so no other node may
        answer that it did not run.
        """
        call = self._add_known_crashes(call)
        reply = await router.handle(call)
        self.results.record_level(self.now(), call, reply)
        self._record_crashes(call.ctx, reply)
        return reply

    def _check_quarantine(self, ctx: CallContext) -> Failure | None:
        """Return the failure for a request that may crash its targets, or None.

        The nodes beside the targets refuse it as well, but one that has restarted may not know.
        """
        state = self.quarantine.check(self.now(), ctx.run_fingerprint)
        if isinstance(state, Paused | Quarantined) and not self.executor.is_observe_only(
            ctx.service
        ):
            return state.failure
        return None

    def _check_downstream_levels(self, ctx: CallContext) -> Failure | None:
        now = self.now()
        levels, level = self.executor.levels, ctx.priority.level
        useful_seconds = ctx.useful_until - now
        failure = levels.check(now, ctx.service, ctx.rule, level, ctx.hop, useful_seconds)
        if failure is not None and self.executor.is_observe_only(ctx.service):
            self.stats.observed_refusals[failure.kind.value] += 1
            return None
        return failure

    def choose_member(
        self, service: str, tried_instances: set[str], rule: str = ''
    ) -> Member | None:
        """Return the member to send a call of ``rule`` to, or None when all have been tried."""
        serving = self.view.serving_members(service)
        candidate_set = self._candidate_sets.get(service)
        if candidate_set is None or candidate_set.serving is not serving:
            candidate_set = self._candidate_sets[service] = _build_candidate_set(serving)
        now = self.now()
        chosen = self.router.choose(now, candidate_set.candidates, frozenset(tried_instances), rule)
        return candidate_set.members[chosen.instance] if chosen else None

    async def _send_to(self, call: PendingCall, member: Member) -> Reply:
        loop = self.loop
        tokens = call.allowance.delegate()
        if self.decisions is not None:
            candidate_count = len(self.view.serving_members(call.ctx.service))
            load = self.router.latest_load(member.instance)
            self.decisions.log_sent(call.ctx, member.instance, load, candidate_count)
        started_at = loop.time()
        epoch = self.router.epoch(member.instance)
        self.router.record_sent(member.instance)
        try:
            result = await self._forward(call, member, tokens)
        except asyncio.CancelledError:
            if self.router.epoch(member.instance) == epoch:
                self.router.record_answer(self.now(), member.instance, None)
                self.results.record_duration(call.ctx, member, started_at, is_success=False)
            raise
        reply = _to_reply(call, tokens, result)
        if self.router.epoch(member.instance) == epoch:
            self.results.record(call, member, result)
            self.results.record_duration(
                call.ctx, member, started_at, is_success=_is_success(reply)
            )
        if call.attempts is not None:
            elapsed = round(self.now() - started_at, 4)
            call.attempts.append(_build_attempt(member, reply, elapsed))
        return reply

    async def _forward(
        self, call: PendingCall, member: Member, tokens: int
    ) -> Reply | NotSent | Lost:
        if member.instance == self.instance:
            return await self.executor.execute(call._replace(allowance=RetryAllowance(tokens)))
        loop = self.loop
        now = loop.time()
        frame = build_call_frame(call, now, tokens, self.results.target_states.get(member.instance))
        result = await self.links.call(member.peers, frame)
        if call.wait_time is not None:
            call.wait_time.seconds += loop.time() - now
        return result

    def _add_known_crashes(self, call: PendingCall) -> PendingCall:
        """Return the call with what is known of its request, for the node beside the target."""
        crashes = self.quarantine.crashes(self.now(), call.ctx.run_fingerprint)
        if crashes == call.ctx.crashes:
            return call
        return call._replace(ctx=call.ctx._replace(crashes=crashes))

    def _record_crashes(self, ctx: CallContext, reply: Reply) -> None:
        """Record the crashes that a reply reports, or that a completion takes them back."""
        crashes = tuple(reply.crashes) or crashes_by_number(reply.crash_count)
        self.quarantine.record(self.now(), ctx.run_fingerprint, crashes)
        if ctx.crashes:
            self.executor.suspects.record_answer(ctx, reply)

    def _no_target_reply(self, ctx: CallContext) -> Reply:
        now = self.now()
        self.executor.levels.record_unavailable(now, ctx.service, ctx.rule)
        detail = f'no target of {ctx.service} is known'
        return refusal(Failure(ErrorKind.NO_TARGET, detail, NO_TARGET_RETRY_AFTER_SECONDS))

    def _may_resend(self, call: PendingCall, reply: Reply) -> bool:
        if self._check_quarantine(call.ctx) is not None:
            return False
        if call.ctx.deadline - self.now() < MIN_RESEND_SECONDS:
            return False
        return self.resend_policy.allows(call, reply)


def _to_reply(call: PendingCall, tokens: int, result: Reply | NotSent | Lost) -> Reply:
    """Convert the result of an attempt to a reply, and take back its unspent retry tokens."""
    match result:
        case Reply():
            call.allowance.reclaim(tokens, result.unspent_retry_tokens)
            return result
        case NotSent(detail):
            call.allowance.reclaim(tokens, tokens)
            return refusal(Failure(ErrorKind.NO_TARGET, detail, NO_TARGET_RETRY_AFTER_SECONDS))
        case Lost(detail, kind):
            return refusal(Failure(kind, detail))


def _build_attempt(member: Member, reply: Reply, seconds: float) -> Attempt:
    return Attempt(
        member.instance,
        reply.kind,
        reply.status,
        seconds,
        reply.outcome.value,
        reply.connection,
        reply.earlier_answers,
    )


def _is_success(reply: Reply) -> bool:
    return not reply.kind and reply.status < MIN_SERVER_ERROR_STATUS


def _correct_outcome(reply: Reply) -> Reply:
    """Replace a refusal by "outcome unknown": an earlier attempt of the call may have run."""
    if reply.outcome is not Outcome.NOT_RUN:
        return reply
    detail = f'a first try was lost, the last was refused: {reply.kind}'
    corrected = refusal(Failure(ErrorKind.OUTCOME_UNKNOWN, detail), load=reply.load)
    corrected.unspent_retry_tokens = reply.unspent_retry_tokens
    return corrected
