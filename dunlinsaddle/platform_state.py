"""Whether the platform responds to a node's calls."""


class PlatformState:
    """Whether the platform responds to this node's calls, and since when."""

    def __init__(self) -> None:
        self.reachable: bool | None = None  #: None while unknown
        self.changed_at = 0.0

    def record_result(self, now: float, reachable: bool) -> bool:
        """Record whether a call was answered; return whether that is a change."""
        if reachable is self.reachable:
            return False
        self.reachable = reachable
        self.changed_at = now
        return True
