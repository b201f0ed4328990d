"""Whether the target beside a node is still there."""

import asyncio
from enum import Enum

from dunlinsaddle.settings import Address

LATE_AFTER_SECONDS = 2.2  #: seconds of silence; announcements come each second, and one may be lost
GONE_AFTER_SECONDS = 6.0  #: seconds of silence after which one that used to repeat itself has gone
MIN_REPEATS = 2  #: announcements in a row that show that a target repeats itself
CONNECT_TIMEOUT_SECONDS = 1.0  #: seconds; a live target takes a connection within milliseconds


class HeartbeatStatus(Enum):
    """What the time since the last announcement says."""

    FRESH = 'fresh'
    LATE = 'late'
    GONE = 'gone'


class TargetMonitor:
    """Judges a target by its announcements, which come every two seconds.

    One that is late may only be slow: it is gone when it also refuses connections. One that
    accepts them and stays silent for three periods is frozen, and gone as well. That holds
    only for a target that used to repeat itself: one that announced itself once and says no
    more is as well as its port.
    """

    def __init__(self) -> None:
        self._heard: float | None = None
        self._repeats = 0

    def record_announcement(self, now: float) -> None:
        """Note an announcement."""
        if self._heard is not None and now - self._heard < GONE_AFTER_SECONDS:
            self._repeats += 1
        else:
            self._repeats = 0
        self._heard = now

    def heartbeat_status(self, now: float) -> HeartbeatStatus:
        """Judge the silence; before the first announcement there is nothing to miss."""
        silence = 0.0 if self._heard is None else now - self._heard
        if silence >= GONE_AFTER_SECONDS and self._repeats >= MIN_REPEATS:
            return HeartbeatStatus.GONE
        return HeartbeatStatus.LATE if silence >= LATE_AFTER_SECONDS else HeartbeatStatus.FRESH

    async def is_gone(self, now: float, address: Address) -> bool:
        """Say whether the target has gone."""
        match self.heartbeat_status(now):
            case HeartbeatStatus.FRESH:
                return False
            case HeartbeatStatus.GONE:
                return True
        return await _refuses(address)


async def _refuses(address: Address) -> bool:
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    writer.close()
    return False
