"""Objects that live on one event loop."""

import asyncio
from functools import cached_property
from random import Random


class LoopBound:
    """An object of one loop, which it looks up once.

    Each look-up of the running loop asks the kernel for the process id, to notice a fork. A
    call through two nodes took nineteen of these, more system calls than all its reads and
    writes (counted by strace). On the users' platform they are cheap: the processor time of a
    day did not change.
    """

    @cached_property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop that runs when it is first needed."""
        return asyncio.get_running_loop()

    def now(self) -> float:
        """Give the time of the loop, in seconds."""
        return self.loop.time()


class Backoff:
    """Pauses between tries, in seconds: doubled each time up to a bound, and spread by chance."""

    def __init__(self, initial_seconds: float, max_seconds: float, rng: Random) -> None:
        self.initial_seconds = initial_seconds
        self.max_seconds = max_seconds
        self.rng = rng
        self.next_seconds = initial_seconds  #: the next pause, at most

    def reset(self) -> None:
        """Begin anew with the first pause."""
        self.next_seconds = self.initial_seconds

    async def pause(self) -> None:
        """Wait before the next try."""
        await asyncio.sleep(self.next_seconds * self.rng.uniform(0.5, 1.0))
        self.next_seconds = min(self.next_seconds * 2, self.max_seconds)
