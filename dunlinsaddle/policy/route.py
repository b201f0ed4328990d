"""Choice of the target of a service for a call, from membership views that may be stale."""

from collections.abc import Sequence
from math import exp, inf
from random import Random
from typing import NamedTuple, TypedDict

from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.relative_latency import DECAY_SECONDS, RelativeLatencies
from dunlinsaddle.policy.target_speed import TargetSpeed, TargetSpeeds

#: One or two consecutive calls without an answer also happen at a healthy target that restarts.
CONSECUTIVE_FAILURES_TO_EJECT = 3
#: Pause after the first ejection, doubled by each further one: a restart takes about as long.
BASE_EJECTION_SECONDS = 2.0
#: Bounds the pause, so that a target that has recovered is used again within half a minute.
MAX_EJECTION_SECONDS = 30.0
MAX_EJECTED_SHARE = 0.5  #: largest share of a service's targets that may be ejected at once
AVOID_LEAVING_SECONDS = 5.0  #: within this time every membership view shows the target as leaving
#: Cost of a target in another failure domain relative to one on this node: calls cross to another
#: domain when the nearer target is half as full again.
OTHER_DOMAIN_COST_FACTOR = 1.5
SAME_DOMAIN_COST_FACTOR = 1.1  #: cost of another node's target in the same domain: one more hop
ERROR_COST_WEIGHT = 4.0  #: the cost of a target that fails every call is five times as high
ERROR_SHARE_DECAY = 0.9  #: moving average over about ten calls
#: Ratio of expected latencies, failed attempts included, above which a target counts as slow.
#: Healthy targets of one service differ by up to 2.3, which their reported load reflects well
#: enough. An error share of 0.4 alone also exceeds the ratio.
SLOW_TARGET_RATIO = 2.5
#: Minimum cost of a slow target compared with a faster one, as if four fifths of its slots were in
#: use. By load alone a slow target looks idle while it gets no calls, and would be chosen again.
MIN_SLOW_TARGET_COST = 0.8
#: Cost in seconds of the network path to a target in the same and in another failure domain, added
#: to its expected completion time: the delay there and back.
SAME_DOMAIN_PATH_SECONDS = 0.0005
OTHER_DOMAIN_PATH_SECONDS = 0.003
#: Cost of a call to another domain relative to its expected completion time. Bytes between domains
#: cost money, and equal targets would exchange calls whenever their reported figures differ.
OTHER_DOMAIN_TIME_FACTOR = 1.2
#: The same while the nearer target has free slots. Calls wait nowhere then, and a target that is
#: somewhat slower still answers in time.
OTHER_DOMAIN_IDLE_FACTOR = 1.8
IDLE_LOAD_SHARE = 0.6  #: load as a share of the limit up to which a target has free slots
#: Weight of a target's load, as a share of its limit, in its expected completion time. A reported
#: wait shows only queues that were there already, and expires before a load does.
LOAD_TIME_WEIGHT = 0.5
#: Age after which a target's rate is asked for again, however small this node's part of the rate.
#: With hundreds of sending nodes these are some tens of calls per second, and the calls that the
#: target refuses go to other targets.
MAX_RATE_AGE_SECONDS = 10.0

#: Bounds the cache of usable candidates; a deployment needs some hundred lists, one per service.
MAX_CACHED_LISTS = 512


class Candidate(NamedTuple):
    """A target that could take the call, identified by the instance of its node."""

    instance: str
    domain: str
    suspect: bool = False


class TargetReport(TypedDict):
    """What a node knows about one target, for operators."""

    instance: str
    domain: str
    load: Load
    outstanding: int
    error_share: float
    left_out_for: float  #: seconds
    pace: float  #: duration of its calls relative to the mean of all targets; 1 is the mean
    service_seconds: float | None  #: expected from the speed that it reports; None if it does not
    wait_seconds: float | None  #: the same of the wait in its queue
    warmup_share: float  #: share of its usual calls that it gets while it warms up
    load_age: float | None  #: seconds since it was reported, None if it never was


