"""``make run_load``: overload of a chain of three services, as separate processes on loopback.

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
from standins.demo import print_line, run_operator_command, wait_until_served
from standins.fleet import Fleet, TargetSpec
from standins.latency import process_cpu_seconds

SERVICES = ('cut-orders', 'templates', 'schedules')
DOMAINS = ('bangor-hall', 'menai-hall')
SLOTS = 8
SERVICE_SECONDS = 0.1
DEADLINE_SECONDS = 5.0
CRITICAL_SHARE = 0.03
IMPATIENT_PAUSE_SECONDS = 0.1
NAIVE_RETRIES = 3
SENDER_COUNT = 6  #: processes, so that the callers are not the limit
START_DELAY_SECONDS = 2.0  #: seconds until all senders have started
WATCH_SECONDS = 0.5
RECOVERY_STEP_SECONDS = 0.25  #: seconds between two looks at the goodput after a surge
RECOVERED_SHARE = 0.99
READ_PATH = '/cut-orders/orders/17'
RELEASE_PATH = '/cut-orders/orders/17/release'


class Phase(NamedTuple):
    """A demand, as a multiple of capacity, for a number of seconds."""

    load: float
    seconds: float


class Scenario(NamedTuple):
    """What is started and pressed; capacity in whole requests a second."""

    targets: tuple[tuple[str, str], ...]  #: service and failure domain of each
    ingress_count: int  #: the first so many nodes are given the demand
    hops: int
    capacity: float
    phases: tuple[Phase, ...]
    max_resends: int  #: of one request by its caller


CHAIN = Scenario(
    targets=tuple((service, domain) for service in SERVICES for domain in DOMAINS),
    ingress_count=len(SERVICES) * len(DOMAINS),
    hops=len(SERVICES),
    capacity=len(DOMAINS) * SLOTS / SERVICE_SECONDS,
    phases=(Phase(0.8, 8), Phase(1, 8), Phase(2, 8), Phase(4, 10), Phase(0.8, 12)),
    max_resends=2,
)
#: One node takes everything; the other one only watches whether it holds that node for dead.
FLOOD = Scenario(
    targets=(('cut-orders', 'bangor-hall'), ('templates', 'menai-hall')),
    ingress_count=1,
    hops=1,
    capacity=SLOTS / SERVICE_SECONDS,
    phases=(Phase(0.8, 5), Phase(10, 8), Phase(20, 8), Phase(30, 8), Phase(0.8, 8)),
    max_resends=0,
)


class RequestResult(NamedTuple):
    """One request, from its first sending to the end of its last. Times of the loop's clock."""

    started_at: float
    ended_at: float
    critical: bool
    succeeded: bool
    is_unknown: bool


class UsageSnapshot(NamedTuple):
    """What had been spent at one moment: target calls begun, processor seconds of all nodes."""

    started_calls: int
    cpu_seconds: float


class Attempt(NamedTuple):
    """What came of one sending: when it began on the loop's clock, and how long it took."""

    started_at: float
    seconds: float
    kind: str


class LoadResult(NamedTuple):
    """Requests and attempts of a load run, and how late each request was sent."""

    requests: list[RequestResult]
    attempts: list[Attempt]
    send_delays_seconds: list[float]


class SenderTask(NamedTuple):
    """What one sender is to send. All processes of a machine share the clock of the loops."""

    nodes: list[Address]
    scenario: Scenario
    start_at: float
    seed: int
    impatient: bool


