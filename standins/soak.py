"""A randomized soak of the platform's nodes: real processes, harmed from outside.

    python -m standins.soak --seeds 1-50 --seconds 8

Each run draws its faults from its seed: signals to nodes and targets, harmed connections to
targets and to the store, faults of the store, changes of the configuration; in series and
overlapping. Callers keep their connections. What is checked stands in ``find_violations``.
"""

import argparse
import asyncio
import json
import queue
import signal
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

import msgspec
import uuid6

from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.platform import headers as names
from standins.mesh import MeshFleet, ServiceSpec, UnconfirmedWriteError, build_call_headers
from standins.mesh_target import AdvertisedState
from standins.proxy import ProxyFault
from standins.soak_says import (
    AnnouncedRate,
    Arrival,
    CallerRequest,
    NodeDisruption,
    RelayedLeaving,
    find_leaving_violations,
    find_rate_violations,
    parse_arrival,
)

SERVICE_SPECS = [
    ServiceSpec('views', called_paths=('/deep/x',)),
    ServiceSpec('orders', called_paths=('/deep/x',), kind='unsafe'),
    ServiceSpec('deep', slots=40, service_seconds=0.01),
]
SERVICES = ('views', 'orders')  #: that callers ask for
MACHINES_PER_SERVICE = 2  #: machines of each kind, unless a run names another number
#: Seconds for each machine beside the first few, within which all have started: processes start one
#: after the other, and each takes most of a second of a core.
START_SECONDS_PER_MACHINE = 1.0
MAX_DOMAINS = 3  #: failure domains, at most
WORKER_COUNT = 10
CALL_TIMEOUT_SECONDS = 3.0
PAUSE_SECONDS = 0.03  #: between two requests of a worker
#: Seconds after the last fault within which every service answers at every machine again: a
#: member wrongly held for dead is asked each second, and a node wants one heartbeat.
RECOVERY_SECONDS = 10.0
STORE_FAULTS: list[dict[str, Any]] = [
    {'down': True},
    {'busy': True},
    {'delay': 0.3},
    {'lose_answers': 3},
]
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class SentRequest(NamedTuple):
    """One request of a caller and what came back: status 0 for no whole answer."""

    request_id: str
    service: str
    ingress: str
    status: int
    is_valid: bool  #: the answer is the one to this request, and signed
    response_seconds: float
    sent_at: float = 0.0  #: of the host's steady clock


@dataclass
class RunRecord:
    """What a run has seen."""

    requests: list[SentRequest] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    announced_rates: list[AnnouncedRate] = field(default_factory=list)
    relayed_leaving: list[RelayedLeaving] = field(default_factory=list)
    disruptions: list[NodeDisruption] = field(default_factory=list)


class Variant(NamedTuple):
    """What a run has beside the faults that its seed draws; these stay as they are."""

    restores_store: bool = False  #: the store returns from copies meanwhile
    announces_state: bool = False  #: targets say something of themselves with their answers
    machines_per_service: int = MACHINES_PER_SERVICE  #: machines of each kind


