"""What an ingress knows from lenders' answers: closed ranks, and when callers may come back."""

from collections import OrderedDict
from typing import NamedTuple

from dunlinsaddle.policy.quota_order import (
    CLAIM_TOLERANCE_SECONDS,
    MAX_CLOSED_SECONDS,
    RESERVATION_GRACE_SECONDS,
    Closure,
    QuotaDecision,
    QuotaQuery,
    RetryLater,
)
from dunlinsaddle.policy.retry_after import apply_jitter
from dunlinsaddle.records.models import Rank
from dunlinsaddle.routes.models import Quota

MAX_EXPECTED_RETURNS = 10_000  #: refused requests that are remembered; bounds memory
#: Mask of the bits of a fingerprint that a query carries. Callers whose bits are equal share their
#: reservations.
MAX_FINGERPRINT = (1 << 32) - 1
MAX_ORGANISATIONS = 10_000  #: whose closed ranks are remembered; bounds memory


class RequestKey(NamedTuple):
    """Identifies a request over its attempts, each of which has a request id of its own."""

    organisation: str
    rule: str
    fingerprint: int


class _ExpectedReturn(NamedTuple):
    """When a refused caller may come back. Times are of the event loop's clock."""

    due: float
    reserved: bool
    quota: Quota
    known_until: float  #: time after which a request that comes sooner counts as a new one


class _Knowledge:
    """What the lender of one organisation said about its quota."""

    __slots__ = ('closed_rank', 'closed_until', 'lender', 'quota', 'refused', 'wait_seconds')

    def __init__(self, quota: Quota) -> None:
        self.quota = quota
        self.lender = ''  #: the node that answered last
        self.closed_rank = 0
        self.closed_until = 0.0
        self.wait_seconds = 0.0  #: Retry-After of the latest refusal without reservation
        self.refused = [0] * len(Rank)  #: refused here since the latest query of the rank


class QuotaKnowledge:
    """Derives refusals from what lenders have said, so that these need no query.

    Closed ranks are known for as long as the lender said, at most ``MAX_CLOSED_SECONDS``. All
    knowledge of an organisation is discarded when the configuration changes its quota. A caller
    that comes back sooner than told is refused as long as this is known; then it counts as a new
    one, since another caller may send an equal request.
    """

    def __init__(self) -> None:
        self.refused_count = [0] * len(Rank)  #: refusals without a query
        self._organisations: OrderedDict[str, _Knowledge] = OrderedDict()
        self._expected: OrderedDict[RequestKey, _ExpectedReturn] = OrderedDict()

    def decide(
        self, now: float, key: RequestKey, quota: Quota, rank: Rank, useful_seconds: float
    ) -> QuotaQuery | RetryLater:
        """Return the refusal that follows from what is known, or the query for the lender.

        ``useful_seconds`` is the longest wait after which the request is still useful.
        """
        knowledge = self._knowledge_of(key.organisation, quota)
        expected = self._expected.get(key)
        returning = False
        if expected is not None and expected.quota == quota:
            if now < min(expected.due - CLAIM_TOLERANCE_SECONDS, expected.known_until):
                self.refused_count[rank] += 1
                return RetryLater(expected.due - now, expected.reserved)
            del self._expected[key]
            returning = expected.reserved and now <= expected.due + RESERVATION_GRACE_SECONDS
        if not returning and _is_closed(now, knowledge, rank):
            return self._refuse_closed(now, key, knowledge, rank)
        refused, knowledge.refused[rank] = knowledge.refused[rank], 0
        return QuotaQuery(
            rank, returning, key.fingerprint & MAX_FINGERPRINT, useful_seconds, refused
        )

    def record(
        self,
        now: float,
        key: RequestKey,
        quota: Quota,
        lender: str,
        decision: QuotaDecision,
        closure: Closure,
    ) -> None:
        """Record the answer of a lender to a query."""
        knowledge = self._knowledge_of(key.organisation, quota)
        knowledge.lender = lender
        knowledge.closed_rank = closure.rank
        knowledge.closed_until = now + min(closure.seconds, MAX_CLOSED_SECONDS)
        match decision:
            case RetryLater(seconds, bool(reserved)):
                if not reserved:
                    knowledge.wait_seconds = seconds
                self._expect(now, key, quota, RetryLater(seconds, reserved))

    def latest_lender(self, organisation: str) -> str:
        """Return the node that answered the latest query for an organisation, '' if unknown."""
        knowledge = self._organisations.get(organisation)
        return knowledge.lender if knowledge else ''

    def _refuse_closed(
        self, now: float, key: RequestKey, knowledge: _Knowledge, rank: Rank
    ) -> RetryLater:
        knowledge.refused[rank] += 1
        self.refused_count[rank] += 1
        closed_seconds = knowledge.closed_until - now
        wait = apply_jitter(max(closed_seconds, knowledge.wait_seconds), sum(self.refused_count))
        refusal = RetryLater(max(wait, closed_seconds), reserved=False)
        self._expect(now, key, knowledge.quota, refusal)
        return refusal

    def _expect(self, now: float, key: RequestKey, quota: Quota, refusal: RetryLater) -> None:
        due = now + refusal.seconds
        self._expected[key] = _ExpectedReturn(
            due, bool(refusal.reserved), quota, min(due, now + MAX_CLOSED_SECONDS)
        )
        self._expected.move_to_end(key)
        if len(self._expected) > MAX_EXPECTED_RETURNS:
            self._expected.popitem(last=False)

    def _knowledge_of(self, organisation: str, quota: Quota) -> _Knowledge:
        knowledge = self._organisations.get(organisation)
        if knowledge is None or knowledge.quota != quota:
            knowledge = self._organisations[organisation] = _Knowledge(quota)
            if len(self._organisations) > MAX_ORGANISATIONS:
                self._organisations.popitem(last=False)
        return knowledge


def _is_closed(now: float, knowledge: _Knowledge, rank: Rank) -> bool:
    return 0 < knowledge.closed_rank <= rank and now < knowledge.closed_until
