"""Which priority levels are admitted: at one target, and along the chain below a call."""

from bisect import bisect_right
from itertools import accumulate
from math import exp
from typing import NamedTuple

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.context import LOWEST_LEVEL, SLOTS_PER_RANK

SHORTEST_MEMORY = 0.2  #: seconds over which demand is averaged, as ENOUGH_CALLS take
LONGEST_MEMORY = 0.5
ENOUGH_CALLS = 150.0
TICK = 0.1  #: seconds between two decisions
GAIN = 0.5  #: share of the way to the wanted level in one tick
FAR_OVER = 1.5  #: demand over capacity from which the level falls at once
MOST_RELAX = 64  #: levels that are opened in one tick at most
NEARBY = 32  #: open levels whose demand tells that of the shut ones
FEW_LEVELS = 4
KNOWN_MEMORY = 2.0  #: seconds over which the demand of open levels is remembered
SHUT_MEMORY = 5.0  #: seconds for which the demand of shut levels is remembered
MOST_CERTAIN = 4.0  #: standard errors that are no chance, at recovery_bias 0
LEAST_CERTAIN = 2.5  #: the same at recovery_bias 1
MOST_FALLEN = 0.6  #: share of demand that is a fall of it, at recovery_bias 0
LEAST_FALLEN = 0.8  #: the same at recovery_bias 1
RISEN = 1.4
LEARN_GAIN = 0.25
STALE_AFTER = 0.5  #: seconds without news after which a learned level opens again
REOPEN_RATE = 256.0  #: levels a second
NOTHING = -1.0  #: the level of a service that admits nothing
EDGE_MEMORY = 30.0  #: seconds for which a rule counts as calling a service


