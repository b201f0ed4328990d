"""A target of the users' platform: heartbeats, slots, signed answers, and calls of its own."""

import argparse
import asyncio
import contextlib
import signal
import time

import msgspec
import uuid6

from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse, json_response
from dunlinsaddle.calls.listener import HttpListener
from dunlinsaddle.platform import headers as names
from dunlinsaddle.platform.heartbeats import INSTANCES_PATH
from dunlinsaddle.settings import parse_address

BEAT_SECONDS = 0.5  #: between heartbeats; a third of the platform's, so that trials are short
CALL_SECONDS = 2.0
SAYS_PATH = '/-/says'  #: takes what it is to say of itself with its answers
WRONG_TARGET = 421


class Says(msgspec.Struct):
    """What a target says of itself with its answers, beside its heartbeats."""

    rate: float | None = None  #: requests a second
    leaving: bool = False


class MeshTarget:
    """Runs requests that expect it, ``slots`` at once, and tells on request what it has run."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.target_id = f'i-{uuid6.uuid7().hex[-12:]}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.draining = False
        self.says = Says()
        self.running = 0
        self.runs: dict[str, int] = {}
        self.client = HttpClient()

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if req.path == '/-/runs':
            return json_response(self.runs)
        if req.path == SAYS_PATH:
            self.says = msgspec.json.decode(req.body, type=Says)
            return json_response({'target': self.target_id})
        if req.path == '/health':
            said = [(names.TARGET_ID, self.target_id.encode())]
            return HttpResponse(503 if self.draining else 200, said, b'')
        request_id = req.header(names.REQUEST_ID)
        print(f'got {self.target_id} {time.monotonic():.4f} {request_id}', flush=True)  # noqa: T201
        if req.header(names.EXPECTED_TARGET) != self.target_id:
            return HttpResponse(WRONG_TARGET, [(names.TARGET_ID, self.target_id.encode())], b'')
        if self.running >= self.options.slots:
            return HttpResponse(503, [(names.NOT_EXECUTED, b'1'), *self._said()], b'')
        self.running += 1
        try:
            return await self._run(req)
        finally:
            self.running -= 1

    async def _run(self, req: HttpRequest) -> HttpResponse:
        request_id = req.header(names.REQUEST_ID)
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        # Told at once: what a target that is killed had run must not be lost with it.
        print(f'run {request_id}', flush=True)  # noqa: T201
        await asyncio.sleep(self.options.seconds)
        served = [await self._call(path, request_id) for path in self.options.call]
        status = 200 if all(served) else 500
        said = [
            (names.REQUEST_ID, request_id.encode()),
            (names.SERVER_SIGNATURE, self.target_id.encode()),
            *self._said(),
        ]
        body = msgspec.json.encode({'id': request_id, 'path': req.path})
        return HttpResponse(status, said, body)

    def _said(self) -> list[tuple[bytes, bytes]]:
        said = []
        if self.says.rate is not None:
            said.append((names.RATE_LIMIT, f'{self.says.rate:.3f}'.encode()))
        if self.says.leaving:
            said.append((names.SERVER_LEAVING, b'1'))
        return said

    async def _call(self, path: str, parent: str) -> bool:
        pairs = [
            (b'host', b'h.example'),
            (names.REQUEST_ID, f'{parent}.{uuid6.uuid7().hex[-16:]}'.encode()),
            (names.REMAINING_MILLISECONDS, b'%d' % int(CALL_SECONDS * 1000)),
        ]
        req = HttpRequest('GET', path, pairs, b'', '')
        exchange = await self.client.send(self.options.outbound, req, CALL_SECONDS)
        return isinstance(exchange, Answered) and exchange.response.status == 200

    async def beat(self) -> bool:
        """Send one heartbeat; say whether it was acknowledged."""
        self.sequence += 1
        said = {
            'service': self.options.service,
            'address': str(self.options.named),
            'zone': 'd',
            'version': 'v1',
            'slots': self.options.slots,
            'state': 'draining' if self.draining else 'ready',
            'coldRemaining': '0ms',
            'sequence': self.sequence,
            'born': self.born,
        }
        body = msgspec.json.encode(said)
        req = HttpRequest('PUT', f'{INSTANCES_PATH}{self.target_id}', [], body, '')
        exchange = await self.client.send(self.options.control, req, 1.0)
        return isinstance(exchange, Answered) and exchange.response.status == 200


async def _beat_on(target: MeshTarget) -> None:
    while True:
        await target.beat()
        await asyncio.sleep(BEAT_SECONDS)


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM, then drain: tell the node, serve on for a while, and leave."""
    target = MeshTarget(options)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    face = HttpListener(target.handle, HttpLimits())
    print(await face.listen(options.listen), flush=True)  # noqa: T201
    beating = asyncio.create_task(_beat_on(target))
    await stop.wait()
    target.draining = True
    await target.beat()
    await asyncio.sleep(options.drain)
    beating.cancel()
    leave = HttpRequest('DELETE', f'{INSTANCES_PATH}{target.target_id}', [], b'', '')
    await target.client.send(options.control, leave, 1.0)
    face.close()


def main() -> None:
    """Run the stand-in as a process."""
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
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(parser.parse_args()))


if __name__ == '__main__':
    main()
