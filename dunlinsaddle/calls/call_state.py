"""One call inside a node, and the calls that the local target is running."""

import asyncio
import itertools
import secrets
from collections.abc import Callable
from typing import NamedTuple

from dunlinsaddle.calls.http import MIN_SERVER_ERROR_STATUS
from dunlinsaddle.calls.messages import (
    MAX_TIMEOUT_SECONDS,
    Call,
    Headers,
    RelayedTargetState,
    Reply,
)
from dunlinsaddle.errors import Outcome
from dunlinsaddle.policy.context import CallContext, Priority
from dunlinsaddle.policy.retry import RetryAllowance
from dunlinsaddle.records.models import Rank
from dunlinsaddle.stats import Stats

#: Tokens are drawn once and counted on: a draw for each call would be a system call more.
_FIRST = secrets.token_hex(8)
_numbers = itertools.count()


class WaitTime:
    """How long one call waited for a peer, a slot or the target, in seconds."""

    __slots__ = ('seconds',)

    def __init__(self) -> None:
        self.seconds = 0.0


class Attempt(NamedTuple):
    """One send of a request: where, and how it ended."""

    instance: str
    kind: str  #: of the error, empty when the target answered
    status: int
    seconds: float


class PendingCall(NamedTuple):
    """A call with its context, and the retry tokens that it may still spend."""

    ctx: CallContext
    method: str
    path: str
    headers: Headers
    body: bytes
    allowance: RetryAllowance
    waits: WaitTime | None = None  #: None where nobody asks
    attempts: list[Attempt] | None = None  #: sends so far; None where nobody asks


def build_call_frame(
    call: PendingCall, now: float, handed: int, told: RelayedTargetState | None = None
) -> Call:
    """Give the frame that hands a call to another node."""
    ctx = call.ctx
    return Call(
        id=0,
        service=ctx.service,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
        request_id=ctx.request_id,
        caller=ctx.caller,
        rule=ctx.rule,
        rank=ctx.priority.rank,
        slot=ctx.priority.slot,
        timeout=ctx.deadline - now,
        retry_tokens=handed,
        hop=ctx.hop,
        idempotent=ctx.idempotent,
        idempotency_key=ctx.key,
        fingerprint=ctx.fingerprint,
        deaths=ctx.deaths,
        useful_seconds=min(max(ctx.useful_until - now, 0.0), MAX_TIMEOUT_SECONDS),
        resent=ctx.is_resend,
        organisation=ctx.organisation,
        target_state=told,
    )


def read_call_frame(frame: Call, now: float) -> PendingCall:
    """Give the call that a frame brought; its deadline is counted from its arrival."""
    ctx = CallContext(
        request_id=frame.request_id,
        caller=frame.caller,
        service=frame.service,
        rule=frame.rule,
        priority=Priority(Rank(frame.rank), frame.slot),
        deadline=now + frame.timeout,
        allowance=frame.retry_tokens,
        hop=frame.hop,
        idempotent=frame.idempotent,
        key=frame.idempotency_key,
        fingerprint=frame.fingerprint,
        deaths=frame.deaths,
        useful_until=now + frame.useful_seconds,
        is_resend=frame.resent,
        organisation=frame.organisation,
    )
    allowance = RetryAllowance(frame.retry_tokens)
    return PendingCall(
        ctx, frame.method, frame.path, frame.headers, frame.body, allowance, WaitTime()
    )


def record_added_latency(stats: Stats, call: PendingCall, reply: Reply, took: float) -> None:
    """Count what this node added to an answered call that was here for ``took`` seconds.

    Calls that run once at most also wait for the owner of their key, which is not known here,
    so they are left out.
    """
    if call.waits is not None and call.ctx.idempotent and reply.outcome is Outcome.DONE:
        stats.added(max(took - call.waits.seconds, 0.0))


class RunningCall:
    """A call that the local target is running, and the calls it makes meanwhile."""

    def __init__(
        self, call: PendingCall, now: float, on_wait: Callable[[float, bool], None] | None = None
    ) -> None:
        self.call = call
        self.token = f'{_FIRST}{next(_numbers):x}'
        self.started = now
        self.children: set[asyncio.Task[object]] = set()
        self.downstream_failure = ''  #: the deepest cause of a call of its that failed
        self.downstream_cost = 0.0  #: of its calls, in seconds of a whole target of their service
        self.downstream_retry_after = 0.0  #: seconds, as a call that was refused below was told
        self._on_wait = on_wait
        self._open = 0
        self._opened_at = 0.0
        self._away = 0.0

    def begin_downstream_wait(self, now: float) -> None:
        """Note that the target begins to wait for another service."""
        if not self._open:
            self._opened_at = now
            self._tell(now, waits=True)
        self._open += 1

    def end_downstream_wait(self, now: float) -> None:
        """Note the end of one such wait."""
        self._open -= 1
        if not self._open:
            self._away += now - self._opened_at
            self._tell(now, waits=False)

    def _tell(self, now: float, *, waits: bool) -> None:
        if self._on_wait is not None:
            self._on_wait(now, waits)

    def processing_seconds(self, now: float) -> float:
        """Give the seconds that the target spent itself.

        A target that waits for a slow service is not overloaded: with that wait counted in,
        a slow service deep down would shrink the limits of every target above it.
        """
        away = self._away + (now - self._opened_at if self._open else 0.0)
        return max(now - self.started - away, 0.0)


class RunningCalls:
    """The calls in progress at the local target, by the token that the target passes on."""

    def __init__(self) -> None:
        self._calls: dict[str, RunningCall] = {}
        self._by_request: dict[str, RunningCall] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    def add(self, running: RunningCall) -> None:
        """Note a call that is about to be given to the target."""
        self._calls[running.token] = running
        self._by_request[running.call.ctx.request_id] = running
        self._idle.clear()

    def remove(self, running: RunningCall) -> None:
        """Note its end; calls it still has out are cancelled, for nobody waits for them."""
        self._calls.pop(running.token, None)
        request_id = running.call.ctx.request_id
        if self._by_request.get(request_id) is running:
            del self._by_request[request_id]
        for task in list(running.children):
            task.cancel()
        if not self._calls:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until none is in progress."""
        await self._idle.wait()

    def find(self, token: str) -> RunningCall | None:
        """Give the call that a token belongs to."""
        return self._calls.get(token)

    def find_parent(self, request_id: str) -> RunningCall | None:
        """Give the call that a request is made for, by its id; None if none is known.

        Targets that pass no token derive the ids of their calls from the id that they work for:
        a separator and a part of its own behind it. Only an id that extends one which the
        local target is running now says so; every other request counts as one at the entry.
        """
        return self._by_request.get(_parent_id(request_id))

    def __len__(self) -> int:
        return len(self._calls)


def is_derived_request_id(request_id: str) -> bool:
    """Say whether an id has the form of those that targets give to their calls."""
    return bool(_parent_id(request_id))


def _parent_id(request_id: str) -> str:
    end = len(request_id)
    while end and request_id[end - 1].isalnum():
        end -= 1
    return request_id[: end - 1] if end > 1 else ''


def downstream_retry_after(reply: Reply, running: RunningCall) -> float:
    """Give the seconds after which a call that failed for a refusal below may come again.

    Targets answer a refused call of theirs with a status of their own, mostly 502 and without
    Retry-After. The caller would ask again at once, and the routers would take the overload of
    a service below for a fault of this target.
    """
    failed = reply.status >= MIN_SERVER_ERROR_STATUS and running.call.ctx.idempotent
    if not failed or any(name == b'retry-after' for name, _ in reply.headers):
        return 0.0
    return running.downstream_retry_after
