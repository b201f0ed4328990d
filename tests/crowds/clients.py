"""Clients that behave, and clients that don't."""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Iterable
from typing import NamedTuple

from dunlinsaddle.settings import Address

SMALL_WINDOW_BYTES = 4096  #: receive buffer of a client that reads slowly
DEADLINE_SECONDS = 15.0
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
_numbers = itertools.count(1)


class Answer(NamedTuple):
    """What a client got: status 0 if its connection ended without a whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether it is the whole answer of a target."""
        return self.status == 200 and 'server-signature' in self.headers


NO_ANSWER = Answer(0, {}, b'')


def build_head(path: str, *lines: str, method: str = 'GET') -> bytes:
    """Return the head of a request, without the empty line at its end."""
    head = [f'{method} {path} HTTP/1.1', 'host: h.example', f'request-id: c-{next(_numbers)}']
    head += [f'deadline-milliseconds: {int(DEADLINE_SECONDS * 1000)}', *lines]
    return '\r\n'.join(head).encode() + b'\r\n'


def build_request(path: str, body: bytes = b'', *lines: str) -> bytes:
    """Return a whole request; one with a body is a POST."""
    if not body:
        return build_head(path, *lines) + b'\r\n'
    head = build_head(path, f'content-length: {len(body)}', *lines, method='POST')
    return head + b'\r\n' + body


def build_chunked_head(path: str) -> bytes:
    """Return the whole head of a request whose body comes in chunks."""
    return build_head(path, 'transfer-encoding: chunked', method='POST') + b'\r\n'


def build_chunks(size: int, chunk_bytes: int) -> bytes:
    """Return a body of ``size`` bytes in chunks, without the last, empty chunk."""
    chunk = b'%x\r\n' % chunk_bytes + b'x' * chunk_bytes + b'\r\n'
    return chunk * (size // chunk_bytes)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one whole answer."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    status_line, *lines = head.rstrip().split('\r\n')
    headers = {n.strip().lower(): v.strip() for n, v in (line.split(':', 1) for line in lines)}
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Answer(int(status_line.split()[1]), headers, body)


async def exchange(address: Address, parts: Iterable[bytes]) -> Answer:
    """Send a request on a new connection, part by part, and return the answer."""
    try:
        async with asyncio.timeout(DEADLINE_SECONDS):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            try:
                with contextlib.suppress(ConnectionError):
                    for part in parts:
                        writer.write(part)
                        await writer.drain()
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return NO_ANSWER


async def fetch(address: Address, method: str, path: str, body: bytes) -> Answer:
    """Send a request that is not one of a caller's."""
    head = f'{method} {path} HTTP/1.1\r\nhost: s\r\ncontent-length: {len(body)}\r\n\r\n'
    return await exchange(address, [head.encode() + body])


async def call(address: Address, path: str, body: bytes = b'', attempts: int = 1) -> Answer:
    """Send an ordinary request; sent again as often as the users' pages let a caller do."""
    answer = NO_ANSWER
    for _ in range(attempts):
        answer = await exchange(address, [build_request(path, body)])
        if answer.status not in PROMISING_STATUSES | {0, 502, 504}:
            break
        await asyncio.sleep(float(answer.headers.get('retry-after', 0.2)))
    return answer


class Crowd:
    """Connections of clients that don't behave, open until the end of the block."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.socks: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> 'Crowd':
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self.socks:
            sock.close()

    async def connect(self, *, window: int = 0) -> socket.socket:
        """Open one connection, with a small receive window if ``window`` is given."""
        sock = socket.socket()
        if window:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        sock.setblocking(False)
        self.socks.append(sock)
        address = (self.address.host, self.address.port)
        with contextlib.suppress(ConnectionError):
            await asyncio.get_running_loop().sock_connect(sock, address)
        return sock

    async def send(self, count: int, data: bytes, *, window: int = 0, wait: float = 5.0) -> None:
        """Open connections that all send ``data`` at once; stop when it is sent, or after a time.

        A connection that the node closes, or reads no further, is left as it is.
        """
        socks = [await self.connect(window=window) for _ in range(count)]
        tasks = [asyncio.create_task(_send(sock, data)) for sock in socks]
        self._tasks += tasks
        await asyncio.wait(tasks, timeout=wait)

    def trickle(self, data: bytes, pause: float = 0.5) -> None:
        """Send ``data`` on all connections again and again, and read nothing."""
        self._tasks += [asyncio.create_task(_trickle(sock, data, pause)) for sock in self.socks]

    def read_slowly(self, size: int = 512, pause: float = 0.1) -> None:
        """Read a few bytes at a time on all connections."""
        self._tasks += [asyncio.create_task(_read(sock, size, pause)) for sock in self.socks]


async def _send(sock: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError):
        await asyncio.get_running_loop().sock_sendall(sock, data)


async def _trickle(sock: socket.socket, data: bytes, pause: float) -> None:
    with contextlib.suppress(OSError):
        while True:
            await asyncio.sleep(pause)
            await asyncio.get_running_loop().sock_sendall(sock, data)


async def _read(sock: socket.socket, size: int, pause: float) -> None:
    with contextlib.suppress(OSError):
        while True:
            if not await asyncio.get_running_loop().sock_recv(sock, size):
                return
            await asyncio.sleep(pause)
