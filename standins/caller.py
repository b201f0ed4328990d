"""A caller: sends calls to a node and counts what came back."""

import asyncio
from collections import Counter
from typing import NamedTuple

import msgspec

from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.messages import Headers
from dunlinsaddle.settings import Address

REFUSED_PAUSE = 0.1  #: seconds; an impatient caller, who does not heed Retry-After


class Tally(NamedTuple):
    """What a batch of calls came to."""

    statuses: Counter[str]
    targets: Counter[str]


class Caller:
    """Sends requests to any node."""

    def __init__(self) -> None:
        self.client = HttpClient()

    async def call(
        self,
        node: Address,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b'',
        timeout: float = 10.0,
    ) -> HttpResponse | None:
        """Send one request; None where no whole answer came."""
        req = HttpRequest(method, path, headers or [], body, '')
        exchange = await self.client.send(node, req, timeout)
        return exchange.response if isinstance(exchange, Answered) else None

    async def press(
        self, nodes: list[Address], method: str, path: str, seconds: float, at_once: int
    ) -> Tally:
        """Send calls for a while, ``at_once`` at a time; each worker pauses after a refusal."""
        tally = Tally(Counter(), Counter())
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds

        async def worker(number: int) -> None:
            node = nodes[number % len(nodes)]
            while loop.time() < end:
                response = await self.call(node, method, path)
                _count(tally, response)
                if response is None or response.status != 200:
                    await asyncio.sleep(REFUSED_PAUSE)

        await asyncio.gather(*(worker(number) for number in range(at_once)))
        return tally

    def close(self) -> None:
        """Drop all connections."""
        self.client.close()


def _count(tally: Tally, response: HttpResponse | None) -> None:
    if response is None:
        tally.statuses['no answer'] += 1
        return
    outcome = dict(response.headers).get(b'dunlinsaddle-outcome', b'').decode()
    tally.statuses[f'{response.status} {outcome}'] += 1
    if response.status == 200:
        tally.targets[msgspec.json.decode(response.body)['target']] += 1
