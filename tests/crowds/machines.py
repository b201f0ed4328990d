"""Nodes as processes with lowered limits, and what the platform would count of them."""

import asyncio
import json
import os
import sys
import tempfile
import threading
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

import msgspec

from dunlinsaddle.settings import Address
from standins.fleet import START_TIMEOUT_SECONDS, Process
from tests.builders import build_configuration, build_node_file, build_route
from tests.crowds.clients import Answer, call, fetch
from tests.crowds.target import CrowdTarget

#: Each machine has its own loopback address, by which nodes recognise the calls of their target.
HOST_FORMAT = '127.77.240.{}'
OUTBOUND_PORT, READY_PORT, CONTROL_PORT, APP_PORT, STORE_PORT = 8304, 8302, 8306, 8301, 8309
INTERNAL_PORTS = (7620, 7635)
SAMPLE_SECONDS = 0.02
SETTLE_ATTEMPTS = 100
RESERVED_DESCRIPTORS = 200  #: of the limit, for files; sockets and pipes share the rest
MEGABYTE = 1_000_000
BYTES_PER_KIB = 1024


class Limits(NamedTuple):
    """The limits in the settings of all nodes, and those of the operators' configuration."""

    memory_mb: int = 100
    descriptors: int = 4100
    max_body_bytes: int = 1 << 22
    max_header_bytes: int = 16_384


class Usage:
    """The most memory and the most sockets and pipes that a process has had.

    As the platform counts memory, bytes that the kernel has received and the process has not read
    belong to it.
    """

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.unread_bytes = 0
        self.sockets = 0
        self.resident_bytes = 0

    def look(self, unread_by_inode: dict[str, int]) -> None:
        """Update the figures, unless the process has ended."""
        try:
            links = [os.readlink(entry) for entry in Path(f'/proc/{self.pid}/fd').iterdir()]
            status = Path(f'/proc/{self.pid}/status').read_text()
        except OSError:
            return
        inodes = [link[8:-1] for link in links if link.startswith('socket:')]
        pipes = sum(1 for link in links if link.startswith('pipe:'))
        self.sockets = max(self.sockets, len(inodes) + pipes)
        unread = sum(unread_by_inode.get(inode, 0) for inode in inodes)
        self.unread_bytes = max(self.unread_bytes, unread)
        for line in status.splitlines():
            if line.startswith('VmHWM:'):
                self.resident_bytes = int(line.split()[1]) * BYTES_PER_KIB

    @property
    def memory_bytes(self) -> int:
        """Upper bound of the memory that the platform has counted at any time."""
        return self.resident_bytes + self.unread_bytes


def read_unread_bytes() -> dict[str, int]:
    """Return the bytes that wait in the kernel to be read, by the inode of their socket."""
    unread = {}
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        columns = line.split()
        unread[columns[9]] = int(columns[4].split(':')[1], 16)
    return unread


class Machine(NamedTuple):
    """A node, its target and what it has used."""

    host: str
    node: Process
    target: CrowdTarget
    usage: Usage

    @property
    def outbound(self) -> Address:
        return Address(self.host, OUTBOUND_PORT)


