"""End of a graceful shutdown: waits for requests in progress, and logs what was left of them."""

import logging
from typing import NamedTuple

from dunlinsaddle.calls.call_state import RunningCalls
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.calls.inbound.peer_server import PeerServer


class Unfinished(NamedTuple):
    """What a node that stops still has in progress. Times in seconds, None if there is nothing."""

    connections: int  #: of callers, with a request that is read, answered or being sent
    requests: int  #: of callers, that have been started
    oldest: float | None  #: time since the oldest of these requests was started
    newest: float | None  #: time since the newest of these requests was started
    peer_calls: int  #: that other nodes have sent
    running: int  #: at the local target


class RequestDrain:
    """The parts of a node that answer requests, while it stops."""

    def __init__(self, callers: HttpListener, peers: PeerServer, running: RunningCalls) -> None:
        self.callers = callers
        self.peers = peers
        self.running = running

    async def finish_target(self) -> None:
        """Wait until the target has ended its calls, and serve those that it makes meanwhile.

        It makes them through the listener. If that were closed, a request that still runs at the
        target would fail for want of them.
        """
        self.callers.finish_connections()
        await self.running.wait_idle()

    async def finish(self) -> None:
        """Accept no new connections, and wait until no request and no call is in progress."""
        self.callers.stop_listening()
        await self.callers.wait_idle()
        await self.peers.wait_idle()
        await self.running.wait_idle()

    def unfinished(self) -> Unfinished:
        """Return what is in progress now."""
        ages = self.callers.request_ages()
        return Unfinished(
            sum(conn.is_busy for conn in self.callers.connections),
            len(ages),
            max(ages, default=None),
            min(ages, default=None),
            sum(len(link.calls) for link in self.peers.links),
            len(self.running),
        )

    def log_end(self, logger: logging.Logger, seconds: float) -> None:
        """Log how long the drain took, and what the node ends although it is in progress."""
        left = self.unfinished()
        is_complete = not (left.connections or left.peer_calls or left.running)
        level = logging.INFO if is_complete else logging.WARNING
        extra = {'seconds': round(seconds, 4), 'complete': is_complete, **left._asdict()}
        logger.log(level, 'drain ended', extra=extra)
