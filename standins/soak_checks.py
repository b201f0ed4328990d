"""Checks of a soak run: what callers got, compared with what ran at targets."""

from collections import Counter
from typing import NamedTuple

import msgspec

from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.platform import headers as names
from standins.pipelining import LostRequest
from standins.soak_says import NodeDisruption

SERVICES = ('views', 'orders')  #: services that callers send requests to
#: Statuses that promise that the request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class SentRequest(NamedTuple):
    """A request of a caller and its result; status 0 if there is no complete response."""

    request_id: str
    service: str
    ingress: str
    status: int
    is_valid: bool  #: the response is signed and belongs to this request
    response_seconds: float
    sent_at: float = 0.0  #: from the host's monotonic clock


def is_valid_response(response: HttpResponse, request_id: str) -> bool:
    """Return whether a successful response is signed, names the request, and has its body."""
    headers = dict(response.headers)
    if (
        names.SERVER_SIGNATURE not in headers
        or headers.get(names.REQUEST_ID) != request_id.encode()
    ):
        return False
    try:
        return bool(msgspec.json.decode(response.body)['id'] == request_id)
    except (msgspec.MsgspecError, KeyError):
        return False


def find_violations(requests: list[SentRequest], run_counts: Counter[str]) -> list[str]:
    """Check the documented guarantees against the results of callers and the runs at targets."""
    findings = []
    for request in requests:
        run_count = run_counts[request.request_id]
        if not request.is_valid:
            findings.append(f'{request}: the response is unsigned or belongs to another request')
        if request.service == 'orders' and run_count > 1:
            findings.append(f'{request}: ran {run_count} times')
        if request.service == 'orders' and request.status in NOT_RUN_STATUSES and run_count:
            findings.append(f'{request}: ran although the status promises that it did not')
        # A node may not know a new route yet; ``_wait_until_served`` limits for how long.
        is_new = request.service not in SERVICES and request.status == 404
        if 400 <= request.status < 500 and request.status not in NOT_RUN_STATUSES and not is_new:
            findings.append(f'{request}: refused although it is valid')
    if not any(request.status == 200 for request in requests):
        findings.append('no request was served')
    return findings


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
