"""What is still to be passed on, how often, and how many bytes that may take."""

import math
from collections.abc import Iterator

from dunlinsaddle.membership.messages import MemberUpdate, encoded_size


class ByteBudget:
    """A token bucket of bytes: a mass death must not turn into a flood of control."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.remaining = burst
        self._at = 0.0

    def refill(self, now: float) -> None:
        """Add what has come free since the last time."""
        self.remaining = min(self.burst, self.remaining + (now - self._at) * self.rate)
        self._at = now

    def try_spend(self, size: int) -> bool:
        """Take bytes out if they are there."""
        if self.remaining < size:
            return False
        self.remaining -= size
        return True


class _Rumor:
    """A word, its size in bytes and how often it was sent."""

    __slots__ = ('sent', 'size', 'word')

    def __init__(self, word: MemberUpdate) -> None:
        self.word = word
        self.size = encoded_size(word)
        self.sent = 0


class RumorQueue:
    """Words to pass on, the least often sent first, each a number of times that grows as log n."""

    def __init__(self, extra_transmissions: int) -> None:
        self.extra_transmissions = extra_transmissions
        self._rumors: dict[str, _Rumor] = {}

    def __len__(self) -> int:
        return len(self._rumors)

    def add(self, word: MemberUpdate) -> None:
        """Pass a word on, in place of an older one on the same instance."""
        self._rumors[word.instance] = _Rumor(word)

    def remove(self, instance: str) -> None:
        """Pass nothing more on about an instance."""
        self._rumors.pop(instance, None)

    def next_updates(self, limit: int, budget: ByteBudget, members: int) -> list[MemberUpdate]:
        """Give words for one message, at most ``limit`` bytes of them."""
        if not self._rumors:
            return []
        most = math.ceil(math.log2(members + 1)) + self.extra_transmissions
        words = []
        for rumor in self._next():
            if rumor.size > limit or not budget.try_spend(rumor.size):
                break
            limit -= rumor.size
            rumor.sent += 1
            words.append(rumor.word)
            if rumor.sent >= most:
                del self._rumors[rumor.word.instance]
        return words

    def _next(self) -> Iterator[_Rumor]:
        return iter(sorted(self._rumors.values(), key=lambda r: r.sent))
