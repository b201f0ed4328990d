"""A discrete-event simulation: processes as generators, and a heap of scheduled callbacks."""

from collections.abc import Callable, Generator
from heapq import heappop, heappush
from typing import Any


class Future:
    """A result that is set once; the process that yields it resumes with the value."""

    __slots__ = ('_done', '_loop', '_process', '_value')

    def __init__(self, loop: 'EventLoop') -> None:
        self._loop = loop
        self._process: Process | None = None
        self._done = False
        self._value: Any = None

    def set_result(self, value: Any) -> None:
        """Set the value and resume the waiting process; later calls have no effect."""
        if self._done:
            return
        self._done, self._value = True, value
        if self._process is not None:
            self._loop.step(self._process, value)

    def add_waiter(self, process: 'Process') -> None:
        """Resume a process when the result is set, at once if it is set already."""
        self._process = process
        if self._done:
            self._loop.step(process, self._value)


#: Yields the seconds to sleep, or a Future to wait for.
Process = Generator[float | Future, Any, Any]


class EventLoop:
    """Runs callbacks in order of time; the clock moves straight to the time of the next one."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def call_at(self, when: float, func: Callable[..., None], *args: Any) -> None:
        """Schedule a function call at a time."""
        self._count += 1
        heappush(self._heap, (when, self._count, func, args))

    def spawn(self, process: Process) -> None:
        """Start a process at the current time."""
        self.step(process, None)

    def step(self, process: Process, value: Any) -> None:
        """Run a process until it waits or ends."""
        try:
            wait = process.send(value)
        except StopIteration:
            return
        if isinstance(wait, Future):
            wait.add_waiter(process)
        else:
            self.call_at(self.now + wait, self.step, process, None)

    def run(self, until: float) -> None:
        """Run all scheduled calls up to and including a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, func, args = heappop(self._heap)
            func(*args)
