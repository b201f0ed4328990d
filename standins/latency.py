"""``make latency``: what one node and two nodes add to a call, against the target itself.

Everything runs as separate processes on loopback. The three ways are measured in turn, in
short rounds within one run, so that a busy moment of the machine falls on all of them.
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
from standins.demo import operate, say, wait_until_served
from standins.fleet import Fleet, Placed, TargetSpec

PATH = '/templates/oak/1'
MOST_MICROSECONDS = 10_000_000
DIGITS = 3
WARM_UP = 300
RECORD = {'schema': 2, 'service': 'templates', 'requests': []}
RNG = Random(7)
TICKS = os.sysconf('SC_CLK_TCK')


class Way(NamedTuple):
    """One way to the target: where calls are sent, and the nodes that they pass.

    A ``keyed`` way sends calls that must run at most once, each with a key of its own.
    """

    name: str
    address: Address
    path: str
    nodes: tuple[Placed, ...]
    keyed: bool = False


class Measured:
    """What one way took. ``busy`` is the processor time of the nodes that are passed."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, MOST_MICROSECONDS, DIGITS)
        self.busy = 0.0
        self.calls = 0
        self.refused = 0


def processor_seconds(pid: int) -> float:
    """Give the processor time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_megabytes(pid: int) -> float:
    """Give the memory that a process holds."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 1e6


def used(way: Way) -> float:
    """Give the processor time that all nodes of a way have used."""
    return sum(processor_seconds(placed.node.popen.pid) for placed in way.nodes)


def new_key() -> str:
    """Make a key as a caller does."""
    return generate_key(int(time.time() * 1000), RNG, 'templates').text


async def send_paced(caller: Caller, way: Way, rate: float, count: int, into: Measured) -> None:
    """Send calls at a steady rate, whether or not earlier ones are answered."""
    loop = asyncio.get_running_loop()
    first = loop.time()

    async def one() -> None:
        headers = [(b'idempotency-key', new_key().encode())] if way.keyed else []
        began = time.perf_counter()
        method = 'POST' if way.keyed else 'GET'
        response = await caller.call(way.address, method, way.path, headers)
        into.calls += 1
        if response is None or response.status != 200:
            into.refused += 1
            return
        into.histogram.record_value(int((time.perf_counter() - began) * 1e6))

    tasks = []
    for number in range(count):
        at = first + number / rate
        await asyncio.sleep(max(at - loop.time(), 0))
        tasks.append(loop.create_task(one()))
    await asyncio.gather(*tasks)


async def measure(ways: list[Way], rate: float, rounds: int, count: int) -> dict[str, Measured]:
    """Measure all ways in turn, ``rounds`` times ``count`` calls each."""
    caller = Caller()
    results = {way.name: Measured() for way in ways}
    for way in ways:
        await send_paced(caller, way, rate, WARM_UP, Measured())
    for _ in range(rounds):
        for way in ways:
            result = results[way.name]
            before = used(way)
            await send_paced(caller, way, rate, count, result)
            result.busy += used(way) - before
    caller.close()
    return results


def report(results: dict[str, Measured]) -> None:
    """Print one row a way, then what the nodes add."""
    say(
        f'{"way":<12}{"calls":>7}{"refused":>9}{"p50 us":>8}{"p99 us":>8}'
        f'{"core us/call":>14}{"calls/s/core":>14}'
    )
    for name, result in results.items():
        each = result.busy / result.calls
        rate = f'{1 / each:.0f}' if each else '-'
        p50, p99 = (result.histogram.get_value_at_percentile(q) for q in (50, 99))
        say(
            f'{name:<12}{result.calls:>7}{result.refused:>9}{p50:>8}{p99:>8}'
            f'{each * 1e6:>14.0f}{rate:>14}'
        )
    direct = results['direct'].histogram
    for name in ('one node', 'two nodes', 'two, keyed'):
        through = results[name].histogram
        added = [
            through.get_value_at_percentile(q) - direct.get_value_at_percentile(q) for q in (50, 99)
        ]
        say(f'{name} added: p50 {added[0]} us, p99 {added[1]} us')


def main() -> None:
    """Start the processes, measure, print, stop."""
    parser = argparse.ArgumentParser(description='Measures the latency that nodes add.')
    parser.add_argument('--rate', default=300.0, type=float, help='calls a second')
    parser.add_argument('--rounds', default=10, type=int)
    parser.add_argument('--count', default=300, type=int, help='calls of a way in a round')
    parser.add_argument('--profile', default='', help='folder for a cProfile file of each node')
    args = parser.parse_args()
    with Fleet(args.profile) as fleet, tempfile.TemporaryDirectory() as folder:
        target = fleet.place('bangor-1', TargetSpec('templates', 'bangor-hall', 140, 0.0))
        # A node with a target of another service: its calls all go to the one above.
        entry = fleet.place('menai-1', TargetSpec('slab-stock', 'menai-hall', 140, 0.0))
        record = Path(folder) / 'templates.json'
        record.write_bytes(msgspec.json.encode(RECORD))
        operate(entry.faces['operators'], 'apply', str(record))
        nodes = {p.name: parse_address(p.faces['callers']) for p in (target, entry)}
        asyncio.run(wait_until_served(list(nodes.values()), PATH))
        ways = [
            Way('direct', parse_address(target.listening), '/oak/1', ()),
            Way('one node', nodes['bangor-1'], PATH, (target,)),
            Way('two nodes', nodes['menai-1'], PATH, (entry, target)),
            Way('two, keyed', nodes['menai-1'], PATH, (entry, target), keyed=True),
        ]
        say(f'{args.rate:g} calls a second, {args.rounds} rounds in turn')
        began = os.getloadavg()[0]
        report(asyncio.run(measure(ways, args.rate, args.rounds, args.count)))
        for name, placed in (('beside', target), ('entry', entry)):
            say(f'node {name}: {resident_megabytes(placed.node.popen.pid):.1f} MB resident')
        say(f'load of the machine: {began:.1f} before, {os.getloadavg()[0]:.1f} after')


if __name__ == '__main__':
    main()
