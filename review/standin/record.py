"""The record of what was sent, answered and run."""

import time
from pathlib import Path
from typing import NamedTuple


class Event(NamedTuple):
    """One line of the record."""

    at: float  #: seconds since the start of the case
    what: str
    request_id: str
    detail: str


class Record:
    """Collects events in memory and writes them to a file at the end."""

    def __init__(self) -> None:
        self.started_at = time.monotonic()
        self.events: list[Event] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def add(self, what: str, request_id: str = '', detail: str = '') -> None:
        """Add an event that happens now."""
        self.events.append(Event(self.now(), what, request_id, detail))

    def of(self, what: str) -> list[Event]:
        """Return the events of one sort."""
        return [event for event in self.events if event.what == what]

    def write(self, path: Path) -> None:
        """Write all events, one a line."""
        lines = [f'{e.at:8.3f} {e.what:10} {e.request_id:20} {e.detail}' for e in self.events]
        path.write_text('\n'.join(lines) + '\n')
