"""Targets that send bytes without end, which are no answer, until their connection is closed."""

import asyncio
import itertools
import threading
import time
from collections.abc import Iterator

from testtools import TestCase

from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.messages import Lost
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered, SendResult
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.mesh.node import MAX_BODY_BYTES
from dunlinsaddle.platform.requests import match_response
from dunlinsaddle.settings import Address

CALLS_AT_A_TIME = 8
DEADLINE_SECONDS = 10.0
GIVEN_UP_WITHIN_SECONDS = 5.0
MAX_LOOP_DELAY_SECONDS = 0.5  #: a small call beside it is still in time
FAILURES = {ErrorKind.INCOMPLETE_ANSWER, ErrorKind.OUTCOME_UNKNOWN}
PIECE = b'x' * (1 << 16)
OK = b'HTTP/1.1 200 OK\r\n'
NAMED = OK + b'request-id: %s\r\n'
CHUNK = b'10000\r\n' + PIECE + b'\r\n'

#: What follows what: the beginning, with the id of the request, and what is repeated after it.
KINDS = {
    'status line': (b'HTTP/1.1 200 ', PIECE),
    'empty lines': (b'', b'\r\n' * 1000),
    'header line': (OK + b'a: ', PIECE),
    'header name': (OK, PIECE),
    'headers': (OK, b'a: b\r\n' * 1000),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 100),
    'body without length': (NAMED + b'\r\n', PIECE),
    'chunks': (NAMED + b'transfer-encoding: chunked\r\n\r\n', CHUNK),
    'small chunks': (NAMED + b'transfer-encoding: chunked\r\n\r\n', b'1\r\nx\r\n' * 10_000),
    'chunk size': (NAMED + b'transfer-encoding: chunked\r\n\r\n', b'0' * 1000),
    'chunk extension': (NAMED + b'transfer-encoding: chunked\r\n\r\n5;', PIECE),
    'trailers': (NAMED + b'transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n', b'a: b\r\n' * 1000),
    'another answer': (OK + b'request-id: other\r\ntransfer-encoding: chunked\r\n\r\n', CHUNK),
    'another answer without length': (OK + b'request-id: other\r\n\r\n', PIECE),
    'other answers': (b'', OK + b'request-id: other\r\ncontent-length: 0\r\n\r\n'),
}


class EndlessTarget:
    """Answers ``/small`` properly, and each other path with its kind of bytes without end."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.address: Address
        self._is_listening = threading.Event()
        # In a thread of its own: it would take most of the time of the loop that is observed.
        self._thread = threading.Thread(target=self.loop.run_until_complete, args=[self._run()])

    def __enter__(self) -> 'EndlessTarget':
        self._thread.start()
        self._is_listening.wait()
        return self

    def __exit__(self, *args: object) -> None:
        self.loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()

    async def _run(self) -> None:
        self._stop = asyncio.Event()
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = Address(*server.sockets[0].getsockname())
        self._is_listening.set()
        await self._stop.wait()
        server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b'\r\n\r\n'):
                request_id = head.lower().partition(b'request-id: ')[2].partition(b'\r\n')[0]
                kind = head.split(b' ')[1].decode()[1:].replace('-', ' ')
                if kind == 'small':
                    writer.write(NAMED % request_id + b'content-length: 2\r\n\r\nok')
                    continue
                begin, repeated = KINDS[kind]
                writer.write(begin % request_id if b'%s' in begin else begin)
                while True:
                    writer.write(repeated)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()


def build_client() -> HttpClient:
    return HttpClient(
        MAX_BODY_BYTES,
        allow_close_delimited=True,
        requires_name=True,
        held_memory=HeldMemory(MAX_BODY_BYTES),
    )


class EndlessAnswerTest(TestCase):
    numbers: Iterator[int] = itertools.count(1)

    async def send(self, client: HttpClient, address: Address, kind: str) -> SendResult:
        request_id = f'r-{next(self.numbers)}'
        headers = [(b'request-id', request_id.encode())]
        req = HttpRequest('GET', '/' + kind.replace(' ', '-'), headers, b'', '')
        return await client.send(
            address,
            req,
            DEADLINE_SECONDS,
            matches_request=lambda headers: match_response(request_id, headers),
            request_id=request_id,
        )

    async def send_small(self, client: HttpClient, address: Address) -> float:
        """Send small calls; return the longest time that one took."""
        longest = 0.0
        while True:
            started_at = time.monotonic()
            try:
                result = await self.send(client, address, 'small')
                assert isinstance(result, Answered), result
                await asyncio.sleep(0.02)
            except asyncio.CancelledError:
                return longest
            longest = max(longest, time.monotonic() - started_at)

    async def play(
        self, address: Address, kind: str
    ) -> tuple[list[SendResult], float, float, float]:
        """Return the results, the seconds that they took, the slowest small call, bytes held."""
        client = build_client()
        small = asyncio.create_task(self.send_small(client, address))
        await asyncio.sleep(0.05)
        started_at = time.monotonic()
        calls = (self.send(client, address, kind) for _ in range(CALLS_AT_A_TIME))
        results = await asyncio.gather(*calls)
        elapsed = time.monotonic() - started_at
        small.cancel()
        slowest = await small
        client.close()
        return results, elapsed, slowest, client.held_memory.most_held

    # Guards against a node that is killed for its memory, or too busy for other calls, because a
    # target sends bytes without end.
    def test_bytes_without_end_fail_their_call_alone_and_take_bounded_memory(self):
        for kind in KINDS:
            with EndlessTarget() as target:
                results, elapsed, slowest, most_held = asyncio.run(self.play(target.address, kind))
            self.assertEqual([Lost] * CALLS_AT_A_TIME, [type(result) for result in results], kind)
            self.assertLessEqual({result.kind for result in results}, FAILURES, kind)
            self.assertLess(elapsed, GIVEN_UP_WITHIN_SECONDS, kind)
            self.assertLess(slowest, MAX_LOOP_DELAY_SECONDS, kind)
            self.assertLessEqual(most_held, MAX_BODY_BYTES, kind)
