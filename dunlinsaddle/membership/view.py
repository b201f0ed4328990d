"""The instances that a node knows of, merged from what it hears in any order."""

from collections.abc import Callable, Iterable
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
    def serving(self) -> bool:
        """Whether new work may be sent there."""
        return self.state in (State.ALIVE, State.SUSPECT) and bool(self.service)

    @property
    def gone(self) -> bool:
        """Whether it is held to run no longer."""
        return self.state in (State.DEAD, State.LEFT)


OnChange = Callable[[Member | None, Member], None]  #: the word before, if any, and the new one


class MemberView:
    """The newest word on each instance. ``version`` grows with each change of any of them."""

    def __init__(self, on_change: OnChange = lambda before, now: None) -> None:
        self._on_change = on_change
        self.version = 0
        self._members: dict[str, Member] = {}
        self._serving: dict[str, list[Member]] = {}

    def take(self, member: Member) -> bool:
        """Take a word on an instance if it is newer; say whether it was."""
        held = self._members.get(member.instance)
        if held is not None and _order(held) >= _order(member):
            return False
        self._members[member.instance] = member
        self._serving.clear()
        self.version += 1
        self._on_change(held, member)
        return True

    def find(self, instance: str) -> Member | None:
        """Give the newest word on one instance."""
        return self._members.get(instance)

    def serving(self, service: str) -> list[Member]:
        """Give the instances whose targets may be given work of a service.

        Suspected ones only where no other is left: after a cut all of a service may be
        suspected at once, and a call that may fail is better than a certain refusal.
        """
        # Asked once a call: a scan of all members at each would grow with the fleet.
        held = self._serving.get(service)
        if held is None:
            able = [m for m in self._members.values() if m.service == service and m.serving]
            held = [m for m in able if m.state == State.ALIVE] or able
            self._serving[service] = held
        return held

    def members(self) -> Iterable[Member]:
        """Give all, the dead too."""
        return self._members.values()

    def drop(self, instance: str) -> None:
        """Forget an instance that has long gone."""
        self._members.pop(instance, None)
        self._serving.clear()
        self.version += 1


def _order(member: Member) -> tuple[int, int]:
    return (member.incarnation, member.state)
