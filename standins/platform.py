"""In-memory stand-in for the platform's object store, with injectable faults."""

import argparse
import asyncio
from typing import Any, NamedTuple, TypedDict
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse, json_response
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.settings import Address, parse_address

MAX_VALUE_BYTES = 1 << 20
MAX_PAGE_ITEMS = 500
#: Revisions used by other writers between saving and restoring a copy, which are then reused.
REUSED_REVISIONS = 20
WRITE_METHODS = ('POST', 'PUT', 'DELETE')
FIRST_REVISION = 1  #: of an empty store


class Faults(TypedDict, total=False):
    """Faults of the store, set by ``POST /faults``."""

    down: bool  #: requests get no response, now or later
    forgets_watches: bool  #: watches that wait during a restore get no response
    busy: bool  #: every request is refused with 503
    over_rate: bool  #: every request is refused with 429
    delay: float  #: seconds before each response
    lose_answers: int  #: number of writes that take effect but get no response
    act_late: float  #: seconds until writes take effect; they get no response
    refused_hosts: list[str]  #: hosts whose requests are refused with 503
    page: int  #: items per page of a listing
    no_history: bool  #: every watch is refused with 410


class WatchEvent(TypedDict):
    """A change, as returned by a watch."""

    object: dict[str, Any]
    removed: bool


class StoreCopy(NamedTuple):
    """A copy of all objects and of the revision."""

    objects: dict[tuple[str, str], dict[str, Any]]
    revision: int


#: Of a store that holds nothing.
EMPTY_COPY = StoreCopy({}, FIRST_REVISION)


