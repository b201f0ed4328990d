"""Detection of a sudden drop in the demand at an entry."""

from math import exp

SHORT_WINDOW_SECONDS = 0.3  #: time constant of the average for the current demand
LONG_WINDOW_SECONDS = 2.0  #: time constant of the average for the demand before it
SIGNIFICANT_STANDARD_ERRORS = 2.5  #: a smaller difference counts as random variation
#: Lower bound of the ratio. Without it, demand that stops entirely would open levels without limit.
MIN_DEMAND_RATIO = 0.05


class DemandTrend:
    """Compares the current demand at this entry with the demand of the last seconds.

    An admitted level that arrives from deep in the chain reflects calls that entered seconds
    ago. When a surge ends, the entry sees it at once, while the targets still process the calls
    in flight.
    """

    def __init__(self) -> None:
        self._short_rate = 0.0
        self._long_rate = 0.0
        self._updated_at = 0.0

    def record_arrival(self, now: float) -> None:
        """Count one request from a caller."""
        self._advance(now)
        self._short_rate += 1 / SHORT_WINDOW_SECONDS
        self._long_rate += 1 / LONG_WINDOW_SECONDS

    def demand_ratio(self, now: float) -> float:
        """Return current demand divided by recent demand; 1 if the drop may be random."""
        self._advance(now)
        expected = self._long_rate * SHORT_WINDOW_SECONDS
        margin = SIGNIFICANT_STANDARD_ERRORS * expected**0.5
        if self._short_rate * SHORT_WINDOW_SECONDS >= expected - margin or not expected:
            return 1.0
        return max(self._short_rate / self._long_rate, MIN_DEMAND_RATIO)

    def _advance(self, now: float) -> None:
        elapsed = now - self._updated_at
        self._updated_at = now
        self._short_rate *= exp(-elapsed / SHORT_WINDOW_SECONDS)
        self._long_rate *= exp(-elapsed / LONG_WINDOW_SECONDS)
