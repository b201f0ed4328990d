"""Speed of targets as their nodes report it, and the completion time expected from it."""

from math import exp
from typing import NamedTuple

import msgspec

MAX_REPORTED_SECONDS = 60.0  #: beyond any deadline; a larger figure is a fault of the reporter
#: Age in seconds until which a report counts in full. Later it decays towards the mean of the
#: service, so that a target that was slow gets calls again, which show whether it still is.
FRESH_SECONDS = 2.0
DECAY_SECONDS = 2.0  #: time constant of that decay
#: Time constant in seconds with which the deviation from the usual speed of a target is forgotten:
#: noisy neighbours slow a target for 0.6 s.
DEVIATION_SECONDS = 0.6
WAIT_SECONDS = 0.3  #: time constant of a reported wait; queues empty within such a time
USUAL_WEIGHT = 0.1  #: weight of one report in the usual speed of a target
MEAN_REPORTS = 50  #: reports that count in a mean of the service
#: Weight of one call in the excess over the reported time, and the seconds in which the excess
#: decays while no call updates it.
EXCESS_WEIGHT = 0.15
EXCESS_DECAY_SECONDS = 5.0
#: Excess relative to the service time that is usual: some calls take several times the mean.
USUAL_EXCESS_RATIO = 2.5
#: Share of the calls that a target gets at the beginning of its warm-up. Some calls are needed to
#: warm it up and to renew its report.
MIN_WARMUP_SHARE = 0.1
#: A warm-up that ends so many seconds later than known belongs to a new start; less is delay.
RESTART_TOLERANCE_SECONDS = 0.5
MAX_RULES = 4096  #: rules whose mean is kept; a configuration grows by some hundred routes


class TargetSpeed(msgspec.Struct, array_like=True, frozen=True):
    """The speed of a target for one rule, as its node measures it over all calls; in seconds."""

    service_seconds: float = 0.0  #: mean service time of the call's rule, 0 if not yet known
    wait_seconds: float = 0.0  #: expected wait in the queue
    warmup_seconds: float = 0.0  #: rest of the warm-up, 0 for a warm target

    @property
    def is_plausible(self) -> bool:
        """Whether all figures can be used; a comparison with NaN is false."""
        figures = (self.service_seconds, self.wait_seconds, self.warmup_seconds)
        return all(0 <= figure <= MAX_REPORTED_SECONDS for figure in figures)


class ExpectedTime(NamedTuple):
    """Expected times of a call at a target, in seconds."""

    service: float
    wait: float


class _Report(NamedTuple):
    """The latest report of a target. Ratios are relative to the mean of the service."""

    reported_at: float
    ratio: float
    usual_ratio: float
    reports: int  #: number of reports in the usual ratio
    wait_seconds: float
    warm_at: float  #: time at which the warm-up ends
    warmup_length: float  #: seconds of warm-up that were left in the first report of this start


class _Mean:
    """Mean of all reports up to ``MEAN_REPORTS``, then a moving average."""

    __slots__ = ('count', 'value')

    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0

    def add(self, value: float) -> None:
        self.count = min(self.count + 1, MEAN_REPORTS)
        self.value += (value - self.value) / self.count


