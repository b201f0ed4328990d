"""Admission at a target that announces its slots: who runs, who waits, who is refused at once."""

from itertools import islice

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.admission import (
    AdmissionDecision,
    Dequeued,
    Load,
    Refuse,
    Run,
    Sample,
    Ticket,
    Wait,
)
from dunlinsaddle.policy.level import AdmittedLevel
from dunlinsaddle.policy.rate_limit import RateLimit
from dunlinsaddle.policy.retry_after import apply_jitter
from dunlinsaddle.policy.wait_queue import QueuedWork, WaitQueue

#: Share of the announced slots that is used. Targets slow down when nearly full, some from 95 %
#: on, and a new connection may hold a slot for a moment.
USABLE_SLOT_SHARE = 0.95
#: Slots taken before a target has said how many it has: a restarted node knows nothing for up
#: to one heartbeat, and an overrun would be rejected by the target.
INITIAL_SLOTS = 8
SERVICE_TIME_WEIGHT = 0.05  #: weight of one call in the mean service time; some twenty calls count
#: Share of the limit up to which demand is admitted. At 1.1 no more lookups are served in time,
#: and three times as many are begun in vain; at 0.92 fewer are served, 0.61 for 0.63 (simulated,
#: a surge of 1.15 and of 1.3 times the capacity).
ADMITTED_UTILISATION = 1.0
#: Calls at the end of the queue that are looked at when another goes before them. Waits grow along
#: the queue, so those that will be late are mostly the last.
MAX_TAIL_CHECKS = 8
#: Seconds between two looks at all that wait: an objective shorter than that of the calls behind
#: it is missed in the middle of the queue. A tenth of the shortest objective, 0.3 s.
FULL_SCAN_INTERVAL_SECONDS = 0.03
MIN_START_DELAY_SECONDS = 0.001  #: seconds; a timer for less may come before the rate has room
MIN_CAPACITY_SHARE = 0.1  #: share of the slots that a call is taken to have, at least
MIN_RETRY_AFTER_SECONDS = 0.4  #: seconds; less would return before the queue has moved
MAX_RETRY_AFTER_SECONDS = (
    1.6  #: seconds; callers heed a third of a deadline of five seconds at most
)


