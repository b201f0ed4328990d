"""One deep target under load, in simulated time: requests of callers, and calls of running work.

The figures are those of a full service on the platform: a request holds a slot for 0.48 s and is
worth most within 1.2 s; a call holds it for 0.03 s and has 0.3 s, and the work that it is made for
fails with it. A target has 38 slots, and a queue of its own for 114 in order of arrival.
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
OWN_QUEUE = 114


class Kind(NamedTuple):
    """One kind of call. Times in seconds, rates in calls a second."""

    name: str
    hop: int
    seconds: float
    objective: float
    deadline: float
    rate: float
    resends: int  #: after a refusal


# Calls are made for requests that are more valued than views: they go first.
VIEWS = Kind('view', 0, 0.48, 1.2, 5.0, 40.0, 1)
CALLS = Kind('call', 1, 0.03, 0.3, 0.7, 360.0, 0)


class Pattern(NamedTuple):
    """What is unusual from second 5 to 12 of 20."""

    surge: float = 1.0  #: times the usual rate
    slow: float = 1.0  #: times the usual seconds
    hard: bool = False  #: callers come again at once, up to three times

    def at(self, now: float) -> 'Pattern':
        return self if 5 <= now < 12 else Pattern()


class Target(Protocol):
    """Decides who runs; tells of each call once, when it starts or is refused."""

    def arrive(self, now: float, ticket: Ticket) -> None: ...

    def finish(self, now: float, ticket: Ticket, seconds: float) -> None: ...


Start = Callable[[Ticket], None]
Refusal = Callable[[Ticket, float], None]


class FirstCome:
    """The target's own queue, in order of arrival."""

    def __init__(self, start: Start, refuse: Refusal) -> None:
        self.start, self.refuse = start, refuse
        self.running = 0
        self.queue: deque[Ticket] = deque()

    def arrive(self, now: float, ticket: Ticket) -> None:
        if self.running < SLOTS:
            self.running += 1
            self.start(ticket)
        elif len(self.queue) < OWN_QUEUE:
            self.queue.append(ticket)
        else:
            self.refuse(ticket, 0.5)

    def finish(self, now: float, ticket: Ticket, seconds: float) -> None:
        self.running -= 1
        while self.queue and self.running < SLOTS:
            waiting = self.queue.popleft()
            if waiting.deadline > now:
                self.running += 1
                self.start(waiting)


class ByNode:
    """The node's queue before the same target."""

    def __init__(self, start: Start, refuse: Refusal) -> None:
        self.start, self.refuse = start, refuse
        self.admission = SlotAdmission()
        self.admission.set_slots(SLOTS)

    def arrive(self, now: float, ticket: Ticket) -> None:
        match self.admission.admit(now, ticket):
            case Run():
                self.start(ticket)
            case Refuse(failure):
                self.refuse(ticket, failure.retry_after)
            case Wait(evicted) if evicted is not None:
                self.refuse(evicted, 0.5)

    def finish(self, now: float, ticket: Ticket, seconds: float) -> None:
        self.admission.finish(now, ticket, Sample(ticket.rule, seconds, completed=True))
        self.release(now)

    def release(self, now: float) -> None:
        released = self.admission.dequeue(now)
        for started in released.started:
            self.start(started)
        for dropped in released.expired:
            self.refuse(dropped, 0.5)


class Served(NamedTuple):
    """Shares of all calls of a kind that were answered within their objective."""

    views: float
    calls: float
    late_views: float  #: of those that began in the last five seconds


