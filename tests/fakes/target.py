"""A target whose script writes raw bytes, to simulate misbehaving servers."""

import asyncio
from collections import Counter, deque
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


class RepeatingTarget:
    """A target that sends each refusal twice: the copy where a later response is expected.

    The first ``refusals`` sends of each request are refused. The copy comes before the response to
    the next request on its connection, after ``gap`` others. Without ``is_named``, refusals do not
    name their request.
    """

    def __init__(
        self, refusals: int, *, status: int = 503, gap: int = 0, is_named: bool = True
    ) -> None:
        self.refusals = refusals
        self.status = status
        self.gap = gap
        self.is_named = is_named
        self.sends: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self.server = ScriptedTarget(self._respond)
        self._copies: dict[ScriptedConnection, deque[bytes]] = {}

    async def _respond(self, connection: ScriptedConnection, data: bytes) -> None:
        head = data.partition(b'\r\n\r\n')[0].lower()
        request_id = head.partition(b'\r\nrequest-id: ')[2].partition(b'\r\n')[0].decode()
        copies = self._copies.setdefault(connection, deque([b''] * self.gap))
        connection.write(copies.popleft() if copies else b'')
        self.sends[request_id] += 1
        if self.sends[request_id] <= self.refusals:
            name = request_id if self.is_named else ''
            refusal = self._encode(name, self.status, b'not-executed: 1\r\n')
            copies.append(refusal)
            connection.write(refusal)
            return
        copies.append(b'')
        self.runs[request_id] += 1
        await asyncio.sleep(0.05)
        connection.write(self._encode(request_id, 200, b'server-signature: s\r\n'))

    def _encode(self, request_id: str, status: int, header: bytes) -> bytes:
        name = b'request-id: %s\r\n' % request_id.encode() if request_id else b''
        return b'HTTP/1.1 %d \r\n' % status + name + header + b'content-length: 0\r\n\r\n'
