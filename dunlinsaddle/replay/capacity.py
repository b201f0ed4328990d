"""The rate that a trace's targets can serve at a given demand, the reference for goodput."""

from collections import Counter
from collections.abc import Iterable

from dunlinsaddle.records.models import Rank
from dunlinsaddle.replay.trace import Call, Chain, Trace

_FULL_TOLERANCE = 1e-9


def count_calls(chain: Chain) -> Counter[str]:
    """Return the number of calls to each service for one request of a chain."""
    counts: Counter[str] = Counter()

    def visit(calls: Iterable[Call]) -> None:
        for call in calls:
            counts[call.service] += 1
            visit(call.calls)

    visit([Call(chain.service, chain.rule, chain.calls)])
    return counts


def chain_rank(trace: Trace, chain: Chain) -> Rank:
    """Return the rank of a chain, as set by the rule of its first service's record."""
    for rule in trace.records[chain.service].rules:
        if rule.name == chain.rule:
            return rule.rank
    return Rank.NORMAL


def saturation_rate(trace: Trace) -> float:
    """Return the rate, in requests per second, at which the first service reaches its capacity."""
    usage: Counter[str] = Counter()
    total = sum(chain.share for chain in trace.chains.values())
    for chain in trace.chains.values():
        for service, count in count_calls(chain).items():
            usage[service] += count * chain.share / total  # type: ignore[assignment]
    return min(_calls_per_second(trace, name) / count for name, count in usage.items())


def max_served_rates(trace: Trace, rate: float) -> dict[str, float]:
    """Return the highest rate at which each chain can be served at a rate of demand.

    Capacity goes to the ranks in order, the highest first. Within a rank the rates of all chains
    rise in proportion until a service that they call is full.
    """
    remaining = {name: _calls_per_second(trace, name) for name in trace.services}
    total = sum(chain.share for chain in trace.chains.values())
    served: dict[str, float] = {}
    for rank in Rank:
        rates = {
            name: rate * chain.share / total
            for name, chain in trace.chains.items()
            if chain_rank(trace, chain) is rank
        }
        _allocate(trace, rates, remaining, served)
    return served


def _allocate(
    trace: Trace, offered: dict[str, float], remaining: dict[str, float], served: dict[str, float]
) -> None:
    rates = dict(offered)
    fraction = 0.0
    while rates and fraction < 1:
        usage: Counter[str] = Counter()
        for name, rate in rates.items():
            for service, count in count_calls(trace.chains[name]).items():
                usage[service] += count * rate  # type: ignore[assignment]
        step = min([1 - fraction, *(remaining[s] / u for s, u in usage.items() if u)])
        fraction += step
        for service, used in usage.items():
            remaining[service] -= step * used
        for name, rate in rates.items():
            served[name] = served.get(name, 0.0) + step * rate
        full = {
            s
            for s, spare in remaining.items()
            if spare < _FULL_TOLERANCE * _calls_per_second(trace, s)
        }
        rates = {n: r for n, r in rates.items() if not full & set(count_calls(trace.chains[n]))}


def _calls_per_second(trace: Trace, name: str) -> float:
    service = trace.services[name]
    return service.targets * service.slots / service.service_time
