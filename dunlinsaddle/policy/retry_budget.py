"""The retries that a node may send for each service, out of a budget that all nodes share."""

from collections import deque

from dunlinsaddle.policy.context import LOWEST_LEVEL

BUCKETS = 10  #: parts of the window; a finer window would count more exactly and cost more
#: Share of the budget that is spent. The rest covers what a node cannot know: that other nodes'
#: counts are of a slightly other window, and members that it has not heard of yet.
OWN_SHARE = 0.8
#: Share of the budget that is kept from the least valued level, and in proportion from the others:
#: what is scarce goes to the requests that are worth most, and to the same ones at all nodes.
KEPT_SHARE = 0.5


class RetryBudget:
    """Counts first sends and repeats for each service over a sliding window.

    Each node spends a share of the ratio of what it has sent itself, and its part of what is
    allowed on top. So the sum over all nodes holds with no word between them. Calls that a
    repeated run makes are repeats at the service below: they take from the same budget.
    """

    def __init__(self, ratio: float, extra: float, window: float) -> None:
        self.take(ratio, extra)
        self.window = window
        self.nodes = 1  #: that share the budget; more than there are is on the safe side
        self._services: dict[str, _Window] = {}

    def take(self, ratio: float, extra: float) -> None:
        """Take other bounds; what was counted stays."""
        self.ratio = ratio * OWN_SHARE
        self.extra = extra * OWN_SHARE

    def sent(self, now: float, service: str) -> None:
        """Note the first send of a request."""
        self._of(service).add(now, sent=1, repeated=0)

    def repeated(self, now: float, service: str) -> None:
        """Note a call that a repeated run makes; it is not refused for it."""
        self._of(service).add(now, sent=0, repeated=1)

    def spend(self, now: float, service: str, level: int = 0) -> bool:
        """Take one repeat; False when what the window leaves for this level is used up."""
        window = self._of(service)
        kept = KEPT_SHARE * level / LOWEST_LEVEL
        if window.repeated(now) + 1 > self.allowed(now, service) * (1 - kept):
            return False
        window.add(now, sent=0, repeated=1)
        return True

    def allowed(self, now: float, service: str) -> float:
        """Give the repeats that this node may send in the present window."""
        return self.ratio * self._of(service).sent(now) + self.extra / max(self.nodes, 1)

    def left(self, now: float) -> dict[str, float]:
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


class _Window:
    """Two counts over the last seconds, in buckets."""

    def __init__(self, seconds: float) -> None:
        self.width = seconds / BUCKETS
        self._buckets: deque[tuple[int, int, int]] = deque()
        self._sent = 0
        self._repeated = 0

    def add(self, now: float, *, sent: int, repeated: int) -> None:
        self._advance(now)
        number = int(now / self.width)
        if self._buckets and self._buckets[-1][0] == number:
            _, before_sent, before_repeated = self._buckets.pop()
            self._buckets.append((number, before_sent + sent, before_repeated + repeated))
        else:
            self._buckets.append((number, sent, repeated))
        self._sent += sent
        self._repeated += repeated

    def sent(self, now: float) -> int:
        self._advance(now)
        return self._sent

    def repeated(self, now: float) -> int:
        self._advance(now)
        return self._repeated

    def _advance(self, now: float) -> None:
        oldest = int(now / self.width) - BUCKETS
        while self._buckets and self._buckets[0][0] < oldest:
            _, sent, repeated = self._buckets.popleft()
            self._sent -= sent
            self._repeated -= repeated
