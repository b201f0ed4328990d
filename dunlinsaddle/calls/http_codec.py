"""HTTP/1.1 codec: parses byte streams into whole messages and serializes messages to bytes.

No other module uses the parser. A call that passes through two nodes is parsed and serialized at
four HTTP endpoints. Over loopback, caller and target included, it took 1,434 us of CPU time with
``h11`` and 456 us with ``httptools``, so ``h11`` would be too slow for a busy fleet.
"""

from collections.abc import Callable
from typing import NamedTuple

import httptools

from dunlinsaddle.calls.messages import Headers

FRAMING_HEADERS = frozenset({b'content-length', b'transfer-encoding'})
BODILESS_STATUSES = frozenset({204, 304})
MIN_FINAL_STATUS = 200
#: Bytes of framing that a message may have for each byte of its body, besides the size of a head.
#: Chunks of five bytes have as many; smaller ones take long to parse.
FRAMING_BYTES_PER_BODY_BYTE = 1
#: Smaller parts of a body are joined as they arrive: a part of one byte takes the memory of fifty.
MIN_PART_BYTES = 4096


class MalformedMessage(Exception):
    """The bytes are not HTTP/1.1, or use an unsupported feature."""


class HeadTooLarge(MalformedMessage):
    """The start line and headers exceed the size limit."""


class BodyTooLarge(MalformedMessage):
    """The body exceeds the size limit."""


class BodyMemoryFull(MalformedMessage):
    """The node holds too many request bodies to read this one."""


class RequestMessage(NamedTuple):
    """A complete request as received. Header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    read_seconds: float = 0.0  #: from its first byte to its last


class ResponseMessage(NamedTuple):
    """A complete response as received. Header names are in lower case."""

    status: int
    headers: Headers
    body: bytes
    keep_alive: bool


class _MessageReader:
    """Collects the parts of one message from the callbacks of the parser."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.body_size = 0
        self.head_size = 0
        self.in_head = False
        self.error: Exception | None = None  #: cause that the parser replaces by its own error

    def on_message_begin(self) -> None:
        self.headers = []
        self.chunks = []
        self.body_size = 0
        self.head_size = 0
        self.in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            # Trailers are not used and must not be mistaken for headers.
            return
        self.head_size += len(name) + len(value) + 4
        if self.head_size > self.max_header_bytes:
            self.fail(HeadTooLarge('the head is too large'))
        self.headers.append((name.lower(), value.strip()))

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > self.max_body_bytes:
            self.fail(BodyTooLarge('the body is too large'))
        if self.chunks and len(self.chunks[-1]) + len(body) < MIN_PART_BYTES:
            self.chunks[-1] += body
        else:
            self.chunks.append(body)

    def check_framing(self, bytes_read: int, body_bytes: int) -> None:
        """Raise HeadTooLarge if too many of the bytes read are no part of a body.

        The parser reports neither a line before its end nor chunk extensions, empty lines and
        trailers. A sender of any of these without end would be read until the deadline.
        """
        limit = self.max_header_bytes + FRAMING_BYTES_PER_BODY_BYTE * body_bytes
        if bytes_read - body_bytes > limit:
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

    def discard_body(self) -> None:
        """Free the memory of a body that is not read to its end."""
        self.chunks = []

    def take_body(self) -> bytes:
        chunks, self.chunks = self.chunks, []
        return chunks[0] if len(chunks) == 1 else b''.join(chunks)