class Sender:
    """Sends its share of the demand, and keeps what came of it."""

    def __init__(self, task: SenderTask) -> None:
        self.task = task
        self.rng = Random(task.seed)
        self.caller = Caller()
        self.result = LoadResult([], [], [])

    async def run(self) -> LoadResult:
        """Send all phases, and wait for the last answers."""
        tasks: list[asyncio.Task[None]] = []
        start = self.task.start_at
        for phase in self.task.scenario.phases:
            tasks += await self._send_phase(phase.load, start, start + phase.seconds)
            start += phase.seconds
        await asyncio.gather(*tasks)
        self.caller.close()
        return self.result

    async def _send_phase(self, load: float, at: float, until: float) -> list[asyncio.Task[None]]:
        loop = asyncio.get_running_loop()
        tasks: list[asyncio.Task[None]] = []
        while True:
            at += self.rng.expovariate(load * self.task.scenario.capacity / SENDER_COUNT)
            await asyncio.sleep(max(min(at, until) - loop.time(), 0))
            if at >= until:
                return tasks
            self.result.send_delays_seconds.append(loop.time() - at)
            critical = self.rng.random() < CRITICAL_SHARE
            node = self.rng.choice(self.task.nodes)
            tasks.append(loop.create_task(self._request(node, critical=critical)))

    async def _request(self, node: Address, *, critical: bool) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + DEADLINE_SECONDS
        name = str(uuid6.uuid7()).encode()
        headers = [(b'request-id', name)]
        if critical:
            headers.append((b'idempotency-key', name))
        kind, is_unknown = '', False
        for _ in range(self.task.scenario.max_resends + 1):
            kind, pause = await self._send_once(node, headers, deadline - loop.time(), critical)
            is_unknown = is_unknown or kind.startswith('unknown')
            if kind == 'whole' or not pause or loop.time() + pause >= deadline:
                break
            await asyncio.sleep(pause)
        self.result.requests.append(
            RequestResult(started_at, loop.time(), critical, kind == 'whole', is_unknown)
        )

    async def _send_once(
        self, node: Address, headers: Headers, timeout: float, critical: bool
    ) -> tuple[str, float]:
        """Send a request once; gives what came, and the pause before the next sending."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        method, path = ('POST', RELEASE_PATH) if critical else ('GET', READ_PATH)
        request_headers = [*headers, (b'request-timeout', f'{timeout:.3f}'.encode())]
        response = await self.caller.call(node, method, path, request_headers, timeout=timeout)
        kind, pause = 'unknown: no answer', 0.0
        if response is not None:
            response_headers = dict(response.headers)
            pause = float(response_headers.get(b'retry-after', b'0'))
            kind = _classify(response.status, response_headers, response.body)
        if self.task.impatient and kind != 'whole':
            pause = IMPATIENT_PAUSE_SECONDS
        self.result.attempts.append(Attempt(started_at, loop.time() - started_at, kind))
        return kind, pause


def _classify(status: int, headers: dict[bytes, bytes], body: bytes) -> str:
    if status == 200:
        return 'whole'
    outcome = headers.get(b'dunlinsaddle-outcome', b'').decode()
    problem = json.loads(body).get('type', '') if body else ''
    return f'{outcome}: {problem.rpartition("/")[2] or f"status {status} of the target"}'


async def take_snapshot(fleet: Fleet) -> UsageSnapshot:
    """Ask all targets how many calls they have begun."""
    caller = Caller()
    started_calls = 0
    for deployment in fleet.deployments.values():
        response = await caller.call(parse_address(deployment.target_address), 'GET', '/-/begun')
        started_calls += msgspec.json.decode(response.body) if response else 0
    caller.close()
    return UsageSnapshot(
        started_calls,
        sum(process_cpu_seconds(p.node.popen.pid) for p in fleet.deployments.values()),
    )


async def count_states(fleet: Fleet, states: Counter[str]) -> None:
    """Count the states in which the last node sees the first one, until cancelled."""
    first, last = next(iter(fleet.deployments)), list(fleet.deployments.values())[-1]
    operators = last.listeners['operators']
    while True:
        await asyncio.sleep(WATCH_SECONDS)
        targets = json.loads(
            await asyncio.to_thread(run_operator_command, operators, 'targets', '--json')
        )
        states.update(t['state'] for t in targets if t['instance'] == first)


def run_sender(task: SenderTask) -> LoadResult:
    """Run one sender; the body of its process."""
    return asyncio.run(Sender(task).run())


async def run_load(fleet: Fleet, scenario: Scenario, *, seed: int, impatient: bool) -> None:
    """Send all phases, wait for the last answers, and print what came."""
    nodes = [parse_address(p.listeners['callers']) for p in fleet.deployments.values()][
        : scenario.ingress_count
    ]
    await wait_until_served(nodes, READ_PATH)
    loop = asyncio.get_running_loop()
    boundaries = [loop.time() + START_DELAY_SECONDS]
    task = SenderTask(nodes, scenario, boundaries[0], seed, impatient)
    states: Counter[str] = Counter()
    watching = asyncio.create_task(count_states(fleet, states))
    with ProcessPoolExecutor(SENDER_COUNT, multiprocessing.get_context('spawn')) as pool:
        senders = [
            loop.run_in_executor(pool, run_sender, task._replace(seed=seed + number))
            for number in range(SENDER_COUNT)
        ]
        await asyncio.sleep(boundaries[0] - loop.time())
        snapshots = [await take_snapshot(fleet)]
        for phase in scenario.phases:
            boundaries.append(boundaries[-1] + phase.seconds)
            await asyncio.sleep(boundaries[-1] - loop.time())
            snapshots.append(await take_snapshot(fleet))
        results = await asyncio.gather(*senders)
    watching.cancel()
    result = LoadResult(
        [req for share in results for req in share.requests],
        [attempt for share in results for attempt in share.attempts],
        [delay for share in results for delay in share.send_delays_seconds],
    )
    print_report(result, scenario, boundaries, snapshots)
    print_line(f'the latest sending was {max(result.send_delays_seconds):.2f} s behind its time')
    print_line(f'the first node as the last one saw it: {dict(states)}')


def print_report(
    result: LoadResult, scenario: Scenario, boundaries: list[float], snapshots: list[UsageSnapshot]
) -> None:
    """Print a row a phase, the answers by kind, and the recovery."""
    print_line(
        f'{"load":>5}{"requests":>9}{"whole/s":>9}{"goodput":>9}{"critical":>10}{"unknown":>8}'
        f'{"wasted":>8}{"p50 ms":>8}{"p99 ms":>8}{"refused p99":>12}{"cores":>7}'
    )
    for phase, interval, (before, after) in zip(
        scenario.phases, pairwise(boundaries), pairwise(snapshots), strict=True
    ):
        print_line(_row(result, scenario, phase, interval, before, after))
    for phase, (start, end) in zip(scenario.phases, pairwise(boundaries), strict=True):
        kinds = Counter(
            kind for started_at, _, kind in result.attempts if start <= started_at < end
        )
        counts = ', '.join(f'{count} {kind}' for kind, count in kinds.most_common())
        print_line(f'answers at {phase.load:g}: {counts}')
    steady_share = success_share(
        result.requests, boundaries[0] + scenario.phases[0].seconds / 2, boundaries[1]
    )
    recovered_after = recovery_time(result.requests, boundaries[-2], boundaries[-1], steady_share)
    print_line(f'back at {RECOVERED_SHARE:.0%} of steady goodput after: {recovered_after}')


def _row(
    result: LoadResult,
    scenario: Scenario,
    phase: Phase,
    interval: tuple[float, float],
    before: UsageSnapshot,
    after: UsageSnapshot,
) -> str:
    start, end = interval
    requests = [req for req in result.requests if start <= req.started_at < end]
    critical = [req for req in requests if req.critical]
    succeeded = sum(req.succeeded for req in result.requests if start <= req.ended_at < end)
    started_calls = after.started_calls - before.started_calls
    wasted = 1 - min(succeeded * scenario.hops / started_calls, 1.0) if started_calls else 0.0
    successes, refused = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3)
    for started_at, seconds, kind in result.attempts:
        if start <= started_at < end:
            (successes if kind == 'whole' else refused).record_value(int(seconds * 1e6))
    p50, p99, refused_p99 = (
        histogram.get_value_at_percentile(q) / 1e3
        for histogram, q in ((successes, 50), (successes, 99), (refused, 99))
    )
    critical_text = f'{sum(req.succeeded for req in critical)}/{len(critical)}'
    return (
        f'{phase.load:>5g}{len(requests):>9}{succeeded / phase.seconds:>9.1f}'
        f'{succeeded / phase.seconds / scenario.capacity:>9.2f}{critical_text:>10}'
        f'{sum(req.is_unknown for req in requests):>8}{wasted:>8.2f}'
        f'{p50:>8.0f}{p99:>8.0f}{refused_p99:>12.0f}'
        f'{(after.cpu_seconds - before.cpu_seconds) / phase.seconds:>7.2f}'
    )


def success_share(requests: list[RequestResult], start: float, end: float) -> float:
    """Give the share of the requests that began in a time which were answered whole."""
    successes = [req.succeeded for req in requests if start <= req.started_at < end]
    return sum(successes) / len(successes) if successes else 0.0


def recovery_time(
    requests: list[RequestResult], start: float, end: float, steady_share: float
) -> str:
    """Give the time until the first second in which the steady share comes whole again."""
    after = 0.0
    while start + after + 1 <= end:
        share = success_share(requests, start + after, start + after + 1)
        if share >= RECOVERED_SHARE * steady_share:
            return f'{after:g} s'
        after += RECOVERY_STEP_SECONDS
    return f'never in {end - start:g} s'


def build_record(service: str, *, naive: bool) -> dict[str, object]:
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
        'deadline': DEADLINE_SECONDS,
        'retry_bound': 3,
        'recovery_bias': 0.8,
    }


def start_targets(fleet: Fleet, scenario: Scenario, *, naive: bool, holds_slots: bool) -> None:
    """Start two targets of each service, and apply the records."""
    retries = NAIVE_RETRIES if naive else 0
    extra_args = ('--retries', str(retries), *(() if holds_slots else ('--frees-slots',)))
    downstream = dict(pairwise(SERVICES)) if scenario.hops > 1 else {}
    for service, domain in scenario.targets:
        downstream_paths = (f'/{downstream[service]}/orders/17',) if service in downstream else ()
        spec = TargetSpec(service, domain, SLOTS, SERVICE_SECONDS, downstream_paths, extra_args)
        fleet.deploy(f'{service}-{domain}', spec)
    operators = next(iter(fleet.deployments.values())).listeners['operators']
    with tempfile.TemporaryDirectory() as folder:
        for service in SERVICES:
            path = Path(folder) / f'{service}.json'
            path.write_bytes(msgspec.json.encode(build_record(service, naive=naive)))
            run_operator_command(operators, 'apply', str(path))


def main() -> None:
    """Start the processes, press, print, stop."""
    parser = argparse.ArgumentParser(description='Presses a chain of services past capacity.')
    parser.add_argument('--naive', action='store_true', help='nodes decide nothing')
    parser.add_argument('--holds', action='store_true', help='targets hold slots while they wait')
    parser.add_argument('--impatient', action='store_true', help='callers heed no Retry-After')
    parser.add_argument('--flood', action='store_true', help='one node, up to 30x its target')
    parser.add_argument('--seed', default=7, type=int)
    args = parser.parse_args()
    scenario = FLOOD if args.flood else CHAIN
    if args.holds:
        # A slot is then busy for the whole of the chain below it.
        scenario = scenario._replace(capacity=scenario.capacity / scenario.hops)
    with Fleet() as fleet:
        start_targets(fleet, scenario, naive=args.naive, holds_slots=args.holds)
        print_line(f'capacity {scenario.capacity:g} whole requests a second; {vars(args)}')
        asyncio.run(run_load(fleet, scenario, seed=args.seed, impatient=args.impatient))


if __name__ == '__main__':
    main()
