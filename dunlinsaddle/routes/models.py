"""Typed routing configuration. Times in seconds, sizes in bytes."""

from typing import NamedTuple


class Share(NamedTuple):
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
    objective: float | None  #: an answer within it earns its full worth
    attempts: int  #: targets that one request may be sent to
    priority: int  #: 0 is the highest
    shares: tuple[Share, ...]


class ServiceSpec(NamedTuple):
    """What the operators say of a service."""

    name: str
    health_path: str
    connections: int


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
    services: dict[str, ServiceSpec]
    limits: Limits
