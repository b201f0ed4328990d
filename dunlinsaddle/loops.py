"""Objects that live on one event loop."""

import asyncio
from functools import cached_property
from random import Random


class OnLoop:
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

    def __init__(self, first: float, most: float, rng: Random) -> None:
        self.first = first
        self.most = most
        self.rng = rng
        self.seconds = first  #: the next pause, at most

    def reset(self) -> None:
        """Begin anew with the first pause."""
        self.seconds = self.first

    async def pause(self) -> None:
        """Wait before the next try."""
        await asyncio.sleep(self.seconds * self.rng.uniform(0.5, 1.0))
        self.seconds = min(self.seconds * 2, self.most)