class RequestReader(_MessageReader):
    """Parses requests; one call of ``feed`` may complete several.

    ``reserve`` is called with a number of bytes and returns whether there is memory for them: for
    the whole body if the head has its length, otherwise for each part that arrives.
    """

    def __init__(
        self,
        max_header_bytes: int,
        max_body_bytes: int,
        reserve: Callable[[int], bool] = lambda size: True,
    ) -> None:
        super().__init__(max_header_bytes, max_body_bytes)
        self.reserve = reserve
        self.reserved = 0  #: bytes, for the current body
        self.parser = httptools.HttpRequestParser(self)
        self.messages: list[RequestMessage] = []
        self.target = b''
        self.expects_continue = False  #: the client waits for "100 Continue" before the body
        self.bytes_fed = 0  #: since the current head began
        self.in_body = False  #: the head is complete, the body is not
        self.upgraded = False

    @property
    def idle(self) -> bool:
        """Whether no part of another request has been received."""
        return not self.bytes_fed

    def feed(self, data: bytes) -> list[RequestMessage]:
        """Parse data and return the requests that it completes. Raises MalformedMessage."""
        self.messages = []
        self.check_framing(self.bytes_fed, self.body_size)
        self.bytes_fed += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The rest would be another protocol; none is supported.
            self.upgraded = True
        except (httptools.HttpParserError, MalformedMessage) as exc:
            raise self.error or MalformedMessage(str(exc)) from exc
        if self.in_head and self.bytes_fed > self.max_header_bytes + len(data):
            raise HeadTooLarge('the head is too large')
        return self.messages

    def on_message_begin(self) -> None:
        """Start a new request."""
        super().on_message_begin()
        self.target = b''
        self.expects_continue = False
        self.in_body = False
        # It may begin in the same data in which the previous request ended.
        self.bytes_fed = max(self.bytes_fed, 1)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.target += url
        self.head_size += len(url)

    def on_headers_complete(self) -> None:
        """Validate the head before any part of the body is accepted."""
        self.in_head = False
        framing = hosts = 0
        for name, value in self.headers:
            if name in FRAMING_HEADERS:
                framing += 1
                if name == b'transfer-encoding' and value.lower() != b'chunked':
                    self.fail(MalformedMessage('a transfer coding other than chunked'))
            elif name == b'host':
                hosts += 1
            elif name == b'expect':
                self.expects_continue = value.lower() == b'100-continue'
        if framing > 1:
            # Parties that choose different framing headers would split the stream at different
            # points, which allows request smuggling (RFC 9112, 6.1).
            self.fail(
                MalformedMessage('Content-Length and Transfer-Encoding, or one of them twice')
            )
        if hosts != 1 and (hosts or self.parser.get_http_version() == '1.1'):
            self.fail(MalformedMessage('one Host header is needed'))
        if self.parser.get_http_version() not in ('1.0', '1.1'):
            self.fail(MalformedMessage('not HTTP/1.1'))
        length = self.content_length()
        if length > self.max_body_bytes:
            self.fail(BodyTooLarge('the body is too large'))
        # Reserved as a whole, so that the bodies that have begun can all be completed.
        self.reserved = 0
        self._reserve_up_to(length)
        self.in_body = True

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        super().on_body(body)
        self._reserve_up_to(self.body_size)

    def _reserve_up_to(self, size: int) -> None:
        if size <= self.reserved:
            return
        if not self.reserve(size - self.reserved):
            self.fail(BodyMemoryFull('too many request bodies are held'))
        self.reserved = size

    def on_message_complete(self) -> None:
        """Add the request to the completed messages."""
        self.bytes_fed = 0
        self.in_body = False
        self.expects_continue = False
        keep_alive = self.parser.should_keep_alive() and not self.parser.should_upgrade()
        method = self.parser.get_method()
        self.messages.append(
            RequestMessage(method, self.target, self.headers, self.take_body(), keep_alive)
        )


