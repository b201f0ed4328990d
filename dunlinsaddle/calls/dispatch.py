"""Sends a call to a target of its service, again elsewhere where that is safe."""

import asyncio
from typing import TYPE_CHECKING, NamedTuple, Protocol

from dunlinsaddle.calls.call_state import Attempt, PendingCall, build_call_frame
from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.execute import Executor
from dunlinsaddle.calls.http import MIN_SERVER_ERROR_STATUS
from dunlinsaddle.calls.link import PeerLinks
from dunlinsaddle.calls.member_calls import to_candidates
from dunlinsaddle.calls.messages import Lost, NotSent, RelayedTargetState, Reply, refusal
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.policy.context import CallContext
from dunlinsaddle.policy.quarantine import DEATHS_TO_QUARANTINE, Quarantine
from dunlinsaddle.policy.retry import LOST_ANSWER_KINDS, REFUSED_BY_NODE, RetryAllowance, may_resend
from dunlinsaddle.policy.route import Candidate, Router
from dunlinsaddle.stats import Stats

if TYPE_CHECKING:
    from dunlinsaddle.calls.idempotency import IdempotencyRouter

#: Seconds that a call must have left to be sent again. With less it is hardly answered, and one
#: that is known not to have run would be begun after all.
MIN_RESEND_SECONDS = 0.05
NO_TARGET_RETRY_AFTER_SECONDS = (
    1.0  #: seconds; within one, a target that is back has been announced
)
#: What a request is said to have failed for that was refused as others of its rule fail.
RULE_FAILING_CAUSE = 'calls of its rule fail'
#: How a call ends that no target was given.
NOT_DELIVERED_KINDS = frozenset(kind.value for kind in REFUSED_BY_NODE)
#: How a call ends that a target was given and has not answered; told by the node beside it.
LOST_KINDS = frozenset(kind.value for kind in LOST_ANSWER_KINDS)


class _Choices(NamedTuple):
    """What the router is given for one service, as long as the view gives the same list."""

    serving: list[Member]
    members: dict[str, Member]
    candidates: list[Candidate]


def _choices(serving: list[Member]) -> _Choices:
    members = {m.instance: m for m in serving}
    return _Choices(serving, members, to_candidates(members.values()))


class ResendPolicy(Protocol):
    """Which calls may be sent to a further target, and who pays for it."""

    def allows(self, call: PendingCall, reply: Reply) -> bool:
        """Say whether another target may be given a call that ended so."""

    def spend(self, call: PendingCall, reply: Reply) -> bool:
        """Pay for sending it; False when there is nothing left to pay with."""

    def prepare_resend(self, call: PendingCall, reply: Reply) -> PendingCall:
        """Give the call as it is sent once more."""

    def is_limited_to_tried_targets(self, call: PendingCall) -> bool:
        """Say whether it goes to the targets that were given it, and to no further one."""


class AllowanceResendPolicy:
    """The product's own way: an allowance that travels down the chain with the request."""

    def allows(self, call: PendingCall, reply: Reply) -> bool:
        """Allow what provably did not run, and what is idempotent and was lost."""
        kind = ErrorKind(reply.kind) if reply.kind else None
        return may_resend(kind, reply.outcome, idempotent=call.ctx.idempotent)

    def spend(self, call: PendingCall, reply: Reply) -> bool:
        """Take a token of the request's allowance."""
        return call.allowance.spend()

    def prepare_resend(self, call: PendingCall, reply: Reply) -> PendingCall:
        """Send it as it was."""
        return call

    def is_limited_to_tried_targets(self, call: PendingCall) -> bool:
        """Send it to further targets only."""
        return False


