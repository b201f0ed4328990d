"""Admission control for a target that announces its number of slots."""

import math
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
from dunlinsaddle.policy.learned_state import RuleTime
from dunlinsaddle.policy.level import AdmittedLevel
from dunlinsaddle.policy.rate_limit import RateLimit
from dunlinsaddle.policy.retry_after import apply_jitter
from dunlinsaddle.policy.service_times import RecentServiceTimes
from dunlinsaddle.policy.target_speed import MAX_REPORTED_SECONDS, TargetSpeed
from dunlinsaddle.policy.wait_queue import QueuedWork, WaitQueue

#: Share of the announced slots that is used. Targets slow down when nearly full, some from 95 %
#: on, and a new connection may hold a slot for a moment.
USABLE_SLOT_SHARE = 0.95
#: Slots that are used before the target has announced its number: a restarted node does not know
#: it for up to one heartbeat, and calls beyond it would be rejected by the target.
INITIAL_SLOTS = 8
SERVICE_TIME_WEIGHT = 0.05  #: weight of one call in a mean service time; some twenty calls count
#: Share of the limit up to which demand is admitted. At 1.1 no more lookups are answered in time,
#: and three times as many are started in vain; at 0.92 fewer are answered, 0.61 instead of 0.63
#: (simulated, surges of 1.15 and of 1.3 times the capacity).
ADMITTED_UTILISATION = 1.0
#: Calls at the end of the queue that are checked when another call is queued before them. Waits
#: increase along the queue, so the calls that will be late are mostly the last ones.
MAX_TAIL_CHECKS = 8
#: Seconds between two checks of the whole queue. A call with a shorter objective than the calls
#: behind it can become late in the middle of the queue. A tenth of the shortest objective, 0.3 s.
FULL_SCAN_INTERVAL_SECONDS = 0.03
MIN_START_DELAY_SECONDS = 0.001  #: a shorter timer may fire before the rate limit has a token
MIN_CAPACITY_SHARE = 0.1  #: minimum share of the slots that is assumed to be free for a call
#: Time for which a load that the target reported itself counts; its queue empties within such a
#: time, and a response of any call renews it.
REPORTED_LOAD_SECONDS = 0.3
MAX_REPORTED_QUEUE_RATIO = 10.0  #: calls in the target's queue per slot; caps absurd values
MIN_RETRY_AFTER_SECONDS = 0.4  #: any sooner and callers return before the queue has moved
MAX_RETRY_AFTER_SECONDS = 1.6  #: callers wait at most a third of their deadline of five seconds


