"""Adaptive concurrency limit of one target, derived from the target's own time per call.

Own time is the duration of a call without the calls that it makes to other services. Inflation is
own time divided by the baseline of the call's rule.
"""

from typing import NamedTuple

INITIAL_LIMIT = 8.0
MIN_BASELINE_SAMPLES = 4  #: calls of a new rule in one cohort; their mean is its first baseline
MIN_COHORT_CALLS = 32
MAX_COHORT_CALLS = 96
COHORT_COMPLETE_SHARE = 0.9  #: share of a cohort that must have ended
MAX_COHORT_SECONDS = 10.0  #: after that, a quarter of MIN_COHORT_CALLS is enough
LIMIT_USED_SHARE = 0.9  #: share of the limit from which it counts as used
LOW_INFLATION = 1.15  #: inflation below which the limit grows fast
HIGH_INFLATION = 1.25
SIGNIFICANT_STANDARD_ERRORS = 3.5  #: inflation above the baseline that is not random variation
MILDEST_CUT_FACTOR = 0.75  #: factor of the smallest cut, also used for probes
DEEPEST_CUT_FACTOR = 0.5  #: factor of the largest cut
SLOW_START_STEP = 0.5  #: growth per completed call until own time is inflated for the first time
RECOVERY_STEP = 1.0  #: growth per completed call below a limit that ran without inflation before
FAST_GROWTH_FACTOR = 1.15
SLOW_GROWTH_FACTOR = 1.05
BASELINE_RESET_INFLATION = 0.7  #: inflation below which the baseline is lowered in one step
RULE_ALIGNMENT_WEIGHT = 0.2  #: weight with which a rule's baseline follows that of the others
BASELINE_FALL_WEIGHT = 0.2  #: weight with which the baseline follows a target that got faster
BASELINE_RISE_WEIGHT = 0.1  #: weight with which it follows a slower one without a trial
FIRST_PROBE_SECONDS = 2.0  #: early: the initial limit, and so the first baseline, may be too high
PROBE_INTERVAL_SECONDS = 5.0
MAX_PROBE_INTERVAL_SECONDS = 60.0
COLD_START_SHARE = 0.25  #: share of the limit with which a restarted target begins
MIN_PROVEN_SHARE = 0.7  #: share of the proven limit that no cut goes below
PROVEN_LIMIT_DECAY = 0.99  #: factor applied to the proven limit at each decision


class _Trial(NamedTuple):
    """A cut whose effect is being measured, and the state before it."""

    inflation: float
    limit: float
    cut_factor: float
    is_probe: bool


class _Cohort:
    """Calls that all started under the same limit; their mean inflation shows its effect.

    The calls that end within a time window would be a biased sample: short calls that started
    under the new limit and long calls that started under the old one. A cohort has the same
    mixture each time.
    """

    def __init__(self, number: int, size: int, opened_at: float) -> None:
        self.number = number
        self.size = size
        self.opened_at = opened_at
        self.started = 0
        self.ended = 0
        self.samples = 0
        self.inflation_sum = 0.0
        self.inflation_square_sum = 0.0
        self.peak_inflight = 0
        self.inflations: dict[str, list[float]] = {}  #: by rule, for rules with a baseline
        self.new_rule_times: dict[str, list[float]] = {}  #: own times of rules without a baseline

    def is_complete(self, now: float) -> bool:
        """Return whether enough of its calls have ended."""
        if self.ended >= self.size * COHORT_COMPLETE_SHARE:
            return True
        return now - self.opened_at > MAX_COHORT_SECONDS and self.ended >= MIN_COHORT_CALLS / 4

    def mean(self) -> float:
        """Return the mean inflation."""
        return self.inflation_sum / self.samples

    def standard_error(self) -> float:
        """Return the standard error of the mean inflation."""
        mean = self.mean()
        variance = max(self.inflation_square_sum / self.samples - mean * mean, 0.0)
        return float((variance / self.samples) ** 0.5)


