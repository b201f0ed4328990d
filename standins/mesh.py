"""A small platform of processes: the store, nodes, targets, and proxies that can harm them."""

import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

import msgspec

from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.platform import headers as names
from dunlinsaddle.settings import Address
from standins.fleet import START_SECONDS, Process
from standins.mesh_target import SAYS_PATH, Says
from standins.proxy import Proxy

#: Each machine has an address of its own on loopback, as nodes tell their target's calls by it.
NETWORK = '127.77.{}.{}'
PORTS = {'outbound': 8304, 'ready': 8302, 'control': 8306}
APP_PORT, TARGET_PORT, STORE_PORT = 8301, 8401, 8309
AGAIN_SECONDS = 0.2  #: between two tries of the operator
INTERNAL_PORTS = [7620, 7635]
BOUNDS = {
    'drain': '2000ms',
    'grace': '6s',
    'retryBudgetRatio': 0.2,
    'retryBudgetExtra': 55,
    'budgetWindow': '10s',
}


class Machine(NamedTuple):
    """One machine: its processes, and the proxies before its target and its way to the store."""

    name: str
    service: str
    host: str
    node: Process
    target: Process
    target_way: Proxy
    store_way: Proxy

    @property
    def outbound(self) -> Address:
        """Where callers on the machine send requests."""
        return Address(self.host, PORTS['outbound'])


class TargetKind(NamedTuple):
    """A service of a trial."""

    service: str
    slots: int = 20
    seconds: float = 0.02
    calls: tuple[str, ...] = ()
    kind: str = 'safe'


class NotWritten(Exception):
    """The store has not said that it took a configuration; it may have taken it all the same."""


class MeshFleet:
    """Starts processes, and stops what it started; an asynchronous context manager."""

    def __init__(self, run: int) -> None:
        self.run = run  #: of those that share this host, below 250
        self.folder = tempfile.TemporaryDirectory()
        self.processes: list[Process] = []
        self.machines: dict[str, Machine] = {}
        self.client = HttpClient()
        self.store = Address(NETWORK.format(run, 1), STORE_PORT)
        self.version = 0
        self.accepted = 0  #: the latest version that the store is known to have taken
        self._revision = 0
        self._environ: dict[str, dict[str, str]] = {}
        self._argv: dict[str, list[str]] = {}

    async def __aenter__(self) -> 'MeshFleet':
        store = self._start(
            [sys.executable, '-m', 'standins.platform', '--listen', str(self.store)]
        )
        await asyncio.to_thread(store.out.get, timeout=START_SECONDS)
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, tb: TracebackType | None
    ) -> None:
        for machine in self.machines.values():
            machine.target_way.close()
            machine.store_way.close()
        self.client.close()
        for proc in self.processes:
            proc.kill(signal.SIGCONT)
            proc.kill(signal.SIGKILL)
        for proc in self.processes:
            await asyncio.to_thread(proc.popen.wait)
        self.folder.cleanup()

    async def place(self, name: str, domain: str, what: TargetKind) -> Machine:
        """Start a machine's target, node and proxies."""
        host = NETWORK.format(self.run, 10 + len(self.machines))
        target_way = Proxy(Address(host, TARGET_PORT))
        await target_way.listen(Address(host, APP_PORT))
        store_way = Proxy(self.store)
        await store_way.listen(Address(host, STORE_PORT))
        path = Path(self.folder.name) / f'{name}.json'
        path.write_text(json.dumps(_node_file(name, domain, what.service, host)))
        self._environ[name] = {'DUNLINSADDLE_NODE_FILE': str(path)}
        self._argv[name] = _target_argv(host, what)
        node, target = self.start_node(name), self.start_target(name)
        made = Machine(name, what.service, host, node, target, target_way, store_way)
        self.machines[name] = made
        return made

    def start_node(self, name: str) -> Process:
        """Start a machine's node."""
        argv = [sys.executable, '-m', 'dunlinsaddle.daemon']
        return self._start(argv, self._environ[name])

    def start_target(self, name: str) -> Process:
        """Start a machine's target."""
        return self._start(self._argv[name])

    def restart(self, name: str, *, node: bool = False, target: bool = False) -> None:
        """Start what has ended at a machine once more."""
        held = self.machines[name]
        if node:
            held = held._replace(node=self.start_node(name))
        if target:
            held = held._replace(target=self.start_target(name))
        self.machines[name] = held

    async def configure(self, kinds: list[TargetKind]) -> None:
        """Write the next configuration: a route ``/SERVICE/`` to each service.

        Raises NotWritten when the store gives no answer, refuses, or shows that an earlier
        write took effect whose answer was lost; that one's revision is known from then on.
        """
        self.version += 1
        await self._write(self.version, kinds)

    async def write_again(self, kinds: list[TargetKind]) -> None:
        """Write what the store may have lost as it returned from a copy, until it is taken."""
        while True:
            held = await self.ask(self.store, 'GET', '/objects/config/main')
            self._revision = _revision_of(held)
            try:
                return await self._write(max(self.accepted, 1), kinds)
            except NotWritten:
                await asyncio.sleep(AGAIN_SECONDS)

    async def _write(self, version: int, kinds: list[TargetKind]) -> None:
        value = _configuration(version, kinds)
        meta: dict[str, Any] = {'name': 'main'}
        method, path = 'POST', '/objects/config'
        if self._revision:
            meta['revision'] = self._revision
            method, path = 'PUT', '/objects/config/main'
        body = msgspec.json.encode({'metadata': meta, 'specification': value})
        answer = await self.ask(self.store, method, path, body)
        if answer is None or answer.status not in (200, 409):
            raise NotWritten(answer and answer.status)
        self._revision = _revision_of(answer)
        if answer.status == 409:
            raise NotWritten(409)
        self.accepted = max(self.accepted, version)

    async def ask(
        self, address: Address, method: str, path: str, body: bytes = b''
    ) -> HttpResponse | None:
        """Send a request past all proxies; None where no answer came."""
        exchange = await self.client.send(address, HttpRequest(method, path, [], body, ''), 3.0)
        return exchange.response if isinstance(exchange, Answered) else None

    async def keep_copy(self) -> None:
        """Let the store keep a copy of what it holds now."""
        await self.ask(self.store, 'POST', '/keep')

    async def return_from_copy(self) -> None:
        """Let the store lose what was written since the copy."""
        await self.ask(self.store, 'POST', '/return')

    async def faults(self, **faults: Any) -> None:
        """Set what goes wrong at the store."""
        await self.ask(self.store, 'POST', '/faults', msgspec.json.encode(faults))

    async def say(self, name: str, says: Says) -> str:
        """Let a machine's target say something of itself; gives its id, empty if it is away."""
        address = Address(self.machines[name].host, TARGET_PORT)
        answer = await self.ask(address, 'POST', SAYS_PATH, msgspec.json.encode(says))
        return str(msgspec.json.decode(answer.body)['target']) if answer else ''

    async def runs(self, name: str) -> dict[str, int]:
        """Give how often the present target of a machine ran each request."""
        address = Address(self.machines[name].host, TARGET_PORT)
        answer = await self.ask(address, 'GET', '/-/runs')
        return msgspec.json.decode(answer.body, type=dict[str, int]) if answer else {}

    def _start(self, argv: list[str], environ: dict[str, str] | None = None) -> Process:
        proc = Process(argv, environ or {})
        self.processes.append(proc)
        return proc


