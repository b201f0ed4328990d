"""Bound on the memory of the request bodies that a node holds at the same time."""

import math


class BodyMemory:
    """Counts the bytes of request bodies over all connections of a node, up to a limit.

    A body counts once, from the time when its length is known or its bytes arrive until its
    response is ready. While it is forwarded, its copies in write buffers take memory, too: at most
    two, of the frame to a peer and of the request to the target.
    """

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit  #: in bytes
        self.held = 0

    def reserve(self, size: int) -> bool:
        """Count ``size`` further bytes; return False, and count nothing, beyond the limit."""
        if self.held + size > self.limit:
            return False
        self.held += size
        return True

    def release(self, size: int) -> None:
        """Discount ``size`` bytes that were reserved."""
        self.held -= size
