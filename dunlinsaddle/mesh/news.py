"""What the target beside the node says of itself with its answers, and for how long it holds."""

import math
from collections.abc import Callable

from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.messages import Told
from dunlinsaddle.calls.target import LocalTarget, Said
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.policy.rate import LEAST_RATE
from dunlinsaddle.policy.slots import SlotAdmission

NOTHING_SAID = Said()


class TargetNews(OnLoop):
    """Holds what the target has said last, and has the node act on it.

    Answers overtake one another. A lower rate holds at once. A higher one, or none, holds by the
    answer to a request that was sent after the lower one was heard: an earlier answer that was
    long on its way would lift the bound of a target in need.
    """

    def __init__(
        self,
        target: LocalTarget,
        admission: SlotAdmission,
        decisions: DecisionLog,
        on_leave: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_leave = on_leave  #: tells other nodes that nothing new may be sent here
        self.target = target
        self.admission = admission
        self.decisions = decisions
        self.said = NOTHING_SAID
        self._named_at = -math.inf  #: when the rate was named last
        self._began_at = -math.inf  #: when the present incarnation was announced

    def restarted(self) -> None:
        """Forget what the incarnation before has said."""
        self.said = NOTHING_SAID
        self._began_at = self.now()

    def told(self) -> Told | None:
        """Give what others are told, None where there is nothing to tell."""
        if self.said.rate is None:
            return None
        use = self.admission.rate_use(self.now())
        return Told(self.target.incarnation, max(self.said.rate, LEAST_RATE), use)

    def hear(self, request_id: str, sent_at: float, said: Said) -> None:
        """Take what came with the answer to a request that was sent at ``sent_at``."""
        if sent_at < self._began_at:
            return
        now = self.now()
        held = self.said
        higher = _rate(said) > _rate(held)
        if said.unreadable is not None or (higher and sent_at < self._named_at):
            said = said._replace(rate=held.rate)
        elif said.rate is not None:
            self._named_at = now
        # One that leaves does so for good, whatever answers are still on their way.
        said = said._replace(leaving=said.leaving or held.leaving)
        if said == held:
            return
        self.decisions.target_said(request_id, self.target.target_id, said, held)
        self.said = said
        self.admission.name_rate(now, said.rate)
        if said.leaving and not held.leaving:
            self.target.drain()
            self.on_leave()


def _rate(said: Said) -> float:
    return math.inf if said.rate is None else said.rate