def call_headers(request_id: str, seconds: float) -> list[tuple[bytes, bytes]]:
    """Give the headers of a caller's request."""
    left = b'%d' % int(seconds * 1000)
    return [
        (b'host', b'h.example'),
        (names.REQUEST_ID, request_id.encode()),
        (names.REMAINING_MILLISECONDS, left),
    ]


def _revision_of(answer: HttpResponse | None) -> int:
    """Give the revision of an object that the store holds, 0 for none."""
    if answer is None or answer.status not in (200, 409):
        return 0
    return int(msgspec.json.decode(answer.body)['metadata']['revision'])


def _target_argv(host: str, what: TargetKind) -> list[str]:
    argv = [sys.executable, '-m', 'standins.mesh_target', '--service', what.service]
    argv += ['--listen', f'{host}:{TARGET_PORT}', '--named', f'{host}:{APP_PORT}']
    argv += ['--control', f'{host}:{PORTS["control"]}', '--outbound', f'{host}:{PORTS["outbound"]}']
    argv += ['--slots', str(what.slots), '--seconds', str(what.seconds)]
    for path in what.calls:
        argv += ['--call', path]
    return argv


def _node_file(name: str, domain: str, service: str, host: str) -> dict[str, Any]:
    return {
        'nodeName': name,
        'ipAddress': host,
        'zone': domain,
        'region': 'r',
        'listen': {face: f'{host}:{port}' for face, port in PORTS.items()},
        'internalPortRange': INTERNAL_PORTS,
        'bounds': BOUNDS,
        'appAddress': f'{host}:{APP_PORT}',
        'service': service,
        'platform': {'address': f'{host}:{STORE_PORT}'},
    }


def _route(what: TargetKind, prefix: str) -> dict[str, Any]:
    route = {
        'host': 'h.example',
        'pathPrefix': prefix,
        'kind': what.kind,
        'timeout': '1500ms',
        'targetLatency': '1000ms',
        'priority': 0 if what.kind == 'unsafe' else 2,
        'service': what.service,
        'attempts': 2,
    }
    return {'resourceKind': 'routes', 'metadata': {'name': prefix}, 'specification': route}


def _configuration(version: int, kinds: list[TargetKind]) -> dict[str, Any]:
    # A route for each version so far shows callers which of them are in force.
    entries = [_route(kinds[0], f'/r{number}/') for number in range(1, version + 1) if kinds]
    for what in kinds:
        service = {'healthPath': '/health', 'maxConnections': 200}
        entries += [
            _route(what, f'/{what.service}/'),
            {
                'resourceKind': 'services',
                'metadata': {'name': what.service},
                'specification': service,
            },
        ]
    limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 1 << 20,
        'headerTimeout': '3000ms',
        'idleTimeout': '15000ms',
    }
    entries.append({'resourceKind': 'limits', 'metadata': {}, 'specification': limits})
    return {'version': f'r{version}', 'resources': entries}
