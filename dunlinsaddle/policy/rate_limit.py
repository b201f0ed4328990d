"""How many calls a second go to a target that names a rate."""

import math

#: Seconds of the rate that may go at once after a pause. Calls come in clusters; a target that
#: names a rate takes a quarter of a second's worth together.
BURST_SECONDS = 0.25
UTILISATION_WINDOW_SECONDS = (
    1.0  #: over which the use of a rate is told, the unit in which it is named
)
#: Calls a second that go at least. The answers alone tell that a rate has ended: a target that
#: takes nothing at all would never be heard again. One call in four seconds is a sign of life.
MIN_RATE = 0.25
#: Tokens that may miss to a whole one. A sum of refills misses it by its last digits, and a timer
#: for that moment would be set again for the same moment.
ROUNDING = 1e-6


class RateLimit:
    """A token bucket: in any t seconds no more than rate x t calls, and a burst.

    It begins empty: before the rate was known, calls went as they came.
    """

    def __init__(self) -> None:
        self.rate = math.inf  #: calls a second
        self._tokens = 0.0
        self._recent = (
            0.0  #: calls that went lately, each fading over ``UTILISATION_WINDOW_SECONDS``
        )
        self._at = 0.0

    @property
    def is_set(self) -> bool:
        """Whether a rate is named."""
        return self.rate < math.inf

    def set_rate(self, now: float, rate: float | None) -> None:
        """Take the rate that holds from now on, None for none."""
        if self.is_set:
            self._refill(now)
        else:
            self._tokens = self._recent = 0.0
            self._at = now
        self.rate = math.inf if rate is None else max(rate, MIN_RATE)
        self._tokens = min(self._tokens, self._most())

    def can_take(self, now: float) -> bool:
        """Say whether a call may go now."""
        return self.wait_seconds(now, 1) <= 0

    def take(self, now: float) -> None:
        """Count a call that goes."""
        if not self.is_set:
            return
        self._refill(now)
        self._recent += 1
        self._tokens -= 1

    def utilisation(self, now: float) -> float:
        """Give the share of the rate that is used; 0 where none is named."""
        if not self.is_set:
            return 0.0
        self._refill(now)
        return self._recent / (self.rate * UTILISATION_WINDOW_SECONDS)

    def wait_seconds(self, now: float, calls: int) -> float:
        """Give the seconds until so many more calls have gone, as far as the rate binds them."""
        if not self.is_set:
            return 0.0
        self._refill(now)
        missing = calls - self._tokens
        return missing / self.rate if missing > ROUNDING else 0.0

    def _most(self) -> float:
        return max(self.rate * BURST_SECONDS, 1.0)

    def _refill(self, now: float) -> None:
        self._tokens = min(self._tokens + (now - self._at) * self.rate, self._most())
        self._recent *= math.exp((self._at - now) / UTILISATION_WINDOW_SECONDS)
        self._at = now
