"""A caller that always has several safe requests in progress on one connection."""

import asyncio
from typing import NamedTuple

import httptools

from dunlinsaddle.settings import Address


class Answer(NamedTuple):
    """A complete response, in the order in which responses arrive on their connection."""

    request_id: str
    status: int
    closes: bool


class LostRequest(NamedTuple):
    """A request whose connection ended without an answer that closes. Times of the event loop."""

    request_id: str
    caller: str
    sent_at: float
    lost_at: float


class _Responses:
    """Collects complete responses from the bytes of one connection."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.complete: list[tuple[int, bool]] = []

    def on_message_complete(self) -> None:
        self.complete.append((self.parser.get_status_code(), not self.parser.should_keep_alive()))


class PipeliningCaller:
    """Keeps ``outstanding`` requests in progress, and opens a new connection after each close.

    What stands behind an answer that closes counts as not read. ``lost`` are requests without an
    answer when their connection ends in any other way. ``name`` is a part of their ids.
    """

    def __init__(self, name: str, address: Address, path: str, outstanding: int) -> None:
        self.name = name
        self.address = address
        self.path = path
        self.outstanding = outstanding
        self.answers: list[Answer] = []
        self.unread: list[str] = []
        self.lost: list[LostRequest] = []
        self._sent_count = 0
        self._waiting: dict[str, float] = {}  #: time of each request without an answer

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                await self._use(reader, writer)
            except OSError:
                self._lose_waiting()
            finally:
                self._waiting.clear()
                writer.close()
            await asyncio.sleep(0.01)

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        responses = _Responses()
        while True:
            while len(self._waiting) < self.outstanding:
                writer.write(self._next_request())
            data = await reader.read(65536)
            if not data:
                self._lose_waiting()
                return
            responses.parser.feed_data(data)
            for status, closes in responses.complete:
                request_id = next(iter(self._waiting))
                del self._waiting[request_id]
                self.answers.append(Answer(request_id, status, closes))
                if closes:
                    self.unread += self._waiting
                    return
            responses.complete.clear()

    def _lose_waiting(self) -> None:
        now = asyncio.get_running_loop().time()
        self.lost += [LostRequest(r, self.name, at, now) for r, at in self._waiting.items()]

    def _next_request(self) -> bytes:
        self._sent_count += 1
        request_id = f'{self.name}n{self._sent_count}'
        self._waiting[request_id] = asyncio.get_running_loop().time()
        head = f'GET {self.path} HTTP/1.1\r\nhost: h.example\r\nrequest-id: {request_id}\r\n'
        return f'{head}deadline-milliseconds: 5000\r\n\r\n'.encode()
