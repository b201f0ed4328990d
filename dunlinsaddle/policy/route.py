"""Which target of a service a call goes to, with views that may be stale."""

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from dunlinsaddle.policy.admission import Load

EJECT_AFTER = 3
EJECT_SECONDS = 5.0
FAR_PENALTY = 1.5


class Candidate(NamedTuple):
    """A target that could take the call, by the instance of its node."""

    instance: str
    domain: str


class _Seen:
    """What this node has learned of one target from its own calls."""

    __slots__ = ('ejected_until', 'failures', 'load', 'outstanding')

    def __init__(self) -> None:
        self.load = Load()
        self.outstanding = 0
        self.failures = 0
        self.ejected_until = 0.0


class Router:
    """Two random choices, weighted by the load that rides back on answers."""

    def __init__(self, domain: str, rng: Random) -> None:
        self.domain = domain
        self.rng = rng
        self._seen: dict[str, _Seen] = {}

    def choose(
        self, now: float, candidates: Sequence[Candidate], tried: frozenset[str] = frozenset()
    ) -> Candidate | None:
        """Give the target for a call, never one that was tried for it already."""
        left = [c for c in candidates if c.instance not in tried]
        if not left:
            return None
        # When all are ejected the fault is more likely ours or the network's: use them all.
        healthy = [c for c in left if self._of(c.instance).ejected_until <= now] or left
        if len(healthy) == 1:
            return healthy[0]
        first, second = self.rng.sample(healthy, 2)
        return first if self._cost(first) <= self._cost(second) else second

    def sent(self, instance: str) -> None:
        """Note a call on its way."""
        self._of(instance).outstanding += 1

    def answered(self, instance: str, load: Load | None) -> None:
        """Note an answer and the load it brought."""
        seen = self._of(instance)
        seen.outstanding -= 1
        seen.failures = 0
        if load is not None:
            seen.load = load

    def failed(self, now: float, instance: str) -> None:
        """Note a call that got no answer."""
        seen = self._of(instance)
        seen.outstanding -= 1
        seen.failures += 1
        if seen.failures >= EJECT_AFTER:
            seen.ejected_until = now + EJECT_SECONDS

    def forget(self, instance: str) -> None:
        """Drop what is known of an instance that has gone."""
        self._seen.pop(instance, None)

    def _of(self, instance: str) -> _Seen:
        return self._seen.setdefault(instance, _Seen())

    def _cost(self, candidate: Candidate) -> float:
        seen = self._of(candidate.instance)
        load = seen.load
        cost = (max(load.inflight, seen.outstanding) + load.waiting + 1) / max(load.limit, 1)
        return cost if candidate.domain == self.domain else cost * FAR_PENALTY
