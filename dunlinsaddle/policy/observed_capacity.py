"""Capacity of a target in calls a second, observed while its concurrency limit is reached."""

AVERAGED_CALLS = 100.0  #: calls that are enough to know a rate to within 10 %
AVERAGED_SECONDS = 1.0  #: with AVERAGED_CALLS, the amount from which older calls count half
MIN_CALLS = 10.0  #: calls that are needed for an estimate, which is then within a third
IDLE_TOLERANCE_SECONDS = 0.2  #: seconds with free capacity that are usual even near the limit
DOUBLING_SECONDS = 0.25  #: seconds with free capacity in which the estimate doubles


class ObservedCapacity:
    """The rate of completed calls during the time in which the target was saturated.

    Unlike concurrency limit divided by own time, the estimate stays the same when the limit is
    cut or grows beyond the target's slots. Without saturation it cannot be measured, so it rises
    exponentially: a target that has become faster cannot show that while too few calls are
    admitted.
    """

    def __init__(self) -> None:
        self._calls = 0.0
        self._seconds = 0.0
        self._now = 0.0
        self._saturated = False
        self._idle_since = 0.0

    def advance(self, now: float, *, saturated: bool) -> None:
        """Account for the time until now, and set the state from now on."""
        if self._saturated:
            self._seconds += now - self._now
            if not saturated:
                self._idle_since = now
        self._now = now
        self._saturated = saturated

    def record_call(self) -> None:
        """Count a call whose own work at the target is done; call this before ``advance``."""
        if not self._saturated:
            return
        self._calls += 1
        if self._calls > AVERAGED_CALLS and self._seconds > AVERAGED_SECONDS:
            self._calls *= 0.5
            self._seconds *= 0.5

    def scale(self, factor: float) -> None:
        """Scale the estimate after the concurrency limit has grown by ``factor``.

        Otherwise the rate that a low limit let through would count for another hundred calls. The
        admitted level would follow it and close, and too few calls would be admitted to show that
        the target can take more.
        """
        self._calls *= factor

    def idle_seconds(self, now: float) -> float:
        """Return the seconds for which the target has had free capacity."""
        return 0.0 if self._saturated else now - self._idle_since

    def estimate(self, now: float, ceiling: float) -> float:
        """Return calls a second; ``ceiling`` is what the limit lets through by Little's law."""
        if self._calls < MIN_CALLS or not self._seconds:
            return ceiling
        rate = self._calls / self._seconds
        if self._saturated:
            return rate
        idle = max(now - self._idle_since - IDLE_TOLERANCE_SECONDS, 0.0)
        return min(rate * 2 ** min(idle / DOUBLING_SECONDS, 10.0), max(ceiling, rate))
