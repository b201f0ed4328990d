"""The retries that a node may send for each service, out of a budget that all nodes share."""

from math import exp

from dunlinsaddle.policy.context import LOWEST_LEVEL, SLOTS_PER_RANK
from dunlinsaddle.policy.sliding_count import SlidingCount
from dunlinsaddle.records.models import Rank

WINDOW_SLOTS = 10  #: parts of the window; a finer window would count more exactly and cost more
#: Share of the budget that is spent. The rest covers what a node cannot know: that other nodes'
#: counts are of a slightly other window, and members that it has not heard of yet.
SPENDABLE_SHARE = 0.8
#: Share of the budget that is kept from the least valued level, and in proportion from the others:
#: what is scarce goes to the requests that are worth most, and to the same ones at all nodes.
RESERVED_SHARE = 0.5
#: Seconds over which the repeats that a rank asks for are averaged: a surge of failures has to be
#: seen well before it has used up the budget, which it did in two seconds.
DEMAND_AVERAGE_SECONDS = 1.0


class RetryBudget:
    """Counts first sends and repeats for each service over a sliding window.

    Each node spends a share of the ratio of what it has sent itself, and its part of what is
    allowed on top. So the sum over all nodes holds with no word between them. Calls that a
    repeated run makes are repeats at the service below: they take from the same budget.

    What was sent is that of the present window, the one before it or the one half before,
    whichever has most. Failure: requests that fail early make fewer calls, and the budget shrinks
    just when it is needed.

    What more valued ranks ask for now is kept for them for the rest of the window. Failure: all
    targets of a deep service turn away half of what arrives. Lookups and orders spend the budget
    of ten seconds in two; then nearly all orders fail, which need eight answers each. Of the
    orders of five such seconds 0.70 were whole with it where 0.49 had been, of the lookups 0.08
    where 0.26 had been (`tests/test_deep_load.py`, four seeds).
    """

    def __init__(self, ratio: float, extra: float, window: float) -> None:
        self.set_limits(ratio, extra)
        self.window = window
        self.node_count = 1  #: that share the budget; more than there are is on the safe side
        self._services: dict[str, _Window] = {}

    def set_limits(self, ratio: float, extra: float) -> None:
        """Take other bounds; what was counted stays."""
        self.ratio = ratio * SPENDABLE_SHARE
        self.extra = extra * SPENDABLE_SHARE

    def record_request(self, now: float, service: str) -> None:
        """Note the first send of a request."""
        self._of(service).add(now, sent=1, repeated=0)

    def record_repeat(self, now: float, service: str) -> None:
        """Note a call that a repeated run makes; it is not refused for it."""
        self._of(service).add(now, sent=0, repeated=1)

    def spend(self, now: float, service: str, level: int = 0) -> bool:
        """Take one repeat; False when what the window leaves for this level is used up."""
        window = self._of(service)
        rank = level // SLOTS_PER_RANK
        window.wanted[rank].add(now)
        kept = RESERVED_SHARE * level / LOWEST_LEVEL
        reserved = self.window * sum(w.rate(now) for w in window.wanted[:rank])
        if window.repeated(now) + 1 > self.allowed(now, service) * (1 - kept) - reserved:
            return False
        window.add(now, sent=0, repeated=1)
        return True

    def allowed(self, now: float, service: str) -> float:
        """Give the repeats that this node may send in the present window."""
        return self.ratio * self._of(service).sent(now) + self.extra / max(self.node_count, 1)

    def remaining(self, now: float) -> dict[str, float]:
        """Give the repeats that may still be sent now, by service."""
        return {
            name: max(self.allowed(now, name) - window.repeated(now), 0.0)
            for name, window in self._services.items()
        }

    def _of(self, service: str) -> '_Window':
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _Window(self.window)
        return found


class _Wanted:
    """How many repeats a second are asked for, spent or not."""

    __slots__ = ('_at', '_count')

    def __init__(self) -> None:
        self._count = 0.0
        self._at = 0.0

    def add(self, now: float) -> None:
        self._count = self.rate(now) * DEMAND_AVERAGE_SECONDS + 1
        self._at = now

    def rate(self, now: float) -> float:
        return self._count * exp((self._at - now) / DEMAND_AVERAGE_SECONDS) / DEMAND_AVERAGE_SECONDS


class _Window:
    """What was sent and repeated in the last window, and what was sent in those before."""

    def __init__(self, seconds: float) -> None:
        width = seconds / WINDOW_SLOTS
        self.wanted = [_Wanted() for _ in Rank]
        self._sent = SlidingCount(width, 2 * WINDOW_SLOTS)
        self._repeated = SlidingCount(width, WINDOW_SLOTS)

    def add(self, now: float, *, sent: int, repeated: int) -> None:
        self._sent.add(now, sent)
        self._repeated.add(now, repeated)

    def sent(self, now: float) -> int:
        """Give the most of the present window, the one before, and the one half before."""
        return max(
            self._sent.total(now, WINDOW_SLOTS, back)
            for back in (0, WINDOW_SLOTS // 2, WINDOW_SLOTS)
        )

    def repeated(self, now: float) -> int:
        return self._repeated.total(now, WINDOW_SLOTS)
