"""Runs the command-line tool in process, and a node for it to connect to."""

import asyncio
import threading
import time
from typing import Any, NamedTuple

import msgspec

from dunlinsaddle.cli.core import program
from dunlinsaddle.managed_node import ListenAddresses
from dunlinsaddle.membership.roster import ROSTER_KIND
from dunlinsaddle.node import Node
from tests.builders import OPERATOR_TOKEN, build_environment, build_logger, build_settings
from tests.fakes.store import FakeStore


class CliResult(NamedTuple):
    """The exit status and output of a run of the tool."""

    status: int
    output: str
    error: str

    @property
    def json(self) -> Any:
        return msgspec.json.decode(self.output)


def run_cli(*argv: str, stdin: str = '', **environ: str) -> CliResult:
    env = build_environment(environ=environ)
    env.stdin.write(stdin)
    env.stdin.seek(0)
    status = program(list(argv), env)
    return CliResult(status, env.stdout.getvalue(), env.stderr.getvalue())


class NodeThread:
    """Context manager that runs a node in its own thread, with an in-memory store."""

    def __init__(self) -> None:
        self.store = FakeStore(separate_kinds={ROSTER_KIND})
        self.node: Node
        self.addresses: ListenAddresses
        self.loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._stop = asyncio.Event()

    def __enter__(self) -> 'NodeThread':
        self._thread.start()
        if not self._ready.wait(10):
            raise AssertionError('the node did not start')
        return self

    def __exit__(self, *args: object) -> None:
        self.loop.call_soon_threadsafe(self._stop.set)
        self._thread.join(10)

    def cli(self, *argv: str, stdin: str = '', **environ: str) -> CliResult:
        defaults = {
            'DUNLINSADDLE_NODE': str(self.addresses.operators),
            'DUNLINSADDLE_OPERATOR_TOKEN': OPERATOR_TOKEN,
            'USER': 'ann',
        }
        return run_cli(*argv, stdin=stdin, **{**defaults, **environ})

    def wait_for_record(self, service: str) -> None:
        """Wait until a record is in force at the node."""
        deadline = time.monotonic() + 10
        while self.node.record_cache.find(service) is None:
            if time.monotonic() > deadline:
                raise AssertionError(f'{service} is not in force')
            time.sleep(0.02)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self._serve())
        self.loop.close()

    async def _serve(self) -> None:
        self.node = Node(build_settings(), build_environment(), build_logger('node'))
        self.node.use_store(self.store)
        self.addresses = await self.node.start()
        self._ready.set()
        await self._stop.wait()
        await self.node.stop()
