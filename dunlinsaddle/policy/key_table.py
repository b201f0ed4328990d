"""What an owner remembers of the keys that it was given, in bounded memory.

One rule keeps a key from running twice whatever the clocks do: an entry is dropped only once
the floor has passed its birth, the floor never goes back, and no key born below the floor is
ever run. A clock that jumps, a window that an operator changes and a full table all come down
to a floor that rises: they cost refusals, never a second run.
"""

import heapq
from dataclasses import dataclass
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from dunlinsaddle.errors import ErrorKind

FUTURE_MARGIN_MS = 30_000  #: a key may be this much ahead of the owner's clock, ms
MAX_KEYS = 50_000  #: keys held: a bound on memory
MAX_ANSWER_BYTES = 16_384  #: of an answer that is kept: a bound on memory, by judgement
MAX_TOTAL_ANSWER_BYTES = 16 << 20  #: of all that are kept: a bound on memory, by judgement

Answer = TypeVar('Answer')


class KeyState(Enum):
    """How far a key has come; a key that provably did not run is not in the table."""

    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class KeyStarted:
    """The key is new here and now counts as running."""


@dataclass(frozen=True, slots=True)
class StoredAnswer(Generic[Answer]):
    """The key has run; this is the answer that it got."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class KeyRefused:
    """The key may not be run; the kind says why."""

    kind: ErrorKind


class KeyRecord(NamedTuple, Generic[Answer]):
    """What another owner knew of a key at its end.

    ``done`` is false where the end of the run is not known; ``answer`` is None then, and where
    it is no longer held. ``size`` is that of the answer in bytes.
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
        self._births: list[tuple[int, str]] = []
        self._answered: dict[str, None] = {}  # in the order of their ends

    def __len__(self) -> int:
        return len(self._entries)

    def lookup(self, key: str, fingerprint: int) -> StoredAnswer[Answer] | KeyRefused | None:
        """Say what is known of a key; None for a key that is not in the table."""
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
        """Take a key that ``lookup`` does not know, unless its age forbids it."""
        if birth < self.floor:
            return KeyRefused(ErrorKind.KEY_EXPIRED)
        if birth > now + FUTURE_MARGIN_MS:
            return KeyRefused(ErrorKind.KEY_IN_FUTURE)
        self._make_room()
        if birth < self.floor:
            return KeyRefused(ErrorKind.KEY_EXPIRED)
        self._entries[key] = _Entry(birth, fingerprint)
        heapq.heappush(self._births, (birth, key))
        return KeyStarted()

    def complete(self, key: str, answer: Answer, size: int) -> None:
        """Note the end of a run with its answer, which takes ``size`` bytes."""
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
        """Note a run whose end cannot be told: it stays so."""
        entry = self._entries.get(key)
        if entry is not None:
            entry.state = KeyState.UNKNOWN

    def forget(self, key: str) -> None:
        """Forget a key on the proof that it did not run: it may be sent again."""
        self._entries.pop(key, None)

    def export_records(self) -> list[KeyRecord[Answer]]:
        """Give all that is known, for the next owners; a key that still runs counts as unknown."""
        return [
            KeyRecord(key, e.birth, e.fingerprint, e.state is KeyState.DONE, e.answer, e.size)
            for key, e in self._entries.items()
        ]

    def import_record(self, known: KeyRecord[Answer]) -> None:
        """Remember what a former owner knew, in at most half of the table's room.

        Beyond that it is left out and stays unknown: room for it must not raise the floor, for
        that would expire keys which this node owns itself.
        """
        full = len(self._births) >= self.max_keys // 2
        if full or known.key in self._entries or known.birth < self.floor:
            return
        self._entries[known.key] = _Entry(known.birth, known.fingerprint)
        heapq.heappush(self._births, (known.birth, known.key))
        if not known.done:
            self.mark_unknown(known.key)
        elif known.answer is None or self.answer_bytes + known.size > self.max_bytes // 2:
            self._entries[known.key].state = KeyState.DONE
        else:
            self.complete(known.key, known.answer, known.size)

    def raise_floor(self, floor: int) -> None:
        """Drop all keys born before ``floor``; none of them is ever run any more."""
        self.floor = max(self.floor, floor)
        while self._births and self._births[0][0] < self.floor:
            _, key = heapq.heappop(self._births)
            self._drop_answer(key)
            self._entries.pop(key, None)

    def _make_room(self) -> None:
        # Refused keys leave their births behind, so it is the heap that has to be bounded.
        if len(self._births) >= self.max_keys:
            self.raise_floor(self._births[0][0] + 1)

    def _drop_answer(self, key: str) -> None:
        if key not in self._answered:
            return
        del self._answered[key]
        entry = self._entries[key]
        self.answer_bytes -= entry.size
        entry.answer, entry.size = None, 0
