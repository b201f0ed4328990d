"""Timers of suspected members, which are declared dead unless they refute in time."""

from dunlinsaddle.membership.tuning import GossipTimes


class SuspicionTimers:
    """Holds the suspected members and the start of each suspicion."""

    def __init__(self, times: GossipTimes) -> None:
        self.times = times
        self._suspected_since: dict[str, float] = {}

    def start(self, now: float, instance: str) -> None:
        """Start the timer of a member, if it does not run yet."""
        self._suspected_since.setdefault(instance, now)

    def remove(self, instance: str) -> None:
        """Stop the timer of a member."""
        self._suspected_since.pop(instance, None)

    def restart_all(self, now: float) -> None:
        """Restart the timers of all suspected members."""
        self._suspected_since = dict.fromkeys(self._suspected_since, now)

    def pop_expired(self, now: float) -> list[str]:
        """Remove and return the members whose timer has expired.

        The timeout grows with the number of suspected members: if there are many, the network has
        probably failed, and their refutations take longer to get through the byte budget.
        """
        uncapped_timeout = (
            self.times.suspicion_timeout
            + len(self._suspected_since) * self.times.suspicion_per_member
        )
        timeout = min(uncapped_timeout, self.times.max_suspicion_timeout)
        expired = [
            instance
            for instance, suspected_since in self._suspected_since.items()
            if now - suspected_since >= timeout
        ]
        for instance in expired:
            del self._suspected_since[instance]
        return expired
