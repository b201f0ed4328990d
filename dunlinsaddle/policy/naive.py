"""The naive policy, to measure against: a fixed limit, first come first served."""

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

RETRIES_PER_HOP = 3  #: what clients of common frameworks do unless told otherwise


class FixedLimit:
    """So many calls run at once, the others wait in the order of their arrival."""

    def __init__(self, limit: int, max_calls: int) -> None:
        self.limit = limit
        self.max_calls = max_calls
        self.inflight = 0
        self.queue: deque[Ticket] = deque()

    def admit(self, now: float, ticket: Ticket) -> AdmissionDecision:
        """Decide on a new call."""
        if self.inflight < self.limit and not self.queue:
            self.inflight += 1
            return Run()
        if self.inflight + len(self.queue) >= self.max_calls:
            return Refuse(Failure(ErrorKind.OVERLOADED, retry_after=1.0))
        self.queue.append(ticket)
        return Wait()

    def finish(self, now: float, ticket: Ticket, sample: Sample) -> None:
        """Hear that a running call has ended."""
        self.inflight -= 1

    def pause(self, now: float, ticket: Ticket) -> None:
        """Keep the place: the limit counts all calls."""

    def resume(self, now: float, ticket: Ticket) -> None:
        """Do nothing, for the place was kept."""

    def cancel(self, ticket: Ticket) -> None:
        """Take a waiting call out."""
        if ticket in self.queue:
            self.queue.remove(ticket)

    def dequeue(self, now: float) -> Dequeued:
        """Say which waiting calls start now."""
        started: list[Ticket] = []
        while self.queue and self.inflight < self.limit:
            self.inflight += 1
            started.append(self.queue.popleft())
        return Dequeued(started, [])

    def seconds_to_next_start(self, now: float) -> float | None:
        """Give None: only the end of a call makes room for another."""
        return None

    def load(self, now: float) -> Load:
        """Give the load to report."""
        return Load(self.inflight, len(self.queue), self.limit)
