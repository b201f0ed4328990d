"""``make control-cost``: cost of membership at 4, 16, 64 and 128 nodes on loopback.

Each process runs the gossip agent of one node, or of several if there are more nodes than
processes. The parent polls the member views of all nodes to see when a change has reached all.
"""

import argparse
import asyncio
import contextlib
import os
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import msgspec

from dunlinsaddle.membership.agent import GossipAgent
from dunlinsaddle.membership.transport import open_udp
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.settings import Address, parse_address

PEER_KEY = 'a-key-for-trials'
NODE_COUNTS = (4, 16, 64, 128)
MAX_PROCESSES = 32
DOMAIN_COUNT = 8
SETTLE_SECONDS = 20.0
IDLE_SECONDS = 20.0
SPREAD_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.05
FLEET_SIZE = 960  #: nodes to extrapolate to
PACKET_HEADER_BYTES = 28  #: IPv4 and UDP headers


class ProcessReport(NamedTuple):
    """Resources that a process has used since its start, and the member views of its nodes."""

    agents: int
    seconds: float
    cpu: float
    sent: int
    sent_bytes: int
    received: int
    received_bytes: int
    resident: int
    views: dict[str, dict[str, list[Any]]]


class NodeCost(NamedTuple):
    """Cost per second of an idle node, and seconds until each kind of change reaches all nodes."""

    nodes: int
    sent: float
    received: float
    cpu: float
    resident: float
    announced: float
    drained: float
    died: float
    refuted: float


class NodeGroup:
    """The gossip agents of some nodes, in one process."""

    def __init__(self, names: list[str], seeds: list[Address]) -> None:
        self.names = names
        self.seeds = seeds
        self.agents: dict[str, GossipAgent] = {}

    async def start(self) -> list[Address]:
        """Start all agents; return the addresses of their gossip listeners."""
        addresses = []
        for name in self.names:
            agent = GossipAgent(MemberView(), PEER_KEY, Random(name), self.seeds)
            address = await agent.listen(open_udp, Address('127.0.0.1', 0))
            domain = f'domain-{int(name[1:]) % DOMAIN_COUNT}'
            incarnation = int(time.time() * 1000)
            agent.start(Member(name, incarnation, State.ALIVE, domain, 'stock', address, address))
            self.agents[name] = agent
            addresses.append(address)
        return addresses

    def report(self) -> ProcessReport:
        """Return the resources used by this process and the views of its nodes."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        counts = [agent.counters for agent in self.agents.values()]
        return ProcessReport(
            len(self.agents),
            time.monotonic(),
            usage.ru_utime + usage.ru_stime,
            sum(c.sent for c in counts),
            sum(c.sent_bytes for c in counts),
            sum(c.received for c in counts),
            sum(c.received_bytes for c in counts),
            _resident_bytes(),
            {name: _encode_view(agent) for name, agent in self.agents.items()},
        )

    def apply_command(self, command: str, name: str) -> None:
        """Change the member entry that a node announces for itself."""
        agent = self.agents[name]
        me = agent.gossip.me
        match command:
            case 'announce':
                agent.announce(me._replace(service='changed'))
            case 'drain':
                agent.announce(me._replace(state=State.DRAINING))


def _encode_view(agent: GossipAgent) -> dict[str, list[Any]]:
    members = agent.gossip.view.members()
    return {m.instance: [m.incarnation, int(m.state), m.service] for m in members}


def _resident_bytes() -> int:
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE')


async def serve(names: list[str], seeds: list[Address]) -> None:
    """Run some nodes, and handle the parent's commands until standard input ends."""
    group = NodeGroup(names, seeds)
    addresses = await group.start()
    tasks = [asyncio.create_task(agent.run()) for agent in group.agents.values()]
    _print_line(','.join(map(str, addresses)))
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := (await reader.readline()).decode().split():
        if line[0] == 'report':
            _print_line(msgspec.json.encode(group.report()).decode())
        else:
            group.apply_command(line[0], line[1])
    for task in tasks:
        task.cancel()


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


