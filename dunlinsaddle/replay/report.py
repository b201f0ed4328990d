"""The figures of a replay, and whether the stated outcomes were met."""

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
    """What one policy made of one trace. Shares from 0 to 1, times in seconds."""

    goodput: float  #: whole requests as a share of what capacity allows
    recovery: float  #: from the trigger's end to 99% of steady goodput; inf if never
    critical: float  #: share of critical requests that came whole
    wasted: float  #: share of target calls spent on sendings that failed
    fairness: float  #: Jain's index over the callers' completed shares
    resends: int  #: the most resends inside the fleet for one sending
    deaths: int  #: targets that died of a request
    median: float  #: time of whole requests
    requests: int


class OutcomeCheck(NamedTuple):
    """One stated outcome and what was measured."""

    expect: Expect
    measured: float
    met: bool


def compute_figures(run: ReplayResult) -> Figures:
    """Work out the figures of a run."""
    start = run.trace.header.warm_up
    reqs = [r for r in run.requests if start <= r.arrived_at < run.trace.header.duration]
    calls = sum(a.calls_started for r in reqs for a in r.attempts)
    wasted_calls = sum(a.wasted_calls for r in reqs for a in r.attempts)
    times = sorted(r.ended_at - r.arrived_at for r in reqs if r.succeeded)
    return Figures(
        goodput=_goodput(run),
        recovery=_recovery(run),
        critical=_share([r for r in reqs if r.rank is Rank.CRITICAL and not r.kills]),
        wasted=wasted_calls / calls if calls else 0.0,
        fairness=_fairness(reqs),
        resends=max((a.resent for r in run.requests for a in r.attempts), default=0),
        deaths=run.deaths,
        median=times[len(times) // 2] if times else 0.0,
        requests=len(reqs),
    )


def check_outcomes(trace: Trace, policy: str, measured: Figures) -> list[OutcomeCheck]:
    """Compare figures with the outcomes that the trace states for a policy."""
    found = []
    for expect in trace.expects:
        if expect.policy != policy:
            continue
        value = getattr(measured, expect.metric)
        met = value >= expect.value if expect.op == '>=' else value <= expect.value
        found.append(OutcomeCheck(expect, value, met))
    return found


def _share(reqs: list[Request]) -> float:
    return sum(r.succeeded for r in reqs) / len(reqs) if reqs else 1.0


def _goodput(run: ReplayResult) -> float:
    """Compare with capacity as it is without faults: what a fault takes counts as lost.

    Requests count by the time of their answer: what still waits at the end has not come.
    """
    trace = run.trace
    start, end = trace.header.warm_up, trace.header.duration
    possible = 0.0
    full = saturation_rate(trace)
    for demand in trace.demands:
        seconds = min(demand.until, end) - max(demand.at, start)
        possible += max(seconds, 0.0) * sum(max_served_rates(trace, demand.load * full).values())
    succeeded = sum(r.succeeded and start <= r.ended_at < end for r in run.requests)
    return succeeded / possible if possible else 1.0


def _recovery(run: ReplayResult) -> float:
    """Look at requests by their arrival, a second at a time, in steps of a bin.

    Recovered is the first second of which 99% of the steady share comes whole.
    """
    end, start = run.trace.trigger_end(), run.trace.trigger_start()
    if end is None or start is None:
        return 0.0
    steady = [r for r in run.requests if run.trace.header.warm_up <= r.arrived_at < start]
    wanted = RECOVERED_SHARE * (_share(steady) if steady else 1.0)
    last = int((run.trace.header.duration - end) / BIN_SECONDS)
    total: Counter[int] = Counter()
    succeeded: Counter[int] = Counter()
    for req in run.requests:
        number = int((req.arrived_at - end) // BIN_SECONDS)
        total[number] += 1
        succeeded[number] += req.succeeded
    for i in range(last - WINDOW_BINS + 1):
        bins = range(i, i + WINDOW_BINS)
        if sum(succeeded[b] for b in bins) >= wanted * sum(total[b] for b in bins):
            return i * BIN_SECONDS
    return float('inf')


def _fairness(reqs: list[Request]) -> float:
    """Give Jain's index of the share that each caller completed."""
    total: Counter[str] = Counter()
    succeeded: Counter[str] = Counter()
    for req in reqs:
        total[req.caller] += 1
        succeeded[req.caller] += req.succeeded
    shares = [succeeded[c] / total[c] for c in total if c.startswith('caller-')]
    squares = sum(s * s for s in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0.0


def ordered_figure_names(trace: Trace) -> list[str]:
    """Give the names of the figures, the one that the trace puts first at the front."""
    first = trace.header.first
    return [first, *(name for name in Figures._fields if name != first)]


def format_figure(value: float) -> str:
    """Write a figure for people."""
    if value == float('inf'):
        return 'never'
    return str(value) if isinstance(value, int) else f'{value:.4f}'
