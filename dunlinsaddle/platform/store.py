"""The platform's object API as a node and the command-line tool see it."""

from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from result import Result

JsonValue = Any  #: whatever JSON can hold


class StoredObject(NamedTuple):
    """An object with its version; ``value`` is None once it is deleted.

    Versions come from one counter of the platform and never go back, so of two versions of
    an object the higher is always the later one.
    """

    kind: str
    name: str
    version: int
    value: JsonValue


class Listing(NamedTuple):
    """Objects of a kind, and the counter's value that the listing is complete up to."""

    objects: list[StoredObject]
    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition was not met; ``current`` is what stands there now, if anything."""

    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform gave no answer: a write may or may not have taken effect."""

    detail: str


StoreError = Conflict | Unavailable
WATCH_GRACE = 2.0
ABSENT = 0  #: as an expected version: the object must not exist


class ObjectStore(Protocol):
    """What the system asks of the platform; ``calls`` counts what it asked so far."""

    calls: int

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, Unavailable]:
        """Read one object; None where there never was one."""

    async def list(self, kind: str) -> Result[Listing, Unavailable]:
        """Read all objects of a kind, deleted ones too as long as the platform keeps them."""

    async def put(
        self, kind: str, name: str, value: JsonValue, expected: int
    ) -> Result[StoredObject, StoreError]:
        """Write on the condition that the version is ``expected``."""

    async def delete(self, kind: str, name: str, expected: int) -> Result[StoredObject, StoreError]:
        """Delete on the condition that the version is ``expected``."""

    async def watch(
        self, kind: str, since: int, timeout: float, grace: float = WATCH_GRACE
    ) -> Result[Listing, Unavailable]:
        """Wait until something of a kind is newer than ``since``; empty after ``timeout`` s.

        ``grace`` is how many seconds the answer itself may take.
        """
