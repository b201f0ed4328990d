"""What a node counts, kept in plain numbers so that counting costs next to nothing."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple


class CallLabel(NamedTuple):
    """By what calls are counted."""

    service: str
    rank: str
    outcome: str
    kind: str


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
        self.added_time = 0.0
        self.answered = 0
        self.faults = 0

    def count(self, label: CallLabel) -> None:
        """Count the end of one call at this entry."""
        self.calls[label] += 1

    def outcomes(self) -> Iterable[tuple[CallLabel, int]]:
        """Give the counts of ended calls."""
        return self.calls.items()
