"""Structured log of decisions on requests, with a limited number of lines per second.

Every decision on a request can be logged. On-call engineers look for failures, so their limit
allows for all that a node can reasonably produce, while routine decisions are only sampled. The
line of a failed request lists all its attempts, even if earlier lines about it were omitted.
"""

import logging
from collections import Counter
from enum import StrEnum

from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.calls.http import MIN_SERVER_ERROR_STATUS
from dunlinsaddle.calls.messages import Reply
from dunlinsaddle.calls.outbound.connection import SkippedResponse
from dunlinsaddle.calls.target import AdvertisedState
from dunlinsaddle.errors import Failure, Outcome
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.carried_requests import AdmittedRate
from dunlinsaddle.policy.context import CallContext
from dunlinsaddle.policy.retry_budget import BudgetReport


class Event(StrEnum):
    """A decision; its value is the message of the log line."""

    ROUTED = 'request routed'
    SENT = 'request sent'
    RESENT = 'request sent again'
    QUEUED = 'request queued'
    REFUSED = 'request refused'
    REFUSED_BY_TARGET = 'request refused by target'
    LOST_AT_TARGET = 'request lost at target'
    ANSWERED_BY_TARGET = 'request answered by target'
    SKIPPED = 'answer skipped'
    NOT_TAKEN = 'answer not taken'
    ANSWERED = 'request answered'
    FAILED = 'request failed'
    CANCELLED = 'request cancelled'
    UNROUTED = 'request without route'
    DENIED = 'request denied'
    UNREAD = 'request not read'
    TARGET_STATE = 'target said'
    CARRIED = 'requests carried'
    BUDGET = 'retry budget'
    OMITTED = 'decisions left out'


#: For each event. A line takes 23 us (of a failed request, written to a file that never blocks),
#: so all 466 lines take 1.1 % of a core. Refusals come in bursts of hundreds; a sample
#: of 50 is enough to show the cause.
MAX_LINES_PER_SECOND = {
    Event.ROUTED: 4,
    Event.SENT: 4,
    Event.RESENT: 20,
    Event.QUEUED: 4,
    Event.REFUSED: 50,
    Event.REFUSED_BY_TARGET: 50,
    Event.LOST_AT_TARGET: 50,
    Event.ANSWERED_BY_TARGET: 50,
    Event.SKIPPED: 10,
    Event.NOT_TAKEN: 10,
    Event.ANSWERED: 4,
    Event.FAILED: 100,
    Event.CANCELLED: 10,
    Event.UNROUTED: 10,
    Event.DENIED: 20,
    Event.UNREAD: 10,
    Event.TARGET_STATE: 4,
    Event.CARRIED: 10,
    Event.BUDGET: 10,
}
#: Of answers to requests that were sent more than once, which are few.
MAX_RESENT_ANSWERS_PER_SECOND = 50


