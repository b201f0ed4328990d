"""What is still to be passed on, how often, and how many bytes that may take."""

import math
from collections.abc import Iterator

from dunlinsaddle.membership.messages import Word, size_of


class Budget:
    """A token bucket of bytes: a mass death must not turn into a flood of control."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.left = burst
        self._at = 0.0

    def refill(self, now: float) -> None:
        """Add what has come free since the last time."""
        self.left = min(self.burst, self.left + (now - self._at) * self.rate)
        self._at = now

    def spend(self, size: int) -> bool:
        """Take bytes out if they are there."""
        if self.left < size:
            return False
        self.left -= size
        return True


class _Rumor:
    """A word, its size in bytes and how often it was sent."""

    __slots__ = ('sent', 'size', 'word')

    def __init__(self, word: Word) -> None:
        self.word = word
        self.size = size_of(word)
        self.sent = 0


class Rumors:
    """Words to pass on, the least often sent first, each a number of times that grows as log n."""

    def __init__(self, extra_sends: int) -> None:
        self.extra_sends = extra_sends
        self._rumors: dict[str, _Rumor] = {}

    def __len__(self) -> int:
        return len(self._rumors)

    def add(self, word: Word) -> None:
        """Pass a word on, in place of an older one on the same instance."""
        self._rumors[word.instance] = _Rumor(word)

    def drop(self, instance: str) -> None:
        """Pass nothing more on about an instance."""
        self._rumors.pop(instance, None)

    def take(self, limit: int, budget: Budget, members: int) -> list[Word]:
        """Give words for one message, at most ``limit`` bytes of them."""
        if not self._rumors:
            return []
        most = math.ceil(math.log2(members + 1)) + self.extra_sends
        words = []
        for rumor in self._next():
            if rumor.size > limit or not budget.spend(rumor.size):
                break
            limit -= rumor.size
            rumor.sent += 1
            words.append(rumor.word)
            if rumor.sent >= most:
                del self._rumors[rumor.word.instance]
        return words

    def _next(self) -> Iterator[_Rumor]:
        return iter(sorted(self._rumors.values(), key=lambda r: r.sent))
