"""A timer for a timeout that changes several times per request."""

import asyncio
import math
from collections.abc import Callable

RESOLUTION_SECONDS = 0.001  #: an event loop may run a timer early by less than that


class MovableTimer:
    """Calls ``on_timeout`` once, unless it is set again or stopped before.

    The timeout mostly moves later. A timer of the event loop that fires early and is set again
    costs less than cancelling one at each change.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, on_timeout: Callable[[], None]) -> None:
        self._loop = loop
        self._on_timeout = on_timeout
        self._handle: asyncio.TimerHandle | None = None
        self._due_at = math.inf

    def set(self, seconds: float) -> None:
        """Set the timeout, counted from now, in place of any other."""
        self._due_at = self._loop.time() + seconds
        if self._handle is not None:
            if self._handle.when() <= self._due_at:
                return
            self._handle.cancel()
        self._handle = self._loop.call_at(self._due_at, self._check)

    def stop(self) -> None:
        """Let nothing happen until the timer is set again."""
        self._due_at = math.inf

    def close(self) -> None:
        """Stop for good, and release the timer of the event loop."""
        self.stop()
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _check(self) -> None:
        self._handle = None
        if self._due_at <= self._loop.time() + RESOLUTION_SECONDS:
            self._on_timeout()
        elif self._due_at < math.inf:
            self._handle = self._loop.call_at(self._due_at, self._check)
