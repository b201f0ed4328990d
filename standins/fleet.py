"""Starts the platform, nodes and targets as processes, and stops what it started."""

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
START_SECONDS = 15.0
STOP_SECONDS = 10.0


class TargetSpec(NamedTuple):
    """One target of a fleet."""

    service: str
    domain: str
    slots: int
    seconds: float
    calls: tuple[str, ...] = ()
    options: tuple[str, ...] = ()  #: further flags of the target


class Process:
    """One started process, its lines read by a thread of their own."""

    def __init__(self, argv: list[str], environ: dict[str, str]) -> None:
        self.popen = subprocess.Popen(
            argv,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, **environ},
        )
        self.out = _lines(self.popen.stdout)
        self.err = _lines(self.popen.stderr)

    def kill(self, how: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to just this process."""
        if self.popen.poll() is None:
            self.popen.send_signal(how)

    def stop(self) -> int:
        """End it, first kindly; gives its exit status."""
        self.kill(signal.SIGCONT)
        self.kill(signal.SIGTERM)
        try:
            return self.popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.wait(STOP_SECONDS)


def _lines(stream: IO[str] | None) -> 'queue.Queue[str]':
    assert stream is not None
    lines: queue.Queue[str] = queue.Queue()

    def read() -> None:
        for line in stream:
            lines.put(line.rstrip('\n'))

    threading.Thread(target=read, daemon=True).start()
    return lines


class Placed(NamedTuple):
    """A target with the node beside it."""

    name: str
    node: Process
    target: Process
    faces: dict[str, str]
    listening: str


class Fleet:
    """A platform and any number of targets with their nodes; a context manager.

    With ``profiles``, a folder, each node runs under cProfile and leaves its figures there.
    """

    def __init__(self, profiles: str = '') -> None:
        self.profiles = profiles
        self.processes: list[Process] = []
        self.platform = ''
        self.placed: dict[str, Placed] = {}

    def __enter__(self) -> 'Fleet':
        proc = self._start([sys.executable, '-m', 'standins.platform'])
        self.platform = proc.out.get(timeout=START_SECONDS)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, tb: TracebackType | None
    ) -> None:
        for proc in self.processes:
            proc.kill(signal.SIGCONT)
            proc.kill(signal.SIGTERM)
        for proc in self.processes:
            proc.stop()

    def start_node(self, name: str, domain: str, **settings: str) -> tuple[Process, dict[str, str]]:
        """Start one node; gives its process and the addresses of its faces."""
        environ = {
            'DUNLINSADDLE_INSTANCE': name,
            'DUNLINSADDLE_DOMAIN': domain,
            'DUNLINSADDLE_PLATFORM': self.platform,
            'DUNLINSADDLE_PEER_KEY': PEER_KEY,
            'DUNLINSADDLE_OPERATOR_TOKEN': OPERATOR_TOKEN,
            **{f'DUNLINSADDLE_{key.upper()}': value for key, value in settings.items()},
        }
        profiler = ['-m', 'cProfile', '-o', f'{self.profiles}/{name}.prof']
        argv = [sys.executable, *(profiler if self.profiles else []), '-m', 'dunlinsaddle.daemon']
        node = self._start(argv, environ)
        line = node.err.get(timeout=START_SECONDS)
        return node, json.loads(line)['faces']

    def place(self, name: str, spec: TargetSpec, **settings: str) -> Placed:
        """Start a target and the node beside it."""
        node, faces = self.start_node(name, spec.domain, **settings)
        argv = [sys.executable, '-m', 'standins.target', '--name', name]
        argv += ['--service', spec.service, '--node', faces['local']]
        argv += ['--slots', str(spec.slots), '--seconds', str(spec.seconds)]
        for path in spec.calls:
            argv += ['--call', path]
        argv += spec.options
        target = self._start(argv)
        listening = target.out.get(timeout=START_SECONDS)
        self.placed[name] = Placed(name, node, target, faces, listening)
        return self.placed[name]

    def _start(self, argv: list[str], environ: dict[str, str] | None = None) -> Process:
        proc = Process(argv, environ or {})
        self.processes.append(proc)
        return proc
