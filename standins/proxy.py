"""A loopback proxy that harms what goes through it: delays, resets, silence, one-way cuts."""

import asyncio
import contextlib
from enum import Enum

from dunlinsaddle.settings import Address

PIECE = 65536


class Harm(Enum):
    """What happens to the bytes."""

    NONE = 'none'
    DELAY = 'delay'  #: each piece comes late
    RESET = 'reset'  #: open connections are reset, new ones too
    SILENCE = 'silence'  #: nothing passes either way, and nothing ends
    ONE_WAY = 'one-way'  #: requests pass, answers do not


class Proxy:
    """Passes connections on to one address."""

    def __init__(self, to: Address, delay: float = 0.2) -> None:
        self.to = to
        self.delay = delay
        self.harm = Harm.NONE
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server

    async def listen(self, address: Address) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._accept, address.host, address.port)

    def use(self, harm: Harm) -> None:
        """Do this harm from now on."""
        self.harm = harm
        if harm is Harm.RESET:
            for writer in list(self._writers):
                writer.transport.abort()

    def close(self) -> None:
        """Stop, and end all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self.to.host, self.to.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        ways = (self._pass(reader, far_writer, False), self._pass(far_reader, writer, True))
        try:
            await asyncio.gather(*ways)
        finally:
            self._writers -= {writer, far_writer}

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(PIECE):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(self.delay)
                if self.harm is Harm.SILENCE or (answers and self.harm is Harm.ONE_WAY):
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()