class DecisionLog(LoopBound):
    """Logs decisions up to the limit of each event per second, and counts the omitted lines."""

    def __init__(self, logger: logging.Logger) -> None:
        self.logger = logger
        self._second = -1
        self._written: Counter[Event] = Counter()
        self._omitted: Counter[Event] = Counter()

    def log_routed(self, call: PendingCall, version: int) -> None:
        """Log the route, deadline and priority of a request, and the configuration version."""
        if self._try_acquire(Event.ROUTED):
            ctx = call.ctx
            self._write(
                Event.ROUTED,
                ctx,
                version=version,
                seconds_left=_rounded(ctx.deadline - self.now()),
                priority=int(ctx.priority.rank),
                inner=bool(ctx.hop),
            )

    def log_unrouted(self, request_id: str, host: str, path: str, version: int) -> None:
        """Log a request that no route matches."""
        if self._try_acquire(Event.UNROUTED):
            extra = {'request_id': request_id, 'host': host, 'path': path, 'version': version}
            self.logger.info(Event.UNROUTED.value, extra=extra)

    def log_denied(
        self,
        request_id: str,
        rule: str,
        failure: Failure,
        version: int,
        age: float,
        organisation: str = '',
    ) -> None:
        """Log a request that is denied because of its API key or its organisation's quota.

        ``age`` is how many seconds ago the configuration was last confirmed to be current.
        """
        if not self._try_acquire(Event.DENIED):
            return
        extra = {
            'request_id': request_id,
            'rule': rule,
            'organisation': organisation,
            'kind': failure.kind.value,
            'detail': failure.detail,
            'retry_after': _rounded(failure.retry_after),
            'version': version,
            'age': _rounded(age),
        }
        self.logger.warning(Event.DENIED.value, extra=extra)

    def log_unread(self, request_id: str, failure: Failure) -> None:
        """Log a request that is refused before its body was read or kept."""
        if self._try_acquire(Event.UNREAD):
            kind, detail = failure.kind.value, failure.detail
            extra = {'request_id': request_id, 'kind': kind, 'detail': detail}
            self.logger.warning(Event.UNREAD.value, extra=extra)

    def log_sent(self, ctx: CallContext, instance: str, load: Load, candidates: int) -> None:
        """Log the chosen instance and the load that its latest reply reported."""
        if self._try_acquire(Event.SENT):
            self._write(
                Event.SENT,
                ctx,
                to=instance,
                inflight=load.inflight,
                waiting=load.waiting,
                limit=load.limit,
                candidates=candidates,
            )

    def log_resent(self, ctx: CallContext, last: Reply, tries: int) -> None:
        """Log that a request is sent to another target, and the reply that caused it."""
        if self._try_acquire(Event.RESENT):
            self._write(
                Event.RESENT,
                ctx,
                kind=last.kind,
                status=last.status,
                outcome=last.outcome.value,
                tries=tries,
            )

    def log_queued(self, ctx: CallContext, load: Load) -> None:
        """Log that a request waits for a slot of the target beside this node."""
        if self._try_acquire(Event.QUEUED):
            self._write(
                Event.QUEUED,
                ctx,
                inflight=load.inflight,
                waiting=load.waiting,
                limit=load.limit,
            )

    def log_refused(self, ctx: CallContext, failure: Failure, load: Load) -> None:
        """Log a refusal by the node beside a target, and the load that caused it."""
        if self._try_acquire(Event.REFUSED):
            self._write(
                Event.REFUSED,
                ctx,
                kind=failure.kind.value,
                detail=failure.detail,
                retry_after=_rounded(failure.retry_after),
                inflight=load.inflight,
                waiting=load.waiting,
                limit=load.limit,
                seconds_left=_rounded(ctx.deadline - self.now()),
            )

    def log_send_ended(self, ctx: CallContext, reply: Reply, status: int, seconds: float) -> None:
        """Log how a send to the local target ended: its connection, and what it was taken for.

        ``status`` is that of the target's answer, 0 without an answer. The only send of a request
        that the target answers is left out: the line of the request's ingress tells of it.
        """
        event = _send_event(reply)
        if event is Event.ANSWERED_BY_TARGET and not ctx.is_resend:
            return
        if self._try_acquire(event):
            self._write(
                event,
                ctx,
                status=status,
                kind=reply.kind,
                outcome=reply.outcome.value,
                seconds=_rounded(seconds),
                connection=reply.connection,
                earlier_responses=reply.earlier_answers,
            )

    def log_skipped(self, request_id: str, skipped: SkippedResponse) -> None:
        """Log a response to another request; ``request_id`` is its own, empty if it names none."""
        if self._try_acquire(Event.SKIPPED):
            extra = {
                'request_id': request_id,
                'status': skipped.status,
                'connection': skipped.connection,
                'in_progress': skipped.in_progress,
            }
            self.logger.warning(Event.SKIPPED.value, extra=extra)

    def log_not_taken(self, remote: str, why: str, size: int) -> None:
        """Log an answer whose caller did not read it, and why its connection was ended."""
        if self._try_acquire(Event.NOT_TAKEN):
            extra = {'remote': remote, 'why': why, 'bytes': size}
            self.logger.warning(Event.NOT_TAKEN.value, extra=extra)

    def log_completed(self, call: PendingCall, reply: Reply, seconds: float, version: int) -> None:
        """Log the answer that the caller gets, with all attempts that led to it."""
        failed = reply.outcome is not Outcome.DONE or reply.status >= MIN_SERVER_ERROR_STATUS
        event = Event.FAILED if failed else Event.ANSWERED
        was_resent = len(call.attempts or ()) > 1
        if self._try_acquire(event, MAX_RESENT_ANSWERS_PER_SECOND if was_resent else 0):
            self._write(
                event,
                call.ctx,
                status=reply.status,
                kind=reply.kind,
                cause=reply.cause,
                outcome=reply.outcome.value,
                seconds=_rounded(seconds),
                retry_after=_rounded(reply.retry_after),
                version=version,
                inner=bool(call.ctx.hop),
                attempts=[attempt._asdict() for attempt in call.attempts or ()],
            )

    def log_cancelled(self, ctx: CallContext, seconds: float) -> None:
        """Log that the caller disconnected while its request was in progress."""
        if self._try_acquire(Event.CANCELLED):
            self._write(Event.CANCELLED, ctx, seconds=_rounded(seconds), inner=bool(ctx.hop))

    def log_carried(self, ctx: CallContext, rate: AdmittedRate) -> None:
        """Log how many requests of a rule begin while a service refuses its calls."""
        if self._try_acquire(Event.CARRIED):
            self._write(
                Event.CARRIED,
                ctx,
                refusing=rate.service,
                refused_share=_rounded(rate.refused_share),
                admitted_per_second=_rounded(rate.admitted_per_second),
            )

    def log_budget(self, report: BudgetReport) -> None:
        """Log what this node counted of a service's requests and repeats, and what it may send."""
        if self._try_acquire(Event.BUDGET):
            rounded = {'allowed': _rounded(report.allowed), 'left': _rounded(report.left)}
            self.logger.info(Event.BUDGET.value, extra=report._asdict() | rounded)

    def log_target_state(
        self,
        request_id: str,
        target_id: str,
        state: AdvertisedState,
        previous: AdvertisedState,
        source: str,
    ) -> None:
        """Log that the state advertised by a target has changed.

        ``source`` is "answer" if the response to the request advertised it, or "entry" if the
        node that sent the request returned the state that it had been sent earlier.
        """
        if not self._try_acquire(Event.TARGET_STATE):
            return
        extra = {
            'request_id': request_id,
            'target': target_id,
            'rate': state.rate,
            'rate_before': previous.rate,
            'leaving': state.leaving,
            'unreadable': state.unreadable,
            'source': source,
        }
        self.logger.info(Event.TARGET_STATE.value, extra=extra)

    def _try_acquire(self, event: Event, min_limit: int = 0) -> bool:
        second = int(self.now())
        if second != self._second:
            self._second = second
            self._log_omitted()
            self._written.clear()
        if self._written[event] >= max(MAX_LINES_PER_SECOND[event], min_limit):
            self._omitted[event] += 1
            return False
        self._written[event] += 1
        return True

    def _log_omitted(self) -> None:
        if not self._omitted:
            return
        counts = {event.value: count for event, count in self._omitted.items()}
        self._omitted.clear()
        self.logger.info(Event.OMITTED.value, extra={'counts': counts})

    def _write(self, event: Event, ctx: CallContext, **fields: object) -> None:
        common = {'request_id': ctx.request_id, 'service': ctx.service, 'rule': ctx.rule}
        if ctx.organisation:
            common['organisation'] = ctx.organisation
        level = logging.WARNING if event in (Event.REFUSED, Event.FAILED) else logging.INFO
        self.logger.log(level, event.value, extra={**common, **fields})


def _send_event(reply: Reply) -> Event:
    match reply.outcome:
        case Outcome.DONE:
            return Event.ANSWERED_BY_TARGET
        case Outcome.NOT_RUN:
            return Event.REFUSED_BY_TARGET
    return Event.LOST_AT_TARGET


def _rounded(seconds: float) -> float:
    return round(seconds, 4)