class Platform:
    """Objects by kind and name, with one revision counter for all of them."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.revision = FIRST_REVISION
        self.epoch = 0  #: increases with each restore; sent in every response
        self.events: list[tuple[str, WatchEvent]] = []
        self.oldest_revision = FIRST_REVISION  #: oldest revision from which a watch can start
        self.change_event = asyncio.Event()
        self.faults = Faults()
        self.read_count = 0
        self.write_count = 0
        self.saved_copy = self.copy()  #: restored by ``POST /return``
        self._delayed_writes: set[asyncio.Task[None]] = set()

    def forget_history(self) -> None:
        """Drop all past changes, so that watches from an earlier revision get 410."""
        self.events.clear()
        self.oldest_revision = self.revision

    def copy(self) -> StoreCopy:
        """Copy the current state. The copy is shallow, as objects are never modified in place."""
        return StoreCopy(dict(self.objects), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Restore a copy: later writes are lost, and their revisions are assigned again."""
        self.objects = dict(copy.objects)
        self.revision = copy.revision
        self.oldest_revision = min(self.oldest_revision, copy.revision)
        self.events = [e for e in self.events if _event_revision(e) <= copy.revision]
        self.epoch += 1
        self._wake_watchers()

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle one request."""
        response = await self._dispatch(req)
        if self.faults.get('down') and req.path.startswith('/objects/'):
            await _never_respond()
        response.headers.append((b'store-era', str(self.epoch).encode()))
        return response

    async def _dispatch(self, req: HttpRequest) -> HttpResponse:
        if req.path == '/faults':
            self.faults = msgspec.json.decode(req.body, type=Faults)
            return json_response(self.faults)
        if req.path == '/keep':
            self.saved_copy = self.copy()
            self.revision += REUSED_REVISIONS
            return json_response({'revision': self.saved_copy.revision})
        if req.path == '/return':
            self.restore(self.saved_copy)
            return json_response({'era': self.epoch})
        if req.path == '/counts':
            return json_response({'reads': self.read_count, 'writes': self.write_count})
        if self.faults.get('down'):
            await _never_respond()
        if self.faults.get('busy') or req.remote in self.faults.get('refused_hosts', []):
            return json_response({'error': 'busy'}, 503)
        if self.faults.get('over_rate'):
            return json_response({'error': 'rate limit exceeded'}, 429)
        await asyncio.sleep(self.faults.get('delay', 0.0))
        if req.method in WRITE_METHODS:
            return await self._handle_write(req)
        return await self._handle_read(req)

    async def _handle_read(self, req: HttpRequest) -> HttpResponse:
        url = urlsplit(req.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.read_count += 1
        match (req.method, *_path_segments(url.path)):
            case ('GET', 'objects', kind) if 'watch' in query:
                wait_seconds = int(query.get('waitMs', '0')) / 1000
                return await self._watch(kind, int(query['watch']), wait_seconds)
            case ('GET', 'objects', kind):
                return self._list(kind, query.get('after', ''))
            case ('GET', 'objects', kind, name):
                stored = self.objects.get((kind, name))
                return json_response(stored) if stored else json_response(None, 404)
        return json_response({'error': 'no such path'}, 404)

    async def _handle_write(self, req: HttpRequest) -> HttpResponse:
        self.write_count += 1
        delay_seconds = self.faults.get('act_late', 0.0)
        if delay_seconds:
            task = asyncio.create_task(self._write_delayed(req, delay_seconds))
            self._delayed_writes.add(task)
            task.add_done_callback(self._delayed_writes.discard)
            await _never_respond()
        response = self._write(req)
        if self.faults.get('lose_answers', 0) > 0:
            self.faults['lose_answers'] -= 1
            await _never_respond()
        return response

    async def _write_delayed(self, req: HttpRequest, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self._write(req)

    def _list(self, kind: str, after: str) -> HttpResponse:
        names = sorted(name for k, name in self.objects if k == kind and name > after)
        page = names[: self.faults.get('page', MAX_PAGE_ITEMS)]
        items = [self.objects[kind, name] for name in page]
        has_more = len(page) < len(names)
        return json_response({'items': items, 'more': has_more, 'atRevision': self.revision})

    async def _watch(self, kind: str, since: int, wait_seconds: float) -> HttpResponse:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        epoch = self.epoch
        while (
            self.epoch == epoch and self._has_history(since) and not self._events_since(kind, since)
        ):
            try:
                async with asyncio.timeout_at(deadline):
                    await self.change_event.wait()
            except TimeoutError:
                break
        if self.epoch != epoch:
            if self.faults.get('forgets_watches'):
                await _never_respond()
            return json_response({'error': 'watch interrupted'}, 503)
        if not self._has_history(since):
            return json_response({'error': 'history no longer available'}, 410)
        events = self._events_since(kind, since)
        return json_response({'events': events, 'atRevision': self.revision})

    def _has_history(self, revision: int) -> bool:
        has_revision = self.oldest_revision <= revision <= self.revision
        return has_revision and not self.faults.get('no_history')

    def _events_since(self, kind: str, since: int) -> list[WatchEvent]:
        return [e[1] for e in self.events if e[0] == kind and _event_revision(e) > since]

    def _write(self, req: HttpRequest) -> HttpResponse:
        url = urlsplit(req.path)
        if len(req.body) > MAX_VALUE_BYTES:
            return json_response({'error': 'value too large'}, 413)
        body = msgspec.json.decode(req.body) if req.body else {}
        match (req.method, *_path_segments(url.path)):
            case ('POST', 'objects', kind):
                return self._create(kind, body)
            case ('PUT', 'objects', kind, name):
                return self._replace(kind, name, 'specification', body)
            case ('PUT', 'objects', kind, name, 'status'):
                return self._replace(kind, name, 'status', body)
            case ('DELETE', 'objects', kind, name):
                query = parse_qs(url.query)
                revision = query.get('revision')
                return self._delete(kind, name, int(revision[0]) if revision else None)
        return json_response({'error': 'no such path'}, 404)

    def _create(self, kind: str, body: dict[str, Any]) -> HttpResponse:
        name = body['metadata']['name']
        stored = self.objects.get((kind, name))
        if stored is not None:
            return json_response(stored, 409)
        meta = {'name': name, 'created': self.revision + 1, 'finalizers': [], 'deleting': False}
        fields = {'metadata': meta, 'specification': body.get('specification'), 'status': None}
        return self._store(kind, fields)

    def _replace(self, kind: str, name: str, field: str, body: dict[str, Any]) -> HttpResponse:
        stored = self.objects.get((kind, name))
        if stored is None:
            return json_response(None, 404)
        revision = body.get('metadata', {}).get('revision')
        if revision is not None and revision != stored['metadata']['revision']:
            return json_response(stored, 409)
        if stored[field] == body.get(field):
            return json_response(stored)
        return self._store(kind, {**stored, field: body.get(field)})

    def _delete(self, kind: str, name: str, revision: int | None) -> HttpResponse:
        stored = self.objects.get((kind, name))
        if stored is None:
            return json_response(None, 404)
        if revision is not None and revision != stored['metadata']['revision']:
            return json_response(stored, 409)
        del self.objects[kind, name]
        return json_response(self._record_change(kind, stored, removed=True))

    def _store(self, kind: str, fields: dict[str, Any]) -> HttpResponse:
        stored = self._record_change(kind, fields, removed=False)
        self.objects[kind, stored['metadata']['name']] = stored
        return json_response(stored)

    def _record_change(self, kind: str, stored: dict[str, Any], *, removed: bool) -> dict[str, Any]:
        self.revision += 1
        stored = {**stored, 'metadata': {**stored['metadata'], 'revision': self.revision}}
        self.events.append((kind, WatchEvent(object=stored, removed=removed)))
        self._wake_watchers()
        return stored

    def _wake_watchers(self) -> None:
        """Wake all current watchers, so that each checks for new events."""
        self.change_event.set()
        self.change_event = asyncio.Event()


async def _never_respond() -> None:
    await asyncio.Event().wait()


def _event_revision(entry: tuple[str, WatchEvent]) -> int:
    return int(entry[1]['object']['metadata']['revision'])


def _path_segments(path: str) -> list[str]:
    return [unquote(part) for part in path.strip('/').split('/')]


async def serve(address: Address) -> None:
    """Print the address, and serve until cancelled."""
    listener = HttpListener(Platform().handle, HttpLimits(max_body_bytes=MAX_VALUE_BYTES))
    print(await listener.listen(address), flush=True)  # noqa: T201
    await asyncio.Event().wait()


def main() -> None:
    """Run the store as a process."""
    parser = argparse.ArgumentParser(description="Stand-in for the platform's object store.")
    parser.add_argument('--listen', default='127.0.0.1:0', type=parse_address)
    args = parser.parse_args()
    asyncio.run(serve(args.listen))


if __name__ == '__main__':
    main()
