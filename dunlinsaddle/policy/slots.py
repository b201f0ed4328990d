"""Admission at a target that announces its slots: who runs, who waits, who is refused at once."""

from itertools import islice

from sortedcontainers import SortedKeyList

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
        self.queue: SortedKeyList = SortedKeyList(key=_order)
        self._times: dict[str, float] = {}
        self._mean = 0.0  #: seconds for which a call holds a slot; 0 until one has ended
        self._level = AdmittedLevel(ADMITTED_USE)
        self._full_at = 0.0
        self._refusals = 0

    @property
    def limit(self) -> int:
        """The most calls that run at once."""
        return max(int(self.slots * USED_SHARE), 1)

    def announce(self, slots: int) -> None:
        """Take the slots that the target says it has."""
        self.slots = slots

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
        ahead = self.queue.bisect_left(ticket)
        if not self._in_time(now, ticket, self._work(ahead)):
            return self._refuse(ticket)
        self.queue.add(ticket)
        late = self._late_behind(now, ahead)
        if late is not None:
            # It would be refused later anyway: its caller can use the time.
            self.queue.remove(late)
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
            ticket: Ticket = self.queue.pop(0)
            if now + self._time(ticket) > ticket.deadline:
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
        amount = self._time(ticket) / self._mean if self._mean else 1.0
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

    def _time(self, ticket: Ticket) -> float:
        return self._times.get(ticket.rule, self._mean)

    def _work(self, count: int) -> float:
        """Give the seconds for which the first of the queue will hold a slot, added up."""
        return sum(self._time(ticket) for ticket in islice(self.queue, count))

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
        answered = now + self._wait(ticket, work) + self._time(ticket)
        return answered <= min(ticket.deadline, ticket.useful_until)

    def _late_behind(self, now: float, place: int) -> Ticket | None:
        """Give the last of those behind a place that will not be answered in time, if any."""
        if place == len(self.queue) - 1:
            return None
        work = self._work(len(self.queue))
        for index in range(len(self.queue) - 1, place, -1):
            ticket: Ticket = self.queue[index]
            work -= self._time(ticket)
            if not self._in_time(now, ticket, work):
                return ticket
        return None

    def _refuse(self, ticket: Ticket) -> Refuse:
        self._refusals += 1
        backlog = self._wait(ticket, self._work(len(self.queue)))
        seconds = min(max(2 * backlog, SHORTEST_COME_BACK), LONGEST_COME_BACK)
        failure = Failure(ErrorKind.OVERLOADED, retry_after=spread(seconds, self._refusals))
        return Refuse(failure)


def _order(ticket: Ticket) -> tuple[int, float, int]:
    """Order by level, then by arrival.

    All calls of one request share its level. Failure: a deep service has lost two of three
    targets and can serve half of its calls; in order of arrival each request loses one of its
    four calls or another, and nearly all of them fail. So the same requests are refused at
    every hop, and the others are served whole.
    """
    return ticket.level, ticket.arrived, ticket.call_id


def _averaged(mean: float, value: float) -> float:
    return mean + (value - mean) * TIME_GAIN if mean else value
