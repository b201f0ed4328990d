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
PAGE_ITEMS = 500
OTHERS_WRITES = 20  #: changes by others after a copy is kept, whose revisions it gives out again
WRITES = ('POST', 'PUT', 'DELETE')


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


class Event(TypedDict):
    """One change, as a watch gives it."""

    object: dict[str, Any]
    removed: bool


class Copy(NamedTuple):
    """What the store held at some moment."""

    objects: dict[tuple[str, str], dict[str, Any]]
    revision: int


class Platform:
    """Objects by kind and name, with one counter of revisions for all of them."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.revision = 1
        self.era = 0  #: rises when the store comes back from a copy; told in every answer
        self.events: list[tuple[str, Event]] = []
        self.oldest = 1  #: revision from which on the history is still held
        self.changed = asyncio.Event()
        self.faults = Faults()
        self.reads = 0
        self.writes = 0
        self.kept = self.copy()  #: what it returns from when it is told to
        self._late: set[asyncio.Task[None]] = set()

    def forget_history(self) -> None:
        """Drop all changes so far: watches from before get 410."""
        self.events.clear()
        self.oldest = self.revision

    def copy(self) -> Copy:
        """Give what is held now. Objects are replaced, never changed in place."""
        return Copy(dict(self.objects), self.revision)

    def restore(self, copy: Copy) -> None:
        """Come back from a copy: what was written since is gone, and its revisions are reused."""
        self.objects = dict(copy.objects)
        self.revision = copy.revision
        self.oldest = min(self.oldest, copy.revision)
        self.events = [e for e in self.events if _revision_of(e) <= copy.revision]
        self.era += 1
        self._wake()

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one request."""
        response = await self._answer(req)
        response.headers.append((b'store-era', str(self.era).encode()))
        return response

    async def _answer(self, req: HttpRequest) -> HttpResponse:
        if req.path == '/faults':
            self.faults = msgspec.json.decode(req.body, type=Faults)
            return json_response(self.faults)
        if req.path == '/keep':
            self.kept = self.copy()
            self.revision += OTHERS_WRITES
            return json_response({'revision': self.kept.revision})
        if req.path == '/return':
            self.restore(self.kept)
            return json_response({'era': self.era})
        if req.path == '/counts':
            return json_response({'reads': self.reads, 'writes': self.writes})
        if self.faults.get('down'):
            await asyncio.sleep(3600)
        if self.faults.get('busy') or req.remote in self.faults.get('refused_hosts', []):
            return json_response({'error': 'busy'}, 503)
        if self.faults.get('over_rate'):
            return json_response({'error': 'over the rate'}, 429)
        await asyncio.sleep(self.faults.get('delay', 0.0))
        if req.method in WRITES:
            return await self._answer_write(req)
        return await self._answer_read(req)

    async def _answer_read(self, req: HttpRequest) -> HttpResponse:
        url = urlsplit(req.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.reads += 1
        match (req.method, *_parts(url.path)):
            case ('GET', 'objects', kind) if 'watch' in query:
                wait = int(query.get('waitMs', '0')) / 1000
                return await self._watch(kind, int(query['watch']), wait)
            case ('GET', 'objects', kind):
                return self._list(kind, query.get('after', ''))
            case ('GET', 'objects', kind, name):
                held = self.objects.get((kind, name))
                return json_response(held) if held else json_response(None, 404)
        return json_response({'error': 'no such path'}, 404)

    async def _answer_write(self, req: HttpRequest) -> HttpResponse:
        self.writes += 1
        late = self.faults.get('act_late', 0.0)
        if late:
            task = asyncio.create_task(self._write_late(req, late))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(3600)
        response = self._write(req)
        if self.faults.get('lose_answers', 0) > 0:
            self.faults['lose_answers'] -= 1
            await asyncio.sleep(3600)
        return response

    async def _write_late(self, req: HttpRequest, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self._write(req)

    def _list(self, kind: str, after: str) -> HttpResponse:
        names = sorted(name for k, name in self.objects if k == kind and name > after)
        page = names[: self.faults.get('page', PAGE_ITEMS)]
        items = [self.objects[kind, name] for name in page]
        more = len(page) < len(names)
        return json_response({'items': items, 'more': more, 'atRevision': self.revision})

    async def _watch(self, kind: str, since: int, wait: float) -> HttpResponse:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        era = self.era
        while self.era == era and self._has(since) and not self._since(kind, since):
            try:
                async with asyncio.timeout_at(deadline):
                    await self.changed.wait()
            except TimeoutError:
                break
        if self.era != era:
            return json_response({'error': 'cut off'}, 503)
        if not self._has(since):
            return json_response({'error': 'this history is gone'}, 410)
        events = self._since(kind, since)
        return json_response({'events': events, 'atRevision': self.revision})

    def _has(self, revision: int) -> bool:
        known = self.oldest <= revision <= self.revision
        return known and not self.faults.get('no_history')

    def _since(self, kind: str, since: int) -> list[Event]:
        return [e[1] for e in self.events if e[0] == kind and _revision_of(e) > since]

    def _write(self, req: HttpRequest) -> HttpResponse:
        url = urlsplit(req.path)
        if len(req.body) > MAX_VALUE_BYTES:
            return json_response({'error': 'value too large'}, 413)
        body = msgspec.json.decode(req.body) if req.body else {}
        match (req.method, *_parts(url.path)):
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
        held = self.objects.get((kind, name))
        if held is not None:
            return json_response(held, 409)
        meta = {'name': name, 'created': self.revision + 1, 'finalizers': [], 'deleting': False}
        fields = {'metadata': meta, 'specification': body.get('specification'), 'status': None}
        return self._store(kind, fields)

    def _replace(self, kind: str, name: str, field: str, body: dict[str, Any]) -> HttpResponse:
        held = self.objects.get((kind, name))
        if held is None:
            return json_response(None, 404)
        revision = body.get('metadata', {}).get('revision')
        if revision is not None and revision != held['metadata']['revision']:
            return json_response(held, 409)
        if held[field] == body.get(field):
            return json_response(held)
        return self._store(kind, {**held, field: body.get(field)})

    def _delete(self, kind: str, name: str, revision: int | None) -> HttpResponse:
        held = self.objects.get((kind, name))
        if held is None:
            return json_response(None, 404)
        if revision is not None and revision != held['metadata']['revision']:
            return json_response(held, 409)
        del self.objects[kind, name]
        return json_response(self._changed(kind, held, removed=True))

    def _store(self, kind: str, fields: dict[str, Any]) -> HttpResponse:
        held = self._changed(kind, fields, removed=False)
        self.objects[kind, held['metadata']['name']] = held
        return json_response(held)

    def _changed(self, kind: str, held: dict[str, Any], *, removed: bool) -> dict[str, Any]:
        self.revision += 1
        held = {**held, 'metadata': {**held['metadata'], 'revision': self.revision}}
        self.events.append((kind, Event(object=held, removed=removed)))
        self._wake()
        return held

    def _wake(self) -> None:
        """Wake all that wait now; each of them looks again for what it waits for."""
        self.changed.set()
        self.changed = asyncio.Event()


def _revision_of(entry: tuple[str, Event]) -> int:
    return int(entry[1]['object']['metadata']['revision'])


def _parts(path: str) -> list[str]:
    return [unquote(part) for part in path.strip('/').split('/')]


async def serve(address: Address) -> None:
    """Serve until cancelled; prints the address first."""
    face = HttpListener(Platform().handle, HttpLimits(max_body_bytes=MAX_VALUE_BYTES))
    print(await face.listen(address), flush=True)  # noqa: T201
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description='Stand-in for the platform.')
    parser.add_argument('--listen', default='127.0.0.1:0', type=parse_address)
    args = parser.parse_args()
    asyncio.run(serve(args.listen))


if __name__ == '__main__':
    main()
