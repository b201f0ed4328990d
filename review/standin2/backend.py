"""Stand-in for a backend: heartbeats, slots, signed answers, health checks, and a crash path.

It uses the standard library only. Each event is one line on the standard output:
``run ID PATH``, ``end ID STATUS``, ``crash ID PATH``, ``gone ID`` (its connection closed).
"""

import argparse
import asyncio
import contextlib
import json
import os
import secrets
import signal
import time

#: A request whose path ends so ends the process of the backend that begins to run it.
CRASH_SUFFIX = '/fatal'
HEARTBEAT_SECONDS = 1.5
CALL_SECONDS = 1.0
LEAVING_SECONDS = 3.0  #: for which a backend that leaves still serves after the acknowledgement


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = text.rpartition(':')
    return host, int(port)


def parse_head(head: bytes) -> tuple[str, str, dict[str, str]]:
    """Return the method, the target and the headers of a request."""
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return method, target, headers


class Backend:
    """Runs the requests that name its id, at most ``slots`` at once."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.id = options.id or f'i-{secrets.token_hex(5)}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.is_leaving = False

    def report(self, *words: object) -> None:
        """Print one event with the time of the steady clock."""
        line = ' '.join(str(word) for word in (f'{time.monotonic():.4f}', *words))
        os.write(1, line.encode() + b'\n')

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, one after the other."""
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                method, target, headers = parse_head(head)
                body = await reader.readexactly(int(headers.get('content-length', '0')))
                await self.answer(reader, writer, method, target, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Answer one request."""
        request_id = headers.get('request-id', '')
        extra = [('Request-Id', request_id)] if request_id else []
        if self.is_leaving:
            extra.append(('Server-Leaving', '1'))
        if target == '/health':
            status = 503 if self.is_leaving else 200
            await self.write(writer, status, [('Instance', self.id)], b'')
        elif headers.get('expected-instance') not in (None, self.id):
            await self.write(writer, 421, [('Instance', self.id), *extra], b'')
        elif self.running >= self.options.slots:
            await self.write(writer, 503, [('Not-Executed', '1'), *extra], b'')
        else:
            self.running += 1
            try:
                await self.run(reader, writer, method, target, headers, body, extra)
            finally:
                self.running -= 1

    async def run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        extra: list[tuple[str, str]],
    ) -> None:
        """Run one request; stop if its connection closes."""
        request_id = headers.get('request-id', '')
        self.report('run', request_id, target)
        if target.endswith(CRASH_SUFFIX):
            self.report('crash', request_id, target)
            os.kill(os.getpid(), signal.SIGKILL)
        until = time.monotonic() + self.options.work_ms / 1000
        while time.monotonic() < until:
            await asyncio.sleep(min(0.02, max(until - time.monotonic(), 0.0)))
            if reader.at_eof():
                self.report('gone', request_id)
                raise ConnectionResetError
        if self.options.call and not await self.call_service(headers):
            self.report('end', request_id, 500)
            signature = ('Server-Signature', f'{self.id}.0')
            await self.write(writer, 500, [*extra, signature], b'a call failed')
            return
        size = self.options.answer_bytes
        content = (f'{target} {request_id} '.encode() * (size // 16 + 1))[:size]
        self.report('end', request_id, 200)
        await self.write(writer, 200, [*extra, ('Server-Signature', f'{self.id}.1')], content)

    async def call_service(self, headers: dict[str, str]) -> bool:
        """Make the call that each run needs, through the node; return whether it succeeded."""
        host, port = parse_address(self.options.outbound)
        seconds = int(headers.get('deadline-milliseconds', '1000')) / 1000
        lines = [f'GET {self.options.call} HTTP/1.1', f'Host: {headers["host"]}']
        lines.append(f'Request-Id: {headers["request-id"]}.{secrets.token_hex(4)}')
        lines.append(f'Deadline-Milliseconds: {int(seconds * 1000)}')
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return line.split(b' ')[1:2] == [b'200']
        except (OSError, TimeoutError):
            return False

    async def write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Write one answer."""
        lines = [f'HTTP/1.1 {status} X', *(f'{name}: {value}' for name, value in headers)]
        lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body)
        await writer.drain()

    async def call_node(self, method: str, body: bytes = b'') -> bool:
        """Send one message to the node; return whether it was acknowledged."""
        host, port = parse_address(self.options.control)
        try:
            async with asyncio.timeout(CALL_SECONDS):
                reader, writer = await asyncio.open_connection(host, port)
                head = f'{method} /instances/{self.id} HTTP/1.1\r\nHost: {host}\r\n'
                head += 'Content-Type: application/json\r\nConnection: close\r\n'
                head += f'Content-Length: {len(body)}\r\n\r\n'
                writer.write(head.encode() + body)
                line = await reader.readline()
                writer.close()
                return line.split(b' ')[1:2] == [b'200']
        except (OSError, TimeoutError):
            return False

    async def heartbeat(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        beat = {
            'service': self.options.service,
            'address': self.options.address,
            'zone': self.options.zone,
            'version': 'v1',
            'slots': self.options.slots,
            'state': 'draining' if self.is_leaving else 'ready',
            'coldRemaining': '0ms',
            'sequence': self.sequence,
            'born': self.born,
        }
        return await self.call_node('PUT', json.dumps(beat).encode())

    async def leave(self) -> None:
        """Report "draining", serve on for a while, send DELETE and end."""
        self.is_leaving = True
        for _ in range(4):
            if await self.heartbeat():
                break
            await asyncio.sleep(0.5)
        await asyncio.sleep(LEAVING_SECONDS)
        await self.call_node('DELETE')


async def main_async(options: argparse.Namespace) -> None:
    """Serve until SIGTERM, then leave."""
    backend = Backend(options)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    host, port = parse_address(options.address)
    server = await asyncio.start_server(backend.serve, host, port, limit=1 << 20, backlog=1024)
    backend.report('listening', backend.id, backend.born)
    while not stop.is_set():
        await backend.heartbeat()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_SECONDS):
                await stop.wait()
    await backend.leave()
    server.close()


def main() -> None:
    """Run the backend as a process."""
    parser = argparse.ArgumentParser(description="Stand-in for a backend of the users' platform.")
    parser.add_argument('--address', required=True)
    parser.add_argument('--control', required=True)
    parser.add_argument('--outbound', default='', help='Where the backend makes its calls.')
    parser.add_argument('--call', default='', help='Path of a call that each run makes.')
    parser.add_argument('--service', required=True)
    parser.add_argument('--zone', required=True)
    parser.add_argument('--id', default='')
    parser.add_argument('--slots', type=int, default=40)
    parser.add_argument('--work-ms', type=float, default=50.0)
    parser.add_argument('--answer-bytes', type=int, default=600)
    asyncio.run(main_async(parser.parse_args()))


if __name__ == '__main__':
    main()
