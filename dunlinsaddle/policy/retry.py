"""The retry allowance of one root request, conserved over its whole chain."""


class Allowance:
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

    def hand_down(self) -> int:
        """Take the tokens that go down with one call: half, rounded up."""
        share = (self.tokens + 1) // 2
        self.tokens -= share
        return share

    def give_back(self, handed: int, unspent: int) -> None:
        """Take back unspent tokens, never more than were handed down."""
        self.tokens += min(max(unspent, 0), handed)
