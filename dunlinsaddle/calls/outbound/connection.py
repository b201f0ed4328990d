"""Client side of one HTTP connection: sends a request and reports how the exchange ended."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, cast

from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.http import HOP_BY_HOP, HttpRequest, HttpResponse
from dunlinsaddle.calls.http_codec import (
    BodyTooLarge,
    MalformedMessage,
    encode_request,
    write_parts,
)
from dunlinsaddle.calls.keepalive import enable_keepalive, limit_unread_bytes
from dunlinsaddle.calls.messages import Headers, Lost, NotSent
from dunlinsaddle.calls.outbound.sent_requests import SentRequests
from dunlinsaddle.calls.response_reader import ResponseMessage, ResponseReader
from dunlinsaddle.calls.send_watch import Sending
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.peer_progress import Verdict

MAX_UNREAD_BYTES = 1 << 16  #: of the kernel, while this process reads other connections
MAX_HEAD_BYTES = 1 << 16  #: of a response; common servers send a few hundred bytes


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole response was received."""

    response: HttpResponse
    connection: int = 0  #: number of the connection, unique in this process
    earlier_responses: int = 0  #: that the connection received to earlier requests


class SkippedResponse(NamedTuple):
    """A response that was not taken for the one to the request in progress."""

    headers: Headers
    status: int
    connection: int  #: number of the connection
    in_progress: str  #: id of the request in progress, empty if it is not known


SendResult = Answered | NotSent | Lost


class Match(Enum):
    """What the headers of a response say of the request that it belongs to."""

    OWN = 'the request in progress'
    OTHER = 'another request'
    UNNAMED = 'nothing'


ResponseMatcher = Callable[[Headers], Match]  #: compares a response with the request in progress

_connection_numbers = itertools.count(1)


def match_any_response(headers: Headers) -> Match:
    """Accept every response."""
    return Match.OWN


class ResponseRules(NamedTuple):
    """What a client expects of the responses of its servers."""

    max_body_bytes: int
    #: Accept a body that ends with the connection, from servers that reset the connection of an
    #: incomplete response.
    allow_close_delimited: bool = False
    #: A response that names no request proves nothing: it may be a rest of an earlier exchange, or
    #: have lost its headers. Otherwise it is accepted, and the connection is given up, as a late
    #: copy of it could not be recognised there.
    requires_name: bool = False


