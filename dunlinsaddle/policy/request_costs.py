"""What requests cost the service that limits them, so that cheap ones are admitted first."""

from typing import NamedTuple

from dunlinsaddle.policy.context import Priority
from dunlinsaddle.records.models import Rank

GAIN = 0.1  #: weight of one answer in the cost of its rule; some ten answers count
#: Least share of the costliest rule's place that a cheap one is given. A rule that costs more
#: than four times as much is still admitted a quarter as often, so no rule is starved.
LEAST_SHARE = 0.25
FORGET_SECONDS = 30.0  #: seconds without an answer after which a rule's cost counts no more


class _Cost(NamedTuple):
    rank: Rank
    seconds: float
    heard: float


class RequestCosts:
    """The cost of each rule at the service that limits it, in seconds of a whole target.

    Failure: a view holds a slot of the deep service for 0.48 s, a lookup for 0.12 s in all.
    Shed alike, each view that is served costs four lookups. With places in the order of
    requests that grow with their cost, callers of a service at 1.3 times its capacity got 0.82
    of all lookups and 0.42 of the views in time, where 0.60 and 0.74 were served alike: a
    fifth more whole requests (`tests/test_deep_load.py`). Ranks go before costs.
    """

    def __init__(self) -> None:
        self._costs: dict[str, _Cost] = {}

    def record(self, now: float, rule: str, rank: Rank, seconds: float) -> None:
        """Take what a request that was served has cost."""
        if seconds <= 0:
            return
        known = self._costs.get(rule)
        if known is not None and known.rank is rank:
            seconds = known.seconds + GAIN * (seconds - known.seconds)
        self._costs[rule] = _Cost(rank, seconds, now)

    def adjust_priority(self, now: float, rule: str, priority: Priority) -> Priority:
        """Give a request its place within its rank: the cheaper its rule, the further in front."""
        own = self._costs.get(rule)
        if own is None:
            return priority
        most = max(
            cost.seconds
            for cost in self._costs.values()
            if (cost.rank is own.rank and now - cost.heard <= FORGET_SECONDS) or cost is own
        )
        share = max(own.seconds / most, LEAST_SHARE)
        return priority._replace(slot=int(priority.slot * share))
