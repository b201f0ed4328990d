"""Changes of records: a conditional write that carries its own audit entry."""

from typing import Any, NamedTuple, TypedDict

from result import Err, Ok, Result

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.platform.store import (
    ABSENT,
    Conflict,
    ObjectStore,
    StoredObject,
    StoreError,
    Unavailable,
)
from dunlinsaddle.records.models import VersionedRecord
from dunlinsaddle.records.schema import decode_record

RECORDS = 'records'


class ChangeEntry(TypedDict):
    """One accepted change, as the audit trail keeps it. ``when`` in seconds since 1970."""

    id: str
    who: str
    why: str
    when: float
    before: int
    deleted: bool


class StoredRecord(TypedDict):
    """What the platform holds for a service: the document, and how it came to be."""

    record: Any
    history: list[ChangeEntry]


class Change(NamedTuple):
    """What an operator asks for; ``doc`` is None to delete."""

    service: str
    doc: Any
    expected: int
    entry: ChangeEntry


def versioned(held: StoredObject) -> Result[VersionedRecord, Failure]:
    """Read a record as it is stored."""
    doc = (held.value or {}).get('record')
    if doc is None:
        return Ok(VersionedRecord(held.name, held.version, None))
    return decode_record(doc).map(lambda r: VersionedRecord(held.name, held.version, r))


async def apply_change(store: ObjectStore, change: Change) -> Result[int, Failure]:
    """Write a change on its condition; gives the new version."""
    if change.doc is not None:
        checked = decode_record(change.doc)
        if isinstance(checked, Err):
            return checked
    match await store.get(RECORDS, change.service):
        case Ok(held):
            pass
        case Err(error):
            return Err(Failure(ErrorKind.PLATFORM_UNAVAILABLE, error.detail, 1.0))
    version = held.version if held else ABSENT
    if version != change.expected:
        return Err(_conflict(held))
    history = list((held.value or {}).get('history', [])) if held else []
    value = StoredRecord(record=change.doc, history=[*history, change.entry])
    written = await store.put(RECORDS, change.service, value, change.expected)
    return written.map(lambda stored: stored.version).map_err(_write_failure)


def _write_failure(error: StoreError) -> Failure:
    match error:
        case Conflict(current):
            return _conflict(current)
        case Unavailable(detail):
            return Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail, 1.0)


def _conflict(held: StoredObject | None) -> Failure:
    if held is None:
        return Failure(ErrorKind.VERSION_CONFLICT, 'there is no such record yet')
    history = (held.value or {}).get('history', [])
    who = history[-1]['who'] if history else 'somebody'
    return Failure(
        ErrorKind.VERSION_CONFLICT, f'version {held.version} stands there, changed by {who}'
    )
