"""A target on the users' platform: heartbeats, slots, signed responses, and downstream calls."""

import argparse
import asyncio
import contextlib
import signal
import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, cast

import msgspec
import uuid6

from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse, json_response
from dunlinsaddle.calls.inbound.accepted_connection import AcceptedConnection
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.platform import headers as names
from dunlinsaddle.platform.heartbeats import INSTANCES_PATH
from dunlinsaddle.settings import parse_address

HEARTBEAT_SECONDS = 0.5  #: a third of the platform's interval, to keep trials short
CALL_TIMEOUT_SECONDS = 2.0
MAX_LEAVE_ATTEMPTS = 4  #: a target that is not acknowledged exits anyway
STATE_PATH = '/-/says'  #: sets the state that the target advertises in its responses
FAULTS_PATH = '/-/faults'
MISDIRECTED_REQUEST = 421
NAMED_COPIES_SHARE = 0.5  #: of the answers that are sent again; the others have lost their name


class AdvertisedState(msgspec.Struct):
    """State that a target advertises in its responses, in addition to its heartbeats."""

    rate: float | None = None  #: requests per second
    leaving: bool = False


class TargetFaults(msgspec.Struct):
    """Shares of the requests that a target refuses, and of the answers that it sends twice."""

    refused_share: float = 0.0
    repeated_share: float = 0.0


