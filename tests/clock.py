"""A test case whose event loop has a paused clock.

The clock jumps to the next timer when nothing else can run.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import async_solipsism
from testtools import TestCase

T = TypeVar('T')


class PausedClockTest(TestCase):
    """Runs coroutines on a paused clock, with connections in memory."""

    def run_paused(self, coro: Coroutine[Any, Any, T]) -> T:
        loop = async_solipsism.EventLoop()
        asyncio.set_event_loop(loop)
        try:
            return loop.run_until_complete(coro)
        finally:
            tasks = asyncio.all_tasks(loop)
            for task in tasks:
                task.cancel()
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
            loop.close()
            asyncio.set_event_loop(None)
