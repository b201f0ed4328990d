"""Cost of each rule at the service that limits it, used to admit cheap requests first."""

from typing import NamedTuple

from dunlinsaddle.policy.context import Priority
from dunlinsaddle.policy.learned_state import RuleCost
from dunlinsaddle.records.models import Rank

COST_WEIGHT = 0.1  #: weight of one answer in the cost of its rule; some ten answers count
#: Lower bound of the factor by which a cheap rule's slot is scaled. A rule that costs more than
#: four times as much is still admitted a quarter as often, so no rule is starved.
MIN_SLOT_FACTOR = 0.25
EXPIRY_SECONDS = 30.0  #: seconds without an answer after which a rule's cost is ignored


class _Cost(NamedTuple):
    rank: Rank
    seconds: float
    updated_at: float


class RequestCosts:
    """The cost of each rule in seconds of one whole target of the service that limits it.

    Within a rank, slots are scaled by cost, so that cheap requests are shed last. Reason: a view
    holds a slot of the deep service for 0.48 s, a lookup for 0.12 s in all, so each view that is
    served displaces four lookups. At 1.3 times the capacity 0.82 of all lookups and 0.42 of the
    views were answered in time with scaled slots, against 0.60 and 0.74 without: a fifth more
    requests (`tests/test_deep_load.py`).
    """

    def __init__(self) -> None:
        self._costs: dict[str, _Cost] = {}

    def record(self, now: float, rule: str, rank: Rank, seconds: float) -> None:
        """Update the cost of a rule with that of one answered request."""
        if seconds <= 0:
            return
        known = self._costs.get(rule)
        if known is not None and known.rank is rank:
            seconds = known.seconds + COST_WEIGHT * (seconds - known.seconds)
        self._costs[rule] = _Cost(rank, seconds, now)

    def snapshot(self, now: float) -> list[RuleCost]:
        """Return the costs that are not ignored yet, the latest first."""
        costs = [
            RuleCost(rule, cost.rank, cost.seconds, max(now - cost.updated_at, 0.0))
            for rule, cost in self._costs.items()
            if now - cost.updated_at <= EXPIRY_SECONDS
        ]
        return sorted(costs, key=lambda cost: cost.age)

    def restore(self, now: float, costs: list[RuleCost], age: float) -> int:
        """Take over costs of unknown rules, ``age`` seconds old; return their number."""
        unknown = [c for c in costs if c.rule not in self._costs and c.age + age <= EXPIRY_SECONDS]
        for cost in unknown:
            self._costs[cost.rule] = _Cost(cost.rank, cost.seconds, now - cost.age - age)
        return len(unknown)

    def adjust_priority(self, now: float, rule: str, priority: Priority) -> Priority:
        """Return the priority with its slot scaled by cost, so that cheap rules are shed last."""
        own = self._costs.get(rule)
        if own is None:
            return priority
        highest = max(
            cost.seconds
            for cost in self._costs.values()
            if (cost.rank is own.rank and now - cost.updated_at <= EXPIRY_SECONDS) or cost is own
        )
        factor = max(own.seconds / highest, MIN_SLOT_FACTOR)
        return priority._replace(slot=int(priority.slot * factor))
