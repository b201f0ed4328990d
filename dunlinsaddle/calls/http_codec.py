"""HTTP/1.1 on the wire: reads whole messages from bytes, and writes messages as bytes.

The one place that knows the parser. A call crosses four ends of HTTP on its way through two
nodes. With ``h11`` it took 1,434 us of processor time on loopback, the caller's and the target's
ends included, and with ``httptools`` 456 us: busy fleets had no processor time for the former.
"""

from typing import NamedTuple

import httptools

from dunlinsaddle.calls.messages import Headers

FRAMING_HEADERS = frozenset({b'content-length', b'transfer-encoding'})
BODILESS_STATUSES = frozenset({204, 304})
MIN_FINAL_STATUS = 200


class MalformedMessage(Exception):
    """The bytes are no HTTP, or not such as is taken here."""


class HeadTooLarge(MalformedMessage):
    """A head is larger than allowed."""


class BodyTooLarge(MalformedMessage):
    """A body is larger than allowed."""


class RequestMessage(NamedTuple):
    """A whole request as it was read. Header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool


class ResponseMessage(NamedTuple):
    """A whole response as it was read. Header names are in lower case."""

    status: int
    headers: Headers
    body: bytes
    keep_alive: bool


class _Reader:
    """Collects the parts of one message; the parser calls its methods."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.head_size = 0
        self.in_head = False
        self.over: Exception | None = None  #: what the parser's own error would hide

    def on_message_begin(self) -> None:
        self.headers = []
        self.chunks = []
        self.size = 0
        self.head_size = 0
        self.in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            # A trailer: nothing here needs it, and it must not pass for a header.
            return
        self.head_size += len(name) + len(value) + 4
        if self.head_size > self.max_header_bytes:
            self.stop(HeadTooLarge('the head is too large'))
        self.headers.append((name.lower(), value.strip()))

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > self.max_body_bytes:
            self.stop(BodyTooLarge('the body is too large'))
        self.chunks.append(body)

    def stop(self, exc: Exception) -> None:
        """Leave the parser, which gives every error of its callbacks a type of its own."""
        self.over = exc
        raise exc

    def length(self) -> int:
        """Give the length that the head names, 0 if none."""
        for name, value in self.headers:
            if name == b'content-length':
                return int(value) if value.isdigit() else 0
        return 0

    def body(self) -> bytes:
        chunks, self.chunks = self.chunks, []
        return chunks[0] if len(chunks) == 1 else b''.join(chunks)


