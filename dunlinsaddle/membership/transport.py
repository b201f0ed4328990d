"""How gossip messages travel: datagrams, one message each.

Why UDP and not pynng: docs/design/membership.md.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol, cast

from dunlinsaddle.settings import Address

DatagramHandler = Callable[[bytes], None]


class Transport(Protocol):
    """Sends single messages that may get lost."""

    address: Address  #: where this node is reached

    def send(self, to: Address, data: bytes) -> None:
        """Send and forget."""

    def close(self) -> None:
        """Stop listening."""


TransportFactory = Callable[[Address, DatagramHandler], Awaitable[Transport]]


class UdpTransport(asyncio.DatagramProtocol):
    """Datagrams through one socket."""

    def __init__(self, receiver: DatagramHandler) -> None:
        self.receiver = receiver
        self.address: Address
        self._transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket's transport."""
        # asyncio's own datagram transport is no subclass of DatagramTransport in 3.11.
        self._transport = cast(asyncio.DatagramTransport, transport)
        host, port = transport.get_extra_info('sockname')[:2]
        self.address = Address(host, port)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Hand one message on."""
        self.receiver(data)

    def error_received(self, exc: Exception) -> None:
        """Leave a refused datagram to the probes, which notice who is gone."""

    def send(self, to: Address, data: bytes) -> None:
        """Send and forget."""
        if not self._transport.is_closing():
            self._transport.sendto(data, to)

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()


async def open_udp(address: Address, receiver: DatagramHandler) -> Transport:
    """Listen on an address. Raises OSError when it is taken."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: UdpTransport(receiver), local_addr=address
    )
    return protocol
