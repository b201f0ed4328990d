"""A loopback proxy that harms what goes through it: delays, resets, silence, one-way cuts."""

import asyncio
import contextlib
from enum import Enum

from dunlinsaddle.settings import Address

CHUNK_BYTES = 65536


class ProxyFault(Enum):
    """What happens to the bytes."""

    NONE = 'none'
    DELAY = 'delay'  #: each piece comes late
    RESET = 'reset'  #: open connections are reset, new ones too
    SILENCE = 'silence'  #: nothing passes either way, and nothing ends
    ONE_WAY = 'one-way'  #: requests pass, answers do not


class Proxy:
    """Passes connections on to one address."""

    def __init__(self, upstream: Address, delay: float = 0.2) -> None:
        self.upstream = upstream
        self.delay = delay
        self.fault = ProxyFault.NONE
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server

    async def listen(self, address: Address) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._accept, address.host, address.port)

    def set_fault(self, fault: ProxyFault) -> None:
        """Do this harm from now on."""
        self.fault = fault
        if fault is ProxyFault.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    def close(self) -> None:
        """Stop, and end all connections."""
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
