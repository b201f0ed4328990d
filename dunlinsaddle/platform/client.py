"""The object API over HTTP."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from dunlinsaddle.calls.client import Answered, HttpClient
from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.messages import Headers
from dunlinsaddle.platform.store import (
    WATCH_GRACE,
    Conflict,
    JsonValue,
    Listing,
    StoredObject,
    StoreError,
    Unavailable,
)
from dunlinsaddle.settings import Address

CALL_TIMEOUT = 5.0  #: a slow platform still serves; one that is away fails to connect sooner


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

    async def watch(
        self, kind: str, since: int, timeout: float, grace: float = WATCH_GRACE
    ) -> Result[Listing, Unavailable]:
        """Wait for something newer than ``since``."""
        path = f'/objects/{kind}?since={since}&timeout={timeout:g}'
        return _listing(await self._send('GET', path, timeout=timeout + grace))

    def _changed(
        self, result: Result[HttpResponse, Unavailable]
    ) -> Result[StoredObject, StoreError]:
        match result:
            case Ok(HttpResponse(status=200) as response):
                return _object(response)
            case Ok(HttpResponse(status=409, body=b'null')):
                return Err(Conflict(None))
            case Ok(HttpResponse(status=409) as response):
                return _object(response).and_then(lambda current: Err(Conflict(current)))
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


class _WireObject(msgspec.Struct):
    kind: str
    name: str
    version: int
    value: Any = None

    def plain(self) -> StoredObject:
        return StoredObject(self.kind, self.name, self.version, self.value)


class _WireListing(msgspec.Struct):
    objects: list[_WireObject]
    revision: int

    def plain(self) -> Listing:
        return Listing([held.plain() for held in self.objects], self.revision)


def _object(response: HttpResponse) -> Result[Any, Any]:
    return _decoded(response, _WireObject)


def _listing(result: Result[HttpResponse, Unavailable]) -> Result[Listing, Unavailable]:
    match result:
        case Ok(HttpResponse(status=200) as response):
            return _decoded(response, _WireListing)
        case other:
            return Err(_unavailable(other))


def _decoded(
    response: HttpResponse, shape: type[_WireObject] | type[_WireListing]
) -> Result[Any, Unavailable]:
    """Read an answer; one that cannot be read counts as no answer at all.

    An error page of a proxy or a body cut short must not end the loop that asked, and says
    nothing on whether a write took effect.
    """
    try:
        return Ok(msgspec.json.decode(response.body, type=shape).plain())
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        return Err(Unavailable(f'unreadable answer: {exc}'))


def _unavailable(result: Result[HttpResponse, Unavailable]) -> Unavailable:
    match result:
        case Ok(response):
            return Unavailable(f'status {response.status}')
        case Err(error):
            return error
