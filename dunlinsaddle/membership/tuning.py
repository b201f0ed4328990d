"""Periods, counts and byte bounds of the gossip."""

from typing import NamedTuple


class GossipTimes(NamedTuple):
    """Periods and bounds, in seconds."""

    tick: float = 0.25
    probe: float = 1.0
    direct: float = 0.5
    indirect: float = 0.5
    suspicion: float = 5.0
    suspicion_each: float = 0.1
    suspicion_most: float = 60.0
    sync: float = 10.0
    sync_again: float = 0.5
    sync_young: float = 3.0  #: the same while little of the view differs
    young: float = 60.0
    revisit: float = 5.0
    left_revisit: float = 60.0  #: for so long one that said goodbye is asked as well
    forget: float = 3600.0
    stall: float = 1.0


class GossipSizes(NamedTuple):
    """Counts and bytes."""

    relays: int = 3
    fanout: int = 2
    extra_sends: int = 5
    words: int = 480
    bytes_per_second: int = 2000
    burst: int = 1500
    pages: int = 6
    join: int = 6
    much: int = 40  #: buckets of 64 from which a view differs in so much that others are missing
    #: Members that hear of a newer configuration at once from each who takes it; with four, 98 in
    #: 100 hear of it within some round trips, and the pings of the next second tell the others.
    news_fanout: int = 4
    #: Members that one node tells its target's level at most: 128 messages a second of 100 bytes
    #: are twice what control may take for good, and an overload lasts some seconds.
    level_fanout: int = 32
