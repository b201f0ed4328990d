"""Changes of records: a conditional write that carries its own audit entry."""

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
    RECORDS,
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
    """What an operator asks for; ``doc`` is None to delete.

    ``id`` is the operator's own, the same in each resend of one change. ``expected`` is the
    version read before, ABSENT where no record may stand. ``when`` in seconds since 1970.
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
    """A change that took effect, and what it changed."""

    version: int
    changed: list[str]
    settled: bool  #: found already written, by an earlier send of the same change


class Clash(NamedTuple):
    """What stands in the way of a change: what others changed since, and what this would."""

    version: int
    theirs: list[ChangeEntry]
    their_fields: list[str]
    your_fields: list[str]


class Rejected(NamedTuple):
    """A change that was not accepted; ``clash`` where somebody else was first."""

    failure: Failure
    clash: Clash | None = None


def entry_from_object(held: StoredObject) -> RecordEntry:
    """Give the document that an object of the platform holds."""
    value = held.value
    doc = value.get('record') if isinstance(value, dict) else value
    return RecordEntry(held.name, held.version, doc)


def validate_change(
    change: Change, held: StoredObject | None, newest_schema: int = NEWEST_SCHEMA
) -> Failure | None:
    """Say what is wrong with a change, whatever the versions."""
    texts = (('id', change.id), ('who', change.who), ('why', change.why))
    for name, text in texts:
        if len(text) > MAX_TEXT_LENGTH or (name != 'why' and not text.strip()):
            detail = f'{name}: expected 1 to {MAX_TEXT_LENGTH} characters'
            return Failure(ErrorKind.INVALID_RECORD, detail)
    if change.doc is None:
        return None
    checked = decode_entry(RecordEntry(change.service, 0, change.doc), newest_schema)
    if isinstance(checked, Err):
        return checked.err_value
    stored = schema_version_of(entry_from_object(held).doc) if held else 0
    # An older tool does not know the newer fields and would drop them without a word.
    if schema_version_of(change.doc) < stored and not change.downgrade:
        detail = f'schema {stored} stands there: write that, or ask for the downgrade'
        return Failure(ErrorKind.NEWER_SCHEMA, detail)
    return None


async def apply_change(
    store: ObjectStore, change: Change, newest_schema: int = NEWEST_SCHEMA
) -> Result[Accepted, Rejected]:
    """Write a change on its condition, at most once however often it is sent.

    When an answer is lost, what stands there is read back: the change's id in its history
    says that it took effect. Writing again on the same condition is safe, since only one
    write can meet a version.
    """
    detail = ''
    for _ in range(MAX_WRITE_ATTEMPTS):
        match await store.get(RECORDS, change.service):
            case Ok(held):
                pass
            case Err(error):
                return Err(_unavailable(error.detail))
        decided = _decide(change, held, newest_schema)
        if decided is not None:
            return decided
        match await _write(store, change, held):
            case Ok(stored):
                return Ok(_accepted(change, stored, settled=False))
            case Err(Conflict(current)):
                return _decide(change, current, newest_schema) or Err(
                    _unavailable('it changes too fast')
                )
            case Err(Unavailable(lost)):
                detail = lost
    return Err(_unavailable(detail))


def _decide(
    change: Change, held: StoredObject | None, newest_schema: int
) -> Result[Accepted, Rejected] | None:
    """Give the answer that needs no write, None where the change is to be written."""
    if not is_history_readable(held):
        failure = Failure(ErrorKind.NEWER_SCHEMA, 'its audit trail cannot be read here')
        return Err(Rejected(failure))
    earlier = _find(change, held)
    if held is not None and earlier is not None:
        if earlier['digest'] != _digest(change):
            failure = Failure(ErrorKind.KEY_REUSED, f'{change.id} was another change')
            return Err(Rejected(failure))
        return Ok(_accepted(change, held, settled=True))
    failed = validate_change(change, held, newest_schema)
    if failed is not None:
        return Err(Rejected(failed))
    if not _meets(change.expected, held):
        return Err(_clash(change, held))
    if change.doc is None and (held is None or entry_from_object(held).doc is None):
        return Err(Rejected(Failure(ErrorKind.UNKNOWN_SERVICE, change.service)))
    return None


async def _write(
    store: ObjectStore, change: Change, held: StoredObject | None
) -> Result[StoredObject, StoreError]:
    before = held.version if held else ABSENT
    entry = ChangeEntry(
        id=change.id,
        who=change.who,
        why=change.why,
        when=change.when,
        before=before,
        changed=changed_fields(entry_from_object(held).doc if held else None, change.doc),
        deleted=change.doc is None,
        digest=_digest(change),
    )
    obj = read_record_object(held)
    value = RecordObject(
        record=change.doc, history=[*obj['history'], entry], archived=obj['archived']
    )
    match await archive_oldest_entries(store, change.service, value):
        case Ok(fitting):
            others = held.value if held and isinstance(held.value, dict) else {}
            return await store.put(RECORDS, change.service, {**others, **fitting}, before)
        case Err(error):
            return Err(error)


def _meets(expected: int, held: StoredObject | None) -> bool:
    if held is None or (expected == ABSENT and entry_from_object(held).doc is None):
        return expected == ABSENT
    return expected == held.version


def _digest(change: Change) -> str:
    asked = [change.doc, change.expected, change.who, change.why]
    return str(xxhash.xxh64_hexdigest(msgspec.json.encode(asked, order='sorted')))


def _find(change: Change, held: StoredObject | None) -> ChangeEntry | None:
    return next((e for e in read_record_object(held)['history'] if e['id'] == change.id), None)


def _accepted(change: Change, held: StoredObject, *, settled: bool) -> Accepted:
    entry = _find(change, held)
    changed = entry['changed'] if entry else []
    return Accepted(resulting_version(held, change.id), changed, settled)


def _clash(change: Change, held: StoredObject | None) -> Rejected:
    if held is None:
        failure = Failure(ErrorKind.VERSION_CONFLICT, 'there is no such record')
        return Rejected(failure, Clash(ABSENT, [], [], []))
    theirs = entries_after(held, change.expected)
    fields = sorted({name for entry in theirs for name in entry['changed']})
    yours = changed_fields(entry_from_object(held).doc, change.doc)
    detail = f'version {held.version} stands there'
    if theirs:
        last = theirs[-1]
        moment = datetime.fromtimestamp(last['when'], UTC).strftime('%Y-%m-%dT%H:%M:%SZ')
        detail += f', changed by {last["who"]} at {moment} ({", ".join(fields) or "nothing"})'
    return Rejected(
        Failure(ErrorKind.VERSION_CONFLICT, detail), Clash(held.version, theirs, fields, yours)
    )


def _unavailable(detail: str) -> Rejected:
    return Rejected(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail, RETRY_AFTER_SECONDS))