class ClientConnection(asyncio.Protocol):
    """A keep-alive connection that carries one request at a time."""

    def __init__(
        self,
        rules: ResponseRules,
        on_skipped: Callable[[SkippedResponse], None] = lambda skipped: None,
        held_memory: HeldMemory | None = None,
    ) -> None:
        self.held_memory = held_memory or HeldMemory()
        self.number = next(_connection_numbers)
        self.rules = rules
        self.on_skipped = on_skipped
        self.loop = asyncio.get_running_loop()
        self.reader = ResponseReader(MAX_HEAD_BYTES, rules.max_body_bytes)
        self.transport: asyncio.Transport
        self.result_future: asyncio.Future[SendResult] | None = None
        self.is_counted = False  #: whether memory is held for the response
        self.received_data = False  #: since the current request was sent
        self.closed = False
        self.response_count = 0
        self.sent_requests = SentRequests()
        self.request_id = ''  #: of the latest request, empty if it is not known
        self.may_repeat = False  #: whether the latest request may be sent again if it is lost
        self.timer: asyncio.TimerHandle | None = None
        self.resend_task: asyncio.Task[None] | None = None
        self.last_response_at = 0.0
        self.opened_at = self.loop.time()
        self.matches_request: ResponseMatcher = match_any_response
        self.sending = Sending(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keepalive."""
        # The transport of another event loop need not be a subclass of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        enable_keepalive(transport)
        limit_unread_bytes(transport, MAX_UNREAD_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete the pending request according to what was received of its response."""
        self.closed = True
        if self.received_data and exc is None:
            # After a reset, the received part of a close-delimited body may be incomplete.
            self._finish_close_delimited()
        kind = ErrorKind.INCOMPLETE_ANSWER if self.received_data else ErrorKind.TARGET_LOST
        self.set_result(Lost('the connection ended before the whole answer', kind))

    def data_received(self, data: bytes) -> None:
        """Parse the response; data without a pending request aborts the connection."""
        if self.result_future is None:
            # Unsolicited data would be mistaken for the response to the next request.
            self.transport.abort()
            return
        self.received_data = True
        try:
            messages = self.reader.feed(data)
        except BodyTooLarge:
            detail = f'the answer is larger than {self.rules.max_body_bytes} bytes'
            self.abort(Lost(detail, ErrorKind.OUTCOME_UNKNOWN))
        except MalformedMessage as exc:
            self.abort(Lost(str(exc), ErrorKind.INCOMPLETE_ANSWER))
        else:
            self._handle_messages(messages)
        if self.result_future is not None:
            self.is_counted = True
            self.held_memory.set(self, self.reader.held_bytes)

    def end_sending(self, verdict: Verdict, undelivered: int) -> None:
        """Abort the connection, as the kernel does if the server has gone."""
        self.transport.abort()

    @property
    def has_begun(self) -> bool:
        """Whether the server may be at work for the request."""
        return True

    def give_up(self) -> None:
        """Abort the connection: its response holds the most memory, and there is no more."""
        detail = f'the answers in progress are larger than {self.held_memory.limit} bytes'
        self.abort(Lost(detail, ErrorKind.INCOMPLETE_ANSWER))

    def send(
        self, req: HttpRequest, default_host: bytes, matches_request: 'ResponseMatcher'
    ) -> 'asyncio.Future[SendResult]':
        """Write a request; ``default_host`` is used if it has no Host header.

        Raises ValueError, before any byte is written, if the request is not valid HTTP.
        """
        host_header = req.header(b'host')
        headers = [(b'host', host_header.encode('latin-1') if host_header else default_host)]
        headers += [(n, v) for n, v in req.headers if n not in HOP_BY_HOP]
        parts = encode_request(req.method, req.path, headers, req.body)
        self.result_future = self.loop.create_future()
        self.matches_request = matches_request
        self.received_data = False
        self.reader.begin(self._accepts, expects_no_body=req.method == 'HEAD')
        write_parts(self.transport, parts)
        if req.body:
            # The rest of a request is too small to fill the window of a server.
            self.sending.start()
        return self.result_future

    def is_reusable(self, max_idle_seconds: float) -> bool:
        """Return whether it is open and received a response within ``max_idle_seconds``."""
        is_recent = self.loop.time() - self.last_response_at <= max_idle_seconds
        return is_recent and not self.closed and not self.transport.is_closing()

    def set_result(self, result: SendResult) -> None:
        """Complete the pending request, if there is one."""
        if self.is_counted:
            self._release_response(is_taken=isinstance(result, Answered))
        future, self.result_future = self.result_future, None
        if future is not None and not future.done():
            future.set_result(result)

    def _release_response(self, *, is_taken: bool) -> None:
        self.is_counted = False
        if is_taken:
            # Its caller takes it over right after that. If it were released now, others could take
            # up its memory meanwhile.
            self.loop.call_soon(self.held_memory.release, self)
        else:
            self.held_memory.release(self)

    def abort(self, result: SendResult) -> None:
        """Abort the connection and complete the pending request; later data is discarded."""
        self.transport.abort()
        self.set_result(result)
        self.reader.discard_message()

    def _accepts(self, headers: Headers) -> bool:
        """Return whether a response with these headers is taken for the one that is awaited."""
        match self.matches_request(headers):
            case Match.OWN:
                return True
            case Match.OTHER:
                return False
        return not self.rules.requires_name

    def _handle_messages(self, messages: list[ResponseMessage]) -> None:
        """Complete the request with the response that belongs to it, if it was received.

        Others are skipped: the right one may follow.
        """
        for index, message in enumerate(messages):
            if self._accepts(message.headers):
                self._complete(message, has_extra=index + 1 < len(messages))
                return
            is_unnamed = self.matches_request(message.headers) is Match.UNNAMED
            if is_unnamed and not self._may_be_left_over():
                self.abort(Lost('the answer names no request', ErrorKind.INCOMPLETE_ANSWER))
                return
            self.on_skipped(
                SkippedResponse(message.headers, message.status, self.number, self.request_id)
            )
        if self.reader.broken:
            self.abort(Lost('bytes that are no answer', ErrorKind.INCOMPLETE_ANSWER))
        elif not self.rules.allow_close_delimited and self.reader.is_close_delimited:
            # A truncated body could not be distinguished from a complete one.
            self.abort(Lost('the answer has no length', ErrorKind.OUTCOME_UNKNOWN))

    def _may_be_left_over(self) -> bool:
        """Return whether to await another response after one that names no request.

        An earlier exchange may have left it here, in which case the right one follows. A request
        that may be repeated is better sent again; for another the right one is all there is.
        """
        return bool(self.response_count) and not self.may_repeat

    def _complete(self, message: ResponseMessage, *, has_extra: bool) -> None:
        reader = self.reader
        # Bytes after the response, as of a duplicate, would be read as the next response. A server
        # that responds before it has read the whole request may never read the next one.
        has_read_request = not self.transport.get_write_buffer_size()
        is_clean = not has_extra and not reader.broken and not reader.in_message
        earlier_responses = self.response_count
        is_named = self.matches_request(message.headers) is Match.OWN
        if message.keep_alive and is_clean and has_read_request and is_named:
            self.response_count += 1
            self.last_response_at = self.loop.time()
        else:
            self.transport.abort()
        self._set_response(message, earlier_responses)

    def _set_response(self, message: ResponseMessage, earlier_responses: int) -> None:
        response = HttpResponse(message.status, message.headers, message.body)
        self.set_result(Answered(response, self.number, earlier_responses))

    def _finish_close_delimited(self) -> None:
        message = self.reader.feed_eof() if self.rules.allow_close_delimited else None
        if message is not None and self._accepts(message.headers):
            self._set_response(message, self.response_count)
