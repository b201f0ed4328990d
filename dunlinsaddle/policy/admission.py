"""Admission at a target: how many calls run, which wait, which are refused at once."""

import math
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from sortedcontainers import SortedKeyList

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.concurrency_limit import INITIAL_LIMIT, AdaptiveLimit
from dunlinsaddle.policy.context import LOWEST_LEVEL, SLOTS_PER_RANK
from dunlinsaddle.policy.level import AdmittedLevel, ChainLevels, ReportedLevel
from dunlinsaddle.policy.observed_capacity import ObservedCapacity
from dunlinsaddle.policy.retry_after import retry_after
from dunlinsaddle.records.models import ServiceRecord

MAX_QUEUE_RATIO = 0.5  #: calls that wait for each that runs, at recovery_bias 0
MIN_QUEUE_RATIO = 0.1  #: the same at recovery_bias 1
CRITICAL_QUEUE_CALLS = 8  #: calls of the most valued rank that may wait, however low the limit
MAX_UTILISATION = 0.95  #: demand admitted as a share of capacity, at recovery_bias 0
MIN_UTILISATION = 0.9  #: the same at recovery_bias 1
DEEP_QUEUE_RATIO = 1.0  #: calls that wait for each that runs, when work has been done for them
SERVICE_TIME_WEIGHT = 0.1  #: weight of one call in a mean time: some ten calls count


class Ticket(NamedTuple):
    """One call that asks to run. Times in seconds of the local clock."""

    call_id: int
    level: int
    arrived_at: float
    deadline: float
    rule: str = 'default'
    caller: str = ''
    hop: int = 0  #: 0 at the entry; above, work has been done for the request already
    useful_until: float = math.inf  #: from then on an answer is worth less


class Load(NamedTuple):
    """What a node reports of its target with each answer."""

    inflight: int = 0
    waiting: int = 0
    limit: float = INITIAL_LIMIT
    level: float = LOWEST_LEVEL  #: the lowest priority admitted now, with a fraction of the next
    age: float = 0.0  #: seconds since the target that admits it has confirmed it
    limited_by: str = ''  #: the service whose target admits that level
    #: What the call took of the service that limits its chain, in seconds of a whole target.
    cost: float = 0.0

    @property
    def reported_level(self) -> ReportedLevel:
        """The level as a node learns it from an answer."""
        return ReportedLevel(self.level, self.age, self.limited_by)

    def with_chain_level(self, levels: ChainLevels, now: float, service: str, rule: str) -> 'Load':
        """Give it with the worst level of this service and those that a rule calls."""
        worst = levels.lowest_in_chain(now, rule, ReportedLevel(self.level, service=service))
        return self._replace(level=worst.level, age=worst.age, limited_by=worst.service)


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


AdmissionDecision = Run | Wait | Refuse


class Sample(NamedTuple):
    """How one call ended: seconds from start to end, without its calls to other services."""

    rule: str
    own_time: float
    completed: bool


class Dequeued(NamedTuple):
    """The calls that may start now, and those that waited in vain."""

    started: list[Ticket]
    expired: list[Ticket]


class AdmissionPolicy(Protocol):
    """What a node asks before its target is given a call."""

    @property
    def limit(self) -> float:
        """The most calls that run at once, now."""

    def admit(self, now: float, ticket: Ticket) -> AdmissionDecision:
        """Decide on a new call."""

    def finish(self, now: float, ticket: Ticket, sample: Sample) -> None:
        """Hear that a running call has ended."""

    def pause(self, now: float, ticket: Ticket) -> None:
        """Hear that the target waits for another service on behalf of a running call."""

    def resume(self, now: float, ticket: Ticket) -> None:
        """Hear that this wait has ended."""

    def cancel(self, ticket: Ticket) -> None:
        """Take a waiting call out: its caller has gone."""

    def dequeue(self, now: float) -> Dequeued:
        """Say which waiting calls start now and which can no longer make their deadline."""

    def seconds_to_next_start(self, now: float) -> float | None:
        """Give the seconds until a waiting call may start though no call ends; None for never."""

    def load(self, now: float) -> Load:
        """Give the load to report."""


