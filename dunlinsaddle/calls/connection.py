"""One connection to a server: writes a request, and tells whether the answer came whole."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from dunlinsaddle.calls.http import HOP_BY_HOP, HttpRequest, HttpResponse
from dunlinsaddle.calls.http_codec import (
    BodyTooLarge,
    MalformedMessage,
    ResponseMessage,
    ResponseReader,
    encode_request,
)
from dunlinsaddle.calls.keepalive import enable_keepalive
from dunlinsaddle.calls.messages import Headers, Lost, NotSent
from dunlinsaddle.errors import ErrorKind

MAX_HEAD_BYTES = 1 << 16  #: of an answer; common servers send a few hundred bytes


@dataclass(frozen=True, slots=True)
class Answered:
    """A whole response came."""

    response: HttpResponse


SendResult = Answered | NotSent | Lost
ResponseMatcher = Callable[
    [Headers], bool
]  #: whether an answer is one to the request that was sent


def match_any_response(headers: Headers) -> bool:
    """Take any answer for the one that belongs."""
    return True


class ClientConnection(asyncio.Protocol):
    """One kept connection: a request at a time."""

    def __init__(self, max_body_bytes: int, *, allow_close_delimited: bool) -> None:
        self.max_body_bytes = max_body_bytes
        self.allow_close_delimited = allow_close_delimited
        self.loop = asyncio.get_running_loop()
        self.reader = ResponseReader(MAX_HEAD_BYTES, max_body_bytes)
        self.transport: asyncio.Transport
        self.fut: asyncio.Future[SendResult] | None = None
        self.heard = False
        self.closed = False
        self.answers = 0
        self.timer: asyncio.TimerHandle | None = None
        self.repeat: asyncio.Task[None] | None = None
        self.answered_at = 0.0
        self.matches_request: ResponseMatcher = match_any_response

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The transport of another loop need not be a subclass of asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        enable_keepalive(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Say what the end means for the request that is out."""
        self.closed = True
        if self.heard and exc is None:
            # A reset also ends the bytes, but what came before it need not be all.
            self._end()
        kind = ErrorKind.INCOMPLETE_ANSWER if self.heard else ErrorKind.TARGET_LOST
        self.settle(Lost('the connection ended before the whole answer', kind))

    def data_received(self, data: bytes) -> None:
        """Read an answer; bytes that nobody asked for end the connection."""
        if self.fut is None:
            # Bytes that nobody asked for: the next request would take them for its answer.
            self.transport.abort()
            return
        self.heard = True
        try:
            messages = self.reader.feed(data)
        except BodyTooLarge:
            detail = f'the answer is larger than {self.max_body_bytes} bytes'
            self.drop(Lost(detail, ErrorKind.OUTCOME_UNKNOWN))
        except MalformedMessage as exc:
            self.drop(Lost(str(exc), ErrorKind.INCOMPLETE_ANSWER))
        else:
            self._take(messages)

    def send(
        self, req: HttpRequest, host: bytes, matches_request: 'ResponseMatcher'
    ) -> 'asyncio.Future[SendResult]':
        """Write a request, with the host that it names or else the address.

        Raises ValueError, before any byte is written, for what is no HTTP.
        """
        named = req.header(b'host')
        headers = [(b'host', named.encode('latin-1') if named else host)]
        headers += [(n, v) for n, v in req.headers if n not in HOP_BY_HOP]
        wire = encode_request(req.method, req.path, headers, req.body)
        self.fut = self.loop.create_future()
        self.matches_request = matches_request
        self.heard = False
        self.reader.bodiless = req.method == 'HEAD'
        self.transport.write(wire)
        return self.fut

    def reusable(self, within: float) -> bool:
        """Whether it was answered on within the last ``within`` seconds, and is open."""
        fresh = self.loop.time() - self.answered_at <= within
        return fresh and not self.closed and not self.transport.is_closing()

    def settle(self, exchange: SendResult) -> None:
        """End the wait of the request that is out, if one is."""
        fut, self.fut = self.fut, None
        if fut is not None and not fut.done():
            fut.set_result(exchange)

    def drop(self, exchange: SendResult) -> None:
        """End the connection: what still comes on it belongs to nobody."""
        self.transport.abort()
        self.settle(exchange)

    def _take(self, messages: list[ResponseMessage]) -> None:
        """Take the answer among what came, if it is there.

        An answer to an earlier request is passed over: the right one may follow on its heels.
        """
        for number, message in enumerate(messages):
            if self.matches_request(message.headers):
                self._complete(message, extra=number + 1 < len(messages))
                return
        if self.reader.broken:
            self.drop(Lost('bytes that are no answer', ErrorKind.INCOMPLETE_ANSWER))
        elif not self.allow_close_delimited and self.reader.unframed:
            # A body that ends with the connection looks the same whole or cut.
            self.drop(Lost('the answer has no length', ErrorKind.OUTCOME_UNKNOWN))

    def _complete(self, message: ResponseMessage, *, extra: bool) -> None:
        reader = self.reader
        # Bytes behind the answer, as of a doubled one, would be read as the next answer.
        if message.keep_alive and not extra and not reader.broken and not reader.begun:
            self.answers += 1
            self.answered_at = self.loop.time()
        else:
            self.transport.abort()
        self._answer(message)

    def _answer(self, message: ResponseMessage) -> None:
        self.settle(Answered(HttpResponse(message.status, message.headers, message.body)))

    def _end(self) -> None:
        message = self.reader.end() if self.allow_close_delimited else None
        if message is not None and self.matches_request(message.headers):
            self._answer(message)
