"""Lets the kernel notice a connection whose packets no longer arrive."""

import asyncio
import socket

IDLE_SECONDS = 1  #: seconds without a packet before the first probe of a request that is out
#: The same for a link that may be idle: probes of thousands would cost more than calls.
LINK_KEEPALIVE_IDLE_SECONDS = 60
INTERVAL_SECONDS = 1  #: seconds between two probes
PROBES = 2  #: unanswered ones that end a connection: 3 s in all with the two above
UNACKED_MILLISECONDS = 3000  #: the same 3 s for bytes that were written and not acknowledged

_TCP_OPTIONS = (
    (socket.TCP_NODELAY, 1),
    (socket.TCP_KEEPINTVL, INTERVAL_SECONDS),
    (socket.TCP_KEEPCNT, PROBES),
    (socket.TCP_USER_TIMEOUT, UNACKED_MILLISECONDS),
)


def enable_keepalive(transport: asyncio.BaseTransport, idle: int = IDLE_SECONDS) -> None:
    """Have the kernel probe a connection, and end it about 3 s after the far end is lost.

    Without it a connection that a middle box has forgotten waits for its whole deadline: a
    request that takes seconds looks the same. The probes do not depend on how long a request
    takes, so a slow target is never taken for a lost one. They begin after ``idle`` seconds
    without a packet.
    """
    sock = transport.get_extra_info('socket')
    if sock is None or not isinstance(sock.fileno(), int):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle)
    for option, value in _TCP_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
