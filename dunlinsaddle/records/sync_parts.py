"""What the spreading of records is set by, and what it is given."""

from typing import NamedTuple, Protocol

from dunlinsaddle.calls.messages import RecordsPush, RecordsRequest, RecordsResponse
from dunlinsaddle.platform.store import WATCH_GRACE_SECONDS
from dunlinsaddle.settings import Address

TIMER_SLACK = 0.1  #: seconds by which a timer may fire early against the steady clock


class SyncTimings(NamedTuple):
    """How often a node does what. Seconds."""

    watch_timeout: float = 3.0  #: a connection gone silent is noticed within this and the grace
    watch_grace: float = WATCH_GRACE_SECONDS
    max_watch_grace: float = 30.0
    initial_backoff: float = 0.2
    max_backoff: float = 2.0
    exchange_interval: float = 2.0
    response_timeout: float = 1.0
    unresponsive_seconds: float = 4.0  #: for so long a peer that gave no answer is not asked again
    startup_jitter: float = 0.3
    stale_after: float = 15.0
    poll_delay_per_member: float = 2.0  #: keeps slow polls of one domain at one each two seconds


class RecordTransport(Protocol):
    """What is asked of the links to peers."""

    async def fetch_records(
        self, address: Address, request: RecordsRequest, timeout: float
    ) -> RecordsResponse | None:
        """Ask a peer for records; None when no answer comes."""

    async def notify(self, address: Address, push: RecordsPush) -> bool:
        """Send records to a peer; say whether there is a link to it."""


class PlatformState:
    """Since when the platform answers or does not, as this node's own calls show."""

    def __init__(self) -> None:
        self.reachable: bool | None = None
        self.changed_at = 0.0

    def record_result(self, now: float, reachable: bool) -> None:
        """Note the end of a call."""
        if reachable is not self.reachable:
            self.reachable = reachable
            self.changed_at = now


class WatchGrace:
    """How much longer than it asked for a watch waits for its answer."""

    def __init__(self, timings: SyncTimings) -> None:
        self.timings = timings
        self.seconds = timings.watch_grace

    def update(self, overrun_seconds: float, *, answered: bool) -> None:
        """Wait longer for a platform that is slow, and no longer than needed for a fast one.

        With one short bound a platform that is just slower would never be heard; with one
        long bound a connection that went silent would hold up a node that has rejoined.
        """
        if answered and overrun_seconds >= 0:
            self.seconds = min(
                max(self.timings.watch_grace, overrun_seconds * 3), self.timings.max_watch_grace
            )
        elif not answered and overrun_seconds >= self.seconds - TIMER_SLACK:
            self.seconds = min(self.seconds * 2, self.timings.max_watch_grace)