class SlotAdmission:
    """Runs as many calls as the target has slots, and queues those it can answer in time.

    The queue of a target knows neither priority nor deadline, and some targets never answer calls
    that they cannot queue. So calls that would have to wait there are not sent; they wait here.

    A target may also set a rate limit in calls a second, for all nodes together.

    The level that fills the slots is reported with each response, and entries refuse requests by
    it. Otherwise a lookup passes three hops and fails here because one of its four calls is
    refused. At 1.3 times the capacity 0.39 of all lookups were started in vain without the report,
    and 0.17 with it (`tests/test_deep_load.py`).
    """

    def __init__(self) -> None:
        self.slots = INITIAL_SLOTS
        self.inflight = 0
        self.limit = _limit(INITIAL_SLOTS)
        self.queue = WaitQueue(self._service_time)
        self._scanned_at = 0.0
        self._service_times: dict[str, float] = {}
        self._mean_service_time = 0.0  #: seconds for which a call holds a slot; 0 if unknown
        self._level = AdmittedLevel(ADMITTED_UTILISATION)
        self._full_until = 0.0  #: time until which, as far as known, no call can start at once
        self._refusals = 0
        self._rate = RateLimit()
        self._recent = RecentServiceTimes()
        self._warm_at = 0.0  #: time at which the warm-up of the target ends
        self._reported_waiting = 0.0  #: calls in the queue of the target itself
        self._reported_at = -math.inf  #: time of that report

    @property
    def level(self) -> float:
        """The admitted level at its last update, without updating it."""
        return self._level.level

    @property
    def has_rate_limit(self) -> bool:
        """Whether the target sets a rate limit."""
        return self._rate.is_set

    def set_slots(self, slots: int) -> None:
        """Set the number of slots that the target announces."""
        self.slots = slots
        self.limit = _limit(slots)

    def set_warmup(self, now: float, seconds: float) -> None:
        """Set the seconds of warm-up that the target announces; 0 if it is warm."""
        self._warm_at = now + seconds

    def set_reported_load(self, now: float, waiting: float, slowdown: float | None) -> None:
        """Record the calls that wait in the target itself, and its own measure of its speed.

        ``slowdown`` is the time that work takes relative to the usual, None if not reported.
        """
        self._reported_waiting = min(waiting, self.slots * MAX_REPORTED_QUEUE_RATIO)
        self._reported_at = now
        if slowdown is not None:
            self._recent.set_reported_slowdown(slowdown)

    def set_rate_limit(self, now: float, rate: float | None) -> None:
        """Set the rate in calls a second that the target accepts; None for no limit."""
        self._rate.set_rate(now, rate)
        # With the previous rate, the next token may have been far off.
        self._full_until = min(self._full_until, now)
        self._update_full_until(now)

    def rate_utilisation(self, now: float) -> float:
        """Return the share of the rate limit that is used, 0 without one."""
        return self._rate.utilisation(now)

    @property
    def slowdown(self) -> float:
        """How much longer than usual the recent calls took; 1 is as usual."""
        return self._recent.ratio

    def warmup_seconds(self, now: float) -> float:
        """Return the rest of the target's warm-up, 0 if it is warm."""
        return min(max(self._warm_at - now, 0.0), MAX_REPORTED_SECONDS)

    def reset_after_restart(self, now: float) -> None:
        """Forget what was learned from the target's previous incarnation.

        Calls that wait keep their place. Calls that run keep their slot until they end.
        """
        self._level = AdmittedLevel(ADMITTED_UTILISATION)
        self._service_times.clear()
        self._mean_service_time = 0.0
        self._recent.clear()
        self._reported_at = -math.inf
        self._warm_at = now
        self.set_rate_limit(now, None)

    def snapshot_service_times(self) -> list[RuleTime]:
        """Return the mean service time of all calls, under an empty rule, and of each rule."""
        if not self._mean_service_time:
            return []
        times = {'': self._mean_service_time, **self._service_times}
        return [RuleTime(rule, seconds) for rule, seconds in times.items() if seconds > 0]

    def restore_service_times(self, times: list[RuleTime]) -> int:
        """Take over service times of a target that has finished no call; return their number."""
        if self._mean_service_time:
            return 0
        self._service_times = {time.rule: time.seconds for time in times}
        self._mean_service_time = self._service_times.pop('', 0.0)
        return len(times)

    def admit(self, now: float, ticket: Ticket) -> AdmissionDecision:
        """Decide whether a new call runs, waits or is refused."""
        self._record_demand(now, ticket)
        if not self.queue and self._can_start(now):
            self._start(now)
            return Run()
        if not self._is_in_time(now, ticket, self.queue.ahead_of(ticket)):
            return self._refuse(now, ticket)
        self.queue.add(ticket)
        late = self._find_late_behind(now, ticket)
        if late is not None:
            # It would be refused later anyway; refused now, its caller has time to retry.
            self.queue.discard(late)
        return Wait(evicted=late)

    def finish(self, now: float, ticket: Ticket, sample: Sample) -> None:
        """Record the end of a running call."""
        if not self._has_slot():
            self._full_until = max(self._full_until, now)
        self.inflight -= 1
        self._recent.record(now, ticket.rule, sample.own_time, completed=sample.completed)
        if not sample.completed:
            return
        self._mean_service_time = _averaged(self._mean_service_time, sample.own_time)
        self._service_times[ticket.rule] = _averaged(
            self._service_times.get(ticket.rule, 0.0), sample.own_time
        )

    def pause(self, now: float, ticket: Ticket) -> None:
        """Do nothing: a call holds its slot while the target waits for another service."""

    def resume(self, now: float, ticket: Ticket) -> None:
        """Do nothing: the call has kept its slot."""

    def cancel(self, ticket: Ticket) -> None:
        """Remove a waiting call from the queue."""
        self.queue.discard(ticket)

    def dequeue(self, now: float) -> Dequeued:
        """Return the waiting calls that start now and those that can no longer end in time."""
        started: list[Ticket] = []
        expired: list[Ticket] = []
        while self.queue and self._can_start(now):
            ticket = self.queue.pop_first()
            if now + self._service_time(ticket.rule) > ticket.deadline:
                expired.append(ticket)
                continue
            self._start(now)
            started.append(ticket)
        return Dequeued(started, expired)

    def seconds_to_next_start(self, now: float) -> float | None:
        """Return the seconds until a waiting call may start without another ending, or None."""
        if not self.queue or not self._has_slot():
            return None
        return max(self._rate.wait_seconds(now, 1), MIN_START_DELAY_SECONDS)

    def load(self, now: float) -> Load:
        """Update the admitted level and return the load to report."""
        self._level.update(now, self._capacity(), self._idle_seconds(now))
        return Load(self.inflight, len(self.queue), self.limit, self._level.level)

    def speed(self, now: float, rule: str) -> TargetSpeed | None:
        """Return the speed to report to the sender of a call of a rule."""
        return TargetSpeed(
            self._recent.expected(rule), self._queue_seconds(now), self.warmup_seconds(now)
        )

    def _queue_seconds(self, now: float) -> float:
        """Return the expected seconds until a call starts that would arrive now."""
        queued = self.queue.total()
        rate_wait = self._rate.wait_seconds(now, queued.calls + 1)
        is_recent = now - self._reported_at < REPORTED_LOAD_SECONDS
        in_target = self._reported_waiting if is_recent else 0.0
        if not queued.calls and not in_target and self._has_slot():
            return rate_wait
        work_seconds = queued.work_seconds + (in_target + 1) * self._mean_service_time
        work_seconds *= self._recent.ratio
        return max(work_seconds / self.limit, rate_wait)

    def _record_demand(self, now: float, ticket: Ticket) -> None:
        """Count the demand of a call: its service time over the mean, or 1 under a rate limit."""
        counts_as_one = not self._mean_service_time or self._is_rate_bound()
        amount = 1.0 if counts_as_one else self._service_time(ticket.rule) / self._mean_service_time
        self._level.record_arrival(ticket.level, amount)
        self._level.update(now, self._capacity(), self._idle_seconds(now))

    def _capacity(self) -> float:
        """Return how many average calls a second the target can take; 0 if unknown."""
        if self._is_rate_bound():
            return self._rate.rate
        return self.limit / self._mean_service_time if self._mean_service_time else 0.0

    def _is_rate_bound(self) -> bool:
        """Return whether the rate limit allows fewer calls than the slots do."""
        return self._rate.rate * self._mean_service_time < self.limit and self._rate.is_set

    def _idle_seconds(self, now: float) -> float:
        """Return for how many seconds a call could have started at once."""
        return now - self._full_until if self._can_start(now) else 0.0

    def _can_start(self, now: float) -> bool:
        return self._has_slot() and self._rate.can_take(now)

    def _has_slot(self) -> bool:
        return self.inflight < self.limit

    def _start(self, now: float) -> None:
        self.inflight += 1
        self._rate.take(now)
        self._update_full_until(now)

    def _update_full_until(self, now: float) -> None:
        wait = self._rate.wait_seconds(now, 1)
        if wait > 0:
            self._full_until = now + wait

    def _service_time(self, rule: str) -> float:
        return self._service_times.get(rule, self._mean_service_time)

    def _wait_seconds(self, now: float, ticket: Ticket, ahead: QueuedWork) -> float:
        """Return the expected seconds until a call starts.

        For a request at the entry, more important calls that arrive later count as well: it gets
        only the slots that they leave. If it is refused at once, its caller has time to retry. A
        call that was made for a running request is not refused for calls that have yet to arrive.
        """
        share = (
            1.0
            if ticket.hop
            else max(self._level.capacity_share_for(ticket.level), MIN_CAPACITY_SHARE)
        )
        slot_wait = (ahead.work_seconds + self._mean_service_time) / self.limit
        return max(slot_wait, self._rate.wait_seconds(now, ahead.calls + 1)) / share

    def _is_in_time(self, now: float, ticket: Ticket, ahead: QueuedWork) -> bool:
        """Return whether a call would be answered before its deadline and its useful time end."""
        answered_at = now + self._wait_seconds(now, ticket, ahead) + self._service_time(ticket.rule)
        return answered_at <= min(ticket.deadline, ticket.useful_until)

    def _find_late_behind(self, now: float, added: Ticket) -> Ticket | None:
        """Return the last call behind a new one that will not be answered in time, if any."""
        max_checks = MAX_TAIL_CHECKS
        if now - self._scanned_at >= FULL_SCAN_INTERVAL_SECONDS:
            self._scanned_at = now
            max_checks = len(self.queue)
        calls, work_seconds = self.queue.total()
        for ticket in islice(reversed(self.queue), max_checks):
            if ticket is added:
                return None
            calls -= 1
            work_seconds -= self._service_time(ticket.rule)
            if not self._is_in_time(now, ticket, QueuedWork(calls, work_seconds)):
                return ticket
        return None

    def _refuse(self, now: float, ticket: Ticket) -> Refuse:
        self._refusals += 1
        queue_wait = self._wait_seconds(now, ticket, self.queue.total())
        seconds = min(max(2 * queue_wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
        detail = f'the target takes {self._rate.rate:g} a second' if self._is_rate_bound() else ''
        retry_after = apply_jitter(seconds, self._refusals)
        return Refuse(Failure(ErrorKind.OVERLOADED, detail, retry_after))


def _limit(slots: int) -> int:
    """Return the highest number of calls that run at once."""
    return max(int(slots * USABLE_SLOT_SHARE), 1)


def _averaged(mean: float, value: float) -> float:
    return mean + (value - mean) * SERVICE_TIME_WEIGHT if mean else value
