"""The records in force at a node: the highest version ever seen of each, deletions too."""

from collections.abc import Iterable

from dunlinsaddle.records.models import ServiceRecord, VersionedRecord


class RecordBook:
    """Keeps the newest version of each record, and never goes back."""

    def __init__(self) -> None:
        self._entries: dict[str, VersionedRecord] = {}

    def take(self, entry: VersionedRecord) -> bool:
        """Take an entry if it is newer than what is held; say whether it was.

        A late watch answer, an old peer or a replayed message brings old versions. Comparing
        versions here, for deletions too, is the one place that keeps configuration from
        reverting, whichever way it came.
        """
        held = self._entries.get(entry.service)
        if held is not None and held.version >= entry.version:
            return False
        self._entries[entry.service] = entry
        return True

    def find(self, service: str) -> ServiceRecord | None:
        """Give the record in force, or None where there is none."""
        entry = self._entries.get(service)
        return entry.record if entry else None

    def version(self, service: str) -> int:
        """Give the highest version seen of a record, 0 for none."""
        entry = self._entries.get(service)
        return entry.version if entry else 0

    def entries(self) -> Iterable[VersionedRecord]:
        """Give all entries, deletions too."""
        return self._entries.values()
