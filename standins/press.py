"""``make press``: overload of a chain of three services, as separate processes on loopback.

The demand is an open loop: requests come as a Poisson process whether or not earlier ones are
answered. The naive way is the same chain with records in mode observe, so that nodes forward
and refuse nothing, and with targets that send each failed call down three times more.
"""

import argparse
import asyncio
import json
import multiprocessing
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from itertools import pairwise
from pathlib import Path
from random import Random
from typing import NamedTuple

import msgspec
import uuid6
from hdrh.histogram import HdrHistogram

from dunlinsaddle.calls.messages import Headers
from dunlinsaddle.settings import Address, parse_address
from standins.caller import Caller
from standins.demo import operate, say, wait_until_served
from standins.fleet import Fleet, TargetSpec
from standins.latency import processor_seconds

SERVICES = ('cut-orders', 'templates', 'schedules')
DOMAINS = ('bangor-hall', 'menai-hall')
SLOTS = 8
SERVICE_TIME = 0.1
DEADLINE = 5.0
CRITICAL_SHARE = 0.03
IMPATIENT_PAUSE = 0.1
NAIVE_RETRIES = 3
SENDERS = 6  #: processes, so that the callers are not the limit
START_IN = 2.0  #: seconds until all senders have started
WATCH_EVERY = 0.5
STEP = 0.25  #: seconds between two looks at the goodput after a surge
STEADY_SHARE = 0.99
READ_PATH = '/cut-orders/orders/17'
RELEASE_PATH = '/cut-orders/orders/17/release'


class Phase(NamedTuple):
    """A demand, as a multiple of capacity, for a number of seconds."""

    load: float
    seconds: float


class Setup(NamedTuple):
    """What is started and pressed; capacity in whole requests a second."""

    targets: tuple[tuple[str, str], ...]  #: service and failure domain of each
    entries: int  #: the first so many nodes are given the demand
    hops: int
    capacity: float
    phases: tuple[Phase, ...]
    resends: int  #: of one request by its caller


CHAIN = Setup(
    targets=tuple((service, domain) for service in SERVICES for domain in DOMAINS),
    entries=len(SERVICES) * len(DOMAINS),
    hops=len(SERVICES),
    capacity=len(DOMAINS) * SLOTS / SERVICE_TIME,
    phases=(Phase(0.8, 8), Phase(1, 8), Phase(2, 8), Phase(4, 10), Phase(0.8, 12)),
    resends=2,
)
#: One node takes everything; the other one only watches whether it holds that node for dead.
FLOOD = Setup(
    targets=(('cut-orders', 'bangor-hall'), ('templates', 'menai-hall')),
    entries=1,
    hops=1,
    capacity=SLOTS / SERVICE_TIME,
    phases=(Phase(0.8, 5), Phase(10, 8), Phase(20, 8), Phase(30, 8), Phase(0.8, 8)),
    resends=0,
)


class Ended(NamedTuple):
    """One request, from its first sending to the end of its last. Times of the loop's clock."""

    began: float
    ended: float
    critical: bool
    whole: bool
    unknown: bool


class Snapshot(NamedTuple):
    """What had been spent at one moment: target calls begun, processor seconds of all nodes."""

    begun: int
    busy: float


class Answer(NamedTuple):
    """What came of one sending: when it began on the loop's clock, and how long it took."""

    began: float
    seconds: float
    kind: str


class Sent(NamedTuple):
    """What came of the demand; ``lags`` tell how late each request was sent, in seconds."""

    requests: list[Ended]
    answers: list[Answer]
    lags: list[float]


class Demand(NamedTuple):
    """What one sender is to send. All processes of a machine share the clock of the loops."""

    nodes: list[Address]
    setup: Setup
    first: float
    seed: int
    impatient: bool


