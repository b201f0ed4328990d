"""Minimum over a sliding time window."""

from collections import deque


class SlidingMinimum:
    """The minimum of the values that were added in the last ``seconds``."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        self._values: deque[tuple[float, float]] = deque()

    def update(self, now: float, value: float) -> float:
        """Add a value and return the minimum of the window."""
        while self._values and self._values[-1][1] >= value:
            self._values.pop()
        self._values.append((now, value))
        while self._values[0][0] < now - self.seconds:
            self._values.popleft()
        return self._values[0][1]
