"""The calls that wait for admission at one node, and the timers that end their waits."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.policy.admission import AdmissionPolicy, Ticket

RETRY_AFTER_SECONDS = 1.0  #: seconds; about the time in which a queue has moved
#: Seconds before its deadline at which the wait of a call ends. The refusal, which says that it did
#: not run, has to be at the entry before the entry gives up; between failure domains it takes some
#: 3 ms, behind other work a few more. Later the caller would get 504, which says nothing.
RESPONSE_MARGIN_SECONDS = 0.02

#: How a wait ends: with a refusal, or with None for a call that starts.
AdmissionFuture = asyncio.Future[Failure | None]


class _Waiter(NamedTuple):
    ticket: Ticket
    end: AdmissionFuture
    timer: asyncio.TimerHandle


class Waiters(OnLoop):
    """Each waiting call with the future that is done when its wait is over."""

    def __init__(self, admission: AdmissionPolicy, release: Callable[[float], None]) -> None:
        self.admission = admission
        self.release = release  #: starts what admission lets go at a moment
        self._waiters: dict[int, _Waiter] = {}
        self._due: asyncio.TimerHandle | None = None

    def add(self, ticket: Ticket) -> AdmissionFuture:
        """Let a call wait; the future is done when it starts or is refused."""
        loop = self.loop
        end: AdmissionFuture = loop.create_future()
        # A target that stands still releases nobody: the wait must end without it.
        late = Failure(ErrorKind.TOO_LATE_TO_START, retry_after=RETRY_AFTER_SECONDS)
        timer = loop.call_at(ticket.deadline - RESPONSE_MARGIN_SECONDS, self.refuse, ticket, late)
        self._waiters[ticket.call_id] = _Waiter(ticket, end, timer)
        self.schedule_release(loop.time())
        return end

    def remove(self, ticket: Ticket) -> None:
        """Forget a call whose wait is over, or whose caller has gone."""
        held = self._waiters.pop(ticket.call_id, None)
        if held is not None:
            held.timer.cancel()

    def resolve(self, ticket: Ticket, failure: Failure | None) -> None:
        """End a wait: None lets the call start. Whoever does not wait is passed over."""
        held = self._waiters.get(ticket.call_id)
        if held is not None and not held.end.done():
            held.end.set_result(failure)

    def refuse(self, ticket: Ticket, failure: Failure) -> None:
        """Take a call out of the queue if it still waits there."""
        held = self._waiters.get(ticket.call_id)
        if held is not None and not held.end.done():
            self.admission.cancel(ticket)
            held.end.set_result(failure)

    def refuse_all(self, failure: Failure) -> None:
        """Refuse whatever waits."""
        for held in list(self._waiters.values()):
            self.refuse(held.ticket, failure)

    def schedule_release(self, now: float) -> None:
        """Start waiting calls when their time comes, too: of few calls none may end by then."""
        seconds = self.admission.seconds_to_next_start(now)
        if seconds is None:
            return
        if self._due is not None:
            if self._due.when() <= now + seconds:
                return
            self._due.cancel()
        self._due = self.loop.call_at(now + seconds, self._start_due)

    def _start_due(self) -> None:
        self._due = None
        self.release(self.now())
