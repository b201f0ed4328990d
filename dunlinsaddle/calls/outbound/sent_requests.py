"""The requests that one connection to a server has carried."""

#: Remembered for one connection; a hundred requests a second for ten seconds.
MAX_REMEMBERED_REQUESTS = 1000


class SentRequests:
    """Remembers the requests of one connection as long as they may be sent again.

    An answer names its request, but not which send of the request it belongs to. If a server sends
    an answer twice, the copy can arrive at any later time on the same connection. There it would be
    taken for the answer to a further send of that request: a copy of a refusal would say that the
    request has not run, while it runs. So a connection never carries a request twice, and a copy
    never meets a send that it could belong to.
    """

    def __init__(self) -> None:
        self._deadlines: dict[str, float] = {}  #: by request id, in the order of the sends

    def __len__(self) -> int:
        return len(self._deadlines)

    def add(self, now: float, request_id: str, deadline: float) -> None:
        """Remember a request, which is not sent again after its deadline."""
        if request_id:
            self._forget_expired(now)
            self._deadlines[request_id] = deadline

    def allows(self, now: float, request_id: str) -> bool:
        """Return whether the connection may carry a request; a full one carries no further."""
        self._forget_expired(now)
        is_full = len(self._deadlines) >= MAX_REMEMBERED_REQUESTS
        return not is_full and request_id not in self._deadlines

    def _forget_expired(self, now: float) -> None:
        while self._deadlines:
            request_id, deadline = next(iter(self._deadlines.items()))
            if deadline > now:
                return
            del self._deadlines[request_id]
