"""The calls that wait at a target, the most valued first, with the work ahead of each."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from sortedcontainers import SortedKeyList

from dunlinsaddle.policy.admission import Ticket
from dunlinsaddle.policy.context import LOWEST_LEVEL


class QueuedWork(NamedTuple):
    """What goes before a call."""

    calls: int
    work_seconds: float  #: seconds for which they will hold a slot, added up


class WaitQueue:
    """Calls in the order of their levels, then of their arrival.

    All calls of one request share its level. Failure: a deep service has lost two of three
    targets and can serve half of its calls; in order of arrival each request loses one of its
    four calls or another, and nearly all of them fail. So the same requests are refused at
    every hop, and the others are served whole.

    The work ahead of a call is worked out from how many calls of each rule wait at each level.
    Added up call by call it took seven tenths of a node's processor time in a surge, with 11,700
    arrivals and a queue of some 50 in four seconds.
    """

    def __init__(self, seconds_of: Callable[[str], float]) -> None:
        self._seconds_of = seconds_of  #: for which a call of a rule holds a slot
        self._calls: SortedKeyList = SortedKeyList(key=_order)
        self._counts: dict[str, list[int]] = {}
        self._totals: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def __reversed__(self) -> Iterator[Ticket]:
        yield from reversed(self._calls)

    def add(self, ticket: Ticket) -> None:
        """Let a call wait behind those of its level."""
        self._calls.add(ticket)
        self._count(ticket, 1)

    def discard(self, ticket: Ticket) -> None:
        """Take a call out if it waits."""
        size = len(self._calls)
        self._calls.discard(ticket)
        if len(self._calls) < size:
            self._count(ticket, -1)

    def pop_first(self) -> Ticket:
        """Take out the call that goes first."""
        ticket: Ticket = self._calls.pop(0)
        self._count(ticket, -1)
        return ticket

    def total(self) -> QueuedWork:
        """Give all that wait, as they go before what comes last."""
        return self._ahead(self._totals)

    def ahead_of(self, ticket: Ticket) -> QueuedWork:
        """Give those that a new call would wait behind."""
        return self._ahead(
            {rule: sum(counts[: ticket.level + 1]) for rule, counts in self._counts.items()}
        )

    def _ahead(self, counts: dict[str, int]) -> QueuedWork:
        work = sum(self._seconds_of(rule) * count for rule, count in counts.items())
        return QueuedWork(sum(counts.values()), work)

    def _count(self, ticket: Ticket, change: int) -> None:
        rule = ticket.rule
        total = self._totals.get(rule, 0) + change
        if not total:
            # Routes come and go with the configuration: what nobody waits for is not kept.
            del self._totals[rule], self._counts[rule]
            return
        self._totals[rule] = total
        if rule not in self._counts:
            self._counts[rule] = [0] * (LOWEST_LEVEL + 1)
        self._counts[rule][ticket.level] += change


def _order(ticket: Ticket) -> tuple[int, float, int]:
    return ticket.level, ticket.arrived_at, ticket.call_id
