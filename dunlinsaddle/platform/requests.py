"""Requests and answers as callers and targets of the platform write them."""

import math
import re
from typing import NamedTuple

from dunlinsaddle.access.keys import key_digest
from dunlinsaddle.calls.http import HttpRequest, HttpResponse, forwarded_headers
from dunlinsaddle.calls.messages import Headers, Reply, refusal
from dunlinsaddle.calls.target import NOTHING_ADVERTISED, AdvertisedState
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.platform import headers as names

_SET_HERE = frozenset({names.REMAINING_MILLISECONDS, names.CALLER_SERVICE, names.EXPECTED_TARGET})
#: Headers that end at the entry where callers need a key: the key itself must not leave it, and a
#: caller must not name another organisation than its own.
_SET_HERE_KEYED = _SET_HERE | {names.AUTHORIZATION, names.ORGANISATION}
_BEARER = 'bearer '
WRONG_TARGET = 421
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?', re.ASCII)
_SHOWN = 40  #: characters of a value that cannot be read, in logs
FIRST_SUCCESS, LAST_SUCCESS = 200, 299


class CallerHeaders(NamedTuple):
    """What a caller says of its own request."""

    request_id: str
    remaining_seconds: float | None  #: seconds that the caller will still wait
    key_digest: bytes = b''  #: the digest of its key, empty where it shows none


def read_caller_headers(req: HttpRequest) -> CallerHeaders:
    """Read a caller's headers; a time that cannot be read counts as none."""
    text = req.header(names.REMAINING_MILLISECONDS)
    remaining_seconds = int(text) / 1000 if text.isdecimal() else None
    return CallerHeaders(
        req.header(names.REQUEST_ID), remaining_seconds, _digest(req.header(names.AUTHORIZATION))
    )


def _digest(authorization: str) -> bytes:
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return b''
    return key_digest(authorization[len(_BEARER) :].strip())


def build_forwarded_headers(req: HttpRequest, origin: str, *, keys_required: bool) -> Headers:
    """Give the headers that go on to the target, with the service of the origin.

    Where callers need a key, ``keys_required``, neither the key nor a name that they gave goes on.
    """
    ended = _SET_HERE_KEYED if keys_required else _SET_HERE
    kept = [(n, v) for n, v in forwarded_headers(req.headers) if n not in ended]
    return [
        (b'host', req.header(b'host').encode('latin-1')),
        *kept,
        (names.CALLER_SERVICE, origin.encode()),
    ]


def build_attempt_headers(
    headers: Headers, seconds: float, target_id: str, organisation: str
) -> Headers:
    """Give the headers of one attempt at a target; ``organisation`` is empty for none."""
    left = str(max(math.floor(seconds * 1000), 1)).encode()
    own = [(names.REMAINING_MILLISECONDS, left), (names.EXPECTED_TARGET, target_id.encode())]
    if organisation:
        own.append((names.ORGANISATION, organisation.encode()))
    return [*headers, *own]


def matches_request(request_id: str, headers: Headers) -> bool:
    """Say whether an answer belongs to a request; one that names none is taken for it."""
    for name, value in headers:
        if name == names.REQUEST_ID:
            return value == request_id.encode('latin-1')
    return True


def decode_reply(response: HttpResponse) -> Reply:
    """Tell what a target's whole answer says of the work."""
    found = dict(response.headers)
    if names.NOT_EXECUTED in found or response.status == WRONG_TARGET:
        kind = ErrorKind.NO_TARGET if response.status == WRONG_TARGET else ErrorKind.TARGET_REFUSED
        return refusal(Failure(kind, f'the target answered {response.status}', 1.0))
    success = FIRST_SUCCESS <= response.status <= LAST_SUCCESS
    if success and (names.SERVER_SIGNATURE not in found or names.REQUEST_ID not in found):
        return refusal(Failure(ErrorKind.INCOMPLETE_ANSWER, 'the answer is not signed'))
    if b'content-encoding' in found:
        # Callers ask for none: something on the way has changed the body.
        return refusal(Failure(ErrorKind.INCOMPLETE_ANSWER, 'the body was encoded on the way'))
    kept = forwarded_headers(response.headers)
    return Reply(0, response.status, kept, response.body, Outcome.DONE)


def read_advertised_state(response: HttpResponse, target_id: str) -> AdvertisedState | None:
    """Tell what an answer says of the target; None unless that target has made it, unchanged.

    Of several rates the lowest counts. A rate that cannot be read says nothing.
    """
    found = dict(response.headers)
    # What took over the address of a target that has gone answers so, and speaks for itself.
    if response.status == WRONG_TARGET or b'content-encoding' in found:
        return None
    if names.SERVER_SIGNATURE not in found and names.NOT_EXECUTED not in found:
        return None
    if found.get(names.TARGET_ID, b'').decode('latin-1') not in ('', target_id):
        return None
    leaving = found.get(names.SERVER_LEAVING) == b'1'
    if names.RATE_LIMIT not in found:
        return AdvertisedState(leaving=leaving) if leaving else NOTHING_ADVERTISED
    texts = [
        value.decode('latin-1') for name, value in response.headers if name == names.RATE_LIMIT
    ]
    rates = [float(text) for text in texts if _DECIMAL.fullmatch(text)]
    return AdvertisedState(min(rates, default=None), leaving, None if rates else texts[0][:_SHOWN])


def build_caller_response(reply: Reply, request_id: str) -> HttpResponse:
    """Give the response that carries a reply to a caller.

    Retry-After goes out with three decimals: callers take fractions, and a whole second is
    much of the time that they have.
    """
    headers = reply.headers
    if reply.kind:
        headers = [*headers, (names.REQUEST_ID, request_id.encode('latin-1'))]
    if reply.retry_after > 0:
        headers = [*headers, (names.RETRY_AFTER, f'{reply.retry_after:.3f}'.encode())]
    return HttpResponse(reply.status, headers, reply.body)
