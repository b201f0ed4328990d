"""Which priority levels are admitted: at one target, and along the chain below a call."""

import math
from bisect import bisect_right
from collections import deque
from itertools import accumulate
from math import exp
from typing import NamedTuple

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.context import LOWEST_LEVEL, SLOTS_PER_RANK
from dunlinsaddle.policy.demand_trend import MIN_DEMAND_RATIO, DemandTrend
from dunlinsaddle.policy.retry_after import apply_jitter
from dunlinsaddle.policy.sliding_minimum import SlidingMinimum

MIN_AVERAGING_SECONDS = 0.2  #: seconds over which demand is averaged, as AVERAGED_CALLS take
MAX_AVERAGING_SECONDS = 0.5  #: seconds; a surge that has ended is forgotten within one
AVERAGED_CALLS = 150.0  #: calls, of which a share is known within a tenth
UPDATE_INTERVAL_SECONDS = 0.1  #: seconds between two decisions
LEVEL_STEP_SHARE = 0.5  #: share of the way to the wanted level in one tick
SEVERE_OVERLOAD_RATIO = 1.5  #: demand over capacity from which the level falls at once
MAX_OPENING_STEP = 64  #: levels that are opened in one tick at most
MIN_STEADY_LEVELS = 4  #: open levels that are too few to tell the demand of the others by
IDLE_SECONDS_TO_OPEN = 0.05  #: seconds of spare capacity that are no chance
STEADY_SECONDS = 0.8  #: seconds after which the demand of an opened level is seen in full
DROP_WINDOW_UPDATES = (
    3  #: ticks over which a fall of demand is looked for: a gap of one is often chance
)
DROP_STANDARD_ERRORS = 3.0  #: standard errors: by chance one look in 3,000, and then for some ticks
CLOSED_DEMAND_DECAY_SECONDS = 1.0  #: seconds for which the demand of shut levels is remembered
REPORTED_LEVEL_WEIGHT = 0.25  #: weight of one answer in a learned level: some four answers count
STALE_AFTER_SECONDS = 0.5  #: seconds without news after which a learned level opens again
REOPEN_LEVELS_PER_SECOND = 256.0  #: levels a second
#: Share of the time in which an answer is worth most after which a refused caller comes back.
#: Half of it is left for the second try, which takes a fifth to a third when it is admitted.
RETRY_AFTER_SHARE = 0.5
MAX_RETRY_AFTER_SECONDS = 8.0  #: seconds; an overload is mostly over within them
CLOSED_LEVEL = -1.0  #: the level of a service that admits nothing
CALL_EDGE_TTL_SECONDS = 30.0  #: seconds for which a rule counts as calling a service