class Events:
    """Steps in order of simulated time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._steps: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def at(self, when: float, step: Callable[[], None]) -> None:
        heapq.heappush(self._steps, (when, next(self.numbers), step))

    def play(self, until: float) -> None:
        while self._steps and self._steps[0][0] < until:
            self.now, _, step = heapq.heappop(self._steps)
            step()


class SlotsLoad(Events):
    """A run of twenty seconds."""

    def __init__(self, policy: type[FirstCome] | type[ByNode], pattern: Pattern, seed: int) -> None:
        super().__init__()
        self.pattern = pattern
        self.rng = Random(seed)
        self.target: Target = policy(self._start, self._refuse)
        self._asked: dict[int, tuple[Kind, float, int]] = {}
        self.asked: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()

    def run(self) -> Served:
        for kind in (VIEWS, CALLS):
            self._next(kind)
        self.play(25.0)
        share = {name: self.in_time[name] / count for name, count in self.asked.items()}
        return Served(share['view'], share['call'], share['late view'])

    def _next(self, kind: Kind) -> None:
        rate = kind.rate * self.pattern.at(self.now).surge
        self.at(self.now + self.rng.expovariate(rate), lambda: self._new(kind))

    def _new(self, kind: Kind) -> None:
        if self.now >= 20:
            return
        self._next(kind)
        for name in self._names(kind, self.now):
            self.asked[name] += 1
        self._send(kind, self.now, 0)

    def _names(self, kind: Kind, began: float) -> list[str]:
        return [kind.name] + ([f'late {kind.name}'] if began >= 15 else [])

    def _send(self, kind: Kind, began: float, resent: int) -> None:
        number = next(self.numbers)
        self._asked[number] = kind, began, resent
        ticket = build_ticket(
            number,
            arrived_at=self.now,
            level=300 - 100 * kind.hop,
            deadline=began + kind.deadline,
            rule=kind.name,
            hop=kind.hop,
            useful_until=began + kind.objective,
        )
        self.target.arrive(self.now, ticket)

    def _start(self, ticket: Ticket) -> None:
        kind, _, _ = self._asked[ticket.call_id]
        seconds = kind.seconds * self.pattern.at(self.now).slow * self.rng.uniform(0.6, 1.4)
        self.at(self.now + seconds, lambda: self._end(ticket, seconds))

    def _end(self, ticket: Ticket, seconds: float) -> None:
        kind, began, _ = self._asked.pop(ticket.call_id)
        if self.now <= began + kind.objective:
            for name in self._names(kind, began):
                self.in_time[name] += 1
        self.target.finish(self.now, ticket, seconds)

    def _refuse(self, ticket: Ticket, retry_after: float) -> None:
        kind, began, resent = self._asked.pop(ticket.call_id)
        hard = self.pattern.hard and 5 <= self.now < 12 and kind.resends
        if resent >= (3 if hard else kind.resends):
            return
        wait = 0.01 if hard else retry_after
        if self.now + wait < began + kind.deadline:
            self.at(self.now + wait, lambda: self._send(kind, began, resent + 1))


class Lookups(Events):
    """Requests that need four calls, one after the other, of a service that can serve half.

    Each of ``roots`` a second makes its next call 5 ms after the last was answered; one that is
    refused or late fails its request.
    """

    CALLS = 4

    def __init__(self, *, roots: float, seconds: float, seed: int, by_level: bool) -> None:
        super().__init__()
        self.roots = roots
        self.until = seconds
        self.rng = Random(seed)
        self.by_level = by_level
        self.admission = SlotAdmission()
        self.admission.set_slots(SLOTS)
        self._root_of: dict[int, tuple[int, int]] = {}
        self.begun = 0
        self.whole = 0

    def run(self) -> float:
        """Give the share of requests that were served whole."""
        self.at(0.0, self._new)
        self.play(self.until + 25.0)
        return self.whole / self.begun

    def _new(self) -> None:
        if self.now >= self.until:
            return
        self.at(self.now + self.rng.expovariate(self.roots), self._new)
        self.begun += 1
        level = 256 + self.rng.randrange(128) if self.by_level else 256
        self._call(level, 0)

    def _call(self, level: int, done: int) -> None:
        number = next(self.numbers)
        self._root_of[number] = level, done
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
                self._root_of.pop(evicted.call_id)

    def _start(self, ticket: Ticket) -> None:
        seconds = CALLS.seconds * self.rng.uniform(0.6, 1.4)
        self.at(self.now + seconds, lambda: self._end(ticket, seconds))

    def _end(self, ticket: Ticket, seconds: float) -> None:
        level, done = self._root_of.pop(ticket.call_id)
        if done + 1 == self.CALLS:
            self.whole += 1
        else:
            self.at(self.now + 0.005, lambda: self._call(level, done + 1))
        self.admission.finish(self.now, ticket, Sample(ticket.rule, seconds, completed=True))
        for started in self.admission.dequeue(self.now).started:
            self._start(started)
