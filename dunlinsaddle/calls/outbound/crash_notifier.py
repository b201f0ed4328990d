"""Exchange between nodes of requests that crashed a target."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from dunlinsaddle.calls.messages import TargetCrashes
from dunlinsaddle.calls.outbound.link import PeerLinks
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.view import Member
from dunlinsaddle.policy.quarantine import (
    Crash,
    Quarantine,
    crashes_by_number,
    number_of_crashes,
)


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
        cleared = list(names)
        extra = {'fingerprint': f'{fingerprint:016x}', 'crashes': [f'{n:016x}' for n in cleared]}
        self.logger.info('request cleared', extra=extra)
        self._send(TargetCrashes(fingerprint, 0, [], cleared))

    def _send(self, frame: TargetCrashes) -> None:
        for member in self.recipients():
            task = self.loop.create_task(self.links.notify(member.peers, frame))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def receive(self, frame: TargetCrashes) -> None:
        """Record a report of another node."""
        now, fingerprint = self.now(), frame.fingerprint
        crashes = tuple(frame.crashes) or crashes_by_number(frame.crash_count)
        self.quarantine.record(now, fingerprint, crashes)
        if frame.cleared:
            self.quarantine.merge_cleared(now, fingerprint, frame.cleared)
        self.on_change()

    def close(self) -> None:
        """Cancel the reports that are still being sent."""
        for task in self._tasks:
            task.cancel()
