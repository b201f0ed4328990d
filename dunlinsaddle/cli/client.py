"""Requests of the command-line tool to a node's operators' face."""

import asyncio
from typing import Any, NamedTuple

import msgspec

from dunlinsaddle.calls.client import Answered, HttpClient
from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.messages import Headers
from dunlinsaddle.cli.constants import REQUEST_TIMEOUT
from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.settings import Address
from dunlinsaddle.status import ExitStatus

_STATUSES = {
    401: ExitStatus.DENIED,
    404: ExitStatus.NOT_FOUND,
    409: ExitStatus.CONFLICT,
    422: ExitStatus.INVALID_RECORD,
    503: ExitStatus.UNAVAILABLE,
}


class NodeClient(NamedTuple):
    """Where the node is, and the token to show it."""

    address: Address
    token: str

    def get(self, path: str) -> Any:
        """Read a JSON document."""
        return self._send('GET', path, b'')

    def put(self, path: str, value: object) -> Any:
        """Write a JSON document."""
        return self._send('PUT', path, msgspec.json.encode(value))

    def post(self, path: str, value: object) -> Any:
        """Ask a question that needs a document."""
        return self._send('POST', path, msgspec.json.encode(value))

    def _send(self, method: str, path: str, body: bytes) -> Any:
        headers: Headers = [(b'authorization', f'Bearer {self.token}'.encode())]
        req = HttpRequest(method, path, headers, body, '')
        return _read(asyncio.run(self._exchange(req)))

    async def _exchange(self, req: HttpRequest) -> HttpResponse:
        client = HttpClient()
        exchange = await client.send(self.address, req, REQUEST_TIMEOUT)
        client.close()
        if isinstance(exchange, Answered):
            return exchange.response
        detail = exchange.detail
        raise CommandError(
            ExitStatus.UNAVAILABLE,
            f'no answer from a node: {detail}; check --node and that the node runs',
        )


def _read(response: HttpResponse) -> Any:
    try:
        value = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        raise CommandError(
            ExitStatus.ERROR, f'status {response.status}: not the face for operators'
        ) from None
    if response.status == 200:
        return value
    status = _STATUSES.get(response.status, ExitStatus.ERROR)
    title = str(value.get('title', response.status)).rstrip('.')
    detail = value.get('detail', '')
    raise CommandError(status, f'{title}: {detail}' if detail else title)
