"""Requests of the command-line tool to a node's operators' face."""

import asyncio
from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec

from dunlinsaddle.admin import LISTENER_HEADER
from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.messages import Headers
from dunlinsaddle.cli.constants import REQUEST_TIMEOUT_SECONDS
from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.exit_status import ExitStatus
from dunlinsaddle.settings import Address

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

    def post(self, path: str, value: object) -> Any:
        """Ask a question that needs a document."""
        return self.send('POST', path, value)

    def send(self, method: str, path: str, value: object) -> Any:
        """Send a JSON document; a failure ends the command."""
        return self._send(method, path, msgspec.json.encode(value))

    def _send(self, method: str, path: str, body: bytes) -> Any:
        headers: Headers = [(b'authorization', f'Bearer {self.token}'.encode())]
        path = quote(path, safe='/?=&')
        req = HttpRequest(method, path, headers, body, '')
        response = asyncio.run(self._exchange(req))
        if LISTENER_HEADER not in response.headers:
            raise CommandError(
                ExitStatus.UNAVAILABLE,
                f"{self.address} is not a node's operators' face; check --node",
            )
        return _read(response)

    async def _exchange(self, req: HttpRequest) -> HttpResponse:
        client = HttpClient()
        exchange = await client.send(self.address, req, REQUEST_TIMEOUT_SECONDS)
        client.close()
        if isinstance(exchange, Answered):
            return exchange.response
        detail = exchange.detail
        raise CommandError(
            ExitStatus.UNAVAILABLE,
            f'no answer from {self.address}: {detail}; check --node and that the node runs',
        )


def _read(response: HttpResponse) -> Any:
    try:
        value = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        raise CommandError(
            ExitStatus.ERROR, f'status {response.status}: the answer is not JSON'
        ) from None
    if response.status == 200:
        return value
    status = _STATUSES.get(response.status, ExitStatus.ERROR)
    title = str(value.get('title', response.status)).rstrip('.')
    detail = value.get('detail', '')
    raise CommandError(status, f'{title}: {detail}' if detail else title)
