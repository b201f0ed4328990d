"""One instance as a node knows it."""

from enum import IntEnum
from typing import NamedTuple

from dunlinsaddle.settings import Address


class State(IntEnum):
    """What is said of an instance. Within one incarnation a higher state goes first."""

    ALIVE = 0
    SUSPECT = 1
    DRAINING = 2
    DEAD = 3
    LEFT = 4


class Member(NamedTuple):
    """One instance as it announced itself, and its state.

    ``incarnation`` grows with each start of the instance, with each change of what it says of
    itself, and when it denies a suspicion. ``service`` is empty while no target has announced
    itself there.
    """

    instance: str
    incarnation: int
    state: State
    domain: str
    service: str
    peers: Address
    gossip: Address

    @property
    def is_serving(self) -> bool:
        """Whether new work may be sent there."""
        return self.state in (State.ALIVE, State.SUSPECT) and bool(self.service)

    @property
    def is_gone(self) -> bool:
        """Whether it is held to run no longer."""
        return self.state in (State.DEAD, State.LEFT)
