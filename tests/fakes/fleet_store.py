"""The stand-in of the store for fleets in one event loop: no sockets, each node its own client."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from dunlinsaddle.calls.messages import Lost, NotSent
from dunlinsaddle.calls.outbound.connection import Answered, SendResult
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.platform.client import HttpObjectStore
from dunlinsaddle.platform.store import StoredObject, StorePosition, position_to_version
from dunlinsaddle.settings import Address
from standins.platform import WRITE_METHODS, Platform

STORE_ADDRESS = Address('127.0.0.1', 9)


class DirectClient:
    """Passes requests to a handler without a connection; a call ends when its timeout does."""

    def __init__(
        self, handle: Callable[[HttpRequest], Awaitable[HttpResponse | Lost | NotSent]]
    ) -> None:
        self.handle = handle

    async def send(
        self, address: Address, req: HttpRequest, timeout: float, **options: Any
    ) -> SendResult:
        try:
            async with asyncio.timeout(timeout):
                result = await self.handle(req)
        except TimeoutError:
            return Lost('no answer in time', ErrorKind.DEADLINE_EXCEEDED)
        return Answered(result) if isinstance(result, HttpResponse) else result


class StoreCall(NamedTuple):
    """A call to the store, whether it arrived or not."""

    called_at: float
    method: str
    kind: str


class FleetStore(HttpObjectStore):
    """The operators' client of a store; ``connect`` returns further clients, one for each node."""

    def __init__(self) -> None:
        self.platform = Platform()
        self.down = False  #: refuses connections
        self.lose_answers = 0  #: number of writes that take effect but whose responses are lost
        self.call_log: list[StoreCall] = []  #: of the nodes
        super().__init__(STORE_ADDRESS, DirectClient(self.platform.handle))  # type: ignore[arg-type]

    def connect(self, is_refused: Callable[[], bool], timeout: float) -> HttpObjectStore:
        """Return a client of a node, which gets 503 while ``is_refused`` returns True."""

        async def handle(req: HttpRequest) -> HttpResponse | Lost | NotSent:
            self._record_call(req)
            if self.down:
                return NotSent('connection refused')
            if is_refused():
                return HttpResponse(503, [], b'')
            response = await self.platform.handle(req)
            if req.method in WRITE_METHODS and self.lose_answers > 0:
                self.lose_answers -= 1
                return Lost('the response got lost')
            return response

        return HttpObjectStore(STORE_ADDRESS, DirectClient(handle), timeout)  # type: ignore[arg-type]

    @property
    def call_count(self) -> int:
        """Number of calls of all nodes."""
        return len(self.call_log)

    @property
    def objects(self) -> dict[tuple[str, str], StoredObject]:
        """All objects by kind and name."""
        return {
            (kind, name): StoredObject(
                kind,
                name,
                position_to_version(
                    StorePosition(self.platform.epoch, fields['metadata']['revision'])
                ),
                fields['specification'],
            )
            for (kind, name), fields in self.platform.objects.items()
        }

    def _record_call(self, req: HttpRequest) -> None:
        kind = req.path.partition('?')[0].split('/')[2]
        now = asyncio.get_running_loop().time()
        self.call_log.append(StoreCall(now, req.method, kind))
