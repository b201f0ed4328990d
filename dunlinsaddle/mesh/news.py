"""What the target beside the node says of itself with its answers."""

from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.target import LocalTarget, Said

NOTHING_SAID = Said()


class TargetNews:
    """Holds what the target has said last."""

    def __init__(self, target: LocalTarget, decisions: DecisionLog) -> None:
        self.target = target
        self.decisions = decisions
        self.said = NOTHING_SAID

    def hear(self, request_id: str, said: Said) -> None:
        """Take what came with the answer to a request."""
        if said == self.said:
            return
        self.decisions.target_said(request_id, self.target.target_id, said, self.said)
        self.said = said
