"""A target with a number of slots, a fixed service time, and calls to downstream services."""

import argparse
import asyncio
import contextlib
import signal
from http import HTTPStatus

import msgspec

from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse, json_response
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.calls.target import TOKEN_HEADER
from dunlinsaddle.settings import Address, parse_address

ANNOUNCE_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 10.0


class Target:
    """Answers calls after its service time, at most ``slots`` of them at once."""

    def __init__(
        self,
        name: str,
        service: str,
        node_address: Address,
        slots: int,
        service_seconds: float,
        downstream_paths: list[str],
        *,
        frees_slots: bool = False,
        retries: int = 0,
        names_calls: bool = True,
    ) -> None:
        self.names_calls = names_calls
        self.name = name
        self.service = service
        self.node_address = node_address
        self.slots = asyncio.Semaphore(slots)
        self.service_seconds = service_seconds
        self.downstream_paths = downstream_paths
        self.frees_slots = frees_slots  #: frees the slot during downstream calls
        self.retries = retries  #: of each failed downstream call, as by a target without nodes
        self.client = HttpClient()
        self.started_count = 0
        self.run_counts: dict[str, int] = {}

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle one call, and name it in the response."""
        response = await self._respond(req)
        if self.names_calls:
            response.headers.append(_token(req))
        return response

    async def _respond(self, req: HttpRequest) -> HttpResponse:
        if req.path == '/-/runs':
            return json_response(self.run_counts)
        if req.path == '/-/begun':
            return json_response(self.started_count)
        key = req.header(b'idempotency-key')
        if key:
            self.run_counts[key] = self.run_counts.get(key, 0) + 1
        async with self.slots:
            self.started_count += 1
            await asyncio.sleep(self.service_seconds)
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
        request = HttpRequest('GET', path, [_token(req)], b'', '')
        exchange = await self.client.send(self.node_address, request, CALL_TIMEOUT_SECONDS)
        return exchange.response.status if isinstance(exchange, Answered) else 0

    async def announce(self, address: Address) -> None:
        """Send the target's address to its node repeatedly, as the node may be replaced."""
        body = msgspec.json.encode({'service': self.service, 'address': str(address)})
        while True:
            req = HttpRequest('POST', '/-/announce', [], body, '')
            await self.client.send(self.node_address, req, CALL_TIMEOUT_SECONDS)
            await asyncio.sleep(ANNOUNCE_SECONDS)


def _token(req: HttpRequest) -> tuple[bytes, bytes]:
    return TOKEN_HEADER, req.header(TOKEN_HEADER).encode()


async def serve(target: Target, address: Address) -> None:
    """Print the address, and serve until SIGTERM."""
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
    """Run the target as a process."""
    parser = argparse.ArgumentParser(description='Stand-in for a target.')
    parser.add_argument('--name', required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--node', required=True, type=parse_address, help='its local listener')
    parser.add_argument('--listen', default='127.0.0.1:0', type=parse_address)
    parser.add_argument('--slots', default=10, type=int)
    parser.add_argument('--seconds', default=0.01, type=float)
    parser.add_argument('--call', action='append', default=[], help='/service/path to call')
    parser.add_argument('--frees-slots', action='store_true', help='during downstream calls')
    parser.add_argument('--retries', default=0, type=int, help='of each failed downstream call')
    parser.add_argument('--unnamed', action='store_true', help='no token in responses')
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
        names_calls=not args.unnamed,
    )
    asyncio.run(serve(target, args.listen))


if __name__ == '__main__':
    main()
