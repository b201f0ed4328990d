"""Word between nodes of requests that targets died of."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from dunlinsaddle.calls.link import PeerLinks
from dunlinsaddle.calls.messages import TargetDeaths
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.membership.view import Member
from dunlinsaddle.policy.quarantine import Quarantine


class CrashNotifier(OnLoop):
    """Tells other nodes of deaths here, and takes what they tell.

    The caller of a request that killed its target sends it again at once, by any entry: only
    the nodes beside the other targets stand between the request and a further death.
    """

    def __init__(
        self,
        links: PeerLinks,
        quarantine: Quarantine,
        others: Callable[[], Iterable[Member]],
        logger: logging.Logger,
    ) -> None:
        self.links = links
        self.quarantine = quarantine
        self.others = others
        self.logger = logger
        self._tasks: set[asyncio.Task[bool]] = set()

    def broadcast(self, fingerprint: int, deaths: int) -> None:
        """Warn the nodes that the request could reach next."""
        extra = {'fingerprint': f'{fingerprint:016x}', 'deaths': deaths}
        self.logger.warning('target died while it ran a request', extra=extra)
        for member in self.others():
            word = self.links.notify(member.peers, TargetDeaths(fingerprint, deaths))
            task = self.loop.create_task(word)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def receive(self, frame: TargetDeaths) -> None:
        """Take the word of another node."""
        self.quarantine.merge_deaths(self.now(), frame.fingerprint, frame.deaths)

    def close(self) -> None:
        """End what is still being told."""
        for task in self._tasks:
            task.cancel()
