"""The face for callers and for the target's own calls: routes a request and answers it."""

import asyncio
import math
from collections.abc import Callable
from random import Random

import uuid6
from result import Err, Ok

from dunlinsaddle.access.gate import Gate, Holder, rank_of
from dunlinsaddle.access.quotas import Quotas
from dunlinsaddle.calls.call_state import PendingCall, RunningCall, RunningCalls, WaitTime
from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.dispatch import Dispatcher
from dunlinsaddle.calls.handlers import request_fingerprint
from dunlinsaddle.calls.http import MIN_SERVER_ERROR_STATUS, HttpRequest, HttpResponse
from dunlinsaddle.calls.messages import Reply, refusal
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.mesh.retries import AttemptAllowance
from dunlinsaddle.platform.requests import (
    CallerTerms,
    caller_response,
    read_terms,
    travelling_headers,
)
from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.context import MAX_HOPS, CallContext, priority_of
from dunlinsaddle.policy.failure_throttle import FailureThrottle
from dunlinsaddle.policy.request_costs import RequestCosts
from dunlinsaddle.policy.retry_budget import RetryBudget
from dunlinsaddle.records.models import Rank
from dunlinsaddle.routes.follow import ConfigFollower
from dunlinsaddle.routes.models import Route
from dunlinsaddle.routes.table import choose_service

DEFAULT_TIMEOUT_SECONDS = 10.0  #: seconds for a caller that names no time of its own
#: Seconds after which a request comes again that failed for a call without a time of its own: an
#: objective of the calls' services, within which their queues are served.
MIN_RETRY_AFTER_SECONDS = 0.3
NO_CONFIGURATION_RETRY_SECONDS = 0.5  #: seconds; a fresh node mostly has one within a second


