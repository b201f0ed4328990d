"""``make press``: overload test of a chain of three services, as processes on loopback.

The load is an open loop: requests arrive as a Poisson process, independent of the responses. For
comparison, ``--naive`` runs the same chain with records in mode observe, so that nodes forward
every call and refuse none, and with targets that retry each failed downstream call three times.
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

from dunlinsaddle.calls.messages import Body, Headers
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
SENDER_COUNT = 6  #: processes, so that the callers are not the bottleneck
START_DELAY_SECONDS = 2.0  #: time allowed for the senders to start
STATE_POLL_SECONDS = 0.5
RECOVERY_STEP_SECONDS = 0.25  #: step at which goodput is checked after the overload
RECOVERED_SHARE = 0.99  #: of the steady goodput, at which the chain has recovered
READ_PATH = '/cut-orders/orders/17'
RELEASE_PATH = '/cut-orders/orders/17/release'


class Phase(NamedTuple):
    """A load, as a multiple of capacity, and its duration."""

    load: float
    seconds: float


class Scenario(NamedTuple):
    """Targets and load of a test run; capacity is in requests per second through all hops."""

    targets: tuple[tuple[str, str], ...]  #: service and failure domain of each
    ingress_count: int  #: number of nodes, counted from the first, that get the load
    hops: int
    capacity: float
    phases: tuple[Phase, ...]
    max_resends: int  #: by the caller of a request


CHAIN = Scenario(
    targets=tuple((service, domain) for service in SERVICES for domain in DOMAINS),
    ingress_count=len(SERVICES) * len(DOMAINS),
    hops=len(SERVICES),
    capacity=len(DOMAINS) * SLOTS / SERVICE_SECONDS,
    phases=(Phase(0.8, 8), Phase(1, 8), Phase(2, 8), Phase(4, 10), Phase(0.8, 12)),
    max_resends=2,
)
#: One node gets the whole load; the other only observes whether the first appears dead.
FLOOD = Scenario(
    targets=(('cut-orders', 'bangor-hall'), ('templates', 'menai-hall')),
    ingress_count=1,
    hops=1,
    capacity=SLOTS / SERVICE_SECONDS,
    phases=(Phase(0.8, 5), Phase(10, 8), Phase(20, 8), Phase(30, 8), Phase(0.8, 8)),
    max_resends=0,
)


class RequestResult(NamedTuple):
    """A request, from its first attempt to the end of its last; times are of the loop's clock."""

    started_at: float
    ended_at: float
    critical: bool
    succeeded: bool
    outcome_unknown: bool


class UsageSnapshot(NamedTuple):
    """Calls started at all targets and CPU time used by all nodes so far."""

    started_calls: int
    cpu_seconds: float


class Attempt(NamedTuple):
    """One attempt of a request: start time on the loop's clock, duration and kind of result.

    The kind of a successful attempt is ``whole``.
    """

    started_at: float
    seconds: float
    kind: str


class LoadResult(NamedTuple):
    """Results of all requests and attempts, and how late each request was sent."""

    requests: list[RequestResult]
    attempts: list[Attempt]
    send_delays_seconds: list[float]


class SenderTask(NamedTuple):
    """The load of one sender. The loops of all processes on a machine use the same clock."""

    nodes: list[Address]
    scenario: Scenario
    start_at: float
    seed: int
    impatient: bool


