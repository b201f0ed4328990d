"""Simulated load on one target: requests of callers, and calls made for running requests.

The figures are those of a fully loaded service on the platform. A request holds a slot for 0.48 s
and has an objective of 1.2 s. A call holds a slot for 0.03 s and has an objective of 0.3 s; when
it fails, the request that it was made for fails too. The target has 38 slots and its own FIFO
queue for 114 calls.
"""

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

from dunlinsaddle.policy.admission import Refuse, Run, Sample, Ticket, Wait
from dunlinsaddle.policy.slots import SlotAdmission
from tests.builders import build_ticket

SLOTS = 38
TARGET_QUEUE_LENGTH = 114


class CallKind(NamedTuple):
    """One kind of call. Times are in seconds, rates in calls per second."""

    name: str
    hop: int
    seconds: float
    objective: float
    deadline: float
    rate: float
    max_retries: int  #: after refusals


# Calls are made for requests of a higher priority than views, so they go first.
VIEWS = CallKind('view', 0, 0.48, 1.2, 5.0, 40.0, 1)
CALLS = CallKind('call', 1, 0.03, 0.3, 0.7, 360.0, 0)


class LoadPattern(NamedTuple):
    """Disturbance of a run, from second 5 to 12 of 20."""

    surge: float = 1.0  #: multiple of the normal rates
    slowdown: float = 1.0  #: multiple of the normal service times
    immediate_retries: bool = False  #: callers retry at once, up to three times

    def active_at(self, now: float) -> 'LoadPattern':
        return self if 5 <= now < 12 else LoadPattern()


class Target(Protocol):
    """Decides which calls run; reports each call once, when it starts or is refused."""

    def arrive(self, now: float, ticket: Ticket) -> None: ...

    def finish(self, now: float, ticket: Ticket, seconds: float) -> None: ...


OnStart = Callable[[Ticket], None]
OnRefuse = Callable[[Ticket, float], None]


class FifoTarget:
    """The target with only its own FIFO queue."""

    def __init__(self, on_start: OnStart, on_refuse: OnRefuse) -> None:
        self.on_start, self.on_refuse = on_start, on_refuse
        self.running = 0
        self.queue: deque[Ticket] = deque()

    def arrive(self, now: float, ticket: Ticket) -> None:
        if self.running < SLOTS:
            self.running += 1
            self.on_start(ticket)
        elif len(self.queue) < TARGET_QUEUE_LENGTH:
            self.queue.append(ticket)
        else:
            self.on_refuse(ticket, 0.5)

    def finish(self, now: float, ticket: Ticket, seconds: float) -> None:
        self.running -= 1
        while self.queue and self.running < SLOTS:
            ticket = self.queue.popleft()
            if ticket.deadline > now:
                self.running += 1
                self.on_start(ticket)


class AdmissionControlledTarget:
    """The same target behind the admission queue of a node."""

    def __init__(self, on_start: OnStart, on_refuse: OnRefuse) -> None:
        self.on_start, self.on_refuse = on_start, on_refuse
        self.admission = SlotAdmission()
        self.admission.set_slots(SLOTS)

    def arrive(self, now: float, ticket: Ticket) -> None:
        match self.admission.admit(now, ticket):
            case Run():
                self.on_start(ticket)
            case Refuse(failure):
                self.on_refuse(ticket, failure.retry_after)
            case Wait(evicted) if evicted is not None:
                self.on_refuse(evicted, 0.5)

    def finish(self, now: float, ticket: Ticket, seconds: float) -> None:
        self.admission.finish(now, ticket, Sample(ticket.rule, seconds, completed=True))
        self.release(now)

    def release(self, now: float) -> None:
        released = self.admission.dequeue(now)
        for started in released.started:
            self.on_start(started)
        for expired in released.expired:
            self.on_refuse(expired, 0.5)


class ServedShares(NamedTuple):
    """Shares of the calls of each kind that were answered within their objective."""

    views: float
    calls: float
    late_views: float  #: views that started in the last five seconds


