"""Tells errors of this process from those of its peers."""

import errno

#: Of a connection that cannot be opened for want of descriptors or memory (``connect(2)``).
OWN_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


def is_own_lack(exc: BaseException) -> bool:
    """Return whether this process could not open a connection, whatever the peer does.

    Sound targets would otherwise be ejected for it.
    """
    return isinstance(exc, OSError) and exc.errno in OWN_ERRORS
