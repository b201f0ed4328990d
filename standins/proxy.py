"""A loopback TCP proxy that injects faults: delays, resets, and data lost in transit."""

import asyncio
import contextlib
from enum import Enum

from dunlinsaddle.settings import Address

CHUNK_BYTES = 65536


class ProxyFault(Enum):
    """What the proxy does to the data of a connection."""

    NONE = 'none'
    DELAY = 'delay'  #: each chunk is delayed
    RESET = 'reset'  #: open and new connections are reset
    SILENCE = 'silence'  #: data is dropped in both directions, connections stay open
    ONE_WAY = 'one-way'  #: requests pass, responses are dropped


class Proxy:
    """Forwards connections to one address."""

    def __init__(self, upstream: Address, delay: float = 0.2) -> None:
        self.upstream = upstream
        self.delay = delay
        self.fault = ProxyFault.NONE
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server

    async def listen(self, address: Address) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, address.host, address.port)

    def set_fault(self, fault: ProxyFault) -> None:
        """Apply a fault from now on."""
        self.fault = fault
        if fault is ProxyFault.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is ProxyFault.RESET:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self.upstream.host, self.upstream.port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        relays = (
            self._relay(reader, upstream_writer, False),
            self._relay(upstream_reader, writer, True),
        )
        try:
            await asyncio.gather(*relays)
        finally:
            self._writers -= {writer, upstream_writer}

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is ProxyFault.DELAY:
                    await asyncio.sleep(self.delay)
                if self.fault is ProxyFault.SILENCE or (
                    is_response and self.fault is ProxyFault.ONE_WAY
                ):
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()
