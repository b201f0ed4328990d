"""Token buckets for quotas of organisations, and the choice of the nodes that lend from them."""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from dunlinsaddle.policy.quota_order import (
    DEFAULT_QUERY,
    OPEN,
    Closure,
    Granted,
    QuotaDecision,
    QuotaOrder,
    QuotaQuery,
    Room,
)
from dunlinsaddle.policy.sliding_count import SlidingCount
from dunlinsaddle.routes.models import Quota

#: Nodes that may lend an organisation's quota, in order of precedence: two of them may be lost.
LENDERS_PER_ORGANISATION = 3
RING_POINTS_PER_NODE = 16  #: the nodes' shares of the ring then differ by about a quarter
#: Share of the burst that is lent at once; the rest is lent over the window. A lender that dies may
#: have lent all of it just before, which the next lender does not know.
INSTANT_BURST_SHARE = 0.5
COUNT_SLOT_SECONDS = 0.1  #: resolution of the count of requests in a window
#: Share of the slack that an idle bucket may hold beyond the burst. Without it an organisation
#: that sends one request per second is refused by chance; the rest of the slack covers changes of
#: the lender.
IDLE_SLACK_SHARE = 0.35
#: Share of the overage that is lent; the rest also covers changes of the lender.
LENT_OVERAGE_SHARE = 0.25
#: Share of the slack that a new lender starts with, as it does not know what its predecessor lent.
INITIAL_SLACK_SHARE = 0.125
#: Share of the rate that a substitute lends. It cannot distinguish a lender that has died from one
#: on the other side of a network partition, which continues to lend there.
SUBSTITUTE_RATE_SHARE = 0.25
SUBSTITUTE_IDLE_SECONDS = 1.0  #: idle time after which a substitute's bucket is reset
MAX_BUCKETS = 20_000  #: organisations to which one node lends; bounds memory


class HashRing:
    """Consistent hashing: an order of nodes for each organisation, from the set of known nodes."""

    def __init__(self) -> None:
        self.nodes: frozenset[str] = frozenset()
        self._points: list[tuple[int, str]] = []

    def update(self, nodes: Iterable[str]) -> bool:
        """Set the known nodes; return whether they have changed."""
        updated = frozenset(nodes)
        if updated == self.nodes:
            return False
        self.nodes = updated
        self._points = sorted((point, node) for node in updated for point in _points(node))
        return True

    def lenders(self, organisation: str) -> list[str]:
        """Return the nodes that may lend the organisation's quota, in order of precedence."""
        points = self._points
        start = bisect_right(points, (_hash(organisation), ''))
        lenders: list[str] = []
        for index in range(len(points)):
            node = points[(start + index) % len(points)][1]
            if node not in lenders:
                lenders.append(node)
                if len(lenders) == LENDERS_PER_ORGANISATION:
                    break
        return lenders


class _Limits(NamedTuple):
    """Limits of a bucket: tokens per second, tokens, and requests in a window."""

    rate: float
    max_tokens: float
    max_requests: float


class _Bucket:
    """A token bucket that also limits the number of requests in a sliding window."""

    __slots__ = ('at', 'order', 'recent', 'room', 'started_at', 'tokens')

    def __init__(
        self, now: float, tokens: float, started_at: float, window: float, rate: float
    ) -> None:
        self.tokens = tokens
        self.at = now  #: time of the latest refill
        self.started_at = started_at
        self.order = QuotaOrder(rate)
        self.recent = SlidingCount(COUNT_SLOT_SECONDS, _slots(window))
        self.room = Room(tokens, tokens, 0.0)  #: as of the latest refill

    def take(self, now: float, query: QuotaQuery, limits: _Limits, window: float) -> QuotaDecision:
        self.tokens = min(self.tokens + (now - self.at) * limits.rate, limits.max_tokens)
        self.at = now
        left = limits.max_requests - self.recent.total(now, _slots(window))
        self.room = Room(min(self.tokens, left), limits.max_tokens, limits.rate)
        if not self.order.admits(now, query, self.room):
            return self.order.refuse(now, query, self.room)
        self.tokens -= 1
        self.recent.add(now)
        return Granted()


