"""Schema versions 1 and 2 of a record: document types, decoding and validation."""

from typing import Any, Literal, NamedTuple, NotRequired, Required, TypedDict

import msgspec
from result import Err, Ok, Result

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.records.models import (
    Mode,
    Rank,
    RecordEntry,
    RequestRule,
    ServiceRecord,
    VersionedRecord,
)

NEWEST_SCHEMA = 2
MAX_RULES = 200
MAX_RETRY_BOUND = 10
MAX_RECORD_BYTES = 32_768  #: so that a record always fits into one frame between nodes
MAX_PRIORITY = 3


class RuleV1(TypedDict, total=False):
    """A rule in schema version 1: the priority is a number, 0 to 3."""

    name: Required[str]
    method: Required[str]
    path: Required[str]
    priority: int
    idempotent: bool


class RecordV1(TypedDict, total=False):
    """A record in schema version 1."""

    schema: Required[Literal[1]]
    service: Required[str]
    requests: list[RuleV1]
    deadline_seconds: float
    retries: int


class RuleV2(TypedDict, total=False):
    """A rule in schema version 2: the priority is a name, in ``rank``."""

    name: Required[str]
    method: Required[str]
    path: Required[str]
    rank: Literal['critical', 'high', 'normal', 'low']
    idempotent: bool


class TargetsV2(TypedDict, total=False):
    """Settings for each target of a service."""

    slots: int
    connections: int


class RecordV2(TypedDict, total=False):
    """A record in schema version 2."""

    schema: Required[Literal[2]]
    service: Required[str]
    mode: Literal['observe', 'enforce']
    requests: list[RuleV2]
    deadline: float
    retry_bound: int
    targets: NotRequired[TargetsV2]
    resend_ratio: float
    recovery_bias: float
    key_window: float


class _Bound(NamedTuple):
    low: float
    high: float


_BOUNDS: dict[str, _Bound] = {
    'deadline': _Bound(0.01, 3600),
    'retry_bound': _Bound(0, MAX_RETRY_BOUND),
    'slots': _Bound(0, 100_000),
    'connections': _Bound(1, 100_000),
    'resend_ratio': _Bound(0, 1),
    'recovery_bias': _Bound(0, 1),
    'key_window': _Bound(60, 86_400),
}


def decode_record(doc: Any, newest_schema: int = NEWEST_SCHEMA) -> Result[ServiceRecord, Failure]:
    """Convert a parsed JSON document of any supported schema version to a record.

    Errors: ``INVALID_RECORD`` with the invalid field, ``NEWER_SCHEMA`` for a version
    above ``newest_schema``.
    """
    if not isinstance(doc, dict):
        return _invalid('a record is a JSON object')
    schema = schema_version_of(doc)
    if schema < 1:
        return _invalid('schema: expected a whole number from 1')
    if schema > newest_schema:
        return Err(
            Failure(
                ErrorKind.NEWER_SCHEMA,
                f'schema: {schema} is newer than {newest_schema}, the newest known here',
            )
        )
    return _decode_supported(doc, schema)


def schema_version_of(doc: Any) -> int:
    """Return the schema version of a document, 0 if it has none."""
    schema = doc.get('schema') if isinstance(doc, dict) else None
    return schema if isinstance(schema, int) and not isinstance(schema, bool) else 0


def decode_entry(
    entry: RecordEntry, newest_schema: int = NEWEST_SCHEMA
) -> Result[VersionedRecord, Failure]:
    """Decode a document and check that it describes the service that it is stored under."""
    if entry.doc is None:
        return Ok(VersionedRecord(entry.service, entry.version, None))
    match decode_record(entry.doc, newest_schema):
        case Ok(record) if record.service != entry.service:
            return _invalid(f'service: {record.service!r}: expected {entry.service!r}')
        case Ok(record):
            return Ok(VersionedRecord(entry.service, entry.version, record))
        case Err(failure):
            return Err(failure)


def _decode_supported(doc: dict[str, Any], schema: int) -> Result[ServiceRecord, Failure]:
    size = len(msgspec.json.encode(doc))
    if size > MAX_RECORD_BYTES:
        return _invalid(f'{size} bytes: expected at most {MAX_RECORD_BYTES}')
    schema_type: Any = RecordV1 if schema == 1 else RecordV2
    unknown = _unknown_field(doc, schema_type)
    if unknown is not None:
        return _invalid(f'{unknown}: not a field of schema {schema}')
    try:
        converted = msgspec.convert(doc, schema_type)
    except msgspec.ValidationError as exc:
        return _invalid(str(exc))
    problem = _priority_problem(converted) if schema == 1 else None
    if problem:
        return _invalid(problem)
    return _validate(_from_v1(converted) if schema == 1 else _from_v2(converted))