class _Start(NamedTuple):
    """When a call was started, and in which cohort of the limit."""

    when: float
    cohort: int


class Admission:
    """An adaptive limit, a short queue in order of priority, and the admitted level.

    Calls that work has been done for wait in a longer queue, and are not refused by level.

    ``bias`` trades goodput (0: a longer queue keeps all slots busy) against recovery
    (1: little waits when the overload ends).
    """

    def __init__(self, *, limit: float = 0, max_inflight: int = 1000, bias: float = 0.5) -> None:
        self.inflight = 0
        self._away: set[int] = set()
        self.max_inflight = max_inflight
        self.queue: SortedKeyList = SortedKeyList(key=_order)
        self._adaptive = AdaptiveLimit(limit, max_inflight)
        self._level = AdmittedLevel()
        self._use_bias(bias)
        self._started: dict[int, _Start] = {}
        self._times: dict[str, float] = {}
        self._mean_time = 0.0
        self._observed = ObservedCapacity()
        self._working: set[int] = set()

    @classmethod
    def from_record(cls, record: ServiceRecord) -> 'Admission':
        """Build it as a record says; its slots are a first guess only."""
        return cls(
            limit=record.slots,
            max_inflight=record.connections,
            bias=record.recovery_bias,
        )

    @property
    def limit(self) -> float:
        """The most calls that run at once, now."""
        return self._adaptive.value

    @limit.setter
    def limit(self, value: float) -> None:
        self._adaptive.value = value

    def configure(self, record: ServiceRecord) -> None:
        """Take what the record says now; what was learned stays."""
        self.max_inflight = record.connections
        self._adaptive.set_initial_limit(record.slots, record.connections)
        self._use_bias(record.recovery_bias)

    def reset_after_restart(self, now: float) -> None:
        """Hear that the target has announced itself anew: it is cold."""
        self._adaptive.reset_after_restart(now)
        self._observed = ObservedCapacity()
        self._observe(now)

    def admit(self, now: float, ticket: Ticket) -> AdmissionDecision:
        """Decide on a new call."""
        self._level.record_arrival(ticket.level)
        self._level.update(now, self._capacity(now), self._observed.idle_seconds(now))
        if self._free() and not self.queue:
            self._start(now, ticket)
            return Run()
        if ticket.level > self._level.level + 1 and not ticket.hop:
            return Refuse(self._failure(now, ErrorKind.OVERLOADED, ticket))
        if self._too_late(now, ticket):
            return Refuse(self._failure(now, ErrorKind.TOO_LATE_TO_START, ticket))
        if self._has_room(ticket):
            self.queue.add(ticket)
            return Wait()
        worst: Ticket = self.queue[-1]
        if _order(worst) <= _order(ticket):
            return Refuse(self._failure(now, ErrorKind.OVERLOADED, ticket))
        self.queue.pop(-1)
        self.queue.add(ticket)
        return Wait(evicted=worst)

    def finish(self, now: float, ticket: Ticket, sample: Sample) -> None:
        """Hear that a running call has ended."""
        self._work_done(ticket)
        self._away.discard(ticket.call_id)
        self.inflight -= 1
        self._observe(now)
        start = self._started.pop(ticket.call_id)
        own_time = sample.own_time if sample.completed else None
        before = self.limit
        self._adaptive.record_finish(now, start.cohort, sample.rule, own_time)
        if self._adaptive.is_in_initial_growth:
            self._observed.scale(max(self.limit / before, 1.0))
        if not sample.completed:
            return
        seconds = now - start.when
        self._mean_time = _averaged(self._mean_time, sample.own_time)
        self._times[sample.rule] = _averaged(self._times.get(sample.rule, 0.0), seconds)

    def pause(self, now: float, ticket: Ticket) -> None:
        """Let another call take the place of one that waits for another service.

        Counting those that wait would tie this target's limit to the speed of services
        below: when one slows down, all above it would shrink, also for calls that need it
        not at all.
        """
        if ticket.call_id not in self._started:
            return
        self._work_done(ticket)
        self._away.add(ticket.call_id)
        self._observe(now)

    def resume(self, now: float, ticket: Ticket) -> None:
        """Count the call again; for a while more may run than the limit says."""
        self._away.discard(ticket.call_id)
        self._observe(now)

    def cancel(self, ticket: Ticket) -> None:
        """Take a waiting call out."""
        self.queue.discard(ticket)

    def dequeue(self, now: float) -> Dequeued:
        """Say which waiting calls start now and which can no longer make their deadline."""
        started: list[Ticket] = []
        expired: list[Ticket] = []
        while self.queue and self._free():
            ticket = self.queue.pop(0)
            if now + self._times.get(ticket.rule, 0.0) > ticket.deadline:
                expired.append(ticket)
                continue
            self._start(now, ticket)
            started.append(ticket)
        return Dequeued(started, expired)

    def seconds_to_next_start(self, now: float) -> float | None:
        """Give None: only the end of a call makes room for another."""
        return None

    def load(self, now: float) -> Load:
        """Give the load to report."""
        self._level.update(now, self._capacity(now), self._observed.idle_seconds(now))
        return Load(self._active(), len(self.queue), self.limit, self._level.level)

    def _start(self, now: float, ticket: Ticket) -> None:
        self.inflight += 1
        self._working.add(ticket.call_id)
        self._observe(now)
        cohort = self._adaptive.record_start(self._active())
        self._started[ticket.call_id] = _Start(now, cohort)

    def _use_bias(self, bias: float) -> None:
        self._queue_share = MAX_QUEUE_RATIO + (MIN_QUEUE_RATIO - MAX_QUEUE_RATIO) * bias
        self._level.utilisation = MAX_UTILISATION + (MIN_UTILISATION - MAX_UTILISATION) * bias

    def _observe(self, now: float) -> None:
        self._observed.advance(now, saturated=not self._free())

    def _active(self) -> int:
        """Give the calls that the target works on itself."""
        return self.inflight - len(self._away)

    def _free(self) -> bool:
        return self._active() < self.limit and self.inflight < self.max_inflight

    def _has_room(self, ticket: Ticket) -> bool:
        """Say whether the call may wait without taking the place of another.

        At a cold target the queue holds one or two calls. When those are of the most valued
        rank, the next of that rank would be refused while lookups still have the slots.
        """
        waiting = len(self.queue)
        share = DEEP_QUEUE_RATIO if ticket.hop else self._queue_share
        if waiting < max(self.limit * share, 1):
            return True
        if max(ticket.level, self.queue[-1].level) >= SLOTS_PER_RANK:
            return False
        return waiting < CRITICAL_QUEUE_CALLS

    def _work_done(self, ticket: Ticket) -> None:
        """Count a call once: when it first leaves for another service, or ends."""
        if ticket.call_id in self._working:
            self._working.discard(ticket.call_id)
            self._observed.record_call()

    def _capacity(self, now: float) -> float:
        """Give the calls a second that the target can take; 0 if unknown."""
        ceiling = self.limit / self._mean_time if self._mean_time else 0.0
        return self._observed.estimate(now, ceiling)

    def _too_late(self, now: float, ticket: Ticket) -> bool:
        ahead = self.queue.bisect_left(ticket)
        capacity = self._capacity(now)
        wait = ahead / capacity if capacity else 0.0
        return now + wait + self._times.get(ticket.rule, 0.0) > ticket.deadline

    def _failure(self, now: float, kind: ErrorKind, ticket: Ticket) -> Failure:
        capacity = self._capacity(now)
        excess = self._level.demand / capacity if capacity else 1.0
        return Failure(kind, retry_after=retry_after(excess, ticket.call_id))


def _order(ticket: Ticket) -> tuple[int, int, int, float, int]:
    """Order by rank, then the deepest first: to drop it would waste the most work."""
    rank = ticket.level // SLOTS_PER_RANK
    return rank, -ticket.hop, ticket.level, ticket.arrived_at, ticket.call_id


def _averaged(mean: float, value: float) -> float:
    return mean + (value - mean) * SERVICE_TIME_WEIGHT if mean else value
