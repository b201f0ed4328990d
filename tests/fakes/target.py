"""A target that answers with stated bytes, as no well-behaved server would."""

import asyncio
from collections.abc import Awaitable, Callable

from dunlinsaddle.settings import Address

OK = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s'

Script = Callable[['ScriptedConnection', bytes], Awaitable[None]]


def ok(body: bytes) -> bytes:
    return OK % (len(body), body)


class ScriptedConnection:
    """One accepted connection: its number, and a way to write or end."""

    def __init__(self, number: int, writer: asyncio.StreamWriter) -> None:
        self.number = number
        self.writer = writer

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    def end(self) -> None:
        self.writer.close()


class ScriptedTarget:
    """Hands each piece of what it reads to a script."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections = 0
        self.ended = 0
        self.requests: list[bytes] = []
        self.closed = asyncio.Event()

    async def listen(self, address: Address) -> 'ScriptedTarget':
        self.server = await asyncio.start_server(self._accept, address.host, address.port)
        return self

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        conversation = ScriptedConnection(self.connections, writer)
        try:
            while data := await reader.read(65536):
                self.requests.append(data)
                await self.script(conversation, data)
        except ConnectionError:
            pass
        finally:
            self.closed.set()
            self.ended += 1
            writer.close()
