"""Exchange of loans of the retry budget with other nodes, as gossip datagrams."""

from collections.abc import Callable
from random import Random

from dunlinsaddle.access.peers import GossipPeers
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.messages import (
    MAX_LOAN,
    LoanCounts,
    LoanGrant,
    LoanMessage,
    LoanQuery,
)
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.policy.fleet_usage import NodeCounts
from dunlinsaddle.policy.retry_budget import BudgetReport, RetryBudget

REPORT_DELAY_SECONDS = 1.0  #: between a repeat and the report that includes those until then
PEER_QUERY_SHARE = 0.5  #: of the queries, to nodes of the same service


class BudgetLending(LoopBound):
    """Asks other nodes for repeats when those of this node are used up, and lends its own.

    Half of the queries go to nodes of the same service. They make the same calls, so they have the
    largest part of the budget. The answers also tell what the lenders have counted.
    """

    def __init__(
        self, budget: RetryBudget, peers: GossipPeers, view: MemberView, instance: str, rng: Random
    ) -> None:
        self.budget = budget
        self.peers = peers
        self.view = view
        self.instance = instance
        self.rng = rng
        self.on_report: Callable[[BudgetReport], None] = lambda report: None
        self._services_to_report: set[str] = set()

    def handle_repeat(self, service: str) -> None:
        """Handle that a repeat was sent or refused: ask for more, and report shortly."""
        self.ask_if_short(service)
        if service not in self._services_to_report:
            self._services_to_report.add(service)
            self.loop.call_later(REPORT_DELAY_SECONDS, self._report, service)

    def _report(self, service: str) -> None:
        self._services_to_report.discard(service)
        self.on_report(self.budget.report(self.now(), service))

    def ask_if_short(self, service: str) -> None:
        """Ask one other node for repeats for a service if few are left here."""
        self.budget.peer_count = len(self._peers())
        request = self.budget.ask_for_loan(self.now(), service)
        lender = None if request is None else self._choose_lender()
        if request is None or lender is None:
            return
        query = LoanQuery(
            **self.peers.message_header(),
            correlation_id=request.number,
            service=service,
            wanted=min(request.wanted, MAX_LOAN),
            wants_counts=True,
        )
        self.peers.send(lender, query)

    def receive(self, message: LoanMessage) -> None:
        """Handle a message of another node."""
        match message:
            case LoanGrant():
                self._accept(message)
            case LoanQuery() if self.view.serving_members(message.service):
                self._answer(message)
            case LoanQuery():
                pass  # The budget keeps counts of each service that it is asked for.

    def _accept(self, grant: LoanGrant) -> None:
        now = self.now()
        service = self.budget.loans.accept(now, grant.correlation_id, grant.amount)
        counts = grant.counts
        if service is not None and counts is not None:
            told = NodeCounts(counts.requests, counts.repeats)
            is_peer = any(m.instance == grant.sender for m in self._peers())
            self.budget.record_counts(now, service, grant.sender, told, is_peer=is_peer)

    def _answer(self, query: LoanQuery) -> None:
        now = self.now()
        amount = self.budget.lend(now, query.service, query.wanted)
        if not amount and not query.wants_counts:
            return
        counts = LoanCounts(*self.budget.counts(now, query.service))
        grant = LoanGrant(
            **self.peers.message_header(),
            correlation_id=query.correlation_id,
            amount=amount,
            counts=counts if query.wants_counts else None,
        )
        self.peers.send(query.sender, grant)

    def _choose_lender(self) -> str | None:
        others = [
            m for m in self.view.members() if m.instance != self.instance and m.state is State.ALIVE
        ]
        if self.rng.random() < PEER_QUERY_SHARE:
            others = [m for m in self._peers() if m.state is State.ALIVE] or others
        return self.rng.choice(others).instance if others else None

    def _peers(self) -> list[Member]:
        """Return the other nodes with a target of the same service."""
        own = self.view.find(self.instance)
        service = own.service if own else ''
        return [
            m
            for m in self.view.members()
            if service and m.service == service and m.instance != self.instance
        ]
