"""Member entries of the gossip."""

from enum import IntEnum
from typing import NamedTuple

from dunlinsaddle.settings import Address


class State(IntEnum):
    """State of an instance. Within one incarnation the higher state takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DRAINING = 2
    DEAD = 3
    LEFT = 4


class Member(NamedTuple):
    """An instance as it announced itself, and its state.

    ``incarnation`` increases with each start of the instance, with each change of its own entry,
    and when it refutes a suspicion. ``service`` is empty while the instance has no target.
    """

    instance: str
    incarnation: int
    state: State
    domain: str
    service: str
    peers: Address
    gossip: Address
    #: Checksum of the id and the start of the target, 0 if unknown. Not part of the digests: nodes
    #: of older versions do not relay it, and their views would never match.
    target_checksum: int = 0

    @property
    def is_serving(self) -> bool:
        """Whether new requests may be sent to the instance."""
        return self.state in (State.ALIVE, State.SUSPECT) and bool(self.service)

    @property
    def is_gone(self) -> bool:
        """Whether the instance is known to have died or left."""
        return self.state in (State.DEAD, State.LEFT)
