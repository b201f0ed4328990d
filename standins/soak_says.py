"""What targets of a soak say of themselves in their answers, and whether nodes keep to it.

A target names a rate or says that it leaves while its heartbeats go on as before. All that a
target gets passes the node beside it, so the rate is binding against all of its arrivals, whoever
was told of it.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from typing import NamedTuple

WINDOW_SECONDS = 4.0  #: seconds over which arrivals are counted
RATE_NOTICE_SECONDS = 3.0  #: seconds after a target began to name a rate
EXTRA_ARRIVALS = 5  #: arrivals in a window that are allowed beyond
RATE_TOLERANCE = 1.5  #: times the rate that a window may have
LEAVING_NOTICE_SECONDS = 2.0  #: seconds after an entry passed on an answer of a target that leaves


class Arrival(NamedTuple):
    """A request that reached a target. Times are of the host's steady clock."""

    target_id: str
    arrived_at: float
    request_id: str


class AnnouncedRate(NamedTuple):
    """A target named a rate from one moment to another."""

    target_id: str
    rate: float
    since: float
    until: float


class RelayedLeaving(NamedTuple):
    """An entry passed on an answer whose target said that it leaves."""

    ingress: str
    target_id: str
    relayed_at: float


class CallerRequest(NamedTuple):
    """A request of a caller."""

    request_id: str
    ingress: str
    sent_at: float


class NodeDisruption(NamedTuple):
    """A node was ended or frozen, so that it may have forgotten what it passed on."""

    node: str
    at: float


def parse_arrival(line: str) -> Arrival | None:
    """Read one line of a target's output; None for any other line."""
    event, _, rest = line.partition(' ')
    if event != 'got':
        return None
    target_id, arrived_at, request_id = rest.split(' ', 2)
    return Arrival(target_id, float(arrived_at), request_id)


def allowed_arrivals(rate: float) -> float:
    """Give how many requests a target that names a rate may get in a window."""
    return RATE_TOLERANCE * rate * WINDOW_SECONDS + EXTRA_ARRIVALS


def max_arrivals_in_window(times: list[float], since: float) -> int:
    """Give the most of these times in a window that ends when a rate named at ``since`` binds.

    ``times`` are in order.
    """
    first = bisect_left(times, since + RATE_NOTICE_SECONDS)
    return max(
        (
            end - bisect_left(times, times[end] - WINDOW_SECONDS) + 1
            for end in range(first, len(times))
        ),
        default=0,
    )


def find_rate_violations(announced: list[AnnouncedRate], arrivals: list[Arrival]) -> list[str]:
    """Give a finding for each rate that a window has too many arrivals for."""
    times: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda a: a.arrived_at):
        times[arrival.target_id].append(arrival.arrived_at)
    findings = []
    for one in announced:
        binding = times[one.target_id]
        binding = binding[bisect_left(binding, one.since) : bisect_right(binding, one.until)]
        most = max_arrivals_in_window(binding, one.since)
        if most > allowed_arrivals(one.rate):
            findings.append(f'{one}: {most} requests in {WINDOW_SECONDS} s')
    return findings


def find_leaving_violations(
    relayed: list[RelayedLeaving],
    requests: list[CallerRequest],
    arrivals: list[Arrival],
    disruptions: list[NodeDisruption],
) -> list[str]:
    """Give a finding for each request that reached a target which its entry knew to leave."""
    relayed_since: dict[tuple[str, str], float] = {}
    for one in sorted(relayed, key=lambda p: p.relayed_at):
        relayed_since.setdefault((one.ingress, one.target_id), one.relayed_at)
    by_id = {one.request_id: one for one in requests}
    findings = []
    for arrival in arrivals:
        request = by_id.get(arrival.request_id)
        since = relayed_since.get((request.ingress, arrival.target_id)) if request else None
        if request is None or since is None or request.sent_at <= since + LEAVING_NOTICE_SECONDS:
            continue
        if any(d.node == request.ingress and since <= d.at <= request.sent_at for d in disruptions):
            continue
        findings.append(
            f'{arrival}: sent {request.sent_at - since:.2f} s after {request.ingress} was told'
        )
    return findings
