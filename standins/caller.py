"""A caller that sends requests to nodes and counts the responses."""

import asyncio
from collections import Counter
from typing import NamedTuple

import msgspec

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.messages import Headers
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.settings import Address

REFUSAL_PAUSE_SECONDS = 0.1  #: the caller ignores Retry-After


class CallCounts(NamedTuple):
    """Number of calls by status and outcome, and by the target that answered."""

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
        """Send one request; return None if there is no complete response."""
        req = HttpRequest(method, path, headers or [], body, '')
        exchange = await self.client.send(node, req, timeout)
        return exchange.response if isinstance(exchange, Answered) else None

    async def send_for(
        self, nodes: list[Address], method: str, path: str, seconds: float, concurrency: int
    ) -> CallCounts:
        """Send calls for ``seconds``, ``concurrency`` at once; workers pause after a refusal."""
        counts = CallCounts(Counter(), Counter())
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds

        async def worker(number: int) -> None:
            node = nodes[number % len(nodes)]
            while loop.time() < end:
                response = await self.call(node, method, path)
                _count(counts, response)
                if response is None or response.status != 200:
                    await asyncio.sleep(REFUSAL_PAUSE_SECONDS)

        await asyncio.gather(*(worker(number) for number in range(concurrency)))
        return counts

    def close(self) -> None:
        """Close all connections."""
        self.client.close()


def _count(counts: CallCounts, response: HttpResponse | None) -> None:
    if response is None:
        counts.statuses['no response'] += 1
        return
    outcome = dict(response.headers).get(b'dunlinsaddle-outcome', b'').decode()
    counts.statuses[f'{response.status} {outcome}'] += 1
    if response.status == 200:
        counts.targets[msgspec.json.decode(response.body)['target']] += 1
