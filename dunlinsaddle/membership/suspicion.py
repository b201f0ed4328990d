"""Timers of suspected members, which are declared dead unless they refute in time."""

from dunlinsaddle.membership.tuning import GossipTimes


class SuspicionTimers:
    """Holds the suspected members and the start of each suspicion."""

    def __init__(self, times: GossipTimes) -> None:
        self.times = times
        self._since: dict[str, float] = {}

    def start(self, now: float, instance: str) -> None:
        """Start the timer of a member, if it does not run yet."""
        self._since.setdefault(instance, now)

    def remove(self, instance: str) -> None:
        """Stop the timer of a member."""
        self._since.pop(instance, None)

    def restart_all(self, now: float) -> None:
        """Restart the timers of all suspected members."""
        self._since = dict.fromkeys(self._since, now)

    def pop_expired(self, now: float) -> list[str]:
        """Remove and return the members whose timer has expired.

        The timeout grows with the number of suspected members: if there are many, the network has
        probably failed, and their refutations take longer to get through the byte budget.
        """
        patience = self.times.suspicion_timeout + len(self._since) * self.times.suspicion_per_member
        limit = min(patience, self.times.max_suspicion_timeout)
        found = [instance for instance, since in self._since.items() if now - since >= limit]
        for instance in found:
            del self._since[instance]
        return found
