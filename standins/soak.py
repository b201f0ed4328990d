"""Randomized soak test of the platform's nodes: real processes, with faults injected from outside.

    python -m standins.soak --seeds 1-50 --seconds 8

Each run draws its faults from its seed: signals to nodes and targets, faults on the connections
to targets and to the store, faults of the store, and changes of the configuration. Faults may
overlap. Callers keep their connections open. ``soak_checks`` and ``soak_says`` hold the checks.
"""

import argparse
import asyncio
import contextlib
import json
import queue
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator
from functools import partial
from random import Random
from typing import Any

import uuid6

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.platform import headers as names
from standins.mesh import MeshFleet, ServiceSpec, UnconfirmedWriteError, build_call_headers
from standins.mesh_target import AdvertisedState, TargetFaults
from standins.pipelining import PipeliningCaller
from standins.proxy import ProxyFault
from standins.soak_checks import (
    SERVICES,
    SentRequest,
    find_cut_requests,
    find_violations,
    is_valid_response,
)
from standins.soak_departures import find_late_arrivals, target_options
from standins.soak_run import MACHINES_PER_SERVICE, RunRecord, Variant
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
    ServiceSpec('views', downstream_paths=('/deep/x',)),
    ServiceSpec('orders', downstream_paths=('/deep/x',), kind='unsafe'),
    ServiceSpec('deep', slots=40, service_seconds=0.01),
]
#: Start time allowed per machine beyond the default number: processes start one after the other,
#: and each takes most of a second of a core.
START_SECONDS_PER_MACHINE = 1.0
MAX_DOMAINS = 3  #: failure domains
WORKER_COUNT = 10
CALL_TIMEOUT_SECONDS = 3.0
PAUSE_SECONDS = 0.03  #: between two requests of a worker
#: Time after the last fault within which every service must be reachable through every machine
#: again. A member wrongly considered dead is probed each second, and a node needs one heartbeat.
RECOVERY_SECONDS = 10.0
#: Time after a restore of the store within which a change must be in force at every node.
STORE_STABLE_SECONDS = 3.0
MAX_SILENCE_SECONDS = 14.0  #: the longest of a node's timeouts has doubled to its maximum by then
STORE_FAULTS: list[dict[str, Any]] = [
    {'down': True},
    {'busy': True},
    {'delay': 0.3},
    {'lose_answers': 3},
]


