"""Periods, counts and byte bounds of the gossip."""

from typing import NamedTuple


class GossipTimes(NamedTuple):
    """Periods and bounds, in seconds."""

    tick_interval: float = 0.25
    probe_interval: float = 1.0
    direct_timeout: float = 0.5
    indirect_timeout: float = 0.5
    suspicion_timeout: float = 5.0
    suspicion_per_member: float = 0.1
    max_suspicion_timeout: float = 60.0
    sync_interval: float = 10.0
    join_sync_interval: float = 0.5
    young_sync_interval: float = 3.0  #: the same while little of the view differs
    join_period: float = 60.0
    dead_probe_interval: float = 5.0
    left_probe_period: float = 60.0  #: for so long one that said goodbye is asked as well
    tombstone_ttl: float = 3600.0
    stall_threshold: float = 1.0


class GossipLimits(NamedTuple):
    """Counts and bytes."""

    indirect_probes: int = 3
    rumor_fanout: int = 2
    extra_transmissions: int = 5
    max_update_bytes: int = 480
    bytes_per_second: int = 2000
    burst_bytes: int = 1500
    max_sync_pages: int = 6
    join_sync_fanout: int = 6
    join_threshold_buckets: int = (
        40  #: buckets of 64 from which a view differs in so much that others are missing
    )
    #: Members that hear of a newer configuration at once from each who takes it; with four, 98 in
    #: 100 hear of it within some round trips, and the pings of the next second tell the others.
    configuration_fanout: int = 4
    #: Members that one node tells its target's level at most: 128 messages a second of 100 bytes
    #: are twice what control may take for good, and an overload lasts some seconds.
    max_level_fanout: int = 32
