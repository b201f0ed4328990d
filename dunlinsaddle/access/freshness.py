"""How old a node's knowledge of the configuration is, and when it is too old to go by."""

import asyncio
import math
from collections.abc import Callable

#: Share of the time within which a key that was taken away must be refused everywhere, after
#: which a node without a new proof lets nobody in by a key. The rest covers clocks that run
#: unlike, and a store whose watches hear nothing for a second while it drops its history.
USED_SHARE = 0.75


class Freshness:
    """A lease on a node's configuration: it lapses unless a new proof comes in time.

    Failure: a key is taken away while a node is cut off from everything; its callers go on, and
    it lets them in for as long as the cut lasts. No message can tell it, so it has to know by
    itself when it may have missed one. A proof says that at some moment there was no newer
    configuration than the one held here. It is as old as the question that it answers, on a clock
    that also counts the time for which the machine was suspended.

    ``most`` is the time in seconds within which a key that was taken away must be refused
    everywhere, None where nothing binds.
    """

    def __init__(self, clock: Callable[[], float], most: float | None) -> None:
        self.clock = clock
        self.most = most
        self.proved_at = -math.inf  #: the latest moment at which nothing newer was there
        self._waiting: set[asyncio.Future[None]] = set()

    @property
    def age(self) -> float:
        """Give the seconds since that moment; infinite before the first proof."""
        return self.clock() - self.proved_at

    @property
    def lapsed(self) -> bool:
        """Whether keys may have been taken away that this node still takes for good."""
        return self.most is not None and self.age >= USED_SHARE * self.most

    def prove(self, moment: float) -> None:
        """Note that at a moment of the clock nothing newer was there."""
        if moment <= self.proved_at:
            return
        self.proved_at = moment
        self.wake()

    def wake(self) -> None:
        """Let who waits look again, as there is a proof or a newer configuration."""
        for fut in self._waiting:
            if not fut.done():
                fut.set_result(None)

    async def wait_until(self, done: Callable[[], bool], patience: float) -> None:
        """Wait for something that a proof or a newer configuration may bring, not for longer."""
        loop = asyncio.get_running_loop()
        until = loop.time() + patience
        while not done():
            fut: asyncio.Future[None] = loop.create_future()
            self._waiting.add(fut)
            try:
                async with asyncio.timeout_at(until):
                    await fut
            except TimeoutError:
                return
            finally:
                self._waiting.discard(fut)
