"""Admission at a target that announces its slots: who runs, who waits, who is refused at once."""

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
from dunlinsaddle.policy.context import SLOTS_PER_RANK
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
        self._mean = 0.0
        self._refusals = 0
        self._inner_seen = False

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
        self._inner_seen = self._inner_seen or bool(ticket.hop)
        if not self.queue and self._free(ticket):
            self._start()
            return Run()
        ahead = self.queue.bisect_left(ticket)
        if not self._in_time(now, ticket, ahead):
            return self._refuse(now, ticket)
        self.queue.add(ticket)
        late = self._late_behind(now, ahead)
        if late is not None:
            # It would be refused later anyway: its caller can use the time.
            self.queue.discard(late)
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
        while self.queue and self._free(self.queue[0]):
            ticket = self.queue.pop(0)
            if now + self._time(ticket) > ticket.deadline:
                dropped.append(ticket)
                continue
            self._start()
            started.append(ticket)
        return Released(started, dropped)

    def load(self, now: float) -> Load:
        """Give the load to report."""
        return Load(self.inflight, len(self.queue), self.limit)

    def _start(self) -> None:
        self.inflight += 1

    def _free(self, ticket: Ticket) -> bool:
        room = self.limit
        if self._inner_seen and not ticket.hop:
            room = max(int(room * (1 - KEPT_FREE)), 1)
        return self.inflight < room

    def _time(self, ticket: Ticket) -> float:
        return self._times.get(ticket.rule, self._mean)

    def _in_time(self, now: float, ticket: Ticket, ahead: int) -> bool:
        """Say whether a call would be answered while its answer is still worth something."""
        wait = (ahead + 1) * self._mean / self.limit
        return now + wait + self._time(ticket) <= min(ticket.deadline, ticket.useful_until)

    def _refuse(self, now: float, ticket: Ticket) -> Refuse:
        self._refusals += 1
        backlog = len(self.queue) * self._mean / self.limit
        seconds = min(max(2 * backlog, SHORTEST_COME_BACK), LONGEST_COME_BACK)
        failure = Failure(ErrorKind.OVERLOADED, retry_after=spread(seconds, self._refusals))
        return Refuse(failure)


def _order(ticket: Ticket) -> tuple[int, int, float, int]:
    """Order work in progress first, then by rank, then by arrival.

    A call on behalf of a running request that is not served wastes all that was done for
    that request, whatever its rank.
    """
    inner = 0 if ticket.hop else 1
    return inner, ticket.level // SLOTS_PER_RANK, ticket.arrived, ticket.call_id


def _averaged(mean: float, value: float) -> float:
    return mean + (value - mean) * TIME_GAIN if mean else value