class ResponseReader(_MessageReader):
    """Parses the responses of one connection; each should belong to the latest request.

    The limits apply to all that is read since that request was sent, whatever it belongs to.
    """

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        super().__init__(max_header_bytes, max_body_bytes)
        self.parser = httptools.HttpResponseParser(self)
        self.messages: list[ResponseMessage] = []
        self.expects_no_body = False  #: the request was a HEAD
        self.in_message = False
        self.broken = False  #: bytes were received that are not a valid response
        self.is_wanted: Callable[[Headers], bool] = lambda headers: True
        self._keeps_body = True
        self._bytes_read = 0  #: since the latest request was sent
        self._body_bytes_read = 0  #: the part of them that belongs to bodies

    def begin(self, is_wanted: Callable[[Headers], bool], *, expects_no_body: bool) -> None:
        """Expect the response to a request; only the bodies of wanted responses are kept."""
        self.is_wanted = is_wanted
        self.expects_no_body = expects_no_body
        self._bytes_read = self._body_bytes_read = 0

    @property
    def held_bytes(self) -> int:
        """Size of the part of a body that is kept until the response is complete."""
        return self.body_size if self.chunks else 0

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._body_bytes_read += len(body)
        if self._body_bytes_read > self.max_body_bytes:
            self.fail(BodyTooLarge('the body is too large'))
        if self._keeps_body:
            super().on_body(body)

    def feed(self, data: bytes) -> list[ResponseMessage]:
        """Parse data and return the responses that it completes.

        Raises MalformedMessage if parsing fails before any response is complete.
        """
        self.messages = []
        self.check_framing(self._bytes_read, self._body_bytes_read)
        self._bytes_read += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, MalformedMessage) as exc:
            self.broken = True
            if not self.messages:
                raise self.error or MalformedMessage(str(exc)) from exc
        return self.messages

    def feed_eof(self) -> ResponseMessage | None:
        """Return the response that the end of the connection completes, if any."""
        if not self.is_close_delimited:
            return None
        self.in_message = False
        return ResponseMessage(self.parser.get_status_code(), self.headers, self.take_body(), False)

    @property
    def is_close_delimited(self) -> bool:
        """Whether a body has begun that only the end of the connection delimits."""
        if not self.in_message or self.in_head or self.expects_no_body:
            return False
        if self.parser.get_status_code() in BODILESS_STATUSES:
            return False
        return not any(name in FRAMING_HEADERS for name, _ in self.headers)

    def on_message_begin(self) -> None:
        """Start a new response."""
        super().on_message_begin()
        self.in_message = True

    def on_headers_complete(self) -> None:
        """Validate the head before any part of the body is accepted."""
        self.in_head = False
        if sum(1 for name, _ in self.headers if name in FRAMING_HEADERS) > 1:
            self.fail(
                MalformedMessage('Content-Length and Transfer-Encoding, or one of them twice')
            )
        self._keeps_body = self.is_wanted(self.headers)
        if self.content_length() > self.max_body_bytes and not self.expects_no_body:
            self.fail(BodyTooLarge('the body is too large'))
        if self.expects_no_body and self.parser.get_status_code() >= MIN_FINAL_STATUS:
            # The parser would wait for a body of the announced length.
            self.broken = True
            self._emit(keep_alive=False)

    def on_message_complete(self) -> None:
        """Add a final response to the completed messages; ignore interim (1xx) responses."""
        status = self.parser.get_status_code()
        if status >= MIN_FINAL_STATUS and self.in_message:
            self._emit(keep_alive=self.parser.should_keep_alive())
        self.in_message = False

    def _emit(self, *, keep_alive: bool) -> None:
        self.in_message = False
        status = self.parser.get_status_code()
        self.messages.append(ResponseMessage(status, self.headers, self.take_body(), keep_alive))


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Serialize a request and add its Content-Length. Raises ValueError if it is not valid."""
    if not method.isalpha() or not target or ' ' in target:
        raise ValueError(f'no HTTP request: {method!r} {target!r}')
    request_line = f'{method} {target} HTTP/1.1'.encode('latin-1')
    return _encode(request_line, [*headers, (b'content-length', b'%d' % len(body))], body)


def encode_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Serialize a response; ``headers`` must frame the body. Raises ValueError if not valid."""
    if not MIN_FINAL_STATUS <= status <= 599:
        raise ValueError(f'no final HTTP status: {status}')
    return _encode(b'HTTP/1.1 %d ' % status, headers, body)


def _encode(start_line: bytes, headers: Headers, body: bytes) -> bytes:
    lines = [start_line]
    lines += [b'%s: %s' % pair for pair in headers]
    head = b'\r\n'.join(lines)
    # A line break inside a name or value would let the sender inject a header or a message.
    if head.count(b'\n') >= len(lines) or head.count(b'\r') >= len(lines) or b'\0' in head:
        raise ValueError('a header holds a control character')
    return head + b'\r\n\r\n' + body
