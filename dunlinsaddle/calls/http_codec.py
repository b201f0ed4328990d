"""HTTP/1.1 codec: parses byte streams into whole messages and serializes messages to bytes.

Only ``request_reader.py`` and ``response_reader.py`` use the parser. A call that passes through two
nodes is parsed and serialized at four HTTP endpoints. Over loopback, caller and target included, it
took 1,434 us of CPU time with ``h11`` and 456 us with ``httptools``, so ``h11`` would be too slow
for a busy fleet.
"""

import asyncio
from collections.abc import Sequence

from dunlinsaddle.calls.messages import HEADER_COST_BYTES, LARGE_BODY_BYTES, Body, Headers

FRAMING_HEADERS = frozenset({b'content-length', b'transfer-encoding'})
BODILESS_STATUSES = frozenset({204, 304})
MIN_STATUS, MIN_FINAL_STATUS, MAX_STATUS = 100, 200, 599  #: RFC 9110, 15
#: Least framing of a header: a colon and a line break. The parser reports neither these nor spaces.
HEADER_FRAMING_BYTES = 3


class MalformedMessage(Exception):
    """The bytes are not HTTP/1.1, or use an unsupported feature."""


class HeadTooLarge(MalformedMessage):
    """The start line and headers exceed the size limit."""


class BodyTooLarge(MalformedMessage):
    """The body exceeds the size limit."""


class MessageReader:
    """Collects the parts of one message from the callbacks of the parser."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.headers: Headers = []
        self.body: bytes | bytearray = b''  #: the part of it that has arrived
        self.body_size = 0
        self.head_size = 0
        self.in_head = False
        self.error: Exception | None = None  #: cause that the parser replaces by its own error

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.headers = []
        self.body = b''
        self.body_size = 0
        self.head_size = 0
        self.in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the head."""
        if not self.in_head:
            # Trailers are not used and must not be mistaken for headers.
            return
        self.head_size += len(name) + len(value) + HEADER_FRAMING_BYTES
        if self.head_size > self.max_header_bytes:
            self.fail(HeadTooLarge('the head is too large'))
        self.headers.append((name.lower(), value.strip()))

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self.body_size += len(body)
        if self.body_size > self.max_body_bytes:
            self.fail(BodyTooLarge('the body is too large'))
        if not self.body:
            self.body = body
        elif isinstance(self.body, bytes):
            self.body = bytearray(self.body) + body
        else:
            self.body += body

    def check_framing(self, bytes_read: int, body_bytes: int, chunk_framing: int) -> None:
        """Raise HeadTooLarge if too many of the bytes read are no part of a body.

        ``chunk_framing`` is what chunks may have taken, besides the size of a head. The parser
        reports neither a line before its end nor chunk extensions, empty lines and trailers. A
        sender of any of these without end would be read until the deadline.
        """
        if bytes_read - body_bytes > self.max_header_bytes + chunk_framing:
            raise HeadTooLarge('the head or the framing of the body is too large')

    def fail(self, exc: Exception) -> None:
        """Abort parsing; the parser wraps errors of callbacks, so the original is kept."""
        self.error = exc
        raise exc

    def content_length(self) -> int:
        """Return the value of Content-Length, 0 if absent or invalid."""
        for name, value in self.headers:
            if name == b'content-length':
                return int(value) if value.isdigit() else 0
        return 0

    def discard_message(self) -> None:
        """Free the memory of a message that is not read to its end."""
        self.body = b''
        self.headers = []

    def take_body(self) -> Body:
        """Return the whole body, and keep nothing of it; a large one is not copied."""
        body, self.body = self.body, b''
        if isinstance(body, bytes):
            return body
        return memoryview(body) if len(body) >= LARGE_BODY_BYTES else bytes(body)

    @property
    def held_bytes(self) -> int:
        """Memory that the parts of the current message take, in bytes."""
        head_bytes = self.head_size + HEADER_COST_BYTES * len(self.headers)
        return head_bytes + len(self.body)


def write_parts(transport: asyncio.WriteTransport, parts: Sequence[Body]) -> None:
    """Write a message; its parts are not joined, as a large body would be copied for that."""
    if len(parts) == 1:
        transport.write(parts[0])
    else:
        transport.writelines(parts)


def encode_request(method: str, target: str, headers: Headers, body: Body) -> list[Body]:
    """Serialize a request and add its Content-Length. Raises ValueError if it is not valid."""
    if not method.isalpha() or not target or ' ' in target:
        raise ValueError(f'no HTTP request: {method!r} {target!r}')
    request_line = f'{method} {target} HTTP/1.1'.encode('latin-1')
    return _encode(request_line, [*headers, (b'content-length', b'%d' % len(body))], body)


def encode_response(status: int, headers: Headers, body: Body) -> list[Body]:
    """Serialize a response; ``headers`` must frame the body. Raises ValueError if not valid."""
    if not MIN_FINAL_STATUS <= status <= MAX_STATUS:
        raise ValueError(f'no final HTTP status: {status}')
    return _encode(b'HTTP/1.1 %d ' % status, headers, body)


def _encode(start_line: bytes, headers: Headers, body: Body) -> list[Body]:
    lines = [start_line]
    lines += [b'%s: %s' % pair for pair in headers]
    head = b'\r\n'.join(lines)
    # A line break inside a name or value would let the sender inject a header or a message.
    if head.count(b'\n') >= len(lines) or head.count(b'\r') >= len(lines) or b'\0' in head:
        raise ValueError('a header holds a control character')
    head += b'\r\n\r\n'
    return [head, body] if len(body) >= LARGE_BODY_BYTES else [head + body]
