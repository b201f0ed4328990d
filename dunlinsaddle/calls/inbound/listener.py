"""HTTP/1.1 listener: passes whole requests to a handler and answers them in order."""

import asyncio
import os
import socket
from collections.abc import Callable
from functools import partial

from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.http import HttpLimits, HttpRequest
from dunlinsaddle.calls.inbound.accepted_connection import AcceptedConnection, Handler
from dunlinsaddle.calls.inbound.eviction import EvictionOrder
from dunlinsaddle.calls.messages import Headers
from dunlinsaddle.errors import Failure
from dunlinsaddle.settings import Address

MAX_ACCEPTS_PER_EVENT = 16  #: connections accepted in one iteration of the event loop
KERNEL_BACKLOG = 1024  #: connections that wait in the kernel to be accepted


def _extend_backlog(fileno: object) -> None:
    if not isinstance(fileno, int):
        # An event loop with in-memory connections has no kernel queue.
        return
    with socket.socket(fileno=os.dup(fileno)) as sock:
        sock.listen(KERNEL_BACKLOG)


class HttpListener:
    """Listens for connections and passes whole requests to ``handler``.

    Up to ``pipeline`` requests of one connection are handled concurrently; responses are sent
    in the order of the requests.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        on_fault: Callable[[HttpRequest], None] = lambda req: None,
        *,
        pipeline: int = 1,
        held_memory: HeldMemory | None = None,
        on_refusal: Callable[[Headers, Failure], None] = lambda headers, failure: None,
        on_not_taken: Callable[[str, str, int], None] = lambda remote, why, size: None,
    ) -> None:
        self.pipeline = pipeline
        self.handler = handler
        self.limits = limits
        self.on_fault = on_fault
        #: Called with the headers read so far when a request is refused before it is complete.
        self.on_refusal = on_refusal
        self.held_memory = held_memory or HeldMemory()
        #: Called with the address of a caller that did not take its answer, the reason why its
        #: connection is ended, and the bytes that are left.
        self.on_not_taken = on_not_taken
        self.connections: set[AcceptedConnection] = set()
        self.eviction_order: EvictionOrder[AcceptedConnection] = EvictionOrder()
        self.evicted_count = 0  #: connections that were closed for others
        #: Creates the protocol of each accepted connection.
        self.new_connection: Callable[[], AcceptedConnection] = partial(AcceptedConnection, self)
        self.accepting = True
        self.closing = False
        self.finishing = False
        self._server: asyncio.Server | None = None
        self._idle = asyncio.Event()

    async def listen(self, address: Address) -> Address:
        """Start listening and return the bound address. Raises OSError if it is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self.new_connection,
            address.host,
            address.port,
            backlog=MAX_ACCEPTS_PER_EVENT,
        )
        # asyncio accepts up to ``backlog`` connections per event and runs nothing else meanwhile.
        # With a large value, a flood of connections delayed the gossip so long that other nodes
        # declared this one dead. The queue in the kernel can still be long.
        for sock in self._server.sockets:
            _extend_backlog(sock.fileno())
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    def make_room(self) -> bool:
        """Close a connection if there are too many; return whether there is room then."""
        if len(self.connections) <= self.limits.max_connections:
            return True
        conn = self.eviction_order.first()
        if conn is None:
            return False
        self.eviction_order.remove(conn)
        self.connections.discard(conn)
        self.evicted_count += 1
        conn.make_way()
        return True

    def start_closing(self) -> None:
        """Send ``Connection: close`` with each response, but keep listening."""
        self.closing = True

    def finish_connections(self) -> None:
        """Start no request behind one in progress, so that each connection comes to its end."""
        self.closing = self.finishing = True

    def stop_listening(self) -> None:
        """Accept no new connections and close those without a request in progress."""
        self.finish_connections()
        self.accepting = False
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            if not conn.is_busy:
                conn.transport.close()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress and all responses have been written out."""
        while any(conn.is_busy for conn in self.connections):
            self._idle.clear()
            await self._idle.wait()

    def request_ages(self) -> list[float]:
        """Return the seconds since the start of each request that is not answered yet."""
        now = asyncio.get_running_loop().time()
        return [now - e.started_at for conn in self.connections for e in conn.exchanges]

    def notify_idle_waiters(self) -> None:
        """Wake the tasks in ``wait_idle`` to check again."""
        self._idle.set()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_listening()
        for conn in list(self.connections):
            conn.sending.outlive_connection()
            conn.transport.abort()
