"""Reading and writing of HTTP/1.1 messages over asyncio streams."""

import asyncio
from typing import NamedTuple

MAX_HEAD_BYTES = 1 << 16
REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone', 421: 'Misdirected Request'}


class Message(NamedTuple):
    """A whole request or response; header names are in lower case."""

    start: str  #: the first line
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(' ')[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(' ')[0]

    @property
    def path(self) -> str:
        """Path of a request, with its query."""
        return self.start.split(' ')[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a length; raises IncompleteReadError when the connection ends."""
    head = await reader.readuntil(b'\r\n\r\n')
    start, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return Message(start, headers, body)


def encode_response(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def encode_request(method: str, path: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a request with a length."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def exchange(host: str, port: int, request: bytes, timeout: float) -> Message:
    """Send one request on a new connection and return the response.

    Raises OSError, EOFError or TimeoutError if there is none.
    """
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, port, limit=MAX_HEAD_BYTES)
        try:
            writer.write(request)
            return await read_message(reader)
        finally:
            writer.close()
