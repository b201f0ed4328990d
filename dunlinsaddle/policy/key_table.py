"""Table of the idempotency keys that an owner has run, in bounded memory.

Three rules prevent a key from running twice whatever the clocks do: an entry is dropped only once
the floor is above its creation time (``birth``), the floor never falls, and no key created below
the floor is ever run. A clock that jumps, a window that an operator changes and a full table only
raise the floor: they cause refusals, never a second run.
"""

import heapq
from dataclasses import dataclass
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from dunlinsaddle.errors import ErrorKind

FUTURE_MARGIN_MS = 30_000  #: how far a key's creation time may be ahead of the owner's clock
MAX_KEYS = 50_000  #: bounds memory
MAX_ANSWER_BYTES = 16_384  #: largest answer that is stored; bounds memory
MAX_TOTAL_ANSWER_BYTES = 16 << 20  #: size of all stored answers; bounds memory

Answer = TypeVar('Answer')


class KeyState(Enum):
    """Progress of a key; a key that provably did not run is not in the table."""

    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class KeyStarted:
    """The key was not in the table and now counts as running."""


@dataclass(frozen=True, slots=True)
class StoredAnswer(Generic[Answer]):
    """The key has run, and its answer is stored."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class KeyRefused:
    """The key may not be run, for the reason given by the kind."""

    kind: ErrorKind


class KeyRecord(NamedTuple, Generic[Answer]):
    """A key's state in the table of an owner that hands it over.

    ``done`` is false if the outcome of the run is unknown. ``answer`` is None in that case, and
    if it is no longer stored. ``size`` is the size of the answer in bytes.
    """

    key: str
    birth: int
    fingerprint: int
    done: bool
    answer: Answer | None
    size: int


class _Entry(Generic[Answer]):
    __slots__ = ('answer', 'birth', 'fingerprint', 'size', 'state')

    def __init__(self, birth: int, fingerprint: int) -> None:
        self.birth = birth
        self.fingerprint = fingerprint
        self.state = KeyState.RUNNING
        self.answer: Answer | None = None
        self.size = 0


class KeyTable(Generic[Answer]):
    """The keys of one service that this node runs or has run. All times in milliseconds."""

    def __init__(self, max_keys: int = MAX_KEYS, max_bytes: int = MAX_TOTAL_ANSWER_BYTES) -> None:
        self.max_keys = max_keys
        self.max_bytes = max_bytes
        self.floor = 0
        self.answer_bytes = 0
        self._entries: dict[str, _Entry[Answer]] = {}
        self._births: list[tuple[int, str]] = []  # a heap
        self._answered: dict[str, None] = {}  # keys with a stored answer, the oldest first

    def __len__(self) -> int:
        return len(self._entries)

    def lookup(self, key: str, fingerprint: int) -> StoredAnswer[Answer] | KeyRefused | None:
        """Return the result for a key, or None if the key is not in the table."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        if entry.fingerprint != fingerprint:
            return KeyRefused(ErrorKind.KEY_REUSED)
        match entry.state:
            case KeyState.RUNNING:
                return KeyRefused(ErrorKind.KEY_IN_PROGRESS)
            case KeyState.UNKNOWN:
                return KeyRefused(ErrorKind.OUTCOME_UNKNOWN)
        if entry.answer is None:
            return KeyRefused(ErrorKind.ANSWER_GONE)
        return StoredAnswer(entry.answer)

    def begin(self, key: str, birth: int, fingerprint: int, now: int) -> KeyStarted | KeyRefused:
        """Add a key for which ``lookup`` returned None, unless its age does not permit it."""
        if birth < self.floor:
            return KeyRefused(ErrorKind.KEY_EXPIRED)
        if birth > now + FUTURE_MARGIN_MS:
            return KeyRefused(ErrorKind.KEY_IN_FUTURE)
        self._expire_if_full()
        if birth < self.floor:
            return KeyRefused(ErrorKind.KEY_EXPIRED)
        self._entries[key] = _Entry(birth, fingerprint)
        heapq.heappush(self._births, (birth, key))
        return KeyStarted()

    def complete(self, key: str, answer: Answer, size: int) -> None:
        """Record the end of a run with its answer, which takes ``size`` bytes."""
        entry = self._entries.get(key)
        if entry is None:
            return
        entry.state = KeyState.DONE
        if size > MAX_ANSWER_BYTES:
            return
        entry.answer, entry.size = answer, size
        self.answer_bytes += size
        self._answered[key] = None
        while self.answer_bytes > self.max_bytes:
            self._drop_answer(next(iter(self._answered)))

    def mark_unknown(self, key: str) -> None:
        """Record that the outcome of a run is unknown; this is final."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.state = KeyState.UNKNOWN

    def forget(self, key: str) -> None:
        """Remove a key that provably did not run, so that it may be sent again."""
        self._entries.pop(key, None)

    def export_records(self) -> list[KeyRecord[Answer]]:
        """Return all records for the next owners; a key that still runs counts as unknown."""
        return [
            KeyRecord(key, e.birth, e.fingerprint, e.state is KeyState.DONE, e.answer, e.size)
            for key, e in self._entries.items()
        ]

    def import_record(self, record: KeyRecord[Answer]) -> None:
        """Add a former owner's record while such records take up to half of the table.

        Further records are dropped, and their keys remain unknown: making space for them would
        raise the floor and so expire keys that this node owns itself.
        """
        full = len(self._births) >= self.max_keys // 2
        if full or record.key in self._entries or record.birth < self.floor:
            return
        self._entries[record.key] = _Entry(record.birth, record.fingerprint)
        heapq.heappush(self._births, (record.birth, record.key))
        if not record.done:
            self.mark_unknown(record.key)
        elif record.answer is None or self.answer_bytes + record.size > self.max_bytes // 2:
            self._entries[record.key].state = KeyState.DONE
        else:
            self.complete(record.key, record.answer, record.size)

    def raise_floor(self, floor: int) -> None:
        """Drop all keys created before ``floor``; none of them is ever run again."""
        self.floor = max(self.floor, floor)
        while self._births and self._births[0][0] < self.floor:
            _, key = heapq.heappop(self._births)
            self._drop_answer(key)
            self._entries.pop(key, None)

    def _expire_if_full(self) -> None:
        # Keys removed by forget() stay in the heap, so the size of the heap is bounded.
        if len(self._births) >= self.max_keys:
            self.raise_floor(self._births[0][0] + 1)

    def _drop_answer(self, key: str) -> None:
        if key not in self._answered:
            return
        del self._answered[key]
        entry = self._entries[key]
        self.answer_bytes -= entry.size
        entry.answer, entry.size = None, 0
