"""Stand-in for the platform's store: objects, listings and watches, without any fault."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from standin.http import MAX_HEAD_BYTES, Message, encode_response, read_message

JSON_TYPE = {'Content-Type': 'application/json'}


class Store:
    """Keeps objects by kind and name; its history is never discarded."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server

    async def listen(self, host: str, port: int) -> None:
        """Start to serve."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_HEAD_BYTES)

    def close(self) -> None:
        """Accept no more connections."""
        self._server.close()

    def write(self, kind: str, name: str, specification: Any) -> None:
        """Write an object as the operator does."""
        self._save(kind, name, {'specification': specification, 'status': None})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                status, body = await self._answer(request)
                writer.write(encode_response(status, JSON_TYPE, json.dumps(body).encode()))
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        _, kind, *rest = [unquote(part) for part in url.path.strip('/').split('/')]
        if request.method == 'GET' and not rest:
            return await self._list(kind, query)
        if request.method == 'GET':
            stored = self.objects.get((kind, rest[0]))
            return (200, stored) if stored else (404, None)
        body = json.loads(request.body) if request.body else {}
        name = rest[0] if rest else body['metadata']['name']
        return self._change(request.method, kind, name, body, query)

    async def _list(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        if 'watch' in query:
            return await self._watch(kind, int(query['watch']), int(query.get('waitMs', '0')))
        items = [stored for (k, _), stored in sorted(self.objects.items()) if k == kind]
        return 200, {'items': items, 'more': False, 'atRevision': self.revision}

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, Any]:
        until = asyncio.get_running_loop().time() + wait_ms / 1000
        while not (events := self._events_since(kind, since)):
            try:
                async with asyncio.timeout_at(until):
                    await self._changed.wait()
            except TimeoutError:
                break
        return 200, {'events': events, 'atRevision': self.revision}

    def _events_since(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {'object': stored, 'removed': removed}
            for revision, k, stored, removed in self.events
            if k == kind and revision > since
        ]

    def _change(
        self, method: str, kind: str, name: str, body: dict[str, Any], query: dict[str, str]
    ) -> tuple[int, Any]:
        stored = self.objects.get((kind, name))
        if method == 'POST':
            if stored is not None:
                return 409, stored
            return 200, self._save(kind, name, {**body, 'status': None})
        if stored is None:
            return 404, None
        expected = body.get('metadata', {}).get('revision') or query.get('revision')
        if expected is not None and int(expected) != stored['metadata']['revision']:
            return 409, stored
        if method == 'DELETE':
            del self.objects[kind, name]
            return 200, self._record(kind, stored, removed=True)
        if stored['specification'] == body.get('specification'):
            return 200, stored
        return 200, self._save(kind, name, {**stored, 'specification': body.get('specification')})

    def _save(self, kind: str, name: str, fields: dict[str, Any]) -> dict[str, Any]:
        metadata = {'name': name, 'created': self.revision + 1, 'finalizers': [], 'deleting': False}
        stored = self._record(kind, {**fields, 'metadata': metadata}, removed=False)
        self.objects[kind, name] = stored
        return stored

    def _record(self, kind: str, stored: dict[str, Any], *, removed: bool) -> dict[str, Any]:
        self.revision += 1
        stored = {**stored, 'metadata': {**stored['metadata'], 'revision': self.revision}}
        self.events.append((self.revision, kind, stored, removed))
        self._changed.set()
        self._changed = asyncio.Event()
        return stored
