"""Datagram transport of gossip messages, one message per datagram.

Why UDP and not pynng: docs/design/membership.md.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Protocol, cast

from dunlinsaddle.settings import Address

DatagramHandler = Callable[[bytes], None]


class Transport(Protocol):
    """Sends single messages without a delivery guarantee."""

    address: Address  #: the address that this node listens on

    def send(self, to: Address, data: bytes) -> None:
        """Send without waiting for delivery."""

    def close(self) -> None:
        """Stop listening."""


TransportFactory = Callable[[Address, DatagramHandler], Awaitable[Transport]]


class UdpTransport(asyncio.DatagramProtocol):
    """Sends and receives datagrams through one UDP socket."""

    def __init__(self, receiver: DatagramHandler) -> None:
        self.receiver = receiver
        self.address: Address
        self._transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and the bound address."""
        # In Python 3.11 asyncio's datagram transport is not a subclass of DatagramTransport.
        self._transport = cast(asyncio.DatagramTransport, transport)
        host, port = transport.get_extra_info('sockname')[:2]
        self.address = Address(host, port)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Pass a received message to the handler."""
        self.receiver(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: probes detect unreachable nodes."""

    def send(self, to: Address, data: bytes) -> None:
        """Send without waiting for delivery."""
        if self._transport.is_closing():
            return
        # uvloop raises it for an address of another family, as a roster entry may hold one. It
        # would end the task that sends all gossip; the address is as unreachable as any other.
        with contextlib.suppress(ValueError):
            self._transport.sendto(data, to)

    def close(self) -> None:
        """Close the socket."""
        self._transport.close()


async def open_udp(address: Address, receiver: DatagramHandler) -> Transport:
    """Listen on a UDP address. Raises OSError if it is in use."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(
        lambda: UdpTransport(receiver), local_addr=address
    )
    return protocol
