"""Sends quota requests to lenders and tracks which lenders do not answer."""

import asyncio
import math
import secrets
from collections.abc import Coroutine
from typing import Any, NamedTuple, Protocol

from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.messages import QuotaMessage, QuotaRequest, QuotaResponse, QuotaStatus
from dunlinsaddle.policy.quota_order import (
    DEFAULT_QUERY,
    OPEN,
    Closure,
    Granted,
    QuotaDecision,
    QuotaQuery,
    RetryLater,
)
from dunlinsaddle.records.models import Rank

#: Seconds after which a request is sent once more: datagrams get lost, and an answer takes some
#: milliseconds.
RESEND_SECONDS = 0.06
#: Seconds after the latest request during which a missing response shows that a lender is silent.
SILENCE_VALID_SECONDS = 1.0
MAX_REFUSED = 100_000  #: in one query; bounds the effect of an absurd value
PROBE_INTERVAL_SECONDS = 0.25  #: between two probes of a silent lender
PROBE_TIMEOUT_SECONDS = 0.25


class LenderAnswer(NamedTuple):
    """The decision on one request, and what the lender said about others."""

    decision: QuotaDecision
    closure: Closure = OPEN


class QuotaPeers(Protocol):
    """The transport and membership view that the quota protocol needs."""

    def live_nodes(self) -> tuple[list[str], float]:
        """Return the nodes that are not gone, and the share of all nodes surely reachable."""

    def message_header(self) -> dict[str, Any]:
        """Return the message fields that identify the sender."""

    def send(self, instance: str, message: QuotaMessage) -> None:
        """Send a datagram, which may get lost."""


class LenderClient(LoopBound):
    """Asks lenders for quota and records since when each has left requests unanswered."""

    def __init__(self, peers: QuotaPeers) -> None:
        self.peers = peers
        self.queries_sent = 0
        #: Starts at a random number, so that a restarted node does not reuse the id of an old
        #: request.
        self._last_correlation_id = secrets.randbits(48)
        self._pending: dict[int, asyncio.Future[QuotaResponse | None]] = {}
        self._requested_at: dict[str, float] = {}
        self._unanswered_since: dict[str, float] = {}  #: time of the first unanswered request
        self._tasks: set[asyncio.Task[None]] = set()

    async def ask(
        self,
        lender: str,
        organisation: str,
        timeout: float,
        query: QuotaQuery = DEFAULT_QUERY,
        *,
        relayed: bool = False,
    ) -> LenderAnswer | None:
        """Ask a lender to decide one request.

        Returns None if it does not answer within ``timeout`` seconds or does not lend this quota.
        """
        self._last_correlation_id += 1
        number = self._last_correlation_id
        message_header = self.peers.message_header()
        request = QuotaRequest(
            **message_header,
            correlation_id=number,
            organisation=organisation,
            relayed=relayed,
            **query._asdict(),
        )
        fut: asyncio.Future[QuotaResponse | None] = self.loop.create_future()
        self._pending[number] = fut
        self._record_request(lender)
        self.peers.send(lender, request)
        resend_timer = self.loop.call_later(RESEND_SECONDS, self.peers.send, lender, request)
        timeout_timer = self.loop.call_later(timeout, _give_up, fut)
        try:
            return _read_answer(await fut)
        finally:
            resend_timer.cancel()
            timeout_timer.cancel()
            self._pending.pop(number, None)

    def handle_answer(self, answer: QuotaResponse) -> None:
        """Complete the pending request of an answer; late answers are ignored."""
        fut = self._pending.pop(answer.correlation_id, None)
        if fut is not None and not fut.done():
            fut.set_result(answer)

    def mark_alive(self, instance: str) -> None:
        """Record that a message came from a node."""
        self._unanswered_since.pop(instance, None)

    def silent_seconds(self, instance: str) -> float:
        """Return for how many seconds a node has left requests unanswered."""
        now = self.now()
        return now - self._unanswered_since.get(instance, now)

    def was_asked_recently(self, instance: str) -> bool:
        """Return whether a node was asked so recently that its silence is meaningful."""
        return self._seconds_since_request(instance) < SILENCE_VALID_SECONDS

    def probe(self, instance: str) -> None:
        """Check in the background whether a silent node answers again."""
        if self._seconds_since_request(instance) >= PROBE_INTERVAL_SECONDS:
            self.spawn(self._send_probe(instance))

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = self.loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_probe(self, instance: str) -> None:
        await self.ask(instance, '', PROBE_TIMEOUT_SECONDS, relayed=True)

    def _record_request(self, lender: str) -> None:
        now = self.now()
        self.queries_sent += 1
        if not self.was_asked_recently(lender):
            # An answer that was lost long ago does not mean that the lender is silent now.
            self._unanswered_since.pop(lender, None)
        self._requested_at[lender] = now
        self._unanswered_since.setdefault(lender, now)

    def _seconds_since_request(self, instance: str) -> float:
        return self.now() - self._requested_at.get(instance, -math.inf)


def query_of(request: QuotaRequest) -> QuotaQuery:
    """Return the query that a message carries; a rank that is not known counts as the lowest."""
    rank = Rank(min(request.rank, max(Rank)))
    return QuotaQuery(
        rank,
        request.returning,
        request.fingerprint,
        request.useful_seconds,
        min(request.refused, MAX_REFUSED),
    )


def build_answer(
    request: QuotaRequest, answer: LenderAnswer | None, message_header: dict[str, Any]
) -> QuotaResponse:
    """Build the answer to a quota request; None means that this node does not lend it."""
    header = {**message_header, 'correlation_id': request.correlation_id}
    if answer is None:
        return QuotaResponse(**header, status=QuotaStatus.NOT_LENDER)
    header['closed_rank'], header['closed_seconds'] = answer.closure
    match answer.decision:
        case Granted():
            return QuotaResponse(**header, status=QuotaStatus.GRANTED)
        case RetryLater(seconds, reserved):
            return QuotaResponse(
                **header, status=QuotaStatus.EXHAUSTED, wait_seconds=seconds, reserved=reserved
            )


def _read_answer(answer: QuotaResponse | None) -> LenderAnswer | None:
    match answer:
        case QuotaResponse(status=QuotaStatus.GRANTED):
            return LenderAnswer(Granted(), Closure(answer.closed_rank, answer.closed_seconds))
        case QuotaResponse(status=QuotaStatus.EXHAUSTED, wait_seconds=wait, reserved=reserved):
            closure = Closure(answer.closed_rank, answer.closed_seconds)
            return LenderAnswer(RetryLater(wait, reserved), closure)
    return None


def _give_up(fut: 'asyncio.Future[QuotaResponse | None]') -> None:
    if not fut.done():
        fut.set_result(None)
