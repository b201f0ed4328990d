"""The platform's object API in memory, with outages, slowness and lost answers at will."""

import argparse
import asyncio
from typing import Any, TypedDict
from urllib.parse import parse_qs, urlsplit

import msgspec

from dunlinsaddle.calls.http import HttpRequest, HttpResponse, json_response
from dunlinsaddle.calls.listener import HttpFace, HttpLimits
from dunlinsaddle.settings import Address, read_address

MAX_VALUE_BYTES = 1 << 20


class Faults(TypedDict, total=False):
    """What goes wrong, as ``POST /faults`` sets it."""

    down: bool  #: no answer at all
    delay: float  #: seconds before each answer
    lose_answers: int  #: so many writes take effect, and their answers get lost


class Platform:
    """Objects by kind and name, with one counter of versions for all of them."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.revision = 0
        self.changed = asyncio.Event()
        self.faults = Faults()
        self.reads = 0
        self.writes = 0

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if req.path == '/faults':
            self.faults = msgspec.json.decode(req.body, type=Faults)
            return json_response(self.faults)
        if req.path == '/counts':
            return json_response({'reads': self.reads, 'writes': self.writes})
        if self.faults.get('down'):
            await asyncio.sleep(3600)
        await asyncio.sleep(self.faults.get('delay', 0.0))
        response = await self._answer(req)
        if req.method in ('PUT', 'DELETE') and self.faults.get('lose_answers', 0) > 0:
            self.faults['lose_answers'] -= 1
            await asyncio.sleep(3600)
        return response

    async def _answer(self, req: HttpRequest) -> HttpResponse:
        url = urlsplit(req.path)
        parts = url.path.strip('/').split('/')
        query = parse_qs(url.query)
        match (req.method, *parts):
            case ('GET', 'objects', kind) if 'since' in query:
                self.reads += 1
                timeout = float(query.get('timeout', ['0'])[0])
                return await self._watch(kind, int(query['since'][0]), timeout)
            case ('GET', 'objects', kind):
                self.reads += 1
                return self._list(kind, 0)
            case ('GET', 'objects', kind, name):
                self.reads += 1
                held = self.objects.get((kind, name))
                return json_response(held) if held else json_response(None, 404)
            case ('PUT' | 'DELETE', 'objects', kind, name):
                self.writes += 1
                return self._write(req, kind, name)
        return json_response({'error': 'no such path'}, 404)

    def _list(self, kind: str, since: int) -> HttpResponse:
        objects = [o for (k, _), o in self.objects.items() if k == kind and o['version'] > since]
        return json_response({'objects': objects, 'revision': self.revision})

    async def _watch(self, kind: str, since: int, timeout: float) -> HttpResponse:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while loop.time() < deadline and not self._newer(kind, since):
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - loop.time())
            except TimeoutError:
                break
        return self._list(kind, since)

    def _newer(self, kind: str, since: int) -> bool:
        return any(k == kind and o['version'] > since for (k, _), o in self.objects.items())

    def _write(self, req: HttpRequest, kind: str, name: str) -> HttpResponse:
        held = self.objects.get((kind, name))
        version = held['version'] if held else 0
        expected = req.header(b'if-match')
        if expected and int(expected) != version:
            return json_response(held, 409)
        if len(req.body) > MAX_VALUE_BYTES:
            return json_response({'error': 'value too large'}, 413)
        self.revision += 1
        value = msgspec.json.decode(req.body) if req.method == 'PUT' else None
        stored = {'kind': kind, 'name': name, 'version': self.revision, 'value': value}
        self.objects[kind, name] = stored
        # Wakes all that wait now; each of them looks again for what it waits for.
        self.changed.set()
        self.changed = asyncio.Event()
        return json_response(stored)


async def serve(address: Address) -> None:
    """Serve until cancelled; prints the address first."""
    face = HttpFace(Platform().handle, HttpLimits(body_bytes=MAX_VALUE_BYTES))
    print(await face.listen(address), flush=True)  # noqa: T201
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in as a process."""
    parser = argparse.ArgumentParser(description='Stand-in for the platform.')
    parser.add_argument('--listen', default='127.0.0.1:0', type=read_address)
    args = parser.parse_args()
    asyncio.run(serve(args.listen))


if __name__ == '__main__':
    main()
