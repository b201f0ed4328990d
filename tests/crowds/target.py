"""A target that runs in the test's own process, with answers and bodies of any size."""

import asyncio
import json
from collections.abc import Callable

from dunlinsaddle.platform import headers as names
from dunlinsaddle.platform.heartbeats import INSTANCES_PATH

HEARTBEAT_SECONDS = 0.5
ANSWER_SEGMENT = 'answer'  #: in a path: the size of the answer's body follows
WAIT_SEGMENT = 'wait'  #: in a path: the milliseconds that the request takes follow
MAX_LINE_BYTES = 1 << 20


def number_behind(path: str, segment: str) -> int:
    """Return the number behind a segment of a path, 0 if there is none.

    >>> number_behind('/deep/answer/1000/x', 'answer')
    1000
    """
    parts = path.split('/')
    return int(parts[parts.index(segment) + 1]) if segment in parts else 0


class CrowdTarget:
    """Answers every request at once, or after the time that its path names."""

    def __init__(self, service: str, host: str, port: int, control_port: int, slots: int) -> None:
        self.service, self.host, self.port = service, host, port
        self.control_port = control_port
        self.slots = slots
        self.id = f'i-{service}'
        self.body_sizes: dict[str, int] = {}  #: by request id
        #: Returns the whole answer to a request in place of the usual one; None for that.
        self.respond: Callable[[str], bytes | None] = lambda request_id: None

    async def start(self) -> None:
        """Listen, and send heartbeats until the loop ends."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=MAX_LINE_BYTES, backlog=512
        )
        self.heartbeats = asyncio.create_task(self._send_heartbeats())

    def close(self) -> None:
        """End the heartbeats and listen no more."""
        self.heartbeats.cancel()
        self.server.close()

    async def _send_heartbeats(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            await self._send_heartbeat(sequence)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _send_heartbeat(self, sequence: int) -> None:
        heartbeat = {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': 'd',
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldRemaining': '0ms',
            'sequence': sequence,
        }
        body = json.dumps(heartbeat).encode()
        head = f'PUT {INSTANCES_PATH}{self.id} HTTP/1.1\r\nhost: n\r\ncontent-length: {len(body)}'
        try:
            reader, writer = await asyncio.open_connection(self.host, self.control_port)
            writer.write(head.encode() + b'\r\nconnection: close\r\n\r\n' + body)
            await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self._answer(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # A cancelled handler that raised would be logged as a fault of the loop.
            pass
        finally:
            writer.close()

    async def _answer(
        self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request_line, *lines = head.decode('latin-1').rstrip().split('\r\n')
        path = request_line.split()[1]
        headers = {n.strip().lower(): v.strip() for n, v in (x.split(':', 1) for x in lines)}
        left = size = int(headers.get('content-length', 0))
        while left:
            left -= len(await reader.readexactly(min(left, MAX_LINE_BYTES)))
        await asyncio.sleep(number_behind(path, WAIT_SEGMENT) / 1000)
        request_id = headers.get(names.REQUEST_ID.decode(), '')
        self.body_sizes[request_id] = size
        own = self.respond(request_id)
        body = b'.' * (number_behind(path, ANSWER_SEGMENT) or len(path))
        answer_head = (
            f'HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n'
            f'{names.REQUEST_ID.decode()}: {request_id}\r\n'
            f'{names.SERVER_SIGNATURE.decode()}: {self.id}\r\n'
            f'{names.TARGET_ID.decode()}: {self.id}\r\n\r\n'
        )
        writer.write(answer_head.encode() + body if own is None else own)
        await writer.drain()
