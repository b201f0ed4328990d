"""The naive policy, a baseline for comparisons: a fixed concurrency limit and a FIFO queue."""

from collections import deque

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.admission import (
    AdmissionDecision,
    Dequeued,
    Load,
    Refuse,
    Run,
    Sample,
    Ticket,
    Wait,
)
from dunlinsaddle.policy.target_speed import TargetSpeed

RETRIES_PER_HOP = 3  #: the default of clients in common frameworks


class FixedLimit:
    """Runs a fixed number of calls at a time; the others wait in order of arrival."""

    def __init__(self, limit: int, max_calls: int) -> None:
        self.limit = limit
        self.max_calls = max_calls
        self.inflight = 0
        self.queue: deque[Ticket] = deque()

    def admit(self, now: float, ticket: Ticket) -> AdmissionDecision:
        """Run, queue or refuse a new call."""
        if self.inflight < self.limit and not self.queue:
            self.inflight += 1
            return Run()
        if self.inflight + len(self.queue) >= self.max_calls:
            return Refuse(Failure(ErrorKind.OVERLOADED, retry_after=1.0))
        self.queue.append(ticket)
        return Wait()

    def finish(self, now: float, ticket: Ticket, sample: Sample) -> None:
        """Record the end of a running call."""
        self.inflight -= 1

    def pause(self, now: float, ticket: Ticket) -> None:
        """Keep the slot of a call whose target waits for another service."""

    def resume(self, now: float, ticket: Ticket) -> None:
        """Do nothing, as the call has kept its slot."""

    def cancel(self, ticket: Ticket) -> None:
        """Remove a waiting call from the queue."""
        if ticket in self.queue:
            self.queue.remove(ticket)

    def dequeue(self, now: float) -> Dequeued:
        """Return the waiting calls that start now."""
        started: list[Ticket] = []
        while self.queue and self.inflight < self.limit:
            self.inflight += 1
            started.append(self.queue.popleft())
        return Dequeued(started, [])

    def seconds_to_next_start(self, now: float) -> float | None:
        """Return None: a waiting call starts only when a running one ends, never at a set time."""
        return None

    def load(self, now: float) -> Load:
        """Return the load to report."""
        return Load(self.inflight, len(self.queue), self.limit)

    def speed(self, now: float, rule: str) -> TargetSpeed | None:
        """Return None, as this policy measures no service times."""
        return None