class AdmittedLevel:
    """The level that fills a target's capacity, from the demand seen at each level.

    All targets of a chain order requests alike, so this one number, told upstream, lets
    each hop refuse the same requests that this target would refuse. What is refused
    upstream is not seen here any more; its demand is worked out from that of the open
    levels, so that the level opens by as much as the spare capacity can take.
    """

    def __init__(self, utilisation: float = 1.0) -> None:
        self.utilisation = utilisation
        self.level = float(LOWEST_LEVEL)
        self.demand = 0.0  #: calls a second, over all levels
        self._memory = MIN_AVERAGING_SECONDS
        self._counts = [0.0] * (LOWEST_LEVEL + 1)
        self._known = [0.0] * (LOWEST_LEVEL + 1)
        self._before: list[float] = []  #: calls of all more valued levels, at the last tick
        self._room = 0.0  #: calls that the capacity takes in the time that these stand for
        self._ticked = 0.0
        self._lowest = SlidingMinimum(STEADY_SECONDS)
        self._steady = 0  #: levels below it have been open for ``STEADY_SECONDS``
        self._fresh = 0.0  #: calls of these levels since the last tick
        self._recent: deque[tuple[float, float]] = deque(maxlen=DROP_WINDOW_UPDATES)

    def record_arrival(self, level: int, amount: float = 1.0) -> None:
        """Count a call that asks to run, or so many usual ones."""
        self._counts[level] += amount
        if level < self._steady:
            self._fresh += amount

    def update(self, now: float, capacity: float, idle: float = 0.0) -> None:
        """Decide anew if a tick has passed.

        ``capacity`` is in calls a second, 0 if unknown; ``idle`` says for how many seconds
        the target has had free places and nothing has waited.
        """
        elapsed = now - self._ticked
        if elapsed < UPDATE_INTERVAL_SECONDS:
            return
        self._ticked = now
        decay = exp(-elapsed / self._memory)
        # A steady demand of r calls a second counts to r x elapsed / (1 - decay): that is
        # a tenth more than r x memory at the longest memory, a quarter at the shortest, and
        # so much of a capacity that was just enough would stay shut.
        window = elapsed / (1 - decay)
        self._forget_a_surge(elapsed, window)
        self.demand = sum(self._counts) / window
        self._remember(elapsed)
        if idle > IDLE_SECONDS_TO_OPEN:
            # Whatever was estimated was too much; the queue takes what comes too many.
            self.level = float(LOWEST_LEVEL)
        elif capacity > 0:
            self._decide(capacity * self.utilisation * window)
        self._before = list(accumulate(self._counts, initial=0.0))
        self._room = capacity * window
        if capacity > 0:
            self._resize(capacity)
        self._counts = [count * decay for count in self._counts]

    def capacity_share_for(self, level: int) -> float:
        """Give the share of the capacity that calls of more valued levels leave; 1 if unknown."""
        if not self._before or self._room <= 0:
            return 1.0
        return max(1 - self._before[level] / self._room, 0.0)

    def _forget_a_surge(self, elapsed: float, window: float) -> None:
        """Scale down what is counted once demand has fallen for certain.

        Failure: a surge has ended, and callers are refused for seconds more, since the counts
        fade over the memory. Levels that have long been open hide no demand, so a fall of
        theirs is one of all. After a surge of ten times the capacity, with just the capacity
        demanded, the level took 2.5 s to open without this and 0.5 s with it (paused clock).
        """
        expected = sum(self._counts[: self._steady]) / window
        self._recent.append((self._fresh, expected * elapsed))
        self._fresh = 0.0
        seen = sum(fresh for fresh, _ in self._recent)
        before = sum(usual for _, usual in self._recent)
        if (
            len(self._recent) < DROP_WINDOW_UPDATES
            or seen >= before - DROP_STANDARD_ERRORS * before**0.5
        ):
            return
        share = max(seen / before, MIN_DEMAND_RATIO)
        self._counts = [count * share for count in self._counts]
        self._known = [count * share for count in self._known]
        self._recent.clear()

    def _resize(self, capacity: float) -> None:
        """Average over so many calls that chance moves the level little."""
        wanted = AVERAGED_CALLS / capacity
        memory = min(max(wanted, MIN_AVERAGING_SECONDS), MAX_AVERAGING_SECONDS)
        scale = memory / self._memory
        if 0.8 < scale < 1.25:
            return
        self._memory = memory
        self._counts = [count * scale for count in self._counts]
        self._known = [count * scale for count in self._known]

    def _remember(self, elapsed: float) -> None:
        """Take the demand of shut levels for that of the open ones of their rank.

        What is refused upstream is not seen here. The hash spreads the demand of a rank
        evenly over its levels, so those that have long been open tell that of the others,
        without a memory that would be slow to forget a surge. A rank that is shut as a
        whole shows nothing: what was seen of it last is remembered for a while.
        """
        end = int(self.level) + 1
        steady = int(min(self._lowest.update(self._ticked, self.level), self.level)) + 1
        self._steady = steady
        start = steady // SLOTS_PER_RANK * SLOTS_PER_RANK
        rank_end = start + SLOTS_PER_RANK
        decay = exp(-elapsed / CLOSED_DEMAND_DECAY_SECONDS)
        faded = [max(c, k * decay) for c, k in zip(self._counts, self._known, strict=True)]
        self._known = self._counts[:end] + faded[end:]
        if steady - start < MIN_STEADY_LEVELS:
            self._known[steady:end] = faded[steady:end]
            return
        density = sum(self._counts[start:steady]) / (steady - start)
        self._known[steady:rank_end] = [density] * (rank_end - steady)
        if end > rank_end:
            self._known[rank_end:end] = faded[rank_end:end]

    def _decide(self, room: float) -> None:
        """Take the room in calls that the counts stand for."""
        wanted = _fill(self._known, room)
        if sum(self._counts) > room * SEVERE_OVERLOAD_RATIO:
            self.level = min(_fill(self._counts, room), self.level)
        step = min(LEVEL_STEP_SHARE * (wanted - self.level), MAX_OPENING_STEP)
        self.level = min(max(self.level + step, 0.0), LOWEST_LEVEL)


