"""Whether the demand at an entry has just fallen."""

from math import exp

SOON = 0.3  #: seconds over which an entry averages its demand of now
LATE = 2.0  #: the same for that of before
CERTAIN = 2.5  #: standard errors that are no chance
#: A demand that has ended counts as so much of before: zero would open without bound.
MIN_DEMAND_RATIO = 0.05


class DemandTrend:
    """Whether the demand at this entry has just fallen.

    A level that comes from deep down tells of calls that entered seconds ago. When a surge
    ends the entry sees it at once, while targets still work off what is on its way.
    """

    def __init__(self) -> None:
        self._soon = 0.0
        self._late = 0.0
        self._at = 0.0

    def record_arrival(self, now: float) -> None:
        """Count a request of a caller."""
        self._advance(now)
        self._soon += 1 / SOON
        self._late += 1 / LATE

    def demand_ratio(self, now: float) -> float:
        """Give demand now as a share of that of the last seconds; 1 if it may be chance."""
        self._advance(now)
        expected = self._late * SOON
        chance = CERTAIN * expected**0.5
        if self._soon * SOON >= expected - chance or not expected:
            return 1.0
        return max(self._soon / self._late, MIN_DEMAND_RATIO)

    def _advance(self, now: float) -> None:
        elapsed = now - self._at
        self._at = now
        self._soon *= exp(-elapsed / SOON)
        self._late *= exp(-elapsed / LATE)
