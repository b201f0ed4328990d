"""Lists of records cut into parts that each fit into one frame between nodes."""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from dunlinsaddle.records.models import RecordEntry

MAX_CHUNK_BYTES = 48_000


class Chunk(NamedTuple):
    """All changes after ``since`` and up to ``upto``."""

    since: int
    upto: int
    entries: list[RecordEntry]


def split_into_chunks(entries: list[RecordEntry], since: int, upto: int) -> Iterator[Chunk]:
    """Cut entries, sorted by version, into parts; there is always at least one."""
    part: list[RecordEntry] = []
    size = 0
    for entry in entries:
        more = len(msgspec.msgpack.encode(entry))
        if part and size + more > MAX_CHUNK_BYTES:
            last = part[-1].version
            yield Chunk(since, last, part)
            since, part, size = last, [], 0
        part.append(entry)
        size += more
    yield Chunk(since, upto, part)
