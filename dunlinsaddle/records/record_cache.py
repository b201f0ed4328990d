"""The records in force at a node: the highest version seen of each, including deletions."""

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from result import Err, Ok

from dunlinsaddle.records.models import RecordEntry, ServiceRecord, VersionedRecord
from dunlinsaddle.records.schema import NEWEST_SCHEMA, decode_entry, encode_record


class Unreadable(NamedTuple):
    """A newer version of a record that this node cannot decode, and the reason."""

    version: int
    why: str


class RecordCache:
    """Holds the newest version of each record and never reverts to an older one.

    ``complete_version`` is the store version up to which every change is known here.
    """

    def __init__(
        self, newest_schema: int = NEWEST_SCHEMA, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self.newest_schema = newest_schema
        self.wall_clock = wall_clock
        self.complete_version = 0
        self.unreadable: dict[str, Unreadable] = {}
        self.in_force_since: dict[str, float] = {}
        self._in_force: dict[str, VersionedRecord] = {}
        self._documents: dict[str, RecordEntry] = {}

    def update(self, entry: VersionedRecord) -> bool:
        """Store a decoded record if it is newer; return whether it was."""
        doc = encode_record(entry.record) if entry.record else None
        return self.update_entry(RecordEntry(entry.service, entry.version, doc))

    def update_entry(self, entry: RecordEntry) -> bool:
        """Store a document if it is newer than the known one; return whether it was.

        A late watch response, an outdated peer or a replayed push delivers old versions. This
        comparison, which covers deletions too, is the only check that prevents records from
        reverting, whatever their source. A document that cannot be decoded is kept so that it
        can be forwarded to nodes that may decode it; the last valid record stays in force.
        """
        known = self._documents.get(entry.service)
        if known is not None and known.version >= entry.version:
            return False
        self._documents[entry.service] = entry
        match decode_entry(entry, self.newest_schema):
            case Ok(record):
                self._in_force[entry.service] = record
                self.in_force_since[entry.service] = self.wall_clock()
                self.unreadable.pop(entry.service, None)
            case Err(failure):
                self.unreadable[entry.service] = Unreadable(entry.version, failure.detail)
        return True

    def mark_complete(self, since_version: int, up_to_version: int) -> None:
        """Record that all changes after one version and up to another have been stored.

        Nothing is recorded if there is a gap before ``since_version``: the changes in the gap
        would never be requested again.
        """
        if since_version <= self.complete_version < up_to_version:
            self.complete_version = up_to_version

    def find(self, service: str) -> ServiceRecord | None:
        """Return the record in force, or None."""
        entry = self._in_force.get(service)
        return entry.record if entry else None

    def version(self, service: str) -> int:
        """Return the version in force of a record, 0 if there is none."""
        entry = self._in_force.get(service)
        return entry.version if entry else 0

    def entries(self) -> Iterable[VersionedRecord]:
        """Return everything in force, including deletions."""
        return self._in_force.values()

    def documents_after(self, version: int) -> list[RecordEntry]:
        """Return the documents newer than ``version``, oldest first."""
        newer = [e for e in self._documents.values() if e.version > version]
        return sorted(newer, key=lambda e: e.version)
