"""Checks of a soak run: whether nodes respect what targets advertise in their responses.

A target announces a rate, or that it is leaving, in its responses alone; its heartbeats do not
change. All requests to a target pass its own node, so the rate is compared with all arrivals at
the target, including those from ingress nodes that have not yet seen the announcement.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from typing import NamedTuple

WINDOW_SECONDS = 4.0  #: sliding window in which arrivals are counted
RATE_NOTICE_SECONDS = 3.0  #: after this time the announced rate must be respected
EXTRA_ARRIVALS = 5  #: allowed per window in addition to those at the rate
RATE_TOLERANCE = 1.5  #: factor by which arrivals in a window may exceed the rate
#: Time after an ingress relayed a response of a leaving target until it must not choose it again.
LEAVING_NOTICE_SECONDS = 2.0


class Arrival(NamedTuple):
    """A request that reached a target. All times are from the host's monotonic clock."""

    target_id: str
    arrived_at: float
    request_id: str


class AnnouncedRate(NamedTuple):
    """A rate that a target announced from ``since`` to ``until``."""

    target_id: str
    rate: float
    since: float
    until: float


class RelayedLeaving(NamedTuple):
    """An ingress relayed a response in which a target announced that it is leaving."""

    ingress: str
    target_id: str
    relayed_at: float


class CallerRequest(NamedTuple):
    """A request of a caller, and the node that received it."""

    request_id: str
    ingress: str
    sent_at: float


class NodeDisruption(NamedTuple):
    """A node was stopped or frozen, so it may have lost the state of targets."""

    node: str
    at: float
    is_planned: bool = False  #: stopped by SIGTERM


def parse_arrival(line: str) -> Arrival | None:
    """Parse a line of a target's output; return None if it reports no arrival."""
    event, _, rest = line.partition(' ')
    if event != 'got':
        return None
    target_id, arrived_at, request_id = rest.split(' ', 2)
    return Arrival(target_id, float(arrived_at), request_id)


def allowed_arrivals(rate: float) -> float:
    """Return how many requests a target with an announced rate may get in a window."""
    return RATE_TOLERANCE * rate * WINDOW_SECONDS + EXTRA_ARRIVALS


def max_arrivals_in_window(times: list[float], since: float) -> int:
    """Return the most arrivals in any window that ends while the rate must be respected.

    ``times`` are the arrivals in order, and ``since`` is when the rate was first announced.
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
    """Return a finding for each announced rate that the arrivals in some window exceed."""
    arrivals_by_target: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda a: a.arrived_at):
        arrivals_by_target[arrival.target_id].append(arrival.arrived_at)
    findings = []
    for announcement in announced:
        times_in_force = arrivals_by_target[announcement.target_id]
        times_in_force = times_in_force[
            bisect_left(times_in_force, announcement.since) : bisect_right(
                times_in_force, announcement.until
            )
        ]
        arrival_count = max_arrivals_in_window(times_in_force, announcement.since)
        if arrival_count > allowed_arrivals(announcement.rate):
            findings.append(f'{announcement}: {arrival_count} requests in {WINDOW_SECONDS} s')
    return findings


def find_leaving_violations(
    relayed: list[RelayedLeaving],
    requests: list[CallerRequest],
    arrivals: list[Arrival],
    disruptions: list[NodeDisruption],
) -> list[str]:
    """Return a finding for each request sent to a target that its ingress knew to be leaving."""
    relayed_since: dict[tuple[str, str], float] = {}
    for response in sorted(relayed, key=lambda r: r.relayed_at):
        relayed_since.setdefault((response.ingress, response.target_id), response.relayed_at)
    by_id = {request.request_id: request for request in requests}
    findings = []
    for arrival in arrivals:
        sent = by_id.get(arrival.request_id)
        since = relayed_since.get((sent.ingress, arrival.target_id)) if sent else None
        if sent is None or since is None or sent.sent_at <= since + LEAVING_NOTICE_SECONDS:
            continue
        if any(d.node == sent.ingress and since <= d.at <= sent.sent_at for d in disruptions):
            continue
        findings.append(
            f'{arrival}: sent {sent.sent_at - since:.2f} s after {sent.ingress} was notified'
        )
    return findings
