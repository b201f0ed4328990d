"""The calls a second that a target can take, observed while its limit is reached."""

ENOUGH_CALLS = 100.0  #: calls of which a rate is known within a tenth
ENOUGH_TIME = 1.0  #: seconds; with ENOUGH_CALLS, when older ones begin to count half
FIRST_CALLS = 10.0  #: calls before the rate is believed: known within a third
PATIENCE = 0.2  #: seconds with free places that are usual even near capacity
DOUBLING = 0.25  #: seconds with free places in which the estimate doubles


class ObservedCapacity:
    """Calls done per second of saturated time.

    Unlike limit over own time this does not move when the limit is cut or grows past the
    target's slots. Without saturation nothing is learned; then the estimate opens up, for
    a target that has become faster never shows it while too little is admitted.
    """

    def __init__(self) -> None:
        self._calls = 0.0
        self._time = 0.0
        self._now = 0.0
        self._saturated = False
        self._free_since = 0.0

    def advance(self, now: float, *, saturated: bool) -> None:
        """Account the time up to now, and say what state begins now."""
        if self._saturated:
            self._time += now - self._now
            if not saturated:
                self._free_since = now
        self._now = now
        self._saturated = saturated

    def record_call(self) -> None:
        """Count a call that the target has done its own work for, before ``advance``."""
        if not self._saturated:
            return
        self._calls += 1
        if self._calls > ENOUGH_CALLS and self._time > ENOUGH_TIME:
            self._calls *= 0.5
            self._time *= 0.5

    def scale(self, factor: float) -> None:
        """Take it that the target does so many times the calls, as it is given more at once.

        Failure: the rate that a low limit let through counts on for a hundred calls; by it the
        level shuts, and too few are let in to show that the target can take more.
        """
        self._calls *= factor

    def idle_seconds(self, now: float) -> float:
        """Give for how many seconds places have been free."""
        return 0.0 if self._saturated else now - self._free_since

    def estimate(self, now: float, ceiling: float) -> float:
        """Give calls a second; ``ceiling`` is what the limit lets through by Little's law."""
        if self._calls < FIRST_CALLS or not self._time:
            return ceiling
        rate = self._calls / self._time
        if self._saturated:
            return rate
        free = max(now - self._free_since - PATIENCE, 0.0)
        return min(rate * 2 ** min(free / DOUBLING, 10.0), max(ceiling, rate))
