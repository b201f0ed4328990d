"""Timings and transport interface used by record synchronisation."""

from typing import NamedTuple, Protocol

from dunlinsaddle.calls.messages import RecordsPush, RecordsRequest, RecordsResponse
from dunlinsaddle.platform.store import WATCH_GRACE_SECONDS
from dunlinsaddle.settings import Address

TIMER_SLACK = 0.1  #: seconds by which a timer may fire early compared with the monotonic clock


class SyncTimings(NamedTuple):
    """Intervals, timeouts and backoffs of record synchronisation, in seconds."""

    watch_timeout: float = 3.0  #: a dead connection is detected within this plus the grace
    watch_grace: float = WATCH_GRACE_SECONDS
    max_watch_grace: float = 30.0
    initial_backoff: float = 0.2
    max_backoff: float = 2.0
    exchange_interval: float = 2.0
    response_timeout: float = 1.0
    unresponsive_seconds: float = 4.0  #: for which a peer that did not respond is skipped
    startup_jitter: float = 0.3
    stale_after: float = 15.0
    overdue_poll_interval: float = 2.0  #: of watchers whose watch is overdue
    poll_delay_per_member: float = 2.0  #: limits a domain to one poll in two seconds on average


class RecordTransport(Protocol):
    """Interface of the links to peers."""

    async def fetch_records(
        self, address: Address, request: RecordsRequest, timeout: float
    ) -> RecordsResponse | None:
        """Request records from a peer; return None if there is no response."""

    async def notify(self, address: Address, push: RecordsPush) -> bool:
        """Send records to a peer; return whether there is a link to it."""


class WatchGrace:
    """How long a watch waits for its response beyond the requested timeout, in seconds."""

    def __init__(self, timings: SyncTimings) -> None:
        self.timings = timings
        self.seconds = timings.watch_grace

    def update(self, overrun_seconds: float, *, answered: bool) -> None:
        """Adapt the grace to how late the last response was.

        With a short fixed grace, no response of a slow platform would ever arrive in time;
        with a long one, a dead connection would delay a node that has rejoined.
        """
        if answered and overrun_seconds >= 0:
            self.seconds = min(
                max(self.timings.watch_grace, overrun_seconds * 3), self.timings.max_watch_grace
            )
        elif not answered and overrun_seconds >= self.seconds - TIMER_SLACK:
            self.seconds = min(self.seconds * 2, self.timings.max_watch_grace)
