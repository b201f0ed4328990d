"""Parses the requests of one HTTP/1.1 connection."""

from typing import NamedTuple

import httptools

from dunlinsaddle.calls.http_codec import (
    FRAMING_HEADERS,
    BodyTooLarge,
    HeadTooLarge,
    MalformedMessage,
    MessageReader,
)
from dunlinsaddle.calls.messages import HEADER_COST_BYTES, Body, Headers

#: Framing of a chunk: its size in up to eight digits, and two line breaks.
CHUNK_FRAMING_BYTES = 12


class RequestMessage(NamedTuple):
    """A complete request as received. Header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers
    body: Body
    keep_alive: bool
    read_seconds: float = 0.0  #: from its first byte to its last
    held_bytes: int = 0  #: memory that it takes, without what its handling takes


class RequestReader(MessageReader):
    """Parses requests; one call of ``feed`` may complete several."""

    def __init__(self, max_header_bytes: int, max_body_bytes: int) -> None:
        super().__init__(max_header_bytes, max_body_bytes)
        self.parser = httptools.HttpRequestParser(self)
        self.messages: list[RequestMessage] = []
        self.target = b''
        self.expects_continue = False  #: the client waits for "100 Continue" before the body
        self.bytes_fed = 0  #: since the current head began
        self.chunk_count = 0  #: of the current body
        self.in_body = False  #: the head is complete, the body is not
        self.upgraded = False

    @property
    def idle(self) -> bool:
        """Whether no part of another request has been received."""
        return not self.bytes_fed

    @property
    def held_bytes(self) -> int:
        """Memory that the parts of the current request take, in bytes."""
        if self.idle:
            # The headers and the body have gone with the request.
            return 0
        # The parser keeps the beginning of a line until it ends.
        return super().held_bytes + (self.bytes_fed if self.in_head else 0)

    def close(self) -> None:
        """Free what is held, and the parser, which refers to this reader in turn."""
        self.discard_message()
        self.messages = []
        self.bytes_fed = 0
        del self.parser

    def feed(self, data: bytes) -> list[RequestMessage]:
        """Parse data and return the requests that it completes. Raises MalformedMessage."""
        self.messages = []
        chunk_framing = CHUNK_FRAMING_BYTES * self.chunk_count
        self.check_framing(self.bytes_fed, self.body_size, chunk_framing)
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
        # The messages are not kept: an idle connection would hold its last body.
        messages, self.messages = self.messages, []
        return messages

    def on_message_begin(self) -> None:
        """Start a new request."""
        super().on_message_begin()
        self.target = b''
        self.expects_continue = False
        self.in_body = False
        self.chunk_count = 0
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
        if self.content_length() > self.max_body_bytes:
            self.fail(BodyTooLarge('the body is too large'))
        self.in_body = True

    def on_chunk_header(self) -> None:
        """Count the chunks, which may be as small as the caller likes."""
        self.chunk_count += 1

    def on_message_complete(self) -> None:
        """Add the request to the completed messages."""
        self.bytes_fed = 0
        self.in_body = False
        self.expects_continue = False
        keep_alive = self.parser.should_keep_alive() and not self.parser.should_upgrade()
        method = self.parser.get_method()
        held_bytes = self.head_size + HEADER_COST_BYTES * len(self.headers) + self.body_size
        self.messages.append(
            RequestMessage(
                method,
                self.target,
                self.headers,
                self.take_body(),
                keep_alive,
                held_bytes=held_bytes,
            )
        )