class RequestReader(_Reader):
    """Reads requests, several in one piece of bytes if they come so."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        super().__init__(max_header_bytes, max_body_bytes)
        self.parser = httptools.HttpRequestParser(self)
        self.read: list[RequestMessage] = []
        self.target = b''
        self.expects_continue = False  #: the sender waits for "100 Continue" before its body
        self.fed = 0  #: bytes since the present head began
        self.upgraded = False

    @property
    def idle(self) -> bool:
        """Whether no part of a further request has come."""
        return not self.fed

    def feed(self, data: bytes) -> list[RequestMessage]:
        """Take bytes; give the requests that are whole now. Raises Malformed."""
        self.read = []
        self.fed += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # What follows would be another protocol; none is spoken here.
            self.upgraded = True
        except (httptools.HttpParserError, MalformedMessage) as exc:
            raise self.over or MalformedMessage(str(exc)) from exc
        if self.in_head and self.fed > self.max_header_bytes + len(data):
            raise HeadTooLarge('the head is too large')
        return self.read

    def on_message_begin(self) -> None:
        """Begin a request."""
        super().on_message_begin()
        self.target = b''
        self.expects_continue = False

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self.target += url
        self.head_size += len(url)

    def on_headers_complete(self) -> None:
        """Judge the head before any of the body is taken."""
        self.in_head = False
        framing = hosts = 0
        for name, value in self.headers:
            if name in FRAMING_HEADERS:
                framing += 1
                if name == b'transfer-encoding' and value.lower() != b'chunked':
                    self.stop(MalformedMessage('a transfer coding other than chunked'))
            elif name == b'host':
                hosts += 1
            elif name == b'expect':
                self.expects_continue = value.lower() == b'100-continue'
        if framing > 1:
            # Two parties that pick different ones would cut the stream at different places,
            # and a caller could slip a request in as part of a body (RFC 9112, 6.1).
            self.stop(
                MalformedMessage('Content-Length and Transfer-Encoding, or one of them twice')
            )
        if hosts != 1 and (hosts or self.parser.get_http_version() == '1.1'):
            self.stop(MalformedMessage('one Host header is needed'))
        if self.parser.get_http_version() not in ('1.0', '1.1'):
            self.stop(MalformedMessage('not HTTP/1.1'))
        if self.length() > self.max_body_bytes:
            self.stop(BodyTooLarge('the body is too large'))

    def on_message_complete(self) -> None:
        """Give the request out."""
        self.fed = 0
        self.expects_continue = False
        keep_alive = self.parser.should_keep_alive() and not self.parser.should_upgrade()
        method = self.parser.get_method()
        self.read.append(RequestMessage(method, self.target, self.headers, self.body(), keep_alive))


class ResponseReader(_Reader):
    """Reads responses of one connection, of which each should be one to the last request."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        super().__init__(max_header_bytes, max_body_bytes)
        self.parser = httptools.HttpResponseParser(self)
        self.read: list[ResponseMessage] = []
        self.bodiless = False  #: the request was a HEAD
        self.begun = False
        self.broken = False  #: bytes came that cannot be read as a response

    def feed(self, data: bytes) -> list[ResponseMessage]:
        """Take bytes; give the responses that are whole now. Raises Malformed if none is."""
        self.read = []
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, MalformedMessage) as exc:
            self.broken = True
            if not self.read:
                raise self.over or MalformedMessage(str(exc)) from exc
        return self.read

    def end(self) -> ResponseMessage | None:
        """Give the response whose body ends with the connection, if that is so."""
        if not self.unframed:
            return None
        self.begun = False
        return ResponseMessage(self.parser.get_status_code(), self.headers, self.body(), False)

    @property
    def unframed(self) -> bool:
        """Whether a body has begun whose head does not tell where it ends."""
        if not self.begun or self.in_head or self.bodiless:
            return False
        if self.parser.get_status_code() in BODILESS_STATUSES:
            return False
        return not any(name in FRAMING_HEADERS for name, _ in self.headers)

    def on_message_begin(self) -> None:
        """Begin a response."""
        super().on_message_begin()
        self.begun = True

    def on_headers_complete(self) -> None:
        """Judge the head before any of the body is taken."""
        self.in_head = False
        if sum(1 for name, _ in self.headers if name in FRAMING_HEADERS) > 1:
            self.stop(
                MalformedMessage('Content-Length and Transfer-Encoding, or one of them twice')
            )
        if self.length() > self.max_body_bytes and not self.bodiless:
            self.stop(BodyTooLarge('the body is too large'))
        if self.bodiless and self.parser.get_status_code() >= MIN_FINAL_STATUS:
            # The parser would wait for the body that the length tells of.
            self.broken = True
            self._give(keep_alive=False)

    def on_message_complete(self) -> None:
        """Give the response out; interim ones are passed over."""
        status = self.parser.get_status_code()
        if status >= MIN_FINAL_STATUS and self.begun:
            self._give(keep_alive=self.parser.should_keep_alive())
        self.begun = False

    def _give(self, *, keep_alive: bool) -> None:
        self.begun = False
        status = self.parser.get_status_code()
        self.read.append(ResponseMessage(status, self.headers, self.body(), keep_alive))


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Write a request, its length included. Raises ValueError for what is no HTTP."""
    if not method.isalpha() or not target or ' ' in target:
        raise ValueError(f'no HTTP request: {method!r} {target!r}')
    first = f'{method} {target} HTTP/1.1'.encode('latin-1')
    return _encode(first, [*headers, (b'content-length', b'%d' % len(body))], body)


def encode_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Write a response; the headers frame it. Raises ValueError for what is no HTTP."""
    if not MIN_FINAL_STATUS <= status <= 599:
        raise ValueError(f'no final HTTP status: {status}')
    return _encode(b'HTTP/1.1 %d ' % status, headers, body)


def _encode(first: bytes, headers: Headers, body: bytes) -> bytes:
    lines = [first]
    lines += [b'%s: %s' % pair for pair in headers]
    head = b'\r\n'.join(lines)
    # A line's end inside a name or value would begin a header, or a message, of its sender's.
    if head.count(b'\n') >= len(lines) or head.count(b'\r') >= len(lines) or b'\0' in head:
        raise ValueError('a header holds a control character')
    return head + b'\r\n\r\n' + body
