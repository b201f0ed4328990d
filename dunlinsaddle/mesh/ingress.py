"""Handler for requests of callers and for the local target's own calls to other services."""

import asyncio
import math
from collections.abc import Callable
from random import Random

from result import Err, Ok, Result

from dunlinsaddle.access.authentication import (
    Authenticator,
    CallerOrganisation,
    effective_rank,
    route_rank,
)
from dunlinsaddle.access.quotas import QuotaCoordinator, QuotaDemand
from dunlinsaddle.calls.call_state import PendingCall, RunningCall, RunningCalls, WaitTime
from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.dispatch import NO_REPEATS_CAUSE, Dispatcher
from dunlinsaddle.calls.http import MIN_SERVER_ERROR_STATUS, HttpRequest, HttpResponse
from dunlinsaddle.calls.inbound.handlers import request_fingerprint
from dunlinsaddle.calls.messages import Reply, refusal
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.mesh.refused_calls import RefusedCallReporter
from dunlinsaddle.mesh.retries import AttemptAllowance
from dunlinsaddle.platform.requests import (
    CallerHeaders,
    build_caller_response,
    build_forwarded_headers,
    read_caller_headers,
)
from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.carried_requests import CarriedRequests, Verdict
from dunlinsaddle.policy.context import MAX_HOPS, CallContext, priority_of
from dunlinsaddle.policy.failure_throttle import FailureThrottle
from dunlinsaddle.policy.level import RETRY_AFTER_SHARE
from dunlinsaddle.policy.refused_share import Refusals
from dunlinsaddle.policy.request_costs import RequestCosts
from dunlinsaddle.policy.retry_budget import RetryBudget
from dunlinsaddle.records.models import Rank
from dunlinsaddle.routes.config_follower import ConfigFollower
from dunlinsaddle.routes.models import Route
from dunlinsaddle.routes.table import RouteTable, choose_service

DEFAULT_TIMEOUT_SECONDS = 10.0  #: for requests without a deadline header
#: Longest wait of a caller that was told to come back, as a share of the time that it has left.
MAX_WAIT_SHARE = 1 / 3
#: Shortest Retry-After of a request that failed because of a call of its target. It is the latency
#: objective of the called services, within which they work off their queues.
MIN_RETRY_AFTER_SECONDS = 0.3
#: Retry-After while the node has no configuration; a new node usually gets one within a second.
NO_CONFIGURATION_RETRY_SECONDS = 0.5
#: Retry-After of a request that reaches a stopping node too late: it is back about then.
STOPPING_RETRY_SECONDS = 1.0
#: Retry-After of a request whose route cannot be read: operators have to write a new configuration.
UNREADABLE_ROUTE_RETRY_SECONDS = 10.0
#: Retry-After of a request whose deadline passed while its body arrived, mostly over a slow link.
LATE_BODY_RETRY_SECONDS = 1.0


