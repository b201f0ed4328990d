"""TCP keepalive and timeouts: how the kernel detects connections that no longer work."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from typing import NamedTuple

from dunlinsaddle.policy.peer_progress import SendState

KEEPALIVE_IDLE_SECONDS = 1  #: without a packet before the first probe while a request waits
#: The same for a link that may be idle: probing thousands of them would cost more than the calls.
LINK_KEEPALIVE_IDLE_SECONDS = 60
PROBE_INTERVAL_SECONDS = 1
MAX_UNANSWERED_PROBES = 2  #: then the connection ends: 3 s in all with the two values above
UNACKED_TIMEOUT_MILLISECONDS = 3000  #: the same 3 s for written bytes that are not acknowledged
NO_TIMEOUT = 0  #: leaves written bytes to the kernel's retransmissions

_TCP_OPTIONS = (
    (socket.TCP_NODELAY, 1),
    (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
    (socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
    (socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MILLISECONDS),
)
#: ``struct tcp_info`` of Linux (``include/uapi/linux/tcp.h``) up to ``tcpi_bytes_acked``, and the
#: place of ``tcpi_snd_wnd``, which older kernels do not have.
_TCP_INFO = struct.Struct('=8B 24I 3Q')
_TCP_INFO_BYTES = 256
_SEND_WINDOW = struct.Struct('=I')
_SEND_WINDOW_OFFSET = 228
_INT = struct.Struct('i')


class _TcpInfo(NamedTuple):
    """The fields of ``struct tcp_info`` that are used; times in milliseconds."""

    probes: int  #: that are not answered
    unacked: int  #: segments
    last_data_sent: int
    last_data_received: int
    last_ack_received: int
    congestion_window: int  #: segments; at least 1
    send_window: int  #: bytes that the peer has room for; 1 if the kernel does not say
    bytes_acked: int

    @property
    def is_filled(self) -> bool:
        """Whether the kernel fills the structure: not all systems with Linux's calls do."""
        times = (self.last_data_sent, self.last_data_received, self.last_ack_received)
        return self.congestion_window > 0 and any(times)


def limit_unread_bytes(transport: asyncio.BaseTransport, limit: int) -> None:
    """Bound what the kernel receives for a connection while this process does not read it."""
    sock = socket_of(transport)
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, limit)


def socket_of(transport: asyncio.BaseTransport) -> socket.socket | None:
    """Return the kernel's socket of a connection; None if it has none, or is closed."""
    sock: socket.socket | None = transport.get_extra_info('socket')
    if sock is None or not isinstance(sock.fileno(), int) or sock.fileno() < 0:
        return None
    return sock


def enable_keepalive(
    transport: asyncio.BaseTransport, idle_seconds: int = KEEPALIVE_IDLE_SECONDS
) -> None:
    """Have the kernel probe a connection and end it about 3 s after the peer is unreachable.

    Without it, a request on a connection that a middlebox has dropped waits for its whole
    deadline, since it looks the same as a slow request. Probes do not depend on how long a
    request takes, so a slow target is never mistaken for a lost one. They start after
    ``idle_seconds`` without a packet. The timeout for written bytes also ends connections of peers
    that read slowly; ``SendWatch`` lifts it for these.
    """
    sock = socket_of(transport)
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_seconds)
    for option, value in _TCP_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def set_unacked_timeout(sock: socket.socket, milliseconds: int) -> None:
    """Set the time after which the kernel ends a connection with unacknowledged bytes."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def read_send_state(sock: socket.socket, buffered: int) -> SendState:
    """Return what the kernel says of written data; ``buffered`` bytes wait in this process.

    Raises OSError if it says nothing.
    """
    queued: int = _INT.unpack(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size)))[0]
    undelivered = buffered + queued
    if not undelivered:
        return SendState(0)
    info = _read_tcp_info(sock)
    if info is None or not info.is_filled:
        return SendState(undelivered)
    silent_seconds = info.last_ack_received / 1000
    # What was sent into a window that has closed since is not in flight: the peer drops it.
    is_in_flight = info.unacked > 0 and info.send_window > 0
    return SendState(undelivered, info.bytes_acked, silent_seconds, info.probes > 0, is_in_flight)


def _read_tcp_info(sock: socket.socket) -> _TcpInfo | None:
    data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    if len(data) < _TCP_INFO.size:
        return None
    fields = _TCP_INFO.unpack_from(data)
    has_window = len(data) >= _SEND_WINDOW_OFFSET + _SEND_WINDOW.size
    head, counters, (_, _, bytes_acked) = fields[:8], fields[8:32], fields[32:]
    return _TcpInfo(
        probes=head[3],
        unacked=counters[4],
        last_data_sent=counters[9],
        last_data_received=counters[11],
        last_ack_received=counters[12],
        congestion_window=counters[18],
        send_window=_SEND_WINDOW.unpack_from(data, _SEND_WINDOW_OFFSET)[0] if has_window else 1,
        bytes_acked=bytes_acked,
    )