class TargetSpeeds:
    """The reported speed of each target, and the times expected from it.

    Reports of one target are of different rules, and rules differ in their times. So a target is
    known by its ratio to the mean of the rule over all targets.
    """

    def __init__(self) -> None:
        self._means: dict[str, _Mean] = {}  #: service time of all targets, by rule
        self._mean_of_all_rules = _Mean()
        self._mean_wait = _Mean()
        self._reports: dict[str, _Report] = {}
        #: By target: mean seconds by which its calls exceed the reported time, and when updated.
        self._excesses: dict[str, tuple[float, float]] = {}

    def __contains__(self, instance: str) -> bool:
        return instance in self._reports

    def record(self, now: float, instance: str, rule: str, speed: TargetSpeed | None) -> None:
        """Record what came with a response to a call of ``rule``; None if it reported no speed.

        Implausible figures count as no report. A node that stops reporting, such as one replaced
        by an older build, is forgotten.
        """
        if speed is None or not speed.is_plausible:
            self.forget(instance)
            return
        warm_at = now + speed.warmup_seconds
        previous = self._reports.get(instance)
        if previous is not None and _has_restarted(now, previous, speed):
            previous = None
        ratio = self._record_ratio(rule, speed.service_seconds)
        self._mean_wait.add(speed.wait_seconds)
        if previous is None:
            report = _Report(
                now, ratio, ratio, 1, speed.wait_seconds, warm_at, speed.warmup_seconds
            )
        else:
            reports = previous.reports + (not speed.warmup_seconds)
            weight = max(1 / reports, USUAL_WEIGHT) if reports > previous.reports else 0.0
            usual = previous.usual_ratio + weight * (ratio - previous.usual_ratio)
            report = previous._replace(
                reported_at=now,
                ratio=ratio,
                usual_ratio=usual,
                reports=reports,
                wait_seconds=speed.wait_seconds,
                warm_at=warm_at,
                warmup_length=max(previous.warmup_length, speed.warmup_seconds),
            )
        self._reports[instance] = report

    def record_duration(
        self, now: float, instance: str, rule: str, seconds: float, *, completed: bool
    ) -> None:
        """Record how long a call took for this sender; one not ``completed`` would take longer.

        Guards against what a node cannot report: calls get stuck on the way to it, or it hangs
        and reports nothing, while its last report is that of a fast target.
        """
        if instance not in self._reports:
            return
        excess = seconds - sum(self.expected(now, instance, rule))
        if completed or excess > 0:
            mean = self._excess(now, instance)
            self._excesses[instance] = mean + EXCESS_WEIGHT * (max(excess, 0.0) - mean), now

    def unexplained_seconds(self, now: float, instance: str, service_seconds: float) -> float:
        """Return the seconds by which calls take longer than reports and chance explain."""
        return max(self._excess(now, instance) - USUAL_EXCESS_RATIO * service_seconds, 0.0)

    def _excess(self, now: float, instance: str) -> float:
        mean, updated_at = self._excesses.get(instance, (0.0, now))
        return mean * exp((updated_at - now) / EXCESS_DECAY_SECONDS)

    def expected(self, now: float, instance: str, rule: str) -> ExpectedTime:
        """Return the expected times of a call of ``rule``; those of the mean if not reported."""
        mean = self._means.get(rule, self._mean_of_all_rules).value
        report = self._reports.get(instance)
        if report is None:
            return ExpectedTime(mean, self._mean_wait.value)
        age = now - report.reported_at
        deviation = (report.ratio - report.usual_ratio) * exp(-age / DEVIATION_SECONDS)
        ratio = report.usual_ratio + deviation
        if age > FRESH_SECONDS:
            ratio = 1 + (ratio - 1) * exp((FRESH_SECONDS - age) / DECAY_SECONDS)
        mean_wait = self._mean_wait.value
        wait = mean_wait + (report.wait_seconds - mean_wait) * exp(-age / WAIT_SECONDS)
        return ExpectedTime(ratio * mean, wait)

    def warmup_share(self, now: float, instance: str) -> float:
        """Return the share of its usual calls that a target gets; 1 when it is warm."""
        report = self._reports.get(instance)
        if report is None or now >= report.warm_at:
            return 1.0
        return max(1 - (report.warm_at - now) / report.warmup_length, MIN_WARMUP_SHARE)

    def forget(self, instance: str) -> None:
        """Drop the report and the excess of a target."""
        self._reports.pop(instance, None)
        self._excesses.pop(instance, None)

    def _record_ratio(self, rule: str, seconds: float) -> float:
        """Add a reported service time to the means, and return its ratio to that of its rule."""
        if not seconds:
            return 1.0
        if rule not in self._means and len(self._means) >= MAX_RULES:
            self._means.clear()
        mean = self._means.setdefault(rule, _Mean())
        mean.add(seconds)
        self._mean_of_all_rules.add(seconds)
        return seconds / mean.value


def _has_restarted(now: float, previous: _Report, speed: TargetSpeed) -> bool:
    """Return whether a report is of a later start of the target, whose speed is not known."""
    warm_at = now + speed.warmup_seconds
    return speed.warmup_seconds > 0 and warm_at > previous.warm_at + RESTART_TOLERANCE_SECONDS
