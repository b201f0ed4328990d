"""A target whose script writes raw bytes, to simulate misbehaving servers."""

import asyncio
from collections.abc import Awaitable, Callable

from dunlinsaddle.settings import Address

OK_RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s'

Script = Callable[['ScriptedConnection', bytes], Awaitable[None]]


def ok_response(body: bytes) -> bytes:
    return OK_RESPONSE % (len(body), body)


class ScriptedConnection:
    """One accepted connection, with its number in order of acceptance."""

    def __init__(self, number: int, writer: asyncio.StreamWriter) -> None:
        self.number = number
        self.writer = writer

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    def close(self) -> None:
        self.writer.close()


class ScriptedTarget:
    """Passes each piece of received data to a script."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connection_count = 0
        self.closed_count = 0
        self.requests: list[bytes] = []
        self.connection_closed = asyncio.Event()

    async def listen(self, address: Address) -> 'ScriptedTarget':
        self.server = await asyncio.start_server(self._accept, address.host, address.port)
        return self

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        connection = ScriptedConnection(self.connection_count, writer)
        try:
            while data := await reader.read(65536):
                self.requests.append(data)
                await self.script(connection, data)
        except ConnectionError:
            pass
        finally:
            self.connection_closed.set()
            self.closed_count += 1
            writer.close()
