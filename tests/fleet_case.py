"""A test case over real processes: a platform, nodes and targets on loopback."""

import asyncio
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from testtools import TestCase

from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.settings import parse_address
from standins.caller import Caller
from standins.demo import run_operator_command
from standins.fleet import Deployment, Fleet, TargetSpec
from tests.builders import build_document

DOMAINS = {'bangor-1': 'bangor-hall', 'caernarfon-1': 'caernarfon-hall', 'menai-1': 'menai-hall'}
TIMEOUT_SECONDS = 10.0


class FleetCase(TestCase):
    """Stops at its end whatever it started."""

    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__, None, None, None)

    def start_target_in_each_domain(self, slots: int, seconds: float) -> None:
        """Start a target of cut-orders in each of three failure domains."""
        for name, domain in DOMAINS.items():
            self.fleet.deploy(name, TargetSpec('cut-orders', domain, slots, seconds))

    def run_command(self, name: str, *argv: str) -> Any:
        """Run the command line against one node; gives the JSON it wrote."""
        return msgspec.json.decode(
            run_operator_command(
                self.fleet.deployments[name].listeners['operators'], *argv, '--json'
            )
        )

    def apply_record(self, name: str, service: str = 'cut-orders', **changes: Any) -> int:
        """Write a record through one node; gives its version."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / f'{service}.json'
            path.write_bytes(msgspec.json.encode(build_document(service, **changes)))
            return self.run_command(name, 'apply', str(path))[0]['version']

    def call(self, placed: Deployment, path: str = '/cut-orders/orders/17') -> HttpResponse | None:
        """Send one call by the caller face of a node."""

        async def once() -> HttpResponse | None:
            caller = Caller()
            response = await caller.call(parse_address(placed.listeners['callers']), 'GET', path)
            caller.close()
            return response

        return asyncio.run(once())

    def wait_for_answer(self, placed: Deployment) -> bytes:
        """Give the body of the first call that is answered by a target."""
        found: list[bytes] = []

        def look() -> bool:
            response = self.call(placed)
            if response is not None and response.status == 200:
                found.append(response.body)
            return bool(found)

        self.wait_until(TIMEOUT_SECONDS, look)
        return found[0]

    def wait_until(self, limit: float, holds: Callable[[], bool]) -> float:
        """Wait until something holds; gives the seconds it took."""
        began = time.monotonic()
        while not holds():
            if time.monotonic() - began > limit:
                raise AssertionError(f'not within {limit} s: {self.observe_targets()}')
            time.sleep(0.01)
        return time.monotonic() - began

    def observe_targets(self, by: str = '', field: str = 'state') -> dict[str, str]:
        """Give a field of each target as one node sees it."""
        rows = self.run_command(by or next(iter(self.fleet.deployments)), 'targets')
        return {row['instance']: row[field] for row in rows}