class SlotAdmission:
    """As many calls as the target has slots for, and a queue no longer than it can serve in time.

    A target's own queue knows neither rank nor deadline, and some targets never answer what
    they cannot queue. So nothing is sent that has to wait there: the queue is here.

    A target may name a rate besides, in calls a second from all nodes: then no more are started.

    The level that fills the slots is reported with each answer, and entries refuse by it.
    Failure: a lookup passes three hops and fails there, as one of its four calls is refused.
    At 1.3 times the capacity 0.39 of all lookups were begun in vain, and 0.17 with the level
    told upstream (`tests/test_deep_load.py`).
    """

    def __init__(self) -> None:
        self.slots = INITIAL_SLOTS
        self.inflight = 0
        self.limit = _limit(INITIAL_SLOTS)
        self.queue = WaitQueue(self._time)
        self._looked_at = 0.0
        self._times: dict[str, float] = {}
        self._mean = 0.0  #: seconds for which a call holds a slot; 0 until one has ended
        self._level = AdmittedLevel(ADMITTED_UTILISATION)
        self._full_at = 0.0  #: until when no call could start at once, by what is known
        self._refusals = 0
        self._rate = RateLimit()

    @property
    def level(self) -> float:
        """The level that was admitted when it was decided last; costs nothing."""
        return self._level.level

    @property
    def has_rate_limit(self) -> bool:
        """Whether the target names a rate."""
        return self._rate.is_set

    def set_slots(self, slots: int) -> None:
        """Take the slots that the target says it has."""
        self.slots = slots
        self.limit = _limit(slots)

    def set_rate_limit(self, now: float, rate: float | None) -> None:
        """Take the calls a second that the target says it takes, None for any number."""
        self._rate.set_rate(now, rate)
        # The next token of the rate before may have been far off.
        self._full_at = min(self._full_at, now)
        self._note_full(now)

    def rate_utilisation(self, now: float) -> float:
        """Give the share of the named rate that is used, 0 where none is named."""
        return self._rate.utilisation(now)

    def reset_after_restart(self, now: float) -> None:
        """Forget the service times and the rate of the incarnation before."""
        self._times.clear()
        self._mean = 0.0
        self.set_rate_limit(now, None)

    def admit(self, now: float, ticket: Ticket) -> AdmissionDecision:
        """Decide on a new call."""
        self._count(now, ticket)
        if not self.queue and self._free(now):
            self._start(now)
            return Run()
        if not self._in_time(now, ticket, self.queue.ahead_of(ticket)):
            return self._refuse(now, ticket)
        self.queue.add(ticket)
        late = self._late_behind(now, ticket)
        if late is not None:
            # It would be refused later anyway: its caller can use the time.
            self.queue.discard(late)
        return Wait(evicted=late)

    def finish(self, now: float, ticket: Ticket, sample: Sample) -> None:
        """Hear that a running call has ended."""
        if not self._has_slot():
            self._full_at = max(self._full_at, now)
        self.inflight -= 1
        if not sample.completed:
            return
        self._mean = _averaged(self._mean, sample.own_time)
        self._times[ticket.rule] = _averaged(self._times.get(ticket.rule, 0.0), sample.own_time)

    def pause(self, now: float, ticket: Ticket) -> None:
        """Do nothing: a call holds its slot while the target waits for another service."""

    def resume(self, now: float, ticket: Ticket) -> None:
        """Do nothing, for the same reason."""

    def cancel(self, ticket: Ticket) -> None:
        """Take a waiting call out."""
        self.queue.discard(ticket)

    def dequeue(self, now: float) -> Dequeued:
        """Say which waiting calls start now and which can no longer be answered in time."""
        started: list[Ticket] = []
        expired: list[Ticket] = []
        while self.queue and self._free(now):
            ticket = self.queue.pop_first()
            if now + self._time(ticket.rule) > ticket.deadline:
                expired.append(ticket)
                continue
            self._start(now)
            started.append(ticket)
        return Dequeued(started, expired)

    def seconds_to_next_start(self, now: float) -> float | None:
        """Give the seconds until a waiting call may start though no call ends; None for never."""
        if not self.queue or not self._has_slot():
            return None
        return max(self._rate.wait_seconds(now, 1), MIN_START_DELAY_SECONDS)

    def load(self, now: float) -> Load:
        """Give the load to report."""
        self._level.update(now, self._capacity(), self._idle(now))
        return Load(self.inflight, len(self.queue), self.limit, self._level.level)

    def _count(self, now: float, ticket: Ticket) -> None:
        """Count the demand of a call: by the time for which it holds a slot; one for a rate."""
        alike = not self._mean or self._bound_by_rate()
        amount = 1.0 if alike else self._time(ticket.rule) / self._mean
        self._level.record_arrival(ticket.level, amount)
        self._level.update(now, self._capacity(), self._idle(now))

    def _capacity(self) -> float:
        """Give the usual calls a second that the target can take; 0 if unknown."""
        if self._bound_by_rate():
            return self._rate.rate
        return self.limit / self._mean if self._mean else 0.0

    def _bound_by_rate(self) -> bool:
        """Say whether the rate allows fewer calls than the slots do."""
        return self._rate.rate * self._mean < self.limit and self._rate.is_set

    def _idle(self, now: float) -> float:
        """Give for how many seconds a call could have started at once."""
        return now - self._full_at if self._free(now) else 0.0

    def _free(self, now: float) -> bool:
        return self._has_slot() and self._rate.can_take(now)

    def _has_slot(self) -> bool:
        return self.inflight < self.limit

    def _start(self, now: float) -> None:
        self.inflight += 1
        self._rate.take(now)
        self._note_full(now)

    def _note_full(self, now: float) -> None:
        wait = self._rate.wait_seconds(now, 1)
        if wait > 0:
            self._full_at = now + wait

    def _time(self, rule: str) -> float:
        return self._times.get(rule, self._mean)

    def _wait(self, now: float, ticket: Ticket, ahead: QueuedWork) -> float:
        """Give the seconds until a call starts.

        At the entry, more valued calls that come later count, too: what waits there has what
        they leave of the slots, and told at once its caller can use the time. A call of running
        work is not given up for what may come.
        """
        left = (
            1.0
            if ticket.hop
            else max(self._level.capacity_share_for(ticket.level), MIN_CAPACITY_SHARE)
        )
        for_slot = (ahead.work_seconds + self._mean) / self.limit
        return max(for_slot, self._rate.wait_seconds(now, ahead.calls + 1)) / left

    def _in_time(self, now: float, ticket: Ticket, ahead: QueuedWork) -> bool:
        """Say whether a call would be answered while its answer is still worth something."""
        answered = now + self._wait(now, ticket, ahead) + self._time(ticket.rule)
        return answered <= min(ticket.deadline, ticket.useful_until)

    def _late_behind(self, now: float, arrived: Ticket) -> Ticket | None:
        """Give the last of those behind a new call that will not be answered in time, if any."""
        most = MAX_TAIL_CHECKS
        if now - self._looked_at >= FULL_SCAN_INTERVAL_SECONDS:
            self._looked_at = now
            most = len(self.queue)
        calls, work = self.queue.total()
        for ticket in islice(reversed(self.queue), most):
            if ticket is arrived:
                return None
            calls -= 1
            work -= self._time(ticket.rule)
            if not self._in_time(now, ticket, QueuedWork(calls, work)):
                return ticket
        return None

    def _refuse(self, now: float, ticket: Ticket) -> Refuse:
        self._refusals += 1
        backlog = self._wait(now, ticket, self.queue.total())
        seconds = min(max(2 * backlog, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
        detail = f'the target takes {self._rate.rate:g} a second' if self._bound_by_rate() else ''
        wait = apply_jitter(seconds, self._refusals)
        return Refuse(Failure(ErrorKind.OVERLOADED, detail, wait))


def _limit(slots: int) -> int:
    """Give the most calls that run at once."""
    return max(int(slots * USABLE_SLOT_SHARE), 1)


def _averaged(mean: float, value: float) -> float:
    return mean + (value - mean) * SERVICE_TIME_WEIGHT if mean else value
