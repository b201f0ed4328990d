"""Requests of the present window and of those before it."""

from dunlinsaddle.policy.sliding_count import SlidingCount

WINDOW_SLOTS = 10  #: parts of the window; more parts would be more accurate but cost more time
#: Slots by which the present window, the one half a window ago and the one before ended earlier.
WINDOWS_SLOTS_AGO = (0, WINDOW_SLOTS // 2, WINDOW_SLOTS)


class RequestWindows:
    """Counts requests over the present window, the one before and the one half-way between."""

    def __init__(self, seconds: float) -> None:
        width = seconds / WINDOW_SLOTS
        self.covered_seconds = seconds + width / 2  #: on average, as the started slot counts too
        self._requests = SlidingCount(width, 2 * WINDOW_SLOTS)

    def add(self, now: float) -> None:
        """Count a request."""
        self._requests.add(now)

    def largest_count(self, now: float) -> float:
        """Return the largest count of the three windows."""
        return max(
            self._requests.total(now, WINDOW_SLOTS, buckets_ago)
            for buckets_ago in WINDOWS_SLOTS_AGO
        )