class IngressHandler(LoopBound):
    """Finds the route of a request, sets its deadline and priority, and dispatches it.

    Any node can be the ingress of a request.
    """

    def __init__(
        self,
        follower: ConfigFollower,
        authenticator: Authenticator,
        dispatcher: Dispatcher,
        budget: RetryBudget,
        service: str,
        running: RunningCalls,
        rng: Random,
        decisions: DecisionLog,
        on_end: Callable[[PendingCall, Reply, float], None],
        quotas: QuotaCoordinator,
    ) -> None:
        self.quotas = quotas
        self.decisions = decisions
        self.follower = follower
        self.authenticator = authenticator
        self.dispatcher = dispatcher
        self.budget = budget
        self.service = service
        self.running = running
        self.rng = rng
        self.on_end = on_end
        #: Called with the service of a call that a repeated run makes.
        self.on_repeat: Callable[[str], None] = lambda service: None
        #: Time of the event loop from which only calls of the local target are started.
        self.refuses_from = math.inf
        self.request_costs = RequestCosts()
        self.failure_throttle = FailureThrottle()
        self.refused_calls = RefusedCallReporter(dispatcher.results.refused_shares, budget)
        self.carried_requests = CarriedRequests(budget.window, budget.node_allowance)

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Route one request and return its response."""
        caller_headers = read_caller_headers(req)
        key_status_known = await self.authenticator.wait_for_key_status(caller_headers)
        table = self.follower.table
        if table is None:
            kind = ErrorKind.NO_CONFIGURATION
            return self._refuse(caller_headers, Failure(kind, '', NO_CONFIGURATION_RETRY_SECONDS))
        match self._find_route(req, caller_headers, table):
            case Err(failure):
                return self._refuse(caller_headers, failure)
            case Ok(route):
                version = table.configuration.version
        loop = self.loop
        started_at = loop.time()
        parent = self.running.find_parent(caller_headers.request_id)
        match self.authenticator.authenticate(
            caller_headers, table, route, parent, key_status_known=key_status_known
        ):
            case Err(failure):
                self._log_denied(caller_headers.request_id, route.name, failure)
                return self._refuse(caller_headers, failure)
            case Ok(holder):
                requires_key = table.requires_keys
                call = self._build_call(
                    req, caller_headers, route, parent, holder, requires_key=requires_key
                )
        if not call.ctx.is_resend:
            self.budget.record_request(started_at, call.ctx.service)
        self.decisions.log_routed(call, version)
        try:
            reply = await self._dispatch(
                call, route, parent, holder, caller_headers.remaining_seconds
            )
        except asyncio.CancelledError:
            self.decisions.log_cancelled(call.ctx, loop.time() - started_at)
            raise
        self._record_reply(call, parent, reply)
        elapsed = loop.time() - started_at
        self.decisions.log_completed(call, reply, elapsed, version)
        self.on_end(call, reply, elapsed)
        response = build_caller_response(reply, caller_headers.request_id)
        remaining = caller_headers.remaining_seconds
        if remaining is None:
            return response
        return response._replace(useful_until=started_at + remaining)

    def _record_reply(self, call: PendingCall, parent: RunningCall | None, reply: Reply) -> None:
        has_failed = bool(reply.kind) or reply.status >= MIN_SERVER_ERROR_STATUS
        if reply.load is not None and not has_failed:
            self._record_cost(call, reply.load, parent)
        if parent is None:
            return
        self.refused_calls.record_call(parent, call, reply)
        if has_failed:
            _record_failed_call(parent, call, reply)

    def _find_route(
        self, req: HttpRequest, caller_headers: CallerHeaders, table: RouteTable
    ) -> Result[Route, Failure]:
        request_id = caller_headers.request_id
        host = req.header(b'host')
        route = table.find_route(host, req.path)
        if route is None:
            self.decisions.log_unrouted(request_id, host, req.path, table.configuration.version)
            return Err(Failure(ErrorKind.NO_ROUTE))
        remaining = caller_headers.remaining_seconds
        if remaining is not None and 0 < req.read_seconds >= remaining:
            kind = ErrorKind.TOO_LATE_TO_START
            failure = Failure(kind, 'its body arrived too late', LATE_BODY_RETRY_SECONDS)
            self._log_denied(caller_headers.request_id, route.name, failure)
            return Err(failure)
        if not route.is_readable:
            # Before authentication: the route may be public, and 401 would be final for callers.
            kind = ErrorKind.UNREADABLE_ROUTE
            failure = Failure(kind, route.name, UNREADABLE_ROUTE_RETRY_SECONDS)
            self._log_denied(request_id, route.name, failure)
            return Err(failure)
        if not request_id:
            # No answer of a target could name it, and the target refuses it for that.
            failure = Failure(ErrorKind.MALFORMED_REQUEST, 'it has no id')
            self._log_denied(request_id, route.name, failure)
            return Err(failure)
        if self.now() >= self.refuses_from and self.running.find_parent(request_id) is None:
            failure = Failure(ErrorKind.DRAINING, 'the node stops', STOPPING_RETRY_SECONDS)
            self._log_denied(request_id, route.name, failure)
            return Err(failure)
        return Ok(route)

    async def _dispatch(
        self,
        call: PendingCall,
        route: Route,
        parent: RunningCall | None,
        holder: CallerOrganisation,
        time_left: float | None,
    ) -> Reply:
        """Dispatch a request or a call of the local target, and return the reply."""
        if parent is not None:
            if call.ctx.is_resend and not self._spend_inherited(call.ctx.service):
                return self.dispatcher.refuse_failing_rule(call, NO_REPEATS_CAUSE)
            return await self.dispatcher.dispatch(call, parent.call.ctx.rule)
        rule = call.ctx.rule
        early_refusal = self.dispatcher.find_early_refusal(call)
        if early_refusal is not None:
            return early_refusal
        match await self.quotas.acquire(holder, _quota_demand(call.ctx, route, self.now())):
            case Err(failure):
                self._log_denied(call.ctx.request_id, rule, failure, call.ctx.organisation)
                return refusal(failure)
            case Ok(lease):
                # Last, as it counts the request as one that begins.
                unlikely = self._refuse_unlikely(call, time_left)
                if unlikely is not None:
                    self.quotas.refund(lease)
                    return unlikely
                reply = await self.dispatcher.send(call)
        self._record_refused_calls(call, reply)
        if reply.outcome is Outcome.NOT_RUN:
            self.quotas.refund(lease)
        else:
            self.failure_throttle.record_end(self.now(), rule, failed=bool(reply.cause))
        return reply

    def _spend_inherited(self, service: str) -> bool:
        is_spent = self.budget.spend_inherited(self.now(), service)
        self.on_repeat(service)
        return is_spent

    def _refuse_unlikely(self, call: PendingCall, time_left: float | None) -> Reply | None:
        """Return the refusal of a request that would most likely fail, or None.

        ``time_left`` is how many seconds the caller still waits, None if it does not say.
        """
        now, ctx = self.now(), call.ctx
        rank = ctx.priority.rank
        key = _carried_key(ctx)
        verdict = self.carried_requests.decide(
            now, key, rank, ctx.service, math.inf if time_left is None else time_left
        )
        rate = self.carried_requests.admitted_rate(now, key)
        if rate is not None:
            self.decisions.log_carried(ctx, rate)
        if verdict is Verdict.SHED:
            return self.dispatcher.refuse_failing_rule(call, NO_REPEATS_CAUSE)
        # Critical requests are admitted even if most of them fail: one success in five is worth
        # the work that the others waste. Less important requests that return mostly fail as well
        # unless repeats are reserved for them.
        can_be_throttled = verdict is not Verdict.CARRIED and rank is not Rank.CRITICAL
        if can_be_throttled and not self.failure_throttle.admits(now, ctx.rule):
            return self.dispatcher.refuse_failing_rule(call)
        return None

    def _record_refused_calls(self, call: PendingCall, reply: Reply) -> None:
        ctx = call.ctx
        refused = reply.refused_calls or self.refused_calls.report_call(ctx.service)
        if refused is None:
            return
        refusals = Refusals(refused.service, refused.share, refused.budget_left)
        key = _carried_key(ctx)
        self.carried_requests.record_share(self.now(), key, refusals)
        is_completed = not reply.kind and reply.status < MIN_SERVER_ERROR_STATUS
        self.carried_requests.record_calls(
            key, refused.service, refused.calls, completed=is_completed
        )

    def _refuse(self, caller_headers: CallerHeaders, failure: Failure) -> HttpResponse:
        """Refuse a request of which the rank is not known yet."""
        self.dispatcher.stats.record_refusal(failure.kind.value)
        return build_caller_response(refusal(failure), caller_headers.request_id)

    def _log_denied(
        self, request_id: str, rule: str, failure: Failure, organisation: str = ''
    ) -> None:
        version, age = self.follower.version, self.authenticator.configuration_lease.age
        self.decisions.log_denied(request_id, rule, failure, version, age, organisation)

    def _record_cost(self, call: PendingCall, load: Load, parent: RunningCall | None) -> None:
        if parent is not None:
            parent.downstream_cost += load.cost
            return
        ctx = call.ctx
        self.request_costs.record(self.now(), ctx.rule, ctx.priority.rank, load.cost)

    def _build_call(
        self,
        req: HttpRequest,
        caller_headers: CallerHeaders,
        route: Route,
        parent: RunningCall | None,
        holder: CallerOrganisation,
        *,
        requires_key: bool,
    ) -> PendingCall:
        now = self.now()
        time_left = (
            DEFAULT_TIMEOUT_SECONDS
            if caller_headers.remaining_seconds is None
            else caller_headers.remaining_seconds - req.read_seconds
        )
        timeout = math.inf if route.timeout is None else route.timeout
        service = choose_service(route.weighted_services, self.rng)
        request_id = caller_headers.request_id
        if parent is None:
            priority = priority_of(effective_rank(route, holder), request_id)
            priority = self.request_costs.adjust_priority(now, route.name, priority)
        else:
            # A call has the priority of its parent request, as the ingress compares parent requests
            # with the level that the called service admits. If calls had a rank of their own and a
            # service admitted only calls below rank 1, the ingress would refuse all parent
            # requests of rank 2.
            priority = parent.call.ctx.priority
        ctx = CallContext(
            request_id=request_id,
            caller=req.remote,
            service=service,
            rule=route.name,
            priority=priority,
            deadline=now + min(time_left, timeout),
            allowance=0,
            hop=0,
            idempotent=route.idempotent,
            key='',
            fingerprint=request_fingerprint(req, service),
            useful_until=math.inf
            if route.latency_objective is None
            else now + route.latency_objective,
            organisation=holder.name if holder else '',
        )
        if parent is not None:
            ctx = _inherit(ctx, parent.call.ctx)
        headers = build_forwarded_headers(req, self.service, keys_required=requires_key)
        allowance = AttemptAllowance(route.max_attempts - 1)
        allowance.parent = parent
        return PendingCall(ctx, req.method, req.path, headers, req.body, allowance, WaitTime(), [])


def _carried_key(ctx: CallContext) -> str:
    """Return the key of a rule at one of the services that its route splits requests over."""
    return f'{ctx.rule}@{ctx.service}'


def _quota_demand(ctx: CallContext, route: Route, now: float) -> QuotaDemand:
    """Return what the lender of a quota has to know of a request.

    The rank is that of the route: the priority of an organisation is the same for all its requests
    and does not tell which of them are more important. Callers honour a Retry-After up to a share
    of the time that they have left.
    """
    useful_seconds = min(
        (ctx.useful_until - now) * RETRY_AFTER_SHARE, (ctx.deadline - now) * MAX_WAIT_SHARE
    )
    rank = route_rank(route)
    return QuotaDemand(rank, ctx.rule, ctx.fingerprint, max(useful_seconds, 0.0))


def _record_failed_call(parent: RunningCall, call: PendingCall, reply: Reply) -> None:
    parent.downstream_retry_after = max(
        parent.downstream_retry_after, reply.retry_after, MIN_RETRY_AFTER_SECONDS
    )
    parent.downstream_failure = reply.cause or f'{call.ctx.service} {reply.kind or reply.status}'


def _inherit(ctx: CallContext, parent: CallContext) -> CallContext:
    """Apply the deadline, hop count and organisation of the parent request to a target's call."""
    return ctx._replace(
        deadline=min(ctx.deadline, parent.deadline),
        hop=min(parent.hop + 1, MAX_HOPS),
        is_resend=parent.is_resend,
        organisation=parent.organisation,
    )
