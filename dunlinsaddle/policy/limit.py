"""The concurrency limit of one target, found from the target's own time alone."""

from typing import NamedTuple

FIRST_LIMIT = 8.0
WINDOW = 0.2  #: seconds between two decisions
LONGEST_WINDOW = 1.0
MIN_SAMPLES = 16
USED = 0.9  #: share of the limit that counts as using it
CALM = 1.1  #: inflation of own time below which growth is fast
INFLATED = 1.25
CUT = 0.8
FAST_GROWTH = 1.15
SLOW_GROWTH = 1.02
FALL = 0.3  #: how fast the baseline follows a faster target
DRIFT = 0.02  #: how fast it follows a slower one without proof
PROBE_AFTER = 5.0
LONGEST_PROBE = 60.0
COLD_SHARE = 0.25


class _Trial(NamedTuple):
    """A cut whose effect is awaited: what held before it, and since when it holds."""

    inflation: float
    limit: float
    since: float
    probe: bool


class AdaptiveLimit:
    """Grows while used and while the target's own time stays near its baseline.

    Inflated own time has two causes. When calls queue inside the target, a cut makes its
    own time fall. When the target itself has become slower, a cut leaves its own time and
    throughput falls with the limit (Little's law). So each cut is a trial: if own time did
    not fall, the baseline moves up and the limit comes back, where a plain multiplicative
    decrease would go on down to one call.
    """

    def __init__(self, first: float = FIRST_LIMIT, most: int = 1000) -> None:
        self.most = most
        self.first = min(first, most)
        self.value = self.first
        self._baselines: dict[str, float] = {}
        self._trial: _Trial | None = None
        self._probe_at = float('inf')
        self._probe_pause = PROBE_AFTER
        self._clear(0.0)

    def restarted(self, now: float) -> None:
        """Start slowly: a target that has just come up is cold."""
        self.value = max(min(self.value, self.first) * COLD_SHARE, 1.0)
        self._trial = None
        self._clear(now)

    def used(self, inflight: int) -> None:
        """Note how many calls run."""
        if inflight > self._peak:
            self._peak = inflight

    def finished(self, now: float, rule: str, own_time: float) -> None:
        """Note a completed call; seconds without its calls to other services."""
        baseline = self._baselines.get(rule)
        if baseline is None:
            baseline = self._baselines[rule] = max(own_time, 1e-6)
        self._sum += own_time / baseline
        self._samples += 1
        age = now - self._opened
        if age >= WINDOW and (self._samples >= MIN_SAMPLES or age >= LONGEST_WINDOW):
            self._decide(now, self._sum / self._samples)
            self._clear(now)

    def _clear(self, now: float) -> None:
        self._opened = now
        self._sum = 0.0
        self._samples = 0
        self._peak = 0

    def _decide(self, now: float, inflation: float) -> None:
        if self._trial is not None:
            self._judge(now, inflation, self._trial)
        elif inflation > INFLATED:
            self._cut(now, inflation, probe=False)
        elif now >= self._probe_at and self._peak >= USED * self.value:
            self._cut(now, inflation, probe=True)
        else:
            self._grow(inflation)
            self._move_baseline(inflation)

    def _cut(self, now: float, inflation: float, *, probe: bool) -> None:
        self._trial = _Trial(inflation, self.value, now, probe)
        self.value = max(min(self.value, self._peak) * CUT, 1.0)

    def _judge(self, now: float, inflation: float, trial: _Trial) -> None:
        # Calls that began before the cut still end in the first window after it.
        if now - trial.since < 2 * WINDOW:
            return
        self._trial = None
        fell = inflation < trial.inflation * (1 + CUT) / 2
        if fell:
            if trial.probe:
                self._scale(inflation)
                self._probe_at = now + WINDOW
            return
        self.value = min(trial.limit, self.most)
        if inflation > INFLATED:
            self._scale(inflation)
        pause = min(self._probe_pause * 2, LONGEST_PROBE) if trial.probe else PROBE_AFTER
        self._probe_pause = pause
        self._probe_at = now + pause

    def _grow(self, inflation: float) -> None:
        if self._peak < USED * self.value:
            return
        factor = FAST_GROWTH if inflation < CALM else SLOW_GROWTH
        self.value = min(max(self.value * factor, self.value + 1), self.most)

    def _move_baseline(self, inflation: float) -> None:
        if inflation < CUT:
            self._scale(inflation)
        else:
            rate = FALL if inflation < 1 else DRIFT
            self._scale(1 + rate * (inflation - 1))

    def _scale(self, factor: float) -> None:
        for rule in self._baselines:
            self._baselines[rule] *= factor
