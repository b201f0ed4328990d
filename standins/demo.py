"""``make demo``: a two-hop chain in three failure domains, as separate processes."""

import asyncio
import io
import sys
import time
from pathlib import Path

import uuid6

from dunlinsaddle.cli.core import program
from dunlinsaddle.environment import Environment
from dunlinsaddle.settings import Address, parse_address
from standins.caller import Caller, Tally
from standins.fleet import OPERATOR_TOKEN, Fleet, TargetSpec

RECORDS = Path(__file__).parent.parent / 'examples' / 'llechfaen'
SETTLE_SECONDS = 10.0
PRESS_SECONDS = 3.0
RELEASES = 20
AT_ONCE = 10
SURGE_AT_ONCE = 150

# Slots are a tenth of Llechfaen's, so that one machine can push the chain past capacity.
TARGETS = {
    'bangor-1': TargetSpec('cut-orders', 'bangor-hall', 14, 0.01, ('/slab-stock/slabs/1',)),
    'caernarfon-1': TargetSpec('cut-orders', 'caernarfon-hall', 14, 0.01, ('/slab-stock/slabs/1',)),
    'menai-1': TargetSpec('slab-stock', 'menai-hall', 14, 0.01),
}


def say(text: str) -> None:
    """Tell the person who runs the demo."""
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def operate(operators: str, *argv: str) -> str:
    """Run the command-line tool in this process; gives what it wrote."""
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
    """Wait until every node answers calls for a path."""
    caller = Caller()
    loop = asyncio.get_running_loop()
    deadline = loop.time() + SETTLE_SECONDS
    for node in nodes:
        while loop.time() < deadline:
            response = await caller.call(node, 'GET', path)
            if response is not None and response.status == 200:
                break
            await asyncio.sleep(0.1)
    caller.close()


async def surge(nodes: list[Address], path: str, at_once: int) -> Tally:
    """Send calls for a few seconds, so many at once, and releases of orders among them."""
    caller = Caller()
    tally, released = await asyncio.gather(
        caller.press(nodes, 'GET', path, PRESS_SECONDS, at_once), release_orders(caller, nodes)
    )
    caller.close()
    tally.statuses[f'released of {RELEASES}'] = released
    return tally


async def release_orders(caller: Caller, nodes: list[Address]) -> int:
    """Release orders one after the other, each with a key of its own; gives how many were."""
    released = 0
    for number in range(RELEASES):
        headers = [(b'idempotency-key', str(uuid6.uuid7()).encode())]
        node = nodes[number % len(nodes)]
        path = f'/cut-orders/orders/{number}/release'
        response = await caller.call(node, 'POST', path, headers)
        released += response is not None and response.status == 200
        await asyncio.sleep(PRESS_SECONDS / RELEASES / 2)
    return released


def report(title: str, tally: Tally) -> None:
    """Print who answered, and what was refused."""
    say(title)
    for status, count in sorted(tally.statuses.items()):
        say(f'  {status:<16}{count:>5}')
    for target, count in sorted(tally.targets.items()):
        say(f'  answered by {target:<14}{count:>5}')


def main() -> None:
    """Start everything, send calls, stop everything."""
    began = time.monotonic()
    with Fleet() as fleet:
        say(f'platform on {fleet.platform}')
        for name, spec in TARGETS.items():
            placed = fleet.place(name, spec)
            say(f'{name}: {spec.service} in {spec.domain}, callers on {placed.faces["callers"]}')
        operators = fleet.placed['bangor-1'].faces['operators']
        files = [str(path) for path in sorted(RECORDS.glob('*.json'))]
        say(operate(operators, 'apply', *files, '--why', 'first records'))
        nodes = [parse_address(p.faces['callers']) for p in fleet.placed.values()]
        asyncio.run(wait_until_served(nodes, '/cut-orders/orders/17'))
        say(operate(operators, 'targets'))
        path = '/cut-orders/orders/17'
        for at_once in (AT_ONCE, SURGE_AT_ONCE, AT_ONCE):
            title = f'{at_once} callers at once for {PRESS_SECONDS:g} s:'
            report(title, asyncio.run(surge(nodes, path, at_once)))
    say(f'all stopped after {time.monotonic() - began:.1f} s')


if __name__ == '__main__':
    main()
