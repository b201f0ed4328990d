"""What the target beside the node says of itself with its answers, and for how long it holds."""

import math
from collections.abc import Callable

from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.messages import RelayedTargetState
from dunlinsaddle.calls.target import NOTHING_ADVERTISED, AdvertisedState, LocalTarget
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.policy.rate_limit import MIN_RATE
from dunlinsaddle.policy.slots import SlotAdmission


class TargetStatus(OnLoop):
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
        on_leaving: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_leaving = on_leaving  #: tells other nodes that nothing new may be sent here
        self.target = target
        self.admission = admission
        self.decisions = decisions
        self.reported = NOTHING_ADVERTISED
        self._named_at = -math.inf  #: when the rate was named last
        self._began_at = -math.inf  #: when the present incarnation was announced
        self._heard_at = -math.inf  #: when it has answered last

    def reset(self) -> None:
        """Forget what the incarnation before has said."""
        self.reported = NOTHING_ADVERTISED
        self._began_at = self.now()
        self._heard_at = -math.inf

    def peer_report(self) -> RelayedTargetState | None:
        """Give what others are told, None where there is nothing to tell."""
        said = self.reported
        if said == NOTHING_ADVERTISED:
            return None
        rate = None if said.rate is None else max(said.rate, MIN_RATE)
        use = self.admission.rate_utilisation(self.now())
        return RelayedTargetState(self.target.incarnation, rate, use, said.leaving)

    def restore(self, request_id: str, told: RelayedTargetState | None) -> None:
        """Take what this node told another before it was started again, of the same incarnation."""
        if told is None or told.incarnation != self.target.incarnation:
            return
        rate = told.rate if self._heard_at == -math.inf else self.reported.rate
        self._take(request_id, AdvertisedState(rate, told.leaving), 'entry')

    def update(self, request_id: str, sent_at: float, said: AdvertisedState) -> None:
        """Take what came with the answer to a request that was sent at ``sent_at``."""
        if sent_at < self._began_at:
            return
        held = self.reported
        higher = _rate(said) > _rate(held)
        self._heard_at = self.now()
        if said.unreadable is not None or (higher and sent_at < self._named_at):
            said = said._replace(rate=held.rate)
        elif said.rate is not None:
            self._named_at = self._heard_at
        self._take(request_id, said, 'answer')

    def _take(self, request_id: str, said: AdvertisedState, source: str) -> None:
        held = self.reported
        if held.leaving and not said.leaving:
            # One that leaves does so for good, whatever answers are still on their way.
            said = said._replace(leaving=True)
        if said == held:
            return
        self.decisions.log_target_state(request_id, self.target.target_id, said, held, source)
        self.reported = said
        self.admission.set_rate_limit(self.now(), said.rate)
        if said.leaving and not held.leaving:
            self.target.drain()
            self.on_leaving()


def _rate(said: AdvertisedState) -> float:
    return math.inf if said.rate is None else said.rate
