"""What one node lends of the quotas of organisations, and which node lends whose."""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from dunlinsaddle.policy.sliding_count import SlidingCount
from dunlinsaddle.routes.models import Quota

LENDERS_PER_ORGANISATION = (
    3  #: nodes in turn that may lend an organisation's quota: two may be lost at once
)
RING_POINTS_PER_NODE = 16  #: of each node on the ring: shares then differ by a quarter or so
#: Part of the burst that is lent at once; the rest is lent over the window. A lender that dies may
#: have lent all of it a moment before, and the next one does not know.
INSTANT_BURST_SHARE = 0.5
COUNT_SLOT_SECONDS = 0.1  #: by which requests of a window are counted
#: Part of the slack that an idle bucket holds beyond the burst. An organisation with a request a
#: second is refused by chance without it; the rest of the slack pays for changes of the lender.
IDLE_SLACK_SHARE = 0.35
#: Part of the overage that is lent; the rest is for changes of the lender, too.
LENT_OVERAGE_SHARE = 0.25
#: Part of the slack that a lender begins with, as it does not know what the one before it lent.
INITIAL_SLACK_SHARE = 0.125
#: Part of the rate that a stand-in lends. It cannot tell a lender that has died from one behind a
#: cut, who goes on lending on its side.
SUBSTITUTE_RATE_SHARE = 0.25
SUBSTITUTE_IDLE_SECONDS = 1.0  #: without a request after which a stand-in's bucket is begun anew
#: Seconds; a caller that comes back within them is mostly still answered while that is worth most.
MAX_RETRY_AFTER_SECONDS = 0.8
MAX_BUCKETS = 20_000  #: organisations that one node lends to: a bound on memory


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may run."""


@dataclass(frozen=True, slots=True)
class RetryLater:
    """The quota is used up; there is room after ``seconds``."""

    seconds: float


QuotaDecision = Granted | RetryLater


class HashRing:
    """An order of nodes for each organisation, the same wherever the same nodes are known."""

    def __init__(self) -> None:
        self.nodes: frozenset[str] = frozenset()
        self._points: list[tuple[int, str]] = []

    def update(self, nodes: Iterable[str]) -> bool:
        """Take the nodes that are there; say whether they are others than before."""
        found = frozenset(nodes)
        if found == self.nodes:
            return False
        self.nodes = found
        self._points = sorted((point, name) for name in found for point in _points(name))
        return True

    def lenders(self, organisation: str) -> list[str]:
        """Give the nodes that may lend its quota, the first first."""
        points = self._points
        start = bisect_right(points, (_hash(organisation), ''))
        found: list[str] = []
        for index in range(len(points)):
            name = points[(start + index) % len(points)][1]
            if name not in found:
                found.append(name)
                if len(found) == LENDERS_PER_ORGANISATION:
                    break
        return found


class _Bucket:
    """Requests that may still run: refilled evenly, and no more of them than a window allows."""

    __slots__ = ('at', 'born', 'promised', 'recent', 'tokens')

    def __init__(self, now: float, tokens: float, born: float, window: float) -> None:
        self.tokens = tokens
        self.at = now
        self.born = born
        self.promised = now  #: until when the refill is promised to those told to come back
        self.recent = SlidingCount(COUNT_SLOT_SECONDS, _slots(window))

    def take(self, now: float, rate: float, most: float, window: float, limit: float) -> bool:
        self.tokens = min(self.tokens + (now - self.at) * rate, most)
        self.at = now
        if self.tokens < 1 or self.recent.total(now, _slots(window)) + 1 > limit:
            return False
        self.tokens -= 1
        self.recent.add(now)
        return True

    def come_back(self, now: float, rate: float) -> float:
        self.promised = min(max(self.promised, now) + 1 / rate, now + MAX_RETRY_AFTER_SECONDS)
        return self.promised - now


class QuotaLedger:
    """The buckets of the organisations whose quota this node lends.

    A quota of a rate and a burst means so many requests in each window: the rate times the
    window, and the burst. The bucket refills at that over the window, so that one who asks for
    more is served evenly, and the window's own count is kept besides. For the first window of a
    bucket it refills at the rate alone, since another node may have lent the burst just before,
    and it begins nearly empty. ``share`` is the part of the nodes known that are in touch: of a
    fleet that is cut in two each side lends its part.
    """

    def __init__(self, slack: float, window: float, overage: float = 0.0) -> None:
        self.slack = slack
        self.window = window
        self.overage = overage
        self.reachable_share = 1.0
        self._since = 0.0  #: since when this node lends for whom it has no bucket yet
        self._own: dict[str, _Bucket] = {}
        self._stood_in: dict[str, _Bucket] = {}

    def reset(self, now: float, keeps: Iterable[str]) -> None:
        """Begin anew for all but those that this node keeps on lending to."""
        self._since = now
        kept = set(keeps)
        self._own = {name: bucket for name, bucket in self._own.items() if name in kept}

    def organisations(self) -> list[str]:
        """Give those that this node lends to as the first of its lenders."""
        return list(self._own)

    def take(
        self, now: float, organisation: str, quota: Quota, *, is_first_lender: bool
    ) -> QuotaDecision:
        """Lend for one request; ``first`` unless this node stands in for another."""
        part = self.reachable_share * (
            1.0 + LENT_OVERAGE_SHARE * self.overage if is_first_lender else SUBSTITUTE_RATE_SHARE
        )
        rate = quota.rate * part
        bucket = self._bucket(now, organisation, rate, is_first_lender=is_first_lender)
        if is_first_lender and now - bucket.born >= self.window:
            rate += quota.burst * part / self.window
        idle = IDLE_SLACK_SHARE * self.slack
        most = max(INSTANT_BURST_SHARE * quota.burst * part + idle, 1.0)
        limit = max((quota.rate * self.window + quota.burst) * part + idle, 1.0)
        if bucket.take(now, rate, most, self.window, limit):
            return Granted()
        return RetryLater(bucket.come_back(now, rate))

    def refund(self, organisation: str) -> None:
        """Take back what was lent for a request that did not run."""
        bucket = self._own.get(organisation) or self._stood_in.get(organisation)
        if bucket is not None:
            bucket.tokens += 1
            bucket.recent.remove_one()

    def tokens_left(self) -> dict[str, float]:
        """Give what is left, by organisation, as of the latest request of each."""
        return {name: bucket.tokens for name, bucket in self._own.items()}

    def _bucket(
        self, now: float, organisation: str, rate: float, *, is_first_lender: bool
    ) -> _Bucket:
        buckets = self._own if is_first_lender else self._stood_in
        found = buckets.get(organisation)
        if found is not None and (is_first_lender or now - found.at < SUBSTITUTE_IDLE_SECONDS):
            return found
        if len(buckets) >= MAX_BUCKETS:
            buckets.clear()
        since = self._since if is_first_lender else now
        tokens = INITIAL_SLACK_SHARE * self.slack + rate * max(now - since, 0.0)
        found = buckets[organisation] = _Bucket(now, tokens, since, self.window)
        return found


def _slots(window: float) -> int:
    return round(window / COUNT_SLOT_SECONDS)


def _hash(text: str) -> int:
    return int(xxhash.xxh64_intdigest(text.encode()))


def _points(name: str) -> list[int]:
    return [_hash(f'{name}/{index}') for index in range(RING_POINTS_PER_NODE)]
