"""Latency of each target relative to the others, from the calls that this node sent."""

from math import exp

from dunlinsaddle.policy.learned_state import RuleTime, TargetRatio

#: Weight of one call in the ratio of its target. About seven calls count, so that one long call
#: (three to five times the mean, one in a hundred) does not make a target look slow.
RATIO_WEIGHT = 0.15
#: Weight of one call in the mean of its rule over all targets. The mean moves more slowly than a
#: ratio; otherwise a target that becomes slow would be compared with itself.
MEAN_WEIGHT = 0.03
#: Time constant in seconds with which a ratio returns to 1 while no call updates it. Slow periods
#: mostly last some seconds, and a target that gets no calls cannot show that its own is over.
DECAY_SECONDS = 5.0
MAX_RATIO = 10.0  #: at any higher ratio a target would hardly get calls either
MAX_RULES = 4096  #: rules whose mean is kept; a configuration grows by some hundred routes


class RelativeLatencies:
    """The latency ratio of each target: its time per call divided by the mean of the rule.

    Guards against this failure: a target takes five times as long as the others. By its load it
    looks idle, because it has slots for many more calls than it gets, and requests that must not
    be sent again time out there. Ratios are formed within a rule, since rules differ: a lookup
    takes a tenth of the time of a release.
    """

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._ratios: dict[str, tuple[float, float]] = {}

    def record(
        self, now: float, instance: str, rule: str, seconds: float, *, completed: bool
    ) -> None:
        """Record the duration of a call; unless ``completed``, its answer would have taken longer.

        An incomplete call that is shorter than the mean of its rule is ignored: it does not show
        how long the target takes.
        """
        mean = self._means.get(rule)
        if not completed and (mean is None or seconds < mean):
            return
        if mean is None:
            if len(self._means) >= MAX_RULES:
                self._means.clear()
            mean = self._means[rule] = seconds
        elif completed:
            self._means[rule] = mean + MEAN_WEIGHT * (seconds - mean)
        call_ratio = min(seconds / mean, MAX_RATIO) if mean else 1.0
        ratio = self.ratio(now, instance)
        self._ratios[instance] = (ratio + RATIO_WEIGHT * (call_ratio - ratio), now)

    def ratio(self, now: float, instance: str) -> float:
        """Return the ratio of a target: 1 is the mean (also if unknown), 2 takes twice as long."""
        known = self._ratios.get(instance)
        if known is None:
            return 1.0
        ratio, updated_at = known
        return 1 + (ratio - 1) * exp((updated_at - now) / DECAY_SECONDS)

    def snapshot_means(self) -> list[RuleTime]:
        """Return the mean duration of the calls of each rule."""
        return [RuleTime(rule, seconds) for rule, seconds in self._means.items() if seconds > 0]

    def restore_means(self, means: list[RuleTime]) -> int:
        """Take over the mean of each unknown rule; return their number."""
        unknown = [mean for mean in means if mean.rule not in self._means]
        self._means.update({mean.rule: mean.seconds for mean in unknown})
        return len(unknown)

    def snapshot_ratios(self, now: float, incarnations: dict[str, int]) -> list[TargetRatio]:
        """Return the ratios that have not decayed, the largest first.

        ``incarnations`` are those of the known targets, by instance.
        """
        ratios = [
            TargetRatio(instance, incarnations[instance], ratio, max(now - updated_at, 0.0))
            for instance, (ratio, updated_at) in self._ratios.items()
            if instance in incarnations and ratio > 0 and now - updated_at <= DECAY_SECONDS
        ]
        return sorted(ratios, key=lambda entry: -entry.ratio)

    def restore_ratios(
        self, now: float, ratios: list[TargetRatio], age: float, incarnations: dict[str, int]
    ) -> int:
        """Take over ratios of targets that are still the same incarnation; return their number."""
        usable = [
            entry
            for entry in ratios
            if entry.instance not in self._ratios
            and incarnations.get(entry.instance) == entry.incarnation
        ]
        for entry in usable:
            self._ratios[entry.instance] = (min(entry.ratio, MAX_RATIO), now - entry.age - age)
        return len(usable)

    def forget(self, instance: str) -> None:
        """Drop the ratio of a target."""
        self._ratios.pop(instance, None)
