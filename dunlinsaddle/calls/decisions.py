"""The log of decisions on requests: fixed fields, and a bounded number of lines a second.

Every decision that touches a request can be a line. What an on-call engineer looks for are
failures, so these have room for all that a node can reasonably produce, and routine lines only
for samples. The line of a failed request holds its whole story, whatever lines before it were
left out.
"""
import logging
from collections import Counter
from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.calls.http import MIN_SERVER_ERROR_STATUS
from dunlinsaddle.calls.messages import Reply
from dunlinsaddle.calls.target import AdvertisedState
from dunlinsaddle.errors import Failure, Outcome
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.context import CallContext
from enum import StrEnum


class Event(StrEnum):
    """What was decided; the message of the line."""

    ROUTED = 'request routed'
    SENT = 'request sent'
    RESENT = 'request sent again'
    QUEUED = 'request queued'
    REFUSED = 'request refused'
    ANSWERED = 'request answered'
    FAILED = 'request failed'
    CANCELLED = 'request cancelled'
    UNROUTED = 'request without route'
    DENIED = 'request denied'
    TARGET_STATE = 'target said'
    OMITTED = 'decisions left out'


#: Lines a second for each event. At 23 us a line (a failed request's, written to a file that is
#: always ready), all 210 together take half a percent of a core; refusals come in floods of
#: hundreds, of which a sample of fifty tells the cause.
MAX_LINES_PER_SECOND = {
    Event.ROUTED: 4,
    Event.SENT: 4,
    Event.RESENT: 20,
    Event.QUEUED: 4,
    Event.REFUSED: 50,
    Event.ANSWERED: 4,
    Event.FAILED: 100,
    Event.CANCELLED: 10,
    Event.UNROUTED: 10,
    Event.DENIED: 20,
    Event.TARGET_STATE: 4,
}


class DecisionLog(OnLoop):
    """Writes decisions while their budget of the present second lasts, and counts the rest."""

    def __init__(self, logger: logging.Logger) -> None:
        self.logger = logger
        self._second = -1
        self._written: Counter[Event] = Counter()
        self._omitted: Counter[Event] = Counter()

    def log_routed(self, work: PendingCall, version: int) -> None:
        """Note the route and terms of a request, and the configuration they come from."""
        if self._has_room(Event.ROUTED):
            ctx = work.ctx
            self._write(
                Event.ROUTED,
                ctx,
                version=version,
                seconds_left=_rounded(ctx.deadline - self.now()),
                priority=int(ctx.priority.rank),
                inner=bool(ctx.hop),
            )

    def log_unrouted(self, request_id: str, host: str, path: str, version: int) -> None:
        """Note a request that no route matches."""
        if self._has_room(Event.UNROUTED):
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
        """Note a request that may not begin: for its key, or for its organisation's quota.

        ``age`` is that of the latest proof that no newer configuration is there, in seconds.
        """
        if not self._has_room(Event.DENIED):
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

    def log_sent(self, ctx: CallContext, instance: str, load: Load, candidates: int) -> None:
        """Note the instance that was chosen, by what its latest answer said of its load."""
        if self._has_room(Event.SENT):
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
        """Note that a request goes to a further target, and why."""
        if self._has_room(Event.RESENT):
            self._write(
                Event.RESENT,
                ctx,
                kind=last.kind,
                status=last.status,
                outcome=last.outcome.value,
                tries=tries,
            )

    def log_queued(self, ctx: CallContext, load: Load) -> None:
        """Note that a request waits for a slot of the target beside this node."""
        if self._has_room(Event.QUEUED):
            self._write(
                Event.QUEUED,
                ctx,
                inflight=load.inflight,
                waiting=load.waiting,
                limit=load.limit,
            )

    def log_refused(self, ctx: CallContext, failure: Failure, load: Load) -> None:
        """Note a refusal by the node beside a target, by the load that decided it."""
        if self._has_room(Event.REFUSED):
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

    def log_completed(self, work: PendingCall, reply: Reply, seconds: float, version: int) -> None:
        """Note the answer that the caller gets, with all sends that led to it."""
        failed = reply.outcome is not Outcome.DONE or reply.status >= MIN_SERVER_ERROR_STATUS
        event = Event.FAILED if failed else Event.ANSWERED
        if self._has_room(event):
            self._write(
                event,
                work.ctx,
                status=reply.status,
                kind=reply.kind,
                cause=reply.cause,
                outcome=reply.outcome.value,
                seconds=_rounded(seconds),
                retry_after=_rounded(reply.retry_after),
                version=version,
                inner=bool(work.ctx.hop),
                attempts=[attempt._asdict() for attempt in work.attempts or ()],
            )

    def log_cancelled(self, ctx: CallContext, seconds: float) -> None:
        """Note that the caller went away while its request was in progress."""
        if self._has_room(Event.CANCELLED):
            self._write(Event.CANCELLED, ctx, seconds=_rounded(seconds), inner=bool(ctx.hop))

    def log_target_state(
        self,
        request_id: str,
        target_id: str,
        said: AdvertisedState,
        before: AdvertisedState,
        source: str,
    ) -> None:
        """Note that a target says something else of itself than before.

        ``source`` is the answer to the request, or the entry that sent it and had been told.
        """
        if not self._has_room(Event.TARGET_STATE):
            return
        extra = {
            'request_id': request_id,
            'target': target_id,
            'rate': said.rate,
            'rate_before': before.rate,
            'leaving': said.leaving,
            'unreadable': said.unreadable,
            'source': source,
        }
        self.logger.info(Event.TARGET_STATE.value, extra=extra)

    def _has_room(self, event: Event) -> bool:
        second = int(self.now())
        if second != self._second:
            self._second = second
            self._tell_omitted()
            self._written.clear()
        if self._written[event] >= MAX_LINES_PER_SECOND[event]:
            self._omitted[event] += 1
            return False
        self._written[event] += 1
        return True

    def _tell_omitted(self) -> None:
        if not self._omitted:
            return
        counts = {event.value: count for event, count in self._omitted.items()}
        self._omitted.clear()
        self.logger.info(Event.OMITTED.value, extra={'counts': counts})

    def _write(self, event: Event, ctx: CallContext, **inputs: object) -> None:
        head = {'request_id': ctx.request_id, 'service': ctx.service, 'rule': ctx.rule}
        if ctx.organisation:
            head['organisation'] = ctx.organisation
        level = logging.WARNING if event in (Event.REFUSED, Event.FAILED) else logging.INFO
        self.logger.log(level, event.value, extra={**head, **inputs})


def _rounded(seconds: float) -> float:
    return round(seconds, 4)
