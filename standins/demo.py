"""``make demo``: a call chain of two services in three failure domains, as processes."""

import asyncio
import io
import sys
import time
from pathlib import Path

import uuid6

from dunlinsaddle.cli.core import program
from dunlinsaddle.environment import Environment
from dunlinsaddle.settings import Address, parse_address
from standins.caller import CallCounts, Caller
from standins.fleet import OPERATOR_TOKEN, Fleet, TargetSpec

RECORDS_FOLDER = Path(__file__).parent.parent / 'examples' / 'llechfaen'
SERVED_TIMEOUT_SECONDS = 10.0
LOAD_SECONDS = 3.0
RELEASE_COUNT = 20
CONCURRENCY = 10
SURGE_CONCURRENCY = 150

# A tenth of the slots at Llechfaen, so that one machine can overload the chain.
TARGETS = {
    'bangor-1': TargetSpec('cut-orders', 'bangor-hall', 14, 0.01, ('/slab-stock/slabs/1',)),
    'caernarfon-1': TargetSpec('cut-orders', 'caernarfon-hall', 14, 0.01, ('/slab-stock/slabs/1',)),
    'menai-1': TargetSpec('slab-stock', 'menai-hall', 14, 0.01),
}


def print_line(text: str) -> None:
    """Print a line and flush it."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def run_operator_command(operators: str, *argv: str) -> str:
    """Run the command-line tool in this process; return its output."""
    out = io.StringIO()
    environ = {
        'DUNLINSADDLE_NODE': operators,
        'DUNLINSADDLE_OPERATOR_TOKEN': OPERATOR_TOKEN,
        'USER': 'demo',
    }
    env = Environment(stdout=out, stderr=sys.stderr, environ=environ)
    status = program(list(argv), env)
    if status:
        raise SystemExit(status)
    return out.getvalue().rstrip()


async def wait_until_served(nodes: list[Address], path: str) -> None:
    """Wait until every node has served a path, or for the timeout."""
    caller = Caller()
    loop = asyncio.get_running_loop()
    deadline = loop.time() + SERVED_TIMEOUT_SECONDS
    for node in nodes:
        while loop.time() < deadline:
            response = await caller.call(node, 'GET', path)
            if response is not None and response.status == 200:
                break
            await asyncio.sleep(0.1)
    caller.close()


async def send_load(nodes: list[Address], path: str, concurrency: int) -> CallCounts:
    """Send concurrent reads for a few seconds, and releases of orders meanwhile."""
    caller = Caller()
    counts, released = await asyncio.gather(
        caller.send_for(nodes, 'GET', path, LOAD_SECONDS, concurrency),
        release_orders(caller, nodes),
    )
    caller.close()
    counts.statuses[f'released of {RELEASE_COUNT}'] = released
    return counts


async def release_orders(caller: Caller, nodes: list[Address]) -> int:
    """Release orders one by one, each with its own key; return how many were released."""
    released = 0
    for number in range(RELEASE_COUNT):
        headers = [(b'idempotency-key', str(uuid6.uuid7()).encode())]
        node = nodes[number % len(nodes)]
        path = f'/cut-orders/orders/{number}/release'
        response = await caller.call(node, 'POST', path, headers)
        released += response is not None and response.status == 200
        await asyncio.sleep(LOAD_SECONDS / RELEASE_COUNT / 2)
    return released


def print_counts(title: str, counts: CallCounts) -> None:
    """Print the number of calls by status and by target."""
    print_line(title)
    for status, count in sorted(counts.statuses.items()):
        print_line(f'  {status:<16}{count:>5}')
    for target, count in sorted(counts.targets.items()):
        print_line(f'  answered by {target:<14}{count:>5}')


def main() -> None:
    """Start the processes, send calls, and stop the processes."""
    started_at = time.monotonic()
    with Fleet() as fleet:
        print_line(f'platform on {fleet.platform_address}')
        for name, spec in TARGETS.items():
            placed = fleet.deploy(name, spec)
            print_line(
                f'{name}: {spec.service} in {spec.domain}, callers on {placed.listeners["callers"]}'
            )
        operators = fleet.deployments['bangor-1'].listeners['operators']
        files = [str(path) for path in sorted(RECORDS_FOLDER.glob('*.json'))]
        print_line(run_operator_command(operators, 'apply', *files, '--why', 'first records'))
        nodes = [parse_address(p.listeners['callers']) for p in fleet.deployments.values()]
        asyncio.run(wait_until_served(nodes, '/cut-orders/orders/17'))
        print_line(run_operator_command(operators, 'targets'))
        path = '/cut-orders/orders/17'
        for concurrency in (CONCURRENCY, SURGE_CONCURRENCY, CONCURRENCY):
            title = f'{concurrency} callers at once for {LOAD_SECONDS:g} s:'
            print_counts(title, asyncio.run(send_load(nodes, path, concurrency)))
    print_line(f'all stopped after {time.monotonic() - started_at:.1f} s')


if __name__ == '__main__':
    main()
