"""Admitted priority levels: those of one target, and those of the services that a call depends on.

Level 0 is the most important one. A level is open if its calls are admitted, else closed.
"""

import math
from bisect import bisect_right
from collections import deque
from itertools import accumulate
from math import exp
from typing import NamedTuple

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.context import LOWEST_LEVEL, SLOTS_PER_RANK
from dunlinsaddle.policy.demand_trend import MIN_DEMAND_RATIO, DemandTrend
from dunlinsaddle.policy.learned_state import KnownLevel
from dunlinsaddle.policy.retry_after import apply_jitter
from dunlinsaddle.policy.sliding_minimum import SlidingMinimum

MIN_AVERAGING_SECONDS = 0.2  #: shortest averaging time of demand; see AVERAGED_CALLS
MAX_AVERAGING_SECONDS = 0.5  #: longest averaging time; forgets a surge within one second
AVERAGED_CALLS = 150.0  #: calls to average over, enough to know a share to within 10 %
UPDATE_INTERVAL_SECONDS = 0.1
LEVEL_STEP_SHARE = 0.5  #: share of the distance to the wanted level covered in one update
SEVERE_OVERLOAD_RATIO = 1.5  #: demand over capacity from which the level falls in one step
MAX_OPENING_STEP = 64  #: levels that are opened in one update at most
MIN_STEADY_LEVELS = 4  #: open levels needed to estimate the demand of the others
IDLE_SECONDS_TO_OPEN = 0.05  #: idle time of the target that is not random variation
STEADY_SECONDS = 0.8  #: seconds after which the full demand of an opened level arrives
DROP_WINDOW_UPDATES = 3  #: updates over which a drop is measured; one is often random variation
#: Standard errors by which a drop is significant. By chance about one check in 3,000 exceeds them,
#: and then for several updates.
DROP_STANDARD_ERRORS = 3.0
CLOSED_DEMAND_DECAY_SECONDS = 1.0  #: time constant of the remembered demand of closed levels
REPORTED_LEVEL_WEIGHT = 0.25  #: weight of one reported level; some four of them count
STALE_AFTER_SECONDS = 0.5  #: seconds without a report after which a known level reopens
REOPEN_LEVELS_PER_SECOND = 256.0
#: Retry-After of an early refusal, as a share of the time for which an answer is useful. The rest
#: is left for the retry, which takes a fifth to a third of the time when it is admitted.
RETRY_AFTER_SHARE = 0.5
MAX_RETRY_AFTER_SECONDS = 8.0  #: an overload is mostly over by then
CLOSED_LEVEL = -1.0  #: the level of a service that admits nothing
CALL_EDGE_TTL_SECONDS = 30.0  #: seconds for which a rule counts as calling a service


