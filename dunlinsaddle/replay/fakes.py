"""Small fakes of what the decisions act on: targets with slots, and the network's cuts."""

from collections import deque
from random import Random

from dunlinsaddle.replay.events import EventLoop, Process, Waiter
from dunlinsaddle.replay.trace import Service


class FakeTarget:
    """A target: so many slots that compute, a queue in order of arrival, connections.

    A call holds a connection to its end and a slot only while it computes, not while it
    waits for other services. A target that has just started is slower for a while.
    """

    def __init__(self, loop: EventLoop, service: Service, rng: Random) -> None:
        self.loop = loop
        self.service = service
        self.rng = rng
        self.factor = 1.0
        self.open = 0
        self.deaths = 0
        self.up = True
        self._busy = 0
        self._queue: deque[Waiter] = deque()
        self._started = -1e9

    def accepts(self) -> bool:
        """Say whether a connection can be had."""
        return self.up and self.open < self.service.connections

    def compute(self, give_up: float) -> Process:
        """Hold a slot for the time of one call; False when the target died or gave it up."""
        life = self.deaths
        if self._busy >= self.service.slots:
            waiter = Waiter(self.loop)
            self._queue.append(waiter)
            yield waiter
            if self.deaths != life:
                return False
        else:
            self._busy += 1
        seconds = self._seconds()
        left = give_up - self.loop.now
        yield max(min(seconds, left), 0.0)
        if self.deaths != life:
            return False
        self._free_slot()
        return seconds <= left

    def crash(self) -> None:
        """Lose everything in progress."""
        self.up = False
        self.deaths += 1
        self._busy = self.open = 0
        lost, self._queue = self._queue, deque()
        for waiter in lost:
            waiter.resolve(None)

    def start(self) -> None:
        """Come up, cold."""
        self.up = True
        self._started = self.loop.now

    def _free_slot(self) -> None:
        if self._queue:
            self._queue.popleft().resolve(None)
        else:
            self._busy -= 1

    def _seconds(self) -> float:
        mean = self.service.service_time * self.factor * self._coldness()
        return mean * (0.5 + 0.5 * self.rng.expovariate(1.0))

    def _coldness(self) -> float:
        age = (self.loop.now - self._started) / self.service.cold_seconds
        return 1 + (self.service.cold_factor - 1) * max(1 - age, 0.0)


class Network:
    """Which failure domains are cut off from the others; a domain still hears itself."""

    def __init__(self, between: float) -> None:
        self.between = between
        self.cut: set[str] = set()

    def reaches(self, one: str, other: str) -> bool:
        """Say whether a message gets through."""
        return one == other or not (self.cut & {one, other})