def _fill(counts: list[float], room: float) -> float:
    """Give the level, with its fraction, up to which the counts fill the room."""
    totals = list(accumulate(counts))
    level = bisect_right(totals, room)
    if level == len(totals):
        return float(LOWEST_LEVEL)
    before = totals[level - 1] if level else 0.0
    return level - 1 + (room - before) / (totals[level] - before)


class ReportedLevel(NamedTuple):
    """A level, the service that admits it, and for how long its target has not confirmed it."""

    level: float
    age: float = 0.0  #: seconds
    service: str = ''  #: empty where it is the service that was asked


class _Learned:
    __slots__ = ('confirmed', 'level')

    def __init__(self, level: float, confirmed: float) -> None:
        self.level = level
        self.confirmed = confirmed


class ChainLevels:
    """What this node has learned of the levels that services admit, with their chains.

    A level that nothing refreshes opens again by itself: if all calls to a service are
    refused early, no answer comes back to say that the overload has ended. The age is
    handed on with the level; otherwise services that call each other in a circle would keep
    a low level alive among themselves when its target has long opened up.
    """

    def __init__(self) -> None:
        self._learned: dict[str, _Learned] = {}
        self._limits: dict[tuple[str, str], dict[str, float]] = {}
        self._edges: dict[str, dict[tuple[str, str], float]] = {}
        self._share = 0.0
        self._trend = DemandTrend()
        self._refusals = 0

    def record_response(self, now: float, service: str, rule: str, heard: ReportedLevel) -> None:
        """Take the level that came with an answer; answers of all targets are averaged.

        It is kept for the service that admits it, whichever rule brought it. Failure: an entry
        gets three views a second; the level that it learned from the last one is taken for
        stale, and it lets all views in while lookups by the dozen tell it that the service
        below is full. At 1.3 times the capacity 0.83 of the lookups and 0.49 of the views were
        served in time so, though a view costs four lookups; now 0.87 and 0.44 (simulated).
        """
        source = heard.service or service
        self._limits.setdefault((service, rule), {})[source] = now
        self.record_level(now, source, heard)

    def record_level(self, now: float, source: str, heard: ReportedLevel) -> None:
        """Take a level that one of a service's targets admits, with an answer or without.

        Failure: an entry that gets three requests a second refuses early, so no answer tells it
        of the level; it takes that for stale, opens, and lets in what fails further down.
        """
        known = self._learned.get(source)
        if known is None:
            self._learned[source] = _Learned(heard.level, now - heard.age)
            return
        known.level = _aged(known, now)
        known.level += REPORTED_LEVEL_WEIGHT * (heard.level - known.level)
        known.confirmed = max(now - heard.age, known.confirmed)

    def record_unavailable(self, now: float, service: str, rule: str) -> None:
        """Take it that a service without any target admits nothing, until it is asked again."""
        self._limits.setdefault((service, rule), {})[service] = now
        self._learned[service] = _Learned(CLOSED_LEVEL, now)

    def record_call(self, now: float, parent_rule: str, service: str, rule: str) -> None:
        """Note that the local target calls a service while it works on a rule."""
        self._edges.setdefault(parent_rule, {})[service, rule] = now

    def lowest_in_chain(self, now: float, rule: str, own: ReportedLevel) -> ReportedLevel:
        """Give the worst of the own level and those of all services that a rule calls.

        Where all are open the last one below is told, so that the hops above learn that it is.
        """
        found = own
        for (service, called), last in self._edges.get(rule, {}).items():
            if now - last > CALL_EDGE_TTL_SECONDS:
                continue
            below = self._lowest(now, service, called)
            if below is not None and below.level <= found.level:
                found = below
        return found

    def admitted_level(self, now: float, service: str, rule: str) -> float:
        """Give the lowest level that a service admits for a rule, as far as known."""
        lowest = self._lowest(now, service, rule)
        return LOWEST_LEVEL if lowest is None else lowest.level

    def _lowest(self, now: float, service: str, rule: str) -> ReportedLevel | None:
        found: ReportedLevel | None = None
        for source, last in self._limits.get((service, rule), {}).items():
            if now - last > CALL_EDGE_TTL_SECONDS:
                continue
            known = self._learned[source]
            level = _aged(known, now)
            if found is None or level < found.level:
                found = ReportedLevel(level, max(now - known.confirmed, 0.0), source)
        return found

    def check(
        self,
        now: float,
        service: str,
        rule: str,
        level: int,
        hop: int = 0,
        useful_for: float = math.inf,
    ) -> Failure | None:
        """Give the refusal for a request that would be refused further down; None if it may go.

        ``useful_for`` says for how many seconds an answer is worth most: callers are told to
        come back while one more try can still be answered within that time.

        Only the entry refuses early. A level moves while a request is on its way; refusing
        by it at a later hop would throw away the work of all hops before, and a chain of
        eleven would lose a little at each.
        """
        if hop:
            return None
        self._trend.record_arrival(now)
        admitted = _opened(self.admitted_level(now, service, rule), self._trend.demand_ratio(now))
        if level <= admitted or self._marginal(level - admitted):
            return None
        excess = level / max(admitted, 1.0)
        return self.refuse(useful_for, min(1.0 + excess, MAX_RETRY_AFTER_SECONDS))

    def refuse(self, useful_for: float, longest: float = MAX_RETRY_AFTER_SECONDS) -> Failure:
        """Give an early refusal; its caller comes back while one more try is in time."""
        self._refusals += 1
        wait = apply_jitter(min(longest, useful_for * RETRY_AFTER_SHARE), self._refusals)
        return Failure(ErrorKind.REFUSED_EARLY, retry_after=wait)

    def _marginal(self, above: float) -> bool:
        """Let a share of the level pass into which the capacity reaches."""
        if above >= 1:
            return False
        self._share += 1 - above
        if self._share < 1:
            return False
        self._share -= 1
        return True


def _opened(level: float, fallen: float) -> float:
    """Give the level that admits as many calls now as ``level`` did before demand fell."""
    if fallen >= 1 or level < 0:
        return level
    start = int(level) // SLOTS_PER_RANK * SLOTS_PER_RANK
    return min(start + (level - start + 1) / fallen - 1, start + SLOTS_PER_RANK - 1)


def _aged(known: _Learned, now: float) -> float:
    stale = max(now - known.confirmed - STALE_AFTER_SECONDS, 0.0)
    if known.level <= CLOSED_LEVEL and stale > 0:
        # Failure: targets are back after a loss of power, and callers are refused for two
        # seconds more, 590 of them on one day; nobody had asked since there was none. A
        # service without targets has no load that a slow opening would protect.
        return LOWEST_LEVEL
    return min(known.level + stale * REOPEN_LEVELS_PER_SECOND, LOWEST_LEVEL)
