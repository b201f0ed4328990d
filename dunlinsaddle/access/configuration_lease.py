"""How old a node's knowledge of the configuration is, and when it is too old to go by."""

import asyncio
import math
from collections.abc import Callable

#: Share of the time within which a key that was taken away must be refused everywhere, after
#: which a node without a new proof lets nobody in by a key. The rest covers clocks that run
#: unlike, and a store whose watches hear nothing for a second while it drops its history.
EXPIRY_FRACTION = 0.75


class ConfigurationLease:
    """A lease on a node's configuration: it lapses unless a new proof comes in time.

    Failure: a key is taken away while a node is cut off from everything; its callers go on, and
    it lets them in for as long as the cut lasts. No message can tell it, so it has to know by
    itself when it may have missed one. A proof says that at some moment there was no newer
    configuration than the one held here. It is as old as the question that it answers, on a clock
    that also counts the time for which the machine was suspended.

    ``max_revocation_seconds`` is the time within which a revoked key must be refused
    everywhere, None for no limit.
    """

    def __init__(self, clock: Callable[[], float], max_revocation_seconds: float | None) -> None:
        self.clock = clock
        self.max_revocation_seconds = max_revocation_seconds
        self.confirmed_at = -math.inf  #: the latest moment at which nothing newer was there
        self._waiting: set[asyncio.Future[None]] = set()

    @property
    def age(self) -> float:
        """Give the seconds since that moment; infinite before the first proof."""
        return self.clock() - self.confirmed_at

    @property
    def expired(self) -> bool:
        """Whether keys may have been taken away that this node still takes for good."""
        return (
            self.max_revocation_seconds is not None
            and self.age >= EXPIRY_FRACTION * self.max_revocation_seconds
        )

    def renew(self, as_of: float) -> None:
        """Note that at a moment of the clock nothing newer was there."""
        if as_of <= self.confirmed_at:
            return
        self.confirmed_at = as_of
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Let who waits look again, as there is a proof or a newer configuration."""
        for fut in self._waiting:
            if not fut.done():
                fut.set_result(None)

    async def wait_for(self, predicate: Callable[[], bool], timeout: float) -> None:
        """Wait for something that a proof or a newer configuration may bring, not for longer."""
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout
        while not predicate():
            fut: asyncio.Future[None] = loop.create_future()
            self._waiting.add(fut)
            try:
                async with asyncio.timeout_at(until):
                    await fut
            except TimeoutError:
                return
            finally:
                self._waiting.discard(fut)
