"""Takes what requests need of their organisation's quota, from the node that lends it."""

import asyncio
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from dunlinsaddle.access.lender_client import LenderClient, QuotaPeers, build_answer
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.membership.messages import QuotaMessage, QuotaRequest, QuotaResponse, QuotaReturn
from dunlinsaddle.policy.quota import Granted, HashRing, QuotaDecision, QuotaLedger, RetryLater
from dunlinsaddle.routes.models import Organisation

LENDER_TIMEOUT_SECONDS = 0.16  #: after which a lender counts as silent, and the next one is asked
#: Seconds that a stand-in waits for the lender before it. Longer than askers do: a lender that is
#: too slow for them but not for the stand-in goes on lending, through it, and nobody lends twice.
RELAY_TIMEOUT_SECONDS = 0.25
SUBSTITUTE_TIMEOUT_SECONDS = (
    0.4  #: for the answer of a stand-in, which first asks the lender before it
)
#: Seconds of silence after which a stand-in lends itself: twice what a slow network takes for an
#: answer. Two who lend at the same time might lend twice the quota.
TAKEOVER_SILENCE_SECONDS = 0.6
STARTUP_SECONDS = 5.0  #: for which a node that has started is young
#: Seconds for which the view of a young node has to stand still before it lends more than a part.
STABLE_VIEW_SECONDS = 0.4
#: Share of those listed, and number, that a young node has met before it lends a part.
MIN_REACHABLE_SHARE, MIN_KNOWN_NODES = 0.5, 4
MAX_ACQUIRE_SECONDS = (
    0.5  #: for all questions of one request: a refusal must leave time to come back
)
RETRY_INTERVAL_SECONDS = 0.15  #: between two rounds of questions to the lenders
REFRESH_DELAY_SECONDS = 0.05  #: after a change of members, as mostly several change at once
MAX_REMEMBERED_ANSWERS = 4096  #: answers that are held for questions that are sent once more
NO_LENDER_RETRY_AFTER_SECONDS = 0.5  #: seconds; by then another node has taken over


class QuotaLease(NamedTuple):
    """What was taken for one request; ``lender`` is empty where no quota binds."""

    organisation: str
    lender: str


UNLIMITED = QuotaLease('', '')


