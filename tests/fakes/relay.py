"""What stands between two ends: passes bytes on, and can forget the connections it has."""

import asyncio

from dunlinsaddle.settings import Address


class Relay:
    """Passes connections on to an address; forgotten ones stay open and go silent."""

    def __init__(self, to: Address) -> None:
        self.to = to
        self.accepted = 0
        self.remembered: set[int] = set()
        self.writers: list[asyncio.StreamWriter] = []

    async def listen(self, address: Address) -> 'Relay':
        self.server = await asyncio.start_server(self._accept, address.host, address.port)
        return self

    def forget(self) -> None:
        """Pass nothing on any more on the connections of now."""
        self.remembered.clear()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        number = self.accepted
        self.remembered.add(number)
        far_reader, far_writer = await asyncio.open_connection(self.to.host, self.to.port)
        self.writers += [writer, far_writer]
        await asyncio.gather(
            self._pass(number, reader, far_writer), self._pass(number, far_reader, writer)
        )

    async def _pass(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                if number in self.remembered:
                    writer.write(data)
            if number in self.remembered:
                writer.close()
        except ConnectionError:
            writer.close()
