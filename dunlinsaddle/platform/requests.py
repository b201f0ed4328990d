"""Converts requests and responses between the platform's headers and internal types."""

import math
import re
from typing import NamedTuple

from dunlinsaddle.access.keys import key_digest
from dunlinsaddle.calls.http import HttpRequest, HttpResponse, forwarded_headers
from dunlinsaddle.calls.messages import Headers, Reply, refusal
from dunlinsaddle.calls.outbound.connection import Match
from dunlinsaddle.calls.target import (
    AdvertisedLoad,
    AdvertisedState,
    HealthUnknown,
    NoHealthPath,
    NotServing,
    Serving,
    TargetHealth,
)
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.platform import headers as names

_REPLACED_HEADERS = frozenset(
    {names.REMAINING_MILLISECONDS, names.CALLER_SERVICE, names.EXPECTED_TARGET}
)
#: Headers that are not forwarded where callers need a key: the key must not leave the node, and a
#: caller must not claim to belong to another organisation.
_REPLACED_HEADERS_WITH_KEYS = _REPLACED_HEADERS | {names.AUTHORIZATION, names.ORGANISATION}
_BEARER = 'bearer '
WRONG_TARGET_STATUS = 421
#: Each tells a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, WRONG_TARGET_STATUS, 429, 503})
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?', re.ASCII)
_SEPARATOR = re.compile(r'[ \t]*,[ \t]*|[ \t]+')  #: of the figures of a load
_USUAL_SLOWDOWN = 100.0  #: figure for work that takes as long as usual
_MAX_LOGGED_CHARS = 40  #: of an invalid value
HEALTHY_STATUS, UNHEALTHY_STATUS = 200, 503  #: of the health path
MIN_SUCCESS_STATUS, MAX_SUCCESS_STATUS = 200, 299


class CallerHeaders(NamedTuple):
    """The values of a caller's headers."""

    request_id: str
    remaining_seconds: float | None  #: seconds that the caller will still wait
    key_digest: bytes = b''  #: empty if the caller sent no key


def read_caller_headers(req: HttpRequest) -> CallerHeaders:
    """Decode a caller's headers; an invalid time counts as none."""
    text = req.header(names.REMAINING_MILLISECONDS)
    remaining_seconds = int(text) / 1000 if text.isdecimal() else None
    return CallerHeaders(
        req.header(names.REQUEST_ID), remaining_seconds, _digest(req.header(names.AUTHORIZATION))
    )


def read_request_id(headers: Headers) -> str:
    """Return the id in the headers of a request, which may be incomplete; empty if absent."""
    return next((v.decode('latin-1') for n, v in headers if n == names.REQUEST_ID), '')


def _digest(authorization: str) -> bytes:
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return b''
    return key_digest(authorization[len(_BEARER) :].strip())


def build_forwarded_headers(req: HttpRequest, origin: str, *, keys_required: bool) -> Headers:
    """Return the headers to forward to the target, with the service ``origin`` added.

    With ``keys_required``, the caller's key and any organisation that it named are removed.
    """
    dropped = _REPLACED_HEADERS_WITH_KEYS if keys_required else _REPLACED_HEADERS
    kept = [(n, v) for n, v in forwarded_headers(req.headers) if n not in dropped]
    return [
        (b'host', req.header(b'host').encode('latin-1')),
        *kept,
        (names.CALLER_SERVICE, origin.encode()),
    ]


def build_attempt_headers(
    headers: Headers, seconds: float, target_id: str, organisation: str
) -> Headers:
    """Return the headers of one attempt at a target; ``organisation`` is empty for none."""
    remaining = str(max(math.floor(seconds * 1000), 1)).encode()
    added = [(names.REMAINING_MILLISECONDS, remaining), (names.EXPECTED_TARGET, target_id.encode())]
    if organisation:
        added.append((names.ORGANISATION, organisation.encode()))
    return [*headers, *added]


def match_response(request_id: str, headers: Headers) -> Match:
    """Compare the request that a response names, if any, with the one in progress."""
    for name, value in headers:
        if name == names.REQUEST_ID:
            return Match.OWN if value == request_id.encode('latin-1') else Match.OTHER
    return Match.UNNAMED