class AdmittedLevel:
    """The level up to which demand fills a target's capacity, from the demand at each level.

    All targets of a chain order requests in the same way. So this one number, reported upstream,
    lets each hop refuse the requests that this target would refuse. Requests refused upstream do
    not arrive here; their demand is estimated from that of the open levels, so that the level
    opens by as much as the spare capacity can take.
    """

    def __init__(self, utilisation: float = 1.0) -> None:
        self.utilisation = utilisation  #: share of the capacity to fill
        self.level = float(LOWEST_LEVEL)
        self.demand = 0.0  #: calls a second, over all levels
        self._averaging_seconds = MIN_AVERAGING_SECONDS
        self._counts = [0.0] * (LOWEST_LEVEL + 1)  #: decayed number of arrivals by level
        self._estimates = [0.0] * (LOWEST_LEVEL + 1)  #: the same, with refused upstream included
        self._cumulative: list[float] = []  #: calls of all more important levels, by level
        self._capacity_calls = 0.0  #: calls that the capacity takes in the averaging window
        self._updated_at = 0.0
        self._recent_minimum = SlidingMinimum(STEADY_SECONDS)
        self._steady_end = 0  #: levels below it have been open for ``STEADY_SECONDS``
        self._steady_arrivals = 0.0  #: calls of these levels since the last update
        #: Arrivals of the steady levels and their expected number, per update.
        self._steady_history: deque[tuple[float, float]] = deque(maxlen=DROP_WINDOW_UPDATES)

    def record_arrival(self, level: int, amount: float = 1.0) -> None:
        """Count a call that asks for admission; ``amount`` is its size in average calls."""
        self._counts[level] += amount
        if level < self._steady_end:
            self._steady_arrivals += amount

    def update(self, now: float, capacity: float, idle: float = 0.0) -> None:
        """Recompute the level if the update interval has passed.

        ``capacity`` is in calls a second, 0 if unknown; ``idle`` is the number of seconds for
        which the target has had free capacity and an empty queue.
        """
        elapsed = now - self._updated_at
        if elapsed < UPDATE_INTERVAL_SECONDS:
            return
        self._updated_at = now
        decay = exp(-elapsed / self._averaging_seconds)
        # A steady demand of r calls a second adds up to r x elapsed / (1 - decay) calls. That is
        # 10 % more than r x averaging time at the longest averaging time and 25 % more at the
        # shortest. Without the correction, so much of a just sufficient capacity would stay unused.
        window = elapsed / (1 - decay)
        self._discard_ended_surge(elapsed, window)
        self.demand = sum(self._counts) / window
        self._estimate_closed_levels(elapsed)
        if idle > IDLE_SECONDS_TO_OPEN:
            # The estimated demand was too high; if too many calls come now, the queue absorbs them.
            self.level = float(LOWEST_LEVEL)
        elif capacity > 0:
            self._move_level(capacity * self.utilisation * window)
        self._cumulative = list(accumulate(self._counts, initial=0.0))
        self._capacity_calls = capacity * window
        if capacity > 0:
            self._adapt_averaging(capacity)
        self._counts = [count * decay for count in self._counts]

    def capacity_share_for(self, level: int) -> float:
        """Return the share of capacity that more important levels leave; 1 if unknown."""
        if not self._cumulative or self._capacity_calls <= 0:
            return 1.0
        return max(1 - self._cumulative[level] / self._capacity_calls, 0.0)

    def _discard_ended_surge(self, elapsed: float, window: float) -> None:
        """Scale the counts down once demand has certainly fallen.

        Otherwise callers are refused for seconds after the end of a surge, until the counts have
        decayed. No requests of the steady levels are refused upstream, so a drop in their arrivals
        is a drop of the whole demand. After a surge of ten times the capacity, with demand then
        equal to capacity, the level took 0.5 s to open, and 2.5 s without this (paused clock).
        """
        expected_rate = sum(self._counts[: self._steady_end]) / window
        self._steady_history.append((self._steady_arrivals, expected_rate * elapsed))
        self._steady_arrivals = 0.0
        arrivals = sum(arrived for arrived, _ in self._steady_history)
        expected = sum(usual for _, usual in self._steady_history)
        if (
            len(self._steady_history) < DROP_WINDOW_UPDATES
            or arrivals >= expected - DROP_STANDARD_ERRORS * expected**0.5
        ):
            return
        ratio = max(arrivals / expected, MIN_DEMAND_RATIO)
        self._counts = [count * ratio for count in self._counts]
        self._estimates = [count * ratio for count in self._estimates]
        self._steady_history.clear()

    def _adapt_averaging(self, capacity: float) -> None:
        """Average over enough calls that random variation moves the level little."""
        wanted = AVERAGED_CALLS / capacity
        averaging_seconds = min(max(wanted, MIN_AVERAGING_SECONDS), MAX_AVERAGING_SECONDS)
        scale = averaging_seconds / self._averaging_seconds
        if 0.8 < scale < 1.25:
            return
        self._averaging_seconds = averaging_seconds
        self._counts = [count * scale for count in self._counts]
        self._estimates = [count * scale for count in self._estimates]

    def _estimate_closed_levels(self, elapsed: float) -> None:
        """Estimate the demand of closed levels from that of the open levels of their rank.

        Requests refused upstream do not arrive here. The hash spreads the demand of a rank evenly
        over its levels, so the steady levels show the demand of the others, without a memory that
        would be slow to forget a surge. A rank without open levels has no steady ones; its last
        known demand is used, decaying over ``CLOSED_DEMAND_DECAY_SECONDS``.
        """
        end = int(self.level) + 1
        steady = int(min(self._recent_minimum.update(self._updated_at, self.level), self.level)) + 1
        self._steady_end = steady
        start = steady // SLOTS_PER_RANK * SLOTS_PER_RANK
        rank_end = start + SLOTS_PER_RANK
        decay = exp(-elapsed / CLOSED_DEMAND_DECAY_SECONDS)
        decayed = [max(c, e * decay) for c, e in zip(self._counts, self._estimates, strict=True)]
        self._estimates = self._counts[:end] + decayed[end:]
        if steady - start < MIN_STEADY_LEVELS:
            self._estimates[steady:end] = decayed[steady:end]
            return
        density = sum(self._counts[start:steady]) / (steady - start)
        self._estimates[steady:rank_end] = [density] * (rank_end - steady)
        if end > rank_end:
            self._estimates[rank_end:end] = decayed[rank_end:end]

    def _move_level(self, capacity_calls: float) -> None:
        """Move the level towards where demand fills ``capacity_calls`` of the averaging window."""
        wanted = _level_at(self._estimates, capacity_calls)
        if sum(self._counts) > capacity_calls * SEVERE_OVERLOAD_RATIO:
            self.level = min(_level_at(self._counts, capacity_calls), self.level)
        step = min(LEVEL_STEP_SHARE * (wanted - self.level), MAX_OPENING_STEP)
        self.level = min(max(self.level + step, 0.0), LOWEST_LEVEL)


