"""Types of the routing configuration. Times are in seconds, sizes in bytes."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service of a route and its weight among the route's services."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route: the requests that it matches, and how they are handled."""

    name: str
    host: str  #: in lower case, without a port
    prefix: str  #: begins and ends with a slash
    idempotent: bool
    timeout: float | None  #: maximum time that a caller waits for an answer
    latency_objective: float | None  #: an answer within this time has its full value
    max_attempts: int  #: number of targets that one request may be sent to
    priority: int  #: 0 is the highest
    weighted_services: tuple[WeightedService, ...]
    public: bool = False  #: open to requests without a key
    is_readable: bool = True  #: if not, all requests are refused: only host and prefix are known


class ServiceSettings(NamedTuple):
    """The operators' settings for a service."""

    name: str
    health_path: str
    max_connections: int


class Quota(NamedTuple):
    """How many requests an organisation may send, summed over all instances."""

    rate: float  #: requests a second
    burst: float  #: further requests that may arrive at once


class Organisation(NamedTuple):
    """An organisation that may send requests; its keys are stored only as digests."""

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None  #: overrides the priority of routes; 0 is the highest
    quota: Quota | None = None  #: None for no limit


class Limits(NamedTuple):
    """Limits on the size and duration of callers' requests.

    ``header_timeout`` bounds the head of a request, and the time without any byte of its body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1 << 20
    header_timeout: float = 10.0
    idle_timeout: float = 75.0


class UnreadableEntry(NamedTuple):
    """An entry of a configuration that is left out, or a route that refuses its requests."""

    kind: str
    name: str  #: empty if it is unreadable, too
    why: str


class Configuration(NamedTuple):
    """A complete configuration. A higher version replaces a lower one."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSettings]
    limits: Limits
    organisations: tuple[Organisation, ...] = ()  #: if empty, no request needs a key
    #: Kinds that this version does not know, by route. Their requests run at most once.
    unknown_kinds: dict[str, str] = {}
    unreadable: tuple[UnreadableEntry, ...] = ()  #: if not empty, only a part is in force
