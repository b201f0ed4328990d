"""Parses the responses of one HTTP/1.1 connection."""

from collections.abc import Callable
from typing import NamedTuple

import httptools

from dunlinsaddle.calls.http_codec import (
    BODILESS_STATUSES,
    FRAMING_HEADERS,
    MAX_STATUS,
    MIN_FINAL_STATUS,
    MIN_STATUS,
    BodyTooLarge,
    MalformedMessage,
    MessageReader,
)
from dunlinsaddle.calls.messages import Body, Headers


class ResponseMessage(NamedTuple):
    """A complete response as received. Header names are in lower case."""

    status: int
    headers: Headers
    body: Body
    keep_alive: bool


class ResponseReader(MessageReader):
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
        # Chunks of five bytes have as much framing; smaller ones take long to parse.
        self.check_framing(self._bytes_read, self._body_bytes_read, self._body_bytes_read)
        self._bytes_read += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, MalformedMessage) as exc:
            self.broken = True
            if not self.messages:
                raise self.error or MalformedMessage(str(exc)) from exc
        # The messages are not kept: an idle connection would hold its last body.
        messages, self.messages = self.messages, []
        return messages

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
        self._check_status()
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

    def _check_status(self) -> None:
        """Reject what is neither an interim nor a final response.

        Taken for an interim one, it would leave the caller to wait for an answer that never comes.
        """
        status = self.parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            self.fail(MalformedMessage(f'no HTTP status: {status:03}'))
        if status < MIN_FINAL_STATUS and self._has_announced_body():
            self.fail(MalformedMessage(f'an interim response with a body: {status}'))

    def _has_announced_body(self) -> bool:
        is_chunked = any(name == b'transfer-encoding' for name, _ in self.headers)
        return is_chunked or self.content_length() > 0

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
