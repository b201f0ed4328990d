"""The one client of the platform's object store, which speaks its published protocol."""

import asyncio
import math
from collections import Counter
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result

from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpRequest, HttpResponse
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

#: A slow platform still answers within it; connections to one that is down fail sooner.
CALL_TIMEOUT_SECONDS = 5.0
MAX_WATCH_MS = 30_000  #: the longest watch that the store allows
EPOCH_HEADER = b'store-era'  #: of each answer; rises each time the store returns from a copy
MAX_EPOCH_DIGITS = 6  #: a bound against absurd numbers, which no peer could be told
MIN_REFUSAL_STATUS = 410  #: from here on a status says that the store did nothing; 410 is a watch's


class HttpObjectStore:
    """Reads and writes objects through the platform's HTTP API."""

    def __init__(
        self, address: Address, client: HttpClient, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        self.address = address
        self.client = client
        self.timeout = timeout
        self.calls = 0
        self.failures: Counter[str] = Counter()  #: calls without a usable answer, by why
        self.last_response_at = -math.inf  #: time of the loop of the latest answer
        self.epoch = 0  #: the latest that an answer told

    async def get(self, kind: str, name: str) -> Result[StoredObject | None, Unavailable]:
        """Read one object."""
        match await self._send('GET', _path(kind, name)):
            case Ok(HttpResponse(status=200) as response):
                return _object(kind, response)
            case Ok(HttpResponse(status=404)):
                return Ok(None)
            case other:
                return Err(_unavailable(other))

    async def list(self, kind: str) -> Result[Listing, Unavailable]:
        """Read all objects of a kind."""
        return await self._list(kind, self.timeout)

    async def _list(self, kind: str, timeout: float) -> Result[Listing, Unavailable]:
        """Read page by page, each within ``timeout`` seconds.

        The version is that of the first page: what changes while the others are read is
        news to a watch that starts there, which lists anew if the store came back from a copy.
        """
        objects: list[StoredObject] = []
        version: int | None = None
        after = ''
        while True:
            query = '?' + urlencode({'after': after}) if after else ''
            match _page(kind, await self._send('GET', _path(kind) + query, timeout=timeout)):
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
        """Write on the condition that the version is ``expected``."""
        meta = {'name': name}
        if expected == ABSENT:
            body = msgspec.json.encode({'metadata': meta, 'specification': value})
            return await self._changed(kind, name, 'POST', _path(kind), body)
        position = version_to_position(expected)
        body = msgspec.json.encode(
            {'metadata': {**meta, 'revision': position.revision}, 'specification': value}
        )
        return await self._changed(kind, name, 'PUT', _path(kind, name), body, position)

    async def delete(self, kind: str, name: str, expected: int) -> Result[StoredObject, StoreError]:
        """Delete on the condition that the version is ``expected``."""
        position = version_to_position(expected)
        path = f'{_path(kind, name)}?revision={position.revision}'
        match await self._changed(kind, name, 'DELETE', path, b'', position):
            case Ok(held):
                return Ok(held._replace(value=None))
            case failed:
                return failed

    async def watch(
        self, kind: str, since: int, timeout: float, grace: float = WATCH_GRACE_SECONDS
    ) -> Result[Listing, Unavailable]:
        """Wait for something newer than ``since``; 0 and a forgotten past read all anew."""
        position = version_to_position(since)
        if since <= 0 or position.epoch < self.epoch:
            return await self._list(kind, timeout + grace)
        wait_ms = min(int(timeout * 1000), MAX_WATCH_MS)
        path = f'{_path(kind)}?watch={position.revision}&waitMs={wait_ms}'
        # It waits long on purpose: it must not be taken for overdue and sent once more.
        match await self._send('GET', path, timeout=timeout + grace, repeats=False):
            case Ok(HttpResponse(status=200) as response) if _epoch(response) == position.epoch:
                return _decoded(response, _Changes).map(lambda c: c.plain(kind, position.epoch))
            case Ok(HttpResponse(status=200 | 410)):
                # Not in the history, or of another epoch, in which the same revision stands for
                # other changes and would hide some.
                return await self._list(kind, timeout + grace)
            case other:
                return Err(_unavailable(other))

    async def _changed(
        self,
        kind: str,
        name: str,
        method: str,
        path: str,
        body: bytes,
        expected: StorePosition | None = None,
    ) -> Result[StoredObject, StoreError]:
        if expected is not None and expected.epoch < self.epoch:
            # Its revision may have been given out again, to another writer's change.
            return await self._conflict(kind, name)
        match await self._send(method, path, body):
            case Ok(HttpResponse(status=200 | 201) as response):
                return _object(kind, response)
            case Ok(HttpResponse(status=404)):
                return Err(Conflict(None))
            case Ok(HttpResponse(status=409)):
                return await self._conflict(kind, name)
            case other:
                return Err(_unavailable(other))

    async def _conflict(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        # What stands there is read anew: the answer to a create need not hold it.
        return (await self.get(kind, name)).and_then(lambda current: Err(Conflict(current)))

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        timeout: float | None = None,
        *,
        repeats: bool = True,
    ) -> Result[HttpResponse, Unavailable]:
        self.calls += 1
        headers = [(b'content-type', b'application/json')] if body else []
        req = HttpRequest(method, path, headers, body, '')
        again = _once_more if method == 'GET' and repeats else None
        exchange = await self.client.send(
            self.address, req, timeout or self.timeout, allow_resend=again
        )
        match exchange:
            case Answered(response):
                self.last_response_at = asyncio.get_running_loop().time()
                self.epoch = max(self.epoch, _epoch(response))
                if response.status >= MIN_REFUSAL_STATUS:
                    self.failures[str(response.status)] += 1
                return Ok(response)
            case failed:
                self.failures['no-answer'] += 1
                return Err(Unavailable(failed.detail))


def _once_more() -> bool:
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

    def plain(self, kind: str, epoch: int) -> StoredObject:
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

    def plain(self, kind: str, epoch: int) -> Listing:
        objects = []
        for event in self.events:
            for held in _readable(kind, epoch, event.object):
                objects.append(held._replace(value=None) if event.removed else held)
        return Listing(objects, position_to_version(StorePosition(epoch, self.at_revision)))


class _Page(msgspec.Struct):
    objects: list[StoredObject]
    version: int
    more: bool


def _epoch(response: HttpResponse) -> int:
    """Read the epoch of an answer, 0 where it tells none."""
    told = dict(response.headers).get(EPOCH_HEADER, b'')
    return int(told) if told.isdigit() and len(told) <= MAX_EPOCH_DIGITS else 0


def _readable(kind: str, epoch: int, raw: msgspec.Raw) -> list[StoredObject]:
    """Give the object, or nothing: one that another writer spoiled must not hide the rest."""
    try:
        return [msgspec.json.decode(raw, type=_WireObject).plain(kind, epoch)]
    except (msgspec.MsgspecError, UnicodeError, RecursionError):
        return []


def _object(kind: str, response: HttpResponse) -> Result[Any, Any]:
    return _decoded(response, _WireObject).map(lambda held: held.plain(kind, _epoch(response)))


def _page(kind: str, result: Result[HttpResponse, Unavailable]) -> Result[_Page, Unavailable]:
    match result:
        case Ok(HttpResponse(status=200) as response):
            epoch = _epoch(response)
            return _decoded(response, _WirePage).map(
                lambda page: _Page(
                    [held for raw in page.items for held in _readable(kind, epoch, raw)],
                    position_to_version(StorePosition(epoch, page.at_revision)),
                    page.more,
                )
            )
        case other:
            return Err(_unavailable(other))


def _decoded(response: HttpResponse, shape: Any) -> Result[Any, Unavailable]:
    """Read an answer; one that cannot be read counts as no answer at all.

    An error page of a proxy or a body cut short must not end the loop that asked, and says
    nothing on whether a write took effect.
    """
    try:
        return Ok(msgspec.json.decode(response.body, type=shape))
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        return Err(Unavailable(f'unreadable answer: {exc}'))


def _unavailable(result: Result[HttpResponse, Unavailable]) -> Unavailable:
    match result:
        case Ok(response):
            return Unavailable(f'status {response.status}')
        case Err(error):
            return error
