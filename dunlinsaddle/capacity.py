"""What a process may hold at the same time, derived from the limits of its machine."""

from typing import NamedTuple

DEFAULT_MEMORY_BYTES = 300_000_000
DEFAULT_DESCRIPTORS = 4100
#: Of the process itself: its modules, its view of some hundred nodes, and logs on their way out.
RUNTIME_BYTES = 56_000_000
#: Of the rest, what may be held for peers. The remainder is for input that is being parsed, what
#: the kernel has received, and memory that was freed and not yet returned to the kernel.
HELD_SHARE = 0.5
MIN_HELD_BYTES = 4_000_000  #: a process with less serves no more than a few requests at a time
FILE_DESCRIPTORS = 200  #: of the limit, for files; sockets and pipes share the rest
CALLER_SHARE = 1 / 2  #: of the sockets, for connections of callers
PEER_SHARE = 1 / 4  #: for links that other nodes open; links to them and targets need as many
OTHER_SHARE = 1 / 64  #: for each of the other listeners
MIN_OTHER_CONNECTIONS = 4


class ProcessLimits(NamedTuple):
    """Limits beyond which the platform ends a process, or refuses it sockets."""

    memory_bytes: int = DEFAULT_MEMORY_BYTES
    descriptors: int = DEFAULT_DESCRIPTORS


class Capacity(NamedTuple):
    """What a process may hold. Beyond it, who holds most gives way."""

    held_bytes: int  #: for callers, targets and other nodes together
    caller_connections: int
    peer_links: int  #: that other nodes have opened
    other_connections: int  #: at each of the listeners for heartbeats, readiness and metrics


def derive_capacity(limits: ProcessLimits) -> Capacity:
    """Return what a process may hold within its limits.

    >>> derive_capacity(ProcessLimits(memory_bytes=200_000_000, descriptors=4100))
    Capacity(held_bytes=72000000, caller_connections=1950, peer_links=975, other_connections=60)
    """
    sockets = max(limits.descriptors - FILE_DESCRIPTORS, MIN_OTHER_CONNECTIONS)
    return Capacity(
        held_bytes=max(int((limits.memory_bytes - RUNTIME_BYTES) * HELD_SHARE), MIN_HELD_BYTES),
        caller_connections=int(sockets * CALLER_SHARE),
        peer_links=int(sockets * PEER_SHARE),
        other_connections=max(int(sockets * OTHER_SHARE), MIN_OTHER_CONNECTIONS),
    )
