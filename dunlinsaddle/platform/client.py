"""The object API over HTTP."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from dunlinsaddle.calls.client import Answered, HttpClient
from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.messages import Headers
from dunlinsaddle.platform.store import (
    Conflict,
    JsonValue,
    Listing,
    StoredObject,
    StoreError,
    Unavailable,
)
from dunlinsaddle.settings import Address

CALL_TIMEOUT = 2.0
WATCH_GRACE = 2.0


class HttpObjectStore:
    """Reads and writes objects through the platform's HTTP API."""

    def __init__(self, address: Address, client: HttpClient, timeout: float = CALL_TIMEOUT) -> None:
        self.address = address
        self.client = client
        self.timeout = timeout
        self.calls = 0

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, Unavailable]:
        """Read one object."""
        match await self._send('GET', f'/objects/{kind}/{name}'):
            case Ok(HttpResponse(status=200) as response):
                return _object(response)
            case Ok(HttpResponse(status=404)):
                return Ok(None)
            case other:
                return Err(_unavailable(other))

    async def list(self, kind: str) -> Result[Listing, Unavailable]:
        """Read all objects of a kind."""
        return _listing(await self._send('GET', f'/objects/{kind}'))

    async def put(
        self, kind: str, name: str, value: JsonValue, expected: int
    ) -> Result[StoredObject, StoreError]:
        """Write on the condition that the version is ``expected``."""
        body = msgspec.json.encode(value)
        return self._changed(await self._send('PUT', f'/objects/{kind}/{name}', body, expected))

    async def delete(self, kind: str, name: str, expected: int) -> Result[StoredObject, StoreError]:
        """Delete on the condition that the version is ``expected``."""
        path = f'/objects/{kind}/{name}'
        return self._changed(await self._send('DELETE', path, b'', expected))

    async def watch(self, kind: str, since: int, timeout: float) -> Result[Listing, Unavailable]:
        """Wait for something newer than ``since``."""
        path = f'/objects/{kind}?since={since}&timeout={timeout:g}'
        return _listing(await self._send('GET', path, timeout=timeout + WATCH_GRACE))

    def _changed(
        self, result: Result[HttpResponse, Unavailable]
    ) -> Result[StoredObject, StoreError]:
        match result:
            case Ok(HttpResponse(status=200) as response):
                return _object(response)
            case Ok(HttpResponse(status=409) as response):
                current = msgspec.json.decode(response.body)
                return Err(Conflict(_typed(current) if current else None))
            case other:
                return Err(_unavailable(other))

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        expected: int | None = None,
        timeout: float | None = None,
    ) -> Result[HttpResponse, Unavailable]:
        self.calls += 1
        headers: Headers = []
        if expected is not None:
            headers.append((b'if-match', str(expected).encode()))
        req = HttpRequest(method, path, headers, body, '')
        # A watch waits long on purpose: it must not be taken for overdue.
        again = _once_more if method == 'GET' and timeout is None else None
        exchange = await self.client.send(
            self.address, req, timeout or self.timeout, may_repeat=again
        )
        match exchange:
            case Answered(response):
                return Ok(response)
            case failed:
                return Err(Unavailable(failed.detail))


def _once_more() -> bool:
    return True


def _typed(raw: Any) -> StoredObject:
    return StoredObject(raw['kind'], raw['name'], raw['version'], raw['value'])


def _object(response: HttpResponse) -> Result[Any, Any]:
    try:
        return Ok(_typed(msgspec.json.decode(response.body)))
    except (msgspec.MsgspecError, KeyError, TypeError) as exc:
        return Err(Unavailable(f'unreadable answer: {exc}'))


def _listing(result: Result[HttpResponse, Unavailable]) -> Result[Listing, Unavailable]:
    match result:
        case Ok(HttpResponse(status=200) as response):
            try:
                raw = msgspec.json.decode(response.body)
                return Ok(Listing([_typed(o) for o in raw['objects']], raw['revision']))
            except (msgspec.MsgspecError, KeyError, TypeError) as exc:
                return Err(Unavailable(f'unreadable answer: {exc}'))
        case other:
            return Err(_unavailable(other))


def _unavailable(result: Result[HttpResponse, Unavailable]) -> Unavailable:
    match result:
        case Ok(response):
            return Unavailable(f'status {response.status}')
        case Err(error):
            return error
