"""The instances that a node knows of, merged from what it hears in any order."""

from collections.abc import Callable, Iterable

from dunlinsaddle.membership.digests import Digests
from dunlinsaddle.membership.member import Member, State

__all__ = ['Member', 'MemberView', 'OnChange', 'State']

OnChange = Callable[[Member | None, Member], None]  #: the word before, if any, and the new one


class MemberView:
    """The newest word on each instance. ``version`` grows with each change of any of them."""

    def __init__(self, on_change: OnChange = lambda before, now: None) -> None:
        self._on_change = on_change
        self.version = 0
        self.digests = Digests()
        self._members: dict[str, Member] = {}
        self._serving: dict[str, list[Member]] = {}

    def merge(self, member: Member) -> bool:
        """Take a word on an instance if it is newer; say whether it was."""
        held = self._members.get(member.instance)
        if held is not None and _order(held) >= _order(member):
            return False
        self._members[member.instance] = member
        self.digests.replace(held, member)
        # Only of the services that it concerns: members change all the time among hundreds.
        self._serving.pop(member.service, None)
        if held is not None:
            self._serving.pop(held.service, None)
        self.version += 1
        self._on_change(held, member)
        return True

    def __len__(self) -> int:
        return len(self._members)

    def find(self, instance: str) -> Member | None:
        """Give the newest word on one instance."""
        return self._members.get(instance)

    def serving_members(self, service: str) -> list[Member]:
        """Give the instances whose targets may be given work of a service.

        Suspected ones only where no other is left: after a cut all of a service may be
        suspected at once, and a call that may fail is better than a certain refusal.
        """
        # Asked once a call: a scan of all members at each would grow with the fleet.
        held = self._serving.get(service)
        if held is None:
            able = [m for m in self._members.values() if m.service == service and m.is_serving]
            held = [m for m in able if m.state == State.ALIVE] or able
            self._serving[service] = held
        return held

    def members(self) -> Iterable[Member]:
        """Give all, the dead too."""
        return self._members.values()

    def remove(self, instance: str) -> None:
        """Forget an instance that has long gone."""
        held = self._members.pop(instance, None)
        if held is None:
            return
        self.digests.remove(held)
        self._serving.pop(held.service, None)
        self.version += 1


def _order(member: Member) -> tuple[int, int]:
    return (member.incarnation, member.state)
