"""The target beside a node: its state, and the protocol between the node and the target."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

import xxhash

from dunlinsaddle.calls.call_state import PendingCall, RunningCall
from dunlinsaddle.calls.http import HttpResponse, forwarded_headers
from dunlinsaddle.calls.messages import Headers, Reply
from dunlinsaddle.calls.outbound.connection import Match
from dunlinsaddle.errors import Outcome
from dunlinsaddle.settings import Address

TOKEN_HEADER = b'dunlinsaddle-call'  #: names one send of a call to a target


class AdvertisedLoad(NamedTuple):
    """The load that a target reports itself; None for each figure that it does not report."""

    waiting: float | None = None  #: requests in the queue of the target
    slowdown: float | None = None  #: time that work takes now, relative to the usual


class AdvertisedState(NamedTuple):
    """State that a target advertises in the headers of a response."""

    rate: float | None = None  #: requests per second accepted from all nodes, None for no limit
    leaving: bool = False
    unreadable: str | None = None  #: text of a rate that cannot be parsed and is ignored
    load: AdvertisedLoad | None = None


NOTHING_ADVERTISED = AdvertisedState()


@dataclass(frozen=True, slots=True)
class Serving:
    """The target says that it serves."""

    target_id: str


@dataclass(frozen=True, slots=True)
class NotServing:
    """The target says that it leaves or fails, or nothing listens at its address."""

    detail: str


@dataclass(frozen=True, slots=True)
class HealthUnknown:
    """There was no answer, or the target was too busy for one."""

    detail: str


@dataclass(frozen=True, slots=True)
class NoHealthPath:
    """The target has no path at which its health can be asked."""


TargetHealth = Serving | NotServing | HealthUnknown | NoHealthPath


class TargetDialect(Protocol):
    """The protocol between a node and a target: request headers and meaning of responses."""

    def request_headers(self, call: PendingCall, running: RunningCall, seconds: float) -> Headers:
        """Return the request headers of a call that has ``seconds`` until its deadline."""

    def match_response(self, running: RunningCall, headers: Headers) -> Match:
        """Return whether a response with these headers belongs to this call."""

    def read_reply(self, call: PendingCall, response: HttpResponse) -> Reply:
        """Convert a complete response to the reply to the call."""

    def read_advertised_state(self, response: HttpResponse) -> AdvertisedState | None:
        """Return the state advertised by the target; None if the response is not its own."""


class DefaultDialect:
    """The default dialect: a target passes a token on with the calls that it makes.

    It may copy the token to its response, which names the send that way. A connection is kept only
    after such responses, as a late copy of any other could not be told from the next response.
    """

    def request_headers(self, call: PendingCall, running: RunningCall, seconds: float) -> Headers:
        """Return the forwarded headers of the caller, the time left, and the token."""
        return [
            *((n, v) for n, v in forwarded_headers(call.headers) if n != b'request-timeout'),
            (b'request-timeout', f'{seconds:.3f}'.encode()),
            (TOKEN_HEADER, running.token.encode()),
            (b'dunlinsaddle-request', call.ctx.request_id.encode()),
        ]

    def match_response(self, running: RunningCall, headers: Headers) -> Match:
        """Compare the token in a response, if it has one, with that of the call."""
        for name, value in headers:
            if name == TOKEN_HEADER:
                return Match.OWN if value == running.token.encode() else Match.OTHER
        return Match.UNNAMED

    def read_reply(self, call: PendingCall, response: HttpResponse) -> Reply:
        """Return a reply with the outcome "done" for every complete response."""
        headers = [(n, v) for n, v in forwarded_headers(response.headers) if n != TOKEN_HEADER]
        return Reply(0, response.status, headers, response.body, Outcome.DONE)

    def read_advertised_state(self, response: HttpResponse) -> AdvertisedState | None:
        """Return None: in this dialect a target requests its drain and advertises no state."""
        return None


class LocalTarget:
    """The target beside this node, as it announced itself."""

    def __init__(self) -> None:
        self.on_start: Callable[[], None] = lambda: None
        self.on_drain: Callable[[], None] = lambda: None
        self.service = ''
        self.address: Address | None = None
        self.target_id = ''  #: id that the target announced, empty if it announces none
        self.started_at_ms = 0  #: Unix time in milliseconds, 0 if not announced
        self.start_number = 0  #: starts that were announced here so far
        self.node_draining = False  #: the node itself stops, whatever the state of the target
        self._is_draining = False
        self._connection_refused = False

    @property
    def draining(self) -> bool:
        """Whether the target must get no new work."""
        return self._is_draining or self.node_draining

    @property
    def accepts_work(self) -> bool:
        """Whether a target is announced that may get new work."""
        return self.address is not None and not self.draining

    def announce(self, service: str, address: Address) -> None:
        """Handle an announcement; a new target ends the drain of the previous one.

        A draining target repeats its announcement and must not get new work for it. The target
        counts as new if its service or address has changed, or if it refused a connection.
        """
        is_same = (service, address) == (self.service, self.address)
        if not is_same or self._connection_refused:
            self.start_incarnation(service, address, self.target_id)

    @property
    def incarnation(self) -> str:
        """Identifier of this run of the target; a target may restart under the same id."""
        return f'{self.target_id}/{self.started_at_ms}'

    @property
    def checksum(self) -> int:
        """32-bit checksum of the incarnation, 0 while no target is announced."""
        return xxhash.xxh32_intdigest(self.incarnation.encode()) if self.service else 0

    def start_incarnation(
        self, service: str, address: Address, target_id: str, started_at_ms: int = 0
    ) -> None:
        """Replace the previous incarnation and its state with a new one."""
        self.service = service
        self.address = address
        self.target_id = target_id
        self.started_at_ms = started_at_ms
        self.start_number += 1
        self._is_draining = self._connection_refused = False
        self.on_start()

    def drain(self) -> None:
        """Stop giving the target new work."""
        if not self._is_draining:
            self._is_draining = True
            self.on_drain()

    def record_connection_refused(self) -> None:
        """Record that the target refused a connection."""
        self._connection_refused = True

    def clear(self) -> None:
        """Forget the target, which has left."""
        self.service, self.address = '', None