def _level_at(counts: list[float], capacity_calls: float) -> float:
    """Return the level, with a fraction, up to which the counts add up to ``capacity_calls``."""
    totals = list(accumulate(counts))
    level = bisect_right(totals, capacity_calls)
    if level == len(totals):
        return float(LOWEST_LEVEL)
    before = totals[level - 1] if level else 0.0
    return level - 1 + (capacity_calls - before) / (totals[level] - before)


class ReportedLevel(NamedTuple):
    """An admitted level as reported: its service, and the time since a target confirmed it."""

    level: float
    age: float = 0.0  #: seconds
    service: str = ''  #: the service that admits it; empty for the service that was called


class _KnownLevel:
    """The moving average of the level of one service, and when it was last confirmed."""

    __slots__ = ('confirmed', 'level')

    def __init__(self, level: float, confirmed: float) -> None:
        self.level = level
        self.confirmed = confirmed  #: time at which a target last confirmed the level


class ChainLevels:
    """The levels that other services admit, as known to this node.

    A level that is not refreshed reopens by itself: if all calls to a service are refused early,
    no response arrives that reports the end of the overload. The age of a level is passed on with
    it. Otherwise services that call each other in a circle would confirm a low level to each other
    long after its target admits more again.
    """

    def __init__(self) -> None:
        self._levels: dict[str, _KnownLevel] = {}
        #: For each service and rule, the services that limit it and when each last did.
        self._limiting_services: dict[tuple[str, str], dict[str, float]] = {}
        #: For each local rule, the services and rules that it calls and when each was last called.
        self._called_rules: dict[str, dict[tuple[str, str], float]] = {}
        self._partial_credit = 0.0  #: fraction of the next request of a partly open level
        self._trend = DemandTrend()
        self._refusals = 0

    def record_response(self, now: float, service: str, rule: str, reported: ReportedLevel) -> None:
        """Record the level that came with a response; those of all targets are averaged.

        The level is stored for the service that admits it, whichever rule reported it. Otherwise
        an entry that gets three views a second regards the level from the last view as stale and
        admits all views, while dozens of lookups report that the service below is full. At 1.3
        times the capacity that served 0.83 of the lookups and 0.49 of the views in time, although
        a view costs four lookups; storing it by service gives 0.87 and 0.44 (simulated).
        """
        source = reported.service or service
        self._limiting_services.setdefault((service, rule), {})[source] = now
        self.record_level(now, source, reported)

    def record_level(self, now: float, source: str, reported: ReportedLevel) -> None:
        """Record a level that a target of a service admits, from a response or a message.

        Messages are needed where few requests arrive: an entry that gets three requests a second
        and refuses them early receives no responses, regards the level as stale, opens, and admits
        requests that fail further down.
        """
        known = self._levels.get(source)
        if known is None or known.level <= CLOSED_LEVEL:
            # A closed level is no measurement. Averaged with it, the first reports of targets that
            # have just been announced would leave most requests refused.
            self._levels[source] = _KnownLevel(reported.level, now - reported.age)
            return
        known.level = _reopened_level(known, now)
        known.level += REPORTED_LEVEL_WEIGHT * (reported.level - known.level)
        known.confirmed = max(now - reported.age, known.confirmed)

    def record_unavailable(self, now: float, service: str, rule: str) -> None:
        """Record that a service has no target; it counts as closed until the level is stale."""
        self._limiting_services.setdefault((service, rule), {})[service] = now
        self._levels[service] = _KnownLevel(CLOSED_LEVEL, now)

    def record_restart(self, now: float, service: str) -> None:
        """Record that the only target of a service has restarted; it counts as open."""
        if service in self._levels:
            self._levels[service] = _KnownLevel(LOWEST_LEVEL, now)

    def snapshot(self, now: float) -> list[KnownLevel]:
        """Return the levels that still hold and refuse something, the latest first."""
        levels = [
            KnownLevel(service, rule, source, known.level, max(now - known.confirmed, 0.0))
            for (service, rule), sources in self._limiting_services.items()
            for source in sources
            if (known := self._levels[source]).level < LOWEST_LEVEL
            and now - known.confirmed <= STALE_AFTER_SECONDS
        ]
        return sorted(levels, key=lambda entry: entry.age)

    def restore(self, now: float, levels: list[KnownLevel], age: float) -> int:
        """Take over levels of unknown services, ``age`` seconds old; return their number.

        A closed level is not taken over: it says that the other node knew no target.
        """
        unknown = [
            entry for entry in levels if entry.source not in self._levels and entry.level >= 0
        ]
        for entry in unknown:
            self._limiting_services.setdefault((entry.service, entry.rule), {})[entry.source] = now
            confirmed = now - entry.age - age
            self._levels[entry.source] = _KnownLevel(entry.level, confirmed)
        return len(unknown)

    def record_available(self, now: float, service: str) -> None:
        """Record that a target of a service is known: the service no longer counts as closed.

        Guards against this failure: all nodes restart, and each request that finds no target closes
        the service for half a second. Requests are then refused although targets are announced.
        """
        known = self._levels.get(service)
        if known is not None and known.level <= CLOSED_LEVEL:
            self._levels[service] = _KnownLevel(LOWEST_LEVEL, now)

    def record_call(self, now: float, parent_rule: str, service: str, rule: str) -> None:
        """Record that the local target calls a service while it works on a rule."""
        self._called_rules.setdefault(parent_rule, {})[service, rule] = now

    def lowest_in_chain(self, now: float, rule: str, own: ReportedLevel) -> ReportedLevel:
        """Return the lowest of the own level and those of all services that a rule calls.

        If all are equally open, the last called service is reported, so that the hops above learn
        that it is open.
        """
        lowest = own
        for (service, called_rule), called_at in self._called_rules.get(rule, {}).items():
            if now - called_at > CALL_EDGE_TTL_SECONDS:
                continue
            below = self._lowest_level(now, service, called_rule)
            if below is not None and below.level <= lowest.level:
                lowest = below
        return lowest

    def admitted_level(self, now: float, service: str, rule: str) -> float:
        """Return the level that a service admits for a rule; ``LOWEST_LEVEL`` if unknown."""
        lowest = self._lowest_level(now, service, rule)
        return LOWEST_LEVEL if lowest is None else lowest.level

    def known_levels(self, now: float) -> dict[str, ReportedLevel]:
        """Return the level of each service that reported one, with its age."""
        return {
            name: ReportedLevel(_reopened_level(known, now), max(now - known.confirmed, 0.0), name)
            for name, known in self._levels.items()
        }

    def _lowest_level(self, now: float, service: str, rule: str) -> ReportedLevel | None:
        lowest: ReportedLevel | None = None
        for source, limited_at in self._limiting_services.get((service, rule), {}).items():
            if now - limited_at > CALL_EDGE_TTL_SECONDS:
                continue
            known = self._levels[source]
            level = _reopened_level(known, now)
            if lowest is None or level < lowest.level:
                lowest = ReportedLevel(level, max(now - known.confirmed, 0.0), source)
        return lowest

    def check(
        self,
        now: float,
        service: str,
        rule: str,
        level: int,
        hop: int = 0,
        useful_seconds: float = math.inf,
    ) -> Failure | None:
        """Return the refusal of a request that would be refused further down, else None.

        ``useful_seconds`` is how long an answer keeps its full value. The Retry-After is short
        enough for one more attempt within that time.

        Only the entry refuses early. A level changes while a request is in flight; refusing by it
        at a later hop would waste the work of all hops before, and a chain of eleven hops would
        lose a few requests at each.
        """
        if hop:
            return None
        self._trend.record_arrival(now)
        admitted = _raised_after_drop(
            self.admitted_level(now, service, rule), self._trend.demand_ratio(now)
        )
        if level <= admitted or self._admits_partly(level - admitted):
            return None
        excess = level / max(admitted, 1.0)
        return self.refuse(useful_seconds, min(1.0 + excess, MAX_RETRY_AFTER_SECONDS))

    def refuse(
        self, useful_seconds: float, max_seconds: float = MAX_RETRY_AFTER_SECONDS
    ) -> Failure:
        """Return an early refusal whose Retry-After leaves time for one more attempt.

        ``max_seconds`` bounds the Retry-After time in seconds, before jitter.
        """
        self._refusals += 1
        seconds = apply_jitter(min(max_seconds, useful_seconds * RETRY_AFTER_SHARE), self._refusals)
        return Failure(ErrorKind.REFUSED_EARLY, retry_after=seconds)

    def _admits_partly(self, excess_levels: float) -> bool:
        """Admit the share of requests for which the capacity suffices at the first closed level."""
        if excess_levels >= 1:
            return False
        self._partial_credit += 1 - excess_levels
        if self._partial_credit < 1:
            return False
        self._partial_credit -= 1
        return True


def _raised_after_drop(level: float, demand_ratio: float) -> float:
    """Return the level that admits as many calls now as ``level`` did before demand dropped."""
    if demand_ratio >= 1 or level < 0:
        return level
    start = int(level) // SLOTS_PER_RANK * SLOTS_PER_RANK
    return min(start + (level - start + 1) / demand_ratio - 1, start + SLOTS_PER_RANK - 1)


def _reopened_level(known: _KnownLevel, now: float) -> float:
    stale_seconds = max(now - known.confirmed - STALE_AFTER_SECONDS, 0.0)
    if known.level <= CLOSED_LEVEL and stale_seconds > 0:
        # A service without targets has no load that opening in steps would protect. With steps,
        # callers were refused for two more seconds after targets came back from a power loss,
        # 590 of them in one run, since nothing had been sent while there was no target.
        return LOWEST_LEVEL
    return min(known.level + stale_seconds * REOPEN_LEVELS_PER_SECOND, LOWEST_LEVEL)
