"""Moving average of the rate of events."""

from math import exp


class DemandRate:
    """Moving average of events per second, with an exponential decay."""

    __slots__ = ('_averaging_seconds', '_count', '_updated_at')

    def __init__(self, averaging_seconds: float) -> None:
        self._averaging_seconds = averaging_seconds
        self._count = 0.0
        self._updated_at = 0.0

    def add(self, now: float, count: int = 1) -> None:
        """Count events at this time."""
        self._count = self.rate(now) * self._averaging_seconds + count
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the average number of events per second."""
        decay = exp((self._updated_at - now) / self._averaging_seconds)
        return self._count * decay / self._averaging_seconds
