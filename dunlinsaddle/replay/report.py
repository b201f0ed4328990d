"""The figures of a replay, and whether the expected outcomes were met."""

from collections import Counter
from typing import NamedTuple

from dunlinsaddle.records.models import Rank
from dunlinsaddle.replay.capacity import max_served_rates, saturation_rate
from dunlinsaddle.replay.run import ReplayResult, Request
from dunlinsaddle.replay.trace import Expect, Trace

BIN_SECONDS = 0.25
WINDOW_BINS = 4
RECOVERED_SHARE = 0.99


class Figures(NamedTuple):
    """The figures of one trace under one policy. Shares are from 0 to 1, times in seconds."""

    goodput: float  #: successful requests as a share of what the capacity allows
    recovery: float  #: time from the trigger's end to 99% of steady goodput; inf if never
    critical: float  #: share of critical requests that succeeded
    wasted: float  #: share of target calls spent on attempts that failed
    fairness: float  #: Jain's index over the shares of each caller's requests that succeeded
    resends: int  #: highest number of resends inside the fleet for one attempt
    deaths: int  #: crashes of targets caused by a request
    median: float  #: median duration of successful requests
    requests: int


class OutcomeCheck(NamedTuple):
    """One expected outcome and the measured value."""

    expect: Expect
    measured: float
    met: bool


def compute_figures(result: ReplayResult) -> Figures:
    """Compute the figures of a replay."""
    start = result.trace.header.warm_up
    reqs = [r for r in result.requests if start <= r.arrived_at < result.trace.header.duration]
    calls = sum(a.calls_started for r in reqs for a in r.attempts)
    wasted_calls = sum(a.wasted_calls for r in reqs for a in r.attempts)
    times = sorted(r.ended_at - r.arrived_at for r in reqs if r.succeeded)
    return Figures(
        goodput=_goodput(result),
        recovery=_recovery(result),
        critical=_success_share([r for r in reqs if r.rank is Rank.CRITICAL and not r.kills]),
        wasted=wasted_calls / calls if calls else 0.0,
        fairness=_fairness(reqs),
        resends=max((a.resent for r in result.requests for a in r.attempts), default=0),
        deaths=result.deaths,
        median=times[len(times) // 2] if times else 0.0,
        requests=len(reqs),
    )


def check_outcomes(trace: Trace, policy: str, measured: Figures) -> list[OutcomeCheck]:
    """Compare figures with the outcomes that the trace expects under a policy."""
    results = []
    for expect in trace.expects:
        if expect.policy != policy:
            continue
        value = getattr(measured, expect.metric)
        met = value >= expect.value if expect.op == '>=' else value <= expect.value
        results.append(OutcomeCheck(expect, value, met))
    return results


def _success_share(reqs: list[Request]) -> float:
    return sum(r.succeeded for r in reqs) / len(reqs) if reqs else 1.0


def _goodput(result: ReplayResult) -> float:
    """Return goodput relative to the capacity without faults, so a fault lowers it.

    A request counts at the time of its response; one that still waits at the end has not
    succeeded.
    """
    trace = result.trace
    start, end = trace.header.warm_up, trace.header.duration
    max_successes = 0.0
    full_rate = saturation_rate(trace)
    for demand in trace.demands:
        seconds = min(demand.until, end) - max(demand.at, start)
        max_successes += max(seconds, 0.0) * sum(
            max_served_rates(trace, demand.load * full_rate).values()
        )
    succeeded = sum(r.succeeded and start <= r.ended_at < end for r in result.requests)
    return succeeded / max_successes if max_successes else 1.0


def _recovery(result: ReplayResult) -> float:
    """Return the time from the end of the trigger until the fleet has recovered.

    Requests are grouped by arrival in windows of one second that start a bin apart. The fleet
    has recovered at the first window whose share of successful requests is at least 99% of the
    share before the trigger.
    """
    end, start = result.trace.trigger_end(), result.trace.trigger_start()
    if end is None or start is None:
        return 0.0
    steady = [r for r in result.requests if result.trace.header.warm_up <= r.arrived_at < start]
    required_share = RECOVERED_SHARE * (_success_share(steady) if steady else 1.0)
    bin_count = int((result.trace.header.duration - end) / BIN_SECONDS)
    total: Counter[int] = Counter()
    succeeded: Counter[int] = Counter()
    for req in result.requests:
        bin_index = int((req.arrived_at - end) // BIN_SECONDS)
        total[bin_index] += 1
        succeeded[bin_index] += req.succeeded
    for i in range(bin_count - WINDOW_BINS + 1):
        bins = range(i, i + WINDOW_BINS)
        if sum(succeeded[b] for b in bins) >= required_share * sum(total[b] for b in bins):
            return i * BIN_SECONDS
    return float('inf')


def _fairness(reqs: list[Request]) -> float:
    """Return Jain's index over the shares of each caller's requests that succeeded."""
    total: Counter[str] = Counter()
    succeeded: Counter[str] = Counter()
    for req in reqs:
        total[req.caller] += 1
        succeeded[req.caller] += req.succeeded
    shares = [succeeded[c] / total[c] for c in total if c.startswith('caller-')]
    squares = sum(s * s for s in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0


def ordered_figure_names(trace: Trace) -> list[str]:
    """Return the names of the figures, starting with the one that the trace reports first."""
    first = trace.header.first
    return [first, *(name for name in Figures._fields if name != first)]


def format_figure(value: float) -> str:
    """Format a figure for display."""
    if value == float('inf'):
        return 'never'
    return str(value) if isinstance(value, int) else f'{value:.4f}'
