"""How much of a shared retry budget the whole fleet uses, estimated from what other nodes tell."""

from collections.abc import Callable
from typing import NamedTuple

#: Seconds for which a node's counts are used; in that time they change by a fifth.
MAX_AGE_SECONDS = 2.0
MIN_NODES = 8  #: whose counts must be known, or half of all others
#: Shares of the bound that the fleet has used from which nodes send only what requests earn, and
#: nothing. The rest covers what they send until they know each other's counts.
OPEN_SHARE, CLOSED_SHARE = 0.8, 0.82
#: The same for a node whose load has moved to it: those that had it may have sent most repeats
#: before, and each estimate that is too low lets all such nodes send theirs.
MOVED_CLOSED_SHARE = 0.72
REOPEN_MARGIN = 0.1  #: below these, from which nodes send again; estimates vary by as much
#: Windows with a smaller share of the largest window's requests are not compared: the load began.
MIN_COMPARED_SHARE = 0.2
UPDATE_INTERVAL_SECONDS = 0.1  #: bounds the work for each repeat


class NodeCounts(NamedTuple):
    """Requests and repeats of one node and service."""

    #: Of the present window, the one half a window ago, and the one before.
    requests: tuple[int, int, int]
    repeats: int  #: of the present window, with those that were lent


class _Told(NamedTuple):
    at: float
    counts: NodeCounts
    is_peer: bool


class FleetSize(NamedTuple):
    """Number of other nodes. Peers make the same calls, and are asked more often than the rest."""

    peers: int
    rest: int

    @property
    def min_known(self) -> float:
        """Return the number of nodes whose counts must be known."""
        return min(MIN_NODES, (self.peers + self.rest) / 2)


class _Totals(NamedTuple):
    """Requests of the three windows, and repeats of the present one."""

    requests: tuple[float, float, float]
    repeats: float


def _add_up(known: list[NodeCounts], node_count: int) -> _Totals:
    """Return the totals of so many nodes, of which some are known."""
    weight = node_count / len(known) if known else 0.0
    present, half_ago, before = (
        weight * sum(counts.requests[index] for counts in known) for index in range(3)
    )
    return _Totals((present, half_ago, before), weight * sum(counts.repeats for counts in known))


class Room(NamedTuple):
    """What the fleet has left of its bound."""

    requests: tuple[float, float, float]  #: of the three windows
    used_share: float  #: of the bound
    is_closed: bool  #: whether no node may send any

    @property
    def is_open(self) -> bool:
        """Whether each node may send what the requests of a window allow."""
        return self.used_share < OPEN_SHARE

    @property
    def share_left(self) -> float:
        """Return the share of what the fleet may send that it has not sent."""
        return max(1 - self.used_share / CLOSED_SHARE, 0.0)

    def established_requests(self, own: NodeCounts) -> float:
        """Return the requests of the largest window that a node had its usual share of.

        Load that has moved to this node counts where it was: the nodes that had it may have sent
        repeats for it. So the smallest share that the node had in any of the windows counts.
        """
        largest = max(self.requests)
        return min(
            (
                count * largest / total
                for count, total in zip(own.requests, self.requests, strict=True)
                if total > 0 and total >= MIN_COMPARED_SHARE * largest
            ),
            default=0.0,
        )


class FleetUsage:
    """The counts of other nodes for one service.

    The bound of the fleet is a share of the requests of one of three windows, the same for all
    nodes. Which one that is, and how much of it is used, no node can see in its own counts.
    """

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}
        self._updated_at = float('-inf')
        self._room: Room | None = None

    def record(self, now: float, node: str, counts: NodeCounts, *, is_peer: bool) -> None:
        """Record what a node has told."""
        self._told[node] = _Told(now, counts, is_peer)

    def room(
        self,
        now: float,
        count_own: Callable[[float], NodeCounts],
        ratio: float,
        extra: float,
        size: FleetSize,
    ) -> Room | None:
        """Return what the fleet has left, or None if too few nodes have told.

        ``count_own`` returns the counts of this node, needed for a new estimate only. The bound is
        ``ratio`` of the requests, and ``extra``.
        """
        if now - self._updated_at >= UPDATE_INTERVAL_SECONDS:
            self._updated_at = now
            self._room = self._estimate(now, count_own, ratio, extra, size)
        return self._room

    def _estimate(
        self,
        now: float,
        count_own: Callable[[float], NodeCounts],
        ratio: float,
        extra: float,
        size: FleetSize,
    ) -> Room | None:
        self._told = {
            node: told for node, told in self._told.items() if now - told.at < MAX_AGE_SECONDS
        }
        if len(self._told) < size.min_known:
            return None
        own = count_own(now)
        peers = [own, *(told.counts for told in self._told.values() if told.is_peer)]
        rest = [told.counts for told in self._told.values() if not told.is_peer]
        totals = [_add_up(peers, size.peers + 1), _add_up(rest, size.rest)]
        present, half_ago, before = (
            sum(group.requests[index] for group in totals) for index in range(3)
        )
        bound = ratio * max(present, half_ago, before) + extra
        used_share = sum(group.repeats for group in totals) / bound if bound > 0 else 1.0
        room = Room((present, half_ago, before), used_share, is_closed=False)
        has_moved = 2 * room.established_requests(own) < max(own.requests)
        limit = MOVED_CLOSED_SHARE if has_moved else CLOSED_SHARE
        if self._room is not None and self._room.is_closed:
            limit -= REOPEN_MARGIN
        return room._replace(is_closed=used_share >= limit)