class QuotaLedger:
    """The token buckets of the organisations whose quota this node lends.

    A quota with a rate and a burst allows in each window the rate times the window, plus the
    burst. A bucket is refilled evenly at that total over the window, so that an organisation
    that asks for more is served at a steady rate. The requests in the window are counted and
    limited as well. During its first window a bucket is refilled at the rate alone and starts
    nearly empty, because another node may have lent the burst just before.

    ``reachable_share`` is the share of the known nodes that are reachable: each side of a network
    partition lends its part.
    """

    def __init__(self, slack: float, window: float, overage: float = 0.0) -> None:
        self.slack = slack
        self.window = window
        self.overage = overage
        self.reachable_share = 1.0
        self._reset_at = 0.0  #: start of lending to organisations that have no bucket yet
        self._buckets: dict[str, _Bucket] = {}
        self._substitute_buckets: dict[str, _Bucket] = {}

    def reset(self, now: float, retained: Iterable[str]) -> None:
        """Drop all buckets but those of the retained organisations."""
        self._reset_at = now
        names = set(retained)
        self._buckets = {name: bucket for name, bucket in self._buckets.items() if name in names}

    def organisations(self) -> list[str]:
        """Return the organisations to which this node lends as their first lender."""
        return list(self._buckets)

    def take(
        self,
        now: float,
        organisation: str,
        quota: Quota,
        *,
        is_first_lender: bool,
        query: QuotaQuery = DEFAULT_QUERY,
    ) -> QuotaDecision:
        """Lend for one request; ``is_first_lender`` is false for a substitute of another node."""
        share = self.reachable_share * (
            1.0 + LENT_OVERAGE_SHARE * self.overage if is_first_lender else SUBSTITUTE_RATE_SHARE
        )
        rate = quota.rate * share
        bucket = self._bucket(now, organisation, rate, is_first_lender=is_first_lender)
        if is_first_lender and now - bucket.started_at >= self.window:
            rate += quota.burst * share / self.window
        idle_slack = IDLE_SLACK_SHARE * self.slack
        max_tokens = max(INSTANT_BURST_SHARE * quota.burst * share + idle_slack, 1.0)
        max_requests = max((quota.rate * self.window + quota.burst) * share + idle_slack, 1.0)
        return bucket.take(now, query, _Limits(rate, max_tokens, max_requests), self.window)

    def closure(self, now: float, organisation: str) -> Closure:
        """Return for which ranks the latest decision left no capacity, and for how long."""
        bucket = self._buckets.get(organisation) or self._substitute_buckets.get(organisation)
        return bucket.order.closure(now, bucket.room) if bucket else OPEN

    def refund(self, organisation: str) -> None:
        """Return the token of a request that did not run."""
        bucket = self._buckets.get(organisation) or self._substitute_buckets.get(organisation)
        if bucket is not None:
            bucket.tokens += 1
            bucket.recent.remove_one()

    def tokens_left(self) -> dict[str, float]:
        """Return the tokens left for each organisation, as of its latest request."""
        return {name: bucket.tokens for name, bucket in self._buckets.items()}

    def ages(self, now: float) -> dict[str, float]:
        """Return the seconds since the latest request of each organisation."""
        return {name: now - bucket.at for name, bucket in self._buckets.items()}

    def _bucket(
        self, now: float, organisation: str, rate: float, *, is_first_lender: bool
    ) -> _Bucket:
        buckets = self._buckets if is_first_lender else self._substitute_buckets
        bucket = buckets.get(organisation)
        if bucket is not None and (is_first_lender or now - bucket.at < SUBSTITUTE_IDLE_SECONDS):
            return bucket
        if len(buckets) >= MAX_BUCKETS:
            buckets.clear()
        started_at = self._reset_at if is_first_lender else now
        tokens = INITIAL_SLACK_SHARE * self.slack + rate * max(now - started_at, 0.0)
        bucket = buckets[organisation] = _Bucket(now, tokens, started_at, self.window, rate)
        return bucket


def _slots(window: float) -> int:
    return round(window / COUNT_SLOT_SECONDS)


def _hash(text: str) -> int:
    return int(xxhash.xxh64_intdigest(text.encode()))


def _points(node: str) -> list[int]:
    return [_hash(f'{node}/{index}') for index in range(RING_POINTS_PER_NODE)]
