"""Admission at a target that announces its slots: who runs, who waits, who is refused at once."""

from itertools import islice

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.admission import (
    Load,
    Refuse,
    Released,
    Run,
    Sample,
    Ticket,
    Verdict,
    Wait,
)
from dunlinsaddle.policy.level import AdmittedLevel
from dunlinsaddle.policy.retry_after import spread
from dunlinsaddle.policy.waiting import WaitingCalls

#: Share of the announced slots that is used. Targets slow down when nearly full, some from 95 %
#: on, and a new connection may hold a slot for a moment.
USED_SHARE = 0.95
#: Slots taken before a target has said how many it has: a restarted node knows nothing for up
#: to one heartbeat, and an overrun would be rejected by the target.
FIRST_SLOTS = 8
TIME_GAIN = 0.05  #: weight of one call in the mean service time; some twenty calls count
#: Share of the limit up to which demand is admitted. At 1.1 no more lookups are served in time,
#: and three times as many are begun in vain; at 0.92 fewer are served, 0.61 for 0.63 (simulated,
#: a surge of 1.15 and of 1.3 times the capacity).
ADMITTED_USE = 1.0
#: Calls at the end of the queue that are looked at when another goes before them. Waits grow along
#: the queue, so those that will be late are mostly the last.
LAST_CALLS = 8
#: Seconds between two looks at all that wait: an objective shorter than that of the calls behind
#: it is missed in the middle of the queue. A tenth of the shortest objective, 0.3 s.
LOOK_SECONDS = 0.03
LEAST_LEFT = 0.1  #: share of the slots that a call is taken to have, at least
SHORTEST_COME_BACK = 0.4  #: seconds; less would return before the queue has moved
LONGEST_COME_BACK = 1.6  #: seconds; callers heed a third of a deadline of five seconds at most


