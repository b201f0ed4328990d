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
from standins.mesh import MeshFleet, ServiceSpec, build_call_headers

SUBNET = 245  #: of the addresses that MeshFleet uses, apart from those of the soak's seeds
SERVICE_SPECS = [
    ServiceSpec('views', called_paths=('/deep/x',)),
    ServiceSpec('orders', service_seconds=1.0, kind='unsafe'),
    ServiceSpec('deep', slots=2, service_seconds=0.05),
    ServiceSpec('slow', slots=20, service_seconds=5.0),
    ServiceSpec('reports', called_paths=('/slow/x',)),
]
FLOOD_REQUESTS = 60  #: requests at once for a service that has two slots
CALL_TIMEOUT_SECONDS = 4.0
SERVED_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.2  #: two questions whether a service is served


class FailureScenarios:
    """Plays the stories on one fleet."""

    def __init__(self, fleet: MeshFleet) -> None:
        self.fleet = fleet
        self.client = HttpClient()

    async def call(self, ingress: str, path: str, method: str = 'GET') -> tuple[str, int]:
        """Send a request; gives its id and the status of the answer."""
        request_id = uuid6.uuid7().hex
        address: Address = self.fleet.machines[ingress].outbound_address
        req = HttpRequest(
            method, path, build_call_headers(request_id, CALL_TIMEOUT_SECONDS), b'', ''
        )
        exchange = await self.client.send(address, req, CALL_TIMEOUT_SECONDS)
        status = exchange.response.status if isinstance(exchange, Answered) else 0
        return request_id, status

    async def wait_until_served(self, ingress: str, path: str) -> None:
        """Wait until a service is served."""
        async with asyncio.timeout(SERVED_TIMEOUT_SECONDS):
            status = 0
            while status != 200:
                await asyncio.sleep(POLL_SECONDS)
                _, status = await self.call(ingress, path)

    async def overload_request(self) -> str:
        """Give a request that was refused under overload."""
        calls = [self.call('views-0', '/deep/x') for _ in range(FLOOD_REQUESTS)]
        return next(name for name, status in await asyncio.gather(*calls) if status == 503)

    async def abort_unsafe_request(self) -> str:
        """Give an order whose target was killed while it ran it."""
        call = asyncio.create_task(self.call('views-0', '/orders/17', 'POST'))
        await asyncio.sleep(0.5)
        self.fleet.machines['orders-0'].target.kill()
        return (await call)[0]

    async def exceed_timeout(self) -> str:
        """Give a request that ended at its route's timeout, for a service further down."""
        return (await self.call('views-0', '/reports/1'))[0]


async def run_scenarios(folder: Path) -> dict[str, str]:
    """Play all stories; gives their request ids, and writes each node's log to the folder."""
    async with MeshFleet(SUBNET) as fleet:
        await fleet.configure(SERVICE_SPECS)
        for spec in SERVICE_SPECS:
            await fleet.start_machine(f'{spec.service}-0', 'd0', spec)
        scenarios = FailureScenarios(fleet)
        await scenarios.wait_until_served('views-0', '/deep/x')
        await scenarios.wait_until_served('views-0', '/orders/1')
        request_ids = {
            'refused': await scenarios.overload_request(),
            'timeout': await scenarios.exceed_timeout(),
            'unknown': await scenarios.abort_unsafe_request(),
        }
        await asyncio.sleep(1.5)
        scenarios.client.close()
        for name, machine in fleet.machines.items():
            lines = _drain(machine.node.stdout_lines)
            (folder / f'{name}.log').write_text(''.join(f'{line}\n' for line in lines))
        return request_ids


def _drain(lines: 'queue.Queue[str]') -> list[str]:
    drained = []
    while not lines.empty():
        drained.append(lines.get_nowait())
    return drained


def main() -> None:
    """Play the stories."""
    parser = argparse.ArgumentParser(description='Three kinds of failed request, with logs.')
    parser.add_argument('--out', type=Path, required=True, help='Folder for the logs.')
    args = parser.parse_args()
    args.out.mkdir(parents=True, exist_ok=True)
    for story, request_id in asyncio.run(run_scenarios(args.out)).items():
        print(f'{story} {request_id}')  # noqa: T201


if __name__ == '__main__':
    main()
