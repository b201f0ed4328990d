"""HTTP/1.1 requests and responses, and which of their headers are forwarded."""

import math
from typing import NamedTuple

import msgspec

from dunlinsaddle.calls.messages import Body, Headers, Reply, refusal
from dunlinsaddle.errors import Failure

HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'host',
        b'expect',
    }
)
MIN_SERVER_ERROR_STATUS = 500
RESERVED_HEADER_PREFIX = b'dunlinsaddle-'


class HttpRequest(NamedTuple):
    """A complete request. Header names are in lower case."""

    method: str
    path: str
    headers: Headers
    body: Body
    remote: str
    read_seconds: float = 0.0  #: from its first byte to its last

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string if it is absent."""
        for header_name, value in self.headers:
            if header_name == name:
                return value.decode('latin-1')
        return ''


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    headers: Headers
    body: Body
    useful_until: float = math.inf  #: time of the event loop until which the caller waits for it


def forwarded_headers(headers: Headers) -> Headers:
    """Return the headers without hop-by-hop headers and those with the reserved prefix.

    A caller that sets reserved headers could raise its own priority or retry allowance, so they
    are dropped at the listener that receives them.
    """
    dropped = HOP_BY_HOP
    for name, value in headers:
        if name == b'connection':
            dropped = dropped | {part.strip() for part in value.lower().split(b',')}
    return [
        (n, v) for n, v in headers if n not in dropped and not n.startswith(RESERVED_HEADER_PREFIX)
    ]


def json_response(value: object, status: int = 200) -> HttpResponse:
    """Return a response with ``value`` encoded as JSON."""
    body = msgspec.json.encode(value)
    return HttpResponse(status, [(b'content-type', b'application/json')], body)


def response_from_reply(reply: Reply) -> HttpResponse:
    """Return the HTTP response that passes a reply on to the caller."""
    headers = [*reply.headers, (b'dunlinsaddle-outcome', reply.outcome.value.encode())]
    if reply.retry_after > 0:
        headers.append((b'retry-after', str(math.ceil(reply.retry_after)).encode()))
    return HttpResponse(reply.status, headers, reply.body)


def failure_response(failure: Failure) -> HttpResponse:
    """Return the HTTP response that reports a failure to the caller."""
    return response_from_reply(refusal(failure))


class HttpLimits(NamedTuple):
    """Limits of one HTTP listener. Sizes in bytes, timeouts in seconds.

    ``header_timeout`` bounds the head of a request, and the time without any byte of its body.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1 << 20
    max_connections: int = 4096
    header_timeout: float = 10.0
    idle_timeout: float = 75.0
