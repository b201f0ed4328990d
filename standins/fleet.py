"""Starts the platform, nodes and targets as processes, and stops them again."""

import json
import os
import queue
import signal
import subprocess
import sys
import threading
from types import TracebackType
from typing import IO, NamedTuple

PEER_KEY = 'a-key-for-trials'
OPERATOR_TOKEN = 'a-token-for-trials'
START_TIMEOUT_SECONDS = 15.0
STOP_TIMEOUT_SECONDS = 10.0


class TargetSpec(NamedTuple):
    """A target of a fleet."""

    service: str
    domain: str
    slots: int
    service_seconds: float
    downstream_paths: tuple[str, ...] = ()
    extra_args: tuple[str, ...] = ()  #: further command-line arguments of the target


class Process:
    """A child process; one thread per output stream queues the lines."""

    def __init__(self, argv: list[str], environ: dict[str, str]) -> None:
        self.popen = subprocess.Popen(
            argv,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, **environ},
        )
        self.stdout_lines = _read_lines(self.popen.stdout)
        self.stderr_lines = _read_lines(self.popen.stderr)

    def kill(self, signum: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to this process only, unless it has exited."""
        if self.popen.poll() is None:
            self.popen.send_signal(signum)

    def stop(self) -> int:
        """Terminate the process, kill it after a timeout, and return its exit status."""
        self.kill(signal.SIGCONT)
        self.kill(signal.SIGTERM)
        try:
            return self.popen.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.wait(STOP_TIMEOUT_SECONDS)


def _read_lines(stream: IO[str] | None) -> 'queue.Queue[str]':
    assert stream is not None
    lines: queue.Queue[str] = queue.Queue()

    def read() -> None:
        for line in stream:
            lines.put(line.rstrip('\n'))

    threading.Thread(target=read, daemon=True).start()
    return lines


class Deployment(NamedTuple):
    """A target and its node, with their addresses."""

    name: str
    node: Process
    target: Process
    listeners: dict[str, str]
    target_address: str


class Fleet:
    """A platform and any number of targets with their nodes; a context manager.

    If ``profile_folder`` is given, each node runs under cProfile and writes its profile there.
    """

    def __init__(self, profile_folder: str = '') -> None:
        self.profile_folder = profile_folder
        self.processes: list[Process] = []
        self.platform_address = ''
        self.deployments: dict[str, Deployment] = {}

    def __enter__(self) -> 'Fleet':
        proc = self._start([sys.executable, '-m', 'standins.platform'])
        self.platform_address = proc.stdout_lines.get(timeout=START_TIMEOUT_SECONDS)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for proc in self.processes:
            proc.kill(signal.SIGCONT)
            proc.kill(signal.SIGTERM)
        for proc in self.processes:
            proc.stop()

    def start_node(self, name: str, domain: str, **settings: str) -> tuple[Process, dict[str, str]]:
        """Start a node; return its process and the addresses of its listeners."""
        environ = {
            'DUNLINSADDLE_INSTANCE': name,
            'DUNLINSADDLE_DOMAIN': domain,
            'DUNLINSADDLE_PLATFORM': self.platform_address,
            'DUNLINSADDLE_PEER_KEY': PEER_KEY,
            'DUNLINSADDLE_OPERATOR_TOKEN': OPERATOR_TOKEN,
            **{f'DUNLINSADDLE_{key.upper()}': value for key, value in settings.items()},
        }
        profiler = ['-m', 'cProfile', '-o', f'{self.profile_folder}/{name}.prof']
        argv = [
            sys.executable,
            *(profiler if self.profile_folder else []),
            '-m',
            'dunlinsaddle.daemon',
        ]
        node = self._start(argv, environ)
        line = node.stderr_lines.get(timeout=START_TIMEOUT_SECONDS)
        return node, json.loads(line)['faces']

    def deploy(self, name: str, spec: TargetSpec, **settings: str) -> Deployment:
        """Start a target and its node."""
        node, listeners = self.start_node(name, spec.domain, **settings)
        argv = [sys.executable, '-m', 'standins.target', '--name', name]
        argv += ['--service', spec.service, '--node', listeners['local']]
        argv += ['--slots', str(spec.slots), '--seconds', str(spec.service_seconds)]
        for path in spec.downstream_paths:
            argv += ['--call', path]
        argv += spec.extra_args
        target = self._start(argv)
        target_address = target.stdout_lines.get(timeout=START_TIMEOUT_SECONDS)
        self.deployments[name] = Deployment(name, node, target, listeners, target_address)
        return self.deployments[name]

    def _start(self, argv: list[str], environ: dict[str, str] | None = None) -> Process:
        proc = Process(argv, environ or {})
        self.processes.append(proc)
        return proc
