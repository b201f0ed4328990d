"""Exchange between nodes of requests that crashed a target."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from dunlinsaddle.calls.messages import MAX_CLEARED_REQUESTS, ClearedRequest, TargetCrashes
from dunlinsaddle.calls.outbound.link import PeerLinks
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.view import Member
from dunlinsaddle.policy.quarantine import (
    Crash,
    Quarantine,
    crashes_by_number,
    number_of_crashes,
)

#: Time for which cleared requests are collected. A crash ends many different ones, which complete
#: elsewhere soon after each other; one message for each to all nodes would be too many.
CLEAR_DELAY_SECONDS = 0.05


class CrashNotifier(LoopBound):
    """Reports requests that crashed the local target to other nodes, and receives their reports.

    The caller of a request that crashed a target may immediately retry it through any node. Only
    the nodes beside the other targets can prevent it from crashing these too.
    """

    def __init__(
        self,
        links: PeerLinks,
        quarantine: Quarantine,
        recipients: Callable[[], Iterable[Member]],
        logger: logging.Logger,
    ) -> None:
        self.links = links
        self.quarantine = quarantine
        self.recipients = recipients
        self.logger = logger
        #: Called when a report was recorded, as calls may wait for it.
        self.on_change: Callable[[], None] = lambda: None
        self._cleared: list[ClearedRequest] = []  #: not sent yet
        self._tasks: set[asyncio.Task[bool]] = set()

    def report_crash(self, fingerprint: int, crash: Crash) -> None:
        """Report a request that the target ran when it crashed to the nodes it could reach next."""
        crashes = self.quarantine.crashes(self.now(), fingerprint)
        extra = {
            'fingerprint': f'{fingerprint:016x}',
            'deaths': len(crashes),
            'crash': f'{crash.name:016x}',
            'trial': crash.was_trial,
        }
        self.logger.warning('target died while it ran a request', extra=extra)
        self._send(TargetCrashes(fingerprint, number_of_crashes(crashes), list(crashes)))

    def report_cleared(self, fingerprint: int, names: Iterable[int]) -> None:
        """Report that an equal request completed, which takes crashes back."""
        cleared = ClearedRequest(fingerprint, list(names))
        crashes = [f'{name:016x}' for name in cleared.names]
        extra = {'fingerprint': f'{fingerprint:016x}', 'crashes': crashes}
        self.logger.info('request cleared', extra=extra)
        if not self._cleared:
            self.loop.call_later(CLEAR_DELAY_SECONDS, self._send_cleared)
        self._cleared.append(cleared)

    def _send_cleared(self) -> None:
        cleared, self._cleared = self._cleared, []
        for start in range(0, len(cleared), MAX_CLEARED_REQUESTS):
            self._send(TargetCrashes(0, 0, [], cleared[start : start + MAX_CLEARED_REQUESTS]))

    def _send(self, frame: TargetCrashes) -> None:
        for member in self.recipients():
            task = self.loop.create_task(self.links.notify(member.peers, frame))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def receive(self, frame: TargetCrashes) -> None:
        """Record a report of another node."""
        now = self.now()
        crashes = tuple(frame.crashes) or crashes_by_number(frame.crash_count)
        self.quarantine.record(now, frame.fingerprint, crashes)
        for request in frame.cleared:
            self.quarantine.merge_cleared(now, request.fingerprint, request.names)
        self.on_change()

    def close(self) -> None:
        """Cancel the reports that are still being sent."""
        for task in self._tasks:
            task.cancel()
