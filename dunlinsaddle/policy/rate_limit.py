"""Token bucket for a target that sets a rate limit."""

import math

#: Seconds of the rate that the bucket holds. Calls arrive in bursts, and a target that sets a rate
#: limit accepts the calls of a quarter of a second at once.
BURST_SECONDS = 0.25
UTILISATION_WINDOW_SECONDS = 1.0  #: averaging time of the utilisation; rates are per second
#: Lowest rate in calls a second. Only a response shows that a rate limit has ended, so a target
#: that accepts nothing still gets one call in four seconds.
MIN_RATE = 0.25
#: Part of a token that may be missing from a whole one. A sum of refills can be short by a rounding
#: error, and a timer set for the missing part would be set for the same time again.
TOKEN_TOLERANCE = 1e-6


class RateLimit:
    """A token bucket: at most rate x t calls in any t seconds, plus a burst.

    It starts empty, because calls were not limited before the rate was known.
    """

    def __init__(self) -> None:
        self.rate = math.inf  #: calls a second
        self._tokens = 0.0
        self._recent_calls = 0.0  #: exponentially decayed over ``UTILISATION_WINDOW_SECONDS``
        self._updated_at = 0.0

    @property
    def is_set(self) -> bool:
        """Whether the target sets a rate limit."""
        return self.rate < math.inf

    def set_rate(self, now: float, rate: float | None) -> None:
        """Set the rate in calls a second from now on; None removes the limit."""
        if self.is_set:
            self._refill(now)
        else:
            self._tokens = self._recent_calls = 0.0
            self._updated_at = now
        self.rate = math.inf if rate is None else max(rate, MIN_RATE)
        self._tokens = min(self._tokens, self._max_tokens())

    def can_take(self, now: float) -> bool:
        """Return whether a call may start now."""
        return self.wait_seconds(now, 1) <= 0

    def take(self, now: float) -> None:
        """Take a token for a call that starts."""
        if not self.is_set:
            return
        self._refill(now)
        self._recent_calls += 1
        self._tokens -= 1

    def utilisation(self, now: float) -> float:
        """Return the share of the rate that is used; 0 without a limit."""
        if not self.is_set:
            return 0.0
        self._refill(now)
        return self._recent_calls / (self.rate * UTILISATION_WINDOW_SECONDS)

    def wait_seconds(self, now: float, calls: int) -> float:
        """Return the seconds until the rate allows the last of this many calls to start."""
        if not self.is_set:
            return 0.0
        self._refill(now)
        missing = calls - self._tokens
        return missing / self.rate if missing > TOKEN_TOLERANCE else 0.0

    def _max_tokens(self) -> float:
        return max(self.rate * BURST_SECONDS, 1.0)

    def _refill(self, now: float) -> None:
        self._tokens = min(self._tokens + (now - self._updated_at) * self.rate, self._max_tokens())
        self._recent_calls *= math.exp((self._updated_at - now) / UTILISATION_WINDOW_SECONDS)
        self._updated_at = now
