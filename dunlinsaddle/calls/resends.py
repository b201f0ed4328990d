"""Which calls may be sent again, and what that costs."""

from typing import Protocol

from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.calls.messages import Reply
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.retry import may_resend


class ResendPolicy(Protocol):
    """Decides which calls may be resent to another target, and accounts for their cost."""

    def allows(self, call: PendingCall, reply: Reply) -> bool:
        """Return whether a call that ended with this reply may be sent to another target."""

    def spend(self, call: PendingCall, reply: Reply) -> bool:
        """Spend a token on a resend; return False if none is left."""

    def prepare_resend(self, call: PendingCall, reply: Reply) -> PendingCall:
        """Return the call as it is to be resent."""

    def is_limited_to_tried_targets(self, call: PendingCall) -> bool:
        """Return whether resends go only to targets that were sent the call before."""


class AllowanceResendPolicy:
    """Default policy: a retry allowance that is passed down the chain with the request."""

    def allows(self, call: PendingCall, reply: Reply) -> bool:
        """Allow calls that provably did not run, and idempotent ones whose response was lost."""
        kind = ErrorKind(reply.kind) if reply.kind else None
        return may_resend(kind, reply.outcome, idempotent=call.ctx.idempotent)

    def spend(self, call: PendingCall, reply: Reply) -> bool:
        """Spend a token of the request's allowance."""
        return call.allowance.spend()

    def prepare_resend(self, call: PendingCall, reply: Reply) -> PendingCall:
        """Return the call unchanged."""
        return call

    def is_limited_to_tried_targets(self, call: PendingCall) -> bool:
        """Return False: a resend always goes to a target not tried before."""
        return False
