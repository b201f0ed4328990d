"""Members that gave no answer, and how long they have to deny that they are dead."""

from dunlinsaddle.membership.tuning import GossipTimes


class SuspicionTimers:
    """Who is suspected, and since when."""

    def __init__(self, times: GossipTimes) -> None:
        self.times = times
        self._since: dict[str, float] = {}

    def start(self, now: float, instance: str) -> None:
        """Suspect a member, from now on if it was not suspected before."""
        self._since.setdefault(instance, now)

    def remove(self, instance: str) -> None:
        """Suspect a member no longer."""
        self._since.pop(instance, None)

    def restart_all(self, now: float) -> None:
        """Give all of them their time once more."""
        self._since = dict.fromkeys(self._since, now)

    def pop_expired(self, now: float) -> list[str]:
        """Take out those whose time is up.

        When many are suspected at once it is rather the network that has failed, and their
        denials need time to get through the byte budget.
        """
        patience = self.times.suspicion_timeout + len(self._since) * self.times.suspicion_per_member
        limit = min(patience, self.times.max_suspicion_timeout)
        found = [instance for instance, since in self._since.items() if now - since >= limit]
        for instance in found:
            del self._since[instance]
        return found
