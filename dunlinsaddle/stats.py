"""What a node counts, kept in plain numbers so that counting costs next to nothing."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class CallLabel(NamedTuple):
    """By what calls are counted."""

    service: str
    rank: str
    outcome: str
    kind: str


#: Upper bounds of the buckets of queue time, in seconds; the last bucket has none.
QUEUE_TIME_BOUNDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


#: Upper bounds of the buckets of latency, in seconds; the last bucket has none. Objectives of the
#: users' deployments lie between 0.3 and 1.5 s, and what a node adds below 5 ms.
LATENCY_BOUNDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0)


class Hop(StrEnum):
    """The parts of a call whose time is counted."""

    WHOLE = 'whole'  #: at the entry, from the request to its answer
    TARGET = 'target'  #: at the node beside the target, from sending to the answer


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
        self.queue_time_buckets = [0] * (len(QUEUE_TIME_BOUNDS) + 1)
        self.latency_buckets = {hop: [0] * (len(LATENCY_BOUNDS) + 1) for hop in Hop}
        self.added_time = 0.0
        self.answered = 0
        self.faults = 0

    def record_call(self, label: CallLabel) -> None:
        """Count the end of one call at this entry."""
        self.calls[label] += 1

    def record_wait(self, seconds: float) -> None:
        """Count a call that waited for a slot, whether it then ran or not."""
        self.queued += 1
        self.queue_time += seconds
        self.queue_time_buckets[bisect_left(QUEUE_TIME_BOUNDS, seconds)] += 1

    def record_latency(self, hop: Hop, seconds: float) -> None:
        """Count how long a part of a call took."""
        self.latency_buckets[hop][bisect_left(LATENCY_BOUNDS, seconds)] += 1

    def record_added_time(self, seconds: float) -> None:
        """Count an answered call, and the time that this node itself took for it."""
        self.answered += 1
        self.added_time += seconds

    def call_counts(self) -> Iterable[tuple[CallLabel, int]]:
        """Give the counts of ended calls."""
        return self.calls.items()