class Soak:
    """Runs callers and injects faults, for one seed."""

    def __init__(self, fleet: MeshFleet, seed: int, variant: Variant) -> None:
        self.fleet = fleet
        self.rng = Random(seed)
        self.variant = variant
        self.restore_rng = Random(f'returns {seed}')
        self.announcement_rng = Random(f'says {seed}')
        self.departure_rng = Random(f'leaves {seed}')
        self.record = RunRecord()
        self.is_calling = True
        self.services = list(SERVICES)  #: later also the newest configuration's route

    async def run(self, seconds: float) -> RunRecord:
        """Start the processes, inject faults for ``seconds``, clear them, and check the results."""
        variant = self.variant
        if variant.reuses_ids:
            self.fleet.target_options = partial(target_options, rng=self.departure_rng)
        await self.fleet.configure(SERVICE_SPECS)
        for number in range(variant.machines_per_service):
            for spec in SERVICE_SPECS:
                faulty = spec._replace(
                    refused_share=variant.refused_share, repeated_share=variant.repeated_share
                )
                await self.fleet.start_machine(
                    f'{spec.service}-{number}', f'd{number % MAX_DOMAINS}', faulty
                )
        extra_machines = max(
            len(self.fleet.machines) - MACHINES_PER_SERVICE * len(SERVICE_SPECS), 0
        )
        await self._wait_until_served(
            'at the start', 3 * RECOVERY_SECONDS + extra_machines * START_SECONDS_PER_MACHINE
        )
        workers = [
            asyncio.create_task(self._send_requests(number)) for number in range(WORKER_COUNT)
        ]
        async with self._pipelining_callers():
            await self._inject_faults_for(seconds)
        self.services.append(f'r{self.fleet.accepted_version}')
        await self._wait_until_served('after the last fault', RECOVERY_SECONDS)
        if self.variant.restores_store:
            await self._check_changes_after_silence()
        self.is_calling = False
        await asyncio.gather(*workers)
        await asyncio.sleep(CALL_TIMEOUT_SECONDS)
        run_counts, arrivals = self._read_target_output()
        record = self.record
        record.findings += find_violations(record.requests, run_counts)
        record.findings += find_cut_requests(record.lost, run_counts, record.disruptions)
        record.findings += find_rate_violations(record.announced_rates, arrivals)
        sent = [
            CallerRequest(request.request_id, request.ingress, request.sent_at)
            for request in record.requests
        ]
        record.findings += find_leaving_violations(
            record.relayed_leaving, sent, arrivals, record.disruptions
        )
        return record

    @contextlib.asynccontextmanager
    async def _pipelining_callers(self) -> AsyncIterator[None]:
        """Let a caller on each machine keep requests in progress all the time."""
        outstanding = self.variant.outstanding
        callers = [
            PipeliningCaller(name, machine.outbound_address, '/views/x', outstanding)
            for name, machine in self.fleet.machines.items()
            if outstanding
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            ends = await asyncio.gather(*tasks, return_exceptions=True)
        self.record.lost = [lost for caller in callers for lost in caller.lost]
        # One that has failed would find nothing for the rest of the run.
        self.record.findings += [
            f'the caller at {caller.name} failed: {end!r}'
            for caller, end in zip(callers, ends, strict=True)
            if isinstance(end, Exception)
        ]

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
        is_valid = response.status != 200 or is_valid_response(response, request_id)
        response_headers = dict(response.headers)
        if response_headers.get(names.SERVER_LEAVING) == b'1':
            target_id = response_headers.get(names.SERVER_SIGNATURE, b'').decode()
            self.record.relayed_leaving.append(
                RelayedLeaving(ingress, target_id, sent_at + response_seconds)
            )
        return SentRequest(
            request_id, service, ingress, response.status, is_valid, response_seconds, sent_at
        )

    async def _wait_until_served(self, occasion: str, seconds: float) -> None:
        """Wait until every machine serves every service; if one does not, record a finding."""
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
            self.record.findings.append(
                f'{service} not served by {ingress} within {seconds} s {occasion}'
            )

    async def _inject_faults_for(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        # The task group cancels all faults if one fails. Otherwise a fault could start a process
        # after the fleet was stopped, and the run would wait forever for that process to exit.
        async with asyncio.TaskGroup() as group:
            if self.variant.restores_store:
                group.create_task(self._return_store(until))
            if self.variant.announces_state:
                group.create_task(self._announce_states(until))
            if self.variant.reuses_ids:
                group.create_task(self._replace_targets(until))
            while loop.time() < until:
                group.create_task(self._inject_fault())
                await asyncio.sleep(self.rng.uniform(0.2, 1.2))
        for name, machine in self.fleet.machines.items():
            machine.target_proxy.set_fault(ProxyFault.NONE)
            machine.store_proxy.set_fault(ProxyFault.NONE)
            if not self.variant.keeps_refusing:
                await self.fleet.set_target_faults(name, TargetFaults())
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
        # The method names are printed as names of the faults.
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
        # Bypasses the proxies, as an operator's write would. It fails while the store is down.
        try:
            await self.fleet.configure(SERVICE_SPECS)
        except UnconfirmedWriteError as exc:
            self.record.faults.append(f'configuration write not confirmed: {exc}')

    async def _return_store(self, until: float) -> None:
        """Repeatedly restore the store from a copy that is up to a few seconds old."""
        loop, rng = asyncio.get_running_loop(), self.restore_rng
        while loop.time() < until:
            await self.fleet.save_copy()
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            await self._restore_after_silence(rng.uniform(0.0, 0.5))
            self.record.faults.append('return_store')
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            await self.fleet.rewrite_until_accepted(SERVICE_SPECS)
            await self._reconfigure('', 0.0)

    async def _restore_after_silence(
        self, seconds: float, *, forgets_watches: bool = False
    ) -> None:
        await self.fleet.set_store_faults(down=True, forgets_watches=forgets_watches)
        await asyncio.sleep(seconds)
        await self.fleet.restore_copy()
        await self.fleet.set_store_faults()

    async def _check_changes_after_silence(self) -> None:
        """Check that no node waits for the answer to a call that the restored store lost."""
        await self.fleet.save_copy()
        await self._reconfigure('', 0.0)
        await asyncio.sleep(self.restore_rng.uniform(0.0, 5.0))
        seconds = self.restore_rng.uniform(0.0, MAX_SILENCE_SECONDS)
        await self._restore_after_silence(seconds, forgets_watches=True)
        await self.fleet.rewrite_until_accepted(SERVICE_SPECS)
        await self.fleet.configure(SERVICE_SPECS)
        self.services = [f'r{self.fleet.accepted_version}']
        await self._wait_until_served('after a silent store was restored', STORE_STABLE_SECONDS)

    async def _announce_states(self, until: float) -> None:
        """Repeatedly let a target announce a rate for a while, or announce that it leaves."""
        loop, rng = asyncio.get_running_loop(), self.announcement_rng
        while loop.time() < until:
            name = rng.choice(list(self.fleet.machines))
            hold_seconds = rng.uniform(3.5, 6.0)
            if rng.random() < 0.5:
                await self._announce_rate(name, rng.uniform(1.0, 10.0), hold_seconds)
            else:
                self.record.faults.append(f'leave {name} {hold_seconds:.1f}')
                await self.fleet.set_advertised_state(name, AdvertisedState(leaving=True))
                await asyncio.sleep(hold_seconds)
                await self._replace_target(name, hold_seconds)

    async def _replace_targets(self, until: float) -> None:
        """Repeatedly let a target leave or crash; its node may be killed while it serves on."""
        loop, rng = asyncio.get_running_loop(), self.departure_rng
        while loop.time() < until:
            name = rng.choice(list(self.fleet.machines))
            if rng.random() < 0.3:
                self.record.faults.append(f'crash {name}')
                await self._kill_target(name, 0.1)
                continue
            node_delay = rng.uniform(0.0, 2.0) if rng.random() < 0.6 else None
            self.record.faults.append(f'leave {name} node killed after {node_delay}')
            replacement = asyncio.create_task(self._replace_target(name, 0.0))
            if node_delay is not None:
                await asyncio.sleep(node_delay)
                await self._kill_node(name, 0.1)
            await replacement

    async def _announce_rate(self, name: str, rate: float, hold_seconds: float) -> None:
        self.record.faults.append(f'name_rate {name} {rate:.1f} {hold_seconds:.1f}')
        loop = asyncio.get_running_loop()
        since = loop.time()
        target_id = await self.fleet.set_advertised_state(name, AdvertisedState(rate=rate))
        await asyncio.sleep(hold_seconds)
        self.record.announced_rates.append(AnnouncedRate(target_id, rate, since, loop.time()))
        await self.fleet.set_advertised_state(name, AdvertisedState())

    def _record_disruption(self, name: str, *, is_planned: bool = False) -> None:
        now = asyncio.get_running_loop().time()
        self.record.disruptions.append(NodeDisruption(name, now, is_planned))

    async def _end_node(self, name: str, signum: signal.Signals) -> None:
        self._record_disruption(name, is_planned=signum is signal.SIGTERM)
        node = self.fleet.machines[name].node
        node.kill(signal.SIGCONT)
        await _end(node.popen, signum)

    def _restart_ended(self, name: str) -> None:
        """Restart all exited processes of a machine; overlapping faults may have stopped both."""
        machine = self.fleet.machines[name]
        node, target = machine.node.popen.poll(), machine.target.popen.poll()
        self.fleet.restart_processes(name, node=node is not None, target=target is not None)

    def _read_target_output(self) -> tuple[Counter[str], list[Arrival]]:
        """Return how often each request ran, and all arrivals, also those at stopped targets."""
        run_counts: Counter[str] = Counter()
        arrivals = []
        for proc in self.fleet.processes:
            lines = _read_available(proc.stdout_lines)
            self.record.findings += find_late_arrivals(lines)
            for line in lines:
                event, _, request_id = line.partition(' ')
                if event == 'run':
                    run_counts[request_id] += 1
                arrival = parse_arrival(line)
                if arrival is not None:
                    arrivals.append(arrival)
        return run_counts, arrivals


def _read_available(lines: 'queue.Queue[str]') -> list[str]:
    available = []
    with contextlib.suppress(queue.Empty):
        while True:
            available.append(lines.get_nowait())
    return available


async def _end(popen: 'subprocess.Popen[str]', signum: signal.Signals) -> None:
    if popen.poll() is None:
        popen.send_signal(signum)
    await asyncio.to_thread(popen.wait)


async def run_seed(seed: int, seconds: float, variant: Variant = Variant()) -> RunRecord:  # noqa: B008
    """Run one seed."""
    async with MeshFleet(seed % 240 + 1) as fleet:
        return await Soak(fleet, seed, variant).run(seconds)


def main() -> int:
    """Run the seeds one after another; return 1 if any run has findings."""
    parser = argparse.ArgumentParser(description='Randomized soak test of node processes.')
    parser.add_argument('--seeds', default='1-5', help='FIRST-LAST')
    parser.add_argument(
        '--seconds', type=float, default=8.0, help='Duration of faults in each run.'
    )
    parser.add_argument(
        '--returns', action='store_true', help='Restore the store from older copies meanwhile.'
    )
    parser.add_argument(
        '--says', action='store_true', help='Let targets advertise rates and that they are leaving.'
    )
    parser.add_argument(
        '--refuse', type=float, default=0.0, help='Share of the requests that targets refuse.'
    )
    parser.add_argument(
        '--repeat', type=float, default=0.0, help='Share of the answers that targets send twice.'
    )
    parser.add_argument(
        '--outstanding', type=int, default=0, help='Requests that callers keep in progress.'
    )
    parser.add_argument(
        '--keep-refusing', action='store_true', help='Let --refuse and --repeat never end.'
    )
    parser.add_argument(
        '--reuse-ids',
        action='store_true',
        help='Let targets start again under their id, with other clocks, and leave both ways.',
    )
    parser.add_argument(
        '--copies', type=int, default=MACHINES_PER_SERVICE, help='Machines per service.'
    )
    args = parser.parse_args()
    variant = Variant(
        args.returns,
        args.says,
        args.copies,
        args.refuse,
        args.repeat,
        args.outstanding,
        args.keep_refusing,
        args.reuse_ids,
    )
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
