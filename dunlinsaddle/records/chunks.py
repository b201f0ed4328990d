"""Splits lists of records into chunks that each fit into one frame between nodes."""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from dunlinsaddle.records.models import RecordEntry

MAX_CHUNK_BYTES = 48_000


class Chunk(NamedTuple):
    """All changes after ``since_version`` and up to ``up_to_version``."""

    since_version: int
    up_to_version: int
    entries: list[RecordEntry]


def split_into_chunks(
    entries: list[RecordEntry], since_version: int, up_to_version: int
) -> Iterator[Chunk]:
    """Split entries, sorted by version, into chunks; always yield at least one."""
    chunk_entries: list[RecordEntry] = []
    chunk_size = 0
    for entry in entries:
        entry_size = len(msgspec.msgpack.encode(entry))
        if chunk_entries and chunk_size + entry_size > MAX_CHUNK_BYTES:
            last_version = chunk_entries[-1].version
            yield Chunk(since_version, last_version, chunk_entries)
            since_version, chunk_entries, chunk_size = last_version, [], 0
        chunk_entries.append(entry)
        chunk_size += entry_size
    yield Chunk(since_version, up_to_version, chunk_entries)
