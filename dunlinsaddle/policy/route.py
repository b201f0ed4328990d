"""Which target of a service a call goes to, with views that may be stale."""

from collections.abc import Sequence
from math import exp, inf
from random import Random
from typing import NamedTuple, TypedDict

from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.relative_latency import FORGET_SECONDS, RelativeLatencies

#: Calls in a row without an answer; one or two happen at a sound target that restarts.
CONSECUTIVE_FAILURES_TO_EJECT = 3
BASE_EJECTION_SECONDS = 2.0  #: seconds; by judgement: a target that restarts is back after some
#: Seconds; by judgement, so that a target that is back is found within half a minute.
MAX_EJECTION_SECONDS = 30.0
MAX_EJECTED_SHARE = 0.5  #: never leave out a larger share of a service's targets than this
AVOID_LEAVING_SECONDS = 5.0  #: seconds; by then the news that it is leaving has reached every view
OTHER_DOMAIN_COST_FACTOR = (
    1.5  #: cost of another failure domain: a near target is left when it is half fuller
)
SAME_DOMAIN_COST_FACTOR = 1.1  #: cost of another node's target in the same domain: one hop more
ERROR_COST_WEIGHT = 4.0  #: a target that fails every call costs five times as much; by judgement
ERROR_SHARE_DECAY = 0.9  #: what one call leaves of the share of errors: some ten calls count
#: Times that a target must take as long as another before that counts, its errors included.
#: Targets of one service differ in speed by up to 2.3 by nature, and their load shows it well
#: enough; errors weigh as much from four in ten calls.
SLOW_TARGET_RATIO = 2.5
#: What a target costs at least beside one that is so much better: as if four fifths of its slots
#: were taken. By its load alone it is idle as long as it is passed over, and so is chosen again.
MIN_SLOW_TARGET_COST = 0.8
#: Seconds after which a rate is asked for anew at the latest, however small an entry's part of it.
#: Among hundreds of entries that is some tens of calls a second, of which those that the target
#: does not take go elsewhere.
MAX_RATE_AGE_SECONDS = 10.0

#: Lists of candidates that are held; a service has one at a time, and a deployment some hundred.
MAX_CACHED_LISTS = 512


class Candidate(NamedTuple):
    """A target that could take the call, by the instance of its node."""

    instance: str
    domain: str
    suspect: bool = False


class TargetReport(TypedDict):
    """What a node knows of one target, for people."""

    instance: str
    domain: str
    load: Load
    outstanding: int
    error_share: float
    left_out_for: float  #: seconds
    pace: float  #: times of its calls as a share of what such calls take; 1 is the mean


class _Seen:
    """What this node has learned of one target from its own calls."""

    __slots__ = (
        '_errors',
        '_judged_at',
        'avoid_until',
        'ejections',
        'failures',
        'load',
        'outstanding',
        'rate',
        'rate_told_at',
        'rate_use',
    )

    def __init__(self) -> None:
        self.load = Load()
        self.outstanding = 0
        self.failures = 0
        self.ejections = 0
        self.avoid_until = 0.0
        self.rate = inf  #: calls a second that it takes from all nodes
        self.rate_use = 0.0  #: the share of it that was used when it was told
        self.rate_told_at = 0.0
        self._errors = 0.0
        self._judged_at = 0.0

    def judged(self, now: float, *, failed: bool) -> None:
        self._errors = self.errors(now) * ERROR_SHARE_DECAY + (
            1 - ERROR_SHARE_DECAY if failed else 0
        )
        self._judged_at = now

    def use_of_rate(self, now: float, sender_count: int) -> float:
        """Give the share of its rate that one more call would make used, as far as known.

        A target whose rate is used up is asked again by one call after the time in which one of
        so many entries has its even part of the rate: the answer tells the rate and its use.
        Failure: a target names next to no rate, is passed over for it, and nobody hears of its
        end; or hundreds of entries, each with a call now and then, take what they heard a second
        ago for old, and half of all calls are turned away there first.
        """
        if self.rate == inf:
            return 0.0
        age = now - self.rate_told_at
        if not self.outstanding and age >= min(sender_count / self.rate, MAX_RATE_AGE_SECONDS):
            return 0.0
        return self.rate_use + (self.load.waiting + self.outstanding + 1) / self.rate

    def errors(self, now: float) -> float:
        return self._errors * exp((self._judged_at - now) / FORGET_SECONDS)