class _RepeatingTransport:
    """Keeps copies of some of what is written, and delegates all else to a transport."""

    def __init__(
        self, transport: asyncio.BaseTransport, make_copy: Callable[[bytes], bytes]
    ) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._make_copy = make_copy
        self._copy = b''

    def write(self, data: bytes) -> None:
        """Write a response, and keep a copy if it is to be repeated."""
        self._copy = self._make_copy(data)
        self._transport.write(data)

    def write_copy(self) -> None:
        """Write the kept response once more, if there is one."""
        copy, self._copy = self._copy, b''
        if copy:
            self._transport.write(copy)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class RepeatingConnection(AcceptedConnection):
    """Sends a share of its responses twice, the copy where the next response is expected."""

    def __init__(self, listener: HttpListener, make_copy: Callable[[bytes], bytes]) -> None:
        super().__init__(listener)
        self._make_copy = make_copy

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to read."""
        self._repeating = _RepeatingTransport(transport, self._make_copy)
        super().connection_made(cast(asyncio.Transport, self._repeating))

    def data_received(self, data: bytes) -> None:
        """Repeat the last response before the next request is read."""
        self._repeating.write_copy()
        super().data_received(data)


class MeshTarget:
    """Runs requests addressed to its id, at most ``slots`` at once, and reports which it ran."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.target_id = options.id or f'i-{uuid6.uuid7().hex[-12:]}'
        self.started_at_ms = int((time.time() + options.clock_step) * 1000)
        #: Identifies this start in all output; the next one may have the same id.
        self.start_name = f'{self.target_id}@{self.started_at_ms}'
        self.sequence = 0
        self.draining = False
        self.deregistered = False
        self.state = AdvertisedState()
        self.faults = TargetFaults(options.refuse, options.repeat)
        self.running_count = 0
        self.rng = Random(self.started_at_ms)
        self.run_counts: dict[str, int] = {}
        self.client = HttpClient()

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle one request."""
        if req.path == '/-/runs':
            return json_response(self.run_counts)
        if req.path == STATE_PATH:
            self.state = msgspec.json.decode(req.body, type=AdvertisedState)
            return json_response({'target': self.start_name})
        if req.path == FAULTS_PATH:
            self.faults = msgspec.json.decode(req.body, type=TargetFaults)
            return json_response({'target': self.start_name})
        if req.path == '/health':
            headers = [(names.TARGET_ID, self.target_id.encode())]
            is_leaving = self.draining or self.deregistered
            return HttpResponse(503 if is_leaving else 200, headers, b'')
        request_id = req.header(names.REQUEST_ID)
        print(f'got {self.start_name} {time.monotonic():.4f} {request_id}', flush=True)  # noqa: T201
        if req.header(names.EXPECTED_TARGET) != self.target_id:
            headers = [_name(req), (names.TARGET_ID, self.target_id.encode())]
            return HttpResponse(MISDIRECTED_REQUEST, headers, b'')
        is_refused = self.rng.random() < self.faults.refused_share
        if is_refused or self.running_count >= self.options.slots:
            headers = [_name(req), (names.NOT_EXECUTED, b'1'), *self._state_headers()]
            return HttpResponse(503, headers, b'')
        self.running_count += 1
        try:
            return await self._run(req)
        finally:
            self.running_count -= 1

    def make_copy(self, response: bytes) -> bytes:
        """Return what is sent again of a response, mostly nothing; some copies name no request."""
        if self.rng.random() >= self.faults.repeated_share:
            return b''
        is_named = self.rng.random() < NAMED_COPIES_SHARE
        return response if is_named else _without_name(response)

    async def _run(self, req: HttpRequest) -> HttpResponse:
        request_id = req.header(names.REQUEST_ID)
        self.run_counts[request_id] = self.run_counts.get(request_id, 0) + 1
        # Printed before the work: the soak must also know the runs of a target that is killed.
        print(f'run {request_id}', flush=True)  # noqa: T201
        await asyncio.sleep(self.options.seconds)
        succeeded = [await self._call(path, request_id) for path in self.options.call]
        status = 200 if all(succeeded) else 500
        headers = [
            _name(req),
            (names.SERVER_SIGNATURE, self.start_name.encode()),
            *self._state_headers(),
        ]
        body = msgspec.json.encode({'id': request_id, 'path': req.path})
        return HttpResponse(status, headers, body)

    def _state_headers(self) -> list[tuple[bytes, bytes]]:
        headers = []
        if self.state.rate is not None:
            headers.append((names.RATE_LIMIT, f'{self.state.rate:.3f}'.encode()))
        if self.state.leaving:
            headers.append((names.SERVER_LEAVING, b'1'))
        return headers

    async def _call(self, path: str, parent: str) -> bool:
        headers = [
            (b'host', b'h.example'),
            (names.REQUEST_ID, f'{parent}.{uuid6.uuid7().hex[-16:]}'.encode()),
            (names.REMAINING_MILLISECONDS, b'%d' % int(CALL_TIMEOUT_SECONDS * 1000)),
        ]
        req = HttpRequest('GET', path, headers, b'', '')
        exchange = await self.client.send(self.options.outbound, req, CALL_TIMEOUT_SECONDS)
        return isinstance(exchange, Answered) and exchange.response.status == 200

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        return await self.send(self.build_heartbeat())

    async def send(self, req: HttpRequest) -> bool:
        """Send a message to the node; return whether it was acknowledged."""
        exchange = await self.client.send(self.options.control, req, 1.0)
        return isinstance(exchange, Answered) and exchange.response.status == 200

    def build_heartbeat(self) -> HttpRequest:
        """Return the next heartbeat."""
        self.sequence += 1
        heartbeat = {
            'service': self.options.service,
            'address': str(self.options.named),
            'zone': 'd',
            'version': 'v1',
            'slots': self.options.slots,
            'state': 'draining' if self.draining else 'ready',
            'coldRemaining': '0ms',
            'sequence': self.sequence,
            'born': self.started_at_ms,
        }
        body = msgspec.json.encode(heartbeat)
        return HttpRequest('PUT', f'{INSTANCES_PATH}{self.target_id}', [], body, '')

    def build_deregistration(self) -> HttpRequest:
        """Return the message that this target terminates."""
        return HttpRequest('DELETE', f'{INSTANCES_PATH}{self.target_id}', [], b'', '')

    async def leave(self, *, by_deregistration: bool) -> None:
        """Announce the departure until it is acknowledged, and print when it was."""
        self.draining, self.deregistered = not by_deregistration, by_deregistration
        for _ in range(MAX_LEAVE_ATTEMPTS):
            if by_deregistration:
                is_acknowledged = await self.send(self.build_deregistration())
            else:
                is_acknowledged = await self.send_heartbeat()
            if is_acknowledged:
                print(f'left {self.start_name} {time.monotonic():.4f}', flush=True)  # noqa: T201
                return
            await asyncio.sleep(HEARTBEAT_SECONDS)


def _without_name(response: bytes) -> bytes:
    head, end, body = response.partition(b'\r\n\r\n')
    lines = [line for line in head.split(b'\r\n') if not line.startswith(names.REQUEST_ID + b':')]
    return b'\r\n'.join(lines) + end + body


def _name(req: HttpRequest) -> tuple[bytes, bytes]:
    """Return the header by which a response names its request."""
    return names.REQUEST_ID, req.header(names.REQUEST_ID).encode()


async def _send_heartbeats(target: MeshTarget) -> None:
    while True:
        await target.send_heartbeat()
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM, then drain: notify the node, keep serving for a while, deregister."""
    target = MeshTarget(options)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    listener = HttpListener(target.handle, HttpLimits())
    listener.new_connection = partial(RepeatingConnection, listener, target.make_copy)
    print(await listener.listen(options.listen), flush=True)  # noqa: T201
    heartbeat_task = asyncio.create_task(_send_heartbeats(target))
    await stop.wait()
    late_heartbeat = target.build_heartbeat()
    if options.deregister_first:
        heartbeat_task.cancel()
    await target.leave(by_deregistration=options.deregister_first)
    await asyncio.sleep(options.drain / 2)
    if options.late:
        await target.send(late_heartbeat)
    await asyncio.sleep(options.drain / 2)
    heartbeat_task.cancel()
    await target.send(target.build_deregistration())
    listener.close()


def main() -> None:
    """Run the target as a process."""
    parser = argparse.ArgumentParser(description="Stand-in for a target of the users' platform.")
    parser.add_argument('--listen', type=parse_address, required=True)
    parser.add_argument('--named', type=parse_address, required=True, help='As callers see it.')
    parser.add_argument('--control', type=parse_address, required=True)
    parser.add_argument('--outbound', type=parse_address, required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--slots', type=int, default=20)
    parser.add_argument('--seconds', type=float, default=0.02)
    parser.add_argument('--drain', type=float, default=1.0)
    parser.add_argument('--call', action='append', default=[])
    parser.add_argument('--refuse', type=float, default=0.0, help='Share of the requests.')
    parser.add_argument('--repeat', type=float, default=0.0, help='Share of the answers.')
    parser.add_argument('--id', default='', help='Default: a new one.')
    parser.add_argument('--clock-step', type=float, default=0.0, help='Of its clock, in seconds.')
    parser.add_argument(
        '--deregister-first', action='store_true', help='Leave without reporting "draining".'
    )
    parser.add_argument(
        '--late', action='store_true', help='After leaving, send a heartbeat from before.'
    )
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
