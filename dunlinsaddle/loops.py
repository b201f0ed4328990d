"""Objects that live on one event loop."""

import asyncio
from functools import cached_property


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
