"""Admission control at a target: whether a call runs, waits in a queue or is refused.

The limit is learned from the target's own time per call: its duration at the target without the
calls that it makes to other services.
"""

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
from dunlinsaddle.policy.target_speed import TargetSpeed
from dunlinsaddle.records.models import ServiceRecord

MAX_QUEUE_RATIO = 0.5  #: waiting calls for each running call, at recovery_bias 0
MIN_QUEUE_RATIO = 0.1  #: the same at recovery_bias 1
CRITICAL_QUEUE_CALLS = 8  #: calls of the most important rank that may wait, however low the limit
MAX_UTILISATION = 0.95  #: demand admitted as a share of capacity, at recovery_bias 0
MIN_UTILISATION = 0.9  #: the same at recovery_bias 1
DEEP_QUEUE_RATIO = 1.0  #: waiting calls for each running call, for calls of running requests
SERVICE_TIME_WEIGHT = 0.1  #: weight of one call in a mean time; some ten calls count


class Ticket(NamedTuple):
    """A call that asks for admission. Times are in seconds of the local clock."""

    call_id: int
    level: int
    arrived_at: float
    deadline: float
    rule: str = 'default'
    caller: str = ''
    hop: int = 0  #: 0 at the entry; more if work has been done for the request already
    useful_until: float = math.inf  #: time from which an answer is worth less


class Load(NamedTuple):
    """The load of a target, as its node reports it with each response."""

    inflight: int = 0
    waiting: int = 0
    limit: float = INITIAL_LIMIT  #: concurrency limit
    level: float = LOWEST_LEVEL  #: the admitted level, with a fraction of the next
    age: float = 0.0  #: seconds since the target that admits the level confirmed it
    limited_by: str = ''  #: the service whose target admits the level
    #: Cost of the call at the service that limits its chain, in seconds of one whole target.
    cost: float = 0.0

    @property
    def reported_level(self) -> ReportedLevel:
        """The admitted level that this load reports."""
        return ReportedLevel(self.level, self.age, self.limited_by)

    def with_chain_level(self, levels: ChainLevels, now: float, service: str, rule: str) -> 'Load':
        """Return the load with the lowest level of this service and those that the rule calls."""
        lowest = levels.lowest_in_chain(now, rule, ReportedLevel(self.level, service=service))
        return self._replace(level=lowest.level, age=lowest.age, limited_by=lowest.service)


@dataclass(frozen=True, slots=True)
class Run:
    """The call starts now."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The call waits in the queue; ``evicted`` is removed from it in exchange and refused."""

    evicted: Ticket | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """The call is refused."""

    failure: Failure


AdmissionDecision = Run | Wait | Refuse


class Sample(NamedTuple):
    """How one call ended. ``own_time`` is in seconds, without its calls to other services."""

    rule: str
    own_time: float
    completed: bool


class Dequeued(NamedTuple):
    """The waiting calls that start now, and those that can no longer meet their deadline."""

    started: list[Ticket]
    expired: list[Ticket]


class AdmissionPolicy(Protocol):
    """Decides when calls are sent to a target."""

    @property
    def limit(self) -> float:
        """The current concurrency limit."""

    def admit(self, now: float, ticket: Ticket) -> AdmissionDecision:
        """Decide whether a new call runs, waits or is refused."""

    def finish(self, now: float, ticket: Ticket, sample: Sample) -> None:
        """Record the end of a running call."""

    def pause(self, now: float, ticket: Ticket) -> None:
        """Record that a running call starts to wait for another service."""

    def resume(self, now: float, ticket: Ticket) -> None:
        """Record that this wait has ended."""

    def cancel(self, ticket: Ticket) -> None:
        """Remove a waiting call from the queue."""

    def dequeue(self, now: float) -> Dequeued:
        """Return the waiting calls that start now and those that can no longer end in time."""

    def seconds_to_next_start(self, now: float) -> float | None:
        """Return the seconds until a waiting call may start without another ending, or None."""

    def load(self, now: float) -> Load:
        """Return the load to report."""

    def speed(self, now: float, rule: str) -> TargetSpeed | None:
        """Return the speed to report to the sender of a call of a rule; None if not measured."""


class _Start(NamedTuple):
    """When a call started, and in which cohort of the adaptive limit."""

    started_at: float
    cohort: int


