"""Which connection is closed when a new one arrives and there are too many."""

from enum import Enum, auto
from typing import Generic, TypeVar

Conn = TypeVar('Conn')


class Activity(Enum):
    """What a connection is occupied with; those that lose least by a close come first."""

    IDLE = auto()  #: nothing of a request has been read
    READING = auto()  #: a request has begun to arrive, and has not been passed on
    SENDING = auto()  #: its caller does not take a response as fast as it is written
    BUSY = auto()  #: a request is in progress: the connection is not closed for another


class EvictionOrder(Generic[Conn]):
    """Orders connections by activity, and within one by how long it has lasted.

    If new connections were refused instead, a crowd that opens connections and keeps them would
    take the service from all others.
    """

    def __init__(self) -> None:
        self._activities: dict[Conn, Activity] = {}
        self._waiting: dict[Activity, dict[Conn, None]] = {
            activity: {} for activity in Activity if activity is not Activity.BUSY
        }

    def record(self, conn: Conn, activity: Activity) -> None:
        """Record what a connection does now."""
        if self._activities.get(conn) is activity:
            return
        self.remove(conn)
        self._activities[conn] = activity
        if activity is not Activity.BUSY:
            self._waiting[activity][conn] = None

    def remove(self, conn: Conn) -> None:
        """Forget a connection."""
        activity = self._activities.pop(conn, Activity.BUSY)
        if activity is not Activity.BUSY:
            del self._waiting[activity][conn]

    def first(self) -> Conn | None:
        """Return the connection to close, or None if a request is in progress on each."""
        return next((conn for group in self._waiting.values() for conn in group), None)
