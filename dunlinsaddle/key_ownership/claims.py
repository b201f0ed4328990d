"""Claims of opaque keys: one object of the platform for each, created if absent."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from result import Err, Ok

from dunlinsaddle.platform.store import ABSENT, Conflict, ObjectStore, StoredObject
from dunlinsaddle.policy.keys import OpaqueKey
from dunlinsaddle.policy.ownership import Owner

CLAIM_KIND = 'once-keys'


class Claim(NamedTuple):
    """Who may run an opaque key, and when it was claimed, in Unix milliseconds."""

    owner: Owner
    birth: int


async def claim_key(
    store: ObjectStore, service: str, key: OpaqueKey, me: Owner, clock: Callable[[], int]
) -> Claim | None:
    """Claim a key, or say who did; None while the platform cannot tell.

    A lost answer is settled by reading. What is read as ours is ours for good; where nothing
    can be read, the key must not be run, for another node may have claimed it.
    """
    name = f'{service}.{key.object_name}'
    wanted = Claim(me, clock())
    match await store.put(CLAIM_KIND, name, msgspec.to_builtins(wanted), ABSENT):
        case Ok(_):
            return wanted
        case Err(Conflict(current)):
            return _claim_of(current)
    match await store.get(CLAIM_KIND, name):
        case Ok(current):
            return _claim_of(current)
    return None


def _claim_of(stored: StoredObject | None) -> Claim | None:
    if stored is None:
        return None
    try:
        return msgspec.convert(stored.value, Claim)
    except msgspec.ValidationError:
        return None
