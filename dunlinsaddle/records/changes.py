"""Changes to records: a conditional write that includes its own audit entry."""

from datetime import UTC, datetime
from typing import Any, NamedTuple

import msgspec
import xxhash
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
from dunlinsaddle.records.diff import changed_fields
from dunlinsaddle.records.history import (
    RECORD_KIND,
    ChangeEntry,
    RecordObject,
    archive_oldest_entries,
    entries_after,
    is_history_readable,
    read_record_object,
    resulting_version,
)
from dunlinsaddle.records.models import RecordEntry
from dunlinsaddle.records.schema import NEWEST_SCHEMA, decode_entry, schema_version_of

MAX_WRITE_ATTEMPTS = 3
RETRY_AFTER_SECONDS = 1.0
MAX_TEXT_LENGTH = 500


class Change(NamedTuple):
    """A change requested by an operator; ``doc`` is None to delete the record.

    ``id`` is chosen by the operator and is the same in each resend of one change. ``expected``
    is the version that the operator read, or ABSENT if the record must not exist. ``when`` is
    in seconds since the Unix epoch.
    """

    id: str
    service: str
    doc: Any
    expected: int
    who: str
    why: str
    when: float
    downgrade: bool = False


class Accepted(NamedTuple):
    """A change that took effect, and the fields that it changed."""

    version: int
    changed: list[str]
    settled: bool  #: already written by an earlier send of the same change


class VersionConflict(NamedTuple):
    """A version conflict: the fields that others changed since, and those of this change."""

    version: int
    theirs: list[ChangeEntry]
    their_fields: list[str]
    your_fields: list[str]


class Rejected(NamedTuple):
    """A change that was not accepted; ``conflict`` is set on a version conflict."""

    failure: Failure
    conflict: VersionConflict | None = None


def entry_from_object(existing: StoredObject) -> RecordEntry:
    """Return the document in an object of the platform's store."""
    value = existing.value
    doc = value.get('record') if isinstance(value, dict) else value
    return RecordEntry(existing.name, existing.version, doc)


def validate_change(
    change: Change, existing: StoredObject | None, newest_schema: int = NEWEST_SCHEMA
) -> Failure | None:
    """Return the failure of an invalid change, None if it is valid. Ignores versions."""
    text_fields = (('id', change.id), ('who', change.who), ('why', change.why))
    for name, text in text_fields:
        if len(text) > MAX_TEXT_LENGTH or (name != 'why' and not text.strip()):
            detail = f'{name}: expected 1 to {MAX_TEXT_LENGTH} characters'
            return Failure(ErrorKind.INVALID_RECORD, detail)
    if change.doc is None:
        return None
    checked = decode_entry(RecordEntry(change.service, 0, change.doc), newest_schema)
    if isinstance(checked, Err):
        return checked.err_value
    stored_schema = schema_version_of(entry_from_object(existing).doc) if existing else 0
    # An older tool does not know the newer fields and would silently drop them.
    if schema_version_of(change.doc) < stored_schema and not change.downgrade:
        detail = f'schema {stored_schema} stands there: write that, or ask for the downgrade'
        return Failure(ErrorKind.NEWER_SCHEMA, detail)
    return None


async def apply_change(
    store: ObjectStore, change: Change, newest_schema: int = NEWEST_SCHEMA
) -> Result[Accepted, Rejected]:
    """Write a change conditionally, at most once however often it is sent.

    When the response to a write is lost, the object is read back: if its history contains the
    change's id, the change took effect. Writing again with the same expected version is safe,
    since only one write can succeed for each version.
    """
    detail = ''
    for _ in range(MAX_WRITE_ATTEMPTS):
        match await store.get(RECORD_KIND, change.service):
            case Ok(existing):
                pass
            case Err(error):
                return Err(_unavailable(error.detail))
        outcome = _decide_without_write(change, existing, newest_schema)
        if outcome is not None:
            return outcome
        match await _write(store, change, existing):
            case Ok(stored):
                return Ok(_accepted(change, stored, settled=False))
            case Err(Conflict(current)):
                return _decide_without_write(change, current, newest_schema) or Err(
                    _unavailable('it changes too fast')
                )
            case Err(Unavailable(reason)):
                detail = reason
    return Err(_unavailable(detail))


