"""Stand-in for a client: sends one request on a new connection and records its answer."""

import asyncio
import socket

from standin.http import Message, encode_request, exchange
from standin.record import Record

HOST = 'shop.example'
READY_TIMEOUT_SECONDS = 1.0
READY_INTERVAL_SECONDS = 0.1
UPLOAD_PART_BYTES = 1 << 18


async def send(
    record: Record,
    address: tuple[str, int],
    request_id: str,
    method: str,
    path: str,
    deadline_seconds: float,
    body: bytes = b'',
) -> Message | None:
    """Send a request and return its answer, None if there is none before the deadline."""
    headers = {
        'Host': HOST,
        'Request-Id': request_id,
        'Deadline-Milliseconds': str(int(deadline_seconds * 1000)),
    }
    record.add('sent', request_id, f'{method} {path} to {address[0]}')
    try:
        answer = await exchange(
            *address, encode_request(method, path, headers, body), deadline_seconds
        )
    except (OSError, EOFError, TimeoutError) as exc:
        record.add('ended', request_id, type(exc).__name__)
        return None
    signature = 'signed' if 'server-signature' in answer.headers else 'unsigned'
    record.add('got', request_id, f'{answer.status} {signature} {_title(answer)}')
    return answer


def upload(
    record: Record,
    address: tuple[str, int],
    request_id: str,
    path: str,
    size: int,
    deadline_seconds: float,
) -> None:
    """Send a large body and record the status of the answer; blocks, so it needs a thread."""
    head = [
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request_id}',
        f'Deadline-Milliseconds: {int(deadline_seconds * 1000)}',
        f'Content-Length: {size}',
    ]
    record.add('sent', request_id, f'POST {path} with {size} bytes to {address[0]}')
    try:
        with socket.create_connection(address, deadline_seconds) as sock:
            sock.sendall('\r\n'.join(head).encode() + b'\r\n\r\n')
            for start in range(0, size, UPLOAD_PART_BYTES):
                sock.sendall(bytes(min(UPLOAD_PART_BYTES, size - start)))
            status = sock.recv(UPLOAD_PART_BYTES).split(b' ')[1:2]
        record.add('got', request_id, status[0].decode() if status else 'no answer')
    except OSError as exc:
        record.add('ended', request_id, type(exc).__name__)


def _title(answer: Message) -> str:
    """Return the start of the body of an answer that no backend signed."""
    if 'server-signature' in answer.headers:
        return ''
    return answer.body[:200].decode('latin-1')


async def is_ready(address: tuple[str, int]) -> bool:
    """Return whether a node answers a readiness check with 200."""
    try:
        answer = await exchange(
            *address, encode_request('GET', '/readiness', {'Host': 'ready'}), READY_TIMEOUT_SECONDS
        )
    except (OSError, EOFError, TimeoutError):
        return False
    return answer.status == 200


async def wait_until_ready(address: tuple[str, int], timeout: float) -> None:
    """Wait until a node says that it is ready; raises TimeoutError."""
    until = asyncio.get_running_loop().time() + timeout
    while not await is_ready(address):
        if asyncio.get_running_loop().time() > until:
            raise TimeoutError(f'{address} is not ready')
        await asyncio.sleep(READY_INTERVAL_SECONDS)
