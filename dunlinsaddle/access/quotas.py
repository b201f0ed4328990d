"""Enforces organisations' quotas over all nodes: each quota is lent by one node at a time.

The other nodes of an organisation's lenders are its substitutes, in the order of the hash ring.
"""

import asyncio
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from dunlinsaddle.access.lender_client import (
    LenderAnswer,
    LenderClient,
    QuotaPeers,
    build_answer,
    query_of,
)
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.messages import QuotaMessage, QuotaRequest, QuotaResponse, QuotaReturn
from dunlinsaddle.policy.quota import HashRing, QuotaLedger
from dunlinsaddle.policy.quota_knowledge import QuotaKnowledge, RequestKey
from dunlinsaddle.policy.quota_order import (
    MAX_RESERVATION_SECONDS,
    Granted,
    QuotaQuery,
    RetryLater,
)
from dunlinsaddle.records.models import Rank
from dunlinsaddle.routes.models import Organisation, Quota

#: Seconds without a response after which a lender counts as silent and the next one is asked.
LENDER_TIMEOUT_SECONDS = 0.16
#: Seconds that a substitute waits for the lender before it. This is longer than the wait of other
#: nodes: a lender that is too slow for them but not for the substitute continues to lend through
#: it, and the quota is not lent twice.
RELAY_TIMEOUT_SECONDS = 0.25
#: Seconds to wait for the answer of a substitute, which asks the lender before it first.
SUBSTITUTE_TIMEOUT_SECONDS = 0.4
#: Seconds of silence after which a substitute lends in place of a lender: twice the time of an
#: answer on a slow network. Two nodes that lend at the same time might lend twice the quota.
TAKEOVER_SILENCE_SECONDS = 0.6
STARTUP_SECONDS = 5.0  #: for which a node counts as just started
#: Seconds for which the membership view of a node that has just started must not change before
#: the node lends the whole quota.
STABLE_VIEW_SECONDS = 0.4
#: Share of the listed nodes and number of nodes that a node that has just started must know before
#: it lends a part of a quota.
MIN_REACHABLE_SHARE, MIN_KNOWN_NODES = 0.5, 4
#: Time limit for asking lenders for one request: a refusal must leave the caller time to retry.
MAX_ACQUIRE_SECONDS = 0.5
RETRY_INTERVAL_SECONDS = 0.15  #: between two rounds of requests to the lenders
REFRESH_DELAY_SECONDS = 0.05  #: after a membership change: usually several come at once
MAX_REMEMBERED_ANSWERS = 4096  #: kept to answer requests that are sent again
NO_LENDER_RETRY_AFTER_SECONDS = 0.5  #: by then another node has taken over


class QuotaLease(NamedTuple):
    """One request's part of a quota; ``lender`` is empty for an unlimited organisation."""

    organisation: str
    lender: str


class QuotaDemand(NamedTuple):
    """The properties of a request on which the ingress and the lender base their decision."""

    rank: Rank = Rank.NORMAL
    rule: str = ''
    fingerprint: int = 0  #: the same for all attempts of a request
    useful_seconds: float = math.inf  #: the longest wait after which the request is still useful


UNLIMITED = QuotaLease('', '')
DEFAULT_DEMAND = QuotaDemand()