def encode_record(record: ServiceRecord) -> RecordV2:
    """Return the document of a record in the newest schema version."""
    return RecordV2(
        schema=2,
        service=record.service,
        mode=record.mode.value,
        requests=[
            RuleV2(
                name=rule.name,
                method=rule.method,
                path=rule.path,
                rank=rule.rank.name.lower(),  # type: ignore[typeddict-item]
                idempotent=rule.idempotent,
            )
            for rule in record.rules
        ],
        deadline=record.deadline,
        retry_bound=record.retry_bound,
        targets=TargetsV2(slots=record.slots, connections=record.connections),
        resend_ratio=record.resend_ratio,
        recovery_bias=record.recovery_bias,
        key_window=record.key_window,
    )


def _invalid(detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.INVALID_RECORD, detail))


def _unknown_field(doc: dict[str, Any], schema_type: Any) -> str | None:
    """Return the first field that is not in the schema, so that misspelt ones are rejected."""
    rule_type = RuleV1 if schema_type is RecordV1 else RuleV2
    for name in doc:
        if name not in schema_type.__annotations__:
            return name
    targets = doc.get('targets')
    if isinstance(targets, dict):
        for name in targets:
            if name not in TargetsV2.__annotations__:
                return f'targets.{name}'
    rules = doc.get('requests')
    for index, rule in enumerate(rules if isinstance(rules, list) else ()):
        if not isinstance(rule, dict):
            continue
        for name in rule:
            if name not in rule_type.__annotations__:
                return f'requests[{index}].{name}'
    return None


def _priority_problem(doc: RecordV1) -> str | None:
    for index, rule in enumerate(doc.get('requests', [])):
        priority = rule.get('priority', 2)
        if not 0 <= priority <= MAX_PRIORITY:
            return f'requests[{index}].priority: {priority}: expected 0 to {MAX_PRIORITY}'
    return None


def _from_v1(doc: RecordV1) -> ServiceRecord:
    rules = tuple(
        RequestRule(
            rule['name'],
            rule['method'],
            rule['path'],
            Rank(rule.get('priority', 2)),
            rule.get('idempotent', True),
        )
        for rule in doc.get('requests', [])
    )
    return ServiceRecord(
        service=doc['service'],
        schema=1,
        rules=rules,
        deadline=doc.get('deadline_seconds', 10.0),
        retry_bound=doc.get('retries', 2),
    )


def _from_v2(doc: RecordV2) -> ServiceRecord:
    base = ServiceRecord(doc['service'], 2)
    targets = doc.get('targets', {})
    return ServiceRecord(
        service=doc['service'],
        schema=2,
        mode=Mode(doc.get('mode', base.mode)),
        rules=tuple(
            RequestRule(
                rule['name'],
                rule['method'],
                rule['path'],
                Rank[rule.get('rank', 'normal').upper()],
                rule.get('idempotent', True),
            )
            for rule in doc.get('requests', [])
        ),
        deadline=doc.get('deadline', base.deadline),
        retry_bound=doc.get('retry_bound', base.retry_bound),
        slots=targets.get('slots', base.slots),
        connections=targets.get('connections', base.connections),
        resend_ratio=doc.get('resend_ratio', base.resend_ratio),
        recovery_bias=doc.get('recovery_bias', base.recovery_bias),
        key_window=doc.get('key_window', base.key_window),
    )


def _validate(record: ServiceRecord) -> Result[ServiceRecord, Failure]:
    problem = _name_problem(record.service) or _bounds_problem(record) or _rules_problem(record)
    return _invalid(problem) if problem else Ok(record)


def _name_problem(name: str) -> str | None:
    plain = name.replace('-', '')
    if 0 < len(name) <= 64 and plain.isascii() and plain.isalnum() and name == name.lower():
        return None
    return f'service: {name!r}: expected 1 to 64 of a-z, 0-9 and -'


def _bounds_problem(record: ServiceRecord) -> str | None:
    for name, bound in _BOUNDS.items():
        value = getattr(record, name)
        if not bound.low <= value <= bound.high:
            return f'{name}: {value}: expected {bound.low:g} to {bound.high:g}'
    return None


def _rules_problem(record: ServiceRecord) -> str | None:
    if len(record.rules) > MAX_RULES:
        return f'requests: {len(record.rules)} rules, at most {MAX_RULES}'
    seen: set[str] = set()
    for rule in record.rules:
        if rule.name in seen:
            return f'requests: two rules are named {rule.name!r}'
        seen.add(rule.name)
        if not rule.path.startswith('/'):
            return f'requests: {rule.name}: path {rule.path!r}: expected a leading /'
        if rule.method != '*' and not (rule.method.isalpha() and rule.method.isupper()):
            return f'requests: {rule.name}: method {rule.method!r}: expected upper case or *'
        if rule.rank is Rank.CRITICAL and rule.method in ('GET', 'HEAD') and not rule.idempotent:
            return f'requests: {rule.name}: a {rule.method} cannot be non-idempotent'
    return None
