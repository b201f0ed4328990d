"""Intervals, timeouts and limits of the gossip protocol."""

from typing import NamedTuple


class GossipTimes(NamedTuple):
    """Intervals and timeouts, in seconds."""

    tick_interval: float = 0.25
    probe_interval: float = 1.0
    direct_timeout: float = 0.5
    indirect_timeout: float = 0.5
    suspicion_timeout: float = 5.0
    suspicion_per_member: float = 0.1  #: added for each suspected member
    max_suspicion_timeout: float = 60.0
    sync_interval: float = 10.0
    join_sync_interval: float = 0.5  #: during ``join_period``, while many buckets differ
    slow_join_sync_interval: float = 3.0  #: during ``join_period``, while few buckets differ
    join_period: float = 60.0
    dead_probe_interval: float = 5.0
    left_probe_period: float = 60.0  #: a member that left is probed for this long, too
    tombstone_ttl: float = 3600.0
    stall_threshold: float = 1.0  #: a longer time between two ticks means that this node was paused


class GossipLimits(NamedTuple):
    """Numbers of nodes and messages, and sizes in bytes."""

    #: Nodes that repeat an unanswered probe; also the number of contacts that a sync adds to the
    #: random members, and of recipients that a leave adds to ``rumor_fanout``.
    indirect_probes: int = 3
    rumor_fanout: int = 2
    extra_transmissions: int = 5  #: of each update, in addition to log2 of the number of members
    max_update_bytes: int = 480  #: of the updates in one message, except in a sync
    bytes_per_second: int = 2000
    burst_bytes: int = 1500
    max_sync_pages: int = 6
    join_sync_fanout: int = 6
    join_threshold_buckets: int = 40  #: of 64; with this many differing, members are missing
    #: Members to which each node announces a newer configuration when it receives it. With four,
    #: 98 of 100 nodes learn of it within a few round trips, the others from pings within a second.
    configuration_fanout: int = 4
    #: Members to which a node sends its entry directly when a target is new beside it: some 5 KB,
    #: once for each start of a target.
    target_fanout: int = 32
    #: Largest number of recipients of a level report. At the limit a node sends 128 messages of
    #: 100 bytes per second, twice the permanent budget of control traffic, but an overload lasts
    #: only some seconds.
    max_level_fanout: int = 32
