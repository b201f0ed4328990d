"""Clients that read slowly, on kept connections; see claim.txt."""

import asyncio
import os
import secrets
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standin2.cluster import (
    APP,
    HOST_HEADER,
    OUTBOUND,
    Answer,
    Cluster,
    Machine,
    Record,
    Route,
    encode,
    read_answer,
)

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE, PREFIX = 'production', '/cufi502/'
ANSWER_BYTES = 36_000  #: largest answer of a ``download`` in the site file
WINDOW_BYTES = 4096  #: receive buffer of a client: links have small windows
DEADLINE_MS = 6000
CLIENTS = 8
STEP_SECONDS, STEP_BYTES = 0.1, 800  #: a steady reader: 8 kB a second, 4.5 s for an answer
PAUSE_SECONDS = 3.5  #: of a reader that stops once
LOSSES_ALLOWED = 3  #: LOST: "more than three times"


class SlowClient:
    """Sends a request on a new connection, then more on the same one, which it reads slowly.

    A steady client sends one more. A pausing one sends two, the second before the answer to the
    first, as some clients of ``safe`` requests do.
    """

    def __init__(self, record: Record, machine: Machine, number: int) -> None:
        self.record = record
        self.machine = machine
        self.is_steady = number % 2 == 0
        self.name = f'client-{number}-{"steady" if self.is_steady else "pausing"}'

    async def play(self, port: int) -> list[Answer]:
        """Return the answers to the requests on the kept connection."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, (self.machine.host, port))
        # The stream's own buffer would read ahead of the client, so it is fed by hand.
        reader = asyncio.StreamReader(limit=1 << 20)
        try:
            await self._send(sock)
            first = await self._read(sock, reader, is_slow=False)
            self.record.line(self.name, 'first answer', first.status, len(first.body))
            count = 1 if self.is_steady else 2
            for _ in range(count):
                await self._send(sock)
            answers = [await self._read(sock, reader, is_slow=HAS_TROUBLE)]
            while len(answers) < count:
                answers.append(await self._read(sock, reader, is_slow=False))
            return answers
        finally:
            sock.close()

    async def _send(self, sock: socket.socket) -> None:
        request_id = secrets.token_hex(8)
        headers = {
            'Host': HOST_HEADER,
            'Request-Id': request_id,
            'Deadline-Milliseconds': str(DEADLINE_MS),
        }
        data = encode('GET', f'{PREFIX}{secrets.token_hex(4)}', headers)
        self.record.line(self.name, 'sends', request_id, 'on', self.machine.name)
        await asyncio.get_running_loop().sock_sendall(sock, data)

    async def _read(
        self, sock: socket.socket, reader: asyncio.StreamReader, *, is_slow: bool
    ) -> Answer:
        started_at = time.monotonic()
        task = asyncio.create_task(read_answer(reader, started_at))
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                while not task.done():
                    await self._read_part(sock, reader, started_at, is_slow=is_slow)
                    await asyncio.sleep(0)
        except TimeoutError:
            task.cancel()
            return Answer(0, {}, b'', DEADLINE_MS / 1000, 'client-deadline')
        return await task

    async def _read_part(
        self,
        sock: socket.socket,
        reader: asyncio.StreamReader,
        started_at: float,
        *,
        is_slow: bool,
    ) -> None:
        size = STEP_BYTES if is_slow and self.is_steady else 65536
        if is_slow and not self.is_steady and time.monotonic() - started_at < PAUSE_SECONDS:
            await asyncio.sleep(PAUSE_SECONDS)
            self.record.line(self.name, 'reads on')
        try:
            data = await asyncio.get_running_loop().sock_recv(sock, size)
        except ConnectionError as exc:
            reader.set_exception(exc)
            return
        if not data:
            reader.feed_eof()
            return
        reader.feed_data(data)
        if is_slow and self.is_steady:
            await asyncio.sleep(STEP_SECONDS)


async def play_round(record: Record, cluster: Cluster, port: int, title: str) -> int:
    """Let all clients play at one port of their machines; return the answers that were lost."""
    record.line('round:', title)
    clients = [
        SlowClient(record, cluster.machines[number % len(cluster.machines)], number)
        for number in range(CLIENTS)
    ]
    results = await asyncio.gather(*(client.play(port) for client in clients))
    lost = nothing = 0
    for client, answers in zip(clients, results, strict=True):
        for answer in answers:
            whole = answer.status == 200
            text = 'whole' if whole else f'NO COMPLETE ANSWER ({answer.detail})'
            record.line(client.name, 'answer:', text, f'{answer.seconds:.2f} s')
            nothing += not whole and not answer.headers
        lost += any(answer.status != 200 for answer in answers)
    record.line(f'round: {title}: {lost} of {CLIENTS} connections closed without the answer')
    record.line(f'round: {title}: {nothing} requests without one byte of an answer')
    return lost


async def play() -> int:
    """Return the exit status."""
    record = Record(Path(__file__).parent / 'record.txt')
    zones = ('erie-a', 'erie-b', 'huron-n')
    routes = [Route('r-download', PREFIX, SERVICE, kind='download')]
    cluster = Cluster([(zone, SERVICE) for zone in zones], routes, record)
    for machine in cluster.machines:
        machine.backend_options = ['--answer-bytes', str(ANSWER_BYTES), '--work-ms', '72']
    async with cluster:
        await asyncio.sleep(4.0)  # longer than stabilityWindow after the start
        direct = await play_round(record, cluster, APP, 'directly at the backends, for comparison')
        if direct:
            record.line('the clients lose answers without the system too: the case cannot run')
            return 2
        lost = await play_round(record, cluster, OUTBOUND, 'through the system')
    broken = lost > LOSSES_ALLOWED
    record.line('LOST is', 'broken' if broken else 'held')
    return int(broken)


if __name__ == '__main__':
    try:
        status = asyncio.run(play())
    except OSError as error:
        print(f'could not run: {error}', file=sys.stderr)  # noqa: T201
        status = 2
    sys.exit(status)
