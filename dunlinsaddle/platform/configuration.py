"""The operators' configuration, an object in the platform's store."""

from typing import Annotated, Any, Literal

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
    WeightedService,
)

KIND = 'config'
NAME = 'main'


class _Part(msgspec.Struct):
    service: str
    weight: Annotated[float, Meta(ge=0)]


class _Route(msgspec.Struct, rename='camel'):
    host: str
    path_prefix: str
    kind: Literal['safe', 'unsafe', 'download']
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
    resource_kind: str  #: what the entry is: the name of the list that it belongs to
    specification: msgspec.Raw
    metadata: _Meta = _Meta()


class _Document(msgspec.Struct):
    version: str
    resources: list[_Resource]


def read_configuration(value: Any) -> Result[Configuration, str]:
    """Decode the object's value; Err says why it cannot be used."""
    try:
        return Ok(_plain(msgspec.json.decode(msgspec.json.encode(value), type=_Document)))
    except (msgspec.MsgspecError, ValueError, TypeError, RecursionError) as exc:
        return Err(f'unreadable configuration: {exc}')


def _plain(document: _Document) -> Configuration:
    routes: list[Route] = []
    services: dict[str, ServiceSettings] = {}
    organisations: list[Organisation] = []
    limits = Limits()
    for entry in document.resources:
        name, raw = entry.metadata.name, entry.specification
        match entry.resource_kind:
            case 'routes':
                routes.append(_route(name, msgspec.json.decode(raw, type=_Route)))
            case 'services':
                spec = msgspec.json.decode(raw, type=_Service)
                services[name] = ServiceSettings(name, spec.health_path, spec.max_connections)
            case 'tenants':
                found = msgspec.json.decode(raw, type=_Tenant)
                organisations.append(_organisation(name, found))
            case 'limits':
                limits = _limits(msgspec.json.decode(raw, type=_Limits))
    _check_holders(organisations)
    version = parse_version(document.version)
    return Configuration(version, tuple(routes), services, limits, tuple(organisations))


def _route(name: str, found: _Route) -> Route:
    weighted_services = tuple(
        WeightedService(part.service, part.weight) for part in found.traffic_split
    )
    if found.service:
        weighted_services = (WeightedService(found.service, 1.0),)
    if not any(share.weight > 0 for share in weighted_services):
        raise ValueError(f'route {name} names no service')
    return Route(
        name=name,
        host=found.host.lower(),
        prefix=found.path_prefix,
        idempotent=found.kind != 'unsafe',
        timeout=parse_seconds(found.timeout) if found.timeout else None,
        latency_objective=parse_seconds(found.target_latency) if found.target_latency else None,
        max_attempts=found.attempts,
        priority=found.priority,
        weighted_services=weighted_services,
        public=found.public,
    )


def _organisation(name: str, found: _Tenant) -> Organisation:
    if not name.isascii() or not name.isprintable() or not name.strip():
        raise ValueError(f'not the name of an organisation: {name!r}')
    keys = frozenset(key_digest(key) for key in found.api_keys)
    quota = Quota(found.requests_per_s, found.burst) if found.requests_per_s else None
    return Organisation(name, keys, found.priority, quota)


def _check_holders(organisations: list[Organisation]) -> None:
    """Refuse a name that stands twice and a key with two holders, without telling the key."""
    names = [org.name for org in organisations]
    if len(set(names)) < len(names):
        raise ValueError('two organisations have the same name')
    if len({key for org in organisations for key in org.key_digests}) < sum(
        len(o.key_digests) for o in organisations
    ):
        raise ValueError('a key is held by two organisations')


def _limits(found: _Limits) -> Limits:
    return Limits(
        found.max_header_bytes,
        found.max_body_bytes,
        parse_seconds(found.header_timeout),
        parse_seconds(found.idle_timeout),
    )
