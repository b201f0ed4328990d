"""Takes what requests need of their organisation's quota, from the node that lends it."""

import asyncio
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from dunlinsaddle.access.questions import Peers, Questions, answer_of
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.membership.messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaMessage,
    QuotaReturn,
)
from dunlinsaddle.policy.quota import Granted, HashRing, QuotaDecision, QuotaLedger, RetryLater
from dunlinsaddle.routes.models import Organisation

ANSWER_SECONDS = 0.16  #: after which a lender counts as silent, and the next one is asked
#: Seconds that a stand-in waits for the lender before it. Longer than askers do: a lender that is
#: too slow for them but not for the stand-in goes on lending, through it, and nobody lends twice.
RELAY_SECONDS = 0.25
STAND_IN_SECONDS = 0.4  #: for the answer of a stand-in, which first asks the lender before it
#: Seconds of silence after which a stand-in lends itself: twice what a slow network takes for an
#: answer. Two who lend at the same time might lend twice the quota.
TAKE_OVER_SECONDS = 0.6
YOUNG_SECONDS = 5.0  #: for which a node that has started is young
#: Seconds for which the view of a young node has to stand still before it lends more than a part.
STILL_SECONDS = 0.4
#: Share of those listed, and number, that a young node has met before it lends a part.
MET_SHARE, MET_LEAST = 0.5, 4
MOST_SECONDS = 0.5  #: for all questions of one request: a refusal must leave time to come back
ROUND_SECONDS = 0.15  #: between two rounds of questions to the lenders
REFRESH_SECONDS = 0.05  #: after a change of members, as mostly several change at once
ANSWERED_MOST = 4096  #: answers that are held for questions that are sent once more
COME_BACK = 0.5  #: seconds; by then another node has taken over


class Loan(NamedTuple):
    """What was taken for one request; ``lender`` is empty where no quota binds."""

    organisation: str
    lender: str


FREE = Loan('', '')


class Quotas(OnLoop):
    """Asks the lender of an organisation for each request, and lends to those who ask this node.

    One node lends the quota of an organisation, so that the sum over all nodes holds with no
    agreement. Where it is silent the next in the ring's order stands in, after it has found it
    silent itself.
    """

    def __init__(
        self,
        instance: str,
        peers: Peers,
        ledger: QuotaLedger,
        find: Callable[[str], Organisation | None],
    ) -> None:
        self.instance = instance
        self.peers = peers
        self.ledger = ledger
        self.find = find
        self.ring = HashRing()
        self.questions = Questions(peers)
        self._answered: OrderedDict[tuple[str, int], QuotaAnswer | None] = OrderedDict()
        self._refresh: asyncio.TimerHandle | None = None
        self._started_at = math.inf
        self._changed_at = 0.0

    def members_change(self) -> None:
        """Take who is there in a moment: many change at once."""
        if self._refresh is None:
            self._refresh = self.loop.call_later(REFRESH_SECONDS, self._take_members)

    def _take_members(self) -> None:
        self._refresh = None
        now = self.now()
        self._started_at = min(self._started_at, now)
        names, self.ledger.reachable_share = self.peers.present()
        if not self.ring.update(names):
            return
        self._changed_at = now
        own = self.ledger.organisations()
        self.ledger.reset(now, [org for org in own if self._is_first(org)])

    async def take(self, organisation: Organisation | None) -> Result[Loan, Failure]:
        """Take one request's part; Err says when there is room."""
        if organisation is None or organisation.quota is None:
            return Ok(FREE)
        until = self.now() + MOST_SECONDS
        while self.now() < until:
            taken = await self._take_once(organisation.name, until)
            if taken is not None:
                return taken
            # After a restart of all no node lends until it has met the others.
            await asyncio.sleep(ROUND_SECONDS)
        return Err(Failure(ErrorKind.QUOTA_UNKNOWN, 'no lender answers', COME_BACK))

    async def _take_once(self, name: str, until: float) -> Result[Loan, Failure] | None:
        """Ask the lenders in turn; None where none of them decides."""
        for place, lender in enumerate(self.ring.lenders(name)):
            if lender == self.instance:
                verdict = await self._decide(name)
            elif self._passed_over(lender):
                continue
            else:
                patience = STAND_IN_SECONDS if place else ANSWER_SECONDS
                patience = min(patience, max(until - self.now(), 0.0))
                verdict = await self.questions.ask(lender, name, patience)
            match verdict:
                case Granted():
                    return Ok(Loan(name, lender))
                case RetryLater(seconds):
                    return Err(Failure(ErrorKind.OVER_QUOTA, f'told by {lender}', seconds))
        return None

    def give_back(self, loan: Loan) -> None:
        """Give back what was taken for a request that did not run."""
        if loan.lender == self.instance:
            self.ledger.refund(loan.organisation)
        elif loan.lender:
            self.peers.send(
                loan.lender, QuotaReturn(**self.peers.head(), organisation=loan.organisation)
            )

    def hear(self, message: QuotaMessage) -> None:
        """Take a message of another node."""
        self.questions.heard(message.sender)
        match message:
            case QuotaAnswer():
                self.questions.answered(message)
            case QuotaReturn(organisation=organisation):
                self.ledger.refund(organisation)
            case QuotaAsk():
                self._hear_ask(message)

    def _hear_ask(self, ask: QuotaAsk) -> None:
        key = (ask.sender, ask.number)
        if key in self._answered:
            # It was sent once more as the answer was late: it must not be lent for twice.
            answer = self._answered[key]
            if answer is not None:
                self.peers.send(ask.sender, answer)
            return
        self._answered[key] = None
        if len(self._answered) > ANSWERED_MOST:
            self._answered.popitem(last=False)
        if ask.relayed or self._is_first(ask.organisation):
            self._answer(ask, self._lend(ask.organisation))
        else:
            self.questions.spawn(self._answer_later(ask))

    async def _answer_later(self, ask: QuotaAsk) -> None:
        self._answer(ask, await self._decide(ask.organisation))

    def _answer(self, ask: QuotaAsk, verdict: QuotaDecision | None) -> None:
        answer = answer_of(ask, verdict, self.peers.head())
        self._answered[ask.sender, ask.number] = answer
        self.peers.send(ask.sender, answer)

    async def _decide(self, organisation: str) -> QuotaDecision | None:
        """Decide as the first lender, or as one who stands in for those before; None if neither."""
        for lender in self.ring.lenders(organisation):
            if lender == self.instance:
                break
            if self.questions.silence(lender) < TAKE_OVER_SECONDS:
                verdict = await self.questions.ask(
                    lender, organisation, RELAY_SECONDS, relayed=True
                )
                if verdict is not None:
                    return verdict
            if self.questions.silence(lender) < TAKE_OVER_SECONDS:
                return None
            self.questions.probe(lender)
        return self._lend(organisation)

    def _lend(self, organisation: str) -> QuotaDecision | None:
        """Lend of this node's own bucket, if it is one of the lenders."""
        order = self.ring.lenders(organisation)
        known = self.find(organisation)
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
        lately = self.questions.asked_lately(lender)
        return lately and self.questions.silence(lender) >= ANSWER_SECONDS

    def _is_young(self) -> bool:
        """Say whether this node may take itself for a lender only as it has not met the others."""
        now = self.now()
        return now - self._started_at < YOUNG_SECONDS and now - self._changed_at < STILL_SECONDS

    def _alone(self) -> bool:
        """Say whether this node has met so few that many like it might lend at the same time.

        Failure: all nodes restart at once, and each thinks for a moment that it is alone.
        """
        return self.ledger.reachable_share < MET_SHARE or len(self.ring.nodes) < MET_LEAST