class Worker:
    """A child process that runs some nodes."""

    def __init__(self, names: list[str], seeds: list[str]) -> None:
        self.names = names
        argv = [sys.executable, '-m', 'standins.scale', '--nodes', ','.join(names)]
        if seeds:
            argv += ['--seeds', ','.join(seeds)]
        self.popen = subprocess.Popen(
            argv, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.addresses: list[str] = []

    def read(self) -> str:
        """Read a line from the process."""
        assert self.popen.stdout is not None
        return self.popen.stdout.readline()

    def write(self, line: str) -> None:
        """Write a line to the process."""
        assert self.popen.stdin is not None
        self.popen.stdin.write(f'{line}\n')
        self.popen.stdin.flush()

    def report(self) -> ProcessReport:
        """Request a report from the process."""
        self.write('report')
        return msgspec.json.decode(self.read(), type=ProcessReport)

    def stop(self) -> None:
        """Kill the process."""
        with contextlib.suppress(OSError):
            self.popen.send_signal(signal.SIGCONT)
        self.popen.kill()
        self.popen.wait()


class Trial:
    """Measures a fleet of one size."""

    def __init__(self, nodes: int) -> None:
        self.nodes = nodes
        self.workers: list[Worker] = []

    def start(self) -> None:
        """Start all processes; the first node is the seed of all others."""
        names = [f'n{i}' for i in range(self.nodes)]
        # The first four have their own processes: one changes its entry, one drains, one is killed,
        # and one is frozen.
        single, shared = names[:4], names[4:]
        groups = [[name] for name in single]
        groups += [
            shared[i :: MAX_PROCESSES - 4] for i in range(min(len(shared), MAX_PROCESSES - 4))
        ]
        seeds: list[str] = []
        for group in groups:
            worker = Worker(group, seeds)
            self.workers.append(worker)
            worker.addresses = worker.read().strip().split(',')
            seeds = seeds or worker.addresses[:1]

    def stop(self) -> None:
        """Stop all processes."""
        for worker in self.workers:
            worker.stop()

    def reports(self, excluded: int = -1) -> list[ProcessReport]:
        """Request reports from all processes, or from all but one."""
        return [w.report() for i, w in enumerate(self.workers) if i != excluded]

    def measure_spread(
        self, name: str, matches: Callable[[list[Any]], bool], excluded: int = -1
    ) -> float:
        """Return the seconds until the entry of a node matches in the views of all others."""
        started_at = time.monotonic()
        while time.monotonic() - started_at < SPREAD_TIMEOUT_SECONDS:
            views = [v for r in self.reports(excluded) for n, v in r.views.items() if n != name]
            if all(name in view and matches(view[name]) for view in views):
                return time.monotonic() - started_at
            time.sleep(POLL_SECONDS)
        raise SystemExit(f'{name}: change not known to all nodes within {SPREAD_TIMEOUT_SECONDS} s')

    def measure_idle(self) -> tuple[float, float, float, float]:
        """Return bytes sent and received per second, CPU share and memory of an idle node."""
        before = self.reports()
        time.sleep(IDLE_SECONDS)
        after = self.reports()
        pairs = list(zip(before, after, strict=True))
        seconds = sum((b.seconds - a.seconds) * a.agents for a, b in pairs)
        sent = sum(
            b.sent_bytes - a.sent_bytes + PACKET_HEADER_BYTES * (b.sent - a.sent) for a, b in pairs
        )
        received = sum(
            b.received_bytes - a.received_bytes + PACKET_HEADER_BYTES * (b.received - a.received)
            for a, b in pairs
        )
        cpu = sum(b.cpu - a.cpu for a, b in pairs)
        single = [r.resident for r in after if r.agents == 1]
        return sent / seconds, received / seconds, cpu / seconds, sum(single) / len(single)

    def measure(self) -> NodeCost:
        """Measure the idle fleet, then each kind of change."""
        for name in (f'n{i}' for i in range(self.nodes)):
            self.measure_spread(name, lambda entry: entry[1] == State.ALIVE)
        time.sleep(SETTLE_SECONDS)
        idle = self.measure_idle()
        self.workers[0].write('announce n0')
        announced = self.measure_spread('n0', lambda entry: entry[2] == 'changed')
        self.workers[1].write('drain n1')
        drained = self.measure_spread('n1', lambda entry: entry[1] == State.DRAINING)
        refuted = self._freeze()
        self.workers[2].popen.kill()
        self.workers[2].popen.wait()
        died = self.measure_spread(
            'n2', lambda entry: entry[1] in (State.SUSPECT, State.DEAD), excluded=2
        )
        return NodeCost(self.nodes, *idle, announced, drained, died, refuted)

    def _freeze(self) -> float:
        """Freeze a node until all suspect it; return the seconds until all see it alive again."""
        proc = self.workers[3].popen
        proc.send_signal(signal.SIGSTOP)
        self.measure_spread('n3', lambda entry: entry[1] != State.ALIVE, excluded=3)
        proc.send_signal(signal.SIGCONT)
        return self.measure_spread('n3', lambda entry: entry[1] == State.ALIVE)


class LinearFit(NamedTuple):
    """A straight line fitted by least squares."""

    start: float
    slope: float

    def value_at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.start + self.slope * x


def fit(points: list[tuple[float, float]]) -> LinearFit:
    """Fit a line to points.

    >>> fit([(0, 1), (1, 3), (2, 5)])
    LinearFit(start=1.0, slope=2.0)
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    variance_sum = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / variance_sum
    return LinearFit(mean_y - slope * mean_x, slope)


def print_costs(costs: list[NodeCost]) -> None:
    """Print the measurements, and extrapolate them to ``FLEET_SIZE`` nodes."""
    _print_line('nodes  sent B/s  recv B/s  cpu %  MB     announced  drained  killed  refuted')
    for c in costs:
        figures = f'{c.nodes:>5}{c.sent:>10.0f}{c.received:>10.0f}{100 * c.cpu:>7.3f}'
        times = f'{c.announced:>10.2f}{c.drained:>9.2f}{c.died:>8.2f}{c.refuted:>9.2f}'
        _print_line(f'{figures}{c.resident / 1e6:>7.1f}{times}')
    if len(costs) < 2:
        return
    for field, scale, unit in (('sent', 1, 'B/s'), ('cpu', 100, '%'), ('resident', 1e-6, 'MB')):
        line = fit([(c.nodes, getattr(c, field) * scale) for c in costs])
        at = line.value_at(FLEET_SIZE)
        _print_line(
            f'{field}: {line.start:.4g} + {line.slope:.4g} a node, at {FLEET_SIZE}: {at:.4g} {unit}'
        )


def main() -> None:
    """Measure all fleet sizes, or run some nodes as a child process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default=','.join(map(str, NODE_COUNTS)))
    parser.add_argument('--nodes', help='run these nodes')
    parser.add_argument('--seeds', default='')
    args = parser.parse_args()
    if args.nodes:
        seeds = [parse_address(text) for text in args.seeds.split(',') if text]
        asyncio.run(serve(args.nodes.split(','), seeds))
        return
    costs = []
    for size in map(int, args.sizes.split(',')):
        trial = Trial(size)
        try:
            trial.start()
            costs.append(trial.measure())
        finally:
            trial.stop()
    print_costs(costs)


if __name__ == '__main__':
    main()
