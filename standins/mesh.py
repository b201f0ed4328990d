"""A cluster of processes: the store, nodes and targets, with proxies that inject faults."""

import asyncio
import json
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

import msgspec

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.platform import headers as names
from dunlinsaddle.settings import Address
from standins.fleet import START_TIMEOUT_SECONDS, Process
from standins.mesh_target import FAULTS_PATH, STATE_PATH, AdvertisedState, TargetFaults
from standins.proxy import Proxy

#: Each machine has its own loopback address, by which nodes recognise the calls of their target.
HOST_FORMAT = '127.77.{}.{}'
LISTENER_PORTS = {'outbound': 8304, 'ready': 8302, 'control': 8306}
APP_PORT, TARGET_PORT, STORE_PORT = 8301, 8401, 8309
RETRY_SECONDS = 0.2  #: between two attempts to write the configuration
INTERNAL_PORT_RANGE = [7620, 7635]
NODE_BOUNDS = {
    'drain': '2000ms',
    'grace': '6s',
    'retryBudgetRatio': 0.2,
    'retryBudgetExtra': 55,
    'budgetWindow': '10s',
}


class Machine(NamedTuple):
    """One machine: its processes, and the proxies in front of its target and of the store."""

    name: str
    service: str
    host: str
    node: Process
    target: Process
    target_proxy: Proxy
    store_proxy: Proxy

    @property
    def outbound_address(self) -> Address:
        """Address to which callers on the machine send requests."""
        return Address(self.host, LISTENER_PORTS['outbound'])


class ServiceSpec(NamedTuple):
    """A service and the behaviour of its targets."""

    service: str
    slots: int = 20
    service_seconds: float = 0.02
    downstream_paths: tuple[str, ...] = ()
    kind: str = 'safe'
    refused_share: float = 0.0  #: of the requests
    repeated_share: float = 0.0  #: of the answers, sent once more where the next is expected


class UnconfirmedWriteError(Exception):
    """The store did not confirm a configuration; it may nevertheless have stored it."""


