"""Admission at a target: how many calls run, which wait, which are refused at once."""

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from sortedcontainers import SortedKeyList

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.context import LOWEST_LEVEL

FIRST_LIMIT = 8
QUEUE_PER_SLOT = 0.5
RETRY_AFTER = 1.0


class Ticket(NamedTuple):
    """One call that asks to run. Times in seconds of the local clock."""

    call_id: int
    level: int
    arrived: float
    deadline: float
    rule: str = 'default'
    caller: str = ''


class Load(NamedTuple):
    """What a node reports of its target with each answer."""

    inflight: int = 0
    waiting: int = 0
    limit: float = FIRST_LIMIT
    level: int = LOWEST_LEVEL  #: the lowest priority that is admitted now


@dataclass(frozen=True, slots=True)
class Run:
    """Start the call now."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The call waits; ``evicted`` lost its place to it and is refused."""

    evicted: Ticket | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """The call is refused for good."""

    failure: Failure


Verdict = Run | Wait | Refuse


class Sample(NamedTuple):
    """How one call ended: seconds from start to end, without its calls to other services."""

    rule: str
    own_time: float
    completed: bool


class Released(NamedTuple):
    """The calls that may start now, and those that waited in vain."""

    started: list[Ticket]
    dropped: list[Ticket]


class AdmissionPolicy(Protocol):
    """What a node asks before its target is given a call."""

    def arrive(self, now: float, ticket: Ticket) -> Verdict:
        """Decide on a new call."""

    def finish(self, now: float, ticket: Ticket, sample: Sample) -> None:
        """Hear that a running call has ended."""

    def abandon(self, ticket: Ticket) -> None:
        """Take a waiting call out: its caller has gone."""

    def release(self, now: float) -> Released:
        """Say which waiting calls start now and which can no longer make their deadline."""

    def load(self, now: float) -> Load:
        """Give the load to report."""


class Admission:
    """A limit, and a short queue in order of priority."""

    def __init__(self, *, limit: float = FIRST_LIMIT, most: int = 1000) -> None:
        self.limit = limit
        self.most = most
        self.inflight = 0
        self.queue: SortedKeyList = SortedKeyList(key=lambda t: (t.level, t.arrived, t.call_id))
        self.service_time = 0.0

    def arrive(self, now: float, ticket: Ticket) -> Verdict:
        """Decide on a new call."""
        if self.inflight < self.limit and not self.queue:
            self.inflight += 1
            return Run()
        if now + self.service_time > ticket.deadline:
            return Refuse(Failure(ErrorKind.TOO_LATE_TO_START, retry_after=RETRY_AFTER))
        if len(self.queue) < max(self.limit * QUEUE_PER_SLOT, 1):
            self.queue.add(ticket)
            return Wait()
        worst: Ticket = self.queue[-1]
        if worst.level <= ticket.level:
            return Refuse(Failure(ErrorKind.OVERLOADED, retry_after=RETRY_AFTER))
        self.queue.pop(-1)
        self.queue.add(ticket)
        return Wait(evicted=worst)

    def finish(self, now: float, ticket: Ticket, sample: Sample) -> None:
        """Hear that a running call has ended."""
        self.inflight -= 1
        if sample.completed:
            self.service_time += (sample.own_time - self.service_time) * 0.1

    def abandon(self, ticket: Ticket) -> None:
        """Take a waiting call out."""
        self.queue.discard(ticket)

    def release(self, now: float) -> Released:
        """Say which waiting calls start now and which can no longer make their deadline."""
        started: list[Ticket] = []
        dropped: list[Ticket] = []
        while self.queue and self.inflight < self.limit:
            ticket = self.queue.pop(0)
            if now + self.service_time > ticket.deadline:
                dropped.append(ticket)
                continue
            self.inflight += 1
            started.append(ticket)
        return Released(started, dropped)

    def load(self, now: float) -> Load:
        """Give the load to report."""
        return Load(self.inflight, len(self.queue), self.limit)
