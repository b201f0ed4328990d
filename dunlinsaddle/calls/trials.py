"""Trials of suspected requests at the local target: one at a time, while the others wait."""

import asyncio
from dataclasses import dataclass

from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.errors import Failure
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.policy.quarantine import NotSuspected, Paused, Quarantine, Quarantined

#: Longest wait for the trial of another suspect. Most trials end sooner, as most calls do; a caller
#: that is told to come back meanwhile loses less than one that is refused at its deadline.
MAX_WAIT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class RunNormally:
    """A completion has taken the suspicion back: the call is like any other."""


@dataclass(frozen=True, slots=True)
class RunAsTrial:
    """The call runs as the only suspect; ``Trials.end`` must be called after it."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The target has crashed during a trial of an equal request meanwhile."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class WaitedTooLong:
    """The trial of another suspect has not ended in time, or the target leaves."""


Turn = RunNormally | RunAsTrial | Refused | WaitedTooLong


class Trials(LoopBound):
    """Lets one suspected call at a time reach the local target.

    If the target crashes during a trial, its request caused the crash. Equal calls that wait do
    not follow one by one: all are released when a completion anywhere clears their request, and
    all are refused when the trial confirms it.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self.quarantine = quarantine
        self.current: PendingCall | None = None
        #: Waits of calls; the result tells whether they may check again.
        self._waits: set[asyncio.Future[bool]] = set()

    async def wait_turn(self, call: PendingCall) -> Turn:
        """Wait until a suspected call may run, or until it is known that it may not."""
        until = min(call.ctx.deadline, self.now() + MAX_WAIT_SECONDS)
        while True:
            match self.quarantine.check(self.now(), call.ctx.run_fingerprint):
                case NotSuspected():
                    return RunNormally()
                case Paused(failure) | Quarantined(failure):
                    return Refused(failure)
            if self.current is None:
                self.current = call
                return RunAsTrial()
            if not await self._wait_for_change(until):
                return WaitedTooLong()

    def end(self) -> None:
        """Record the end of the trial in progress."""
        self.current = None
        self.wake()

    def wake(self) -> None:
        """Have the waiting calls check again, as what is known of a request has changed."""
        self._end_waits(may_check_again=True)

    def refuse_waiting(self) -> None:
        """End all waits: the target leaves, and must get no new work."""
        self._end_waits(may_check_again=False)

    def _end_waits(self, *, may_check_again: bool) -> None:
        for wait in self._waits:
            if not wait.done():
                wait.set_result(may_check_again)

    async def _wait_for_change(self, until: float) -> bool:
        wait: asyncio.Future[bool] = self.loop.create_future()
        self._waits.add(wait)
        try:
            async with asyncio.timeout_at(until):
                return await wait
        except TimeoutError:
            return False
        finally:
            self._waits.discard(wait)
