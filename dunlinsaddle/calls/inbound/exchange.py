"""One request of a connection that has been read completely, and its response."""

import asyncio

from dunlinsaddle.calls.http import HOP_BY_HOP, HttpResponse, failure_response
from dunlinsaddle.calls.http_codec import BODILESS_STATUSES, encode_response
from dunlinsaddle.calls.messages import Body
from dunlinsaddle.errors import ErrorKind, Failure

#: Pipelined requests of these methods may run concurrently (RFC 9112, 9.3.2).
SAFE_METHODS = frozenset({b'GET', b'HEAD', b'OPTIONS'})


class Exchange:
    """A request and, once its handler has returned, its response."""

    __slots__ = ('held_bytes', 'keep_alive', 'method', 'response', 'started_at', 'task')

    def __init__(
        self, method: bytes, started_at: float, *, keep_alive: bool, held_bytes: int = 0
    ) -> None:
        self.method = method
        self.started_at = started_at  #: time of the event loop
        self.keep_alive = keep_alive
        self.held_bytes = held_bytes  #: of the request, then of its response
        self.task: asyncio.Task[None] | None = None
        self.response: HttpResponse | None = None  #: None until the handler has returned

    @property
    def done(self) -> bool:
        """Whether the response is ready to be sent."""
        return self.response is not None

    @property
    def is_safe(self) -> bool:
        """Whether it may run beside other such requests of its connection."""
        return self.method in SAFE_METHODS

    def finish(self, response: HttpResponse) -> None:
        """Record the response; the request is not held any more."""
        self.task = None
        self.response = response
        self.held_bytes = len(response.body)

    def fail(self, kind: ErrorKind) -> HttpResponse:
        """Return the response that reports a failure and ends the connection."""
        self.keep_alive = False
        return failure_response(Failure(kind))

    def cancel(self) -> None:
        """Cancel the request."""
        if self.task is not None:
            self.task.cancel()
            # Its traceback refers to this exchange: without this, only the garbage collector would
            # free what the request holds.
            self.task = None

    def encode(self, response: HttpResponse) -> list[Body]:
        """Serialize a response to the request. Raises ValueError if it is not valid HTTP."""
        headers = [(n, v) for n, v in response.headers if n not in HOP_BY_HOP]
        bodiless = self.method == b'HEAD' or response.status in BODILESS_STATUSES
        if not bodiless:
            headers.append((b'content-length', b'%d' % len(response.body)))
        if not self.keep_alive:
            headers.append((b'connection', b'close'))
        return encode_response(response.status, headers, b'' if bodiless else response.body)
