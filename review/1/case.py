"""Backends refuse a part of the unsafe requests, and two of four send some answers twice.

An extra copy of a refusal arrives where the answer to the next send is expected. If that is the
next send of the same request, the copy bears its id.
"""

import asyncio
import os
from collections import Counter
from pathlib import Path
from random import Random

from standin.backend import Backend
from standin.case import UnplayedError, run_case
from standin.client import send
from standin.deployment import Deployment, RouteSpec
from standin.record import Record

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE = 'fee-office'
BACKENDS = 4
GARBLING_BACKENDS = 2  #: a share of 0.5; the largest dose is 0.6
SLOTS = 112
WORK_SECONDS = 0.12
RATE = 82.5  #: requests a second
DEADLINE_SECONDS = 5.0
CYCLES = 9
CYCLE_SECONDS = 10.0
SHED_SECONDS = 8.5
REFUSED_SHARE = 0.25  #: the largest dose is 0.55
GARBLE_START_SECONDS = 1.5
GARBLE_SECONDS = 5.0
EXTRA_SHARE = 0.03  #: the largest dose
PROMISES = ('429', '503')  #: statuses that say that a request has not run


async def send_requests(deployment: Deployment, seconds: float) -> None:
    """Send unsafe requests at random times through all machines, and wait for their answers."""
    rng, loop = Random(7), asyncio.get_running_loop()
    until, number = loop.time() + seconds, 0
    async with asyncio.TaskGroup() as tasks:
        while loop.time() < until:
            number += 1
            request = send(
                deployment.record,
                deployment.outbound(rng.choice(deployment.machines)),
                f'{number:016x}',
                'POST',
                f'/fee/{number}',
                DEADLINE_SECONDS,
                b'payment',
            )
            tasks.create_task(request)
            await asyncio.sleep(rng.expovariate(RATE))


async def make_trouble(backends: list[Backend]) -> None:
    """Let all backends refuse a part, and some of them send a part of their answers twice."""
    garbling = backends[:GARBLING_BACKENDS]
    for _ in range(CYCLES):
        for backend in backends:
            backend.refused_share = REFUSED_SHARE
        await asyncio.sleep(GARBLE_START_SECONDS)
        for backend in garbling:
            backend.extra_share = EXTRA_SHARE
        await asyncio.sleep(GARBLE_SECONDS)
        for backend in garbling:
            backend.extra_share = 0.0
        await asyncio.sleep(SHED_SECONDS - GARBLE_START_SECONDS - GARBLE_SECONDS)
        for backend in backends:
            backend.refused_share = 0.0
        await asyncio.sleep(CYCLE_SECONDS - SHED_SECONDS)


def find_broken(record: Record) -> list[tuple[str, str]]:
    """Return the rule and the request of each break.

    TWICE: it ran more than once. REFUSED: it ran, and its answer promises that it has not run.
    """
    runs = Counter(event.request_id for event in record.of('run'))
    broken = [('TWICE', request_id) for request_id, count in runs.items() if count > 1]
    broken += [
        ('REFUSED', event.request_id)
        for event in record.of('got')
        if event.detail.startswith(PROMISES) and event.request_id in runs
    ]
    return broken


async def play() -> bool:
    """Play the case and return whether a rule was broken."""
    route = RouteSpec('/fee/', SERVICE, 'unsafe', '5000ms', attempts=1)
    async with Deployment([SERVICE] * BACKENDS, [route]) as deployment:
        record = deployment.record
        backends = []
        for machine in deployment.machines:
            backends.append(await deployment.add_backend(machine, SLOTS, WORK_SECONDS))
        await deployment.wait_until_ready()
        await asyncio.sleep(2.0)
        trouble = asyncio.create_task(make_trouble(backends if HAS_TROUBLE else []))
        await send_requests(deployment, CYCLES * CYCLE_SECONDS)
        await trouble
    broken = find_broken(record)
    for rule, request_id in broken:
        record.add('broken', request_id, rule)
    record.write(Path(__file__).with_name('record.txt'))
    if not any(event.detail.startswith('200') for event in record.of('got')):
        raise UnplayedError('no request was served')
    return bool(broken)


if __name__ == '__main__':
    run_case(play)