class AdaptiveLimit:
    """Grows while it is used and while the target's own time stays near its baseline.

    Own time rises for two reasons. When calls queue inside the target, a cut of the limit makes
    own time fall. When the target itself has become slower, a cut does not change own time, and
    throughput falls with the limit (Little's law). So each cut is a trial: if own time does not
    fall, the baseline is raised and the limit restored. A plain multiplicative decrease would
    continue down to one call.
    """

    def __init__(self, initial: float = 0, max_limit: int = 1000) -> None:
        """Start at the configured initial limit; 0 if none is configured."""
        self.max_limit = max_limit
        self.initial = min(initial or INITIAL_LIMIT, max_limit)
        self.value = self.initial
        self._is_configured = initial > 0
        self._baselines: dict[str, float] = {}
        self._inflation = 1.0
        self._slow_start = True
        self._limit_before_restart = 0.0  #: 0 once the limit has reached it again
        self._proven_limit = 0.0  #: highest number of concurrent calls without inflation
        self._trial: _Trial | None = None
        self._next_probe_at = FIRST_PROBE_SECONDS
        self._probe_interval = PROBE_INTERVAL_SECONDS
        self._cohort = _Cohort(0, MIN_COHORT_CALLS, 0.0)

    @property
    def is_in_initial_growth(self) -> bool:
        """Whether the limit is still in slow start from the default initial limit."""
        return self._slow_start and not self._is_configured

    def set_initial_limit(self, initial: float, max_limit: int) -> None:
        """Set the configured initial limit (0 for none) and the upper bound.

        The initial limit is ignored once there are baselines.
        """
        limit = initial or INITIAL_LIMIT
        self.max_limit = max_limit
        if limit != self.initial and not self._baselines:
            self.value = limit
        self._is_configured = initial > 0
        self.initial = min(limit, max_limit)
        self.value = min(self.value, max_limit)

    def reset_after_restart(self, now: float) -> None:
        """Return to slow start: a target that has just started is cold.

        Its own time is inflated at first and falls without any cut. A trial would attribute that
        to its cut, so there are none until the limit is back at its value before the restart.
        """
        self._limit_before_restart = (
            max(self.value, self._limit_before_restart) if self._baselines else 0.0
        )
        cold_limit = min(self.value, self.initial) * COLD_START_SHARE
        self.value = max(cold_limit, min(self.initial, INITIAL_LIMIT))
        self._slow_start = True
        self._trial = None
        self._open_cohort(now)

    def record_start(self, inflight: int) -> int:
        """Record that a call starts; return the number of its cohort, -1 if it is in none."""
        cohort = self._cohort
        cohort.peak_inflight = max(cohort.peak_inflight, inflight)
        if cohort.started >= cohort.size:
            return -1
        cohort.started += 1
        return cohort.number

    def record_finish(self, now: float, number: int, rule: str, own_time: float | None) -> None:
        """Record the end of a call of cohort ``number``; its own time is None if it failed."""
        cohort = self._cohort
        if number != cohort.number:
            return
        cohort.ended += 1
        if own_time is not None:
            self._add_sample(cohort, rule, own_time)
        if cohort.is_complete(now):
            if cohort.samples:
                self._align_rules(cohort)
                self._decide(now, cohort)
            self._add_baselines(cohort)
            self._open_cohort(now)

    def _add_sample(self, cohort: _Cohort, rule: str, own_time: float) -> None:
        baseline = self._baselines.get(rule)
        if baseline is None:
            cohort.new_rule_times.setdefault(rule, []).append(own_time)
            if not self._baselines and not self._is_configured:
                # If the limit did not grow before the first baseline, nodes that have just started
                # would refuse callers for the time of some thirty calls, with most slots free.
                self._grow_in_slow_start(cohort)
            return
        inflation = own_time / baseline
        cohort.inflations.setdefault(rule, []).append(inflation)
        cohort.samples += 1
        cohort.inflation_sum += inflation
        cohort.inflation_square_sum += inflation * inflation
        if self._trial is not None:
            return
        if self.value < max(self._proven_limit, self._limit_before_restart):
            # Grows whether or not the limit is used: a low limit may itself cause too few calls
            # to be admitted to use it, and this many calls have run well before.
            self.value += RECOVERY_STEP
        else:
            self._grow_in_slow_start(cohort)

    def _grow_in_slow_start(self, cohort: _Cohort) -> None:
        if self._slow_start and cohort.peak_inflight >= LIMIT_USED_SHARE * self.value:
            self.value = min(self.value + SLOW_START_STEP, self.max_limit)

    def _add_baselines(self, cohort: _Cohort) -> None:
        """Set the first baselines of new rules of which the cohort has enough samples."""
        for rule, times in cohort.new_rule_times.items():
            if len(times) >= MIN_BASELINE_SAMPLES:
                mean = sum(times) / len(times)
                self._baselines[rule] = max(mean / self._inflation, 1e-6)

    def _align_rules(self, cohort: _Cohort) -> None:
        """Move the baselines of rules whose inflation differs from the mean of all rules.

        The baseline of a rule that is rare, or that was first seen while the target was slow, does
        not fit those of the others; its calls alone would look inflated for ever.
        """
        mean = cohort.mean()
        for rule, inflations in cohort.inflations.items():
            rule_mean = sum(inflations) / len(inflations)
            weight = RULE_ALIGNMENT_WEIGHT * min(len(inflations) / MIN_BASELINE_SAMPLES, 1.0)
            self._baselines[rule] *= 1 + weight * (rule_mean / mean - 1)

    def _open_cohort(self, now: float) -> None:
        size = int(min(max(self.value / 2, MIN_COHORT_CALLS), MAX_COHORT_CALLS))
        self._cohort = _Cohort(self._cohort.number + 1, size, now)

    def _decide(self, now: float, cohort: _Cohort) -> None:
        inflation = cohort.mean()
        self._inflation = inflation
        if self.value < self._limit_before_restart:
            return
        self._limit_before_restart = 0.0
        self._proven_limit *= PROVEN_LIMIT_DECAY
        if inflation < LOW_INFLATION:
            self._proven_limit = max(self._proven_limit, min(cohort.peak_inflight, self.value))
        floor = self._proven_limit * MIN_PROVEN_SHARE
        if self._trial is not None:
            self._end_trial(now, inflation, self._trial)
        elif inflation > max(
            HIGH_INFLATION, 1 + SIGNIFICANT_STANDARD_ERRORS * cohort.standard_error()
        ):
            if self.value <= floor:
                # Fewer calls run than ran without inflation before, so nothing queues inside the
                # target: it is cold or slow.
                self.value = min(self.value * FAST_GROWTH_FACTOR, floor)
                return
            self._slow_start = False
            self._cut(
                cohort,
                max(min(MILDEST_CUT_FACTOR, 1 / inflation), DEEPEST_CUT_FACTOR),
                is_probe=False,
            )
        elif now >= self._next_probe_at and cohort.peak_inflight >= LIMIT_USED_SHARE * self.value:
            self._cut(cohort, MILDEST_CUT_FACTOR, is_probe=True)
        else:
            self._grow(inflation, cohort.peak_inflight)
            self._move_baseline(inflation)

    def _cut(self, cohort: _Cohort, cut_factor: float, *, is_probe: bool) -> None:
        self._trial = _Trial(cohort.mean(), self.value, cut_factor, is_probe)
        # A target that slows down keeps its slots. Without a floor, cuts caused by random variation
        # or by the slowdown would add up, and the limit would take long to grow back.
        floor = max(self._proven_limit * MIN_PROVEN_SHARE, 1.0)
        self.value = min(max(min(self.value, cohort.peak_inflight) * cut_factor, floor), self.value)

    def _end_trial(self, now: float, inflation: float, trial: _Trial) -> None:
        self._trial = None
        if inflation < trial.inflation * (1 + trial.cut_factor) / 2:
            self._proven_limit = min(self._proven_limit, trial.limit * trial.cut_factor)
            if trial.is_probe:
                self._scale_baselines(inflation)
                self._next_probe_at = now
            return
        self.value = min(trial.limit, max(self._proven_limit, self.value), self.max_limit)
        if inflation > HIGH_INFLATION:
            self._scale_baselines(inflation)
        interval = (
            min(self._probe_interval * 2, MAX_PROBE_INTERVAL_SECONDS)
            if trial.is_probe
            else PROBE_INTERVAL_SECONDS
        )
        self._probe_interval = interval
        self._next_probe_at = now + interval

    def _grow(self, inflation: float, peak_inflight: int) -> None:
        if self._slow_start or peak_inflight < LIMIT_USED_SHARE * self.value:
            return
        factor = FAST_GROWTH_FACTOR if inflation < LOW_INFLATION else SLOW_GROWTH_FACTOR
        self.value = min(max(self.value * factor, self.value + 1), self.max_limit)

    def _move_baseline(self, inflation: float) -> None:
        if inflation < BASELINE_RESET_INFLATION:
            self._scale_baselines(inflation)
        else:
            weight = BASELINE_FALL_WEIGHT if inflation < 1 else BASELINE_RISE_WEIGHT
            self._scale_baselines(1 + weight * (inflation - 1))

    def _scale_baselines(self, factor: float) -> None:
        for rule in self._baselines:
            self._baselines[rule] *= factor
        self._inflation /= factor