class _Usable(NamedTuple):
    """Who of a list of candidates may be given calls, as long as nothing about it changes."""

    candidates: Sequence[Candidate]  #: held here, so that no other list takes its identity
    changes: int  #: of who is left out, up to which this was worked out
    until: float  #: the first of those left out counts again then
    usable: list[Candidate]
    near: list[Candidate]  #: those in the failure domain of this node

    def holds(self, now: float, candidates: Sequence[Candidate], changes: int) -> bool:
        return candidates is self.candidates and changes == self.changes and now < self.until


class Router:
    """Two choices weighted by the load that rides back on answers, the near one preferred.

    A target that nothing is known of yet counts as a small one (``Load()``), so a fresh
    instance is given work as its answers show that it can take it.
    """

    def __init__(self, domain: str, rng: Random, instance: str = '') -> None:
        self.domain = domain
        self.rng = rng
        self.instance = instance
        self.sender_count = 1  #: nodes that may send calls to the same targets
        self._seen: dict[str, _Seen] = {}
        self._paces = RelativeLatencies()
        self._usables: dict[int, _Usable] = {}  #: by the identity of the list of candidates
        self._left_out_changes = 0

    def choose(
        self, now: float, candidates: Sequence[Candidate], tried: frozenset[str] = frozenset()
    ) -> Candidate | None:
        """Give the target for a call, never one that was tried for it already."""
        if tried:
            # A call that was sent before: few are, so it is worked out anew.
            found = self._found(now, [c for c in candidates if c.instance not in tried])
        else:
            found = self._known(now, candidates)
        usable = found.usable
        if not usable:
            return None
        first = self.rng.choice(found.near or usable)
        second = self.rng.choice(usable)
        if first is second:
            # Drawn twice, a bad one would be compared with nobody. Usual ones may be: what is
            # known of their load is renewed so.
            if self._of(first.instance).use_of_rate(now, self.sender_count) > 1:
                return min(usable, key=lambda c: self._cost(now, c))
            second = min(usable, key=lambda c: self._hardship(now, c))
            if self._hardship(now, first) <= SLOW_TARGET_RATIO * self._hardship(now, second):
                return first
        return self._better(now, first, second)

    def _better(self, now: float, first: Candidate, second: Candidate) -> Candidate:
        one, other = self._cost(now, first), self._cost(now, second)
        hard_one, hard_other = self._hardship(now, first), self._hardship(now, second)
        if hard_one > SLOW_TARGET_RATIO * hard_other:
            one = max(one, MIN_SLOW_TARGET_COST)
        elif hard_other > SLOW_TARGET_RATIO * hard_one:
            other = max(other, MIN_SLOW_TARGET_COST)
        return first if one <= other else second

    def record_sent(self, instance: str) -> None:
        """Note a call on its way."""
        self._of(instance).outstanding += 1

    def record_answer(
        self, now: float, instance: str, load: Load | None, *, error: bool = False
    ) -> None:
        """Note an answer and the load it brought; ``error`` for an answer of status 5xx.

        A target that fails at once looks idle, and would draw ever more calls: its share of
        errors raises its cost. The share fades, or a target that is left out for it would
        never get the calls that show it sound again.
        """
        seen = self._of(instance)
        seen.outstanding -= 1
        seen.failures = 0
        seen.judged(now, failed=error)
        if not error:
            seen.ejections = 0
        if load is not None:
            seen.load = load

    def record_rate(self, now: float, instance: str, rate: float | None, use: float = 0.0) -> None:
        """Note the rate that a target names and the share of it that is used; None for none."""
        seen = self._of(instance)
        seen.rate = inf if rate is None else rate
        seen.rate_use = use
        seen.rate_told_at = now

    def record_duration(
        self, now: float, instance: str, rule: str, seconds: float, *, whole: bool = True
    ) -> None:
        """Note how long a call took; unless ``whole``, its answer would have taken longer."""
        self._paces.record(now, instance, rule, seconds, whole=whole)

    def record_failure(self, now: float, instance: str) -> None:
        """Note a call that got no answer.

        Failure: a target resets most calls at once, and answers one now and then, so that it is
        never left out; it looks idle, and draws first and second tries. Its share of errors
        raises its cost. With two of three such targets 114 of 150 calls failed, then 4.
        """
        seen = self._of(instance)
        seen.outstanding -= 1
        seen.judged(now, failed=True)
        seen.failures += 1
        if seen.failures < CONSECUTIVE_FAILURES_TO_EJECT:
            return
        pause = min(BASE_EJECTION_SECONDS * 2.0**seen.ejections, MAX_EJECTION_SECONDS)
        seen.ejections += 1
        self._leave_out(seen, now + pause)

    def avoid_leaving(self, now: float, instance: str) -> None:
        """Leave a target out for a while that says it is leaving: the view is older than it."""
        self._leave_out(self._of(instance), now + AVOID_LEAVING_SECONDS)

    def _leave_out(self, seen: _Seen, until: float) -> None:
        seen.avoid_until = until
        self._left_out_changes += 1

    def forget(self, instance: str) -> None:
        """Drop what is known of an instance that has gone."""
        self._seen.pop(instance, None)
        self._paces.forget(instance)
        self._left_out_changes += 1

    def latest_load(self, instance: str) -> Load:
        """Give the load that a target's latest answer told of."""
        seen = self._seen.get(instance)
        return seen.load if seen else Load()

    def report(self, now: float, instance: str, domain: str) -> TargetReport:
        """Give what is known of a target."""
        seen = self._seen.get(instance) or _Seen()
        return TargetReport(
            instance=instance,
            domain=domain,
            load=seen.load,
            outstanding=seen.outstanding,
            error_share=round(seen.errors(now), 3),
            left_out_for=round(max(seen.avoid_until - now, 0.0), 3),
            pace=round(self._paces.ratio(now, instance), 2),
        )

    def _known(self, now: float, candidates: Sequence[Candidate]) -> '_Usable':
        """Give what was worked out for these candidates, unless something has changed since.

        Worked out for each call, it took 44 us of processor time among 71 targets, and a service
        of hundreds makes each call dearer. The dispatcher hands in the same list while its view
        stays as it is.
        """
        held = self._usables.get(id(candidates))
        if held is not None and held.holds(now, candidates, self._left_out_changes):
            return held
        if len(self._usables) >= MAX_CACHED_LISTS:
            self._usables.clear()
        ends = [self._of(c.instance).avoid_until for c in candidates]
        until = min((end for end in ends if end > now), default=inf)
        found = self._found(now, candidates)._replace(until=until)
        self._usables[id(candidates)] = found
        return found

    def _found(self, now: float, candidates: Sequence[Candidate]) -> '_Usable':
        usable = self._usable(now, candidates)
        near = [c for c in usable if c.domain == self.domain]
        return _Usable(candidates, self._left_out_changes, now, usable, near)

    def _usable(self, now: float, left: Sequence[Candidate]) -> list[Candidate]:
        """Leave out suspects and the ejected, but never too many of them.

        When most targets fail alike the cause is this node, the network or the request, and
        ejecting them would push all load onto the few that are left.
        """
        good = [c for c in left if not c.suspect and self._of(c.instance).avoid_until <= now]
        fewest = len(left) * (1 - MAX_EJECTED_SHARE)
        if good and len(good) >= fewest:
            return good
        ordered = sorted(left, key=lambda c: (c.suspect, self._of(c.instance).avoid_until))
        return ordered[: max(round(fewest), len(good), 1)]

    def _hardship(self, now: float, candidate: Candidate) -> float:
        """Give how long a call takes there, as a share of the mean, tries that fail included."""
        errors = self._of(candidate.instance).errors(now)
        return self._paces.ratio(now, candidate.instance) * (1 + ERROR_COST_WEIGHT * errors)

    def _of(self, instance: str) -> _Seen:
        seen = self._seen.get(instance)
        if seen is None:
            seen = self._seen[instance] = _Seen()
        return seen

    def _cost(self, now: float, candidate: Candidate) -> float:
        seen = self._of(candidate.instance)
        load = seen.load
        cost = (max(load.inflight, seen.outstanding) + load.waiting + 1) / max(load.limit, 1)
        cost = max(cost, seen.use_of_rate(now, self.sender_count))
        cost *= 1 + ERROR_COST_WEIGHT * seen.errors(now)
        if candidate.instance == self.instance:
            return cost
        return cost * (
            SAME_DOMAIN_COST_FACTOR if candidate.domain == self.domain else OTHER_DOMAIN_COST_FACTOR
        )