class _TargetStats:
    """Statistics about one target, from the calls that this node has sent to it."""

    __slots__ = (
        '_error_share',
        '_error_share_at',
        'avoid_until',
        'failures',
        'load',
        'load_at',
        'outstanding',
        'pause',
        'rate',
        'rate_told_at',
        'rate_use',
    )

    def __init__(self) -> None:
        self.load = Load()
        self.load_at = -inf
        self.outstanding = 0
        self.failures = 0
        self.pause = 0.0  #: seconds of the latest ejection, 0 after a success
        self.avoid_until = 0.0
        self.rate = inf  #: calls per second that the target admits from all nodes together
        self.rate_use = 0.0  #: share of the rate in use when the target reported it
        self.rate_told_at = 0.0  #: time of the last report of the rate
        self._error_share = 0.0
        self._error_share_at = 0.0

    def record_outcome(self, now: float, *, failed: bool) -> None:
        self._error_share = self.error_share(now) * ERROR_SHARE_DECAY + (
            1 - ERROR_SHARE_DECAY if failed else 0
        )
        self._error_share_at = now

    def load_share(self) -> float:
        """Return the load with one more call as a share of the limit."""
        load = self.load
        return (max(load.inflight, self.outstanding) + load.waiting + 1) / max(load.limit, 1)

    def rate_use_after_call(self, now: float, sender_count: int) -> float:
        """Return the estimated share of the target's rate in use after one more call.

        When the report is so old that this node's equal part of the rate allows one call, return
        0: the response to that call contains the current rate and its use. Without this rule a
        target that once reported a rate near zero would never be called again, and this node would
        not learn that the limit has ended. The age depends on the number of senders: when each of
        hundreds of senders considered a report outdated after a second, the target refused half of
        all calls.
        """
        if self.rate == inf:
            return 0.0
        age = now - self.rate_told_at
        if not self.outstanding and age >= min(sender_count / self.rate, MAX_RATE_AGE_SECONDS):
            return 0.0
        return self.rate_use + (self.load.waiting + self.outstanding + 1) / self.rate

    def error_share(self, now: float) -> float:
        return self._error_share * exp((self._error_share_at - now) / DECAY_SECONDS)


class _CandidateSelection(NamedTuple):
    """The usable part of a list of candidates, valid until an exclusion changes or expires."""

    candidates: Sequence[Candidate]  #: kept alive here, so that no other list gets the same id()
    exclusion_version: int  #: the router's version when this selection was made
    until: float  #: time at which the first exclusion expires
    usable: list[Candidate]
    same_domain: list[Candidate]  #: the usable candidates in this node's failure domain

    def is_valid(self, now: float, candidates: Sequence[Candidate], exclusion_version: int) -> bool:
        return (
            candidates is self.candidates
            and exclusion_version == self.exclusion_version
            and now < self.until
        )