class MeshFleet:
    """Starts processes, and stops them on exit; an asynchronous context manager."""

    def __init__(self, subnet: int) -> None:
        self.subnet = subnet  #: below 250; fleets on the same host need different ones
        self.temp_dir = tempfile.TemporaryDirectory()
        self.processes: list[Process] = []
        self.machines: dict[str, Machine] = {}
        self.client = HttpClient()
        self.store_address = Address(HOST_FORMAT.format(subnet, 1), STORE_PORT)
        self.version = 0
        self.accepted_version = 0  #: latest version confirmed by the store
        self._revision = 0
        self._node_environ: dict[str, dict[str, str]] = {}
        self._target_commands: dict[str, list[str]] = {}
        #: Returns further options for the next start of the target of a machine.
        self.target_options: Callable[[str], list[str]] = lambda name: []

    async def __aenter__(self) -> 'MeshFleet':
        store = self._start(
            [sys.executable, '-m', 'standins.platform', '--listen', str(self.store_address)]
        )
        await asyncio.to_thread(store.stdout_lines.get, timeout=START_TIMEOUT_SECONDS)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for machine in self.machines.values():
            machine.target_proxy.close()
            machine.store_proxy.close()
        self.client.close()
        for proc in self.processes:
            proc.kill(signal.SIGCONT)
            proc.kill(signal.SIGKILL)
        for proc in self.processes:
            await asyncio.to_thread(proc.popen.wait)
        self.temp_dir.cleanup()

    async def start_machine(self, name: str, domain: str, spec: ServiceSpec) -> Machine:
        """Start a machine's target, node and proxies."""
        host = HOST_FORMAT.format(self.subnet, 10 + len(self.machines))
        target_proxy = Proxy(Address(host, TARGET_PORT))
        await target_proxy.listen(Address(host, APP_PORT))
        store_proxy = Proxy(self.store_address)
        await store_proxy.listen(Address(host, STORE_PORT))
        path = Path(self.temp_dir.name) / f'{name}.json'
        path.write_text(json.dumps(_build_node_file(name, domain, spec.service, host)))
        self._node_environ[name] = {'DUNLINSADDLE_NODE_FILE': str(path)}
        self._target_commands[name] = _build_target_command(host, spec)
        node, target = self.start_node(name), self.start_target(name)
        machine = Machine(name, spec.service, host, node, target, target_proxy, store_proxy)
        self.machines[name] = machine
        return machine

    def start_node(self, name: str) -> Process:
        """Start a machine's node."""
        argv = [sys.executable, '-m', 'dunlinsaddle.daemon']
        return self._start(argv, self._node_environ[name])

    def start_target(self, name: str) -> Process:
        """Start a machine's target."""
        return self._start([*self._target_commands[name], *self.target_options(name)])

    def restart_processes(self, name: str, *, node: bool = False, target: bool = False) -> None:
        """Start the node, the target, or both of a machine again after they have exited."""
        machine = self.machines[name]
        if node:
            machine = machine._replace(node=self.start_node(name))
        if target:
            machine = machine._replace(target=self.start_target(name))
        self.machines[name] = machine

    async def configure(self, specs: list[ServiceSpec]) -> None:
        """Write the next configuration: a route ``/SERVICE/`` to each service.

        Raises UnconfirmedWriteError if the store does not respond or refuses, or if its conflict
        response shows that an earlier write took effect whose response was lost. After a conflict
        the revision of the stored configuration is known.
        """
        self.version += 1
        await self._write_version(self.version, specs)

    async def rewrite_until_accepted(self, specs: list[ServiceSpec]) -> None:
        """Write the accepted version until it is stored, as a restored store may have lost it."""
        while True:
            response = await self.send_request(self.store_address, 'GET', '/objects/config/main')
            self._revision = _revision_in(response)
            try:
                return await self._write_version(max(self.accepted_version, 1), specs)
            except UnconfirmedWriteError:
                await asyncio.sleep(RETRY_SECONDS)

    async def _write_version(self, version: int, specs: list[ServiceSpec]) -> None:
        value = _build_configuration(version, specs)
        meta: dict[str, Any] = {'name': 'main'}
        method, path = 'POST', '/objects/config'
        if self._revision:
            meta['revision'] = self._revision
            method, path = 'PUT', '/objects/config/main'
        body = msgspec.json.encode({'metadata': meta, 'specification': value})
        response = await self.send_request(self.store_address, method, path, body)
        if response is None or response.status not in (200, 409):
            raise UnconfirmedWriteError(response and response.status)
        self._revision = _revision_in(response)
        if response.status == 409:
            raise UnconfirmedWriteError(409)
        self.accepted_version = max(self.accepted_version, version)

    async def send_request(
        self, address: Address, method: str, path: str, body: bytes = b''
    ) -> HttpResponse | None:
        """Send a request that bypasses all proxies; return None if there is no response."""
        exchange = await self.client.send(address, HttpRequest(method, path, [], body, ''), 3.0)
        return exchange.response if isinstance(exchange, Answered) else None

    async def save_copy(self) -> None:
        """Make the store save a copy of its current objects."""
        await self.send_request(self.store_address, 'POST', '/keep')

    async def restore_copy(self) -> None:
        """Make the store restore the saved copy, and so lose all later writes."""
        await self.send_request(self.store_address, 'POST', '/return')

    async def set_store_faults(self, **faults: Any) -> None:
        """Set the faults of the store; without arguments, clear them."""
        await self.send_request(self.store_address, 'POST', '/faults', msgspec.json.encode(faults))

    async def set_advertised_state(self, name: str, state: AdvertisedState) -> str:
        """Set what a machine's target advertises; return its id, or '' if there is no response."""
        address = Address(self.machines[name].host, TARGET_PORT)
        response = await self.send_request(address, 'POST', STATE_PATH, msgspec.json.encode(state))
        return str(msgspec.json.decode(response.body)['target']) if response else ''

    async def set_target_faults(self, name: str, faults: TargetFaults) -> None:
        """Set the faults of a machine's target."""
        address = Address(self.machines[name].host, TARGET_PORT)
        await self.send_request(address, 'POST', FAULTS_PATH, msgspec.json.encode(faults))

    async def fetch_run_counts(self, name: str) -> dict[str, int]:
        """Return how often the current target of a machine has run each request."""
        address = Address(self.machines[name].host, TARGET_PORT)
        response = await self.send_request(address, 'GET', '/-/runs')
        return msgspec.json.decode(response.body, type=dict[str, int]) if response else {}

    def _start(self, argv: list[str], environ: dict[str, str] | None = None) -> Process:
        proc = Process(argv, environ or {})
        self.processes.append(proc)
        return proc