class Sender:
    """Sends its share of the load, and records the results."""

    def __init__(self, task: SenderTask) -> None:
        self.task = task
        self.rng = Random(task.seed)
        self.caller = Caller()
        self.result = LoadResult([], [], [])

    async def run(self) -> LoadResult:
        """Send the load of all phases, and wait for the last responses."""
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
        request_id = str(uuid6.uuid7()).encode()
        headers = [(b'request-id', request_id)]
        if critical:
            headers.append((b'idempotency-key', request_id))
        kind, outcome_unknown = '', False
        for _ in range(self.task.scenario.max_resends + 1):
            kind, pause_seconds = await self._send_once(
                node, headers, deadline - loop.time(), critical
            )
            outcome_unknown = outcome_unknown or kind.startswith('unknown')
            if kind == 'whole' or not pause_seconds or loop.time() + pause_seconds >= deadline:
                break
            await asyncio.sleep(pause_seconds)
        self.result.requests.append(
            RequestResult(started_at, loop.time(), critical, kind == 'whole', outcome_unknown)
        )

    async def _send_once(
        self, node: Address, headers: Headers, timeout: float, critical: bool
    ) -> tuple[str, float]:
        """Send a request once; return the kind of result and the pause before the next attempt."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        method, path = ('POST', RELEASE_PATH) if critical else ('GET', READ_PATH)
        request_headers = [*headers, (b'request-timeout', f'{timeout:.3f}'.encode())]
        response = await self.caller.call(node, method, path, request_headers, timeout=timeout)
        kind, pause_seconds = 'unknown: no response', 0.0
        if response is not None:
            response_headers = dict(response.headers)
            pause_seconds = float(response_headers.get(b'retry-after', b'0'))
            kind = _classify(response.status, response_headers, response.body)
        if self.task.impatient and kind != 'whole':
            pause_seconds = IMPATIENT_PAUSE_SECONDS
        self.result.attempts.append(Attempt(started_at, loop.time() - started_at, kind))
        return kind, pause_seconds


def _classify(status: int, headers: dict[bytes, bytes], body: Body) -> str:
    if status == 200:
        return 'whole'
    outcome = headers.get(b'dunlinsaddle-outcome', b'').decode()
    problem = json.loads(bytes(body)).get('type', '') if body else ''
    return f'{outcome}: {problem.rpartition("/")[2] or f"status {status} of the target"}'


async def take_snapshot(fleet: Fleet) -> UsageSnapshot:
    """Query the calls started at all targets and the CPU time of all nodes."""
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
    """Count the states that the last node reports for the first one, until cancelled."""
    first, last = next(iter(fleet.deployments)), list(fleet.deployments.values())[-1]
    operators = last.listeners['operators']
    while True:
        await asyncio.sleep(STATE_POLL_SECONDS)
        targets = json.loads(
            await asyncio.to_thread(run_operator_command, operators, 'targets', '--json')
        )
        states.update(t['state'] for t in targets if t['instance'] == first)


def run_sender(task: SenderTask) -> LoadResult:
    """Run one sender in its own process."""
    return asyncio.run(Sender(task).run())


async def run_load(fleet: Fleet, scenario: Scenario, *, seed: int, impatient: bool) -> None:
    """Run all phases, and print the results."""
    nodes = [parse_address(p.listeners['callers']) for p in fleet.deployments.values()][
        : scenario.ingress_count
    ]
    await wait_until_served(nodes, READ_PATH)
    loop = asyncio.get_running_loop()
    boundaries = [loop.time() + START_DELAY_SECONDS]
    task = SenderTask(nodes, scenario, boundaries[0], seed, impatient)
    states: Counter[str] = Counter()
    count_task = asyncio.create_task(count_states(fleet, states))
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
    count_task.cancel()
    result = LoadResult(
        [req for share in results for req in share.requests],
        [attempt for share in results for attempt in share.attempts],
        [delay for share in results for delay in share.send_delays_seconds],
    )
    print_report(result, scenario, boundaries, snapshots)
    print_line(f'maximum delay in sending: {max(result.send_delays_seconds):.2f} s')
    print_line(f'states of the first node as seen by the last: {dict(states)}')


def print_report(
    result: LoadResult, scenario: Scenario, boundaries: list[float], snapshots: list[UsageSnapshot]
) -> None:
    """Print a row per phase, the results by kind, and the recovery time."""
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
        print_line(f'results at {phase.load:g}: {counts}')
    steady_share = success_share(
        result.requests, boundaries[0] + scenario.phases[0].seconds / 2, boundaries[1]
    )
    recovered_after = recovery_time(result.requests, boundaries[-2], boundaries[-1], steady_share)
    print_line(f'recovered to {RECOVERED_SHARE:.0%} of steady goodput after: {recovered_after}')


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
        f'{sum(req.outcome_unknown for req in requests):>8}{wasted:>8.2f}'
        f'{p50:>8.0f}{p99:>8.0f}{refused_p99:>12.0f}'
        f'{(after.cpu_seconds - before.cpu_seconds) / phase.seconds:>7.2f}'
    )


def success_share(requests: list[RequestResult], start: float, end: float) -> float:
    """Return the share of successful requests among those started in an interval."""
    successes = [req.succeeded for req in requests if start <= req.started_at < end]
    return sum(successes) / len(successes) if successes else 0.0


def recovery_time(
    requests: list[RequestResult], start: float, end: float, steady_share: float
) -> str:
    """Return the time until the first second in which the success share is steady again."""
    after = 0.0
    while start + after + 1 <= end:
        share = success_share(requests, start + after, start + after + 1)
        if share >= RECOVERED_SHARE * steady_share:
            return f'{after:g} s'
        after += RECOVERY_STEP_SECONDS
    return f'never in {end - start:g} s'


def build_record(service: str, *, naive: bool) -> dict[str, object]:
    """Return the record of one service."""
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
    """Start the targets of the scenario, and apply the records of their services."""
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
    """Start the processes, run the load, and print the results."""
    parser = argparse.ArgumentParser(description='Overloads a chain of services.')
    parser.add_argument('--naive', action='store_true', help='nodes make no decisions')
    parser.add_argument('--holds', action='store_true', help='targets hold slots while they wait')
    parser.add_argument('--impatient', action='store_true', help='callers ignore Retry-After')
    parser.add_argument(
        '--flood', action='store_true', help='one node, up to 30x the capacity of its target'
    )
    parser.add_argument('--seed', default=7, type=int)
    args = parser.parse_args()
    scenario = FLOOD if args.flood else CHAIN
    if args.holds:
        # A slot is then busy during all downstream calls too.
        scenario = scenario._replace(capacity=scenario.capacity / scenario.hops)
    with Fleet() as fleet:
        start_targets(fleet, scenario, naive=args.naive, holds_slots=args.holds)
        print_line(f'capacity {scenario.capacity:g} requests per second; {vars(args)}')
        asyncio.run(run_load(fleet, scenario, seed=args.seed, impatient=args.impatient))


if __name__ == '__main__':
    main()
