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
    answer when their connection ends in any other way.
    """

    def __init__(self, name: str, address: Address, path: str, outstanding: int) -> None:
        self.name = name
        self.address = address
        self.path = path
        self.outstanding = outstanding
        self.answers: list[Answer] = []
        self.unread: list[str] = []
        self.lost: list[str] = []
        self._sent = 0
        self._waiting: list[str] = []

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
                self.lost += self._waiting
            finally:
                self._waiting = []
                writer.close()
            await asyncio.sleep(0.01)

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        responses = _Responses()
        while True:
            while len(self._waiting) < self.outstanding:
                writer.write(self._next_request())
            data = await reader.read(65536)
            if not data:
                self.lost += self._waiting
                return
            responses.parser.feed_data(data)
            for status, closes in responses.complete:
                self.answers.append(Answer(self._waiting.pop(0), status, closes))
                if closes:
                    self.unread += self._waiting
                    return
            responses.complete.clear()

    def _next_request(self) -> bytes:
        self._sent += 1
        request_id = f'{self.name}-{self._sent}'
        self._waiting.append(request_id)
        head = f'GET {self.path} HTTP/1.1\r\nhost: h.example\r\nrequest-id: {request_id}\r\n'
        return f'{head}deadline-milliseconds: 5000\r\n\r\n'.encode()