class Sender:
    """Sends its share of the demand, and keeps what came of it."""

    def __init__(self, demand: Demand) -> None:
        self.demand = demand
        self.rng = Random(demand.seed)
        self.caller = Caller()
        self.sent = Sent([], [], [])

    async def run(self) -> Sent:
        """Send all phases, and wait for the last answers."""
        tasks: list[asyncio.Task[None]] = []
        start = self.demand.first
        for phase in self.demand.setup.phases:
            tasks += await self._send_phase(phase.load, start, start + phase.seconds)
            start += phase.seconds
        await asyncio.gather(*tasks)
        self.caller.close()
        return self.sent

    async def _send_phase(self, load: float, at: float, until: float) -> list[asyncio.Task[None]]:
        loop = asyncio.get_running_loop()
        tasks: list[asyncio.Task[None]] = []
        while True:
            at += self.rng.expovariate(load * self.demand.setup.capacity / SENDERS)
            await asyncio.sleep(max(min(at, until) - loop.time(), 0))
            if at >= until:
                return tasks
            self.sent.lags.append(loop.time() - at)
            critical = self.rng.random() < CRITICAL_SHARE
            node = self.rng.choice(self.demand.nodes)
            tasks.append(loop.create_task(self._request(node, critical=critical)))

    async def _request(self, node: Address, *, critical: bool) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        deadline = began + DEADLINE
        name = str(uuid6.uuid7()).encode()
        headers = [(b'request-id', name)]
        if critical:
            headers.append((b'idempotency-key', name))
        kind, unknown = '', False
        for _ in range(self.demand.setup.resends + 1):
            kind, pause = await self._send_once(node, headers, deadline - loop.time(), critical)
            unknown = unknown or kind.startswith('unknown')
            if kind == 'whole' or not pause or loop.time() + pause >= deadline:
                break
            await asyncio.sleep(pause)
        self.sent.requests.append(Ended(began, loop.time(), critical, kind == 'whole', unknown))

    async def _send_once(
        self, node: Address, headers: Headers, timeout: float, critical: bool
    ) -> tuple[str, float]:
        """Send a request once; gives what came, and the pause before the next sending."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        method, path = ('POST', RELEASE_PATH) if critical else ('GET', READ_PATH)
        named = [*headers, (b'request-timeout', f'{timeout:.3f}'.encode())]
        response = await self.caller.call(node, method, path, named, timeout=timeout)
        kind, pause = 'unknown: no answer', 0.0
        if response is not None:
            told = dict(response.headers)
            pause = float(told.get(b'retry-after', b'0'))
            kind = _kind(response.status, told, response.body)
        if self.demand.impatient and kind != 'whole':
            pause = IMPATIENT_PAUSE
        self.sent.answers.append(Answer(began, loop.time() - began, kind))
        return kind, pause


def _kind(status: int, headers: dict[bytes, bytes], body: bytes) -> str:
    if status == 200:
        return 'whole'
    outcome = headers.get(b'dunlinsaddle-outcome', b'').decode()
    problem = json.loads(body).get('type', '') if body else ''
    return f'{outcome}: {problem.rpartition("/")[2] or f"status {status} of the target"}'


async def look(fleet: Fleet) -> Snapshot:
    """Ask all targets how many calls they have begun."""
    caller = Caller()
    begun = 0
    for placed in fleet.placed.values():
        response = await caller.call(parse_address(placed.listening), 'GET', '/-/begun')
        begun += msgspec.json.decode(response.body) if response else 0
    caller.close()
    return Snapshot(begun, sum(processor_seconds(p.node.popen.pid) for p in fleet.placed.values()))


async def watch(fleet: Fleet, seen: Counter[str]) -> None:
    """Count the states in which the last node sees the first one, until cancelled."""
    first, last = next(iter(fleet.placed)), list(fleet.placed.values())[-1]
    operators = last.faces['operators']
    while True:
        await asyncio.sleep(WATCH_EVERY)
        targets = json.loads(await asyncio.to_thread(operate, operators, 'targets', '--json'))
        seen.update(t['state'] for t in targets if t['instance'] == first)


def send_share(demand: Demand) -> Sent:
    """Run one sender; the body of its process."""
    return asyncio.run(Sender(demand).run())


async def press(fleet: Fleet, setup: Setup, *, seed: int, impatient: bool) -> None:
    """Send all phases, wait for the last answers, and print what came."""
    nodes = [parse_address(p.faces['callers']) for p in fleet.placed.values()][: setup.entries]
    await wait_until_served(nodes, READ_PATH)
    loop = asyncio.get_running_loop()
    bounds = [loop.time() + START_IN]
    demand = Demand(nodes, setup, bounds[0], seed, impatient)
    seen: Counter[str] = Counter()
    watching = asyncio.create_task(watch(fleet, seen))
    with ProcessPoolExecutor(SENDERS, multiprocessing.get_context('spawn')) as pool:
        senders = [
            loop.run_in_executor(pool, send_share, demand._replace(seed=seed + number))
            for number in range(SENDERS)
        ]
        await asyncio.sleep(bounds[0] - loop.time())
        looks = [await look(fleet)]
        for phase in setup.phases:
            bounds.append(bounds[-1] + phase.seconds)
            await asyncio.sleep(bounds[-1] - loop.time())
            looks.append(await look(fleet))
        shares = await asyncio.gather(*senders)
    watching.cancel()
    sent = Sent(
        [req for share in shares for req in share.requests],
        [answer for share in shares for answer in share.answers],
        [lag for share in shares for lag in share.lags],
    )
    report(sent, setup, bounds, looks)
    say(f'the latest sending was {max(sent.lags):.2f} s behind its time')
    say(f'the first node as the last one saw it: {dict(seen)}')


def report(sent: Sent, setup: Setup, bounds: list[float], looks: list[Snapshot]) -> None:
    """Print a row a phase, the answers by kind, and the recovery."""
    say(
        f'{"load":>5}{"requests":>9}{"whole/s":>9}{"goodput":>9}{"critical":>10}{"unknown":>8}'
        f'{"wasted":>8}{"p50 ms":>8}{"p99 ms":>8}{"refused p99":>12}{"cores":>7}'
    )
    for phase, between, (before, after) in zip(
        setup.phases, pairwise(bounds), pairwise(looks), strict=True
    ):
        say(_row(sent, setup, phase, between, before, after))
    for phase, (start, end) in zip(setup.phases, pairwise(bounds), strict=True):
        kinds = Counter(kind for began, _, kind in sent.answers if start <= began < end)
        told = ', '.join(f'{count} {kind}' for kind, count in kinds.most_common())
        say(f'answers at {phase.load:g}: {told}')
    steady = whole_share(sent.requests, bounds[0] + setup.phases[0].seconds / 2, bounds[1])
    back = recovery(sent.requests, bounds[-2], bounds[-1], steady)
    say(f'back at {STEADY_SHARE:.0%} of steady goodput after: {back}')


def _row(
    sent: Sent,
    setup: Setup,
    phase: Phase,
    between: tuple[float, float],
    before: Snapshot,
    after: Snapshot,
) -> str:
    start, end = between
    came = [req for req in sent.requests if start <= req.began < end]
    critical = [req for req in came if req.critical]
    whole = sum(req.whole for req in sent.requests if start <= req.ended < end)
    begun = after.begun - before.begun
    wasted = 1 - min(whole * setup.hops / begun, 1.0) if begun else 0.0
    good, refused = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
    for began, seconds, kind in sent.answers:
        if start <= began < end:
            (good if kind == 'whole' else refused).record_value(int(seconds * 1e6))
    p50, p99, shed = (
        histogram.get_value_at_percentile(q) / 1e3
        for histogram, q in ((good, 50), (good, 99), (refused, 99))
    )
    critical_text = f'{sum(req.whole for req in critical)}/{len(critical)}'
    return (
        f'{phase.load:>5g}{len(came):>9}{whole / phase.seconds:>9.1f}'
        f'{whole / phase.seconds / setup.capacity:>9.2f}{critical_text:>10}'
        f'{sum(req.unknown for req in came):>8}{wasted:>8.2f}{p50:>8.0f}{p99:>8.0f}{shed:>12.0f}'
        f'{(after.busy - before.busy) / phase.seconds:>7.2f}'
    )


def whole_share(requests: list[Ended], start: float, end: float) -> float:
    """Give the share of the requests that began in a time which were answered whole."""
    came = [req.whole for req in requests if start <= req.began < end]
    return sum(came) / len(came) if came else 0.0


def recovery(requests: list[Ended], start: float, end: float, steady: float) -> str:
    """Give the time until the first second in which the steady share comes whole again."""
    after = 0.0
    while start + after + 1 <= end:
        share = whole_share(requests, start + after, start + after + 1)
        if share >= STEADY_SHARE * steady:
            return f'{after:g} s'
        after += STEP
    return f'never in {end - start:g} s'


def record_of(service: str, *, naive: bool) -> dict[str, object]:
    """Give the record of one service."""
    release = {'name': 'release', 'method': 'POST', 'path': '/orders/*/release'}
    return {
        'schema': 2,
        'service': service,
        'mode': 'observe' if naive else 'enforce',
        'requests': [
            {**release, 'rank': 'critical', 'idempotent': False},
            {'name': 'read', 'method': 'GET', 'path': '/orders/**', 'rank': 'normal'},
        ],
        'deadline': DEADLINE,
        'retry_bound': 3,
        'recovery_bias': 0.8,
    }


def place(fleet: Fleet, setup: Setup, *, naive: bool, holds: bool) -> None:
    """Start two targets of each service, and apply the records."""
    retries = NAIVE_RETRIES if naive else 0
    options = ('--retries', str(retries), *(() if holds else ('--frees-slots',)))
    below = dict(pairwise(SERVICES)) if setup.hops > 1 else {}
    for service, domain in setup.targets:
        calls = (f'/{below[service]}/orders/17',) if service in below else ()
        spec = TargetSpec(service, domain, SLOTS, SERVICE_TIME, calls, options)
        fleet.place(f'{service}-{domain}', spec)
    operators = next(iter(fleet.placed.values())).faces['operators']
    with tempfile.TemporaryDirectory() as folder:
        for service in SERVICES:
            path = Path(folder) / f'{service}.json'
            path.write_bytes(msgspec.json.encode(record_of(service, naive=naive)))
            operate(operators, 'apply', str(path))


def main() -> None:
    """Start the processes, press, print, stop."""
    parser = argparse.ArgumentParser(description='Presses a chain of services past capacity.')
    parser.add_argument('--naive', action='store_true', help='nodes decide nothing')
    parser.add_argument('--holds', action='store_true', help='targets hold slots while they wait')
    parser.add_argument('--impatient', action='store_true', help='callers heed no Retry-After')
    parser.add_argument('--flood', action='store_true', help='one node, up to 30x its target')
    parser.add_argument('--seed', default=7, type=int)
    args = parser.parse_args()
    setup = FLOOD if args.flood else CHAIN
    if args.holds:
        # A slot is then busy for the whole of the chain below it.
        setup = setup._replace(capacity=setup.capacity / setup.hops)
    with Fleet() as fleet:
        place(fleet, setup, naive=args.naive, holds=args.holds)
        say(f'capacity {setup.capacity:g} whole requests a second; {vars(args)}')
        asyncio.run(press(fleet, setup, seed=args.seed, impatient=args.impatient))


if __name__ == '__main__':
    main()
