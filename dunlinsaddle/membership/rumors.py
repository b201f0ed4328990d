"""Queue of updates to spread, and the byte budget for sending them."""

import math
from collections.abc import Iterator

from dunlinsaddle.membership.messages import MemberUpdate, encoded_size


class ByteBudget:
    """Token bucket of bytes, so that many deaths at once do not flood the network with gossip."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.remaining = burst
        self._refilled_at = 0.0

    def refill(self, now: float) -> None:
        """Add the bytes that accrued since the last refill."""
        self.remaining = min(self.burst, self.remaining + (now - self._refilled_at) * self.rate)
        self._refilled_at = now

    def try_spend(self, size: int) -> bool:
        """Take ``size`` bytes and return True, or return False if too few remain."""
        if self.remaining < size:
            return False
        self.remaining -= size
        return True


class _Rumor:
    """An update, its size in bytes and how often it was sent."""

    __slots__ = ('sent', 'size', 'word')

    def __init__(self, update: MemberUpdate) -> None:
        self.word = update
        self.size = encoded_size(update)
        self.sent = 0


class RumorQueue:
    """Updates to spread, least often sent first, each O(log n) times for n members."""

    def __init__(self, extra_transmissions: int) -> None:
        self.extra_transmissions = extra_transmissions
        self._rumors: dict[str, _Rumor] = {}

    def __len__(self) -> int:
        return len(self._rumors)

    def add(self, update: MemberUpdate) -> None:
        """Add an update, replacing an older one of the same instance."""
        self._rumors[update.instance] = _Rumor(update)

    def remove(self, instance: str) -> None:
        """Stop spreading the update of an instance."""
        self._rumors.pop(instance, None)

    def next_updates(self, limit: int, budget: ByteBudget, members: int) -> list[MemberUpdate]:
        """Return updates for one message, at most ``limit`` bytes in total."""
        if not self._rumors:
            return []
        max_sends = math.ceil(math.log2(members + 1)) + self.extra_transmissions
        updates = []
        for rumor in self._least_sent_first():
            if rumor.size > limit or not budget.try_spend(rumor.size):
                break
            limit -= rumor.size
            rumor.sent += 1
            updates.append(rumor.word)
            if rumor.sent >= max_sends:
                del self._rumors[rumor.word.instance]
        return updates

    def _least_sent_first(self) -> Iterator[_Rumor]:
        return iter(sorted(self._rumors.values(), key=lambda r: r.sent))
