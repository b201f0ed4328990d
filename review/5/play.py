"""A backend crashes while clients, and the backends of another service, look up one page."""

import asyncio
import collections
import os
import random
import secrets
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.standin2.cluster import OUTBOUND, Answer, Cluster, Machine, Record, Route

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE, PREFIX = 'transfers', '/tiye233/'  #: of the lookups, which are ``safe``
CLAIM_SERVICE, CLAIM_PREFIX = 'retirements', '/wude451/'  #: of the claims, which are ``unsafe``
BACKENDS = 4  #: of the service; one at a time crashes
ZONES = ('erie-a', 'erie-b', 'huron-n')
POPULAR_PATH = f'{PREFIX}quotes/today'  #: half of the lookups; each other one has its own path
POPULAR_SHARE = 0.5
WORK_MS = 360  #: of a ``trade-quote``, as its rate and its deadline are
REQUESTS_PER_SECOND = 42.7
CLAIM_SHARE = 0.1  #: of the requests; each claim calls for the popular page
DEADLINE_MS = 4000
CRASH_AT = (5.0, 14.0, 23.0)  #: seconds; each a different backend
MIN_IN_PROGRESS = 2  #: requests for the popular page at the backend that crashes
WAIT_SECONDS = 3.0  #: for that
DOWN_SECONDS = 4.5
PLAY_SECONDS = 50.0
STABILITY_SECONDS = 3.0


class Play:
    """Sends the requests, crashes the backends, and counts the answers."""

    def __init__(self, record: Record, cluster: Cluster) -> None:
        self.record = record
        self.cluster = cluster
        self.started_at = time.monotonic()
        self.rng = random.Random(59)
        self.results: list[tuple[float, str, Answer]] = []
        self.crash_times: list[float] = []

    @property
    def seconds(self) -> float:
        """Seconds since the first request."""
        return time.monotonic() - self.started_at

    async def request(self, machine: Machine) -> None:
        """Send one request at a machine."""
        sent_at = self.seconds
        path, method = f'{PREFIX}{secrets.token_hex(4)}', 'GET'
        if self.rng.random() < CLAIM_SHARE:
            path, method = f'{CLAIM_PREFIX}{secrets.token_hex(4)}', 'POST'
        elif self.rng.random() < POPULAR_SHARE:
            path = POPULAR_PATH
        answer = await self.cluster.call(machine, path, method=method, deadline_ms=DEADLINE_MS)
        self.results.append((sent_at, path, answer))

    async def crash(self, machine: Machine) -> None:
        """Kill a backend that serves the popular page, and start it again some seconds later."""
        process = machine.backend
        assert process is not None
        until = time.monotonic() + WAIT_SECONDS
        while not self._is_serving(machine):
            if time.monotonic() > until:
                self.record.line('backend of', machine.name, 'does not serve the page: no crash')
                return
            await self.cluster.next_event()
        self.record.line('backend of', machine.name, 'crashes')
        self.crash_times.append(self.seconds)
        process.kill()
        await process.wait()
        await asyncio.sleep(DOWN_SECONDS)
        await self.cluster.start_backend(machine)

    def _is_serving(self, machine: Machine) -> bool:
        running: set[str] = set()
        for event in self.cluster.events:
            match event.words:
                case ['run', request_id, path] if event.machine == machine.name:
                    running |= {request_id} if path == POPULAR_PATH else set()
                case ['end' | 'gone', request_id, *_]:
                    running.discard(request_id)
        return len(running) >= MIN_IN_PROGRESS

    async def crash_backends(self) -> None:
        """Crash one backend after the other."""
        victims = [m for m in self.cluster.machines if m.service == SERVICE]
        for at, machine in zip(CRASH_AT, victims, strict=False):
            await asyncio.sleep(max(at - self.seconds, 0.0))
            self.cluster.spawn(self.crash(machine))

    async def run(self) -> None:
        """Play the whole time."""
        if HAS_TROUBLE:
            self.cluster.spawn(self.crash_backends())
        tasks = []
        count = 0
        while self.seconds < PLAY_SECONDS:
            machine = self.cluster.machines[count % len(self.cluster.machines)]
            tasks.append(asyncio.create_task(self.request(machine)))
            count += 1
            await asyncio.sleep(max(count / REQUESTS_PER_SECOND - self.seconds, 0.0))
        await asyncio.gather(*tasks)

    def judge(self) -> bool:
        """Return whether DENIED is broken."""
        allowed = 5 + len(self.results) / 500
        denied = [
            (at, path)
            for at, path, answer in self.results
            if answer.is_own and 300 <= answer.status < 500 and answer.status not in (408, 421, 429)
        ]
        counts = collections.Counter(
            (answer.status, 'own' if answer.is_own else answer.detail or 'backend')
            for _, _, answer in self.results
        )
        self.record.line('answers:', dict(counts))
        self.record.line('crashes at', [f'{at:.2f}' for at in self.crash_times])
        last = max(self.crash_times, default=0.0) + DOWN_SECONDS + STABILITY_SECONDS
        late = [at for at, path, _ in self.results if at > last and path == POPULAR_PATH]
        claims = [
            answer.status == 200
            for at, path, answer in self.results
            if at > last and path.startswith(CLAIM_PREFIX)
        ]
        late_denied = [at for at, _ in denied if at > last]
        self.record.line(f'{len(denied)} of {len(self.results)} denied; {allowed:.1f} are allowed')
        popular = sum(path == POPULAR_PATH for _, path in denied)
        self.record.line(f'{popular} of the denied requests are for {POPULAR_PATH}')
        self.record.line(
            f'later than {STABILITY_SECONDS:.0f} s after the last crashed backend is back:',
            f'{len(late_denied)} of {len(late)} requests for that page denied,',
            f'{sum(claims)} of {len(claims)} claims completed',
        )
        return len(denied) > allowed


async def play() -> int:
    """Return the exit status."""
    record = Record(Path(__file__).parent / 'record.txt')
    services = [SERVICE] * BACKENDS + [CLAIM_SERVICE] * 2
    machines = [(ZONES[index % len(ZONES)], service) for index, service in enumerate(services)]
    routes = [
        Route('r-quote', PREFIX, SERVICE, timeout='4000ms'),
        Route('r-claim', CLAIM_PREFIX, CLAIM_SERVICE, kind='unsafe', timeout='4000ms', priority=0),
    ]
    cluster = Cluster(machines, routes, record)
    for machine in cluster.machines:
        machine.backend_options = ['--work-ms', str(WORK_MS), '--slots', '22']
        if machine.service == CLAIM_SERVICE:
            machine.backend_options = ['--work-ms', '120', '--slots', '116', '--call', POPULAR_PATH]
            machine.backend_options += ['--outbound', f'{machine.host}:{OUTBOUND}']
    async with cluster:
        await asyncio.sleep(4.0)  # longer than stabilityWindow after the start
        play = Play(record, cluster)
        await play.run()
        broken = play.judge()
    record.line('DENIED is', 'broken' if broken else 'held')
    return int(broken)


if __name__ == '__main__':
    try:
        status = asyncio.run(play())
    except OSError as error:
        print(f'could not run: {error}', file=sys.stderr)  # noqa: T201
        status = 2
    sys.exit(status)
