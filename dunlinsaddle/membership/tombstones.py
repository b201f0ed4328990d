"""Members that have gone: since when, and the numbers that old words on them must exceed."""

from dunlinsaddle.membership.view import Member, MemberView


class Tombstones:
    """Holds the gone for ``ttl`` seconds, and their numbers as long again."""

    def __init__(self, view: MemberView, ttl: float) -> None:
        self.view = view
        self.ttl = ttl
        self._since: dict[str, float] = {}
        self._floors: dict[str, tuple[int, float]] = {}

    def add(self, since: float, instance: str) -> None:
        """Note that a member has gone."""
        self._since[instance] = since

    def remove(self, instance: str) -> None:
        """Note that a member is there again."""
        self._since.pop(instance, None)

    def age(self, now: float, instance: str) -> float:
        """Give for how many seconds a member has been gone; 0 for one that is there."""
        return now - self._since.get(instance, now)

    def members(self) -> list[Member]:
        """Give the gone that are still held."""
        return [m for m in map(self.view.find, self._since) if m]

    def is_outdated(self, instance: str, incarnation: int) -> bool:
        """Whether a word is on a run of a member that was forgotten already."""
        floor = self._floors.get(instance)
        return floor is not None and incarnation <= floor[0]

    def expire(self, now: float) -> None:
        """Drop who has been gone for long, and numbers that no word comes for any more."""
        for instance, since in list(self._since.items()):
            if now - since >= self.ttl:
                self._expire_member(now, instance)
        for instance, (_, since) in list(self._floors.items()):
            if now - since >= self.ttl:
                del self._floors[instance]

    def _expire_member(self, now: float, instance: str) -> None:
        """Drop a member, but remember its number: an old delta must not bring it back."""
        held = self.view.find(instance)
        del self._since[instance]
        if held is not None:
            self._floors[instance] = (held.incarnation, now)
            self.view.remove(instance)
