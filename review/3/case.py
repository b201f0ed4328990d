"""A rolling restart of the nodes of one zone, whose clients pipeline safe requests."""

import asyncio
import os
import signal
import subprocess
from pathlib import Path

from standin.case import UnplayedError, run_case
from standin.client import HOST, is_ready
from standin.deployment import Deployment, Machine, RouteSpec
from standin.http import MAX_HEAD_BYTES, encode_request, read_message
from standin.record import Record

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RESTARTED = 3  #: machines of the first zone, one after the other
RESTART_GAP_SECONDS = 1.0
START_DELAY_SECONDS = 0.5  #: from the exit of a node to its next start
CLIENTS = 4  #: on each machine of the first zone
OUTSTANDING = 4  #: requests that a client has sent and that are not answered yet
DEADLINE_SECONDS = 5.0
WORK_SECONDS = 0.35
SLOTS = 89
GRACE_SECONDS = 6.0
CHECK_SECONDS = 1.0  #: between two readiness checks of the platform
MISSES_OUT = 2  #: misses in a row after which clients get no new work
SENT_BY_SECONDS = 3.0  #: after SIGTERM; requests sent until then may be broken off at the end


class Readiness:
    """The readiness checks of the platform for the machines of one zone."""

    def __init__(self, deployment: Deployment, machines: list[Machine]) -> None:
        self.deployment = deployment
        self.machines = machines
        self.misses = dict.fromkeys((m.name for m in machines), 0)

    async def run(self) -> None:
        """Check every node once a second."""
        while True:
            for machine in self.machines:
                address = machine.host, self.deployment.ports['ready']
                if await is_ready(address):
                    self.misses[machine.name] = 0
                else:
                    self.misses[machine.name] += 1
            await asyncio.sleep(CHECK_SECONDS)

    def gives_work(self, machine: Machine) -> bool:
        """Return whether the clients on a machine get new work."""
        included = sum(count < MISSES_OUT for count in self.misses.values())
        is_in = self.misses[machine.name] < MISSES_OUT
        return is_in or 2 * included < len(self.machines)


class Client:
    """A client that keeps a connection and always has a few safe requests under way."""

    def __init__(self, number: int, machine: Machine, readiness: Readiness, record: Record) -> None:
        self.number = number
        self.machine = machine
        self.readiness = readiness
        self.record = record
        self.sent = 0
        self.outstanding: list[str] = []

    async def run(self, address: tuple[str, int]) -> None:
        """Connect, and connect again after each close, until cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address, limit=MAX_HEAD_BYTES)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            self.outstanding.clear()
            try:
                await self._exchange(reader, writer)
            except (OSError, EOFError):
                for request_id in self.outstanding:
                    self.record.add('closed', request_id, self.machine.name)
            finally:
                writer.close()
            await asyncio.sleep(0.1)

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            while len(self.outstanding) < OUTSTANDING and self.readiness.gives_work(self.machine):
                self._send(writer)
            if not self.outstanding:
                await asyncio.sleep(0.05)
                continue
            answer = await read_message(reader)
            self.record.add('got', self.outstanding.pop(0), str(answer.status))
            if answer.headers.get('connection') == 'close':
                for request_id in self.outstanding:
                    self.record.add('unread', request_id, 'behind an answer that closes')
                return

    def _send(self, writer: asyncio.StreamWriter) -> None:
        self.sent += 1
        request_id = f'{self.number:04x}{self.sent:012x}'
        headers = {
            'Host': HOST,
            'Request-Id': request_id,
            'Deadline-Milliseconds': str(int(DEADLINE_SECONDS * 1000)),
        }
        self.outstanding.append(request_id)
        self.record.add('sent', request_id, self.machine.name)
        writer.write(encode_request('GET', f'/status/{request_id}', headers))


async def restart(deployment: Deployment, machine: Machine) -> None:
    """Stop a node as the platform does, and start it again."""
    deployment.record.add('sigterm', '', machine.name)
    machine.node.send_signal(signal.SIGTERM)
    try:
        await asyncio.to_thread(machine.node.wait, GRACE_SECONDS)
    except subprocess.TimeoutExpired:
        machine.node.kill()
        await asyncio.to_thread(machine.node.wait)
    deployment.record.add('exit', '', machine.name)
    await asyncio.sleep(START_DELAY_SECONDS)
    deployment.start_again(machine)


async def restart_in_turn(deployment: Deployment, machines: list[Machine]) -> None:
    """Restart one node after the other, each a second after the one before it."""
    async with asyncio.TaskGroup() as tasks:
        for machine in machines:
            tasks.create_task(restart(deployment, machine))
            await asyncio.sleep(RESTART_GAP_SECONDS)


def find_lost(record: Record) -> list[str]:
    """Return the requests that were passed on, and whose connection ended without an answer."""
    stopped = {event.detail: event.at for event in record.of('sigterm')}
    ran = {event.request_id for event in record.of('run')}
    sent = {event.request_id: event.at for event in record.of('sent')}
    return [
        event.request_id
        for event in record.of('closed')
        if event.request_id in ran
        and event.detail in stopped
        and sent[event.request_id] > stopped[event.detail] + SENT_BY_SECONDS
        and event.at < stopped[event.detail] + GRACE_SECONDS + 1.0
    ]


async def play() -> bool:
    """Play the case and return whether the rule was broken."""
    route = RouteSpec('/status/', 'status-desk', 'safe', '5000ms', attempts=2, priority=2)
    services = ['map-room'] * RESTARTED + ['status-desk'] * 3
    zones = ['gondar-a'] * RESTARTED + ['gondar-b', 'gondar-c', 'gondar-c']
    async with Deployment(services, [route], zones) as deployment:
        record = deployment.record
        for machine in deployment.machines:
            await deployment.add_backend(machine, SLOTS, WORK_SECONDS)
        await deployment.wait_until_ready()
        await asyncio.sleep(3.0)
        machines = deployment.machines[:RESTARTED]
        readiness = Readiness(deployment, machines)
        checks = asyncio.create_task(readiness.run())
        clients = [
            Client(CLIENTS * m + c, machine, readiness, record)
            for m, machine in enumerate(machines)
            for c in range(CLIENTS)
        ]
        tasks = [asyncio.create_task(c.run(deployment.outbound(c.machine))) for c in clients]
        await asyncio.sleep(4.0)
        if HAS_TROUBLE:
            await restart_in_turn(deployment, machines)
        await asyncio.sleep(GRACE_SECONDS)
        for task in [*tasks, checks]:
            task.cancel()
        await asyncio.gather(*tasks, checks, return_exceptions=True)
    lost = find_lost(record)
    for request_id in lost:
        record.add('broken', request_id, 'LOST')
    record.write(Path(__file__).with_name('record.txt'))
    if not record.of('got'):
        raise UnplayedError('no request was served')
    return bool(lost)


if __name__ == '__main__':
    run_case(play)
