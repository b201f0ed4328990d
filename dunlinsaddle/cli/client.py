"""HTTP client of the command-line tool for a node's operators' listener."""

import asyncio
from typing import Any, NamedTuple
from urllib.parse import quote

import msgspec

from dunlinsaddle.admin import LISTENER_HEADER
from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.messages import Headers
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.cli.constants import REQUEST_TIMEOUT_SECONDS
from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.exit_status import ExitStatus
from dunlinsaddle.settings import Address

_EXIT_STATUSES = {
    401: ExitStatus.DENIED,
    404: ExitStatus.NOT_FOUND,
    409: ExitStatus.CONFLICT,
    422: ExitStatus.INVALID_RECORD,
    503: ExitStatus.UNAVAILABLE,
}


class NodeClient(NamedTuple):
    """Sends requests to one node. Every failure is raised as CommandError."""

    address: Address
    token: str
    listener_header: tuple[bytes, bytes] = LISTENER_HEADER
    listener_name: str = "operators'"  #: for error messages

    def get(self, path: str) -> Any:
        """Send a GET request and return the JSON document of the response."""
        return self._send('GET', path, b'')

    def post(self, path: str, value: object) -> Any:
        """Send a query whose parameters are a JSON document, and return the response."""
        return self.send('POST', path, value)

    def send(self, method: str, path: str, value: object) -> Any:
        """Send a JSON document and return the JSON document of the response."""
        return self._send(method, path, msgspec.json.encode(value))

    def _send(self, method: str, path: str, body: bytes) -> Any:
        headers: Headers = [(b'authorization', f'Bearer {self.token}'.encode())]
        path = quote(path, safe='/?=&')
        req = HttpRequest(method, path, headers, body, '')
        response = asyncio.run(self._exchange(req))
        if self.listener_header not in response.headers:
            raise CommandError(
                ExitStatus.UNAVAILABLE,
                f"{self.address} is not a node's {self.listener_name} listener; check --node",
            )
        return _parse_response(response)

    async def _exchange(self, req: HttpRequest) -> HttpResponse:
        client = HttpClient()
        exchange = await client.send(self.address, req, REQUEST_TIMEOUT_SECONDS)
        client.close()
        if isinstance(exchange, Answered):
            return exchange.response
        detail = exchange.detail
        raise CommandError(
            ExitStatus.UNAVAILABLE,
            f'no response from {self.address}: {detail}; check --node and that the node is running',
        )


def _parse_response(response: HttpResponse) -> Any:
    try:
        value = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        raise CommandError(
            ExitStatus.ERROR, f'status {response.status}: the response is not JSON'
        ) from None
    if response.status == 200:
        return value
    status = _EXIT_STATUSES.get(response.status, ExitStatus.ERROR)
    title = str(value.get('title', response.status)).rstrip('.')
    detail = value.get('detail', '')
    raise CommandError(status, f'{title}: {detail}' if detail else title)
