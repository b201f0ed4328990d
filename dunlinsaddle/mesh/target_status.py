"""Status that the local target announces with its responses: its rate limit and its departure."""

import math
from collections.abc import Callable

from dunlinsaddle.calls.decisions import DecisionLog
from dunlinsaddle.calls.messages import RelayedTargetState
from dunlinsaddle.calls.target import NOTHING_ADVERTISED, AdvertisedState, LocalTarget
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.policy.rate_limit import MIN_RATE
from dunlinsaddle.policy.slots import SlotAdmission


class TargetStatus(LoopBound):
    """Holds the latest status of the target and applies it to admission and routing.

    Responses can arrive out of order. A lower rate applies at once. A higher rate, or none,
    applies only if its request was sent after the lower rate was received: a delayed earlier
    response would otherwise lift the limit of an overloaded target.
    """

    def __init__(
        self,
        target: LocalTarget,
        admission: SlotAdmission,
        decisions: DecisionLog,
        on_leaving: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_leaving = on_leaving  #: announces to other nodes that the target is draining
        self.target = target
        self.admission = admission
        self.decisions = decisions
        self.reported = NOTHING_ADVERTISED
        self._rate_reported_at = -math.inf  #: when a rate was reported last
        self._started_at = -math.inf  #: when the current incarnation was announced
        self._updated_at = -math.inf  #: when it responded last

    def reset(self) -> None:
        """Discard the status of the previous incarnation."""
        self.reported = NOTHING_ADVERTISED
        self._started_at = self.now()
        self._updated_at = -math.inf

    def peer_report(self) -> RelayedTargetState | None:
        """Return the status to send to other nodes; None if the target has reported nothing."""
        reported = self.reported
        if reported == NOTHING_ADVERTISED:
            return None
        rate = None if reported.rate is None else max(reported.rate, MIN_RATE)
        use = self.admission.rate_utilisation(self.now())
        return RelayedTargetState(self.target.incarnation, rate, use, reported.leaving)

    def restore(self, request_id: str, report: RelayedTargetState | None) -> None:
        """Restore the status that a peer got from this node before the node was restarted.

        A report on another incarnation of the target is ignored.
        """
        if report is None or report.incarnation != self.target.incarnation:
            return
        rate = report.rate if self._updated_at == -math.inf else self.reported.rate
        self._apply(request_id, AdvertisedState(rate, report.leaving), 'entry')

    def update(self, request_id: str, sent_at: float, status: AdvertisedState) -> None:
        """Record the status from the response to a request that was sent at ``sent_at``."""
        if sent_at < self._started_at:
            return
        if status.load is not None:
            # The load differs with each response; only the rest is logged when it changes.
            self.admission.set_reported_load(
                self.now(), status.load.waiting or 0.0, status.load.slowdown
            )
            status = status._replace(load=None)
        previous = self.reported
        is_higher = _rate(status) > _rate(previous)
        self._updated_at = self.now()
        if status.unreadable is not None or (is_higher and sent_at < self._rate_reported_at):
            status = status._replace(rate=previous.rate)
        elif status.rate is not None:
            self._rate_reported_at = self._updated_at
        self._apply(request_id, status, 'answer')

    def _apply(self, request_id: str, status: AdvertisedState, source: str) -> None:
        previous = self.reported
        if previous.leaving and not status.leaving:
            # Leaving is final; delayed responses may not carry the announcement.
            status = status._replace(leaving=True)
        if status == previous:
            return
        self.decisions.log_target_state(request_id, self.target.target_id, status, previous, source)
        self.reported = status
        self.admission.set_rate_limit(self.now(), status.rate)
        if status.leaving and not previous.leaving:
            self.target.drain()
            self.on_leaving()


def _rate(status: AdvertisedState) -> float:
    return math.inf if status.rate is None else status.rate