class SlotAdmission:
    """As many calls as the target has slots for, and a queue no longer than it can serve in time.

    A target's own queue knows neither rank nor deadline, and some targets never answer what
    they cannot queue. So nothing is sent that has to wait there: the queue is here.

    The level that fills the slots is reported with each answer, and entries refuse by it.
    Failure: a lookup passes three hops and fails there, as one of its four calls is refused.
    At 1.3 times the capacity 0.39 of all lookups were begun in vain, and 0.17 with the level
    told upstream (`tests/test_deep_load.py`).
    """

    def __init__(self) -> None:
        self.slots = FIRST_SLOTS
        self.inflight = 0
        self.limit = _limit(FIRST_SLOTS)
        self.queue = WaitingCalls(self._time)
        self._looked_at = 0.0
        self._times: dict[str, float] = {}
        self._mean = 0.0  #: seconds for which a call holds a slot; 0 until one has ended
        self._level = AdmittedLevel(ADMITTED_USE)
        self._full_at = 0.0
        self._refusals = 0

    @property
    def level(self) -> float:
        """The level that was admitted when it was decided last; costs nothing."""
        return self._level.level

    def announce(self, slots: int) -> None:
        """Take the slots that the target says it has."""
        self.slots = slots
        self.limit = _limit(slots)

    def restarted(self, now: float) -> None:
        """Forget the service times of the incarnation before."""
        self._times.clear()
        self._mean = 0.0

    def arrive(self, now: float, ticket: Ticket) -> Verdict:
        """Decide on a new call."""
        self._count(now, ticket)
        if not self.queue and self._free():
            self.inflight += 1
            return Run()
        if not self._in_time(now, ticket, self.queue.work_ahead(ticket)):
            return self._refuse(ticket)
        self.queue.add(ticket)
        late = self._late_behind(now, ticket)
        if late is not None:
            # It would be refused later anyway: its caller can use the time.
            self.queue.discard(late)
        return Wait(evicted=late)

    def finish(self, now: float, ticket: Ticket, sample: Sample) -> None:
        """Hear that a running call has ended."""
        if not self._free():
            self._full_at = now
        self.inflight -= 1
        if not sample.completed:
            return
        self._mean = _averaged(self._mean, sample.own_time)
        self._times[ticket.rule] = _averaged(self._times.get(ticket.rule, 0.0), sample.own_time)

    def leave(self, now: float, ticket: Ticket) -> None:
        """Do nothing: a call holds its slot while the target waits for another service."""

    def come_back(self, now: float, ticket: Ticket) -> None:
        """Do nothing, for the same reason."""

    def abandon(self, ticket: Ticket) -> None:
        """Take a waiting call out."""
        self.queue.discard(ticket)

    def release(self, now: float) -> Released:
        """Say which waiting calls start now and which can no longer be answered in time."""
        started: list[Ticket] = []
        dropped: list[Ticket] = []
        while self.queue and self._free():
            ticket = self.queue.pop_first()
            if now + self._time(ticket.rule) > ticket.deadline:
                dropped.append(ticket)
                continue
            self.inflight += 1
            started.append(ticket)
        return Released(started, dropped)

    def load(self, now: float) -> Load:
        """Give the load to report."""
        self._level.update(now, self._capacity(), self._idle(now))
        return Load(self.inflight, len(self.queue), self.limit, self._level.level)

    def _count(self, now: float, ticket: Ticket) -> None:
        """Count the demand of a call, by the time for which it will hold a slot."""
        amount = self._time(ticket.rule) / self._mean if self._mean else 1.0
        self._level.arrived(ticket.level, amount)
        self._level.update(now, self._capacity(), self._idle(now))

    def _capacity(self) -> float:
        """Give the usual calls a second that the slots in use can take; 0 if unknown."""
        return self.limit / self._mean if self._mean else 0.0

    def _idle(self, now: float) -> float:
        """Give for how many seconds there have been free slots."""
        return now - self._full_at if self._free() else 0.0

    def _free(self) -> bool:
        return self.inflight < self.limit

    def _time(self, rule: str) -> float:
        return self._times.get(rule, self._mean)

    def _wait(self, ticket: Ticket, work: float) -> float:
        """Give the seconds until a call starts with so many seconds of work ahead of it.

        At the entry, more valued calls that come later count, too: what waits there has what
        they leave of the slots, and told at once its caller can use the time. A call of running
        work is not given up for what may come.
        """
        left = 1.0 if ticket.hop else max(self._level.left_for(ticket.level), LEAST_LEFT)
        return (work + self._mean) / (self.limit * left)

    def _in_time(self, now: float, ticket: Ticket, work: float) -> bool:
        """Say whether a call would be answered while its answer is still worth something."""
        answered = now + self._wait(ticket, work) + self._time(ticket.rule)
        return answered <= min(ticket.deadline, ticket.useful_until)

    def _late_behind(self, now: float, arrived: Ticket) -> Ticket | None:
        """Give the last of those behind a new call that will not be answered in time, if any."""
        most = LAST_CALLS
        if now - self._looked_at >= LOOK_SECONDS:
            self._looked_at = now
            most = len(self.queue)
        work = self.queue.work()
        for ticket in islice(reversed(self.queue), most):
            if ticket is arrived:
                return None
            work -= self._time(ticket.rule)
            if not self._in_time(now, ticket, work):
                return ticket
        return None

    def _refuse(self, ticket: Ticket) -> Refuse:
        self._refusals += 1
        backlog = self._wait(ticket, self.queue.work())
        seconds = min(max(2 * backlog, SHORTEST_COME_BACK), LONGEST_COME_BACK)
        failure = Failure(ErrorKind.OVERLOADED, retry_after=spread(seconds, self._refusals))
        return Refuse(failure)


def _limit(slots: int) -> int:
    """Give the most calls that run at once."""
    return max(int(slots * USED_SHARE), 1)


def _averaged(mean: float, value: float) -> float:
    return mean + (value - mean) * TIME_GAIN if mean else value
