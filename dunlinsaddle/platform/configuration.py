"""Decodes the operators' configuration, an object in the platform's store."""

import math
from typing import Annotated, Any

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from dunlinsaddle.access.keys import key_digest
from dunlinsaddle.platform.units import parse_seconds, parse_version
from dunlinsaddle.routes.models import (
    Configuration,
    Limits,
    Organisation,
    Quota,
    Route,
    ServiceSettings,
    UnreadableEntry,
    WeightedService,
)

KIND = 'config'
NAME = 'main'
#: Kinds of requests that may run more than once. Requests of any other kind run at most once,
#: including those of kinds that this version does not know.
IDEMPOTENT_KINDS = frozenset({'safe', 'download'})
KNOWN_KINDS = IDEMPOTENT_KINDS | {'unsafe', 'upload'}
#: Errors of the decoder and of the conversions for an invalid value.
INVALID_VALUE_ERRORS = (msgspec.MsgspecError, ValueError, TypeError, RecursionError)


class _Part(msgspec.Struct):
    service: str
    weight: Annotated[float, Meta(ge=0)]


class _Route(msgspec.Struct, rename='camel'):
    host: str
    path_prefix: str
    kind: str
    attempts: Annotated[int, Meta(ge=1)] = 1
    priority: Annotated[int, Meta(ge=0)] = 0
    timeout: str | None = None
    target_latency: str | None = None
    service: str | None = None
    traffic_split: list[_Part] = []
    public: bool = False


class _Service(msgspec.Struct, rename='camel'):
    health_path: str = ''
    max_connections: Annotated[int, Meta(ge=1)] = 1


class _Tenant(msgspec.Struct, rename='camel'):
    api_keys: list[str] = []
    priority: Annotated[int, Meta(ge=0)] | None = None
    requests_per_s: Annotated[float, Meta(ge=0)] = 0.0  #: 0 for no limit
    burst: Annotated[float, Meta(ge=0)] = 0.0


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: Annotated[int, Meta(ge=1)]
    max_body_bytes: Annotated[int, Meta(ge=0)]
    header_timeout: str
    idle_timeout: str


class _Meta(msgspec.Struct, frozen=True):
    name: str = ''


class _Resource(msgspec.Struct, rename='camel'):
    resource_kind: str  #: type of the entry: routes, services, tenants or limits
    specification: msgspec.Raw
    metadata: _Meta = _Meta()


class _PartialResource(msgspec.Struct, rename='camel'):
    """An entry of which only the type is required."""

    resource_kind: str
    specification: msgspec.Raw = msgspec.Raw(b'null')
    metadata: msgspec.Raw = msgspec.Raw(b'null')


class _PartialRoute(msgspec.Struct, rename='camel'):
    """The part of a route that determines which requests it matches."""

    host: str
    path_prefix: str


class _Document(msgspec.Struct):
    version: str
    resources: list[msgspec.Raw]


def read_configuration(value: Any, *, usable_part: bool = False) -> Result[Configuration, str]:
    """Decode the value of the object; Err contains the reason if it is invalid.

    With ``usable_part``, entries that cannot be read are left out and named in the configuration.
    A route of which only the host and the prefix are readable is kept, and its requests are
    refused. If they or an organisation are unreadable, the whole value is invalid: requests could
    be served by another route, or without a key.
    """
    try:
        document = msgspec.json.decode(msgspec.json.encode(value), type=_Document)
        return Ok(_to_configuration(document, usable_part=usable_part))
    except INVALID_VALUE_ERRORS as exc:
        return Err(f'unreadable configuration: {exc}')


def _to_configuration(document: _Document, *, usable_part: bool) -> Configuration:
    version = parse_version(document.version)
    entries = _Entries()
    for raw in document.resources:
        try:
            entries.add(msgspec.json.decode(raw, type=_Resource))
        except INVALID_VALUE_ERRORS as exc:
            if not usable_part:
                raise
            entries.add_unreadable(msgspec.json.decode(raw, type=_PartialResource), str(exc))
    _check_uniqueness(entries.organisations)
    return Configuration(
        version,
        tuple(entries.routes),
        entries.services,
        entries.limits,
        tuple(entries.organisations),
        entries.unknown_kinds,
        tuple(entries.unreadable),
    )


