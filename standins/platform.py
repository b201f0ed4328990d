"""The platform's object store in memory, with outages, slowness and lost answers at will."""

import argparse
import asyncio
from typing import Any, NamedTuple, TypedDict
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse, json_response
from dunlinsaddle.calls.listener import HttpListener
from dunlinsaddle.settings import Address, parse_address

MAX_VALUE_BYTES = 1 << 20
MAX_PAGE_ITEMS = 500
#: Revisions used by other writers between saving and restoring a copy, which are then reused.
REUSED_REVISIONS = 20
WRITE_METHODS = ('POST', 'PUT', 'DELETE')


class Faults(TypedDict, total=False):
    """What goes wrong, as ``POST /faults`` sets it."""

    down: bool  #: no answer at all
    busy: bool  #: 503 to everything: nothing was done
    over_rate: bool  #: 429 to everything
    delay: float  #: seconds before each answer
    lose_answers: int  #: so many writes take effect, and their answers get lost
    act_late: float  #: seconds after which writes are done, and their answers get lost
    refused_hosts: list[str]  #: callers that get 503, while others are served
    page: int  #: items in one page of a listing
    no_history: bool  #: 410 to every watch


class WatchEvent(TypedDict):
    """One change, as a watch gives it."""

    object: dict[str, Any]
    removed: bool


class StoreCopy(NamedTuple):
    """What the store held at some moment."""

    objects: dict[tuple[str, str], dict[str, Any]]
    revision: int


class Platform:
    """Objects by kind and name, with one counter of revisions for all of them."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.revision = 1
        self.epoch = 0  #: rises when the store comes back from a copy; told in every answer
        self.events: list[tuple[str, WatchEvent]] = []
        self.oldest_revision = 1  #: revision from which on the history is still held
        self.change_event = asyncio.Event()
        self.faults = Faults()
        self.read_count = 0
        self.write_count = 0
        self.saved_copy = self.copy()  #: what it returns from when it is told to
        self._delayed_writes: set[asyncio.Task[None]] = set()

    def forget_history(self) -> None:
        """Drop all changes so far: watches from before get 410."""
        self.events.clear()
        self.oldest_revision = self.revision

    def copy(self) -> StoreCopy:
        """Give what is held now. Objects are replaced, never changed in place."""
        return StoreCopy(dict(self.objects), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is gone, and its revisions are reused."""
        self.objects = dict(copy.objects)
        self.revision = copy.revision
        self.oldest_revision = min(self.oldest_revision, copy.revision)
        self.events = [e for e in self.events if _event_revision(e) <= copy.revision]
        self.epoch += 1
        self._wake_watchers()

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one request."""
        response = await self._answer(req)
        response.headers.append((b'store-era', str(self.epoch).encode()))
        return response

    async def _answer(self, req: HttpRequest) -> HttpResponse:
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
            await asyncio.sleep(3600)
        if self.faults.get('busy') or req.remote in self.faults.get('refused_hosts', []):
            return json_response({'error': 'busy'}, 503)
        if self.faults.get('over_rate'):
            return json_response({'error': 'over the rate'}, 429)
        await asyncio.sleep(self.faults.get('delay', 0.0))
        if req.method in WRITE_METHODS:
            return await self._answer_write(req)
        return await self._answer_read(req)

    async def _answer_read(self, req: HttpRequest) -> HttpResponse:
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

    async def _answer_write(self, req: HttpRequest) -> HttpResponse:
        self.write_count += 1
        delay_seconds = self.faults.get('act_late', 0.0)
        if delay_seconds:
            task = asyncio.create_task(self._write_delayed(req, delay_seconds))
            self._delayed_writes.add(task)
            task.add_done_callback(self._delayed_writes.discard)
            await asyncio.sleep(3600)
        response = self._write(req)
        if self.faults.get('lose_answers', 0) > 0:
            self.faults['lose_answers'] -= 1
            await asyncio.sleep(3600)
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
            return json_response({'error': 'cut off'}, 503)
        if not self._has_history(since):
            return json_response({'error': 'this history is gone'}, 410)
        events = self._events_since(kind, since)
        return json_response({'events': events, 'atRevision': self.revision})

    def _has_history(self, revision: int) -> bool:
        known = self.oldest_revision <= revision <= self.revision
        return known and not self.faults.get('no_history')

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
        """Wake all that wait now; each of them looks again for what it waits for."""
        self.change_event.set()
        self.change_event = asyncio.Event()


def _event_revision(entry: tuple[str, WatchEvent]) -> int:
    return int(entry[1]['object']['metadata']['revision'])


def _path_segments(path: str) -> list[str]:
    return [unquote(part) for part in path.strip('/').split('/')]


async def serve(address: Address) -> None:
    """Serve until cancelled; prints the address first."""
    listener = HttpListener(Platform().handle, HttpLimits(max_body_bytes=MAX_VALUE_BYTES))
    print(await listener.listen(address), flush=True)  # noqa: T201
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description='Stand-in for the platform.')
    parser.add_argument('--listen', default='127.0.0.1:0', type=parse_address)
    args = parser.parse_args()
    asyncio.run(serve(args.listen))


if __name__ == '__main__':
    main()
