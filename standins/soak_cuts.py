"""Check of a soak run: whether nodes cut off requests of callers with a full pipe."""

from collections import Counter

from standins.pipelining import LostRequest
from standins.soak_says import NodeDisruption

#: Time before a request in which a disruption of its node excuses the loss.
STABILITY_SECONDS = 3.0


def find_cut_requests(
    lost: list[LostRequest], run_counts: Counter[str], disruptions: list[NodeDisruption]
) -> list[str]:
    """Return a finding for each request that ran and whose connection ended without an answer.

    A stop by SIGTERM is no excuse: what the node has passed on is answered before it ends.
    """
    findings = []
    for request in lost:
        is_excused = any(
            d.node == request.caller
            and not d.is_planned
            and request.sent_at - STABILITY_SECONDS <= d.at <= request.lost_at
            for d in disruptions
        )
        if run_counts[request.request_id] and not is_excused:
            age = request.lost_at - request.sent_at
            findings.append(f'{request.request_id}: cut off after {age:.2f} s')
    return findings
