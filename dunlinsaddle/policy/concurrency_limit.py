"""The concurrency limit of one target, found from the target's own time alone."""

from typing import NamedTuple

INITIAL_LIMIT = 8.0
FIRST_SAMPLES = 4  #: of a rule in one cohort, whose mean is its first baseline
FEWEST = 32  #: calls in a cohort, at least
MOST = 96
ENOUGH = 0.9  #: share of a cohort that must have ended
LONGEST_COHORT = 10.0  #: seconds; then a quarter of the calls must do
USED = 0.9  #: share of the limit that counts as using it
CALM = 1.15  #: inflation of own time below which growth is fast
INFLATED = 1.25
CERTAIN = 3.5  #: standard errors above the baseline that are no chance
CUT = 0.75  #: the smallest cut
DEEPEST_CUT = 0.5
FIRST_GROWTH = 0.5  #: for each completed call, until own time is inflated for the first time
KNOWN_GROWTH = 1.0  #: the same below what has run well before
FAST_GROWTH = 1.15
SLOW_GROWTH = 1.05
MUCH_FASTER = 0.7  #: inflation below which the baseline follows at once
ALIGN = 0.2  #: how fast a rule's baseline follows that of the others
FALL = 0.2  #: how fast the baseline follows a faster target
DRIFT = 0.1  #: how fast it follows a slower one without proof
FIRST_PROBE = 2.0  #: the first guess may be far too high, and the first baseline with it
PROBE_AFTER = 5.0
LONGEST_PROBE = 60.0
COLD_SHARE = 0.25
FLOOR = 0.7  #: share of the proven limit that no cut goes below
FORGET = 0.99  #: what a decision leaves of the proven limit


class _Trial(NamedTuple):
    """A cut whose effect is awaited, and what held before it."""

    inflation: float
    limit: float
    cut: float
    probe: bool


class _Cohort:
    """Calls that all began under one limit; their mean own time tells what it does.

    Judging by the calls that end within a window would count the short ones of the new
    limit and the long ones of the old. A cohort is the same mixture each time.
    """

    def __init__(self, number: int, size: int, opened: float) -> None:
        self.number = number
        self.size = size
        self.opened = opened
        self.started = 0
        self.ended = 0
        self.samples = 0
        self.total = 0.0
        self.squares = 0.0
        self.peak = 0
        self.by_rule: dict[str, list[float]] = {}  #: inflations of rules with a baseline
        self.new_rule_times: dict[str, list[float]] = {}  #: own times of rules without a baseline

    def complete(self, now: float) -> bool:
        """Say whether enough of it has ended."""
        if self.ended >= self.size * ENOUGH:
            return True
        return now - self.opened > LONGEST_COHORT and self.ended >= FEWEST / 4

    def mean(self) -> float:
        """Give the mean inflation."""
        return self.total / self.samples

    def error(self) -> float:
        """Give the standard error of the mean."""
        mean = self.mean()
        variance = max(self.squares / self.samples - mean * mean, 0.0)
        return float((variance / self.samples) ** 0.5)


