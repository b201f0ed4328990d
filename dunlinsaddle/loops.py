"""Helpers for code that runs on an event loop."""

import asyncio
from functools import cached_property
from random import Random


class LoopBound:
    """Base class of objects that run on one event loop; caches that loop.

    ``asyncio.get_running_loop`` makes a system call for the process id each time, to detect a
    fork. Without the cache, a call through two nodes makes nineteen of them, more than all its
    reads and writes.
    """

    @cached_property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that was running at the first use."""
        return asyncio.get_running_loop()

    def now(self) -> float:
        """Return the time of the event loop, in seconds."""
        return self.loop.time()


class Backoff:
    """Exponential backoff with jitter: the delay doubles with each attempt, up to a maximum."""

    def __init__(self, initial_seconds: float, max_seconds: float, rng: Random) -> None:
        self.initial_seconds = initial_seconds
        self.max_seconds = max_seconds
        self.rng = rng
        self.next_seconds = initial_seconds  #: upper bound of the next delay

    def reset(self) -> None:
        """Start again with the initial delay."""
        self.next_seconds = self.initial_seconds

    async def pause(self) -> None:
        """Sleep before the next attempt."""
        await asyncio.sleep(self.next_seconds * self.rng.uniform(0.5, 1.0))
        self.next_seconds = min(self.next_seconds * 2, self.max_seconds)
