"""Tombstones of members that died or left."""

from dunlinsaddle.membership.view import Member, MemberView


class Tombstones:
    """Keeps members that died or left for ``ttl`` seconds, then their incarnations as long again.

    That incarnation is the floor that an update must exceed to add a removed member again.
    """

    def __init__(self, view: MemberView, ttl: float) -> None:
        self.view = view
        self.ttl = ttl
        self._gone_since: dict[str, float] = {}
        self._removed_incarnations: dict[str, tuple[int, float]] = {}

    def add(self, gone_since: float, instance: str) -> None:
        """Record that a member died or left at ``gone_since``."""
        self._gone_since[instance] = gone_since

    def remove(self, instance: str) -> None:
        """Record that a member is alive again."""
        self._gone_since.pop(instance, None)

    def age(self, now: float, instance: str) -> float:
        """Return for how many seconds a member has been gone, 0 for a live member."""
        return now - self._gone_since.get(instance, now)

    def members(self) -> list[Member]:
        """Return the dead and departed members that are still in the view."""
        return [m for m in map(self.view.find, self._gone_since) if m]

    def is_outdated(self, instance: str, incarnation: int) -> bool:
        """Return whether an incarnation belongs to a member that was already removed."""
        floor = self._removed_incarnations.get(instance)
        return floor is not None and incarnation <= floor[0]

    def expire(self, now: float) -> None:
        """Remove expired members from the view, and expired incarnations."""
        for instance, gone_since in list(self._gone_since.items()):
            if now - gone_since >= self.ttl:
                self._remove_from_view(now, instance)
        for instance, (_, removed_at) in list(self._removed_incarnations.items()):
            if now - removed_at >= self.ttl:
                del self._removed_incarnations[instance]

    def _remove_from_view(self, now: float, instance: str) -> None:
        """Remove a member, but keep its incarnation: an old update must not add it again."""
        removed = self.view.find(instance)
        del self._gone_since[instance]
        if removed is not None:
            self._removed_incarnations[instance] = (removed.incarnation, now)
            self.view.remove(instance)