class _Entries:
    """The entries of a configuration by type."""

    def __init__(self) -> None:
        self.routes: list[Route] = []
        self.services: dict[str, ServiceSettings] = {}
        self.organisations: list[Organisation] = []
        self.limits = Limits()
        self.unknown_kinds: dict[str, str] = {}
        self.unreadable: list[UnreadableEntry] = []

    def add(self, entry: _Resource) -> None:
        name, raw = entry.metadata.name, entry.specification
        match entry.resource_kind:
            case 'routes':
                route = msgspec.json.decode(raw, type=_Route)
                self.routes.append(_route(name, route))
                if route.kind not in KNOWN_KINDS:
                    self.unknown_kinds[name] = route.kind
            case 'services':
                spec = msgspec.json.decode(raw, type=_Service)
                self.services[name] = ServiceSettings(name, spec.health_path, spec.max_connections)
            case 'tenants':
                wire = msgspec.json.decode(raw, type=_Tenant)
                self.organisations.append(_organisation(name, wire))
            case 'limits':
                self.limits = _limits(msgspec.json.decode(raw, type=_Limits))

    def add_unreadable(self, entry: _PartialResource, why: str) -> None:
        try:
            name = msgspec.json.decode(entry.metadata, type=_Meta).name
        except msgspec.MsgspecError:
            name = ''
        match entry.resource_kind:
            case 'routes':
                wire = msgspec.json.decode(entry.specification, type=_PartialRoute)
                self.routes.append(_refused_route(name, wire))
            case 'tenants':
                raise ValueError(f'unreadable organisation {name}: {why}')
        self.unreadable.append(UnreadableEntry(entry.resource_kind, name, why))


def _refused_route(name: str, wire: _PartialRoute) -> Route:
    """Return the route that refuses what an unreadable route would match."""
    if not wire.path_prefix.startswith('/') or not wire.path_prefix.endswith('/'):
        raise ValueError(f'route {name} has an invalid prefix')
    return Route(
        name=name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        idempotent=False,
        timeout=None,
        latency_objective=None,
        max_attempts=1,
        priority=0,
        weighted_services=(),
        is_readable=False,
    )


def _route(name: str, wire: _Route) -> Route:
    weighted_services = tuple(
        WeightedService(part.service, part.weight) for part in wire.traffic_split
    )
    if wire.service:
        weighted_services = (WeightedService(wire.service, 1.0),)
    if not 0 < sum(share.weight for share in weighted_services) < math.inf:
        raise ValueError(f'route {name} has no service')
    return Route(
        name=name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        idempotent=wire.kind in IDEMPOTENT_KINDS,
        timeout=parse_seconds(wire.timeout) if wire.timeout else None,
        latency_objective=parse_seconds(wire.target_latency) if wire.target_latency else None,
        max_attempts=wire.attempts,
        priority=wire.priority,
        weighted_services=weighted_services,
        public=wire.public,
    )


def _organisation(name: str, wire: _Tenant) -> Organisation:
    if not name.isascii() or not name.isprintable() or not name.strip():
        raise ValueError(f'invalid name of an organisation: {name!r}')
    keys = frozenset(key_digest(key) for key in wire.api_keys)
    quota = Quota(wire.requests_per_s, wire.burst) if wire.requests_per_s else None
    return Organisation(name, keys, wire.priority, quota)


def _check_uniqueness(organisations: list[Organisation]) -> None:
    """Reject duplicate names and keys; the error does not contain the key."""
    names = [org.name for org in organisations]
    if len(set(names)) < len(names):
        raise ValueError('two organisations have the same name')
    if len({key for org in organisations for key in org.key_digests}) < sum(
        len(o.key_digests) for o in organisations
    ):
        raise ValueError('two organisations have the same key')


def _limits(wire: _Limits) -> Limits:
    return Limits(
        wire.max_header_bytes,
        wire.max_body_bytes,
        parse_seconds(wire.header_timeout),
        parse_seconds(wire.idle_timeout),
    )
