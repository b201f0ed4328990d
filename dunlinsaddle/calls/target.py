"""The target beside a node: what is known of it, and how it is spoken to."""
from collections.abc import Callable
from dunlinsaddle.calls.call_state import PendingCall, RunningCall
from dunlinsaddle.calls.http import HttpResponse, forwarded_headers
from dunlinsaddle.calls.messages import Headers, Reply
from dunlinsaddle.errors import Outcome
from dunlinsaddle.settings import Address
from typing import NamedTuple, Protocol


class AdvertisedState(NamedTuple):
    """What a target says of itself with an answer, beside the answer to the request."""

    rate: float | None = None  #: requests a second that it takes from all nodes, None for no bound
    leaving: bool = False
    unreadable: str | None = None  #: a rate that says nothing, as it cannot be read


NOTHING_ADVERTISED = AdvertisedState()


class TargetDialect(Protocol):
    """How a target is spoken to: what goes with a call, and what its answer says."""

    def request_headers(self, work: PendingCall, running: RunningCall, seconds: float) -> Headers:
        """Give the headers of a call that the target has ``seconds`` for."""

    def matches_request(self, work: PendingCall, headers: Headers) -> bool:
        """Say whether an answer with these headers is one to this call."""

    def read_reply(self, response: HttpResponse) -> Reply:
        """Tell what a whole answer says of the call."""

    def read_advertised_state(self, response: HttpResponse) -> AdvertisedState | None:
        """Tell what a whole answer says of the target; None unless it is the target's own."""


class DefaultDialect:
    """The product's own way: a target passes a token on with the calls that it makes."""

    def request_headers(self, work: PendingCall, running: RunningCall, seconds: float) -> Headers:
        """Give the caller's headers, the time left, and the token."""
        return [
            *((n, v) for n, v in forwarded_headers(work.headers) if n != b'request-timeout'),
            (b'request-timeout', f'{seconds:.3f}'.encode()),
            (b'dunlinsaddle-call', running.token.encode()),
            (b'dunlinsaddle-request', work.ctx.request_id.encode()),
        ]

    def matches_request(self, work: PendingCall, headers: Headers) -> bool:
        """Take every answer: these targets do not name the request in them."""
        return True

    def read_reply(self, response: HttpResponse) -> Reply:
        """Take a whole answer for the end of the work."""
        headers = forwarded_headers(response.headers)
        return Reply(0, response.status, headers, response.body, Outcome.DONE)

    def read_advertised_state(self, response: HttpResponse) -> AdvertisedState | None:
        """Tell nothing: these targets ask for their drain themselves, and name no rate."""
        return None


class LocalTarget:
    """The target beside this node, as it announced itself."""

    def __init__(self) -> None:
        self.on_start: Callable[[], None] = lambda: None
        self.on_drain: Callable[[], None] = lambda: None
        self.service = ''
        self.address: Address | None = None
        self.target_id = ''  #: names the incarnation, where targets say so
        self.started_at_ms = 0  #: Unix milliseconds, 0 where targets do not say
        self.node_draining = False  #: the node itself stops, whatever the target says
        self._drains = False
        self._refused = False

    @property
    def draining(self) -> bool:
        """Whether nothing new may be given to it."""
        return self._drains or self.node_draining

    def announce(self, service: str, address: Address) -> None:
        """Take an announcement; that of a new target ends the drain of the old one.

        A target repeats its announcement while it drains, too: taken as new, it would be
        given work again. It is a new one if it is elsewhere, or if its port was closed.
        """
        same = (service, address) == (self.service, self.address)
        if not same or self._refused:
            self.start_incarnation(service, address, self.target_id)

    @property
    def incarnation(self) -> str:
        """Name this start of it: a target may start again under the id that it had."""
        return f'{self.target_id}/{self.started_at_ms}'

    def start_incarnation(
        self, service: str, address: Address, target_id: str, started_at_ms: int = 0
    ) -> None:
        """Take a new incarnation, which names itself: whatever was held of the old one is over."""
        self.service = service
        self.address = address
        self.target_id = target_id
        self.started_at_ms = started_at_ms
        self._drains = self._refused = False
        self.on_start()

    def drain(self) -> None:
        """Give it nothing new."""
        if not self._drains:
            self._drains = True
            self.on_drain()

    def record_connection_refused(self) -> None:
        """Note that it takes no connections."""
        self._refused = True

    def clear(self) -> None:
        """Forget it: it has gone."""
        self.service, self.address = '', None
