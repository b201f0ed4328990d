"""Claims of opaque idempotency keys: one stored object per key, created only if absent."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from result import Err, Ok

from dunlinsaddle.platform.store import ABSENT, Conflict, ObjectStore, StoredObject
from dunlinsaddle.policy.keys import OpaqueKey
from dunlinsaddle.policy.ownership import Owner

CLAIM_KIND = 'once-keys'


class Claim(NamedTuple):
    """The owner of an opaque key and the time of its claim in Unix milliseconds."""

    owner: Owner
    birth: int


async def claim_key(
    store: ObjectStore, service: str, key: OpaqueKey, me: Owner, clock: Callable[[], int]
) -> Claim | None:
    """Claim a key and return its claim, which may be another owner's; None if the owner is unknown.

    If the answer to the write is lost, the claim is read back. A claim of this node that was read
    is permanent. If nothing can be read, the key must not run, because another node may have
    claimed it.
    """
    name = f'{service}.{key.object_name}'
    claim = Claim(me, clock())
    match await store.put(CLAIM_KIND, name, msgspec.to_builtins(claim), ABSENT):
        case Ok(_):
            return claim
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
