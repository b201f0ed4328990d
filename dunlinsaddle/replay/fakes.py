"""Simulated targets with execution slots, and the network between failure domains."""

from collections import deque
from random import Random

from dunlinsaddle.replay.events import EventLoop, Future, Process
from dunlinsaddle.replay.trace import Service


class FakeTarget:
    """A target with a number of slots, a queue in order of arrival, and limited connections.

    A call holds a connection until it ends, but a slot only while it computes, not while it
    waits for other services. A target that has just started is slower for a while.
    """

    def __init__(self, loop: EventLoop, service: Service, rng: Random) -> None:
        self.loop = loop
        self.service = service
        self.rng = rng
        self.slowdown = 1.0
        self.open_connections = 0
        self.crash_count = 0
        self.is_up = True
        self._busy = 0
        self._queue: deque[Future] = deque()
        self._started = -1e9

    def accepts_connections(self) -> bool:
        """Return whether the target accepts another connection."""
        return self.is_up and self.open_connections < self.service.connections

    def compute(self, stop_at: float) -> Process:
        """Hold a slot for the duration of one call.

        Return False if the target crashed, or stopped the work at ``stop_at``.
        """
        crash_count = self.crash_count
        if self._busy >= self.service.slots:
            future = Future(self.loop)
            self._queue.append(future)
            yield future
            if self.crash_count != crash_count:
                return False
        else:
            self._busy += 1
        seconds = self._draw_service_time()
        remaining = stop_at - self.loop.now
        yield max(min(seconds, remaining), 0.0)
        if self.crash_count != crash_count:
            return False
        self._free_slot()
        return seconds <= remaining

    def crash(self) -> None:
        """Crash: lose all calls that run or wait."""
        self.is_up = False
        self.crash_count += 1
        self._busy = self.open_connections = 0
        queued, self._queue = self._queue, deque()
        for future in queued:
            future.set_result(None)

    def start(self) -> None:
        """Start, with the slowness of a cold target."""
        self.is_up = True
        self._started = self.loop.now

    def _free_slot(self) -> None:
        if self._queue:
            self._queue.popleft().set_result(None)
        else:
            self._busy -= 1

    def _draw_service_time(self) -> float:
        mean = self.service.service_time * self.slowdown * self._cold_start_factor()
        return mean * (0.5 + 0.5 * self.rng.expovariate(1.0))

    def _cold_start_factor(self) -> float:
        age = (self.loop.now - self._started) / self.service.cold_seconds
        return 1 + (self.service.cold_factor - 1) * max(1 - age, 0.0)


class Network:
    """Latency and partitions between failure domains.

    An isolated domain still reaches itself.
    """

    def __init__(self, latency: float) -> None:
        self.latency = latency
        self.isolated_domains: set[str] = set()

    def is_reachable(self, source: str, destination: str) -> bool:
        """Return whether messages pass between two failure domains."""
        return source == destination or not (self.isolated_domains & {source, destination})
