"""A target: N slots, a stated service time, and calls to the services below it."""

import argparse
import asyncio
import contextlib
import signal
from http import HTTPStatus

import msgspec

from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse, json_response
from dunlinsaddle.calls.listener import HttpListener
from dunlinsaddle.settings import Address, parse_address

ANNOUNCE_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 10.0


class Target:
    """Answers calls after a service time, at most ``slots`` of them at once."""

    def __init__(
        self,
        name: str,
        service: str,
        node: Address,
        slots: int,
        seconds: float,
        downstream_paths: list[str],
        *,
        frees_slots: bool = False,
        retries: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.node = node
        self.slots = asyncio.Semaphore(slots)
        self.seconds = seconds
        self.downstream_paths = downstream_paths
        self.frees_slots = frees_slots  #: a slot is held only for the target's own work
        self.retries = retries  #: of each failed call down, as a target without nodes would do
        self.client = HttpClient()
        self.started_count = 0
        self.run_counts: dict[str, int] = {}

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one call."""
        if req.path == '/-/runs':
            return json_response(self.run_counts)
        if req.path == '/-/begun':
            return json_response(self.started_count)
        key = req.header(b'idempotency-key')
        if key:
            self.run_counts[key] = self.run_counts.get(key, 0) + 1
        async with self.slots:
            self.started_count += 1
            await asyncio.sleep(self.seconds)
            statuses = [] if self.frees_slots else await self._call_all(req)
        if self.frees_slots:
            statuses = await self._call_all(req)
        status = 200 if all(status == 200 for status in statuses) else 502
        return json_response({'target': self.name, 'path': req.path, 'below': statuses}, status)

    async def _call_all(self, req: HttpRequest) -> list[int]:
        return [await self._call(path, req) for path in self.downstream_paths]

    async def _call(self, path: str, req: HttpRequest) -> int:
        for _ in range(self.retries):
            status = await self._call_once(path, req)
            if status == HTTPStatus.OK:
                return status
        return await self._call_once(path, req)

    async def _call_once(self, path: str, req: HttpRequest) -> int:
        headers = [(b'dunlinsaddle-call', req.header(b'dunlinsaddle-call').encode())]
        request = HttpRequest('GET', path, headers, b'', '')
        exchange = await self.client.send(self.node, request, CALL_TIMEOUT_SECONDS)
        return exchange.response.status if isinstance(exchange, Answered) else 0

    async def announce(self, address: Address) -> None:
        """Tell the node beside it where it is, again and again: the node may be replaced."""
        body = msgspec.json.encode({'service': self.service, 'address': str(address)})
        while True:
            req = HttpRequest('POST', '/-/announce', [], body, '')
            await self.client.send(self.node, req, CALL_TIMEOUT_SECONDS)
            await asyncio.sleep(ANNOUNCE_SECONDS)


async def serve(target: Target, address: Address) -> None:
    """Serve until SIGTERM; prints the address first."""
    listener = HttpListener(target.handle, HttpLimits(max_connections=100_000))
    bound_address = await listener.listen(address)
    print(bound_address, flush=True)  # noqa: T201
    announce_task = asyncio.create_task(target.announce(bound_address))
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()
    announce_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await announce_task
    listener.close()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description='Stand-in for a target.')
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--node', required=True, type=parse_address, help='its local face')
    parser.add_argument('--listen', default='127.0.0.1:0', type=parse_address)
    parser.add_argument('--slots', default=10, type=int)
    parser.add_argument('--seconds', default=0.01, type=float)
    parser.add_argument('--call', action='append', default=[], help='/service/path called down')
    parser.add_argument('--frees-slots', action='store_true', help='while it waits for others')
    parser.add_argument('--retries', default=0, type=int, help='of each failed call down')
    args = parser.parse_args()
    target = Target(
        args.name,
        args.service,
        args.node,
        args.slots,
        args.seconds,
        args.call,
        frees_slots=args.frees_slots,
        retries=args.retries,
    )
    asyncio.run(serve(target, args.listen))


if __name__ == '__main__':
    main()