def _decide_without_write(
    change: Change, existing: StoredObject | None, newest_schema: int
) -> Result[Accepted, Rejected] | None:
    """Return the result if no write is needed, None if the change must be written."""
    if not is_history_readable(existing):
        failure = Failure(ErrorKind.NEWER_SCHEMA, 'its audit trail cannot be read here')
        return Err(Rejected(failure))
    earlier = _find_entry(change, existing)
    if existing is not None and earlier is not None:
        if earlier['digest'] != _digest(change):
            failure = Failure(ErrorKind.KEY_REUSED, f'{change.id} was another change')
            return Err(Rejected(failure))
        return Ok(_accepted(change, existing, settled=True))
    invalid = validate_change(change, existing, newest_schema)
    if invalid is not None:
        return Err(Rejected(invalid))
    if not _matches_expected_version(change.expected, existing):
        return Err(_version_conflict(change, existing))
    if change.doc is None and (existing is None or entry_from_object(existing).doc is None):
        return Err(Rejected(Failure(ErrorKind.UNKNOWN_SERVICE, change.service)))
    return None


async def _write(
    store: ObjectStore, change: Change, existing: StoredObject | None
) -> Result[StoredObject, StoreError]:
    before = existing.version if existing else ABSENT
    entry = ChangeEntry(
        id=change.id,
        who=change.who,
        why=change.why,
        when=change.when,
        before=before,
        changed=changed_fields(entry_from_object(existing).doc if existing else None, change.doc),
        deleted=change.doc is None,
        digest=_digest(change),
    )
    record_object = read_record_object(existing)
    value = RecordObject(
        record=change.doc,
        history=[*record_object['history'], entry],
        archived=record_object['archived'],
    )
    match await archive_oldest_entries(store, change.service, value):
        case Ok(trimmed):
            existing_fields = (
                existing.value if existing and isinstance(existing.value, dict) else {}
            )
            return await store.put(
                RECORD_KIND, change.service, {**existing_fields, **trimmed}, before
            )
        case Err(error):
            return Err(error)


def _matches_expected_version(expected: int, existing: StoredObject | None) -> bool:
    if existing is None or (expected == ABSENT and entry_from_object(existing).doc is None):
        return expected == ABSENT
    return expected == existing.version


def _digest(change: Change) -> str:
    digest_input = [change.doc, change.expected, change.who, change.why]
    return str(xxhash.xxh64_hexdigest(msgspec.json.encode(digest_input, order='sorted')))


def _find_entry(change: Change, existing: StoredObject | None) -> ChangeEntry | None:
    return next((e for e in read_record_object(existing)['history'] if e['id'] == change.id), None)


def _accepted(change: Change, existing: StoredObject, *, settled: bool) -> Accepted:
    entry = _find_entry(change, existing)
    changed = entry['changed'] if entry else []
    return Accepted(resulting_version(existing, change.id), changed, settled)


def _version_conflict(change: Change, existing: StoredObject | None) -> Rejected:
    if existing is None:
        failure = Failure(ErrorKind.VERSION_CONFLICT, 'there is no such record')
        return Rejected(failure, VersionConflict(ABSENT, [], [], []))
    theirs = entries_after(existing, change.expected)
    their_fields = sorted({name for entry in theirs for name in entry['changed']})
    your_fields = changed_fields(entry_from_object(existing).doc, change.doc)
    detail = f'version {existing.version} stands there'
    if theirs:
        last = theirs[-1]
        when = datetime.fromtimestamp(last['when'], UTC).strftime('%Y-%m-%dT%H:%M:%SZ')
        detail += f', changed by {last["who"]} at {when} ({", ".join(their_fields) or "nothing"})'
    return Rejected(
        Failure(ErrorKind.VERSION_CONFLICT, detail),
        VersionConflict(existing.version, theirs, their_fields, your_fields),
    )


def _unavailable(detail: str) -> Rejected:
    return Rejected(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail, RETRY_AFTER_SECONDS))
