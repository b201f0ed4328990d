"""Interface of the platform's object store, and its versions."""

from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from result import Result

JsonValue = Any  #: any value that JSON can represent
#: Enough for a year at 30,000 changes per second. A power of ten, so that the epoch and the
#: revision are visible in the decimal digits of a version.
VERSIONS_PER_EPOCH = 10**12


class StorePosition(NamedTuple):
    """A position in the history of the store.

    When the store is restored from a backup, its revision counter goes back and reuses values;
    the epoch is incremented each time.
    """

    epoch: int
    revision: int


def position_to_version(position: StorePosition) -> int:
    """Return the version of a position: one number that never decreases across epochs.

    Everything read before the store was restored has a lower version than anything read
    afterwards, including objects that the backup contained.
    """
    return position.epoch * VERSIONS_PER_EPOCH + position.revision


def version_to_position(version: int) -> StorePosition:
    """Return the position of a version."""
    return StorePosition(*divmod(version, VERSIONS_PER_EPOCH))


class StoredObject(NamedTuple):
    """An object with its version; ``value`` is None once it is deleted.

    A higher version is always the later one, see ``position_to_version``.
    """

    kind: str
    name: str
    version: int
    value: JsonValue


class Listing(NamedTuple):
    """Objects of a kind, and the version up to which the listing is complete."""

    objects: list[StoredObject]
    version: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The version was not the expected one; ``current`` is the stored object, if any."""

    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not respond: a write may or may not have taken effect."""

    detail: str


StoreError = Conflict | Unavailable
WATCH_GRACE_SECONDS = 2.0
ABSENT = 0  #: as the expected version: the object must not exist


class ObjectStore(Protocol):
    """Object store of the platform; ``calls`` counts the calls made so far."""

    calls: int

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, Unavailable]:
        """Return an object, None if it never existed."""

    async def list(self, kind: str) -> Result[Listing, Unavailable]:
        """Return all objects of a kind, including deleted ones while the platform keeps them."""

    async def put(
        self, kind: str, name: str, value: JsonValue, expected: int
    ) -> Result[StoredObject, StoreError]:
        """Write an object if its version is ``expected``."""

    async def delete(self, kind: str, name: str, expected: int) -> Result[StoredObject, StoreError]:
        """Delete an object if its version is ``expected``."""

    async def watch(
        self, kind: str, since: int, timeout: float, grace: float = WATCH_GRACE_SECONDS
    ) -> Result[Listing, Unavailable]:
        """Wait for changes of a kind after ``since``; empty after ``timeout`` seconds.

        If ``since`` is from before the store was restored, return all objects at once. ``grace``
        is how many seconds the response itself may take.
        """
