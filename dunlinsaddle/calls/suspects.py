"""What the node beside a target sees of requests that crash it, and tells other nodes."""

from collections.abc import Iterable
from typing import Protocol

from dunlinsaddle.calls.call_state import PendingCall, RunningCalls
from dunlinsaddle.calls.crash_detector import CrashDetector, TargetCrash
from dunlinsaddle.calls.messages import Reply
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.calls.trials import Trials
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.policy.context import CallContext
from dunlinsaddle.policy.quarantine import Crash, Quarantine, number_of_crashes

GATEWAY_TIMEOUT_STATUS = 504


class CrashReports(Protocol):
    """Tells other nodes what is known of requests that ran when a target crashed."""

    def report_crash(self, fingerprint: int, crash: Crash) -> None:
        """Report a request that the target ran when it crashed."""

    def report_cleared(self, fingerprint: int, names: Iterable[int]) -> None:
        """Report that an equal request completed, which takes crashes back."""


class NoCrashReports:
    """Tells nobody."""

    def report_crash(self, fingerprint: int, crash: Crash) -> None:
        """Do nothing."""

    def report_cleared(self, fingerprint: int, names: Iterable[int]) -> None:
        """Do nothing."""


class Suspects(LoopBound):
    """Records crashes of the local target and completions, for the requests that it runs."""

    def __init__(
        self,
        quarantine: Quarantine,
        target: LocalTarget,
        client: HttpClient,
        running: RunningCalls,
        reports: CrashReports | None = None,
    ) -> None:
        self.quarantine = quarantine
        self.reports: CrashReports = reports or NoCrashReports()
        self.trials = Trials(quarantine)
        self._detector = CrashDetector(target, client, running)

    async def record_lost(self, call: PendingCall, start_number: int, reply: Reply) -> None:
        """Record that the target crashed, if that is why a start of it lost the call."""
        if reply.kind != ErrorKind.TARGET_LOST.value:
            return
        ended = await self._detector.find_crash(start_number)
        if ended is None:
            return
        fingerprint = call.ctx.run_fingerprint
        crash = Crash(
            ended.name,
            self._is_only_suspect(call, ended),
            self.quarantine.has_completed(fingerprint),
        )
        if self.quarantine.record(self.now(), fingerprint, [crash]):
            self.reports.report_crash(fingerprint, crash)
            self.trials.wake()
        self.add_crashes(call.ctx, reply)

    def record_answer(self, ctx: CallContext, reply: Reply) -> None:
        """Take back the crashes of a request if this is the answer to an equal one.

        A target that ran out of time may have been about to crash.
        """
        if reply.kind or reply.status == GATEWAY_TIMEOUT_STATUS:
            return
        self.quarantine.record_completion(ctx.run_fingerprint)
        names = self.quarantine.clear(self.now(), ctx.run_fingerprint)
        if names:
            self.reports.report_cleared(ctx.run_fingerprint, names)
            self.trials.wake()

    def add_crashes(self, ctx: CallContext, reply: Reply) -> None:
        """Add what is known of a request to the reply."""
        crashes = self.quarantine.crashes(self.now(), ctx.run_fingerprint)
        if crashes:
            reply.crash_count, reply.crashes = number_of_crashes(crashes), list(crashes)

    def _is_only_suspect(self, call: PendingCall, ended: TargetCrash) -> bool:
        """Return whether a call ran as a trial, and no other suspect was still in progress."""
        if self.trials.current is not call:
            return False
        now = self.now()
        others = ended.fingerprints - {call.ctx.run_fingerprint}
        return not any(self._is_other_cause(now, ended, fingerprint) for fingerprint in others)

    def _is_other_cause(self, now: float, ended: TargetCrash, fingerprint: int) -> bool:
        """Return whether a request was suspected before the crash, and never completed."""
        known = self.quarantine.crashes(now, fingerprint)
        earlier = [crash for crash in known if crash.name != ended.name]
        return bool(earlier) and not any(crash.completed_before for crash in known)