class AdmittedLevel:
    """The level that fills a target's capacity, from the demand seen at each level.

    All targets of a chain order requests alike, so this one number, told upstream, lets
    each hop refuse the same requests that this target would refuse. What is refused
    upstream is not seen here any more; its demand is remembered for a while, so that the
    level opens by as much as the spare capacity can take and no further.
    """

    def __init__(self, utilisation: float = 1.0, bias: float = 0.5) -> None:
        self.utilisation = utilisation
        self.bias = bias  #: 0 takes a fall of demand for chance longer, 1 opens sooner
        self.level = float(LOWEST_LEVEL)
        self.demand = 0.0  #: calls a second, over all levels
        self._memory = SHORTEST_MEMORY
        self._counts = [0.0] * (LOWEST_LEVEL + 1)
        self._known = [0.0] * (LOWEST_LEVEL + 1)
        self._ticked = 0.0

    def arrived(self, level: int) -> None:
        """Count a call that asks to run."""
        self._counts[level] += 1

    def update(self, now: float, capacity: float) -> None:
        """Decide anew if a tick has passed; capacity in calls a second, 0 if unknown."""
        elapsed = now - self._ticked
        if elapsed < TICK:
            return
        self._ticked = now
        self.demand = sum(self._counts) / self._memory
        self._remember(elapsed)
        if capacity > 0:
            self._decide(capacity * self.utilisation * self._memory)
            self._resize(capacity)
        decay = exp(-elapsed / self._memory)
        self._counts = [count * decay for count in self._counts]

    def _resize(self, capacity: float) -> None:
        """Average over so many calls that chance moves the level little."""
        wanted = ENOUGH_CALLS / capacity
        memory = min(max(wanted, SHORTEST_MEMORY), LONGEST_MEMORY)
        scale = memory / self._memory
        if 0.8 < scale < 1.25:
            return
        self._memory = memory
        self._counts = [count * scale for count in self._counts]
        self._known = [count * scale for count in self._known]

    def _remember(self, elapsed: float) -> None:
        """Follow the demand of open levels; keep that of shut ones, which is not seen.

        A level that was just opened shows no demand until the hops above have heard of it.
        Taking that for spare room would open all levels, and flood the target a moment
        later; so the memory outlasts the way up and down the chain.
        """
        end = int(self.level) + 1
        shift = self._shift(end)
        gain = min(elapsed / KNOWN_MEMORY, 1.0)
        floor = self._density(end)
        rank_end = (end // SLOTS_PER_RANK + 1) * SLOTS_PER_RANK
        decay = exp(-elapsed / SHUT_MEMORY)
        known = self._known if shift == 1.0 else [k * shift for k in self._known]
        # Slices, as a tick holds up the calls that come meanwhile.
        self._known = [
            *[k + gain * (count - k) for k, count in zip(known[:end], self._counts, strict=False)],
            *[max(k * decay, floor) for k in known[end:rank_end]],
            *[k * decay for k in known[rank_end:]],
        ]

    def _shift(self, end: int) -> float:
        """Give the factor by which demand has risen or fallen, 1 if it may be chance.

        The hash spreads each rank's demand evenly: what changed in the open levels has
        changed in the shut ones too. Without this the memory of a surge delays recovery.
        """
        now, known = sum(self._counts[:end]), sum(self._known[:end])
        certain = MOST_CERTAIN + (LEAST_CERTAIN - MOST_CERTAIN) * self.bias
        if abs(now - known) <= certain * max(known, 1.0) ** 0.5 or not known:
            return 1.0
        fallen = MOST_FALLEN + (LEAST_FALLEN - MOST_FALLEN) * self.bias
        ratio = now / known
        return 1.0 if fallen < ratio < RISEN else ratio

    def _density(self, end: int) -> float:
        """Give the mean demand of the open levels next to the shut ones, in their rank."""
        start = max(end // SLOTS_PER_RANK * SLOTS_PER_RANK, end - NEARBY)
        if end - start < FEW_LEVELS:
            return 0.0
        return sum(self._known[start:end]) / (end - start)

    def _decide(self, room: float) -> None:
        """Take the room in calls that the counts stand for."""
        wanted = _fill(self._known, room)
        if sum(self._counts) > room * FAR_OVER:
            self.level = min(_fill(self._counts, room), self.level)
        step = min(GAIN * (wanted - self.level), MOST_RELAX)
        self.level = min(max(self.level + step, 0.0), LOWEST_LEVEL)


def _fill(counts: list[float], room: float) -> float:
    """Give the level, with its fraction, up to which the counts fill the room."""
    totals = list(accumulate(counts))
    level = bisect_right(totals, room)
    if level == len(totals):
        return float(LOWEST_LEVEL)
    before = totals[level - 1] if level else 0.0
    return level - 1 + (room - before) / (totals[level] - before)


class Heard(NamedTuple):
    """A level, and for how many seconds its target has not confirmed it."""

    level: float
    age: float = 0.0


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
        self._learned: dict[tuple[str, str], _Learned] = {}
        self._edges: dict[str, dict[tuple[str, str], float]] = {}
        self._share = 0.0

    def learn(self, now: float, service: str, rule: str, heard: Heard) -> None:
        """Take the level that came with an answer; answers of all targets are averaged."""
        known = self._learned.get((service, rule))
        if known is None:
            self._learned[service, rule] = _Learned(heard.level, now - heard.age)
            return
        known.level = _aged(known, now)
        known.level += LEARN_GAIN * (heard.level - known.level)
        known.confirmed = now - heard.age

    def unavailable(self, now: float, service: str, rule: str) -> None:
        """Take it that a service without any target admits nothing, until it is asked again."""
        self._learned[service, rule] = _Learned(NOTHING, now)

    def called(self, now: float, parent_rule: str, service: str, rule: str) -> None:
        """Note that the local target calls a service while it works on a rule."""
        self._edges.setdefault(parent_rule, {})[service, rule] = now

    def worst(self, now: float, rule: str, own: float) -> Heard:
        """Give the worst of the own level and those of all services that a rule calls."""
        found = Heard(own)
        for edge, last in self._edges.get(rule, {}).items():
            known = self._learned.get(edge)
            if known is None or now - last > EDGE_MEMORY:
                continue
            level = _aged(known, now)
            if level < found.level:
                found = Heard(level, max(now - known.confirmed, 0.0))
        return found

    def admitted(self, now: float, service: str, rule: str) -> float:
        """Give the lowest level that a service admits for a rule, as far as known."""
        known = self._learned.get((service, rule))
        return LOWEST_LEVEL if known is None else _aged(known, now)

    def check(self, now: float, service: str, rule: str, level: int) -> Failure | None:
        """Give the refusal for a call that would be refused further down; None if it may go."""
        admitted = self.admitted(now, service, rule)
        if level <= admitted or self._marginal(level - admitted):
            return None
        excess = level / max(admitted, 1.0)
        return Failure(ErrorKind.REFUSED_EARLY, retry_after=min(1.0 + excess, 8.0))

    def _marginal(self, above: float) -> bool:
        """Let a share of the level pass into which the capacity reaches."""
        if above >= 1:
            return False
        self._share += 1 - above
        if self._share < 1:
            return False
        self._share -= 1
        return True


def _aged(known: _Learned, now: float) -> float:
    stale = max(now - known.confirmed - STALE_AFTER, 0.0)
    return min(known.level + stale * REOPEN_RATE, LOWEST_LEVEL)