class Admission:
    """Combines an adaptive limit, a short priority queue and the admitted priority level.

    Calls made for running requests may wait in a longer queue and are not refused by level.

    ``bias`` trades goodput (0: a longer queue keeps all slots busy) against recovery time
    (1: few calls are left waiting when the overload ends).
    """

    def __init__(self, *, limit: float = 0, max_inflight: int = 1000, bias: float = 0.5) -> None:
        self.inflight = 0
        self._paused: set[int] = set()  #: ids of running calls that wait for another service
        self.max_inflight = max_inflight
        self.queue: SortedKeyList = SortedKeyList(key=_order)
        self._adaptive_limit = AdaptiveLimit(limit, max_inflight)
        self._level = AdmittedLevel()
        self._set_bias(bias)
        self._starts: dict[int, _Start] = {}
        self._call_times: dict[str, float] = {}  #: mean seconds from start to end, by rule
        self._mean_own_time = 0.0  #: mean own time in seconds, over all rules
        self._observed_capacity = ObservedCapacity()
        self._unfinished_work: set[int] = set()  #: ids of calls that have not paused or ended

    @classmethod
    def from_record(cls, record: ServiceRecord) -> 'Admission':
        """Create it from a service record, whose slots serve only as the initial limit."""
        return cls(
            limit=record.slots,
            max_inflight=record.connections,
            bias=record.recovery_bias,
        )

    @property
    def limit(self) -> float:
        """The current concurrency limit."""
        return self._adaptive_limit.value

    @limit.setter
    def limit(self, value: float) -> None:
        self._adaptive_limit.value = value

    def configure(self, record: ServiceRecord) -> None:
        """Apply a changed service record; what was learned stays."""
        self.max_inflight = record.connections
        self._adaptive_limit.set_initial_limit(record.slots, record.connections)
        self._set_bias(record.recovery_bias)

    def reset_after_restart(self, now: float) -> None:
        """Reset what no longer holds after the target has restarted: it is cold."""
        self._adaptive_limit.reset_after_restart(now)
        self._observed_capacity = ObservedCapacity()
        self._update_observed(now)

    def admit(self, now: float, ticket: Ticket) -> AdmissionDecision:
        """Decide whether a new call runs, waits or is refused."""
        self._level.record_arrival(ticket.level)
        self._level.update(now, self._capacity(now), self._observed_capacity.idle_seconds(now))
        if self._can_start() and not self.queue:
            self._start(now, ticket)
            return Run()
        if ticket.level > self._level.level + 1 and not ticket.hop:
            return Refuse(self._failure(now, ErrorKind.OVERLOADED, ticket))
        if self._is_too_late(now, ticket):
            return Refuse(self._failure(now, ErrorKind.TOO_LATE_TO_START, ticket))
        if self._fits_in_queue(ticket):
            self.queue.add(ticket)
            return Wait()
        last: Ticket = self.queue[-1]
        if _order(last) <= _order(ticket):
            return Refuse(self._failure(now, ErrorKind.OVERLOADED, ticket))
        self.queue.pop(-1)
        self.queue.add(ticket)
        return Wait(evicted=last)

    def finish(self, now: float, ticket: Ticket, sample: Sample) -> None:
        """Record the end of a running call."""
        self._record_work_done(ticket)
        self._paused.discard(ticket.call_id)
        self.inflight -= 1
        self._update_observed(now)
        start = self._starts.pop(ticket.call_id)
        own_time = sample.own_time if sample.completed else None
        limit_before = self.limit
        self._adaptive_limit.record_finish(now, start.cohort, sample.rule, own_time)
        if self._adaptive_limit.is_in_initial_growth:
            self._observed_capacity.scale(max(self.limit / limit_before, 1.0))
        if not sample.completed:
            return
        seconds = now - start.started_at
        self._mean_own_time = _averaged(self._mean_own_time, sample.own_time)
        self._call_times[sample.rule] = _averaged(self._call_times.get(sample.rule, 0.0), seconds)

    def pause(self, now: float, ticket: Ticket) -> None:
        """Stop counting a call against the limit while it waits for another service.

        If such calls counted, the limit of this target would depend on the speed of the services
        it calls: when one slows down, the targets above it would admit fewer calls, including
        calls that do not need that service.
        """
        if ticket.call_id not in self._starts:
            return
        self._record_work_done(ticket)
        self._paused.add(ticket.call_id)
        self._update_observed(now)

    def resume(self, now: float, ticket: Ticket) -> None:
        """Count the call again; the number of running calls may exceed the limit for a while."""
        self._paused.discard(ticket.call_id)
        self._update_observed(now)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a waiting call from the queue."""
        self.queue.discard(ticket)

    def dequeue(self, now: float) -> Dequeued:
        """Return the waiting calls that start now and those that can no longer end in time."""
        started: list[Ticket] = []
        expired: list[Ticket] = []
        while self.queue and self._can_start():
            ticket = self.queue.pop(0)
            if now + self._call_times.get(ticket.rule, 0.0) > ticket.deadline:
                expired.append(ticket)
                continue
            self._start(now, ticket)
            started.append(ticket)
        return Dequeued(started, expired)

    def seconds_to_next_start(self, now: float) -> float | None:
        """Return None: a waiting call starts only when another ends."""
        return None

    def load(self, now: float) -> Load:
        """Return the load to report."""
        self._level.update(now, self._capacity(now), self._observed_capacity.idle_seconds(now))
        return Load(self._active_calls(), len(self.queue), self.limit, self._level.level)

    def speed(self, now: float, rule: str) -> TargetSpeed | None:
        """Return None: a learned limit follows the speed of the target, so its load shows it."""
        return None

    def _start(self, now: float, ticket: Ticket) -> None:
        self.inflight += 1
        self._unfinished_work.add(ticket.call_id)
        self._update_observed(now)
        cohort = self._adaptive_limit.record_start(self._active_calls())
        self._starts[ticket.call_id] = _Start(now, cohort)

    def _set_bias(self, bias: float) -> None:
        self._queue_ratio = MAX_QUEUE_RATIO + (MIN_QUEUE_RATIO - MAX_QUEUE_RATIO) * bias
        self._level.utilisation = MAX_UTILISATION + (MIN_UTILISATION - MAX_UTILISATION) * bias

    def _update_observed(self, now: float) -> None:
        self._observed_capacity.advance(now, saturated=not self._can_start())

    def _active_calls(self) -> int:
        """Return the number of calls that the target works on itself."""
        return self.inflight - len(self._paused)

    def _can_start(self) -> bool:
        return self._active_calls() < self.limit and self.inflight < self.max_inflight

    def _fits_in_queue(self, ticket: Ticket) -> bool:
        """Return whether the call may be queued without evicting another.

        At a cold target the queue holds one or two calls. If those are of the most important rank,
        another call of that rank would be refused while lookups hold the slots.
        """
        waiting = len(self.queue)
        ratio = DEEP_QUEUE_RATIO if ticket.hop else self._queue_ratio
        if waiting < max(self.limit * ratio, 1):
            return True
        if max(ticket.level, self.queue[-1].level) >= SLOTS_PER_RANK:
            return False
        return waiting < CRITICAL_QUEUE_CALLS

    def _record_work_done(self, ticket: Ticket) -> None:
        """Count a call once: when it first waits for another service, or ends."""
        if ticket.call_id in self._unfinished_work:
            self._unfinished_work.discard(ticket.call_id)
            self._observed_capacity.record_call()

    def _capacity(self, now: float) -> float:
        """Return how many calls a second the target can take; 0 if unknown."""
        ceiling = self.limit / self._mean_own_time if self._mean_own_time else 0.0
        return self._observed_capacity.estimate(now, ceiling)

    def _is_too_late(self, now: float, ticket: Ticket) -> bool:
        ahead = self.queue.bisect_left(ticket)
        capacity = self._capacity(now)
        wait = ahead / capacity if capacity else 0.0
        return now + wait + self._call_times.get(ticket.rule, 0.0) > ticket.deadline

    def _failure(self, now: float, kind: ErrorKind, ticket: Ticket) -> Failure:
        capacity = self._capacity(now)
        excess = self._level.demand / capacity if capacity else 1.0
        return Failure(kind, retry_after=retry_after(excess, ticket.call_id))


def _order(ticket: Ticket) -> tuple[int, int, int, float, int]:
    """Order by rank, then deepest hop first: dropping such a call wastes the most work."""
    rank = ticket.level // SLOTS_PER_RANK
    return rank, -ticket.hop, ticket.level, ticket.arrived_at, ticket.call_id


def _averaged(mean: float, value: float) -> float:
    return mean + (value - mean) * SERVICE_TIME_WEIGHT if mean else value