class Router:
    """Chooses the cheaper of two random targets, by what their responses reported.

    If both reported their speed, the one with the lower expected completion time is chosen, the
    network path included; otherwise the one with the lower load. One of the two comes from this
    node's failure domain if possible. A target without a reported load counts as small
    (``Load()``): a new instance gets more calls as its responses show that it has the capacity.
    """

    def __init__(self, domain: str, rng: Random, instance: str = '') -> None:
        self.domain = domain
        self.rng = rng
        self.instance = instance
        self.sender_count = 1  #: nodes that may send calls to the same targets
        self._stats: dict[str, _TargetStats] = {}
        self._relative_latencies = RelativeLatencies()
        self._speeds = TargetSpeeds()
        self._selections: dict[int, _CandidateSelection] = {}  #: by id() of the list of candidates
        self._exclusion_version = 0
        self._epochs: dict[str, int] = {}

    def choose(
        self,
        now: float,
        candidates: Sequence[Candidate],
        tried: frozenset[str] = frozenset(),
        rule: str = '',
    ) -> Candidate | None:
        """Return the target for a call of ``rule``, or None if no untried candidate is left."""
        if tried:
            # Only resends have tried targets. They are rare, so the selection is not cached.
            selection = self._select(now, [c for c in candidates if c.instance not in tried])
        else:
            selection = self._cached_selection(now, candidates)
        usable = selection.usable
        if not usable:
            return None
        first = self.rng.choice(selection.same_domain or usable)
        second = self.rng.choice(usable)
        if first is second and self._reports_speed(first):
            # With one target in each domain, a slow one would keep a third of its domain's calls.
            second = self.rng.choice(usable)
        if first is second:
            # Without a comparison, a slow or rate-limited target would be chosen as well. A target
            # of normal speed is used, and its response renews its reported load.
            if self._stats_of(first.instance).rate_use_after_call(now, self.sender_count) > 1:
                return min(usable, key=lambda c: self._cost(now, c))
            second = min(usable, key=lambda c: self._expected_latency(now, c))
            if self._expected_latency(now, first) <= SLOW_TARGET_RATIO * self._expected_latency(
                now, second
            ):
                return first
        return self._cheaper(now, first, second, rule)

    def _cheaper(self, now: float, first: Candidate, second: Candidate, rule: str) -> Candidate:
        if self._reports_speed(first) and self._reports_speed(second):
            return self._sooner(now, first, second, rule)
        first_cost, second_cost = self._cost(now, first), self._cost(now, second)
        first_latency, second_latency = (
            self._expected_latency(now, first),
            self._expected_latency(now, second),
        )
        if first_latency > SLOW_TARGET_RATIO * second_latency:
            first_cost = max(first_cost, MIN_SLOW_TARGET_COST)
        elif second_latency > SLOW_TARGET_RATIO * first_latency:
            second_cost = max(second_cost, MIN_SLOW_TARGET_COST)
        return first if first_cost <= second_cost else second

    def _reports_speed(self, candidate: Candidate) -> bool:
        """Return whether a target reports its speed, and no rate limit that counts before it."""
        is_limited = self._stats_of(candidate.instance).rate < inf
        return candidate.instance in self._speeds and not is_limited

    def _sooner(self, now: float, first: Candidate, second: Candidate, rule: str) -> Candidate:
        """Return the target with the lower expected completion time.

        While a target warms up, a part of the calls that it would get goes to the other one,
        unless that one is slower by more than the inverse of the warming target's share.
        """
        first_seconds = self._completion_seconds(now, first, rule)
        second_seconds = self._completion_seconds(now, second, rule)
        if second.domain != self.domain and self._has_free_slots_nearby(first):
            second_seconds *= OTHER_DOMAIN_IDLE_FACTOR / OTHER_DOMAIN_TIME_FACTOR
        if second_seconds < first_seconds:
            first, second = second, first
            first_seconds, second_seconds = second_seconds, first_seconds
        share = self._speeds.warmup_share(now, first.instance)
        if share < 1 and second_seconds * share <= first_seconds and self.rng.random() >= share:
            return second
        return first

    def _has_free_slots_nearby(self, candidate: Candidate) -> bool:
        load_share = self._stats_of(candidate.instance).load_share()
        return candidate.domain == self.domain and load_share < IDLE_LOAD_SHARE

    def _completion_seconds(self, now: float, candidate: Candidate, rule: str) -> float:
        """Return the expected seconds until a call is answered, with the cost of its path."""
        stats = self._stats_of(candidate.instance)
        service, wait = self._speeds.expected(now, candidate.instance, rule)
        seconds = service * (1 + LOAD_TIME_WEIGHT * stats.load_share()) + wait
        seconds += self._speeds.unexplained_seconds(now, candidate.instance, service)
        seconds *= 1 + ERROR_COST_WEIGHT * stats.error_share(now)
        if candidate.instance == self.instance:
            return seconds
        if candidate.domain == self.domain:
            return seconds + SAME_DOMAIN_PATH_SECONDS
        return seconds * OTHER_DOMAIN_TIME_FACTOR + OTHER_DOMAIN_PATH_SECONDS

    def record_sent(self, instance: str) -> None:
        """Count a call that is being sent to a target."""
        self._stats_of(instance).outstanding += 1

    def record_unsent(self, instance: str) -> None:
        """Record that a call was not sent for a reason that has nothing to do with its target."""
        self._stats_of(instance).outstanding -= 1

    def record_answer(
        self,
        now: float,
        instance: str,
        load: Load | None,
        *,
        error: bool = False,
        rule: str = '',
        speed: TargetSpeed | None = None,
    ) -> None:
        """Record a response and the load and speed it reports.

        ``error`` is set for a response of status 5xx, ``rule`` is the rule of the call.

        A target that fails immediately looks idle and would attract ever more calls, so its
        share of errors raises its cost. The share decays over time: otherwise a target avoided
        for its errors would never get the calls that show its recovery.
        """
        stats = self._stats_of(instance)
        stats.outstanding -= 1
        stats.failures = 0
        stats.record_outcome(now, failed=error)
        if not error:
            stats.pause = 0.0
        if load is not None:
            stats.load = load
            # A reply without a load is not of the target's node and says nothing of its speed.
            self._speeds.record(now, instance, rule, speed)
            stats.load_at = now

    def record_rate(
        self, now: float, instance: str, rate: float | None, used_share: float = 0.0
    ) -> None:
        """Record the rate limit that a target reports, None for no limit, and the share in use."""
        stats = self._stats_of(instance)
        stats.rate = inf if rate is None else rate
        stats.rate_use = used_share
        stats.rate_told_at = now

    def record_duration(
        self, now: float, instance: str, rule: str, seconds: float, *, completed: bool = True
    ) -> None:
        """Record how long a call took; one not ``completed`` would have taken longer."""
        self._relative_latencies.record(now, instance, rule, seconds, completed=completed)
        self._speeds.record_duration(now, instance, rule, seconds, completed=completed)

    def record_failure(self, now: float, instance: str) -> None:
        """Record a call that got no response, and eject the target after several in a row.

        A target that resets most calls immediately but answers one now and then is never
        ejected. It looks idle and attracts first and second attempts, so its share of errors
        raises its cost: with two of three such targets that reduces failures from 114 to 4 of
        150 calls.
        """
        stats = self._stats_of(instance)
        stats.outstanding -= 1
        stats.record_outcome(now, failed=True)
        stats.failures += 1
        if stats.failures < CONSECUTIVE_FAILURES_TO_EJECT:
            return
        # The pause is doubled from the last one: as a power of a count that only grows, it is out
        # of range after a thousand ejections.
        stats.pause = min(max(2 * stats.pause, BASE_EJECTION_SECONDS), MAX_EJECTION_SECONDS)
        self._exclude(stats, now + stats.pause)

    def avoid_leaving(self, now: float, instance: str) -> None:
        """Exclude a target that reports that it is leaving, before the view shows it."""
        self._exclude(self._stats_of(instance), now + AVOID_LEAVING_SECONDS)

    def _exclude(self, stats: _TargetStats, until: float) -> None:
        stats.avoid_until = until
        self._exclusion_version += 1

    @property
    def latencies(self) -> RelativeLatencies:
        """The latency of each target relative to the others."""
        return self._relative_latencies

    def forget(self, instance: str) -> None:
        """Drop the statistics of an instance that is gone, or whose target has restarted."""
        self._stats.pop(instance, None)
        self._relative_latencies.forget(instance)
        self._speeds.forget(instance)
        self._exclusion_version += 1
        self._epochs[instance] = self.epoch(instance) + 1

    def epoch(self, instance: str) -> int:
        """Return how often the statistics of an instance were dropped.

        The result of a call that was sent in an earlier epoch must not be recorded: it is about
        the former target, and the call is no longer counted as outstanding.
        """
        return self._epochs.get(instance, 0)

    def latest_load(self, instance: str) -> Load:
        """Return the load that the target's latest response reported."""
        stats = self._stats.get(instance)
        return stats.load if stats else Load()

    def report(self, now: float, instance: str, domain: str) -> TargetReport:
        """Return what this node knows about a target."""
        stats = self._stats.get(instance) or _TargetStats()
        is_reported = instance in self._speeds
        service, wait = self._speeds.expected(now, instance, '')
        return TargetReport(
            instance=instance,
            domain=domain,
            load=stats.load,
            outstanding=stats.outstanding,
            error_share=round(stats.error_share(now), 3),
            left_out_for=round(max(stats.avoid_until - now, 0.0), 3),
            pace=round(self._relative_latencies.ratio(now, instance), 2),
            service_seconds=round(service, 4) if is_reported else None,
            wait_seconds=round(wait, 4) if is_reported else None,
            warmup_share=round(self._speeds.warmup_share(now, instance), 2),
            load_age=None if stats.load_at == -inf else round(now - stats.load_at, 3),
        )

    def _cached_selection(
        self, now: float, candidates: Sequence[Candidate]
    ) -> '_CandidateSelection':
        """Return the usable part of a list of candidates, computed anew only if outdated.

        Without the cache each call spends 44 us of processor time with 71 targets, and more with
        more targets. The dispatcher passes the same list until its membership view changes.
        """
        cached = self._selections.get(id(candidates))
        if cached is not None and cached.is_valid(now, candidates, self._exclusion_version):
            return cached
        if len(self._selections) >= MAX_CACHED_LISTS:
            self._selections.clear()
        exclusion_ends = [self._stats_of(c.instance).avoid_until for c in candidates]
        until = min((end for end in exclusion_ends if end > now), default=inf)
        selection = self._select(now, candidates)._replace(until=until)
        self._selections[id(candidates)] = selection
        return selection

    def _select(self, now: float, candidates: Sequence[Candidate]) -> '_CandidateSelection':
        usable = self._usable(now, candidates)
        same_domain = [c for c in usable if c.domain == self.domain]
        return _CandidateSelection(candidates, self._exclusion_version, now, usable, same_domain)

    def _usable(self, now: float, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates neither suspected nor excluded, or the best ones if too few remain.

        When most targets fail, the cause is this node, the network or the request, and ejecting
        them all would direct the whole load to the few that remain.
        """
        available = [
            c for c in candidates if not c.suspect and self._stats_of(c.instance).avoid_until <= now
        ]
        min_count = len(candidates) * (1 - MAX_EJECTED_SHARE)
        if available and len(available) >= min_count:
            return available
        ordered = sorted(
            candidates, key=lambda c: (c.suspect, self._stats_of(c.instance).avoid_until)
        )
        return ordered[: max(round(min_count), len(available), 1)]

    def _expected_latency(self, now: float, candidate: Candidate) -> float:
        """Return the duration of a call relative to the mean, including failed attempts."""
        error_share = self._stats_of(candidate.instance).error_share(now)
        return self._relative_latencies.ratio(now, candidate.instance) * (
            1 + ERROR_COST_WEIGHT * error_share
        )

    def _stats_of(self, instance: str) -> _TargetStats:
        stats = self._stats.get(instance)
        if stats is None:
            stats = self._stats[instance] = _TargetStats()
        return stats

    def _cost(self, now: float, candidate: Candidate) -> float:
        stats = self._stats_of(candidate.instance)
        cost = max(stats.load_share(), stats.rate_use_after_call(now, self.sender_count))
        cost *= 1 + ERROR_COST_WEIGHT * stats.error_share(now)
        if candidate.instance == self.instance:
            return cost
        return cost * (
            SAME_DOMAIN_COST_FACTOR if candidate.domain == self.domain else OTHER_DOMAIN_COST_FACTOR
        )
