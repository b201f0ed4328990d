"""A listener that gives whole HTTP/1.1 requests to a handler, and answers them in order."""
import asyncio
import os
import socket
from collections.abc import Callable
from dunlinsaddle.calls.accepted_connection import AcceptedConnection, Handler
from dunlinsaddle.calls.http import HttpLimits, HttpRequest
from dunlinsaddle.settings import Address

MAX_ACCEPTS_PER_EVENT = 16  #: connections taken between two other events
BACKLOG = 1024  #: connections that wait in the kernel


def _lengthen_queue(fileno: object) -> None:
    if not isinstance(fileno, int):
        # A loop whose connections are in memory has no queue in a kernel.
        return
    with socket.socket(fileno=os.dup(fileno)) as sock:
        sock.listen(BACKLOG)


class HttpListener:
    """A listener that hands whole requests to ``handler``.

    Up to ``pipeline`` requests of one connection run at the same time; answers go out in the
    order of the requests.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        on_fault: Callable[[HttpRequest], None] = lambda req: None,
        *,
        pipeline: int = 1,
    ) -> None:
        self.pipeline = pipeline
        self.handler = handler
        self.limits = limits
        self.on_fault = on_fault
        self.connections: set[AcceptedConnection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None
        self._idle = asyncio.Event()

    async def listen(self, address: Address) -> Address:
        """Start to listen; gives the address in use. Raises OSError when it is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: AcceptedConnection(self),
            address.host,
            address.port,
            backlog=MAX_ACCEPTS_PER_EVENT,
        )
        # The loop takes up to its backlog of connections in one go, and nothing else meanwhile.
        # With a long one a flood of new connections kept it from the gossip for so long that
        # other nodes held this one for dead. The queue in the kernel may be as long as before.
        for sock in self._server.sockets:
            _lengthen_queue(sock.fileno())
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def start_closing(self) -> None:
        """Tell callers with each answer that its connection ends; go on listening."""
        self.closing = True

    def stop_listening(self) -> None:
        """Take no new connection; those that wait for a request are closed."""
        self.closing = True
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            if not conn.busy:
                conn.transport.close()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress and every answer has left this process."""
        while any(conn.busy for conn in self.connections):
            self._idle.clear()
            await self._idle.wait()

    def note_idle(self) -> None:
        """Wake who waits for the end of the requests."""
        self._idle.set()

    def close(self) -> None:
        """Close everything at once."""
        self.stop_listening()
        for conn in list(self.connections):
            conn.transport.abort()
