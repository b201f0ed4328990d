"""Questions to the lenders of quotas, and which of them have been silent."""

import asyncio
import math
import secrets
from collections.abc import Coroutine
from typing import Any, Protocol

from dunlinsaddle.loops import OnLoop
from dunlinsaddle.membership.messages import QuotaMessage, QuotaRequest, QuotaResponse, QuotaStatus
from dunlinsaddle.policy.quota import Granted, QuotaDecision, RetryLater

#: Seconds after which a question is sent once more: datagrams get lost, and an answer takes some
#: milliseconds.
RESEND_SECONDS = 0.06
SILENCE_VALID_SECONDS = (
    1.0  #: after the latest question, from which a silence says nothing any more
)
PROBE_INTERVAL_SECONDS = 0.25  #: between two looks whether a silent lender is back
PROBE_TIMEOUT_SECONDS = 0.25  #: seconds for its answer


class QuotaPeers(Protocol):
    """The other nodes, as quotas need them."""

    def live_nodes(self) -> tuple[list[str], float]:
        """Give the nodes that are not gone, and what share of all are surely in touch."""

    def message_header(self) -> dict[str, Any]:
        """Give the fields of a message that say who sends it."""

    def send(self, instance: str, message: QuotaMessage) -> None:
        """Send a datagram, which may get lost."""


class LenderClient(OnLoop):
    """Asks, and remembers since when who has left questions unanswered."""

    def __init__(self, peers: QuotaPeers) -> None:
        self.peers = peers
        self.queries_sent = 0
        self._numbers = secrets.randbits(48)  #: so that a restarted node asks no old question
        self._open: dict[int, asyncio.Future[QuotaResponse | None]] = {}
        self._asked_at: dict[str, float] = {}
        self._unanswered: dict[str, float] = {}  #: since when
        self._tasks: set[asyncio.Task[None]] = set()

    async def ask(
        self, lender: str, organisation: str, timeout: float, *, relayed: bool = False
    ) -> QuotaDecision | None:
        """Ask a lender; None when it is silent for ``timeout`` seconds, or does not lend this."""
        self._numbers += 1
        number = self._numbers
        message_header = self.peers.message_header()
        ask = QuotaRequest(
            **message_header, correlation_id=number, organisation=organisation, relayed=relayed
        )
        fut: asyncio.Future[QuotaResponse | None] = self.loop.create_future()
        self._open[number] = fut
        self._note_asked(lender)
        self.peers.send(lender, ask)
        again = self.loop.call_later(RESEND_SECONDS, self.peers.send, lender, ask)
        end = self.loop.call_later(timeout, _give_up, fut)
        try:
            return _verdict_of(await fut)
        finally:
            again.cancel()
            end.cancel()
            self._open.pop(number, None)

    def handle_answer(self, answer: QuotaResponse) -> None:
        """Take an answer; one that comes too late belongs to nobody."""
        fut = self._open.pop(answer.correlation_id, None)
        if fut is not None and not fut.done():
            fut.set_result(answer)

    def mark_alive(self, instance: str) -> None:
        """Note a sign of life."""
        self._unanswered.pop(instance, None)

    def silent_seconds(self, instance: str) -> float:
        """Give for how many seconds a node has left questions unanswered."""
        now = self.now()
        return now - self._unanswered.get(instance, now)

    def was_asked_recently(self, instance: str) -> bool:
        """Say whether what is known of a node's silence still holds."""
        return self._since_asked(instance) < SILENCE_VALID_SECONDS

    def probe(self, instance: str) -> None:
        """Look whether a silent node is back, without waiting for it."""
        if self._since_asked(instance) >= PROBE_INTERVAL_SECONDS:
            self.spawn(self._look(instance))

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run something that nobody waits for."""
        task = self.loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _look(self, instance: str) -> None:
        await self.ask(instance, '', PROBE_TIMEOUT_SECONDS, relayed=True)

    def _note_asked(self, lender: str) -> None:
        now = self.now()
        self.queries_sent += 1
        if not self.was_asked_recently(lender):
            # What was lost long ago says nothing.
            self._unanswered.pop(lender, None)
        self._asked_at[lender] = now
        self._unanswered.setdefault(lender, now)

    def _since_asked(self, instance: str) -> float:
        return self.now() - self._asked_at.get(instance, -math.inf)


def build_answer(
    ask: QuotaRequest, verdict: QuotaDecision | None, message_header: dict[str, Any]
) -> QuotaResponse:
    """Give the answer to a question; without a verdict that this node does not lend the quota."""
    match verdict:
        case Granted():
            return QuotaResponse(
                **message_header, correlation_id=ask.correlation_id, status=QuotaStatus.GRANTED
            )
        case RetryLater(seconds):
            return QuotaResponse(
                **message_header,
                correlation_id=ask.correlation_id,
                status=QuotaStatus.EXHAUSTED,
                wait_seconds=seconds,
            )
    return QuotaResponse(
        **message_header, correlation_id=ask.correlation_id, status=QuotaStatus.NOT_LENDER
    )


def _verdict_of(answer: QuotaResponse | None) -> QuotaDecision | None:
    match answer:
        case QuotaResponse(status=QuotaStatus.GRANTED):
            return Granted()
        case QuotaResponse(status=QuotaStatus.EXHAUSTED, wait_seconds=wait):
            return RetryLater(wait)
    return None


def _give_up(fut: 'asyncio.Future[QuotaResponse | None]') -> None:
    if not fut.done():
        fut.set_result(None)
