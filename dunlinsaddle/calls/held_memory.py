"""Bound on the memory that a process holds for its peers: callers, targets and other nodes."""

import math
from typing import Protocol

#: Counts what has not begun for more than it holds: work that has begun would be wasted.
NOT_BEGUN_WEIGHT = 2.0


class Holder(Protocol):
    """A connection or a call that memory is held for."""

    @property
    def has_begun(self) -> bool:
        """Whether a target may be at work for it, or its answer is on the way."""

    def give_up(self) -> None:
        """Free what is held: refuse the request, fail the call or end the connection."""


class HeldMemory:
    """Counts what is held for peers over the whole process, up to a limit.

    Beyond it, the holder with the most gives way, not the one that comes next. A crowd that holds
    memory and stays would otherwise get the service, and ordinary requests would be refused. To
    pause reading instead would keep the memory, and the others waiting until their deadlines.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit  #: in bytes
        self.held = 0
        self.most_held = 0  #: after holders were given up
        self.given_up_count = 0
        self._sizes: dict[Holder, int] = {}

    def set(self, holder: Holder, size: int) -> None:
        """Record that ``holder`` holds ``size`` bytes now; may give up it or others."""
        previous = self._sizes.get(holder, 0)
        if size == previous:
            return
        self.held += size - previous
        if size:
            self._sizes[holder] = size
        else:
            del self._sizes[holder]
        while self.held > self.limit and self._sizes:
            self._give_up_largest()
        if self.held > self.most_held:
            self.most_held = self.held

    def release(self, holder: Holder) -> None:
        """Discount all that a holder holds."""
        self.held -= self._sizes.pop(holder, 0)

    def _give_up_largest(self) -> None:
        largest = max(self._sizes, key=self._weight)
        self.release(largest)
        self.given_up_count += 1
        largest.give_up()

    def _weight(self, holder: Holder) -> float:
        size = self._sizes[holder]
        return size if holder.has_begun else size * NOT_BEGUN_WEIGHT
