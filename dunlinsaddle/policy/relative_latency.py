"""How long targets take beside one another, from the calls that a node has sent itself."""

from math import exp

#: Weight of one call in the pace of its target: some seven calls count, so that one long call
#: (three to five times the mean, one in a hundred) does not make a target slow by itself.
WEIGHT = 0.15
#: Weight of one call in the mean of its rule, over all targets: it moves slower than a pace, or
#: a target that turns slow would be compared with itself.
MEAN_WEIGHT = 0.03
#: Seconds in which a pace of which nothing is heard goes back to the mean: slow spells last
#: some seconds, and a target that is given no calls cannot show that its spell is over.
FORGET_SECONDS = 5.0
#: A pace above this says no more than that the target is hardly worth a call.
SLOWEST = 10.0
RULES_MOST = 4096  #: rules whose mean is held; a configuration grows by some hundred routes


class RelativeLatencies:
    """The pace of each target: its times as a share of what calls of the same rule take.

    Failure: a target takes five times as long as the others. By its load it looks idle, as it
    has slots for many more calls than it gets, and what may not be repeated times out there.
    Times of different rules are never compared: a lookup takes a tenth of a release.
    """

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._paces: dict[str, tuple[float, float]] = {}

    def record(self, now: float, instance: str, rule: str, seconds: float, *, whole: bool) -> None:
        """Note a call of ``seconds``; unless ``whole``, its answer would have taken longer.

        A call that failed sooner than most are answered says nothing of the pace.
        """
        mean = self._means.get(rule)
        if not whole and (mean is None or seconds < mean):
            return
        if mean is None:
            if len(self._means) >= RULES_MOST:
                self._means.clear()
            mean = self._means[rule] = seconds
        elif whole:
            self._means[rule] = mean + MEAN_WEIGHT * (seconds - mean)
        share = min(seconds / mean, SLOWEST) if mean else 1.0
        pace = self.ratio(now, instance)
        self._paces[instance] = (pace + WEIGHT * (share - pace), now)

    def ratio(self, now: float, instance: str) -> float:
        """Give a target's pace: 1 is the mean, 2 takes twice as long, unknown ones are at 1."""
        known = self._paces.get(instance)
        if known is None:
            return 1.0
        pace, heard = known
        return 1 + (pace - 1) * exp((heard - now) / FORGET_SECONDS)

    def forget(self, instance: str) -> None:
        """Drop what is known of a target."""
        self._paces.pop(instance, None)