def decode_reply(response: HttpResponse) -> Reply:
    """Convert a complete response of a target to a reply."""
    headers_by_name = dict(response.headers)
    if names.NOT_EXECUTED in headers_by_name or response.status == WRONG_TARGET_STATUS:
        kind = (
            ErrorKind.NO_TARGET
            if response.status == WRONG_TARGET_STATUS
            else ErrorKind.TARGET_REFUSED
        )
        reply = refusal(Failure(kind, f'the target answered {response.status}', 1.0))
        reply.reached_target = True
        return reply
    success = MIN_SUCCESS_STATUS <= response.status <= MAX_SUCCESS_STATUS
    if success and (
        names.SERVER_SIGNATURE not in headers_by_name or names.REQUEST_ID not in headers_by_name
    ):
        return refusal(Failure(ErrorKind.INCOMPLETE_ANSWER, 'the answer is not signed'))
    if b'content-encoding' in headers_by_name:
        # Callers request no encoding, so an intermediary has changed the body.
        return refusal(Failure(ErrorKind.INCOMPLETE_ANSWER, 'the body was encoded on the way'))
    kept = forwarded_headers(response.headers)
    return Reply(0, response.status, kept, response.body, Outcome.DONE)


def read_health(response: HttpResponse) -> TargetHealth:
    """Convert the response of a target's health path."""
    headers_by_name = dict(response.headers)
    if names.NOT_EXECUTED in headers_by_name:
        # A full target rejects health checks as it does requests.
        return HealthUnknown(f'the target rejected the health check: {response.status}')
    if response.status == UNHEALTHY_STATUS or headers_by_name.get(names.SERVER_LEAVING) == b'1':
        return NotServing(f'the target answered {response.status}')
    if response.status != HEALTHY_STATUS:
        return NoHealthPath()
    return Serving(headers_by_name.get(names.TARGET_ID, b'').decode('latin-1'))


def read_advertised_state(response: HttpResponse, target_id: str) -> AdvertisedState | None:
    """Return the state that a target advertises in a response.

    None if the response was not created by that target or was changed in transit. Of several
    rates the lowest applies; invalid rates and figures of the load are ignored.
    """
    headers_by_name = dict(response.headers)
    # A new target at the address of one that is gone responds with this status.
    if response.status == WRONG_TARGET_STATUS or b'content-encoding' in headers_by_name:
        return None
    if names.SERVER_SIGNATURE not in headers_by_name and names.NOT_EXECUTED not in headers_by_name:
        return None
    if headers_by_name.get(names.TARGET_ID, b'').decode('latin-1') not in ('', target_id):
        return None
    leaving = headers_by_name.get(names.SERVER_LEAVING) == b'1'
    load = _read_load(headers_by_name.get(names.SERVER_LOAD, b'').decode('latin-1'))
    if names.RATE_LIMIT not in headers_by_name:
        return AdvertisedState(leaving=leaving, load=load)
    texts = [
        value.decode('latin-1') for name, value in response.headers if name == names.RATE_LIMIT
    ]
    rates = [float(text) for text in texts if _DECIMAL.fullmatch(text)]
    return AdvertisedState(
        min(rates, default=None), leaving, None if rates else texts[0][:_MAX_LOGGED_CHARS], load
    )


def _read_load(text: str) -> AdvertisedLoad | None:
    """Decode the load of a target; running requests and slots are known from elsewhere."""
    figures = [_read_figure(part) for part in _SEPARATOR.split(text.strip())]
    _running, waiting, _slots, slowdown, *_ = [*figures, None, None, None, None]
    if waiting is None and not slowdown:
        return None
    return AdvertisedLoad(waiting, slowdown / _USUAL_SLOWDOWN if slowdown else None)


def _read_figure(text: str) -> float | None:
    return float(text) if _DECIMAL.fullmatch(text) else None


def build_caller_response(reply: Reply, request_id: str) -> HttpResponse:
    """Convert a reply to a response to the caller.

    Retry-After has three decimals: callers accept fractions, and a whole second is a large part
    of their timeout.
    """
    headers = reply.headers
    if reply.kind:
        headers = [*headers, (names.REQUEST_ID, request_id.encode('latin-1'))]
    if reply.retry_after > 0:
        headers = [*headers, (names.RETRY_AFTER, f'{reply.retry_after:.3f}'.encode())]
    return HttpResponse(reply.status, headers, reply.body)
