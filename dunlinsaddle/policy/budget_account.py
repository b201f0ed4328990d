"""Requests of a node to one service, and the repeats that it may send for them."""

from dunlinsaddle.policy.demand_rate import DemandRate
from dunlinsaddle.policy.earned_repeats import EarnedRepeats
from dunlinsaddle.policy.fleet_usage import FleetUsage, NodeCounts
from dunlinsaddle.policy.request_windows import WINDOW_SLOTS, WINDOWS_SLOTS_AGO
from dunlinsaddle.policy.sliding_count import SlidingCount
from dunlinsaddle.records.models import Rank

#: Time for which a request's part of a repeat may be sent, as a share of the window. A longer time
#: lets a node send more at once, and leaves less for each request.
VALID_SHARE = 0.15
#: Seconds over which the demand for repeats of each rank is averaged. A surge of failures must show
#: well before it uses up the budget, which took two seconds.
DEMAND_AVERAGE_SECONDS = 1.0


class Account:
    """Requests, repeats and what is left of them, for one service."""

    def __init__(self, window: float) -> None:
        width = window / WINDOW_SLOTS
        self.earned = EarnedRepeats(window * VALID_SHARE)
        self.extra = SlidingCount(width, WINDOW_SLOTS)  #: extra repeats that are used up
        self.usage = FleetUsage()
        self.requests = SlidingCount(width, 2 * WINDOW_SLOTS)
        self.repeats = SlidingCount(width, WINDOW_SLOTS)
        #: Repeats per second that are asked for by each rank, permitted or not.
        self.demand = [DemandRate(DEMAND_AVERAGE_SECONDS) for _ in Rank]
        self.inherited = DemandRate(DEMAND_AVERAGE_SECONDS)  #: calls of repeated runs

    def record_request(self, now: float, earned: float) -> None:
        """Count a request, which has earned a part of a repeat."""
        self.requests.add(now)
        self.earned.add(now, earned)

    def take(self, now: float, amount: float, window_left: float, extra_left: float) -> None:
        """Use up repeats: earned ones first, as they expire, and the extra ones last.

        ``window_left`` is what the requests of a whole window leave, which includes earned ones.
        """
        earned = self.earned.take(now, amount)
        by_extra = min(amount - max(earned, min(window_left, amount)), extra_left)
        if by_extra > 0:
            self.extra.add(now, by_extra)
        self.repeats.add(now, amount)

    def total_demand(self, now: float) -> float:
        """Return the repeats per second that are asked for."""
        return sum(demand.rate(now) for demand in (self.inherited, *self.demand))

    def counts(self, now: float) -> NodeCounts:
        """Return the counts; requests are of slightly less than a window, repeats of more."""
        present, half_ago, before = (
            round(self.requests.total(now, WINDOW_SLOTS - 1, slots_ago))
            for slots_ago in WINDOWS_SLOTS_AGO
        )
        repeats = round(self.repeats.total(now, WINDOW_SLOTS))
        return NodeCounts((present, half_ago, before), repeats)

    def recent_requests(self, now: float) -> float:
        """Return the requests whose repeats have not expired."""
        return self.requests.total(now, round(WINDOW_SLOTS * VALID_SHARE) - 1)

    def extra_used(self, now: float) -> float:
        """Return the extra repeats of the present window; a loan is used after it was lent."""
        return self.extra.total(now, WINDOW_SLOTS + 1)
