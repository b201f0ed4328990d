"""Tombstones of members that died or left."""

from dunlinsaddle.membership.view import Member, MemberView


class Tombstones:
    """Keeps members that died or left for ``ttl`` seconds, then their incarnations as long again.

    That incarnation is the floor that an update must exceed to add a removed member again.
    """

    def __init__(self, view: MemberView, ttl: float) -> None:
        self.view = view
        self.ttl = ttl
        self._since: dict[str, float] = {}
        self._floors: dict[str, tuple[int, float]] = {}

    def add(self, since: float, instance: str) -> None:
        """Record that a member died or left at ``since``."""
        self._since[instance] = since

    def remove(self, instance: str) -> None:
        """Record that a member is alive again."""
        self._since.pop(instance, None)

    def age(self, now: float, instance: str) -> float:
        """Return for how many seconds a member has been gone, 0 for a live member."""
        return now - self._since.get(instance, now)

    def members(self) -> list[Member]:
        """Return the dead and departed members that are still in the view."""
        return [m for m in map(self.view.find, self._since) if m]

    def is_outdated(self, instance: str, incarnation: int) -> bool:
        """Return whether an incarnation belongs to a member that was already removed."""
        floor = self._floors.get(instance)
        return floor is not None and incarnation <= floor[0]

    def expire(self, now: float) -> None:
        """Remove expired members from the view, and expired incarnations."""
        for instance, since in list(self._since.items()):
            if now - since >= self.ttl:
                self._forget(now, instance)
        for instance, (_, since) in list(self._floors.items()):
            if now - since >= self.ttl:
                del self._floors[instance]

    def _forget(self, now: float, instance: str) -> None:
        """Remove a member, but keep its incarnation: an old update must not add it again."""
        held = self.view.find(instance)
        del self._since[instance]
        if held is not None:
            self._floors[instance] = (held.incarnation, now)
            self.view.remove(instance)
