"""The calls that wait for admission at one node, and the timers that bound their waits."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.policy.admission import AdmissionPolicy, Ticket

RETRY_AFTER_SECONDS = 1.0  #: about the time in which a queue makes progress
#: Time before its deadline at which a waiting call is refused. The refusal, which says that the
#: call did not run, must reach the entry node before that node times out. It takes about 3 ms
#: between failure domains, and a few more behind other work. If it came later, the caller would
#: get 504, which leaves open whether the call ran.
RESPONSE_MARGIN_SECONDS = 0.02

#: Result of a wait: a Failure for a refused call, None for a call that starts.
AdmissionFuture = asyncio.Future[Failure | None]


class _Waiter(NamedTuple):
    ticket: Ticket
    future: AdmissionFuture
    timer: asyncio.TimerHandle


class Waiters(LoopBound):
    """Maps each waiting call to the future that is done when its wait ends."""

    def __init__(self, admission: AdmissionPolicy, release: Callable[[float], None]) -> None:
        self.admission = admission
        self.release = release  #: starts the calls that admission releases at a given time
        self._waiters: dict[int, _Waiter] = {}
        self._release_timer: asyncio.TimerHandle | None = None

    def add(self, ticket: Ticket) -> AdmissionFuture:
        """Add a waiting call; the returned future is done when it starts or is refused."""
        loop = self.loop
        future: AdmissionFuture = loop.create_future()
        # A target that hangs releases no waiting call: the wait must time out without it.
        failure = Failure(ErrorKind.TOO_LATE_TO_START, retry_after=RETRY_AFTER_SECONDS)
        timer = loop.call_at(
            ticket.deadline - RESPONSE_MARGIN_SECONDS, self.refuse, ticket, failure
        )
        self._waiters[ticket.call_id] = _Waiter(ticket, future, timer)
        self.schedule_release(loop.time())
        return future

    def remove(self, ticket: Ticket) -> None:
        """Remove a call whose wait has ended or whose caller has disconnected."""
        waiter = self._waiters.pop(ticket.call_id, None)
        if waiter is not None:
            waiter.timer.cancel()

    def resolve(self, ticket: Ticket, failure: Failure | None) -> bool:
        """End the wait of a call: None starts it, a failure refuses it.

        Returns whether it still waits; a call that was cancelled does not.
        """
        waiter = self._waiters.get(ticket.call_id)
        if waiter is None or waiter.future.done():
            return False
        waiter.future.set_result(failure)
        return True

    def refuse(self, ticket: Ticket, failure: Failure) -> None:
        """Remove a call from the queue and refuse it, if it still waits."""
        waiter = self._waiters.get(ticket.call_id)
        if waiter is not None and not waiter.future.done():
            self.admission.cancel(ticket)
            waiter.future.set_result(failure)

    def refuse_all(self, failure: Failure) -> None:
        """Refuse all waiting calls."""
        for waiter in list(self._waiters.values()):
            self.refuse(waiter.ticket, failure)

    def schedule_release(self, now: float) -> None:
        """Schedule the time at which admission releases the next waiting call.

        With few calls in progress, none may end by that time and trigger the release.
        """
        seconds = self.admission.seconds_to_next_start(now)
        if seconds is None:
            return
        if self._release_timer is not None:
            if self._release_timer.when() <= now + seconds:
                return
            self._release_timer.cancel()
        self._release_timer = self.loop.call_at(now + seconds, self._release_due)

    def _release_due(self) -> None:
        self._release_timer = None
        self.release(self.now())