class IngressHandler(OnLoop):
    """Any node is an entry: it finds the route, sets the terms, and sends the request on."""

    def __init__(
        self,
        follower: ConfigFollower,
        gate: Gate,
        dispatcher: Dispatcher,
        budget: RetryBudget,
        service: str,
        running: RunningCalls,
        rng: Random,
        decisions: DecisionLog,
        on_end: Callable[[PendingCall, Reply, float], None],
        quotas: Quotas,
    ) -> None:
        self.quotas = quotas
        self.decisions = decisions
        self.follower = follower
        self.gate = gate
        self.dispatcher = dispatcher
        self.budget = budget
        self.service = service
        self.running = running
        self.rng = rng
        self.on_end = on_end
        self.costs = RequestCosts()
        self.outcomes = FailureThrottle()

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one request."""
        terms = read_terms(req)
        settled = await self.gate.settle(terms)
        table = self.follower.table
        if table is None:
            return _refused(terms, ErrorKind.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_SECONDS)
        route = table.find(req.header(b'host'), req.path)
        version = table.configuration.version
        if route is None:
            host = req.header(b'host')
            self.decisions.log_unrouted(terms.request_id, host, req.path, version)
            return _refused(terms, ErrorKind.NO_ROUTE)
        loop = self.loop
        began = loop.time()
        parent = self.running.find_parent(terms.request_id)
        match self.gate.holder_of(terms, table, route, parent, settled=settled):
            case Err(failure):
                self._note_denied(terms.request_id, route.name, failure)
                return _answer_refused(terms, failure)
            case Ok(holder):
                keyed = table.wants_keys
                work = self._work(req, terms, route, parent, holder, keyed=keyed)
        if work.ctx.is_resend:
            self.budget.record_repeat(began, work.ctx.service)
        else:
            self.budget.record_request(began, work.ctx.service)
        self.decisions.log_routed(work, version)
        try:
            reply = await self._answer(work, parent, holder)
        except asyncio.CancelledError:
            self.decisions.log_cancelled(work.ctx, loop.time() - began)
            raise
        if reply.load is not None and not reply.kind and reply.status < MIN_SERVER_ERROR_STATUS:
            self._learn_cost(work, reply.load, parent)
        if parent is not None and (reply.kind or reply.status >= MIN_SERVER_ERROR_STATUS):
            _note_failed(parent, work, reply)
        took = loop.time() - began
        self.decisions.log_completed(work, reply, took, version)
        self.on_end(work, reply, took)
        return caller_response(reply, terms.request_id)

    async def _answer(self, work: PendingCall, parent: RunningCall | None, holder: Holder) -> Reply:
        """Give the answer to a request, or to a call of the local target."""
        if parent is not None:
            return await self.dispatcher.dispatch(work, parent.call.ctx.rule)
        rule = work.ctx.rule
        # The most valued go last: one in five that is whole is worth the work of the others.
        held_back = work.ctx.priority.rank is not Rank.CRITICAL
        if held_back and not self.outcomes.admits(self.now(), rule):
            return self.dispatcher.refuse_failing_rule(work)
        early = self.dispatcher.find_early_refusal(work)
        if early is not None:
            return early
        match await self.quotas.take(holder):
            case Err(failure):
                self._note_denied(work.ctx.request_id, rule, failure, work.ctx.organisation)
                return refusal(failure)
            case Ok(loan):
                reply = await self.dispatcher.send(work)
        if reply.outcome is Outcome.NOT_RUN:
            self.quotas.give_back(loan)
        else:
            self.outcomes.record_end(self.now(), rule, failed=bool(reply.cause))
        return reply

    def _note_denied(
        self, request_id: str, rule: str, failure: Failure, organisation: str = ''
    ) -> None:
        version, age = self.follower.version, self.gate.freshness.age
        self.decisions.log_denied(request_id, rule, failure, version, age, organisation)

    def _learn_cost(self, work: PendingCall, load: Load, parent: RunningCall | None) -> None:
        if parent is not None:
            parent.downstream_cost += load.cost
            return
        ctx = work.ctx
        self.costs.record(self.now(), ctx.rule, ctx.priority.rank, load.cost)

    def _work(
        self,
        req: HttpRequest,
        terms: CallerTerms,
        route: Route,
        parent: RunningCall | None,
        holder: Holder,
        *,
        keyed: bool,
    ) -> PendingCall:
        now = self.now()
        time_left = DEFAULT_TIMEOUT_SECONDS if terms.time_left is None else terms.time_left
        timeout = math.inf if route.timeout is None else route.timeout
        service = choose_service(route.shares, self.rng)
        request_id = terms.request_id or str(uuid6.uuid7())
        if parent is None:
            priority = priority_of(rank_of(route, holder), request_id)
            priority = self.costs.adjust_priority(now, route.name, priority)
        else:
            # Failure: calls of a rank of their own are admitted by another level than the one
            # that entries compare requests with, so that a service tells "full from rank 1 on"
            # and all lookups of rank 2 are refused.
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
            useful_until=math.inf if route.objective is None else now + route.objective,
            organisation=holder.name if holder else '',
        )
        if parent is not None:
            ctx = _on_behalf(ctx, parent.call.ctx)
        headers = travelling_headers(req, self.service, keyed=keyed)
        tokens = AttemptAllowance(route.attempts - 1)
        return PendingCall(ctx, req.method, req.path, headers, req.body, tokens, WaitTime(), [])


def _note_failed(parent: RunningCall, work: PendingCall, reply: Reply) -> None:
    parent.downstream_retry_after = max(
        parent.downstream_retry_after, reply.retry_after, MIN_RETRY_AFTER_SECONDS
    )
    parent.downstream_failure = reply.cause or f'{work.ctx.service} {reply.kind or reply.status}'


def _on_behalf(ctx: CallContext, root: CallContext) -> CallContext:
    """Give a call of the local target the other terms of the request that it is made for."""
    return ctx._replace(
        deadline=min(ctx.deadline, root.deadline),
        hop=min(root.hop + 1, MAX_HOPS),
        is_resend=root.is_resend,
        organisation=root.organisation,
    )


def _refused(terms: CallerTerms, kind: ErrorKind, retry_after: float = 0.0) -> HttpResponse:
    return _answer_refused(terms, Failure(kind, '', retry_after))


def _answer_refused(terms: CallerTerms, failure: Failure) -> HttpResponse:
    return caller_response(refusal(failure), terms.request_id)
