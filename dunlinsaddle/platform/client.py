"""HTTP client of the platform's object store."""

import asyncio
import math
from collections import Counter
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.platform.store import (
    ABSENT,
    WATCH_GRACE_SECONDS,
    Conflict,
    JsonValue,
    Listing,
    StoredObject,
    StoreError,
    StorePosition,
    Unavailable,
    position_to_version,
    version_to_position,
)
from dunlinsaddle.settings import Address

#: Long enough for a slow platform; connecting to one that is down fails sooner.
CALL_TIMEOUT_SECONDS = 5.0
MAX_WATCH_MS = 30_000  #: longest watch that the store allows
#: Sent with each response; its number is incremented whenever the store is restored from a backup.
EPOCH_HEADER = b'store-era'
MAX_EPOCH_DIGITS = 6  #: rejects absurd numbers, which could not be sent to peers
#: Responses with this status or above mean that the store did nothing; 410 answers a watch.
MIN_REFUSAL_STATUS = 410


class HttpObjectStore:
    """Reads and writes objects through the platform's HTTP API."""

    def __init__(
        self, address: Address, client: HttpClient, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        self.address = address
        self.client = client
        self.timeout = timeout
        self.calls = 0
        self.failures: Counter[str] = Counter()  #: failed calls by status or reason
        self.last_response_at = -math.inf  #: event loop time
        self.epoch = 0  #: highest epoch in any response

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, Unavailable]:
        """Read one object."""
        match await self._send('GET', _path(kind, name)):
            case Ok(HttpResponse(status=200) as response):
                return _decode_object(kind, response)
            case Ok(HttpResponse(status=404)):
                return Ok(None)
            case other:
                return Err(_unavailable(other))

    async def list(self, kind: str) -> Result[Listing, Unavailable]:
        """Read all objects of a kind."""
        return await self._list(kind, self.timeout)

    async def _list(self, kind: str, timeout: float) -> Result[Listing, Unavailable]:
        """Read page by page, each within ``timeout`` seconds.

        The version is that of the first page: a watch from there returns what changes while the
        other pages are read, or lists everything again if the store has been restored.
        """
        objects: list[StoredObject] = []
        version: int | None = None
        after = ''
        while True:
            query = '?' + urlencode({'after': after}) if after else ''
            match _decode_page(kind, await self._send('GET', _path(kind) + query, timeout=timeout)):
                case Err(error):
                    return Err(error)
                case Ok(page):
                    objects += page.objects
                    version = page.version if version is None else version
                    if not page.more or not page.objects:
                        return Ok(Listing(objects, version))
                    after = page.objects[-1].name

    async def put(
        self, kind: str, name: str, value: JsonValue, expected: int
    ) -> Result[StoredObject, StoreError]:
        """Write an object if its version is ``expected``."""
        meta = {'name': name}
        if expected == ABSENT:
            body = msgspec.json.encode({'metadata': meta, 'specification': value})
            return await self._write(kind, name, 'POST', _path(kind), body)
        position = version_to_position(expected)
        body = msgspec.json.encode(
            {'metadata': {**meta, 'revision': position.revision}, 'specification': value}
        )
        return await self._write(kind, name, 'PUT', _path(kind, name), body, position)

    async def delete(self, kind: str, name: str, expected: int) -> Result[StoredObject, StoreError]:
        """Delete an object if its version is ``expected``."""
        position = version_to_position(expected)
        path = f'{_path(kind, name)}?revision={position.revision}'
        match await self._write(kind, name, 'DELETE', path, b'', position):
            case Ok(stored):
                return Ok(stored._replace(value=None))
            case failed:
                return failed

    async def watch(
        self, kind: str, since: int, timeout: float, grace: float = WATCH_GRACE_SECONDS
    ) -> Result[Listing, Unavailable]:
        """Wait for changes after ``since``; list all if it is 0 or not in the history any more."""
        position = version_to_position(since)
        if since <= 0 or position.epoch < self.epoch:
            return await self._list(kind, timeout + grace)
        wait_ms = min(int(timeout * 1000), MAX_WATCH_MS)
        path = f'{_path(kind)}?watch={position.revision}&waitMs={wait_ms}'
        # A watch waits on purpose, so the client must not treat it as overdue and resend it.
        match await self._send('GET', path, timeout=timeout + grace, may_resend=False):
            case Ok(HttpResponse(status=200) as response) if (
                _read_epoch(response) == position.epoch
            ):
                return _decode_response(response, _Changes).map(
                    lambda c: c.to_listing(kind, position.epoch)
                )
            case Ok(HttpResponse(status=200 | 410)):
                # The revision is no longer in the history, or belongs to another epoch. There the
                # same number identifies other changes, and some would be missed.
                return await self._list(kind, timeout + grace)
            case other:
                return Err(_unavailable(other))

    async def _write(
        self,
        kind: str,
        name: str,
        method: str,
        path: str,
        body: bytes,
        expected: StorePosition | None = None,
    ) -> Result[StoredObject, StoreError]:
        if expected is not None and expected.epoch < self.epoch:
            # The revision may have been reused for a change of another writer.
            return await self._conflict(kind, name)
        match await self._send(method, path, body):
            case Ok(HttpResponse(status=200 | 201) as response):
                return _decode_object(kind, response)
            case Ok(HttpResponse(status=404)):
                return Err(Conflict(None))
            case Ok(HttpResponse(status=409)):
                return await self._conflict(kind, name)
            case other:
                return Err(_unavailable(other))

    async def _conflict(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        # Read the current object: the response to a create need not contain it.
        return (await self.get(kind, name)).and_then(lambda current: Err(Conflict(current)))

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout: float | None = None,
        *,
        may_resend: bool = True,
    ) -> Result[HttpResponse, Unavailable]:
        self.calls += 1
        headers = [(b'content-type', b'application/json')] if body else []
        req = HttpRequest(method, path, headers, body, '')
        allow_resend = _always_allow if method == 'GET' and may_resend else None
        exchange = await self.client.send(
            self.address, req, timeout or self.timeout, allow_resend=allow_resend
        )
        match exchange:
            case Answered(response):
                self.last_response_at = asyncio.get_running_loop().time()
                self.epoch = max(self.epoch, _read_epoch(response))
                if response.status >= MIN_REFUSAL_STATUS:
                    self.failures[str(response.status)] += 1
                return Ok(response)
            case failed:
                self.failures['no-answer'] += 1
                return Err(Unavailable(failed.detail))


