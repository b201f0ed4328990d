"""Which requests go to a further target, and the budget that pays for it."""

from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.calls.messages import Reply
from dunlinsaddle.errors import ErrorKind, Outcome
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.policy.retry import LOST_ANSWER_KINDS, REFUSED_BY_NODE, RetryAllowance
from dunlinsaddle.policy.retry_budget import RetryBudget

SERVER_ERROR_STATUS = 500  #: the status of a target that failed by itself
MAX_NODE_REFUSALS = 3  #: nodes in turn that may refuse a request before its caller is told
#: Sends of one request that targets turn away unrun. Of a service that turns away 55 in 100, six
#: serve 97 in 100, and of the requests that need eight calls 80 in 100; twelve serve nearly all.
MAX_SENDS_AFTER_REFUSAL = 12
#: Sends of one request whose answers are lost. Of a service that loses four in ten, four serve 97
#: in 100 (two: 84); more would leave no time, as a lost answer takes as long as a good one.
MAX_SENDS_AFTER_LOSS = 4


class AttemptAllowance(RetryAllowance):
    """The targets that a request may still be sent to; none of them goes down the chain."""

    refused = 0
    sends = 1

    def delegate(self) -> int:
        """Hand nothing down: the count is that of one hop alone."""
        return 0


class BudgetedRetries(OnLoop):
    """Sends again what provably did not run, and what is idempotent and was lost.

    What a node refused before it reached a target costs nothing but the time. Everything else
    draws on the budget of the service, which all nodes share.
    """

    def __init__(self, budget: RetryBudget) -> None:
        self.budget = budget

    def allows(self, call: PendingCall, reply: Reply) -> bool:
        """Say whether another target may be given a call that ended so."""
        if not reply.kind:
            return _failed_alone(reply) and call.ctx.idempotent and not call.ctx.hop
        kind = ErrorKind(reply.kind)
        if reply.outcome is Outcome.NOT_RUN:
            return kind in REFUSED_BY_NODE or kind is ErrorKind.TARGET_REFUSED
        return call.ctx.idempotent and kind in LOST_ANSWER_KINDS

    def spend(self, call: PendingCall, reply: Reply) -> bool:
        """Pay for sending it; False when there is nothing left to pay with."""
        allowance = call.allowance
        assert isinstance(allowance, AttemptAllowance)
        if reply.outcome is Outcome.NOT_RUN and ErrorKind(reply.kind) in REFUSED_BY_NODE:
            allowance.refused += 1
            return allowance.refused < MAX_NODE_REFUSALS
        allowance.sends += 1
        turned_away = reply.kind == ErrorKind.TARGET_REFUSED.value
        if allowance.sends > (MAX_SENDS_AFTER_REFUSAL if turned_away else MAX_SENDS_AFTER_LOSS):
            return False
        if not self.budget.spend(self.now(), call.ctx.service, call.ctx.priority.level):
            return False
        allowance.spend()
        return True

    def is_limited_to_tried_targets(self, call: PendingCall) -> bool:
        """Say whether a call goes to the targets that were given it, and to no further one.

        Failure: all targets of a service turn away half of what arrives. A route allows two
        targets for each request: a quarter of the calls failed, and nearly all requests that
        need eight. One more send to a target that was given it is as good as to another.
        """
        return call.allowance.tokens == 0

    def prepare_resend(self, call: PendingCall, reply: Reply) -> PendingCall:
        """Mark what may have run before: the calls that its next run makes are repeats, too."""
        if reply.outcome is Outcome.NOT_RUN:
            return call
        return call._replace(ctx=call.ctx._replace(is_resend=True))


def _failed_alone(reply: Reply) -> bool:
    """Say whether a target failed by itself: mostly it fails once, and another one answers.

    One that failed for a call of its own is told when to come back. Sent again at once, its
    request would meet the same overload further down, and repeat all calls on the way there.
    """
    return reply.status == SERVER_ERROR_STATUS and reply.retry_after <= 0
