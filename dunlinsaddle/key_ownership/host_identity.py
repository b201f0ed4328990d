"""Where this process listens, told so that a later process can know it for the same place."""

import hashlib
from pathlib import Path

from dunlinsaddle.settings import Address

#: One boot of one kernel, and the namespaces in which ports and the monotonic clock count.
_BOOT_ID = Path('/proc/sys/kernel/random/boot_id')
_NAMESPACES = (Path('/proc/self/ns/net'), Path('/proc/self/ns/time'))


def host_identity(peers: Address) -> str:
    """Name the place of a configured peers face; empty where that would prove nothing.

    The address alone is not enough. A loopback address is on each machine, and an address can
    move to another machine while the former one lives on, cut off but with callers of its own:
    its process would go on running keys. Within one boot and one network namespace, the kernel
    gives a port to one listening socket alone, and a stopped process keeps it.
    """
    if not peers.port:
        return ''
    try:
        boot = _BOOT_ID.read_text().strip()
        spaces = [str(path.readlink()) for path in _NAMESPACES]
    except OSError:
        return ''
    return hashlib.sha256('\n'.join([boot, *spaces, str(peers)]).encode()).hexdigest()[:16]
