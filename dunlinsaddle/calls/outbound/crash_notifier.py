"""Exchange between nodes of requests that crashed a target."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from dunlinsaddle.calls.messages import TargetCrashes
from dunlinsaddle.calls.outbound.link import PeerLinks
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.view import Member
from dunlinsaddle.policy.quarantine import Quarantine


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
        self._tasks: set[asyncio.Task[bool]] = set()

    def broadcast(self, fingerprint: int, crash_count: int) -> None:
        """Report a request and its number of crashes to the nodes that it could reach next."""
        extra = {'fingerprint': f'{fingerprint:016x}', 'deaths': crash_count}
        self.logger.warning('target died while it ran a request', extra=extra)
        for member in self.recipients():
            report = self.links.notify(member.peers, TargetCrashes(fingerprint, crash_count))
            task = self.loop.create_task(report)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def receive(self, frame: TargetCrashes) -> None:
        """Record a report of another node."""
        self.quarantine.merge_crash_count(self.now(), frame.fingerprint, frame.crash_count)

    def close(self) -> None:
        """Cancel the reports that are still being sent."""
        for task in self._tasks:
            task.cancel()
