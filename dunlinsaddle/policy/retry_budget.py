"""Budget of a node for retries to each service, its part of a budget that all nodes share."""

from collections import Counter
from enum import StrEnum
from math import ceil, inf
from random import Random
from typing import NamedTuple

from dunlinsaddle.policy.budget_account import VALID_SHARE, Account
from dunlinsaddle.policy.budget_loans import BudgetLoans, LoanRequest
from dunlinsaddle.policy.context import LOWEST_LEVEL, SLOTS_PER_RANK
from dunlinsaddle.policy.fleet_usage import FleetSize, NodeCounts, Room
from dunlinsaddle.policy.sliding_minimum import SlidingMinimum

LOAN_SHARE = 0.1  #: time for which a loan may be used, as a share of the window
#: Share of the ratio that a request earns. In a window, nodes send what the requests of that window
#: and of the time of validity before it have earned, which is within the bound for any number of
#: nodes and however the load moves between them, as long as the fleet's load is steady.
EARNED_SHARE = 1 / (1 + VALID_SHARE + LOAN_SHARE)
#: Share of what requests earn later that they earn in the first window of a process. The process
#: before it, which it knows nothing of, may have sent repeats in the same window.
START_SHARE = 0.2
#: Share of the extra repeats that is divided among the nodes. The rest covers nodes that this one
#: does not know yet.
EXTRA_SHARE = 0.8
ONE_REPEAT = 1 - 1e-9  #: what has to be left for a repeat; sums of parts have rounding errors
#: Share of the budget that is reserved from the lowest priority level, and in proportion from the
#: other levels. A scarce budget goes to the most important requests, the same at all nodes.
RESERVED_SHARE = 0.5


class Allowance(NamedTuple):
    """What a node contributes to the budget of a service in one window."""

    ratio: float  #: repeats for each call
    extra: float  #: repeats in addition


class RepeatKind(StrEnum):
    """What became of a repeat, or whose it is."""

    OWN = 'own'  #: sent on this node's own part
    BORROWED = 'borrowed'  #: sent on a loan
    INHERITED = 'inherited'  #: a call made by a run that is itself a repeat
    REFUSED = 'refused'  #: not sent
    LENT = 'lent'  #: left to another node, which may send it


class BudgetReport(NamedTuple):
    """What a node knows of the budget of one service; counts are of the present window."""

    service: str
    requests: tuple[int, int, int]  #: of the present window, half a window ago and a window ago
    repeats: int  #: sent or lent
    allowed: float  #: while the fleet has room
    left: float  #: repeats that may be sent now
    borrowed: int  #: part of these that are loans
    node_count: int
    totals: dict[str, int]  #: since the start of the process, by kind of repeat