class AdaptiveLimit:
    """Grows while used and while the target's own time stays near its baseline.

    Inflated own time has two causes. When calls queue inside the target, a cut makes its
    own time fall. When the target itself has become slower, a cut leaves its own time and
    throughput falls with the limit (Little's law). So each cut is a trial: if own time did
    not fall, the baseline moves up and the limit comes back, where a plain multiplicative
    decrease would go on down to one call.
    """

    def __init__(self, initial: float = 0, max_limit: int = 1000) -> None:
        """Begin with a first guess by who knows the target, 0 for none."""
        self.max_limit = max_limit
        self.initial = min(initial or INITIAL_LIMIT, max_limit)
        self.value = self.initial
        self._told = initial > 0
        self._baselines: dict[str, float] = {}
        self._inflation = 1.0
        self._slow_start = True
        self._return_to = 0.0  #: the limit before the target's restart, until it is back
        self._proven = 0.0  #: the most that ran without inflation
        self._trial: _Trial | None = None
        self._probe_at = FIRST_PROBE
        self._probe_pause = PROBE_AFTER
        self._cohort = _Cohort(0, FEWEST, 0.0)

    @property
    def is_in_initial_growth(self) -> bool:
        """Whether it still rises from a first limit that nobody told."""
        return self._slow_start and not self._told

    def set_initial_limit(self, told: float, max_limit: int) -> None:
        """Take a first guess, 0 for none, and the upper bound; what was learned goes before it."""
        first = told or INITIAL_LIMIT
        self.max_limit = max_limit
        if first != self.initial and not self._baselines:
            self.value = first
        self._told = told > 0
        self.initial = min(first, max_limit)
        self.value = min(self.value, max_limit)

    def reset_after_restart(self, now: float) -> None:
        """Start slowly: a target that has just come up is cold.

        Its own time is inflated for a while, and falls by itself. A trial would take that
        for the effect of its cut; so up to the limit of before there are none.
        """
        self._return_to = max(self.value, self._return_to) if self._baselines else 0.0
        cold = min(self.value, self.initial) * COLD_SHARE
        self.value = max(cold, min(self.initial, INITIAL_LIMIT))
        self._slow_start = True
        self._trial = None
        self._open(now)

    def record_start(self, inflight: int) -> int:
        """Note that a call begins; gives the number of its cohort, -1 if it is in none."""
        cohort = self._cohort
        cohort.peak = max(cohort.peak, inflight)
        if cohort.started >= cohort.size:
            return -1
        cohort.started += 1
        return cohort.number

    def record_finish(self, now: float, number: int, rule: str, own_time: float | None) -> None:
        """Note the end of a call: seconds without its calls to others, None if it failed."""
        cohort = self._cohort
        if number != cohort.number:
            return
        cohort.ended += 1
        if own_time is not None:
            self._take(cohort, rule, own_time)
        if cohort.complete(now):
            if cohort.samples:
                self._align_rules(cohort)
                self._decide(now, cohort)
            self._add_baselines(cohort)
            self._open(now)

    def _take(self, cohort: _Cohort, rule: str, own_time: float) -> None:
        baseline = self._baselines.get(rule)
        if baseline is None:
            cohort.new_rule_times.setdefault(rule, []).append(own_time)
            if not self._baselines and not self._told:
                # Held until there is a baseline, a fleet that has just started refuses callers
                # for the time of some thirty calls, with most of its slots free.
                self._start_slowly(cohort)
            return
        ratio = own_time / baseline
        cohort.by_rule.setdefault(rule, []).append(ratio)
        cohort.samples += 1
        cohort.total += ratio
        cohort.squares += ratio * ratio
        if self._trial is not None:
            return
        if self.value < max(self._proven, self._return_to):
            # Too little may be let in to use the limit, as long as it is the limit that
            # holds back: what has run well before needs no such sign.
            self.value += KNOWN_GROWTH
        else:
            self._start_slowly(cohort)

    def _start_slowly(self, cohort: _Cohort) -> None:
        if self._slow_start and cohort.peak >= USED * self.value:
            self.value = min(self.value + FIRST_GROWTH, self.max_limit)

    def _add_baselines(self, cohort: _Cohort) -> None:
        """Take the first baselines of rules that are new, as far as the cohort has enough."""
        for rule, times in cohort.new_rule_times.items():
            if len(times) >= FIRST_SAMPLES:
                mean = sum(times) / len(times)
                self._baselines[rule] = max(mean / self._inflation, 1e-6)

    def _align_rules(self, cohort: _Cohort) -> None:
        """Let rules whose inflation stands out follow the mean of all.

        A rule that is rare, or was first seen while the target was slow, has a baseline
        that does not fit the others'; its calls alone would look like inflation for ever.
        """
        mean = cohort.mean()
        for rule, ratios in cohort.by_rule.items():
            own = sum(ratios) / len(ratios)
            weight = ALIGN * min(len(ratios) / FIRST_SAMPLES, 1.0)
            self._baselines[rule] *= 1 + weight * (own / mean - 1)

    def _open(self, now: float) -> None:
        size = int(min(max(self.value / 2, FEWEST), MOST))
        self._cohort = _Cohort(self._cohort.number + 1, size, now)

    def _decide(self, now: float, cohort: _Cohort) -> None:
        inflation = cohort.mean()
        self._inflation = inflation
        if self.value < self._return_to:
            return
        self._return_to = 0.0
        self._proven *= FORGET
        if inflation < CALM:
            self._proven = max(self._proven, min(cohort.peak, self.value))
        floor = self._proven * FLOOR
        if self._trial is not None:
            self._judge(now, inflation, self._trial)
        elif inflation > max(INFLATED, 1 + CERTAIN * cohort.error()):
            if self.value <= floor:
                # Fewer run than have run well before: it is cold or slow, nothing queues.
                self.value = min(self.value * FAST_GROWTH, floor)
                return
            self._slow_start = False
            self._cut(cohort, max(min(CUT, 1 / inflation), DEEPEST_CUT), probe=False)
        elif now >= self._probe_at and cohort.peak >= USED * self.value:
            self._cut(cohort, CUT, probe=True)
        else:
            self._grow(inflation, cohort.peak)
            self._move_baseline(inflation)

    def _cut(self, cohort: _Cohort, cut: float, *, probe: bool) -> None:
        self._trial = _Trial(cohort.mean(), self.value, cut, probe)
        # A target that slows down keeps its slots. Cuts made by chance, or while it slowed,
        # would otherwise add up, and take long to grow back.
        floor = max(self._proven * FLOOR, 1.0)
        self.value = min(max(min(self.value, cohort.peak) * cut, floor), self.value)

    def _judge(self, now: float, inflation: float, trial: _Trial) -> None:
        self._trial = None
        if inflation < trial.inflation * (1 + trial.cut) / 2:
            self._proven = min(self._proven, trial.limit * trial.cut)
            if trial.probe:
                self._scale(inflation)
                self._probe_at = now
            return
        self.value = min(trial.limit, max(self._proven, self.value), self.max_limit)
        if inflation > INFLATED:
            self._scale(inflation)
        pause = min(self._probe_pause * 2, LONGEST_PROBE) if trial.probe else PROBE_AFTER
        self._probe_pause = pause
        self._probe_at = now + pause

    def _grow(self, inflation: float, peak: int) -> None:
        if self._slow_start or peak < USED * self.value:
            return
        factor = FAST_GROWTH if inflation < CALM else SLOW_GROWTH
        self.value = min(max(self.value * factor, self.value + 1), self.max_limit)

    def _move_baseline(self, inflation: float) -> None:
        if inflation < MUCH_FASTER:
            self._scale(inflation)
        else:
            rate = FALL if inflation < 1 else DRIFT
            self._scale(1 + rate * (inflation - 1))

    def _scale(self, factor: float) -> None:
        for rule in self._baselines:
            self._baselines[rule] *= factor
        self._inflation /= factor
