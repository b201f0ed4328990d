"""The operators' configuration, an object in the platform's store."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from dunlinsaddle.platform.units import read_seconds, read_version
from dunlinsaddle.routes.models import Configuration, Limits, Route, ServiceSpec, Share

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


class _Service(msgspec.Struct, rename='camel'):
    health_path: str = ''
    max_connections: Annotated[int, Meta(ge=1)] = 1


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
    services: dict[str, ServiceSpec] = {}
    limits = Limits()
    for entry in document.resources:
        name, raw = entry.metadata.name, entry.specification
        match entry.resource_kind:
            case 'routes':
                routes.append(_route(name, msgspec.json.decode(raw, type=_Route)))
            case 'services':
                spec = msgspec.json.decode(raw, type=_Service)
                services[name] = ServiceSpec(name, spec.health_path, spec.max_connections)
            case 'limits':
                limits = _limits(msgspec.json.decode(raw, type=_Limits))
    return Configuration(read_version(document.version), tuple(routes), services, limits)


def _route(name: str, found: _Route) -> Route:
    shares = tuple(Share(part.service, part.weight) for part in found.traffic_split)
    if found.service:
        shares = (Share(found.service, 1.0),)
    if not any(share.weight > 0 for share in shares):
        raise ValueError(f'route {name} names no service')
    return Route(
        name=name,
        host=found.host.lower(),
        prefix=found.path_prefix,
        idempotent=found.kind != 'unsafe',
        timeout=read_seconds(found.timeout) if found.timeout else None,
        objective=read_seconds(found.target_latency) if found.target_latency else None,
        attempts=found.attempts,
        priority=found.priority,
        shares=shares,
    )


def _limits(found: _Limits) -> Limits:
    return Limits(
        found.max_header_bytes,
        found.max_body_bytes,
        read_seconds(found.header_timeout),
        read_seconds(found.idle_timeout),
    )
