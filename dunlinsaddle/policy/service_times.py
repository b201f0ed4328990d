"""Recent service times of the target beside a node, by rule."""

from math import exp

#: Time constant of the recent ratio in seconds. A noisy neighbour slows a target for 0.6 s, so
#: that a change must show within about half of that.
RECENT_SECONDS = 0.15
#: Weight of one call in the recent ratio, at most: at low rates at least five calls count.
MAX_RECENT_WEIGHT = 0.2
#: Calls over which the usual service time of a rule is averaged. It must change slowly compared
#: with the recent ratio.
USUAL_CALLS = 200
#: A call counts as at most so many times the usual one. Some calls take seven times as long and
#: say nothing about the target; a target that slows down by 2.5 must still show.
MAX_CALL_RATIO = 3.0
MAX_REPORTED_RATIO = 10.0  #: caps absurd values; a target this slow gets hardly any calls anyway
MAX_RULES = 4096  #: rules that are kept; a configuration grows by some hundred routes


class RecentServiceTimes:
    """The usual service time of each rule, and the recent ratio of all calls to their usual time.

    The ratio is common to all rules: a neighbour on the same machine slows all of them, and a
    rule with few calls would notice it too late by itself.
    """

    def __init__(self) -> None:
        self._usual: dict[str, tuple[float, int]] = {}  #: mean in seconds and calls, by rule
        self._ratio = 1.0
        self._recorded_at = 0.0
        self._usual_slowdown = 0.0  #: mean of what the target reports itself; 0 if nothing

    def set_reported_slowdown(self, slowdown: float) -> None:
        """Set the recent ratio from a target that measures its speed itself.

        It counts relative to the mean of such reports: the usual service time contains what a
        machine that is always slow reports. It replaces the measured ratio, which shows a change
        only when calls end.
        """
        usual = self._usual_slowdown
        usual = usual + (slowdown - usual) / USUAL_CALLS if usual else slowdown
        self._usual_slowdown = usual
        self._ratio = min(slowdown / usual, MAX_REPORTED_RATIO)

    def record(self, now: float, rule: str, seconds: float, *, completed: bool) -> None:
        """Record the service time of a call; one not ``completed`` would have taken longer.

        An incomplete call counts if it shows that the target takes longer than usual; otherwise a
        target that stops answering would keep its last good figure.
        """
        usual, calls = self._usual.get(rule, (0.0, 0))
        if seconds <= 0 or (not completed and seconds <= usual * self._ratio):
            return
        if calls:
            seconds = min(seconds, MAX_CALL_RATIO * usual * max(self._ratio, 1.0))
        elif len(self._usual) >= MAX_RULES:
            self._usual.clear()
        calls = min(calls + 1, USUAL_CALLS)
        usual += (seconds - usual) / calls
        self._usual[rule] = usual, calls
        weight = min(1 - exp((self._recorded_at - now) / RECENT_SECONDS), MAX_RECENT_WEIGHT)
        self._recorded_at = now
        self._ratio += weight * (seconds / usual - self._ratio)

    def expected(self, rule: str) -> float:
        """Return the expected service time of a call in seconds, 0 if the rule is not known."""
        return self._usual.get(rule, (0.0, 0))[0] * self._ratio

    @property
    def ratio(self) -> float:
        """How much longer than usual the recent calls took; 1 is as usual."""
        return self._ratio

    def clear(self) -> None:
        """Forget the previous incarnation of the target."""
        self._usual.clear()
        self._ratio = 1.0
        self._usual_slowdown = 0.0
