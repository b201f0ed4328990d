"""Typed routing configuration. Times in seconds, sizes in bytes."""

from typing import NamedTuple


class WeightedService(NamedTuple):
    """A service of a route, and its weight among the route's services."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route: what it matches, and the terms of the requests on it."""

    name: str
    host: str  #: in lower case, without a port
    prefix: str  #: begins and ends with a slash
    idempotent: bool
    timeout: float | None  #: the longest that a caller is kept waiting
    latency_objective: float | None  #: an answer within it earns its full worth
    max_attempts: int  #: targets that one request may be sent to
    priority: int  #: 0 is the highest
    weighted_services: tuple[WeightedService, ...]
    public: bool = False  #: open to requests without a key


class ServiceSettings(NamedTuple):
    """What the operators say of a service."""

    name: str
    health_path: str
    max_connections: int


class Quota(NamedTuple):
    """How many requests of an organisation may run, over all instances."""

    rate: float  #: requests a second
    burst: float  #: further requests at once


class Organisation(NamedTuple):
    """Who may call, by digests of its keys: no copy of a key is held in this form."""

    name: str
    key_digests: frozenset[bytes]
    priority: int | None = None  #: goes before that of the routes; 0 is the highest
    quota: Quota | None = None  #: None for no limit


class Limits(NamedTuple):
    """What callers may send, and how long they may take."""

    header_bytes: int = 16_384
    body_bytes: int = 1 << 20
    header_timeout: float = 10.0
    idle_timeout: float = 75.0


class Configuration(NamedTuple):
    """One whole configuration. A higher version replaces a lower one."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSettings]
    limits: Limits
    organisations: tuple[Organisation, ...] = ()  #: none: no request needs a key
