"""Tells errors of this process from those of its peers."""

import errno

#: Of a connection that cannot be opened for want of descriptors or memory (``connect(2)``).
EXHAUSTION_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


def is_resource_exhaustion(exc: BaseException) -> bool:
    """Return whether this process could not open a connection, whatever the peer does.

    Sound targets would otherwise be ejected for it.
    """
    return isinstance(exc, OSError) and exc.errno in EXHAUSTION_ERRORS
