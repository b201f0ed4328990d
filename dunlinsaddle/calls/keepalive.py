"""TCP keepalive: lets the kernel detect connections whose packets no longer arrive."""

import asyncio
import socket

KEEPALIVE_IDLE_SECONDS = 1  #: without a packet before the first probe while a request waits
#: The same for a link that may be idle: probing thousands of them would cost more than the calls.
LINK_KEEPALIVE_IDLE_SECONDS = 60
PROBE_INTERVAL_SECONDS = 1
MAX_UNANSWERED_PROBES = 2  #: then the connection ends: 3 s in all with the two values above
UNACKED_TIMEOUT_MILLISECONDS = 3000  #: the same 3 s for written bytes that are not acknowledged

_TCP_OPTIONS = (
    (socket.TCP_NODELAY, 1),
    (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
    (socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
    (socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MILLISECONDS),
)


def enable_keepalive(
    transport: asyncio.BaseTransport, idle_seconds: int = KEEPALIVE_IDLE_SECONDS
) -> None:
    """Have the kernel probe a connection and end it about 3 s after the peer is unreachable.

    Without it, a request on a connection that a middlebox has dropped waits for its whole
    deadline, since it looks the same as a slow request. Probes do not depend on how long a
    request takes, so a slow target is never mistaken for a lost one. They start after
    ``idle_seconds`` without a packet.
    """
    sock = transport.get_extra_info('socket')
    if sock is None or not isinstance(sock.fileno(), int):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_seconds)
    for option, value in _TCP_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
