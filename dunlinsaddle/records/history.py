"""The audit trail: kept in the object that it tells of, its oldest part in objects beside it."""

import itertools
from typing import Any, NamedTuple, TypedDict

import msgspec
from result import Err, Ok, Result

from dunlinsaddle.platform.store import (
    ABSENT,
    Conflict,
    ObjectStore,
    StoredObject,
    StoreError,
    Unavailable,
)

RECORDS = 'records'
AUDIT = 'audit'
# The platform takes a megabyte, but a watch carries the whole object for each change, and a
# fresh watcher reads the objects of all services at once.
MAX_HISTORY_BYTES = 16_384
MIN_INLINE_ENTRIES = 2


class ChangeEntry(TypedDict):
    """One accepted change, as the audit trail keeps it. ``when`` in seconds since 1970."""

    id: str
    who: str
    why: str
    when: float
    before: int
    changed: list[str]
    deleted: bool
    digest: str


class RecordObject(TypedDict):
    """What the platform holds for a service.

    ``archived`` counts the audit objects that the oldest entries were moved to.
    """

    record: Any
    history: list[ChangeEntry]
    archived: int


class AuditLine(NamedTuple):
    """One accepted change as operators read it, from version to version."""

    service: str
    id: str
    who: str
    why: str
    when: float
    before: int
    after: int
    changed: list[str]
    deleted: bool


def read_record_object(held: StoredObject | None) -> RecordObject:
    """Read an object that may have been written by hand; what is missing is empty."""
    value = held.value if held is not None and isinstance(held.value, dict) else {}
    return RecordObject(
        record=value.get('record'),
        history=_entries(value.get('history', [])),
        archived=value.get('archived', 0),
    )


def entries_after(held: StoredObject, version: int) -> list[ChangeEntry]:
    """Give the changes that came after a version."""
    return [e for e in read_record_object(held)['history'] if e['before'] >= version]


def resulting_version(held: StoredObject, change_id: str) -> int:
    """Give the version that a change led to.

    Every write of the object is one change on the condition of the version before, so the
    next entry's ``before`` is it; the last entry led to what stands there.
    """
    history = read_record_object(held)['history']
    for entry, following in itertools.pairwise(history):
        if entry['id'] == change_id:
            return following['before']
    return held.version


async def archive_oldest_entries(
    store: ObjectStore, service: str, value: RecordObject, max_bytes: int = MAX_HISTORY_BYTES
) -> Result[RecordObject, StoreError]:
    """Move the oldest entries to an audit object when the history has grown too long.

    The copy is written first and created only if absent, and the entries leave the record in
    the same write as the change: whoever fails in between leaves them in both places, where
    reading counts them once, and the next writer takes the copy that stands there.
    """
    history = value['history']
    if len(msgspec.json.encode(history)) <= max_bytes or len(history) <= MIN_INLINE_ENTRIES:
        return Ok(value)
    moved = history[: min(len(history) // 2, len(history) - MIN_INLINE_ENTRIES)]
    name = f'{service}.{value["archived"]}'
    match await store.put(AUDIT, name, {'history': moved}, ABSENT):
        case Ok(_):
            pass
        case Err(Conflict(current)) if current is not None:
            moved = _entries((current.value or {}).get('history', []))
        case Err(error):
            return Err(error)
    ids = [e['id'] for e in moved]
    if ids != [e['id'] for e in history[: len(ids)]]:
        return Err(Unavailable(f'{AUDIT}/{name} holds other entries than {RECORDS}/{service}'))
    return Ok(
        RecordObject(
            record=value['record'], history=history[len(ids) :], archived=value['archived'] + 1
        )
    )


async def read_history(
    store: ObjectStore, service: str
) -> Result[list[AuditLine] | None, Unavailable]:
    """Read all changes of a record, the oldest first; None where there never was one."""
    match await store.get(RECORDS, service):
        case Ok(None):
            return Ok(None)
        case Ok(held):
            assert held is not None
            return await _whole(store, held, 0.0)
        case Err(error):
            return Err(error)


async def read_audit(
    store: ObjectStore, since: float = 0.0
) -> Result[list[AuditLine], Unavailable]:
    """Read the changes of all records from a moment on, the oldest first."""
    match await store.list(RECORDS):
        case Ok(listing):
            pass
        case Err(error):
            return Err(error)
    found: list[AuditLine] = []
    for held in listing.objects:
        match await _whole(store, held, since):
            case Ok(lines):
                found += [line for line in lines if line.when >= since]
            case Err(error):
                return Err(error)
    return Ok(sorted(found, key=lambda line: (line.when, line.after)))


async def _whole(
    store: ObjectStore, held: StoredObject, since: float
) -> Result[list[AuditLine], Unavailable]:
    """Read the trail of a record, its audit objects only as far back as is asked for."""
    obj = read_record_object(held)
    entries = obj['history']
    for number in reversed(range(obj['archived'])):
        if entries and entries[0]['when'] < since:
            break
        match await store.get(AUDIT, f'{held.name}.{number}'):
            case Ok(part):
                older = _entries((part.value or {}).get('history', [])) if part else []
                entries = [*older, *entries]
            case Err(error):
                return Err(error)
    return Ok(_lines(held, entries))


def _lines(held: StoredObject, entries: list[ChangeEntry]) -> list[AuditLine]:
    afters = [*(e['before'] for e in entries[1:]), held.version]
    return [
        AuditLine(
            held.name,
            entry['id'],
            entry['who'],
            entry['why'],
            entry['when'],
            entry['before'],
            after,
            entry['changed'],
            entry['deleted'],
        )
        for entry, after in zip(entries, afters, strict=True)
    ]


def is_history_readable(held: StoredObject | None) -> bool:
    """Say whether the trail of a record can be read, and so be added to without a loss."""
    value = held.value if held is not None else None
    if value is None:
        return True
    return isinstance(value, dict) and len(_entries(value.get('history', []))) == len(
        value.get('history', [])
    )


def _entries(raw: Any) -> list[ChangeEntry]:
    """Check entries and give them as they are: a newer program's further fields must stay."""
    try:
        msgspec.convert(raw, list[ChangeEntry])
    except msgspec.ValidationError:
        return []
    return list(raw)
