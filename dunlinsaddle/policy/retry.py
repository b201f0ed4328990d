"""The retry allowance of one root request, conserved over its whole chain."""

from dunlinsaddle.errors import ErrorKind, Outcome


class RetryAllowance:
    """The resends that this node may still spend or hand down for one root request.

    The root is given the record's bound. A hop hands part of what it holds down with a
    call, and gets back what was not spent. What is lost with an answer stays lost, so the
    sum over a chain of any depth and fan-out never exceeds the bound.
    """

    def __init__(self, tokens: int) -> None:
        self.tokens = max(tokens, 0)

    def spend(self) -> bool:
        """Take one token for a resend; False when none is left."""
        if not self.tokens:
            return False
        self.tokens -= 1
        return True

    def delegate(self) -> int:
        """Take the tokens that go down with one call: half, rounded up."""
        share = (self.tokens + 1) // 2
        self.tokens -= share
        return share

    def reclaim(self, handed: int, unspent: int) -> None:
        """Take back unspent tokens, never more than were handed down."""
        self.tokens += min(max(unspent, 0), handed)


RESENDABLE_REFUSALS = frozenset({ErrorKind.DRAINING, ErrorKind.NO_TARGET})
#: Refused by a node, before anything reached its target.
REFUSED_BY_NODE = RESENDABLE_REFUSALS | {ErrorKind.OVERLOADED, ErrorKind.TOO_LATE_TO_START}
LOST_ANSWER_KINDS = frozenset(
    {ErrorKind.PEER_LOST, ErrorKind.TARGET_LOST, ErrorKind.INCOMPLETE_ANSWER}
)


def may_resend(kind: ErrorKind | None, outcome: Outcome, *, idempotent: bool) -> bool:
    """Say whether another target may be given a call that ended so.

    What provably did not run may always go elsewhere. What may have run goes elsewhere only
    if it is idempotent. A refusal for overload stays final: all targets of a service order
    requests alike, and a second try would add load where there is too much.
    """
    if kind is None:
        return False
    if outcome is Outcome.NOT_RUN:
        return kind in RESENDABLE_REFUSALS
    return idempotent and kind in LOST_ANSWER_KINDS
