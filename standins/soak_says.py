"""What targets of a soak say of themselves in their answers, and whether nodes keep to it.

A target names a rate or says that it leaves while its heartbeats go on as before. All that a
target gets passes the node beside it, so the rate is held against all of its arrivals, whoever
was told of it.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from typing import NamedTuple

WINDOW = 4.0  #: seconds over which arrivals are counted
BINDS_AFTER = 3.0  #: seconds after a target began to name a rate
SPARE = 5  #: arrivals in a window that are allowed beyond
EXCESS = 1.5  #: times the rate that a window may have
DRAIN = 2.0  #: seconds after an entry passed on an answer of a target that leaves


class Arrival(NamedTuple):
    """A request that reached a target. Times are of the host's steady clock."""

    target_id: str
    when: float
    request_id: str


class RateNamed(NamedTuple):
    """A target named a rate from one moment to another."""

    target_id: str
    rate: float
    since: float
    until: float


class PassedOn(NamedTuple):
    """An entry passed on an answer whose target said that it leaves."""

    entry: str
    target_id: str
    when: float


class Asked(NamedTuple):
    """A request of a caller."""

    request_id: str
    entry: str
    when: float


class Disturbed(NamedTuple):
    """A node was ended or frozen, so that it may have forgotten what it passed on."""

    entry: str
    when: float


def read_arrival(line: str) -> Arrival | None:
    """Read one line of a target's output; None for any other line."""
    word, _, rest = line.partition(' ')
    if word != 'got':
        return None
    target_id, when, request_id = rest.split(' ', 2)
    return Arrival(target_id, float(when), request_id)


def allowed(rate: float) -> float:
    """Give how many requests a target that names a rate may get in a window."""
    return EXCESS * rate * WINDOW + SPARE


def most_in_window(whens: list[float], since: float) -> int:
    """Give the most of these times in a window that ends when a rate named at ``since`` binds.

    ``whens`` are in order.
    """
    first = bisect_left(whens, since + BINDS_AFTER)
    return max(
        (end - bisect_left(whens, whens[end] - WINDOW) + 1 for end in range(first, len(whens))),
        default=0,
    )


def judge_rates(named: list[RateNamed], arrivals: list[Arrival]) -> list[str]:
    """Give a finding for each rate that a window has too many arrivals for."""
    times: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda a: a.when):
        times[arrival.target_id].append(arrival.when)
    findings = []
    for one in named:
        held = times[one.target_id]
        held = held[bisect_left(held, one.since) : bisect_right(held, one.until)]
        most = most_in_window(held, one.since)
        if most > allowed(one.rate):
            findings.append(f'{one}: {most} requests in {WINDOW} s')
    return findings


def judge_leaving(
    passed: list[PassedOn],
    asked: list[Asked],
    arrivals: list[Arrival],
    disturbed: list[Disturbed],
) -> list[str]:
    """Give a finding for each request that reached a target which its entry knew to leave."""
    told: dict[tuple[str, str], float] = {}
    for one in sorted(passed, key=lambda p: p.when):
        told.setdefault((one.entry, one.target_id), one.when)
    by_id = {one.request_id: one for one in asked}
    findings = []
    for arrival in arrivals:
        sent = by_id.get(arrival.request_id)
        since = told.get((sent.entry, arrival.target_id)) if sent else None
        if sent is None or since is None or sent.when <= since + DRAIN:
            continue
        if any(d.entry == sent.entry and since <= d.when <= sent.when for d in disturbed):
            continue
        findings.append(f'{arrival}: sent {sent.when - since:.2f} s after {sent.entry} was told')
    return findings
