"""The lease on a node's configuration: how old it may be before keys are no longer trusted."""

import asyncio
import math
from collections.abc import Callable

#: Fraction of the revocation limit after which the lease expires. The rest covers differences
#: between clocks, and the second for which the watches of a store report nothing while it
#: discards its history.
EXPIRY_FRACTION = 0.75


class ConfigurationLease:
    """Tracks when the configuration was last confirmed to be current; expires without renewal.

    Failure: a key is revoked while a node is partitioned from everything else. The node would
    accept the key for as long as the partition lasts, and no message can reach it, so it has to
    detect by itself that it may have missed a revocation. A confirmation states that there was no
    newer configuration at the time when the confirming request was sent. The lease uses a clock
    that also counts the time for which the machine was suspended.

    ``max_revocation_seconds`` is the time within which a revoked key must be refused
    everywhere, None for no limit.
    """

    def __init__(self, clock: Callable[[], float], max_revocation_seconds: float | None) -> None:
        self.clock = clock
        self.max_revocation_seconds = max_revocation_seconds
        self.confirmed_at = -math.inf  #: latest time at which no newer configuration existed
        self._waiting: set[asyncio.Future[None]] = set()

    @property
    def age(self) -> float:
        """Seconds since the last confirmed time; infinite before the first."""
        return self.clock() - self.confirmed_at

    @property
    def expired(self) -> bool:
        """Whether this node may still accept keys that have been revoked."""
        return (
            self.max_revocation_seconds is not None
            and self.age >= EXPIRY_FRACTION * self.max_revocation_seconds
        )

    def renew(self, as_of: float) -> None:
        """Record that no newer configuration existed at ``as_of``, a time of the clock."""
        if as_of <= self.confirmed_at:
            return
        self.confirmed_at = as_of
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Make waiters check their predicate again, after a renewal or a new configuration."""
        for fut in self._waiting:
            if not fut.done():
                fut.set_result(None)

    async def wait_for(self, predicate: Callable[[], bool], timeout: float) -> None:
        """Wait until the predicate is true, checked when notified, or until the timeout."""
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