class QuotaCoordinator(LoopBound):
    """Acquires quota from an organisation's lender, and lends quota to other nodes.

    One node lends the quota of an organisation, so the limit holds for the sum over all nodes
    without a consensus protocol. If the lender does not answer, the next node on the ring
    substitutes for it, after its own requests to the lender have gone unanswered.
    """

    def __init__(
        self,
        instance: str,
        peers: QuotaPeers,
        ledger: QuotaLedger,
        find_organisation: Callable[[str], Organisation | None],
    ) -> None:
        self.instance = instance
        self.peers = peers
        self.ledger = ledger
        self.find_organisation = find_organisation
        self.ring = HashRing()
        self.lender_client = LenderClient(peers)
        self.knowledge = QuotaKnowledge()
        self.granted_count = [0] * len(Rank)  #: requests of this ingress, by rank
        self.refused_count = [0] * len(Rank)
        self._answers: OrderedDict[tuple[str, int], QuotaResponse | None] = OrderedDict()
        self._refresh_timer: asyncio.TimerHandle | None = None
        self._started_at = math.inf
        self._members_changed_at = 0.0

    def on_members_change(self) -> None:
        """Schedule an update of the ring; changes that follow soon share it."""
        if self._refresh_timer is None:
            self._refresh_timer = self.loop.call_later(REFRESH_DELAY_SECONDS, self._update_ring)

    def _update_ring(self) -> None:
        self._refresh_timer = None
        now = self.now()
        self._started_at = min(self._started_at, now)
        names, self.ledger.reachable_share = self.peers.live_nodes()
        if not self.ring.update(names):
            return
        self._members_changed_at = now
        lent_organisations = self.ledger.organisations()
        self.ledger.reset(now, [org for org in lent_organisations if self._is_first_lender(org)])

    async def acquire(
        self, organisation: Organisation | None, demand: QuotaDemand = DEFAULT_DEMAND
    ) -> Result[QuotaLease, Failure]:
        """Acquire quota for one request; an error says when to retry."""
        if organisation is None or organisation.quota is None:
            return Ok(UNLIMITED)
        key = RequestKey(organisation.name, demand.rule, demand.fingerprint)
        useful_seconds = min(demand.useful_seconds, MAX_RESERVATION_SECONDS)
        match self.knowledge.decide(
            self.now(), key, organisation.quota, demand.rank, useful_seconds
        ):
            case RetryLater(seconds):
                detail = f'known from {self.knowledge.latest_lender(organisation.name)}'
                return self._refuse(demand.rank, detail, seconds)
            case QuotaQuery() as query:
                return await self._query_until_decided(key, organisation.quota, query)

    async def _query_until_decided(
        self, key: RequestKey, quota: Quota, query: QuotaQuery
    ) -> Result[QuotaLease, Failure]:
        name = key.organisation
        until = self.now() + MAX_ACQUIRE_SECONDS
        while self.now() < until:
            lender, answer = await self._ask_lenders(name, query, until)
            if answer is None:
                # After a restart of all nodes, no node lends until it knows the others.
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
                continue
            self.knowledge.record(self.now(), key, quota, lender, *answer)
            match answer.decision:
                case Granted():
                    self.granted_count[query.rank] += 1
                    return Ok(QuotaLease(name, lender))
                case RetryLater(seconds):
                    return self._refuse(query.rank, f'told by {lender}', seconds)
        return Err(
            Failure(ErrorKind.QUOTA_UNKNOWN, 'no lender answers', NO_LENDER_RETRY_AFTER_SECONDS)
        )

    def _refuse(self, rank: Rank, detail: str, seconds: float) -> Err[Failure]:
        self.refused_count[rank] += 1
        return Err(Failure(ErrorKind.OVER_QUOTA, detail, seconds))

    async def _ask_lenders(
        self, name: str, query: QuotaQuery, until: float
    ) -> tuple[str, LenderAnswer | None]:
        """Ask the lenders of an organisation in order; return the one that decides, if any."""
        for index, lender in enumerate(self.ring.lenders(name)):
            if lender == self.instance:
                answer = await self._decide(name, query)
            elif self._is_silent(lender):
                continue
            else:
                timeout = SUBSTITUTE_TIMEOUT_SECONDS if index else LENDER_TIMEOUT_SECONDS
                timeout = min(timeout, max(until - self.now(), 0.0))
                answer = await self.lender_client.ask(lender, name, timeout, query)
            if answer is not None:
                return lender, answer
        return '', None

    def refund(self, lease: QuotaLease) -> None:
        """Return the quota of a request that did not run."""
        if lease.lender == self.instance:
            self.ledger.refund(lease.organisation)
        elif lease.lender:
            self.peers.send(
                lease.lender,
                QuotaReturn(**self.peers.message_header(), organisation=lease.organisation),
            )

    def handle_message(self, message: QuotaMessage) -> None:
        """Handle a quota message from another node."""
        self.lender_client.mark_alive(message.sender)
        match message:
            case QuotaResponse():
                self.lender_client.handle_answer(message)
            case QuotaReturn(organisation=organisation):
                self.ledger.refund(organisation)
            case QuotaRequest():
                self._handle_request(message)

    def _handle_request(self, request: QuotaRequest) -> None:
        key = (request.sender, request.correlation_id)
        if key in self._answers:
            # The sender resent the request as the answer was late: do not lend twice for it.
            answer = self._answers[key]
            if answer is not None:
                self.peers.send(request.sender, answer)
            return
        self._answers[key] = None
        if len(self._answers) > MAX_REMEMBERED_ANSWERS:
            self._answers.popitem(last=False)
        if request.relayed or self._is_first_lender(request.organisation):
            self._send_answer(request, self._lend(request.organisation, query_of(request)))
        else:
            self.lender_client.spawn(self._decide_and_answer(request))

    async def _decide_and_answer(self, request: QuotaRequest) -> None:
        answer = await self._decide(request.organisation, query_of(request))
        self._send_answer(request, answer)

    def _send_answer(self, request: QuotaRequest, answer: LenderAnswer | None) -> None:
        response = build_answer(request, answer, self.peers.message_header())
        self._answers[request.sender, request.correlation_id] = response
        self.peers.send(request.sender, response)

    async def _decide(self, organisation: str, query: QuotaQuery) -> LenderAnswer | None:
        """Decide as the first lender or as a substitute for silent lenders.

        Returns None if this node is neither.
        """
        for lender in self.ring.lenders(organisation):
            if lender == self.instance:
                break
            if self.lender_client.silent_seconds(lender) < TAKEOVER_SILENCE_SECONDS:
                answer = await self.lender_client.ask(
                    lender, organisation, RELAY_TIMEOUT_SECONDS, query, relayed=True
                )
                if answer is not None:
                    return answer
            if self.lender_client.silent_seconds(lender) < TAKEOVER_SILENCE_SECONDS:
                return None
            self.lender_client.probe(lender)
        return self._lend(organisation, query)

    def _lend(self, organisation: str, query: QuotaQuery) -> LenderAnswer | None:
        """Decide from this node's own bucket; return None if it may not lend this quota."""
        lenders = self.ring.lenders(organisation)
        configured = self.find_organisation(organisation)
        is_starting = self._is_starting()
        if (
            configured is None
            or self.instance not in lenders
            or (is_starting and self._knows_too_few_nodes())
        ):
            return None
        if configured.quota is None:
            return LenderAnswer(Granted())
        # A node that has just started lends only a part, as a substitute does: other nodes that
        # have just started may consider themselves the first lender, too.
        is_first = lenders[0] == self.instance and not is_starting
        decision = self.ledger.take(
            self.now(), organisation, configured.quota, is_first_lender=is_first, query=query
        )
        return LenderAnswer(decision, self.ledger.closure(self.now(), organisation))

    def _is_first_lender(self, organisation: str) -> bool:
        return self.ring.lenders(organisation)[:1] == [self.instance]

    def _is_silent(self, lender: str) -> bool:
        """Return whether a lender recently failed to answer, so that it is not waited for again."""
        asked_recently = self.lender_client.was_asked_recently(lender)
        return (
            asked_recently and self.lender_client.silent_seconds(lender) >= LENDER_TIMEOUT_SECONDS
        )

    def _is_starting(self) -> bool:
        """Return whether this node has just started and its membership view still changes.

        Such a node may consider itself a lender only because it does not know the others yet.
        """
        now = self.now()
        return (
            now - self._started_at < STARTUP_SECONDS
            and now - self._members_changed_at < STABLE_VIEW_SECONDS
        )

    def _knows_too_few_nodes(self) -> bool:
        """Return whether this node knows so few others that many such nodes might lend at once.

        Failure: all nodes restart at the same time, and each believes for a moment that it is
        alone.
        """
        return (
            self.ledger.reachable_share < MIN_REACHABLE_SHARE
            or len(self.ring.nodes) < MIN_KNOWN_NODES
        )