class Simulation:
    """Runs scheduled steps in order of simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._steps: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()

    def schedule_at(self, when: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._steps, (when, next(self.sequence), step))

    def run_until(self, until: float) -> None:
        while self._steps and self._steps[0][0] < until:
            self.now, _, step = heapq.heappop(self._steps)
            step()


class SlotsLoad(Simulation):
    """Simulates twenty seconds of views and calls on one target."""

    def __init__(
        self,
        target_type: type[FifoTarget] | type[AdmissionControlledTarget],
        pattern: LoadPattern,
        seed: int,
    ) -> None:
        super().__init__()
        self.pattern = pattern
        self.rng = Random(seed)
        self.target: Target = target_type(self._start, self._refuse)
        self._pending: dict[int, tuple[CallKind, float, int]] = {}
        self.sent: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()

    def run(self) -> ServedShares:
        for kind in (VIEWS, CALLS):
            self._schedule_next(kind)
        self.run_until(25.0)
        shares = {name: self.in_time[name] / count for name, count in self.sent.items()}
        return ServedShares(shares['view'], shares['call'], shares['late view'])

    def _schedule_next(self, kind: CallKind) -> None:
        rate = kind.rate * self.pattern.active_at(self.now).surge
        self.schedule_at(self.now + self.rng.expovariate(rate), lambda: self._start_request(kind))

    def _start_request(self, kind: CallKind) -> None:
        if self.now >= 20:
            return
        self._schedule_next(kind)
        for name in self._counter_names(kind, self.now):
            self.sent[name] += 1
        self._send(kind, self.now, 0)

    def _counter_names(self, kind: CallKind, started_at: float) -> list[str]:
        return [kind.name] + ([f'late {kind.name}'] if started_at >= 15 else [])

    def _send(self, kind: CallKind, started_at: float, retries: int) -> None:
        number = next(self.sequence)
        self._pending[number] = kind, started_at, retries
        ticket = build_ticket(
            number,
            arrived_at=self.now,
            level=300 - 100 * kind.hop,
            deadline=started_at + kind.deadline,
            rule=kind.name,
            hop=kind.hop,
            useful_until=started_at + kind.objective,
        )
        self.target.arrive(self.now, ticket)

    def _start(self, ticket: Ticket) -> None:
        kind, _, _ = self._pending[ticket.call_id]
        seconds = (
            kind.seconds * self.pattern.active_at(self.now).slowdown * self.rng.uniform(0.6, 1.4)
        )
        self.schedule_at(self.now + seconds, lambda: self._end(ticket, seconds))

    def _end(self, ticket: Ticket, seconds: float) -> None:
        kind, started_at, _ = self._pending.pop(ticket.call_id)
        if self.now <= started_at + kind.objective:
            for name in self._counter_names(kind, started_at):
                self.in_time[name] += 1
        self.target.finish(self.now, ticket, seconds)

    def _refuse(self, ticket: Ticket, retry_after: float) -> None:
        kind, started_at, retries = self._pending.pop(ticket.call_id)
        immediate_retries = (
            self.pattern.immediate_retries and 5 <= self.now < 12 and kind.max_retries
        )
        if retries >= (3 if immediate_retries else kind.max_retries):
            return
        wait = 0.01 if immediate_retries else retry_after
        if self.now + wait < started_at + kind.deadline:
            self.schedule_at(self.now + wait, lambda: self._send(kind, started_at, retries + 1))


class LookupLoad(Simulation):
    """Simulates requests that each need four sequential calls of a service with half the capacity.

    A request makes its next call 5 ms after the last one was answered. It fails when one of its
    calls is refused or late. With ``by_level`` all calls of a request share one random level;
    otherwise all levels are equal.
    """

    CALLS_PER_REQUEST = 4

    def __init__(
        self, *, requests_per_second: float, seconds: float, seed: int, by_level: bool
    ) -> None:
        super().__init__()
        self.requests_per_second = requests_per_second
        self.until = seconds
        self.rng = Random(seed)
        self.by_level = by_level
        self.admission = SlotAdmission()
        self.admission.set_slots(SLOTS)
        self._progress: dict[int, tuple[int, int]] = {}
        self.started_count = 0
        self.completed_count = 0

    def run(self) -> float:
        """Return the share of requests whose calls were all served."""
        self.schedule_at(0.0, self._start_request)
        self.run_until(self.until + 25.0)
        return self.completed_count / self.started_count

    def _start_request(self) -> None:
        if self.now >= self.until:
            return
        self.schedule_at(
            self.now + self.rng.expovariate(self.requests_per_second), self._start_request
        )
        self.started_count += 1
        level = 256 + self.rng.randrange(128) if self.by_level else 256
        self._call(level, 0)

    def _call(self, level: int, calls_done: int) -> None:
        number = next(self.sequence)
        self._progress[number] = level, calls_done
        ticket = build_ticket(
            number,
            arrived_at=self.now,
            level=level,
            deadline=self.now + CALLS.deadline,
            rule='call',
            hop=3,
            useful_until=self.now + CALLS.objective,
        )
        match self.admission.admit(self.now, ticket):
            case Run():
                self._start(ticket)
            case Wait(evicted) if evicted is not None:
                self._progress.pop(evicted.call_id)

    def _start(self, ticket: Ticket) -> None:
        seconds = CALLS.seconds * self.rng.uniform(0.6, 1.4)
        self.schedule_at(self.now + seconds, lambda: self._end(ticket, seconds))

    def _end(self, ticket: Ticket, seconds: float) -> None:
        level, calls_done = self._progress.pop(ticket.call_id)
        if calls_done + 1 == self.CALLS_PER_REQUEST:
            self.completed_count += 1
        else:
            self.schedule_at(self.now + 0.005, lambda: self._call(level, calls_done + 1))
        self.admission.finish(self.now, ticket, Sample(ticket.rule, seconds, completed=True))
        for started in self.admission.dequeue(self.now).started:
            self._start(started)
