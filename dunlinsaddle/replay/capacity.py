"""What the capacity of a trace's targets allows at a demand: the measure for goodput."""

from collections import Counter
from collections.abc import Iterable

from dunlinsaddle.records.models import Rank
from dunlinsaddle.replay.trace import Call, Chain, Trace

_FULL_TOLERANCE = 1e-9


def count_calls(chain: Chain) -> Counter[str]:
    """Count the calls to each service that one request of a chain makes."""
    count: Counter[str] = Counter()

    def visit(calls: Iterable[Call]) -> None:
        for call in calls:
            count[call.service] += 1
            visit(call.calls)

    visit([Call(chain.service, chain.rule, chain.calls)])
    return count


def chain_rank(trace: Trace, chain: Chain) -> Rank:
    """Give the rank that the record's rule gives a chain."""
    for rule in trace.records[chain.service].rules:
        if rule.name == chain.rule:
            return rule.rank
    return Rank.NORMAL


def saturation_rate(trace: Trace) -> float:
    """Give the rate, requests a second, at which the first service is full."""
    use: Counter[str] = Counter()
    total = sum(chain.share for chain in trace.chains.values())
    for chain in trace.chains.values():
        for service, count in count_calls(chain).items():
            use[service] += count * chain.share / total  # type: ignore[assignment]
    return min(_calls_per_second(trace, name) / count for name, count in use.items())


def max_served_rates(trace: Trace, rate: float) -> dict[str, float]:
    """Give the rate at which each chain can be served at a rate of demand.

    The most valued rank is filled first; inside a rank all chains grow alike until a
    service that they need is full.
    """
    left = {name: _calls_per_second(trace, name) for name in trace.services}
    total = sum(chain.share for chain in trace.chains.values())
    served: dict[str, float] = {}
    for rank in Rank:
        growing = {
            name: rate * chain.share / total
            for name, chain in trace.chains.items()
            if chain_rank(trace, chain) is rank
        }
        _allocate(trace, growing, left, served)
    return served


def _allocate(
    trace: Trace, wanted: dict[str, float], left: dict[str, float], served: dict[str, float]
) -> None:
    growing = dict(wanted)
    done = 0.0
    while growing and done < 1:
        use: Counter[str] = Counter()
        for name, rate in growing.items():
            for service, count in count_calls(trace.chains[name]).items():
                use[service] += count * rate  # type: ignore[assignment]
        step = min([1 - done, *(left[s] / u for s, u in use.items() if u)])
        done += step
        for service, used in use.items():
            left[service] -= step * used
        for name, rate in growing.items():
            served[name] = served.get(name, 0.0) + step * rate
        full = {
            s for s, spare in left.items() if spare < _FULL_TOLERANCE * _calls_per_second(trace, s)
        }
        growing = {n: r for n, r in growing.items() if not full & set(count_calls(trace.chains[n]))}


def _calls_per_second(trace: Trace, name: str) -> float:
    service = trace.services[name]
    return service.targets * service.slots / service.service_time
