"""The order in which requests get the tokens of an organisation's quota when these are scarce."""

from collections import Counter, deque
from dataclasses import dataclass
from typing import NamedTuple

from dunlinsaddle.policy.demand_rate import DemandRate
from dunlinsaddle.policy.retry_after import apply_jitter
from dunlinsaddle.records.models import Rank

#: Longest wait for a reserved token. Most callers that retry within it are still answered while the
#: answer has its full value.
MAX_RESERVATION_SECONDS = 0.8
#: Each rank is granted at least this share of what it would get in order of arrival. A quarter is
#: required; the rest covers demand that ingress nodes report late.
MIN_RANK_SHARE = 0.27
#: Least share of the refill that a rank is assumed to get, so that a wait can be calculated also
#: where more important ranks take all of it.
MIN_REFILL_SHARE = 0.01
#: Limits of the time constant of each rank's demand, in seconds. A flood must be detected before
#: it has used up the burst.
MIN_AVERAGING_SECONDS, MAX_AVERAGING_SECONDS = 0.15, 2.0
#: Demand is averaged over the time in which this many tokens are refilled. With a small quota, a
#: random peak would otherwise count as a flood, and requests would be refused without one.
AVERAGED_TOKENS = 5.0
#: Seconds of the demand of the more important ranks for which tokens are kept.
RESERVE_SECONDS = 0.5
#: Excess of the demand over the refill, as a share of the refill, from which all of these tokens
#: are kept. A smaller excess may be random, so proportionally fewer are kept.
FLOOD_EXCESS = 1.0
MAX_RESERVED_SHARE = 0.5  #: of a full bucket, so that a burst of any rank finds tokens
#: Tokens by which a rank may be ahead of its minimum share or behind it.
MAX_CREDIT_TOKENS = 2.0
#: Time for which a reserved token is kept after it was due. It covers the inaccuracy of the
#: caller's timer and the delay of the network.
RESERVATION_GRACE_SECONDS = 0.15
CLAIM_TOLERANCE_SECONDS = 0.02  #: by which a returning caller may be early
#: Share of a full queue of reservations that must be used up before a closed rank opens. If it
#: opened for each free token, the next request would close it again.
DRAINED_SHARE = 0.5
#: Longest time for which a rank is closed. An ingress does not query a closed rank, so it may
#: learn only after this time that the demand has ended.
MAX_CLOSED_SECONDS = 1.0
CLOSABLE_RANKS = tuple(reversed(list(Rank)[1:]))  #: all but the first, from the lowest up
#: Longest Retry-After of a request without reservation. Floods are mostly over by then.
MAX_NO_CAPACITY_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may run."""


@dataclass(frozen=True, slots=True)
class RetryLater:
    """The quota is used up; a request after ``seconds`` may run.

    ``reserved`` says whether a token is reserved for the caller at that time; a lender of an older
    build does not say it.
    """

    seconds: float
    reserved: bool | None = True


QuotaDecision = Granted | RetryLater


class QuotaQuery(NamedTuple):
    """What the decision on one request depends on."""

    rank: Rank = Rank.NORMAL
    returning: bool = False  #: a token was reserved for this time
    fingerprint: int = 0  #: the same for all attempts of a request; 0 if unknown
    useful_seconds: float = MAX_RESERVATION_SECONDS  #: the longest wait after which it is useful
    #: Requests of this rank that the ingress has refused without a query since its latest one.
    refused: int = 0


DEFAULT_QUERY = QuotaQuery()


class Closure(NamedTuple):
    """There is no capacity for this rank and less important ones for ``seconds``; 0 for none."""

    rank: int = 0
    seconds: float = 0


OPEN = Closure()


class Room(NamedTuple):
    """The tokens that a bucket may grant, and its limits."""

    tokens: float  #: tokens that may be granted now
    max_tokens: float  #: tokens of a full bucket
    refill: float  #: tokens per second


class _Reservation(NamedTuple):
    due: float
    fingerprint: int


class _HeldTokens:
    """Reserved tokens that are due and wait for their callers."""

    def __init__(self) -> None:
        self.count = 0
        self._reservations: deque[_Reservation] = deque()  #: in order; claimed ones included
        self._unclaimed: Counter[int] = Counter()  #: by fingerprint
        self._claimed: Counter[int] = Counter()

    def add(self, reservation: _Reservation) -> None:
        self.count += 1
        self._unclaimed[reservation.fingerprint] += 1
        self._reservations.append(reservation)

    def release_expired(self, now: float) -> None:
        while self._reservations and self._reservations[0].due + RESERVATION_GRACE_SECONDS < now:
            fingerprint = self._reservations.popleft().fingerprint
            if self._claimed[fingerprint]:
                _decrement(self._claimed, fingerprint)
            else:
                _decrement(self._unclaimed, fingerprint)
                self.count -= 1

    def claim(self, query: QuotaQuery) -> bool:
        """Use up the reservation of a request; return False if there is none.

        A caller may come back through another ingress, which does not know that it returns.
        """
        fingerprint = query.fingerprint
        if fingerprint not in self._unclaimed:
            if not query.returning or not self._unclaimed:
                return False
            fingerprint = next(iter(self._unclaimed))
        _decrement(self._unclaimed, fingerprint)
        self._claimed[fingerprint] += 1
        self.count -= 1
        return True


class _RankState:
    """Demand, minimum share and reservations of one rank."""

    __slots__ = ('closed_until', 'credit', 'demand', 'held', 'reservations', 'reserved_until')

    def __init__(self, averaging_seconds: float) -> None:
        self.demand = DemandRate(averaging_seconds)
        self.credit = 0.0  #: tokens by which the rank is behind its minimum share
        self.reservations: deque[_Reservation] = deque()  #: that are not due yet
        self.held = _HeldTokens()
        self.reserved_until = 0.0  #: time up to which the refill of this rank is reserved
        self.closed_until = 0.0

    def advance(self, now: float) -> None:
        """Hold the tokens that have become due; release those that nobody has claimed."""
        while self.reservations and self.reservations[0].due <= now + CLAIM_TOLERANCE_SECONDS:
            self.held.add(self.reservations.popleft())
        if self.held.count:
            self.held.release_expired(now)

    def use_credit(self) -> None:
        """Count a granted token against the minimum share."""
        self.credit = max(self.credit - 1, -MAX_CREDIT_TOKENS)


class QuotaOrder:
    """Decides which requests get the tokens of one bucket.

    Guards against this failure: in a flood of nine times the usual rate, tokens go out in order of
    arrival. An order is refused as often as a look-up, callers that retry at once take the tokens
    of those that asked once, and those that come back when they were told to are refused again.

    - Tokens are kept for the more important ranks, by their demand.
    - Each rank is granted at least ``MIN_RANK_SHARE`` of the share that all get together.
    - A refused request gets a reservation in the refill of its rank within its useful time.
    - A rank whose refill is reserved for as long as it is useful is closed for some time.
    """

    def __init__(self, refill: float) -> None:
        """Set the averaging time by ``refill``, the approximate refill rate in tokens per second.

        Decisions use the exact rate, which is passed with each query.
        """
        averaging_seconds = min(
            max(AVERAGED_TOKENS / max(refill, 1.0), MIN_AVERAGING_SECONDS), MAX_AVERAGING_SECONDS
        )
        self._ranks = [_RankState(averaging_seconds) for _ in Rank]
        self._demands = [0.0] * len(Rank)  #: requests per second by rank, as of the latest decision
        self._refusals = 0

    def admits(self, now: float, query: QuotaQuery, room: Room) -> bool:
        """Return whether a request gets a token now, and count its demand."""
        for state in self._ranks:
            state.advance(now)
        state = self._ranks[query.rank]
        if room.tokens >= 1 and state.held.claim(query):
            state.use_credit()
            return True
        self._record_demand(now, query, room.refill)
        free = self._free_tokens(room)
        if free < 1:
            return False
        if free - self._kept_tokens(query.rank, room) < 1 and state.credit < 1:
            return False
        state.use_credit()
        return True

    def refuse(self, now: float, query: QuotaQuery, room: Room) -> RetryLater:
        """Return when a refused request may come back; reserve a token where there is capacity."""
        state = self._ranks[query.rank]
        refill = self._refill_of(query.rank, room.refill)
        if state.closed_until > now:
            return self._refuse_without_reservation(query.rank, refill)
        useful_seconds = min(query.useful_seconds, MAX_RESERVATION_SECONDS)
        due = max(state.reserved_until, now) + 1 / refill
        if due - now > MAX_RESERVATION_SECONDS:
            drained = DRAINED_SHARE * MAX_RESERVATION_SECONDS
            state.closed_until = min(due - drained, now + MAX_CLOSED_SECONDS)
        if due - now > useful_seconds:
            return self._refuse_without_reservation(query.rank, refill)
        state.reserved_until = due
        state.reservations.append(_Reservation(due, query.fingerprint))
        return RetryLater(due - now)

    def closure(self, now: float, room: Room) -> Closure:
        """Return from which rank on there is no capacity, and for how long.

        The time is at most that in which the bucket fills, so that no token is lost.
        """
        closed_rank, until = Rank.CRITICAL, now + MAX_CLOSED_SECONDS
        for rank in CLOSABLE_RANKS:
            state = self._ranks[rank]
            if state.closed_until > now:
                closed_rank, until = rank, min(until, state.closed_until)
            elif self._demands[rank] * MAX_CLOSED_SECONDS >= 1:
                break
        if not closed_rank or self._free_tokens(room) - self._kept_tokens(closed_rank, room) >= 1:
            return OPEN
        used = sum(self._demands[:closed_rank])
        unused = max(room.refill - used, MIN_RANK_SHARE * room.refill)
        seconds = min(until - now, max(room.max_tokens - room.tokens, 0.0) / unused)
        return Closure(closed_rank, seconds)

    def _refuse_without_reservation(self, rank: Rank, refill: float) -> RetryLater:
        self._refusals += 1
        excess = max(self._demands[rank] / refill, 1.0)
        seconds = min(MAX_RESERVATION_SECONDS * (1 + excess), MAX_NO_CAPACITY_SECONDS)
        return RetryLater(apply_jitter(seconds, self._refusals), reserved=False)

    def _record_demand(self, now: float, query: QuotaQuery, refill: float) -> None:
        state = self._ranks[query.rank]
        count = 1 + query.refused
        state.demand.add(now, count)
        self._demands = [other.demand.rate(now) for other in self._ranks]
        earned = count * MIN_RANK_SHARE * min(refill / sum(self._demands), 1.0)
        state.credit = min(state.credit + earned, MAX_CREDIT_TOKENS)

    def _free_tokens(self, room: Room) -> float:
        """Return the tokens that are not held for callers that are due to come back."""
        tokens = room.tokens
        for state in self._ranks:
            tokens -= state.held.count
        return tokens

    def _kept_tokens(self, rank: Rank, room: Room) -> float:
        """Return the tokens that are kept for more important ranks: none without a flood."""
        excess = sum(self._demands) / room.refill - 1
        if excess <= 0:
            return 0.0
        demand = sum(self._demands[:rank])
        kept = min(demand * RESERVE_SECONDS, MAX_RESERVED_SHARE * room.max_tokens)
        return kept * min(excess / FLOOD_EXCESS, 1.0)

    def _refill_of(self, rank: Rank, refill: float) -> float:
        """Return the tokens per second that a rank gets.

        Each rank gets its minimum share; the rest goes to the ranks in order of importance.
        """
        demands = self._demands
        minimum_share = MIN_RANK_SHARE * min(refill / max(sum(demands), refill), 1.0)
        left = refill - minimum_share * sum(demands)
        for demand in demands[:rank]:
            left -= min((1 - minimum_share) * demand, left)
        return max(minimum_share * demands[rank] + left, MIN_REFILL_SHARE * refill)


def _decrement(counts: Counter[int], fingerprint: int) -> None:
    counts[fingerprint] -= 1
    if not counts[fingerprint]:
        del counts[fingerprint]
