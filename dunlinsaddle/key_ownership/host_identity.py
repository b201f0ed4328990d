"""Identity of the host of a listener, by which a later process recognises the same host."""

import hashlib
from pathlib import Path

from dunlinsaddle.settings import Address

#: Identify a boot of a kernel, and the namespaces of ports and of the monotonic clock.
_BOOT_ID = Path('/proc/sys/kernel/random/boot_id')
_NAMESPACES = (Path('/proc/self/ns/net'), Path('/proc/self/ns/time'))


def host_identity(peers: Address) -> str:
    """Return an identity of the peer listener's host; empty if the host cannot be identified.

    The address alone is not enough. A loopback address exists on each machine, and an address can
    move to another machine while the former one is still running, partitioned but with callers of
    its own: its process would continue to run keys. Within one boot and one network namespace, the
    kernel assigns a port to only one listening socket, and a stopped process keeps it.
    """
    if not peers.port:
        return ''
    try:
        boot = _BOOT_ID.read_text().strip()
        namespaces = [str(path.readlink()) for path in _NAMESPACES]
    except OSError:
        return ''
    return hashlib.sha256('\n'.join([boot, *namespaces, str(peers)]).encode()).hexdigest()[:16]