class QuotaCoordinator(OnLoop):
    """Asks the lender of an organisation for each request, and lends to those who ask this node.

    One node lends the quota of an organisation, so that the sum over all nodes holds with no
    agreement. Where it is silent the next in the ring's order stands in, after it has found it
    silent itself.
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
        self._answered: OrderedDict[tuple[str, int], QuotaResponse | None] = OrderedDict()
        self._refresh: asyncio.TimerHandle | None = None
        self._started_at = math.inf
        self._changed_at = 0.0

    def on_members_change(self) -> None:
        """Take who is there in a moment: many change at once."""
        if self._refresh is None:
            self._refresh = self.loop.call_later(REFRESH_DELAY_SECONDS, self._take_members)

    def _take_members(self) -> None:
        self._refresh = None
        now = self.now()
        self._started_at = min(self._started_at, now)
        names, self.ledger.reachable_share = self.peers.live_nodes()
        if not self.ring.update(names):
            return
        self._changed_at = now
        own = self.ledger.organisations()
        self.ledger.reset(now, [org for org in own if self._is_first(org)])

    async def acquire(self, organisation: Organisation | None) -> Result[QuotaLease, Failure]:
        """Take one request's part; Err says when there is room."""
        if organisation is None or organisation.quota is None:
            return Ok(UNLIMITED)
        until = self.now() + MAX_ACQUIRE_SECONDS
        while self.now() < until:
            taken = await self._take_once(organisation.name, until)
            if taken is not None:
                return taken
            # After a restart of all no node lends until it has met the others.
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        return Err(
            Failure(ErrorKind.QUOTA_UNKNOWN, 'no lender answers', NO_LENDER_RETRY_AFTER_SECONDS)
        )

    async def _take_once(self, name: str, until: float) -> Result[QuotaLease, Failure] | None:
        """Ask the lenders in turn; None where none of them decides."""
        for place, lender in enumerate(self.ring.lenders(name)):
            if lender == self.instance:
                verdict = await self._decide(name)
            elif self._passed_over(lender):
                continue
            else:
                patience = SUBSTITUTE_TIMEOUT_SECONDS if place else LENDER_TIMEOUT_SECONDS
                patience = min(patience, max(until - self.now(), 0.0))
                verdict = await self.lender_client.ask(lender, name, patience)
            match verdict:
                case Granted():
                    return Ok(QuotaLease(name, lender))
                case RetryLater(seconds):
                    return Err(Failure(ErrorKind.OVER_QUOTA, f'told by {lender}', seconds))
        return None

    def refund(self, lease: QuotaLease) -> None:
        """Give back what was taken for a request that did not run."""
        if lease.lender == self.instance:
            self.ledger.refund(lease.organisation)
        elif lease.lender:
            self.peers.send(
                lease.lender,
                QuotaReturn(**self.peers.message_header(), organisation=lease.organisation),
            )

    def handle_message(self, message: QuotaMessage) -> None:
        """Take a message of another node."""
        self.lender_client.mark_alive(message.sender)
        match message:
            case QuotaResponse():
                self.lender_client.handle_answer(message)
            case QuotaReturn(organisation=organisation):
                self.ledger.refund(organisation)
            case QuotaRequest():
                self._hear_ask(message)

    def _hear_ask(self, ask: QuotaRequest) -> None:
        key = (ask.sender, ask.correlation_id)
        if key in self._answered:
            # It was sent once more as the answer was late: it must not be lent for twice.
            answer = self._answered[key]
            if answer is not None:
                self.peers.send(ask.sender, answer)
            return
        self._answered[key] = None
        if len(self._answered) > MAX_REMEMBERED_ANSWERS:
            self._answered.popitem(last=False)
        if ask.relayed or self._is_first(ask.organisation):
            self._answer(ask, self._lend(ask.organisation))
        else:
            self.lender_client.spawn(self._answer_later(ask))

    async def _answer_later(self, ask: QuotaRequest) -> None:
        self._answer(ask, await self._decide(ask.organisation))

    def _answer(self, ask: QuotaRequest, verdict: QuotaDecision | None) -> None:
        answer = build_answer(ask, verdict, self.peers.message_header())
        self._answered[ask.sender, ask.correlation_id] = answer
        self.peers.send(ask.sender, answer)

    async def _decide(self, organisation: str) -> QuotaDecision | None:
        """Decide as the first lender, or as one who stands in for those before; None if neither."""
        for lender in self.ring.lenders(organisation):
            if lender == self.instance:
                break
            if self.lender_client.silent_seconds(lender) < TAKEOVER_SILENCE_SECONDS:
                verdict = await self.lender_client.ask(
                    lender, organisation, RELAY_TIMEOUT_SECONDS, relayed=True
                )
                if verdict is not None:
                    return verdict
            if self.lender_client.silent_seconds(lender) < TAKEOVER_SILENCE_SECONDS:
                return None
            self.lender_client.probe(lender)
        return self._lend(organisation)

    def _lend(self, organisation: str) -> QuotaDecision | None:
        """Lend of this node's own bucket, if it is one of the lenders."""
        order = self.ring.lenders(organisation)
        known = self.find_organisation(organisation)
        young = self._is_young()
        if known is None or self.instance not in order or (young and self._alone()):
            return None
        if known.quota is None:
            return Granted()
        # A young one lends a part only: others that are young may take themselves for the lender.
        first = order[0] == self.instance and not young
        return self.ledger.take(self.now(), organisation, known.quota, is_first_lender=first)

    def _is_first(self, organisation: str) -> bool:
        return self.ring.lenders(organisation)[:1] == [self.instance]

    def _passed_over(self, lender: str) -> bool:
        """Say whether a lender was found silent a moment ago, and is not waited for again."""
        lately = self.lender_client.was_asked_recently(lender)
        return lately and self.lender_client.silent_seconds(lender) >= LENDER_TIMEOUT_SECONDS

    def _is_young(self) -> bool:
        """Say whether this node may take itself for a lender only as it has not met the others."""
        now = self.now()
        return (
            now - self._started_at < STARTUP_SECONDS
            and now - self._changed_at < STABLE_VIEW_SECONDS
        )

    def _alone(self) -> bool:
        """Say whether this node has met so few that many like it might lend at the same time.

        Failure: all nodes restart at once, and each thinks for a moment that it is alone.
        """
        return (
            self.ledger.reachable_share < MIN_REACHABLE_SHARE
            or len(self.ring.nodes) < MIN_KNOWN_NODES
        )
