"""The membership view of a node, merged from updates that arrive in any order."""

from collections.abc import Callable, Iterable

from dunlinsaddle.membership.digests import Digests
from dunlinsaddle.membership.member import Member, State

__all__ = ['Member', 'MemberView', 'OnChange', 'State']

#: Called with the previous entry, if any, and the new one.
OnChange = Callable[[Member | None, Member], None]


class MemberView:
    """Holds the newest entry of each instance. ``version`` increases with each change."""

    def __init__(self, on_change: OnChange = lambda before, now: None) -> None:
        self._on_change = on_change
        self.version = 0
        self.digests = Digests()
        self._members: dict[str, Member] = {}
        self._serving: dict[str, list[Member]] = {}

    def merge(self, member: Member) -> bool:
        """Apply an entry if it is newer than the current one; return whether it was."""
        current = self._members.get(member.instance)
        if current is not None and _precedence(current) >= _precedence(member):
            return False
        self._members[member.instance] = member
        self.digests.replace(current, member)
        # Invalidate only the services concerned: among hundreds of members some always change.
        self._serving.pop(member.service, None)
        if current is not None:
            self._serving.pop(current.service, None)
        self.version += 1
        self._on_change(current, member)
        return True

    def __len__(self) -> int:
        return len(self._members)

    def find(self, instance: str) -> Member | None:
        """Return the newest entry of an instance, or None."""
        return self._members.get(instance)

    def serving_members(self, service: str) -> list[Member]:
        """Return the instances whose targets accept requests of a service.

        Suspected instances are returned only if no other is left: after a network partition all
        instances of a service may be suspected, and a request that may fail is better than a
        certain rejection.
        """
        # Cached, because this runs for each request and a scan would grow with the fleet.
        serving = self._serving.get(service)
        if serving is None:
            available = [m for m in self._members.values() if m.service == service and m.is_serving]
            serving = [m for m in available if m.state == State.ALIVE] or available
            self._serving[service] = serving
        return serving

    def members(self) -> Iterable[Member]:
        """Return all members, including dead ones."""
        return self._members.values()

    def remove(self, instance: str) -> None:
        """Remove an instance."""
        current = self._members.pop(instance, None)
        if current is None:
            return
        self.digests.remove(current)
        self._serving.pop(current.service, None)
        self.version += 1


def _precedence(member: Member) -> tuple[int, int]:
    return (member.incarnation, member.state)
