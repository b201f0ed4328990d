"""Retry allowance of a root request, shared by all calls that the request causes."""

from dunlinsaddle.errors import ErrorKind, Outcome


class RetryAllowance:
    """The resends that this node may still spend or delegate for one root request.

    The root request starts with the bound from the service record. Each hop delegates part of its
    tokens with a call, and gets the unspent ones back with the response. Tokens are lost with a
    lost response but never created, so the resends in a call graph of any depth and fan-out stay
    within the bound.
    """

    def __init__(self, tokens: int) -> None:
        self.tokens = max(tokens, 0)

    def spend(self) -> bool:
        """Spend one token for a resend; return False if none is left."""
        if not self.tokens:
            return False
        self.tokens -= 1
        return True

    def delegate(self) -> int:
        """Remove and return the tokens to delegate with one call: half, rounded up."""
        share = (self.tokens + 1) // 2
        self.tokens -= share
        return share

    def reclaim(self, delegated: int, unspent: int) -> None:
        """Add unspent tokens of a call, at most as many as were delegated with it."""
        self.tokens += min(max(unspent, 0), delegated)


#: Refusals after which another target may accept the call.
RESENDABLE_REFUSALS = frozenset({ErrorKind.DRAINING, ErrorKind.NO_TARGET})
#: Refusals by a node, before anything reached its target.
REFUSED_BY_NODE = RESENDABLE_REFUSALS | {ErrorKind.OVERLOADED, ErrorKind.TOO_LATE_TO_START}
#: The call was sent, but its response did not arrive or is incomplete.
LOST_ANSWER_KINDS = frozenset(
    {ErrorKind.PEER_LOST, ErrorKind.TARGET_LOST, ErrorKind.INCOMPLETE_ANSWER}
)


def may_resend(kind: ErrorKind | None, outcome: Outcome, *, idempotent: bool) -> bool:
    """Return whether a call with this outcome may be sent to another target.

    A call that provably did not run may be resent if its refusal does not apply to other targets.
    A call that may have run may be resent only if it is idempotent. A refusal for overload is
    final: all targets of a service use the same priorities, and a second attempt would add load
    to a service that has too much.
    """
    if kind is None:
        return False
    if outcome is Outcome.NOT_RUN:
        return kind in RESENDABLE_REFUSALS
    return idempotent and kind in LOST_ANSWER_KINDS
