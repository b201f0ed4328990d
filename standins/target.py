"""A target: N slots, a stated service time, and calls to the services below it."""

import argparse
import asyncio
import contextlib
import signal

import msgspec

from dunlinsaddle.calls.client import Answered, HttpClient
from dunlinsaddle.calls.http import HttpFace, HttpLimits, HttpRequest, HttpResponse, json_response
from dunlinsaddle.settings import Address, read_address

ANNOUNCE_EVERY = 2.0
CALL_TIMEOUT = 10.0


class Target:
    """Answers calls after a service time, at most ``slots`` of them at once."""

    def __init__(
        self, name: str, service: str, node: Address, slots: int, seconds: float, calls: list[str]
    ) -> None:
        self.name = name
        self.service = service
        self.node = node
        self.slots = asyncio.Semaphore(slots)
        self.seconds = seconds
        self.calls = calls
        self.client = HttpClient()
        self.runs: dict[str, int] = {}

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one call."""
        if req.path == '/-/runs':
            return json_response(self.runs)
        key = req.header(b'idempotency-key')
        if key:
            self.runs[key] = self.runs.get(key, 0) + 1
        async with self.slots:
            await asyncio.sleep(self.seconds)
            below = [await self._call(path, req) for path in self.calls]
        status = 200 if all(status == 200 for status in below) else 502
        return json_response({'target': self.name, 'path': req.path, 'below': below}, status)

    async def _call(self, path: str, req: HttpRequest) -> int:
        headers = [(b'dunlinsaddle-call', req.header(b'dunlinsaddle-call').encode())]
        down = HttpRequest('GET', path, headers, b'', '')
        exchange = await self.client.send(self.node, down, CALL_TIMEOUT)
        return exchange.response.status if isinstance(exchange, Answered) else 0

    async def announce(self, address: Address) -> None:
        """Tell the node beside it where it is, again and again: the node may be replaced."""
        body = msgspec.json.encode({'service': self.service, 'address': str(address)})
        while True:
            req = HttpRequest('POST', '/-/announce', [], body, '')
            await self.client.send(self.node, req, CALL_TIMEOUT)
            await asyncio.sleep(ANNOUNCE_EVERY)


async def serve(target: Target, address: Address) -> None:
    """Serve until SIGTERM; prints the address first."""
    face = HttpFace(target.handle, HttpLimits(connections=100_000))
    listening = await face.listen(address)
    print(listening, flush=True)  # noqa: T201
    announcing = asyncio.create_task(target.announce(listening))
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    announcing.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await announcing
    face.close()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description='Stand-in for a target.')
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--node', required=True, type=read_address, help='its local face')
    parser.add_argument('--listen', default='127.0.0.1:0', type=read_address)
    parser.add_argument('--slots', default=10, type=int)
    parser.add_argument('--seconds', default=0.01, type=float)
    parser.add_argument('--call', action='append', default=[], help='/service/path called down')
    args = parser.parse_args()
    target = Target(args.name, args.service, args.node, args.slots, args.seconds, args.call)
    asyncio.run(serve(target, args.listen))


if __name__ == '__main__':
    main()
