"""The audit trail of a record, stored with it; old entries are moved to audit objects."""

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

RECORD_KIND = 'records'
AUDIT_KIND = 'audit'
# The platform accepts a megabyte, but a watch sends the whole object on each change, and a new
# watcher reads the objects of all services at once.
MAX_HISTORY_BYTES = 16_384
MIN_INLINE_ENTRIES = 2


class ChangeEntry(TypedDict):
    """One accepted change as stored. ``when`` is in seconds since the Unix epoch."""

    id: str
    who: str
    why: str
    when: float
    before: int
    changed: list[str]
    deleted: bool
    digest: str


class RecordObject(TypedDict):
    """The object stored for a service.

    ``archived`` is the number of audit objects that the oldest entries were moved to.
    """

    record: Any
    history: list[ChangeEntry]
    archived: int


class AuditLine(NamedTuple):
    """One accepted change as shown to operators, with the versions before and after it."""

    service: str
    id: str
    who: str
    why: str
    when: float
    before: int
    after: int
    changed: list[str]
    deleted: bool


def read_record_object(stored: StoredObject | None) -> RecordObject:
    """Decode an object that may have been written by hand; missing fields are empty."""
    value = stored.value if stored is not None and isinstance(stored.value, dict) else {}
    return RecordObject(
        record=value.get('record'),
        history=_entries_if_valid(value.get('history', [])),
        archived=value.get('archived', 0),
    )


def entries_after(stored: StoredObject, version: int) -> list[ChangeEntry]:
    """Return the changes made after a version."""
    return [e for e in read_record_object(stored)['history'] if e['before'] >= version]


def resulting_version(stored: StoredObject, change_id: str) -> int:
    """Return the version that a change created.

    Every write of the object is one change conditional on the previous version, so the next
    entry's ``before`` is that version; the last entry created the current version.
    """
    history = read_record_object(stored)['history']
    for entry, following in itertools.pairwise(history):
        if entry['id'] == change_id:
            return following['before']
    return stored.version


async def archive_oldest_entries(
    store: ObjectStore, service: str, value: RecordObject, max_bytes: int = MAX_HISTORY_BYTES
) -> Result[RecordObject, StoreError]:
    """Move the oldest entries to an audit object when the history exceeds ``max_bytes``.

    The audit object is written first, only if it does not exist, and the entries are removed
    from the record in the same write as the change. A writer that fails in between leaves them
    in both objects: the trail is still read from the record, and the next writer reuses the
    existing audit object.
    """
    history = value['history']
    if len(msgspec.json.encode(history)) <= max_bytes or len(history) <= MIN_INLINE_ENTRIES:
        return Ok(value)
    moved = history[: min(len(history) // 2, len(history) - MIN_INLINE_ENTRIES)]
    name = f'{service}.{value["archived"]}'
    match await store.put(AUDIT_KIND, name, {'history': moved}, ABSENT):
        case Ok(_):
            pass
        case Err(Conflict(current)) if current is not None:
            moved = _entries_if_valid((current.value or {}).get('history', []))
        case Err(error):
            return Err(error)
    ids = [e['id'] for e in moved]
    if ids != [e['id'] for e in history[: len(ids)]]:
        return Err(
            Unavailable(f'{AUDIT_KIND}/{name} holds other entries than {RECORD_KIND}/{service}')
        )
    return Ok(
        RecordObject(
            record=value['record'], history=history[len(ids) :], archived=value['archived'] + 1
        )
    )


async def read_history(
    store: ObjectStore, service: str
) -> Result[list[AuditLine] | None, Unavailable]:
    """Return all changes of a record, oldest first; None if it never existed."""
    match await store.get(RECORD_KIND, service):
        case Ok(None):
            return Ok(None)
        case Ok(stored):
            assert stored is not None
            return await _read_full_history(store, stored, 0.0)
        case Err(error):
            return Err(error)


async def read_audit(
    store: ObjectStore, since: float = 0.0
) -> Result[list[AuditLine], Unavailable]:
    """Return the changes of all records since a Unix time in seconds, oldest first."""
    match await store.list(RECORD_KIND):
        case Ok(listing):
            pass
        case Err(error):
            return Err(error)
    audit_lines: list[AuditLine] = []
    for stored in listing.objects:
        match await _read_full_history(store, stored, since):
            case Ok(lines):
                audit_lines += [line for line in lines if line.when >= since]
            case Err(error):
                return Err(error)
    return Ok(sorted(audit_lines, key=lambda line: (line.when, line.after)))


async def _read_full_history(
    store: ObjectStore, stored: StoredObject, since: float
) -> Result[list[AuditLine], Unavailable]:
    """Return the trail of a record, reading audit objects only back to ``since``."""
    record_object = read_record_object(stored)
    entries = record_object['history']
    for number in reversed(range(record_object['archived'])):
        if entries and entries[0]['when'] < since:
            break
        match await store.get(AUDIT_KIND, f'{stored.name}.{number}'):
            case Ok(part):
                older = _entries_if_valid((part.value or {}).get('history', [])) if part else []
                entries = [*older, *entries]
            case Err(error):
                return Err(error)
    return Ok(_to_audit_lines(stored, entries))


def _to_audit_lines(stored: StoredObject, entries: list[ChangeEntry]) -> list[AuditLine]:
    versions_after = [*(e['before'] for e in entries[1:]), stored.version]
    return [
        AuditLine(
            stored.name,
            entry['id'],
            entry['who'],
            entry['why'],
            entry['when'],
            entry['before'],
            after,
            entry['changed'],
            entry['deleted'],
        )
        for entry, after in zip(entries, versions_after, strict=True)
    ]


def is_history_readable(stored: StoredObject | None) -> bool:
    """Return whether all entries of a trail can be decoded, so that appending loses none."""
    value = stored.value if stored is not None else None
    if value is None:
        return True
    return isinstance(value, dict) and len(_entries_if_valid(value.get('history', []))) == len(
        value.get('history', [])
    )


def _entries_if_valid(raw: Any) -> list[ChangeEntry]:
    """Validate entries and return them unchanged, to keep fields added by newer versions."""
    try:
        msgspec.convert(raw, list[ChangeEntry])
    except msgspec.ValidationError:
        return []
    return list(raw)
