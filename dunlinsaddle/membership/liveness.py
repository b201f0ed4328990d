"""Liveness check of the local target, based on its announcements."""

import asyncio
from enum import Enum

from dunlinsaddle.settings import Address

LATE_AFTER_SECONDS = 2.2  #: announcements come every second, and one may be lost
GONE_AFTER_SECONDS = 6.0  #: a target that announced itself periodically is gone after this
MIN_REPEATS = 2  #: announcements in a row that show that a target announces periodically
CONNECT_TIMEOUT_SECONDS = 1.0  #: a live target accepts a connection within milliseconds


class HeartbeatStatus(Enum):
    """Classifies the time since the last announcement of a target."""

    FRESH = 'fresh'
    LATE = 'late'
    GONE = 'gone'


class TargetMonitor:
    """Decides whether a target is gone from the announcements that it sends periodically.

    A late target may only be slow: it counts as gone if it also refuses connections. A target
    that accepts connections but has sent no announcement for ``GONE_AFTER_SECONDS`` is frozen and
    counts as gone, too. This applies only to a target that used to announce itself periodically:
    one that announced itself only once is gone when its port refuses connections.
    """

    def __init__(self) -> None:
        self._last_announcement: float | None = None
        self._consecutive_announcements = 0

    def record_announcement(self, now: float) -> None:
        """Record an announcement."""
        if (
            self._last_announcement is not None
            and now - self._last_announcement < GONE_AFTER_SECONDS
        ):
            self._consecutive_announcements += 1
        else:
            self._consecutive_announcements = 0
        self._last_announcement = now

    def heartbeat_status(self, now: float) -> HeartbeatStatus:
        """Classify the time since the last announcement; FRESH before the first."""
        silence = 0.0 if self._last_announcement is None else now - self._last_announcement
        if silence >= GONE_AFTER_SECONDS and self._consecutive_announcements >= MIN_REPEATS:
            return HeartbeatStatus.GONE
        return HeartbeatStatus.LATE if silence >= LATE_AFTER_SECONDS else HeartbeatStatus.FRESH

    async def is_gone(self, now: float, address: Address) -> bool:
        """Return whether the target is gone."""
        match self.heartbeat_status(now):
            case HeartbeatStatus.FRESH:
                return False
            case HeartbeatStatus.GONE:
                return True
        return await _refuses_connection(address)


async def _refuses_connection(address: Address) -> bool:
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    writer.close()
    return False
