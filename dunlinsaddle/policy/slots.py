"""Admission at a target that announces its slots: who runs, who waits, who is refused at once."""

from math import exp

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
from dunlinsaddle.policy.retry_after import spread

#: Share of the announced slots that is used. Targets slow down when nearly full, some from 95 %
#: on, and a new connection may hold a slot for a moment.
USED_SHARE = 0.94
#: Slots taken before a target has said how many it has: a restarted node knows nothing for up
#: to one heartbeat, and an overrun would be rejected by the target.
FIRST_SLOTS = 8
#: Share of the limit that calls at the entry leave to calls on behalf of running work: these
#: are short and come in bursts, and one that fails wastes all that was done before.
KEPT_FREE = 0.1
TIME_GAIN = 0.05  #: weight of one call in the mean service time; some twenty calls count
#: Seconds over which the load of calls of running work is averaged: some thirty service times.
LOAD_SECONDS = 1.0
LEAST_LEFT = 0.1  #: share of the limit that calls at the entry are taken to have, at least
SHORTEST_COME_BACK = 0.4  #: seconds; less would return before the queue has moved
LONGEST_COME_BACK = 1.6  #: seconds; callers heed a third of a deadline of five seconds at most


class SlotAdmission:
    """As many calls as the target has slots for, and a queue no longer than it can serve in time.

    A target's own queue knows neither rank nor deadline, and some targets never answer what
    they cannot queue. So nothing is sent that has to wait there: the queue is here.
    """

    def __init__(self) -> None:
        self.slots = FIRST_SLOTS
        self.inflight = 0
        self.queue: SortedKeyList = SortedKeyList(key=_order)
        self._times: dict[str, float] = {}
        self._entry = _Kind()
        self._inner = _Kind()
        self._refusals = 0
        self._counted_at = 0.0

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
        self._entry.mean = self._inner.mean = 0.0

    def arrive(self, now: float, ticket: Ticket) -> Verdict:
        """Decide on a new call."""
        self._count(now)
        if not self.queue and self._free(ticket):
            self._start(ticket)
            return Run()
        ahead = self.queue.bisect_left(ticket)
        if not self._in_time(now, ticket, ahead):
            return self._refuse(ticket)
        self.queue.add(ticket)
        self._of(ticket).waiting += 1
        late = self._late_behind(now, ahead)
        if late is not None:
            # It would be refused later anyway: its caller can use the time.
            self._take_out(late)
        return Wait(evicted=late)

    def _late_behind(self, now: float, place: int) -> Ticket | None:
        """Give the last of those behind a place that will not be answered in time, if any."""
        for index in range(len(self.queue) - 1, place, -1):
            ticket: Ticket = self.queue[index]
            if not self._in_time(now, ticket, index):
                return ticket
        return None

    def finish(self, now: float, ticket: Ticket, sample: Sample) -> None:
        """Hear that a running call has ended."""
        self._count(now)
        kind = self._of(ticket)
        self.inflight -= 1
        kind.running -= 1
        if not sample.completed:
            return
        kind.mean = _averaged(kind.mean, sample.own_time)
        self._times[ticket.rule] = _averaged(self._times.get(ticket.rule, 0.0), sample.own_time)

    def leave(self, now: float, ticket: Ticket) -> None:
        """Do nothing: a call holds its slot while the target waits for another service."""

    def come_back(self, now: float, ticket: Ticket) -> None:
        """Do nothing, for the same reason."""

    def abandon(self, ticket: Ticket) -> None:
        """Take a waiting call out."""
        if ticket in self.queue:
            self._take_out(ticket)

    def release(self, now: float) -> Released:
        """Say which waiting calls start now and which can no longer be answered in time."""
        started: list[Ticket] = []
        dropped: list[Ticket] = []
        while self.queue and self._free(self.queue[0]):
            ticket: Ticket = self.queue[0]
            self._take_out(ticket)
            if now + self._time(ticket) > ticket.deadline:
                dropped.append(ticket)
                continue
            self._start(ticket)
            started.append(ticket)
        return Released(started, dropped)

    def load(self, now: float) -> Load:
        """Give the load to report."""
        return Load(self.inflight, len(self.queue), self.limit)

    def _of(self, ticket: Ticket) -> '_Kind':
        return self._inner if ticket.hop else self._entry

    def _start(self, ticket: Ticket) -> None:
        self.inflight += 1
        self._of(ticket).running += 1

    def _take_out(self, ticket: Ticket) -> None:
        self.queue.remove(ticket)
        self._of(ticket).waiting -= 1

    def _count(self, now: float) -> None:
        """Average over time how many slots calls of running work take."""
        elapsed, self._counted_at = now - self._counted_at, now
        weight = 1 - exp(-elapsed / LOAD_SECONDS)
        self._inner.load += weight * (self._inner.running - self._inner.load)

    def _free(self, ticket: Ticket) -> bool:
        room = self.limit
        if self._inner.mean and not ticket.hop:
            room = max(int(room * (1 - KEPT_FREE)), 1)
        return self.inflight < room

    def _time(self, ticket: Ticket) -> float:
        return self._times.get(ticket.rule, self._of(ticket).mean)

    def _wait(self, ticket: Ticket, ahead: int) -> float:
        """Give the seconds until a call starts with so many ahead of it.

        Calls of running work that come later go first, too: what is left of the slots for
        calls at the entry is what the former have not taken lately.
        """
        inner, entry, limit = self._inner, self._entry, self.limit
        # Of a kind that has not ended here yet, the other one's time is the best guess.
        inner_mean = inner.mean or entry.mean
        if ticket.hop:
            return (ahead + 1) * inner_mean / limit
        left = max(limit - inner.load, limit * LEAST_LEFT)
        before = inner.waiting * inner_mean / limit
        return before + (ahead - inner.waiting + 1) * (entry.mean or inner_mean) / left

    def _in_time(self, now: float, ticket: Ticket, ahead: int) -> bool:
        """Say whether a call would be answered while its answer is still worth something."""
        answered = now + self._wait(ticket, ahead) + self._time(ticket)
        return answered <= min(ticket.deadline, ticket.useful_until)

    def _refuse(self, ticket: Ticket) -> Refuse:
        self._refusals += 1
        backlog = self._wait(ticket, len(self.queue))
        seconds = min(max(2 * backlog, SHORTEST_COME_BACK), LONGEST_COME_BACK)
        failure = Failure(ErrorKind.OVERLOADED, retry_after=spread(seconds, self._refusals))
        return Refuse(failure)


class _Kind:
    """Calls at the entry, or calls of running work: how many, and their mean service time."""

    __slots__ = ('load', 'mean', 'running', 'waiting')

    def __init__(self) -> None:
        self.running = 0
        self.waiting = 0
        self.load = 0.0  #: running, averaged over the last second
        self.mean = 0.0  #: seconds


def _order(ticket: Ticket) -> tuple[int, int, float, int]:
    """Order work in progress first, then by level, then by arrival.

    A call on behalf of a running request that is not served wastes all that was done for
    that request, whatever its rank.

    Within a rank the level decides, which all calls of one request share. Failure: a deep
    service has lost two of three targets and can serve half of its calls; in order of arrival
    each request loses one of its four calls or another, and nearly all of them fail. So the
    same requests are refused at every hop, and the others are served whole.
    """
    inner = 0 if ticket.hop else 1
    return inner, ticket.level, ticket.arrived, ticket.call_id


def _averaged(mean: float, value: float) -> float:
    return mean + (value - mean) * TIME_GAIN if mean else value
