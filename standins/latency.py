"""``make latency``: latency that one node and two nodes add to a direct call of the target.

Everything runs as separate processes on loopback. The paths are measured in turn, in short
rounds within one run, so that other load on the machine affects all of them.
"""

import argparse
import asyncio
import os
import tempfile
import time
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from dunlinsaddle.policy.keys import generate_key
from dunlinsaddle.settings import Address, parse_address
from standins.caller import Caller
from standins.demo import print_line, run_operator_command, wait_until_served
from standins.fleet import Deployment, Fleet, TargetSpec

PATH = '/templates/oak/1'
MAX_MICROSECONDS = 10_000_000
SIGNIFICANT_DIGITS = 3
WARM_UP_CALLS = 300
RECORD = {'schema': 2, 'service': 'templates', 'requests': []}
RNG = Random(7)
CLOCK_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


class CallPath(NamedTuple):
    """A path to the target: where calls are sent, and the nodes that forward them.

    With ``has_key``, calls must run at most once, and each has its own idempotency key.
    """

    name: str
    address: Address
    path: str
    nodes: tuple[Deployment, ...]
    has_key: bool = False


class PathStats:
    """Latencies of a path, and the CPU time of the nodes on it."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
        self.cpu_seconds = 0.0
        self.call_count = 0
        self.refused_count = 0


def process_cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def resident_megabytes(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1e6


def nodes_cpu_seconds(call_path: CallPath) -> float:
    """Return the CPU time that all nodes on a path have used."""
    return sum(process_cpu_seconds(deployment.node.popen.pid) for deployment in call_path.nodes)


def new_key() -> str:
    """Generate an idempotency key, as a caller does."""
    return generate_key(int(time.time() * 1000), RNG, 'templates').text


async def send_at_rate(
    caller: Caller, call_path: CallPath, rate: float, count: int, stats: PathStats
) -> None:
    """Send calls at a constant rate, without waiting for earlier responses."""
    loop = asyncio.get_running_loop()
    first_at = loop.time()

    async def send_one() -> None:
        headers = [(b'idempotency-key', new_key().encode())] if call_path.has_key else []
        started_at = time.perf_counter()
        method = 'POST' if call_path.has_key else 'GET'
        response = await caller.call(call_path.address, method, call_path.path, headers)
        stats.call_count += 1
        if response is None or response.status != 200:
            stats.refused_count += 1
            return
        stats.histogram.record_value(int((time.perf_counter() - started_at) * 1e6))

    tasks = []
    for number in range(count):
        send_at = first_at + number / rate
        await asyncio.sleep(max(send_at - loop.time(), 0))
        tasks.append(loop.create_task(send_one()))
    await asyncio.gather(*tasks)


async def measure(
    paths: list[CallPath], rate: float, rounds: int, count: int
) -> dict[str, PathStats]:
    """Measure all paths in turn, in ``rounds`` rounds of ``count`` calls each."""
    caller = Caller()
    results = {call_path.name: PathStats() for call_path in paths}
    for call_path in paths:
        await send_at_rate(caller, call_path, rate, WARM_UP_CALLS, PathStats())
    for _ in range(rounds):
        for call_path in paths:
            result = results[call_path.name]
            before = nodes_cpu_seconds(call_path)
            await send_at_rate(caller, call_path, rate, count, result)
            result.cpu_seconds += nodes_cpu_seconds(call_path) - before
    caller.close()
    return results


def print_report(results: dict[str, PathStats]) -> None:
    """Print a row per path, then the latency that the nodes add."""
    print_line(
        f'{"way":<12}{"calls":>7}{"refused":>9}{"p50 us":>8}{"p99 us":>8}'
        f'{"core us/call":>14}{"calls/s/core":>14}'
    )
    for name, result in results.items():
        cpu_per_call = result.cpu_seconds / result.call_count
        rate = f'{1 / cpu_per_call:.0f}' if cpu_per_call else '-'
        p50, p99 = (result.histogram.get_value_at_percentile(q) for q in (50, 99))
        print_line(
            f'{name:<12}{result.call_count:>7}{result.refused_count:>9}{p50:>8}{p99:>8}'
            f'{cpu_per_call * 1e6:>14.0f}{rate:>14}'
        )
    direct = results['direct'].histogram
    for name in ('one node', 'two nodes', 'two, keyed'):
        path_histogram = results[name].histogram
        added = [
            path_histogram.get_value_at_percentile(q) - direct.get_value_at_percentile(q)
            for q in (50, 99)
        ]
        print_line(f'{name} added: p50 {added[0]} us, p99 {added[1]} us')


def main() -> None:
    """Start the processes, measure, and print the results."""
    parser = argparse.ArgumentParser(description='Measures the latency that nodes add.')
    parser.add_argument('--rate', default=300.0, type=float, help='calls per second')
    parser.add_argument('--rounds', default=10, type=int)
    parser.add_argument('--count', default=300, type=int, help='calls of a path per round')
    parser.add_argument('--profile', default='', help='folder for the cProfile output of each node')
    parser.add_argument('--unnamed', action='store_true', help='responses name no call')
    args = parser.parse_args()
    with Fleet(args.profile) as fleet, tempfile.TemporaryDirectory() as folder:
        spec = TargetSpec('templates', 'bangor-hall', 140, 0.0)
        if args.unnamed:
            spec = spec._replace(extra_args=('--unnamed',))
        target = fleet.deploy('bangor-1', spec)
        # The target of this node runs another service, so it forwards all calls to the first node.
        ingress = fleet.deploy('menai-1', TargetSpec('slab-stock', 'menai-hall', 140, 0.0))
        record = Path(folder) / 'templates.json'
        record.write_bytes(msgspec.json.encode(RECORD))
        run_operator_command(ingress.listeners['operators'], 'apply', str(record))
        nodes = {p.name: parse_address(p.listeners['callers']) for p in (target, ingress)}
        asyncio.run(wait_until_served(list(nodes.values()), PATH))
        paths = [
            CallPath('direct', parse_address(target.target_address), '/oak/1', ()),
            CallPath('one node', nodes['bangor-1'], PATH, (target,)),
            CallPath('two nodes', nodes['menai-1'], PATH, (ingress, target)),
            CallPath('two, keyed', nodes['menai-1'], PATH, (ingress, target), has_key=True),
        ]
        print_line(f'{args.rate:g} calls per second, {args.rounds} rounds')
        load_before = os.getloadavg()[0]
        print_report(asyncio.run(measure(paths, args.rate, args.rounds, args.count)))
        for name, deployment in (('beside', target), ('entry', ingress)):
            print_line(
                f'node {name}: {resident_megabytes(deployment.node.popen.pid):.1f} MB resident'
            )
        print_line(f'load average: {load_before:.1f} before, {os.getloadavg()[0]:.1f} after')


if __name__ == '__main__':
    main()
