"""Brings about three kinds of failed request on the stand-ins, and keeps the nodes' logs.

    python -m standins.stories --out DIR

Prints a line for each: what it is, and the request's id. docs/OPERATIONS.md goes from these ids
to their causes.
"""

import argparse
import asyncio
import queue
from pathlib import Path

import uuid6

from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.settings import Address
from standins.mesh import MeshFleet, TargetKind, call_headers

RUN = 245  #: of the addresses that MeshFleet uses, apart from those of the soak's seeds
KINDS = [
    TargetKind('views', calls=('/deep/x',)),
    TargetKind('orders', seconds=1.0, kind='unsafe'),
    TargetKind('deep', slots=2, seconds=0.05),
    TargetKind('slow', slots=20, seconds=5.0),
    TargetKind('reports', calls=('/slow/x',)),
]
FLOOD = 60  #: requests at once for a service that has two slots
CALL_SECONDS = 4.0
PATIENCE = 20.0
BETWEEN = 0.2  #: two questions whether a service is served


class Teller:
    """Plays the stories on one fleet."""

    def __init__(self, fleet: MeshFleet) -> None:
        self.fleet = fleet
        self.client = HttpClient()

    async def call(self, entry: str, path: str, method: str = 'GET') -> tuple[str, int]:
        """Send a request; gives its id and the status of the answer."""
        request_id = uuid6.uuid7().hex
        address: Address = self.fleet.machines[entry].outbound
        req = HttpRequest(method, path, call_headers(request_id, CALL_SECONDS), b'', '')
        exchange = await self.client.send(address, req, CALL_SECONDS)
        status = exchange.response.status if isinstance(exchange, Answered) else 0
        return request_id, status

    async def ready(self, entry: str, path: str) -> None:
        """Wait until a service is served."""
        async with asyncio.timeout(PATIENCE):
            status = 0
            while status != 200:
                await asyncio.sleep(BETWEEN)
                _, status = await self.call(entry, path)

    async def refused(self) -> str:
        """Give a request that was refused under overload."""
        calls = [self.call('views-0', '/deep/x') for _ in range(FLOOD)]
        return next(name for name, status in await asyncio.gather(*calls) if status == 503)

    async def unknown(self) -> str:
        """Give an order whose target was killed while it ran it."""
        call = asyncio.create_task(self.call('views-0', '/orders/17', 'POST'))
        await asyncio.sleep(0.5)
        self.fleet.machines['orders-0'].target.kill()
        return (await call)[0]

    async def too_slow(self) -> str:
        """Give a request that ended at its route's timeout, for a service further down."""
        return (await self.call('views-0', '/reports/1'))[0]


async def tell(folder: Path) -> dict[str, str]:
    """Play all stories; gives their request ids, and writes each node's log to the folder."""
    async with MeshFleet(RUN) as fleet:
        await fleet.configure(KINDS)
        for what in KINDS:
            await fleet.place(f'{what.service}-0', 'd0', what)
        teller = Teller(fleet)
        await teller.ready('views-0', '/deep/x')
        await teller.ready('views-0', '/orders/1')
        found = {
            'refused': await teller.refused(),
            'timeout': await teller.too_slow(),
            'unknown': await teller.unknown(),
        }
        await asyncio.sleep(1.5)
        teller.client.close()
        for name, machine in fleet.machines.items():
            lines = _drained(machine.node.out)
            (folder / f'{name}.log').write_text(''.join(f'{line}\n' for line in lines))
        return found


def _drained(lines: 'queue.Queue[str]') -> list[str]:
    found = []
    while not lines.empty():
        found.append(lines.get_nowait())
    return found


def main() -> None:
    """Play the stories."""
    parser = argparse.ArgumentParser(description='Three kinds of failed request, with logs.')
    parser.add_argument('--out', type=Path, required=True, help='Folder for the logs.')
    args = parser.parse_args()
    args.out.mkdir(parents=True, exist_ok=True)
    for story, request_id in asyncio.run(tell(args.out)).items():
        print(f'{story} {request_id}')  # noqa: T201


if __name__ == '__main__':
    main()
