"""Tombstones of members that died or left."""

from dunlinsaddle.membership.view import Member, MemberView


class Tombstones:
    """Keeps members that died or left for ``ttl`` seconds, then their incarnations as long again.

    The incarnation of a removed member prevents an outdated update from adding it again.
    """

    def __init__(self, view: MemberView, ttl: float) -> None:
        self.view = view
        self.ttl = ttl
        self._since: dict[str, float] = {}
        self._last_incarnations: dict[str, tuple[int, float]] = {}

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
        last = self._last_incarnations.get(instance)
        return last is not None and incarnation <= last[0]

    def expire(self, now: float) -> None:
        """Remove expired members from the view, and expired incarnations."""
        for instance, since in list(self._since.items()):
            if now - since >= self.ttl:
                self._expire_member(now, instance)
        for instance, (_, since) in list(self._last_incarnations.items()):
            if now - since >= self.ttl:
                del self._last_incarnations[instance]

    def _expire_member(self, now: float, instance: str) -> None:
        """Remove a member, but keep its incarnation: an old update must not add it again."""
        member = self.view.find(instance)
        del self._since[instance]
        if member is not None:
            self._last_incarnations[instance] = (member.incarnation, now)
            self.view.remove(instance)
