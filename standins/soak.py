"""A randomized soak of the platform's nodes: real processes, harmed from outside.

    python -m standins.soak --seeds 1-50 --seconds 8

Each run draws its faults from its seed: signals to nodes and targets, harmed connections to
targets and to the store, faults of the store, changes of the configuration; in series and
overlapping. Callers keep their connections. What is checked stands in ``judge``.
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
from standins.mesh import MeshFleet, NotWritten, TargetKind, call_headers
from standins.mesh_target import Says
from standins.proxy import Harm
from standins.soak_says import (
    Arrival,
    Asked,
    Disturbed,
    PassedOn,
    RateNamed,
    judge_leaving,
    judge_rates,
    read_arrival,
)

KINDS = [
    TargetKind('views', calls=('/deep/x',)),
    TargetKind('orders', calls=('/deep/x',), kind='unsafe'),
    TargetKind('deep', slots=40, seconds=0.01),
]
SERVICES = ('views', 'orders')  #: that callers ask for
COPIES = 2  #: machines of each kind, unless a run names another number
#: Seconds for each machine beside the first few, within which all have started: processes start one
#: after the other, and each takes most of a second of a core.
START_EACH = 1.0
DOMAINS = 3  #: failure domains, at most
WORKERS = 10
CALL_SECONDS = 3.0
PAUSE = 0.03  #: between two requests of a worker
#: Seconds after the last fault within which every service answers at every machine again: a
#: member wrongly held for dead is asked each second, and a node wants one heartbeat.
RECOVERY = 10.0
STORE_FAULTS: list[dict[str, Any]] = [
    {'down': True},
    {'busy': True},
    {'delay': 0.3},
    {'lose_answers': 3},
]
PROMISED_NOT_RUN = frozenset({408, 421, 429, 503})


class Sent(NamedTuple):
    """One request of a caller and what came back: status 0 for no whole answer."""

    request_id: str
    service: str
    entry: str
    status: int
    sound: bool  #: the answer is the one to this request, and signed
    seconds: float
    when: float = 0.0  #: of the host's steady clock


@dataclass
class Record:
    """What a run has seen."""

    sent: list[Sent] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    named: list[RateNamed] = field(default_factory=list)
    passed_on: list[PassedOn] = field(default_factory=list)
    disturbed: list[Disturbed] = field(default_factory=list)


class Variant(NamedTuple):
    """What a run has beside the faults that its seed draws; these stay as they are."""

    returns: bool = False  #: the store returns from copies meanwhile
    says: bool = False  #: targets say something of themselves with their answers
    copies: int = COPIES  #: machines of each kind


class Soak:
    """One run."""

    def __init__(self, fleet: MeshFleet, seed: int, variant: Variant) -> None:
        self.fleet = fleet
        self.rng = Random(seed)
        self.variant = variant
        self.returns_rng = Random(f'returns {seed}')
        self.says_rng = Random(f'says {seed}')
        self.record = Record()
        self.calling = True
        self.services = list(SERVICES)  #: and later the newest configuration's own route

    async def play(self, seconds: float) -> Record:
        """Start all, harm it for a while, heal it, and judge."""
        await self.fleet.configure(KINDS)
        for copy in range(self.variant.copies):
            for what in KINDS:
                await self.fleet.place(f'{what.service}-{copy}', f'd{copy % DOMAINS}', what)
        more = max(len(self.fleet.machines) - COPIES * len(KINDS), 0)
        await self._until_served('at the start', 3 * RECOVERY + more * START_EACH)
        workers = [asyncio.create_task(self._call_on(number)) for number in range(WORKERS)]
        await self._harm_for(seconds)
        self.services.append(f'r{self.fleet.accepted}')
        await self._until_served('after the last fault', RECOVERY)
        self.calling = False
        await asyncio.gather(*workers)
        await asyncio.sleep(CALL_SECONDS)
        runs, arrivals = self._all_runs()
        record = self.record
        record.findings += judge(record.sent, runs)
        record.findings += judge_rates(record.named, arrivals)
        asked = [Asked(one.request_id, one.entry, one.when) for one in record.sent]
        record.findings += judge_leaving(record.passed_on, asked, arrivals, record.disturbed)
        return record

    async def _call_on(self, number: int) -> None:
        client = HttpClient()
        rng = Random(self.rng.random())
        while self.calling:
            entry = rng.choice(list(self.fleet.machines))
            service = rng.choice(SERVICES)
            self.record.sent.append(await self._call(client, entry, service))
            await asyncio.sleep(PAUSE)
        client.close()

    async def _call(self, client: HttpClient, entry: str, service: str) -> Sent:
        request_id = uuid6.uuid7().hex
        method = 'POST' if service == 'orders' else 'GET'
        headers = call_headers(request_id, CALL_SECONDS)
        req = HttpRequest(method, f'/{service}/{request_id}', headers, b'', '')
        loop = asyncio.get_running_loop()
        began = loop.time()
        exchange = await client.send(self.fleet.machines[entry].outbound, req, CALL_SECONDS)
        took = loop.time() - began
        if not isinstance(exchange, Answered):
            return Sent(request_id, service, entry, 0, True, took, began)
        response = exchange.response
        sound = response.status != 200 or _sound(response, request_id)
        found = dict(response.headers)
        if found.get(names.SERVER_LEAVING) == b'1':
            left = found.get(names.SERVER_SIGNATURE, b'').decode()
            self.record.passed_on.append(PassedOn(entry, left, began + took))
        return Sent(request_id, service, entry, response.status, sound, took, began)

    async def _until_served(self, when: str, seconds: float) -> None:
        """Wait until every machine serves every service; one that does not is a finding."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        client = HttpClient()
        open_ways = {(entry, s) for entry in self.fleet.machines for s in self.services}
        while open_ways and loop.time() < until:
            for entry, service in sorted(open_ways):
                sent = await self._call(client, entry, service)
                self.record.sent.append(sent)
                if sent.status == 200:
                    open_ways.discard((entry, service))
            await asyncio.sleep(0.1)
        client.close()
        for entry, service in sorted(open_ways):
            self.record.findings.append(f'{service} by {entry} not served {seconds} s {when}')

    async def _harm_for(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        # A harm that fails ends the others: one that starts a process after the fleet was ended
        # would leave it running, and the run would wait for its end.
        async with asyncio.TaskGroup() as group:
            if self.variant.returns:
                group.create_task(self._return_store(until))
            if self.variant.says:
                group.create_task(self._let_say(until))
            while loop.time() < until:
                group.create_task(self._harm())
                await asyncio.sleep(self.rng.uniform(0.2, 1.2))
        for machine in self.fleet.machines.values():
            machine.target_way.use(Harm.NONE)
            machine.store_way.use(Harm.NONE)
        await self.fleet.faults()

    async def _harm(self) -> None:
        name = self.rng.choice(list(self.fleet.machines))
        hold = self.rng.uniform(0.2, 2.0)
        harms = (
            self._kill_node,
            self._stop_node,
            self._freeze_node,
            self._kill_target,
            self._replace_target,
            self._harm_way,
            self._harm_store,
            self._reconfigure,
        )
        harm = self.rng.choice(harms)
        self.record.faults.append(f'{harm.__name__[1:]} {name} {hold:.1f}')
        await harm(name, hold)

    async def _kill_node(self, name: str, hold: float) -> None:
        await self._end_node(name, signal.SIGKILL)
        await asyncio.sleep(hold)
        self._start_ended(name)

    async def _stop_node(self, name: str, hold: float) -> None:
        await self._end_node(name, signal.SIGTERM)
        self._start_ended(name)

    async def _freeze_node(self, name: str, hold: float) -> None:
        node = self.fleet.machines[name].node
        node.kill(signal.SIGSTOP)
        await asyncio.sleep(hold)
        node.kill(signal.SIGCONT)
        self._note_disturbed(name)

    async def _kill_target(self, name: str, hold: float) -> None:
        await _end(self.fleet.machines[name].target.popen, signal.SIGKILL)
        await asyncio.sleep(hold)
        self._start_ended(name)

    async def _replace_target(self, name: str, hold: float) -> None:
        await _end(self.fleet.machines[name].target.popen, signal.SIGTERM)
        self._start_ended(name)

    async def _harm_way(self, name: str, hold: float) -> None:
        machine = self.fleet.machines[name]
        way = self.rng.choice([machine.target_way, machine.store_way])
        way.use(self.rng.choice([harm for harm in Harm if harm is not Harm.NONE]))
        await asyncio.sleep(hold)
        way.use(Harm.NONE)

    async def _harm_store(self, name: str, hold: float) -> None:
        fault = self.rng.choice(STORE_FAULTS)
        await self.fleet.faults(**fault)
        await asyncio.sleep(hold)
        await self.fleet.faults()

    async def _reconfigure(self, name: str, hold: float) -> None:
        # Past the proxies, as the operator writes; while the store is down nobody can.
        try:
            await self.fleet.configure(KINDS)
        except NotWritten as exc:
            self.record.faults.append(f'the configuration was not written: {exc}')

    async def _return_store(self, until: float) -> None:
        """Let the store return from a copy some seconds old, again and again."""
        loop, rng = asyncio.get_running_loop(), self.returns_rng
        while loop.time() < until:
            await self.fleet.keep_copy()
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            await self.fleet.faults(down=True)
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            await self.fleet.return_from_copy()
            await self.fleet.faults()
            self.record.faults.append('return_store')
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            await self.fleet.write_again(KINDS)
            await self._reconfigure('', 0.0)

    async def _let_say(self, until: float) -> None:
        """Let targets in turn name a rate for a while, or say that they leave, and then leave."""
        loop, rng = asyncio.get_running_loop(), self.says_rng
        while loop.time() < until:
            name = rng.choice(list(self.fleet.machines))
            hold = rng.uniform(3.5, 6.0)
            if rng.random() < 0.5:
                await self._name_rate(name, rng.uniform(1.0, 10.0), hold)
            else:
                self.record.faults.append(f'leave {name} {hold:.1f}')
                await self.fleet.say(name, Says(leaving=True))
                await asyncio.sleep(hold)
                await self._replace_target(name, hold)

    async def _name_rate(self, name: str, rate: float, hold: float) -> None:
        self.record.faults.append(f'name_rate {name} {rate:.1f} {hold:.1f}')
        loop = asyncio.get_running_loop()
        since = loop.time()
        target_id = await self.fleet.say(name, Says(rate=rate))
        await asyncio.sleep(hold)
        self.record.named.append(RateNamed(target_id, rate, since, loop.time()))
        await self.fleet.say(name, Says())

    def _note_disturbed(self, name: str) -> None:
        self.record.disturbed.append(Disturbed(name, asyncio.get_running_loop().time()))

    async def _end_node(self, name: str, how: signal.Signals) -> None:
        self._note_disturbed(name)
        node = self.fleet.machines[name].node
        node.kill(signal.SIGCONT)
        await _end(node.popen, how)

    def _start_ended(self, name: str) -> None:
        """Start whatever of a machine has ended; several faults may have met there."""
        held = self.fleet.machines[name]
        node, target = held.node.popen.poll(), held.target.popen.poll()
        self.fleet.restart(name, node=node is not None, target=target is not None)

    def _all_runs(self) -> tuple[Counter[str], list[Arrival]]:
        """Count the runs of each request and give all arrivals, those at dead targets included."""
        runs: Counter[str] = Counter()
        arrivals = []
        for proc in self.fleet.processes:
            while True:
                try:
                    line = proc.out.get_nowait()
                except queue.Empty:
                    break
                word, _, request_id = line.partition(' ')
                if word == 'run':
                    runs[request_id] += 1
                arrival = read_arrival(line)
                if arrival is not None:
                    arrivals.append(arrival)
        return runs, arrivals


async def _end(popen: 'subprocess.Popen[str]', how: signal.Signals) -> None:
    if popen.poll() is None:
        popen.send_signal(how)
    await asyncio.to_thread(popen.wait)


def _sound(response: HttpResponse, request_id: str) -> bool:
    found = dict(response.headers)
    if names.SERVER_SIGNATURE not in found or found.get(names.REQUEST_ID) != request_id.encode():
        return False
    try:
        return bool(msgspec.json.decode(response.body)['id'] == request_id)
    except (msgspec.MsgspecError, KeyError):
        return False


def judge(sent: list[Sent], runs: Counter[str]) -> list[str]:
    """Check the promises of the pages against what callers and targets saw."""
    findings = []
    for one in sent:
        ran = runs[one.request_id]
        if not one.sound:
            findings.append(f'{one}: the answer is not that of its own request')
        if one.service == 'orders' and ran > 1:
            findings.append(f'{one}: ran {ran} times')
        if one.service == 'orders' and one.status in PROMISED_NOT_RUN and ran:
            findings.append(f'{one}: said not to have run, and ran')
        # A new route may be unknown at a node for a while; ``_until_served`` bounds it.
        new = one.service not in SERVICES and one.status == 404
        if 400 <= one.status < 500 and one.status not in PROMISED_NOT_RUN and not new:
            findings.append(f'{one}: refused though it is proper')
    if not any(one.status == 200 for one in sent):
        findings.append('nothing was served')
    return findings


async def run(seed: int, seconds: float, variant: Variant = Variant()) -> Record:  # noqa: B008
    """Play one seed."""
    async with MeshFleet(seed % 240 + 1) as fleet:
        return await Soak(fleet, seed, variant).play(seconds)


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
    parser.add_argument('--copies', type=int, default=COPIES, help='Machines of each kind.')
    args = parser.parse_args()
    variant = Variant(args.returns, args.says, args.copies)
    first, _, last = args.seeds.partition('-')
    found = 0
    for seed in range(int(first), int(last or first) + 1):
        record = asyncio.run(run(seed, args.seconds, variant))
        statuses = Counter(one.status for one in record.sent)
        line = {'seed': seed, 'statuses': dict(statuses), 'findings': record.findings}
        if record.findings:
            found += 1
            line['faults'] = record.faults
        print(json.dumps(line), flush=True)  # noqa: T201
    return 1 if found else 0


if __name__ == '__main__':
    sys.exit(main())
