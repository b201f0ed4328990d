"""Which priority levels are admitted: at one target, and along the chain below a call."""

from itertools import accumulate
from math import exp

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.context import LOWEST_LEVEL

MEMORY = 0.3  #: seconds over which demand is averaged
TICK = 0.1  #: seconds between two decisions
RELAX_GAIN = 0.5
MOST_RELAX = 64.0  #: levels that are opened in one tick at most
NEARBY = 64  #: levels whose demand tells what the next ones will bring
LEARN_GAIN = 0.1
STALE_AFTER = 0.5  #: seconds without news after which a learned level opens again
REOPEN_RATE = 256.0  #: levels a second
EDGE_MEMORY = 30.0  #: seconds for which a rule counts as calling a service


class AdmittedLevel:
    """The level that fills a target's capacity, from the demand seen at each level.

    All targets of a chain order requests alike, so this one number, told upstream, lets
    each hop refuse the same requests that this target would refuse.
    """

    def __init__(self, utilisation: float = 1.0) -> None:
        self.utilisation = utilisation
        self.level = float(LOWEST_LEVEL)
        self.demand = 0.0  #: calls a second, over all levels
        self._counts = [0.0] * (LOWEST_LEVEL + 1)
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
        self.demand = sum(self._counts) / MEMORY
        if capacity > 0:
            self._decide(capacity * self.utilisation)
        decay = exp(-elapsed / MEMORY)
        self._counts = [count * decay for count in self._counts]

    def _decide(self, room: float) -> None:
        if self.demand > room:
            wanted = room * MEMORY
            fitting = sum(1 for total in accumulate(self._counts) if total <= wanted)
            self.level = float(max(fitting - 1, 0))
            return
        end = int(self.level) + 1
        nearby = self._counts[max(end - NEARBY, 0) : end]
        density = sum(nearby) / len(nearby) / MEMORY
        spare = (room - self.demand) * RELAX_GAIN
        step = min(spare / density, MOST_RELAX) if density > 0 else MOST_RELAX
        self.level = min(self.level + step, LOWEST_LEVEL)


class _Learned:
    __slots__ = ('heard', 'level')

    def __init__(self, level: float, heard: float) -> None:
        self.level = level
        self.heard = heard


class ChainLevels:
    """What this node has learned of the levels that services admit, with their chains.

    A level that nothing refreshes opens again by itself: if all calls to a service are
    refused early, no answer comes back to say that the overload has ended.
    """

    def __init__(self) -> None:
        self._learned: dict[tuple[str, str], _Learned] = {}
        self._edges: dict[str, dict[tuple[str, str], float]] = {}

    def learn(self, now: float, service: str, rule: str, level: int) -> None:
        """Take the level that came with an answer; answers of all targets are averaged."""
        known = self._learned.get((service, rule))
        if known is None:
            self._learned[service, rule] = _Learned(level, now)
            return
        known.level = self._aged(known, now)
        known.level += LEARN_GAIN * (level - known.level)
        known.heard = now

    def called(self, now: float, parent_rule: str, service: str, rule: str) -> None:
        """Note that the local target calls a service while it works on a rule."""
        self._edges.setdefault(parent_rule, {})[service, rule] = now

    def below(self, now: float, rule: str) -> int:
        """Give the lowest level that all services admit which a rule calls."""
        edges = self._edges.get(rule)
        if not edges:
            return LOWEST_LEVEL
        fresh = [edge for edge, last in edges.items() if now - last < EDGE_MEMORY]
        return min((int(self.admitted(now, *edge)) for edge in fresh), default=LOWEST_LEVEL)

    def admitted(self, now: float, service: str, rule: str) -> float:
        """Give the lowest level that a service admits for a rule, as far as known."""
        known = self._learned.get((service, rule))
        return LOWEST_LEVEL if known is None else self._aged(known, now)

    def check(self, now: float, service: str, rule: str, level: int) -> Failure | None:
        """Give the refusal for a call that would be refused further down; None if it may go."""
        admitted = self.admitted(now, service, rule)
        if level <= admitted:
            return None
        excess = level / max(admitted, 1.0)
        return Failure(ErrorKind.REFUSED_EARLY, retry_after=min(1.0 + excess, 8.0))

    def _aged(self, known: _Learned, now: float) -> float:
        stale = max(now - known.heard - STALE_AFTER, 0.0)
        return min(known.level + stale * REOPEN_RATE, LOWEST_LEVEL)
