"""A test case that runs a platform, nodes and targets as processes on loopback."""

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
    """Starts a fleet of processes, and stops all of them after the test."""

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
        """Run the command-line tool against one node and return its JSON output."""
        return msgspec.json.decode(
            run_operator_command(
                self.fleet.deployments[name].listeners['operators'], *argv, '--json'
            )
        )

    def apply_record(self, name: str, service: str = 'cut-orders', **changes: Any) -> int:
        """Write a service record through one node and return its version."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / f'{service}.json'
            path.write_bytes(msgspec.json.encode(build_document(service, **changes)))
            return self.run_command(name, 'apply', str(path))[0]['version']

    def call(
        self, deployment: Deployment, path: str = '/cut-orders/orders/17'
    ) -> HttpResponse | None:
        """Send one call to the listener of a node for callers."""

        async def send() -> HttpResponse | None:
            caller = Caller()
            response = await caller.call(
                parse_address(deployment.listeners['callers']), 'GET', path
            )
            caller.close()
            return response

        return asyncio.run(send())

    def wait_for_answer(self, deployment: Deployment) -> bytes:
        """Call until a target answers, and return the body of its answer."""
        bodies: list[bytes] = []

        def is_answered() -> bool:
            response = self.call(deployment)
            if response is not None and response.status == 200:
                bodies.append(response.body)
            return bool(bodies)

        self.wait_until(TIMEOUT_SECONDS, is_answered)
        return bodies[0]

    def wait_until(self, timeout: float, condition: Callable[[], bool]) -> float:
        """Wait until a condition holds, and return the seconds it took."""
        started_at = time.monotonic()
        while not condition():
            if time.monotonic() - started_at > timeout:
                raise AssertionError(f'not within {timeout} s: {self.observe_targets()}')
            time.sleep(0.01)
        return time.monotonic() - started_at

    def observe_targets(self, observer: str = '', field: str = 'state') -> dict[str, str]:
        """Return one field of each target as one node sees it, by instance."""
        rows = self.run_command(observer or next(iter(self.fleet.deployments)), 'targets')
        return {row['instance']: row[field] for row in rows}
