"""A paused clock: processes as generators, and a heap of what happens next."""

from collections.abc import Callable, Generator
from heapq import heappop, heappush
from typing import Any


class Future:
    """Something that happens once; the process that yields it goes on with its value."""

    __slots__ = ('_done', '_loop', '_process', '_value')

    def __init__(self, loop: 'EventLoop') -> None:
        self._loop = loop
        self._process: Process | None = None
        self._done = False
        self._value: Any = None

    def set_result(self, value: Any) -> None:
        """Let the waiting process go on; only the first call counts."""
        if self._done:
            return
        self._done, self._value = True, value
        if self._process is not None:
            self._loop.step(self._process, value)

    def add_waiter(self, process: 'Process') -> None:
        """Take the process that waits."""
        self._process = process
        if self._done:
            self._loop.step(process, self._value)


#: Yields seconds to sleep, or a Waiter.
Process = Generator[float | Future, Any, Any]


class EventLoop:
    """Runs processes in the order of their times; the clock jumps from event to event."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def call_at(self, when: float, func: Callable[..., None], *args: Any) -> None:
        """Call a function at a time."""
        self._count += 1
        heappush(self._heap, (when, self._count, func, args))

    def spawn(self, process: Process) -> None:
        """Start a process now."""
        self.step(process, None)

    def step(self, process: Process, value: Any) -> None:
        """Let a process run up to its next wait."""
        try:
            wait = process.send(value)
        except StopIteration:
            return
        if isinstance(wait, Future):
            wait.add_waiter(process)
        else:
            self.call_at(self.now + wait, self.step, process, None)

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, func, args = heappop(self._heap)
            func(*args)
