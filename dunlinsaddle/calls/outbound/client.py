"""HTTP/1.1 client with connection reuse; distinguishes unsent requests from lost ones."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import NamedTuple

from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.messages import Lost, NotSent
from dunlinsaddle.calls.outbound.connection import (
    Answered,
    ClientConnection,
    ResponseMatcher,
    ResponseRules,
    SendResult,
    SkippedResponse,
    match_any_response,
)
from dunlinsaddle.calls.outbound.pool import MAX_REUSE_IDLE_SECONDS, ConnectionPool
from dunlinsaddle.calls.outbound.resource_errors import is_resource_exhaustion
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.settings import Address

CONNECT_TIMEOUT_SECONDS = 1.0  #: a live target accepts a connection within milliseconds
#: Of a response, to bound memory, where the caller sets no limit.
DEFAULT_MAX_BODY_BYTES = 1 << 20
#: Reuse limit for requests that must not be sent twice: a lost one could not be repeated.
NON_IDEMPOTENT_REUSE_SECONDS = 0.25
#: Time within which the kernel closes all sockets of a killed process, also on a busy machine.
STAYS_OPEN_SECONDS = 0.05
LISTENING_TRIES = 3  #: connections that may end at once before a server counts as alive


class _EndObserver(asyncio.Protocol):
    """A connection that carries nothing; sets an event when it ends."""

    def __init__(self, has_ended: asyncio.Event) -> None:
        self.has_ended = has_ended

    def connection_lost(self, exc: Exception | None) -> None:
        self.has_ended.set()


class _PendingRequest(NamedTuple):
    """One request with its address, deadline and resend options."""

    address: Address
    req: HttpRequest
    deadline: float
    allow_resend: Callable[[], bool] | None
    matches_request: ResponseMatcher
    request_id: str


class HttpClient(LoopBound):
    """Sends requests, one at a time per connection, and keeps intact connections for reuse."""

    def __init__(
        self,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        *,
        allow_close_delimited: bool = False,
        requires_name: bool = False,
        held_memory: HeldMemory | None = None,
    ) -> None:
        self.held_memory = held_memory or HeldMemory()
        self.rules = ResponseRules(max_body_bytes, allow_close_delimited, requires_name)
        #: Called with each response to another request than the one in progress.
        self.on_skipped: Callable[[SkippedResponse], None] = lambda skipped: None
        self._pools: dict[Address, ConnectionPool] = {}

    async def send(
        self,
        address: Address,
        req: HttpRequest,
        timeout: float,
        *,
        allow_resend: Callable[[], bool] | None = None,
        matches_request: ResponseMatcher = match_any_response,
        request_id: str = '',
    ) -> SendResult:
        """Send a request and wait at most ``timeout`` seconds for the whole response.

        Pass ``allow_resend`` for an idempotent request. It is called when the response on a
        reused connection is overdue while later requests were answered, and returns whether to
        send the request again on a new connection; the first response counts.
        ``matches_request`` compares the headers of a response with the request: responses to
        others are skipped. With a ``request_id``, a connection carries the request once at most,
        so that a late copy of the response to one send is not taken for the response to another.
        """
        now = self.now()
        deadline = now + timeout
        pending = _PendingRequest(address, req, deadline, allow_resend, matches_request, request_id)
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(address)
        max_idle_seconds = MAX_REUSE_IDLE_SECONDS if allow_resend else NON_IDEMPOTENT_REUSE_SECONDS
        conn = pool.acquire(now, max_idle_seconds, request_id)
        if conn is None:
            return await self._send_on_new_connection(pending, pool)
        return await self._send_on(conn, pending, pool)

    async def _send_on_new_connection(
        self, pending: _PendingRequest, pool: ConnectionPool
    ) -> SendResult:
        loop = self.loop
        address = pending.address
        try:
            async with asyncio.timeout_at(
                min(loop.time() + CONNECT_TIMEOUT_SECONDS, pending.deadline)
            ):
                _, conn = await loop.create_connection(
                    lambda: ClientConnection(self.rules, self.on_skipped, self.held_memory),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as exc:
            is_refused = isinstance(exc, ConnectionRefusedError)
            detail = f'{address}: {exc or "no connection in time"}'
            return NotSent(detail, is_refused, is_resource_exhaustion(exc))
        return await self._send_on(conn, pending, pool)

    async def _send_on(
        self, conn: ClientConnection, pending: _PendingRequest, pool: ConnectionPool
    ) -> SendResult:
        now = conn.loop.time()
        if now >= pending.deadline:
            conn.transport.abort()
            return NotSent('the deadline passed before it was sent')
        conn.sent_requests.add(now, pending.request_id, pending.deadline)
        conn.request_id = pending.request_id
        conn.may_repeat = pending.allow_resend is not None
        try:
            future = conn.send(pending.req, pool.host, pending.matches_request)
        except ValueError as exc:
            conn.transport.abort()
            return NotSent(f'it cannot be written as HTTP: {exc}')
        return await self._wait(conn, future, pending, pool)

    async def _wait(
        self,
        conn: ClientConnection,
        future: 'asyncio.Future[SendResult]',
        pending: _PendingRequest,
        pool: ConnectionPool,
    ) -> SendResult:
        loop = conn.loop
        sent_at = loop.time()
        overdue_at = pool.overdue_at(sent_at)
        if (
            pending.allow_resend is not None
            and conn.response_count
            and overdue_at < pending.deadline
        ):
            # Only one timer is set at a time: nearly all requests finish before either fires.
            conn.timer = loop.call_at(overdue_at, self._check_overdue, conn, pending, pool, sent_at)
        else:
            conn.timer = loop.call_at(pending.deadline, self._expire, pool, conn)
        try:
            result = await future
        except asyncio.CancelledError:
            # Closing the connection lets the server detect that nobody waits for the response.
            conn.transport.abort()
            raise
        finally:
            conn.timer.cancel()
            if conn.resend_task is not None:
                conn.resend_task.cancel()
        match result:
            case Answered():
                pool.release(conn, sent_at)
            case Lost():
                return replace(result, connection=conn.number, earlier_answers=conn.response_count)
        return result

    async def is_listening(self, address: Address) -> bool:
        """Return whether a server accepts connections and keeps them.

        The kernel closes the sockets of a killed process one after the other, so that its port may
        still accept for a moment. Such a connection ends at once, and the next one is refused. A
        live server that has too many connections ends them, too, but does not refuse the next.
        """
        for _ in range(LISTENING_TRIES):
            has_ended = asyncio.Event()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    transport, _ = await self.loop.create_connection(
                        partial(_EndObserver, has_ended), address.host, address.port
                    )
            except (OSError, TimeoutError):
                return False
            try:
                async with asyncio.timeout(STAYS_OPEN_SECONDS):
                    await has_ended.wait()
            except TimeoutError:
                return True
            finally:
                transport.abort()
        return True

    def _expire(self, pool: ConnectionPool, conn: ClientConnection) -> None:
        if conn.response_count:
            # A middlebox that dropped this connection may have dropped others of its age too.
            pool.abort_idle()
        conn.abort(Lost('no answer in time', ErrorKind.DEADLINE_EXCEEDED))

    def _check_overdue(
        self,
        conn: ClientConnection,
        pending: _PendingRequest,
        pool: ConnectionPool,
        sent_at: float,
    ) -> None:
        # If later requests were answered and this one was not, either it is slow or its
        # connection is lost; the two cases cannot be distinguished here. Sending it again on a new
        # connection while still waiting on the old one yields a response in both cases.
        assert pending.allow_resend is not None
        conn.timer = conn.loop.call_at(pending.deadline, self._expire, pool, conn)
        if pool.last_answered_sent_at > sent_at and pending.allow_resend():
            pool.abort_idle()
            conn.resend_task = conn.loop.create_task(self._resend(conn, pending, pool))

    async def _resend(
        self, conn: ClientConnection, pending: _PendingRequest, pool: ConnectionPool
    ) -> None:
        result = await self._send_on_new_connection(pending, pool)
        if isinstance(result, Answered):
            conn.abort(result)

    def renew(self, address: Address) -> None:
        """Reuse no connection to a server that has restarted, and forget its response times."""
        pool = self._pools.get(address)
        if pool is not None:
            pool.renew(self.now())

    def close(self) -> None:
        """Abort all idle connections."""
        for pool in self._pools.values():
            pool.abort_idle()