class Machines:
    """Starts the store and one machine for each service; an asynchronous context manager."""

    def __init__(self, services: list[str], limits: Limits, slots: int) -> None:
        self.services, self.limits, self.slots = services, limits, slots
        self.folder = tempfile.TemporaryDirectory()
        self.all: dict[str, Machine] = {}  #: by the number of the machine and its service
        self.processes: list[Process] = []
        self.targets: list[CrowdTarget] = []
        self._stopped = threading.Event()
        self._sampler = threading.Thread(target=self._sample, daemon=True)

    async def __aenter__(self) -> 'Machines':
        store = Address(HOST_FORMAT.format(1), STORE_PORT)
        argv = [sys.executable, '-m', 'standins.platform', '--listen', str(store)]
        process = self._start(argv, {})
        await asyncio.to_thread(process.stdout_lines.get, timeout=START_TIMEOUT_SECONDS)
        await self._configure(store)
        for number, service in enumerate(self.services):
            await self._start_machine(number, service, store)
        self._sampler.start()
        try:
            await self._settle()
        except BaseException:
            self.stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()

    def stop(self) -> None:
        """End all processes, targets and the sampling."""
        self._stopped.set()
        for target in self.targets:
            target.close()
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.popen.wait()
        self.folder.cleanup()

    def _start(self, argv: list[str], environ: dict[str, str]) -> Process:
        process = Process(argv, environ)
        self.processes.append(process)
        return process

    async def _configure(self, store: Address) -> None:
        routes = [
            build_route(
                service,
                prefix=f'/{service}/',
                service=service,
                timeout='20s',
                targetLatency='10s',
            )
            for service in sorted(set(self.services))
        ]
        value = build_configuration('r1', routes)
        value['resources'][-1]['specification'].update(
            maxBodyBytes=self.limits.max_body_bytes, maxHeaderBytes=self.limits.max_header_bytes
        )
        body = msgspec.json.encode({'metadata': {'name': 'main'}, 'specification': value})
        await fetch(store, 'POST', '/objects/config', body)

    async def _start_machine(self, number: int, service: str, store: Address) -> None:
        host = HOST_FORMAT.format(10 + number)
        target = CrowdTarget(service, host, APP_PORT, CONTROL_PORT, self.slots)
        self.targets.append(target)
        path = Path(self.folder.name) / f'{number}.json'
        path.write_text(json.dumps(self._node_file(number, service, host, store)))
        environ = {'DUNLINSADDLE_NODE_FILE': str(path)}
        node = self._start([sys.executable, '-m', 'dunlinsaddle.daemon'], environ)
        await target.start()
        self.all[f'{number}:{service}'] = Machine(host, node, target, Usage(node.popen.pid))

    def _node_file(self, number: int, service: str, host: str, store: Address) -> dict[str, Any]:
        return build_node_file(
            nodeName=f'{service}-{number}',
            ipAddress=host,
            zone='d',
            region='r',
            listen={
                'outbound': f'{host}:{OUTBOUND_PORT}',
                'ready': f'{host}:{READY_PORT}',
                'control': f'{host}:{CONTROL_PORT}',
            },
            internalPortRange=list(INTERNAL_PORTS),
            limits={
                'cpuShare': 0.86,
                'cores': 2,
                'memoryMb': self.limits.memory_mb,
                'fileDescriptors': self.limits.descriptors,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            firstStart=True,
            appAddress=f'{host}:{APP_PORT}',
            service=service,
            platform={'address': str(store)},
        )

    async def _settle(self) -> None:
        """Wait until each machine serves each service."""
        for machine in self.all.values():
            for service in set(self.services):
                for _ in range(SETTLE_ATTEMPTS):
                    if (await call(machine.outbound, f'/{service}/x')).is_success:
                        break
                    await asyncio.sleep(0.1)
                else:
                    raise AssertionError(f'{service} is not served by {machine.host}')

    def _sample(self) -> None:
        while not self._stopped.wait(SAMPLE_SECONDS):
            unread = read_unread_bytes()
            for machine in self.all.values():
                machine.usage.look(unread)

    def violations(self) -> list[str]:
        """Return what the nodes have done that the platform would not bear."""
        found = []
        for name, machine in self.all.items():
            usage = machine.usage
            if machine.node.popen.poll() is not None:
                found.append(f'{name} has ended: {machine.node.popen.returncode}')
            if usage.memory_bytes > self.limits.memory_mb * MEGABYTE:
                found.append(
                    f'{name} has held {usage.memory_bytes / MEGABYTE:.0f} MB, '
                    f'{usage.unread_bytes / MEGABYTE:.0f} of them unread'
                )
            if usage.sockets > self.limits.descriptors - RESERVED_DESCRIPTORS:
                found.append(f'{name} has had {usage.sockets} sockets and pipes')
        return found

    async def answer_ordinary(self, name: str, path: str, body: bytes = b'') -> Answer:
        """Send an ordinary request as a caller does: refused, it comes back a few times."""
        return await call(self.all[name].outbound, path, body, attempts=8)
