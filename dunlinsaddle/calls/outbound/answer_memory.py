"""Bound on the memory of the incomplete responses that a client holds at the same time."""

import math
from typing import Protocol


class Holder(Protocol):
    """A connection that reads a response."""

    def give_up(self) -> None:
        """Fail the call that the response is for, and read no more of it."""


class AnswerMemory:
    """Counts the bytes of incomplete responses over all connections, up to a limit.

    Beyond it, the response that holds the most is given up. Servers that send bytes without end
    would otherwise exhaust the memory of the process within seconds. The largest response is one
    of theirs, so that calls with small responses beside it are not affected; to pause reading
    instead would keep the memory, and the other calls waiting, until the deadlines.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit  #: in bytes
        self.held = 0
        self.most_held = 0  #: after responses were given up
        self.given_up_count = 0
        self._sizes: dict[Holder, int] = {}

    def set(self, holder: Holder, size: int) -> None:
        """Record that a response holds ``size`` bytes now; may give up this or others."""
        previous = self._sizes.get(holder, 0)
        if size == previous:
            return
        self.held += size - previous
        self._sizes[holder] = size
        while self.held > self.limit:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.release(largest)
            self.given_up_count += 1
            largest.give_up()
        self.most_held = max(self.most_held, self.held)

    def release(self, holder: Holder) -> None:
        """Discount what a response holds that is complete, or no longer read."""
        self.held -= self._sizes.pop(holder, 0)
