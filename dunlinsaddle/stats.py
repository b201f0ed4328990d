"""What a node counts, kept in plain numbers so that counting costs next to nothing."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple


class CallLabel(NamedTuple):
    """By what calls are counted."""

    service: str
    rank: str
    outcome: str
    kind: str


#: Upper bounds of the buckets of queue time, in seconds; the last bucket has none.
QUEUE_BOUNDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class Stats:
    """Counts and sums since the start of the node. Times in seconds."""

    def __init__(self) -> None:
        self.calls: Counter[CallLabel] = Counter()
        self.shed: Counter[str] = Counter()
        self.observed_refusals: Counter[str] = Counter()
        self.observed_waits = 0
        self.keys: Counter[str] = Counter()
        self.retries = 0
        self.wasted = 0
        self.queue_time = 0.0
        self.queued = 0
        self.queue_buckets = [0] * (len(QUEUE_BOUNDS) + 1)
        self.added_time = 0.0
        self.answered = 0
        self.faults = 0

    def count(self, label: CallLabel) -> None:
        """Count the end of one call at this entry."""
        self.calls[label] += 1

    def waited(self, seconds: float) -> None:
        """Count a call that waited for a slot, whether it then ran or not."""
        self.queued += 1
        self.queue_time += seconds
        self.queue_buckets[bisect_left(QUEUE_BOUNDS, seconds)] += 1

    def added(self, seconds: float) -> None:
        """Count an answered call, and the time that this node itself took for it."""
        self.answered += 1
        self.added_time += seconds

    def outcomes(self) -> Iterable[tuple[CallLabel, int]]:
        """Give the counts of ended calls."""
        return self.calls.items()