def _always_allow() -> bool:
    return True


def _path(kind: str, name: str = '') -> str:
    path = f'/objects/{quote(kind, safe="")}'
    return f'{path}/{quote(name, safe="")}' if name else path


class _WireMeta(msgspec.Struct):
    name: str
    revision: int  #: of the object's last change


class _WireObject(msgspec.Struct):
    metadata: _WireMeta
    specification: Any = None

    def to_object(self, kind: str, epoch: int) -> StoredObject:
        version = position_to_version(StorePosition(epoch, self.metadata.revision))
        return StoredObject(kind, self.metadata.name, version, self.specification)


class _WirePage(msgspec.Struct, rename='camel'):
    items: list[msgspec.Raw]
    at_revision: int  #: of the whole store, not of the newest item
    more: bool = False


class _WireEvent(msgspec.Struct):
    object: msgspec.Raw
    removed: bool = False


class _Changes(msgspec.Struct, rename='camel'):
    events: list[_WireEvent]
    at_revision: int

    def to_listing(self, kind: str, epoch: int) -> Listing:
        objects = []
        for event in self.events:
            for stored in _decode_or_skip(kind, epoch, event.object):
                objects.append(stored._replace(value=None) if event.removed else stored)
        return Listing(objects, position_to_version(StorePosition(epoch, self.at_revision)))


class _Page(msgspec.Struct):
    objects: list[StoredObject]
    version: int
    more: bool


def _read_epoch(response: HttpResponse) -> int:
    """Return the epoch in a response, 0 if there is none."""
    value = dict(response.headers).get(EPOCH_HEADER, b'')
    return int(value) if value.isdigit() and len(value) <= MAX_EPOCH_DIGITS else 0


def _decode_or_skip(kind: str, epoch: int, raw: msgspec.Raw) -> list[StoredObject]:
    """Return the object, or nothing if invalid, so that one invalid object does not hide others."""
    try:
        return [msgspec.json.decode(raw, type=_WireObject).to_object(kind, epoch)]
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return []


def _decode_object(kind: str, response: HttpResponse) -> Result[Any, Any]:
    return _decode_response(response, _WireObject).map(
        lambda stored: stored.to_object(kind, _read_epoch(response))
    )


def _decode_page(
    kind: str, result: Result[HttpResponse, Unavailable]
) -> Result[_Page, Unavailable]:
    match result:
        case Ok(HttpResponse(status=200) as response):
            epoch = _read_epoch(response)
            return _decode_response(response, _WirePage).map(
                lambda page: _Page(
                    [stored for raw in page.items for stored in _decode_or_skip(kind, epoch, raw)],
                    position_to_version(StorePosition(epoch, page.at_revision)),
                    page.more,
                )
            )
        case other:
            return Err(_unavailable(other))


def _decode_response(response: HttpResponse, response_type: Any) -> Result[Any, Unavailable]:
    """Decode a response; one that cannot be decoded is treated as no response.

    An error page of a proxy or a truncated body must not end the caller's loop, and does not
    show whether a write took effect.
    """
    try:
        return Ok(msgspec.json.decode(response.body, type=response_type))
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        return Err(Unavailable(f'unreadable response: {exc}'))


def _unavailable(result: Result[HttpResponse, Unavailable]) -> Unavailable:
    match result:
        case Ok(response):
            return Unavailable(f'status {response.status}')
        case Err(error):
            return error