def build_call_headers(request_id: str, timeout_seconds: float) -> list[tuple[bytes, bytes]]:
    """Return the headers of a caller's request."""
    remaining_ms = b'%d' % int(timeout_seconds * 1000)
    return [
        (b'host', b'h.example'),
        (names.REQUEST_ID, request_id.encode()),
        (names.REMAINING_MILLISECONDS, remaining_ms),
    ]


def _revision_in(response: HttpResponse | None) -> int:
    """Return the revision of the object in a response of the store, 0 if there is none."""
    if response is None or response.status not in (200, 409):
        return 0
    return int(msgspec.json.decode(response.body)['metadata']['revision'])


def _build_target_command(host: str, spec: ServiceSpec) -> list[str]:
    argv = [sys.executable, '-m', 'standins.mesh_target', '--service', spec.service]
    argv += ['--listen', f'{host}:{TARGET_PORT}', '--named', f'{host}:{APP_PORT}']
    argv += [
        '--control',
        f'{host}:{LISTENER_PORTS["control"]}',
        '--outbound',
        f'{host}:{LISTENER_PORTS["outbound"]}',
    ]
    argv += ['--slots', str(spec.slots), '--seconds', str(spec.service_seconds)]
    argv += ['--refuse', str(spec.refused_share), '--repeat', str(spec.repeated_share)]
    for path in spec.downstream_paths:
        argv += ['--call', path]
    return argv


def _build_node_file(name: str, domain: str, service: str, host: str) -> dict[str, Any]:
    return {
        'nodeName': name,
        'ipAddress': host,
        'zone': domain,
        'region': 'r',
        'listen': {listener: f'{host}:{port}' for listener, port in LISTENER_PORTS.items()},
        'internalPortRange': INTERNAL_PORT_RANGE,
        'bounds': NODE_BOUNDS,
        'appAddress': f'{host}:{APP_PORT}',
        'service': service,
        'platform': {'address': f'{host}:{STORE_PORT}'},
    }


def _build_route(spec: ServiceSpec, prefix: str) -> dict[str, Any]:
    route = {
        'host': 'h.example',
        'pathPrefix': prefix,
        'kind': spec.kind,
        'timeout': '1500ms',
        'targetLatency': '1000ms',
        'priority': 0 if spec.kind == 'unsafe' else 2,
        'service': spec.service,
        'attempts': 2,
    }
    return {'resourceKind': 'routes', 'metadata': {'name': prefix}, 'specification': route}


def _build_configuration(version: int, specs: list[ServiceSpec]) -> dict[str, Any]:
    # Each version adds a route, so that callers can observe which version a node applies.
    entries = [_build_route(specs[0], f'/r{number}/') for number in range(1, version + 1) if specs]
    for spec in specs:
        service = {'healthPath': '/health', 'maxConnections': 200}
        entries += [
            _build_route(spec, f'/{spec.service}/'),
            {
                'resourceKind': 'services',
                'metadata': {'name': spec.service},
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