class Soak:
    """One run."""

    def __init__(self, fleet: MeshFleet, seed: int, variant: Variant) -> None:
        self.fleet = fleet
        self.rng = Random(seed)
        self.variant = variant
        self.restore_rng = Random(f'returns {seed}')
        self.announcement_rng = Random(f'says {seed}')
        self.record = RunRecord()
        self.is_calling = True
        self.services = list(SERVICES)  #: and later the newest configuration's own route

    async def run(self, seconds: float) -> RunRecord:
        """Start all, harm it for a while, heal it, and judge."""
        await self.fleet.configure(SERVICE_SPECS)
        for number in range(self.variant.machines_per_service):
            for spec in SERVICE_SPECS:
                await self.fleet.start_machine(
                    f'{spec.service}-{number}', f'd{number % MAX_DOMAINS}', spec
                )
        more = max(len(self.fleet.machines) - MACHINES_PER_SERVICE * len(SERVICE_SPECS), 0)
        await self._wait_until_served(
            'at the start', 3 * RECOVERY_SECONDS + more * START_SECONDS_PER_MACHINE
        )
        workers = [
            asyncio.create_task(self._send_requests(number)) for number in range(WORKER_COUNT)
        ]
        await self._inject_faults_for(seconds)
        self.services.append(f'r{self.fleet.accepted_version}')
        await self._wait_until_served('after the last fault', RECOVERY_SECONDS)
        self.is_calling = False
        await asyncio.gather(*workers)
        await asyncio.sleep(CALL_TIMEOUT_SECONDS)
        run_counts, arrivals = self._read_target_output()
        record = self.record
        record.findings += find_violations(record.requests, run_counts)
        record.findings += find_rate_violations(record.announced_rates, arrivals)
        sent = [
            CallerRequest(request.request_id, request.ingress, request.sent_at)
            for request in record.requests
        ]
        record.findings += find_leaving_violations(
            record.relayed_leaving, sent, arrivals, record.disruptions
        )
        return record

    async def _send_requests(self, number: int) -> None:
        client = HttpClient()
        rng = Random(self.rng.random())
        while self.is_calling:
            ingress = rng.choice(list(self.fleet.machines))
            service = rng.choice(SERVICES)
            self.record.requests.append(await self._call(client, ingress, service))
            await asyncio.sleep(PAUSE_SECONDS)
        client.close()

    async def _call(self, client: HttpClient, ingress: str, service: str) -> SentRequest:
        request_id = uuid6.uuid7().hex
        method = 'POST' if service == 'orders' else 'GET'
        headers = build_call_headers(request_id, CALL_TIMEOUT_SECONDS)
        req = HttpRequest(method, f'/{service}/{request_id}', headers, b'', '')
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        exchange = await client.send(
            self.fleet.machines[ingress].outbound_address, req, CALL_TIMEOUT_SECONDS
        )
        response_seconds = loop.time() - sent_at
        if not isinstance(exchange, Answered):
            return SentRequest(request_id, service, ingress, 0, True, response_seconds, sent_at)
        response = exchange.response
        is_valid = response.status != 200 or _is_valid_response(response, request_id)
        response_headers = dict(response.headers)
        if response_headers.get(names.SERVER_LEAVING) == b'1':
            target_id = response_headers.get(names.SERVER_SIGNATURE, b'').decode()
            self.record.relayed_leaving.append(
                RelayedLeaving(ingress, target_id, sent_at + response_seconds)
            )
        return SentRequest(
            request_id, service, ingress, response.status, is_valid, response_seconds, sent_at
        )

    async def _wait_until_served(self, when: str, seconds: float) -> None:
        """Wait until every machine serves every service; one that does not is a finding."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        client = HttpClient()
        unserved = {(ingress, s) for ingress in self.fleet.machines for s in self.services}
        while unserved and loop.time() < until:
            for ingress, service in sorted(unserved):
                sent = await self._call(client, ingress, service)
                self.record.requests.append(sent)
                if sent.status == 200:
                    unserved.discard((ingress, service))
            await asyncio.sleep(0.1)
        client.close()
        for ingress, service in sorted(unserved):
            self.record.findings.append(f'{service} by {ingress} not served {seconds} s {when}')

    async def _inject_faults_for(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        # A harm that fails ends the others: one that starts a process after the fleet was ended
        # would leave it running, and the run would wait for its end.
        async with asyncio.TaskGroup() as group:
            if self.variant.restores_store:
                group.create_task(self._return_store(until))
            if self.variant.announces_state:
                group.create_task(self._announce_states(until))
            while loop.time() < until:
                group.create_task(self._inject_fault())
                await asyncio.sleep(self.rng.uniform(0.2, 1.2))
        for machine in self.fleet.machines.values():
            machine.target_proxy.set_fault(ProxyFault.NONE)
            machine.store_proxy.set_fault(ProxyFault.NONE)
        await self.fleet.set_store_faults()

    async def _inject_fault(self) -> None:
        name = self.rng.choice(list(self.fleet.machines))
        fault_seconds = self.rng.uniform(0.2, 2.0)
        methods = (
            self._kill_node,
            self._stop_node,
            self._freeze_node,
            self._kill_target,
            self._replace_target,
            self._harm_way,
            self._harm_store,
            self._reconfigure,
        )
        inject = self.rng.choice(methods)
        self.record.faults.append(f'{inject.__name__[1:]} {name} {fault_seconds:.1f}')
        await inject(name, fault_seconds)

    async def _kill_node(self, name: str, fault_seconds: float) -> None:
        await self._end_node(name, signal.SIGKILL)
        await asyncio.sleep(fault_seconds)
        self._restart_ended(name)

    async def _stop_node(self, name: str, fault_seconds: float) -> None:
        await self._end_node(name, signal.SIGTERM)
        self._restart_ended(name)

    async def _freeze_node(self, name: str, fault_seconds: float) -> None:
        node = self.fleet.machines[name].node
        node.kill(signal.SIGSTOP)
        await asyncio.sleep(fault_seconds)
        node.kill(signal.SIGCONT)
        self._record_disruption(name)

    async def _kill_target(self, name: str, fault_seconds: float) -> None:
        await _end(self.fleet.machines[name].target.popen, signal.SIGKILL)
        await asyncio.sleep(fault_seconds)
        self._restart_ended(name)

    async def _replace_target(self, name: str, fault_seconds: float) -> None:
        await _end(self.fleet.machines[name].target.popen, signal.SIGTERM)
        self._restart_ended(name)

    async def _harm_way(self, name: str, fault_seconds: float) -> None:
        machine = self.fleet.machines[name]
        proxy = self.rng.choice([machine.target_proxy, machine.store_proxy])
        proxy.set_fault(
            self.rng.choice([fault for fault in ProxyFault if fault is not ProxyFault.NONE])
        )
        await asyncio.sleep(fault_seconds)
        proxy.set_fault(ProxyFault.NONE)

    async def _harm_store(self, name: str, fault_seconds: float) -> None:
        fault = self.rng.choice(STORE_FAULTS)
        await self.fleet.set_store_faults(**fault)
        await asyncio.sleep(fault_seconds)
        await self.fleet.set_store_faults()

    async def _reconfigure(self, name: str, fault_seconds: float) -> None:
        # Past the proxies, as the operator writes; while the store is down nobody can.
        try:
            await self.fleet.configure(SERVICE_SPECS)
        except UnconfirmedWriteError as exc:
            self.record.faults.append(f'the configuration was not written: {exc}')

    async def _return_store(self, until: float) -> None:
        """Let the store return from a copy some seconds old, again and again."""
        loop, rng = asyncio.get_running_loop(), self.restore_rng
        while loop.time() < until:
            await self.fleet.save_copy()
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            await self.fleet.set_store_faults(down=True)
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            await self.fleet.restore_copy()
            await self.fleet.set_store_faults()
            self.record.faults.append('return_store')
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            await self.fleet.rewrite_until_accepted(SERVICE_SPECS)
            await self._reconfigure('', 0.0)

    async def _announce_states(self, until: float) -> None:
        """Let targets in turn name a rate for a while, or say that they leave, and then leave."""
        loop, rng = asyncio.get_running_loop(), self.announcement_rng
        while loop.time() < until:
            name = rng.choice(list(self.fleet.machines))
            fault_seconds = rng.uniform(3.5, 6.0)
            if rng.random() < 0.5:
                await self._announce_rate(name, rng.uniform(1.0, 10.0), fault_seconds)
            else:
                self.record.faults.append(f'leave {name} {fault_seconds:.1f}')
                await self.fleet.set_advertised_state(name, AdvertisedState(leaving=True))
                await asyncio.sleep(fault_seconds)
                await self._replace_target(name, fault_seconds)

    async def _announce_rate(self, name: str, rate: float, fault_seconds: float) -> None:
        self.record.faults.append(f'name_rate {name} {rate:.1f} {fault_seconds:.1f}')
        loop = asyncio.get_running_loop()
        since = loop.time()
        target_id = await self.fleet.set_advertised_state(name, AdvertisedState(rate=rate))
        await asyncio.sleep(fault_seconds)
        self.record.announced_rates.append(AnnouncedRate(target_id, rate, since, loop.time()))
        await self.fleet.set_advertised_state(name, AdvertisedState())

    def _record_disruption(self, name: str) -> None:
        self.record.disruptions.append(NodeDisruption(name, asyncio.get_running_loop().time()))

    async def _end_node(self, name: str, signum: signal.Signals) -> None:
        self._record_disruption(name)
        node = self.fleet.machines[name].node
        node.kill(signal.SIGCONT)
        await _end(node.popen, signum)

    def _restart_ended(self, name: str) -> None:
        """Start whatever of a machine has ended; several faults may have met there."""
        machine = self.fleet.machines[name]
        node, target = machine.node.popen.poll(), machine.target.popen.poll()
        self.fleet.restart_processes(name, node=node is not None, target=target is not None)

    def _read_target_output(self) -> tuple[Counter[str], list[Arrival]]:
        """Return the number of runs of each request, and all arrivals at targets."""
        run_counts: Counter[str] = Counter()
        arrivals = []
        for proc in self.fleet.processes:
            while True:
                try:
                    line = proc.stdout_lines.get_nowait()
                except queue.Empty:
                    break
                event, _, request_id = line.partition(' ')
                if event == 'run':
                    run_counts[request_id] += 1
                arrival = parse_arrival(line)
                if arrival is not None:
                    arrivals.append(arrival)
        return run_counts, arrivals


async def _end(popen: 'subprocess.Popen[str]', signum: signal.Signals) -> None:
    if popen.poll() is None:
        popen.send_signal(signum)
    await asyncio.to_thread(popen.wait)


def _is_valid_response(response: HttpResponse, request_id: str) -> bool:
    headers = dict(response.headers)
    if (
        names.SERVER_SIGNATURE not in headers
        or headers.get(names.REQUEST_ID) != request_id.encode()
    ):
        return False
    try:
        return bool(msgspec.json.decode(response.body)['id'] == request_id)
    except (msgspec.MsgspecError, KeyError):
        return False


def find_violations(requests: list[SentRequest], run_counts: Counter[str]) -> list[str]:
    """Check the promises of the pages against what callers and targets saw."""
    findings = []
    for request in requests:
        run_count = run_counts[request.request_id]
        if not request.is_valid:
            findings.append(f'{request}: the answer is not that of its own request')
        if request.service == 'orders' and run_count > 1:
            findings.append(f'{request}: ran {run_count} times')
        if request.service == 'orders' and request.status in NOT_RUN_STATUSES and run_count:
            findings.append(f'{request}: said not to have run, and ran')
        # A new route may be unknown at a node for a while; ``_wait_until_served`` bounds it.
        is_new = request.service not in SERVICES and request.status == 404
        if 400 <= request.status < 500 and request.status not in NOT_RUN_STATUSES and not is_new:
            findings.append(f'{request}: refused though it is proper')
    if not any(request.status == 200 for request in requests):
        findings.append('nothing was served')
    return findings


async def run_seed(seed: int, seconds: float, variant: Variant = Variant()) -> RunRecord:  # noqa: B008
    """Play one seed."""
    async with MeshFleet(seed % 240 + 1) as fleet:
        return await Soak(fleet, seed, variant).run(seconds)


def main() -> int:
    """Play seeds one after another; gives 1 if any of them found something."""
    parser = argparse.ArgumentParser(description='Randomized soak of nodes as processes.')
    parser.add_argument('--seeds', default='1-5', help='FIRST-LAST')
    parser.add_argument('--seconds', type=float, default=8.0, help='Of faults in each run.')
    parser.add_argument(
        '--returns', action='store_true', help='Let the store return from older copies meanwhile.'
    )
    parser.add_argument(
        '--says', action='store_true', help='Let targets name rates and leave by their answers.'
    )
    parser.add_argument(
        '--copies', type=int, default=MACHINES_PER_SERVICE, help='Machines of each kind.'
    )
    args = parser.parse_args()
    variant = Variant(args.returns, args.says, args.copies)
    first, _, last = args.seeds.partition('-')
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        record = asyncio.run(run_seed(seed, args.seconds, variant))
        statuses = Counter(request.status for request in record.requests)
        line = {'seed': seed, 'statuses': dict(statuses), 'findings': record.findings}
        if record.findings:
            failed_seeds += 1
            line['faults'] = record.faults
        print(json.dumps(line), flush=True)  # noqa: T201
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    sys.exit(main())
