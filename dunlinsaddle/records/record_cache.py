"""The records in force at a node: the highest version ever seen of each, deletions too."""

import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from result import Err, Ok

from dunlinsaddle.records.models import RecordEntry, ServiceRecord, VersionedRecord
from dunlinsaddle.records.schema import NEWEST_SCHEMA, decode_entry, encode_record


class Unreadable(NamedTuple):
    """A newer version of a record that this node cannot read, and why."""

    version: int
    why: str


class RecordCache:
    """Keeps the newest version of each record, and never goes back.

    ``complete_revision`` is the platform's counter up to which every change is known here.
    """

    def __init__(
        self, newest_schema: int = NEWEST_SCHEMA, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self.newest_schema = newest_schema
        self.wall_clock = wall_clock
        self.complete_revision = 0
        self.unreadable: dict[str, Unreadable] = {}
        self.in_force_since: dict[str, float] = {}
        self._in_force: dict[str, VersionedRecord] = {}
        self._documents: dict[str, RecordEntry] = {}

    def update(self, entry: VersionedRecord) -> bool:
        """Take a decoded record if it is newer than what is held; say whether it was."""
        doc = encode_record(entry.record) if entry.record else None
        return self.update_entry(RecordEntry(entry.service, entry.version, doc))

    def update_entry(self, entry: RecordEntry) -> bool:
        """Take a document if it is newer than what is held; say whether it was.

        A late watch answer, an old peer or a replayed push brings old versions. Comparing
        versions here, for deletions too, is the one place that keeps configuration from
        reverting, whichever way it came. A document that cannot be read is kept for others,
        who may read it, and the last good record stays in force.
        """
        held = self._documents.get(entry.service)
        if held is not None and held.version >= entry.version:
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

    def mark_complete(self, since: int, upto: int) -> None:
        """Note that all changes after ``since`` and up to ``upto`` have been taken.

        With a gap before ``since`` nothing follows for ``upto``: a change in the gap would
        never be asked for again.
        """
        if since <= self.complete_revision < upto:
            self.complete_revision = upto

    def find(self, service: str) -> ServiceRecord | None:
        """Give the record in force, or None where there is none."""
        entry = self._in_force.get(service)
        return entry.record if entry else None

    def version(self, service: str) -> int:
        """Give the version in force of a record, 0 for none."""
        entry = self._in_force.get(service)
        return entry.version if entry else 0

    def entries(self) -> Iterable[VersionedRecord]:
        """Give all that is in force, deletions too."""
        return self._in_force.values()

    def documents_after(self, version: int) -> list[RecordEntry]:
        """Give the documents newer than ``version``, the oldest first."""
        newer = [e for e in self._documents.values() if e.version > version]
        return sorted(newer, key=lambda e: e.version)
