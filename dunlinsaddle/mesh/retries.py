"""Decides which requests are sent to another target, within a shared retry budget."""

from collections.abc import Callable

from dunlinsaddle.calls.call_state import PendingCall, RunningCall
from dunlinsaddle.calls.messages import Reply
from dunlinsaddle.errors import ErrorKind, Outcome
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.policy.refused_share import RefusedShares
from dunlinsaddle.policy.retry import LOST_ANSWER_KINDS, REFUSED_BY_NODE, RetryAllowance
from dunlinsaddle.policy.retry_budget import RetryBudget

SERVER_ERROR_STATUS = 500  #: sent by a target that failed while it ran the request
MAX_NODE_REFUSALS = 3  #: refusals by nodes after which a request is refused to its caller
#: Limit of the sends of one request that targets refuse to run. If targets refuse 55 % of all
#: calls, six sends serve 97 % of the calls, but only 80 % of the requests that make eight calls.
#: Twelve sends serve nearly all of them.
MAX_SENDS_AFTER_REFUSAL = 12
#: Limit of the sends of one request whose responses are lost. If 40 % are lost, four sends serve
#: 97 % of the requests and two serve 84 %. There is no time for more, as a lost response takes as
#: long as a successful one.
MAX_SENDS_AFTER_LOSS = 4


class AttemptAllowance(RetryAllowance):
    """Counts the targets that a request may still be sent to, at this hop only."""

    node_refusals = 0
    sends = 1
    parent: RunningCall | None = None  #: the running call of the local target that it is made for

    def delegate(self) -> int:
        """Return 0: no attempts are passed on to the next hop."""
        return 0


class BudgetedRetries(LoopBound):
    """Retries calls that certainly did not run, and idempotent calls that were lost.

    A call that a node refused before it reached a target is retried without cost. All other
    retries use the budget of the service, which all nodes share.
    """

    def __init__(self, budget: RetryBudget, refused_shares: RefusedShares) -> None:
        self.budget = budget
        self.refused_shares = refused_shares
        #: Called with the service of a repeat that was sent or refused.
        self.on_repeat: Callable[[str], None] = lambda service: None

    def allows(self, call: PendingCall, reply: Reply) -> bool:
        """Return whether a call that ended with this reply may be sent to another target."""
        if not reply.kind:
            return _is_isolated_failure(reply) and call.ctx.idempotent and not call.ctx.hop
        kind = ErrorKind(reply.kind)
        if reply.outcome is Outcome.NOT_RUN:
            return kind in REFUSED_BY_NODE or kind is ErrorKind.TARGET_REFUSED
        return call.ctx.idempotent and kind in LOST_ANSWER_KINDS

    def spend(self, call: PendingCall, reply: Reply) -> bool:
        """Charge a retry to the limits and the budget; return False if it exceeds one of them."""
        allowance = call.allowance
        assert isinstance(allowance, AttemptAllowance)
        if _was_not_delivered(reply):
            allowance.node_refusals += 1
            return allowance.node_refusals < MAX_NODE_REFUSALS
        allowance.sends += 1
        refused_by_target = reply.kind == ErrorKind.TARGET_REFUSED.value
        if allowance.sends > (
            MAX_SENDS_AFTER_REFUSAL if refused_by_target else MAX_SENDS_AFTER_LOSS
        ):
            return False
        now, service = self.now(), call.ctx.service
        refusing_seconds = self.refused_shares.refusing_seconds(now, service)
        if refusing_seconds and allowance.parent and allowance.parent.downstream_failure:
            # The request has lost another call and most likely fails. Its repeats are of more use
            # to requests that can still be completed.
            return False
        level = call.ctx.priority.level
        is_spent = self.budget.spend(now, service, level, refusing_seconds)
        self.on_repeat(service)
        if not is_spent:
            return False
        if not _is_wrong_target(reply):
            allowance.spend()
        return True

    def is_limited_to_tried_targets(self, call: PendingCall) -> bool:
        """Return whether a call may only be sent again to targets that already received it.

        A route limits the number of targets per request. If all targets of a service refuse half
        of the calls and a route allows two targets, a quarter of the calls would fail, and nearly
        all requests that need eight calls. Another send to the same target is as likely to
        succeed as one to a further target.
        """
        return call.allowance.tokens == 0

    def prepare_resend(self, call: PendingCall, reply: Reply) -> PendingCall:
        """Mark a call that reached a target before, as the calls of its next run are repeats too.

        This includes a call that the target refused to run. Otherwise the run after a refusal
        would even earn repeats for the services that it calls.
        """
        if _was_not_delivered(reply):
            return call
        return call._replace(ctx=call.ctx._replace(is_resend=True))


def _was_not_delivered(reply: Reply) -> bool:
    """Return whether a node refused a call, so that no target got it.

    A target that has started anew at its address refuses calls that expect the one before. Such a
    call has reached a target of the service, and another send is a repeat.
    """
    if reply.outcome is not Outcome.NOT_RUN or reply.reached_target:
        return False
    return ErrorKind(reply.kind) in REFUSED_BY_NODE


def _is_wrong_target(reply: Reply) -> bool:
    return reply.reached_target and reply.kind == ErrorKind.NO_TARGET.value


def _is_isolated_failure(reply: Reply) -> bool:
    """Return whether a target failed on its own, so that another target is likely to succeed.

    A reply with a retry delay failed because of a call of the target. An immediate retry would
    meet the same overload further down the chain, and repeat all calls on the way there.
    """
    return reply.status == SERVER_ERROR_STATUS and reply.retry_after <= 0
