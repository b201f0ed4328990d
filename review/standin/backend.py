"""Stand-in for a backend: heartbeats, slots, signed answers, and faults that a case switches on."""

import asyncio
import contextlib
import json
from random import Random
from typing import NamedTuple

from standin.http import MAX_HEAD_BYTES, Message, encode_request, encode_response, exchange
from standin.http import read_message as read_request
from standin.record import Record

HEARTBEAT_SECONDS = 1.5
ACK_TIMEOUT_SECONDS = 1.0


class BackendSpec(NamedTuple):
    """What a backend announces, and how long it works on a request."""

    service: str
    zone: str
    host: str
    port: int
    control_port: int
    slots: int
    work_seconds: float
    work_spread: float  #: largest deviation of the work on one request, as a share of the usual


class Backend:
    """A backend that is there from the start of a case to its end."""

    def __init__(self, spec: BackendSpec, backend_id: str, record: Record, seed: int) -> None:
        self.spec = spec
        self.id = backend_id
        self.record = record
        self.rng = Random(seed)
        self.sequence = 0
        self.running = 0
        self.refused_share = 0.0  #: of the requests, answered 503 with Not-Executed
        self.extra_share = 0.0  #: of the answers, sent once more with the next answer
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.spec.host, self.spec.port, limit=MAX_HEAD_BYTES
        )
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeat(self) -> None:
        self.sequence += 1
        body = {
            'service': self.spec.service,
            'address': f'{self.spec.host}:{self.spec.port}',
            'zone': self.spec.zone,
            'version': 'v1',
            'slots': self.spec.slots,
            'state': 'ready',
            'coldRemaining': '0ms',
            'sequence': self.sequence,
        }
        headers = {'Host': 'control', 'Content-Type': 'application/json'}
        path = f'/instances/{self.id}'
        request = encode_request('PUT', path, headers, json.dumps(body).encode())
        # One that is not acknowledged is followed by the next.
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            await exchange(self.spec.host, self.spec.control_port, request, ACK_TIMEOUT_SECONDS)

    async def _send_heartbeats(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        repeated = b''  #: copy of an answer, sent where the next answer is expected
        try:
            while True:
                request = await read_request(reader)
                if repeated:
                    self.record.add('extra', request.headers.get('request-id', ''), self.id)
                    writer.write(repeated)
                    await writer.drain()
                answer = await self._answer(request)
                is_repeated = self.rng.random() < self.extra_share
                repeated = answer if is_repeated else b''
                writer.write(answer)
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            return
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer(self, request: Message) -> bytes:
        request_id = request.headers.get('request-id', '')
        headers = {'Request-Id': request_id, 'Instance': self.id}
        if request.headers.get('expected-instance', self.id) != self.id:
            return encode_response(421, headers)
        is_full = self.running >= self.spec.slots
        if is_full or self.rng.random() < self.refused_share:
            self.record.add('not run', request_id, self.id)
            return encode_response(503, {**headers, 'Not-Executed': '1'})
        self.record.add('run', request_id, self.id)
        self.running += 1
        try:
            spread = self.spec.work_spread * self.rng.uniform(-1, 1)
            await asyncio.sleep(self.spec.work_seconds * (1 + spread))
        finally:
            self.running -= 1
        self.record.add('answered', request_id, self.id)
        headers['Server-Signature'] = f'{self.id}.{request_id}'
        return encode_response(200, headers, json.dumps({'id': request_id}).encode())
