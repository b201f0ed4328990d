"""Counters of a node, kept as plain numbers so that updates are cheap."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple


class CallLabel(NamedTuple):
    """The labels by which ended calls are counted."""

    service: str
    rank: str
    outcome: str
    kind: str


class RefusalLabel(NamedTuple):
    """The labels by which refused requests are counted; empty where they are not known."""

    reason: str  #: value of an ErrorKind
    rank: str
    organisation: str


#: Refusal labels that are counted separately, to bound memory. They grow with the organisations
#: that were ever refused; any further ones are counted without their organisation.
MAX_REFUSAL_LABELS = 4096

#: Upper bounds of the queue time buckets, in seconds. The last bucket is unbounded.
QUEUE_TIME_BOUNDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


#: Upper bounds of the latency buckets, in seconds. The last bucket is unbounded. Latency objectives
#: of the users' deployments are between 0.3 and 1.5 s; a node adds less than 5 ms.
LATENCY_BOUNDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0)


class Hop(StrEnum):
    """The parts of a call whose latency is measured."""

    WHOLE = 'whole'  #: at the entry node, from the request to its response
    TARGET = 'target'  #: at the target's own node, from sending the request to the response


class Stats:
    """Counts and sums since the start of the node; times are in seconds."""

    def __init__(self) -> None:
        self.calls: Counter[CallLabel] = Counter()
        self.shed: Counter[str] = Counter()
        self.refusals: Counter[RefusalLabel] = Counter()  #: of requests, at their entry node
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
        self.answers_skipped = 0
        self.answers_not_taken = 0
        self.faults = 0

    def record_call(self, label: CallLabel) -> None:
        """Count one ended call; called at its entry node."""
        self.calls[label] += 1

    def record_refusal(self, reason: str, rank: str = '', organisation: str = '') -> None:
        """Count one refused request; called at its entry node."""
        label = RefusalLabel(reason, rank, organisation)
        if label not in self.refusals and len(self.refusals) >= MAX_REFUSAL_LABELS:
            label = label._replace(organisation='')
        self.refusals[label] += 1

    def refusals_of_largest(self, count: int) -> list[tuple[int, RefusalLabel]]:
        """Return the refusals of the ``count`` organisations with the most of them."""
        totals: Counter[str] = Counter()
        for label, refused in self.refusals.items():
            if label.organisation:
                totals[label.organisation] += refused
        largest = {name for name, _ in totals.most_common(count)}
        return [(n, label) for label, n in self.refusals.items() if label.organisation in largest]

    def record_wait(self, seconds: float) -> None:
        """Record the queue time of a call, whether or not it ran afterwards."""
        self.queued += 1
        self.queue_time += seconds
        self.queue_time_buckets[bisect_left(QUEUE_TIME_BOUNDS, seconds)] += 1

    def record_latency(self, hop: Hop, seconds: float) -> None:
        """Record the latency of one part of a call."""
        self.latency_buckets[hop][bisect_left(LATENCY_BOUNDS, seconds)] += 1

    def record_added_time(self, seconds: float) -> None:
        """Record the time that this node itself added to an answered call."""
        self.answered += 1
        self.added_time += seconds

    def call_counts(self) -> Iterable[tuple[CallLabel, int]]:
        """Return the number of ended calls per label."""
        return self.calls.items()
