"""The platform's object API as a node and the command-line tool see it."""

from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from result import Result

JsonValue = Any  #: whatever JSON can hold
#: Versions of one epoch: a year's at 30,000 changes a second, and a power of ten, so that people
#: can read both parts of a version.
VERSIONS_PER_EPOCH = 10**12


class StorePosition(NamedTuple):
    """A place in the history of the store, as the store tells it.

    The store's counter goes back when the store returns from an older copy, and gives its values
    out again; the epoch rises each time.
    """

    epoch: int
    revision: int


def position_to_version(position: StorePosition) -> int:
    """Give the version of a place: one number that never goes back, in any epoch.

    What was read before the store returned from a copy has a lower version than all that is
    read afterwards, also what the copy held all the time.
    """
    return position.epoch * VERSIONS_PER_EPOCH + position.revision


def version_to_position(version: int) -> StorePosition:
    """Give the place of a version."""
    return StorePosition(*divmod(version, VERSIONS_PER_EPOCH))


class StoredObject(NamedTuple):
    """An object with its version; ``value`` is None once it is deleted.

    Of two versions the higher is always the later one, see ``position_to_version``.
    """

    kind: str
    name: str
    version: int
    value: JsonValue


class Listing(NamedTuple):
    """Objects of a kind, and the version that the listing is complete up to."""

    objects: list[StoredObject]
    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition was not met; ``current`` is what stands there now, if anything."""

    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform gave no answer: a write may or may not have taken effect."""

    detail: str


StoreError = Conflict | Unavailable
WATCH_GRACE_SECONDS = 2.0
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
        self, kind: str, since: int, timeout: float, grace: float = WATCH_GRACE_SECONDS
    ) -> Result[Listing, Unavailable]:
        """Wait until something of a kind is newer than ``since``; empty after ``timeout`` s.

        With a version from before the store returned from a copy it gives all objects, at once.
        ``grace`` is how many seconds the answer itself may take.
        """