class Dispatcher(OnLoop):
    """Chooses a target, hands the call over, and spends the retry allowance."""

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
        self._choices: dict[str, _Choices] = {}
        #: By the instance beside the target. It goes back with each call: a node that has started
        #: again knows nothing of a target that goes on, and would take it for one like any other.
        self._told: dict[str, RelayedTargetState] = {}

    async def dispatch(self, call: PendingCall, parent_rule: str = '') -> Reply:
        """Give a call to one target after another until one answer is final.

        ``parent_rule`` is the rule that the local target works on and makes this call for.
        """
        if parent_rule:
            now = self.now()
            self.executor.levels.record_call(now, parent_rule, call.ctx.service, call.ctx.rule)
        if self.idempotency_router is not None and not call.ctx.idempotent:
            return await self._dispatch_at_most_once(self.idempotency_router, call)
        return self.find_early_refusal(call) or await self.send(call)

    def find_early_refusal(self, call: PendingCall) -> Reply | None:
        """Give the refusal of what a service further down would refuse, None where none would."""
        failure = self._early_refusal(call.ctx)
        return None if failure is None else self._refused_early(call, failure)

    def refuse_failing_rule(self, call: PendingCall) -> Reply:
        """Refuse a request that would begin in vain, with a time to come back."""
        useful_for = call.ctx.useful_until - self.now()
        early = self._refused_early(call, self.executor.levels.refuse(useful_for))
        early.cause = RULE_FAILING_CAUSE
        return early

    def _refused_early(self, call: PendingCall, failure: Failure) -> Reply:
        self.stats.shed[failure.kind.value] += 1
        early = refusal(failure)
        early.unspent_retry_tokens = call.allowance.tokens
        return early

    async def send(self, call: PendingCall) -> Reply:
        """Send a call that no early refusal stops to one target after another."""
        tried: set[str] = set()
        given: set[str] = set()
        last: Reply | None = None
        answered: Reply | None = None
        may_have_run = False
        while True:
            member = self._next(call, tried, given)
            if member is None:
                last = last or self._nobody(call.ctx)
                break
            if last is not None and not self.resend_policy.spend(call, last):
                break
            if last is not None:
                self._note_resend(call, last, len(tried))
                call = self.resend_policy.prepare_resend(call, last)
            tried.add(member.instance)
            last = await self._try(call, member)
            call = self._after(call, last)
            may_have_run = may_have_run or last.outcome is not Outcome.NOT_RUN
            if not last.kind:
                answered = last
            if last.kind not in NOT_DELIVERED_KINDS:
                given.add(member.instance)
            if not self._may_resend(call, last):
                break
        if last.kind and answered is not None:
            # A target has answered, if only with a failure: that tells the caller more than
            # why nobody else did.
            last = answered
        last.unspent_retry_tokens = call.allowance.tokens
        return _truthful(last) if may_have_run else last

    def _next(self, call: PendingCall, tried: set[str], given: set[str]) -> Member | None:
        service = call.ctx.service
        if not given or not self.resend_policy.is_limited_to_tried_targets(call):
            return self.choose_member(service, tried)
        return self.choose_member(
            service, {m.instance for m in self.view.serving_members(service)} - given
        )

    def _note_resend(self, call: PendingCall, last: Reply, tries: int) -> None:
        self.stats.retries += 1
        if self.decisions is not None:
            self.decisions.log_resent(call.ctx, last, tries)

    async def _dispatch_at_most_once(self, router: 'IdempotencyRouter', call: PendingCall) -> Reply:
        """Take the way of calls that must run at most once; it has no early refusal.

        A key that is sent again may have run before. Only its owner knows, so nobody else
        may say of it that it was not run.
        """
        reply = await router.handle(call)
        self._learn(self.now(), call, reply)
        self._after(call, reply)
        return reply

    def _early_refusal(self, ctx: CallContext) -> Failure | None:
        now = self.now()
        levels, level = self.executor.levels, ctx.priority.level
        useful_for = ctx.useful_until - now
        failure = levels.check(now, ctx.service, ctx.rule, level, ctx.hop, useful_for)
        if failure is not None and self.executor.is_observe_only(ctx.service):
            self.stats.observed_refusals[failure.kind.value] += 1
            return None
        return failure

    def choose_member(self, service: str, tried: set[str]) -> Member | None:
        """Give the member to send a call to, or None when all were tried."""
        serving = self.view.serving_members(service)
        known = self._choices.get(service)
        if known is None or known.serving is not serving:
            known = self._choices[service] = _choices(serving)
        now = self.now()
        chosen = self.router.choose(now, known.candidates, frozenset(tried))
        return known.members[chosen.instance] if chosen else None

    async def _try(self, call: PendingCall, member: Member) -> Reply:
        loop = self.loop
        handed = call.allowance.delegate()
        if self.decisions is not None:
            known = len(self.view.serving_members(call.ctx.service))
            load = self.router.latest_load(member.instance)
            self.decisions.log_sent(call.ctx, member.instance, load, known)
        began = loop.time()
        self.router.record_sent(member.instance)
        try:
            exchange = await self._hand_over(call, member, handed)
        except asyncio.CancelledError:
            self.router.record_answer(self.now(), member.instance, None)
            self._timed(call.ctx, member, began, whole=False)
            raise
        reply = self._judge(call, member, handed, exchange)
        took = self._timed(call.ctx, member, began, whole=_whole(reply))
        if call.attempts is not None:
            call.attempts.append(Attempt(member.instance, reply.kind, reply.status, took))
        return reply

    def _timed(self, ctx: CallContext, member: Member, began: float, *, whole: bool) -> float:
        now = self.now()
        self.router.record_duration(now, member.instance, ctx.rule, now - began, completed=whole)
        return round(now - began, 4)

    def _judge(
        self, call: PendingCall, member: Member, handed: int, exchange: Reply | NotSent | Lost
    ) -> Reply:
        """Learn from how a send ended, and give the reply that it amounts to."""
        now = self.now()
        match exchange:
            case Reply():
                self._heard(now, member, exchange)
                self._learn(now, call, exchange)
                call.allowance.reclaim(handed, exchange.unspent_retry_tokens)
                return exchange
            case NotSent(detail):
                self.router.record_failure(now, member.instance)
                call.allowance.reclaim(handed, handed)
                return refusal(Failure(ErrorKind.NO_TARGET, detail, NO_TARGET_RETRY_AFTER_SECONDS))
            case Lost(detail, kind):
                self.router.record_failure(now, member.instance)
                return refusal(Failure(kind, detail))

    async def _hand_over(
        self, call: PendingCall, member: Member, handed: int
    ) -> Reply | NotSent | Lost:
        if member.instance == self.instance:
            return await self.executor.execute(call._replace(allowance=RetryAllowance(handed)))
        loop = self.loop
        now = loop.time()
        frame = build_call_frame(call, now, handed, self._told.get(member.instance))
        exchange = await self.links.call(member.peers, frame)
        if call.waits is not None:
            call.waits.seconds += loop.time() - now
        return exchange

    def _heard(self, now: float, member: Member, reply: Reply) -> None:
        self._learn_told(now, member, reply)
        if reply.kind in LOST_KINDS:
            self.router.record_failure(now, member.instance)
            return
        failed = not reply.kind and reply.status >= MIN_SERVER_ERROR_STATUS
        # One that turns calls away has the fewest in flight, and would draw ever more of them.
        turned_away = reply.kind == ErrorKind.TARGET_REFUSED.value
        error = turned_away or (failed and reply.retry_after <= 0)
        self.router.record_answer(now, member.instance, reply.load, error=error)
        if reply.kind in (ErrorKind.DRAINING.value, ErrorKind.NO_TARGET.value):
            self.router.avoid_leaving(now, member.instance)

    def _learn_told(self, now: float, member: Member, reply: Reply) -> None:
        told = reply.target_state
        if told is not None:
            self._told[member.instance] = told
            self.router.record_rate(now, member.instance, told.rate, told.rate_use)
        elif not reply.kind:
            # The target has answered, and says nothing of itself any more.
            self._told.pop(member.instance, None)
            self.router.record_rate(now, member.instance, None)

    def _learn(self, now: float, call: PendingCall, reply: Reply) -> None:
        if reply.load is not None and self._speaks_for_service(call.ctx.service, reply):
            self.executor.levels.record_response(
                now, call.ctx.service, call.ctx.rule, reply.load.reported_level
            )

    def _speaks_for_service(self, service: str, reply: Reply) -> bool:
        """Say whether the level that came with a reply is one to refuse requests by.

        Failure: one of three targets names a rate of .5 a second, and by its level entries refuse
        a quarter of the views, which the other two have room for. What a target with a rate does
        not take goes to those without; theirs is the level of the service.
        """
        if not _names_rate(reply.target_state):
            return True
        if reply.load is not None and reply.load.limited_by != service:
            return True
        told = self._told
        return all(_names_rate(told.get(m.instance)) for m in self.view.serving_members(service))

    def _after(self, call: PendingCall, reply: Reply) -> PendingCall:
        """Carry on with the call what its last try taught."""
        if not reply.deaths:
            return call
        now = self.now()
        deaths = self.quarantine.merge_deaths(now, call.ctx.fingerprint, reply.deaths)
        return call._replace(ctx=call.ctx._replace(deaths=deaths))

    def _nobody(self, ctx: CallContext) -> Reply:
        now = self.now()
        self.executor.levels.record_unavailable(now, ctx.service, ctx.rule)
        detail = f'no target of {ctx.service} is known'
        return refusal(Failure(ErrorKind.NO_TARGET, detail, NO_TARGET_RETRY_AFTER_SECONDS))

    def _may_resend(self, call: PendingCall, reply: Reply) -> bool:
        if call.ctx.deaths >= DEATHS_TO_QUARANTINE:
            return False
        if call.ctx.deadline - self.now() < MIN_RESEND_SECONDS:
            return False
        return self.resend_policy.allows(call, reply)


def _whole(reply: Reply) -> bool:
    return not reply.kind and reply.status < MIN_SERVER_ERROR_STATUS


def _names_rate(told: RelayedTargetState | None) -> bool:
    return told is not None and told.rate is not None


def _truthful(reply: Reply) -> Reply:
    """Keep a refusal from saying "not run" when an earlier try of the same call may have run."""
    if reply.outcome is not Outcome.NOT_RUN:
        return reply
    detail = f'a first try was lost, the last was refused: {reply.kind}'
    told = refusal(Failure(ErrorKind.OUTCOME_UNKNOWN, detail), load=reply.load)
    told.unspent_retry_tokens = reply.unspent_retry_tokens
    return told