class RetryBudget:
    """Decides on the repeats of one node, for each service.

    Each request earns a part of a repeat, at the node that sends it and at no other, and each
    repeat uses up what requests have earned. So the sum over all nodes stays within the ratio
    without coordination, also if load moves to other nodes, and if nodes restart and forget all of
    it. What was earned expires soon, so a service that suddenly fails gets fewer repeats than the
    bound allows. While other nodes tell that the fleet has used little of it (``FleetUsage``), a
    node also sends what the requests of a whole window allow. Without their word it must not: nodes
    that had the load and nodes that have it now would both send repeats for it.

    Each node may also send an equal part of the extra repeats in each window, once it has run for
    one. A node that has used up all borrows from others (``BudgetLoans``). Calls made by a repeated
    run are repeats at the service below and use the same budget.

    Calls of repeated runs have precedence, and the repeats that more important ranks currently ask
    for are reserved for the rest of the window. Otherwise, when all targets of a deep service
    refuse half of all calls, lookups and orders spend the budget of ten seconds within two. After
    that nearly all orders fail, as an order needs eight responses.
    """

    def __init__(
        self, ratio: float, extra: float, window: float, rng: Random | None = None
    ) -> None:
        self.window = window
        self.valid_seconds = window * VALID_SHARE
        self.loans = BudgetLoans(window * LOAN_SHARE, rng or Random())
        self.set_limits(ratio, extra)
        self._node_count = 1
        self._smallest_part = SlidingMinimum(window)  #: of a node, of the extra repeats
        self.peer_count = 0  #: other nodes of the same service as this one
        self._started_at = -inf
        self.repeat_totals: Counter[tuple[str, RepeatKind]] = Counter()  #: since the start
        self._services: dict[str, Account] = {}

    def start(self, now: float) -> None:
        """Record a restart of the node, which does not know what it sent or lent before."""
        self._started_at = now

    def set_limits(self, ratio: float, extra: float) -> None:
        """Change the bounds; counts are kept."""
        self.full_ratio, self.full_extra = ratio, extra
        self.ratio = ratio * EARNED_SHARE
        self.extra = extra * EXTRA_SHARE

    def set_node_count(self, now: float, count: int) -> None:
        """Set the number of nodes that share the budget; too high a number is safe.

        A number that falls is used a window later: the nodes that are gone have used their part of
        the present window, and those on the other side of a partition may still use it.
        """
        self._smallest_part.update(now, 1 / self._node_count)
        self._node_count = max(count, 1)

    def node_count(self, now: float) -> int:
        """Return the largest number of nodes in the latest window."""
        return round(1 / self._smallest_part.update(now, 1 / self._node_count))

    def record_request(self, now: float, service: str) -> None:
        """Count the first send of a request."""
        earned = self.ratio * (START_SHARE if self._is_new(now) else 1.0)
        self._account_of(service).record_request(now, earned)

    def spend_inherited(self, now: float, service: str) -> bool:
        """Spend a repeat on a call of a repeated run; return False if none is left.

        The run was repeated at another node, within the budget of another service, which says
        nothing of this one: a repeat at the top of a chain makes several calls at its end.
        """
        self._account_of(service).inherited.add(now)
        kind = RepeatKind.INHERITED if self._take_one(now, service) else RepeatKind.REFUSED
        self.repeat_totals[service, kind] += 1
        return kind is RepeatKind.INHERITED

    def spend(
        self, now: float, service: str, level: int = 0, refusing_seconds: float = 0.0
    ) -> bool:
        """Spend one repeat; return False if the budget left for this level is used up.

        ``refusing_seconds`` is for how long the targets of the service have refused calls, 0 if
        they do not. While they do, requests begin only if their repeats fit in the budget, so the
        budget is reserved only for what more important ranks need in the rest of the window.
        """
        kind = self._spend(now, service, level, refusing_seconds)
        self.repeat_totals[service, kind] += 1
        return kind is not RepeatKind.REFUSED

    def _spend(self, now: float, service: str, level: int, refusing_seconds: float) -> RepeatKind:
        account = self._account_of(service)
        rank = level // SLOTS_PER_RANK
        account.demand[rank].add(now)
        room = self._room(now, account)
        is_open = room is not None and room.is_open
        reserved_seconds = self.window - refusing_seconds if is_open else self.valid_seconds
        available = self.allowed(now, service) if is_open else self._earnable(now, account)
        more_important = sum(demand.rate(now) for demand in account.demand[:rank])
        reserved = max(reserved_seconds, 0.0) * more_important
        reserved += self.valid_seconds * account.inherited.rate(now)
        if not refusing_seconds:
            reserved += available * RESERVED_SHARE * level / LOWEST_LEVEL
        if self._left(now, service) - reserved < ONE_REPEAT:
            return RepeatKind.REFUSED
        return self._take_one(now, service) or RepeatKind.REFUSED

    def _take_one(self, now: float, service: str) -> RepeatKind | None:
        """Use up one repeat of this node or one that is borrowed; return None if there is none."""
        if self._own_left(now, service) >= ONE_REPEAT:
            self._take(now, service, 1)
            return RepeatKind.OWN
        return RepeatKind.BORROWED if self.loans.use(now, service) else None

    def ask_for_loan(self, now: float, service: str) -> LoanRequest | None:
        """Return a request for repeats of another node, or None if enough are earned here.

        Its answer also tells what the other node has counted. So a node asks before it is short.
        """
        account = self._account_of(service)
        demand = account.total_demand(now)
        needed = max(demand * self.valid_seconds, 1.0)
        if account.earned.available(now) + self._extra_left(now, account) >= needed:
            return None
        is_known = self._room(now, account) is not None
        wanted = demand * self.loans.loan_seconds - self._left(now, service)
        return self.loans.ask(now, service, max(ceil(wanted), 1), is_urgent=not is_known)

    def lend(self, now: float, service: str, wanted: int) -> int:
        """Return how many repeats another node may send on behalf of this one.

        What this node is asked for itself is kept. A lender that keeps less soon asks others, and
        part of each loan expires unused.
        """
        needed = self._account_of(service).total_demand(now) * self.valid_seconds
        amount = min(wanted, int(self._own_left(now, service) - needed + 1 - ONE_REPEAT))
        if amount <= 0:
            return 0
        self._take(now, service, amount)
        self.repeat_totals[service, RepeatKind.LENT] += amount
        return amount

    def allowed(self, now: float, service: str) -> float:
        """Return the repeats that this node may send in a window while the fleet has room."""
        ratio, extra = self.node_allowance(now)
        return ratio * max(self._account_of(service).counts(now).requests) + extra

    def node_allowance(self, now: float) -> Allowance:
        """Return what this node contributes to the budget of a service in one window."""
        return Allowance(self.ratio, self.extra / self.node_count(now))

    def share_left(self, now: float, service: str) -> float:
        """Return the share of the allowed repeats that may still be sent.

        Until other nodes have told how much the fleet has used, it is taken to have room.
        """
        allowed = self.allowed(now, service)
        if allowed <= 0:
            return 0.0
        left = self._left(now, service)
        account = self._account_of(service)
        room = self._room(now, account)
        if room is None:
            left = max(left, allowed - account.counts(now).repeats)
        return min(left / allowed, 1.0 if room is None else room.share_left)

    def counts(self, now: float, service: str) -> NodeCounts:
        """Return what other nodes have to know of this one."""
        return self._account_of(service).counts(now)

    def record_counts(
        self, now: float, service: str, node: str, counts: NodeCounts, *, is_peer: bool
    ) -> None:
        """Record the counts of another node; peers have a target of the same service."""
        self._account_of(service).usage.record(now, node, counts, is_peer=is_peer)

    def remaining(self, now: float) -> dict[str, float]:
        """Return the number of repeats that may still be sent, by service."""
        return {name: self._left(now, name) for name in self._services}

    def report(self, now: float, service: str) -> BudgetReport:
        """Return what is known of a service's budget."""
        account = self._account_of(service)
        return BudgetReport(
            service,
            *account.counts(now),
            self.allowed(now, service),
            self._left(now, service),
            self.loans.borrowed(now, service),
            self.node_count(now),
            {kind.value: self.repeat_totals[service, kind] for kind in RepeatKind},
        )

    def _left(self, now: float, service: str) -> float:
        return self._own_left(now, service) + self.loans.borrowed(now, service)

    def _own_left(self, now: float, service: str) -> float:
        account = self._account_of(service)
        room = self._room(now, account)
        if room is not None and room.is_closed:
            return 0.0
        earned = max(account.earned.available(now), self._window_left(now, account))
        return earned + self._extra_left(now, account)

    def _window_left(self, now: float, account: Account) -> float:
        """Return what the requests of a window leave, 0 unless the fleet is known to have room."""
        room = self._room(now, account)
        if room is None or not room.is_open or self._is_new(now):
            return 0.0
        counts = account.counts(now)
        return max(self.ratio * room.established_requests(counts) - counts.repeats, 0.0)

    def _room(self, now: float, account: Account) -> Room | None:
        size = FleetSize(self.peer_count, max(self.node_count(now) - 1 - self.peer_count, 0))
        return account.usage.room(now, account.counts, self.full_ratio, self.full_extra, size)

    def _earnable(self, now: float, account: Account) -> float:
        """Return the repeats that this node may send at once if it has sent none."""
        ratio, extra = self.node_allowance(now)
        return ratio * account.recent_requests(now) + extra

    def _extra_left(self, now: float, account: Account) -> float:
        if self._is_new(now):
            return 0.0
        return max(self.node_allowance(now).extra - account.extra_used(now), 0.0)

    def _is_new(self, now: float) -> bool:
        """Return whether loans of the process before may have been used in the present window."""
        return now - self._started_at < self.window * (1 + LOAN_SHARE)

    def _take(self, now: float, service: str, amount: float) -> None:
        account = self._account_of(service)
        window_left = self._window_left(now, account)
        account.take(now, amount, window_left, self._extra_left(now, account))

    def _account_of(self, service: str) -> Account:
        account = self._services.get(service)
        if account is None:
            account = self._services[service] = Account(self.window)
        return account
