"""Causes three kinds of failed requests on the stand-ins, and saves the nodes' logs.

    python -m standins.stories --out DIR

Prints the kind and the id of each failed request. docs/OPERATIONS.md shows how to find the causes
from these ids.
"""

import argparse
import asyncio
import queue
from pathlib import Path

import uuid6

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.settings import Address
from standins.mesh import MeshFleet, ServiceSpec, build_call_headers

SUBNET = 245  #: of the MeshFleet addresses; the soak uses 1 to 240
SERVICE_SPECS = [
    ServiceSpec('views', downstream_paths=('/deep/x',)),
    ServiceSpec('orders', service_seconds=1.0, kind='unsafe'),
    ServiceSpec('deep', slots=2, service_seconds=0.05),
    ServiceSpec('slow', slots=20, service_seconds=5.0),
    ServiceSpec('reports', downstream_paths=('/slow/x',)),
]
FLOOD_REQUESTS = 60  #: concurrent requests to a service with two slots
CALL_TIMEOUT_SECONDS = 4.0
SERVED_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.2  #: between two checks whether a service is served


class FailureScenarios:
    """Causes failed requests on one fleet."""

    def __init__(self, fleet: MeshFleet) -> None:
        self.fleet = fleet
        self.client = HttpClient()

    async def call(self, ingress: str, path: str, method: str = 'GET') -> tuple[str, int]:
        """Send a request; return its id and the status of the response, 0 if there is none."""
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

    async def overload_service(self) -> str:
        """Overload a service; return the id of a refused request."""
        calls = [self.call('views-0', '/deep/x') for _ in range(FLOOD_REQUESTS)]
        return next(
            request_id for request_id, status in await asyncio.gather(*calls) if status == 503
        )

    async def kill_target_during_request(self) -> str:
        """Kill a target while it runs an unsafe request; return the id of the request."""
        call = asyncio.create_task(self.call('views-0', '/orders/17', 'POST'))
        await asyncio.sleep(0.5)
        self.fleet.machines['orders-0'].target.kill()
        return (await call)[0]

    async def exceed_route_timeout(self) -> str:
        """Return the id of a request that timed out because of a slow downstream service."""
        return (await self.call('views-0', '/reports/1'))[0]


async def run_scenarios(folder: Path) -> dict[str, str]:
    """Cause all failures; return the request ids, and write each node's log to the folder."""
    async with MeshFleet(SUBNET) as fleet:
        await fleet.configure(SERVICE_SPECS)
        for spec in SERVICE_SPECS:
            await fleet.start_machine(f'{spec.service}-0', 'd0', spec)
        scenarios = FailureScenarios(fleet)
        await scenarios.wait_until_served('views-0', '/deep/x')
        await scenarios.wait_until_served('views-0', '/orders/1')
        request_ids = {
            'refused': await scenarios.overload_service(),
            'timeout': await scenarios.exceed_route_timeout(),
            'unknown': await scenarios.kill_target_during_request(),
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
    """Cause the failures and print the request ids."""
    parser = argparse.ArgumentParser(description='Three kinds of failed requests, with logs.')
    parser.add_argument('--out', type=Path, required=True, help='Folder for the logs.')
    args = parser.parse_args()
    args.out.mkdir(parents=True, exist_ok=True)
    for failure, request_id in asyncio.run(run_scenarios(args.out)).items():
        print(f'{failure} {request_id}')  # noqa: T201


if __name__ == '__main__':
    main()
