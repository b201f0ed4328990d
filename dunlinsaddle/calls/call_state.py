"""State of one call inside a node, and of the calls that the local target is running."""

import asyncio
import itertools
import secrets
from collections.abc import Callable
from typing import NamedTuple

from dunlinsaddle.calls.http import MIN_SERVER_ERROR_STATUS
from dunlinsaddle.calls.messages import (
    MAX_TIMEOUT_SECONDS,
    Body,
    Call,
    Headers,
    RefusedCalls,
    RelayedTargetState,
    Reply,
)
from dunlinsaddle.errors import Outcome
from dunlinsaddle.policy.context import CallContext, Priority
from dunlinsaddle.policy.quarantine import crashes_by_number, number_of_crashes
from dunlinsaddle.policy.retry import RetryAllowance
from dunlinsaddle.records.models import Rank
from dunlinsaddle.stats import Stats

#: A random prefix and a counter make up a token: random bytes per call would cost a system call.
_TOKEN_PREFIX = secrets.token_hex(8)
_token_numbers = itertools.count()


class WaitTime:
    """Seconds that one call has waited for a peer, for admission or for the target."""

    __slots__ = ('seconds',)

    def __init__(self) -> None:
        self.seconds = 0.0


class Attempt(NamedTuple):
    """One attempt to send a request: the instance it went to, and the result."""

    instance: str
    kind: str  #: the error kind, empty when the target answered
    status: int
    seconds: float
    outcome: str  #: what the result was taken for
    connection: int  #: of the instance to its target, 0 if the target got nothing
    earlier_answers: int  #: that the connection had brought before


class PendingCall(NamedTuple):
    """A call with its context and the retry tokens that it may still spend."""

    ctx: CallContext
    method: str
    path: str
    headers: Headers
    body: Body
    allowance: RetryAllowance
    wait_time: WaitTime | None = None  #: None if not recorded
    attempts: list[Attempt] | None = None  #: attempts so far; None if not recorded


def build_call_frame(
    call: PendingCall, now: float, tokens: int, target_state: RelayedTargetState | None = None
) -> Call:
    """Return the frame that forwards a call to another node with ``tokens`` retry tokens."""
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
        retry_tokens=tokens,
        hop=ctx.hop,
        idempotent=ctx.idempotent,
        idempotency_key=ctx.key,
        fingerprint=ctx.fingerprint,
        crash_count=number_of_crashes(ctx.crashes),
        crashes=list(ctx.crashes),
        own_fingerprint=ctx.own_fingerprint,
        useful_seconds=min(max(ctx.useful_until - now, 0.0), MAX_TIMEOUT_SECONDS),
        resent=ctx.is_resend,
        organisation=ctx.organisation,
        target_state=target_state,
    )


def read_call_frame(frame: Call, now: float) -> PendingCall:
    """Return the call from a received frame; its deadline counts from its arrival ``now``."""
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
        own_fingerprint=frame.own_fingerprint,
        crashes=tuple(frame.crashes) or crashes_by_number(frame.crash_count),
        useful_until=now + frame.useful_seconds,
        is_resend=frame.resent,
        organisation=frame.organisation,
    )
    allowance = RetryAllowance(frame.retry_tokens)
    return PendingCall(
        ctx, frame.method, frame.path, frame.headers, frame.body, allowance, WaitTime()
    )


def record_added_latency(stats: Stats, call: PendingCall, reply: Reply, elapsed: float) -> None:
    """Record the latency that this node added to a call answered after ``elapsed`` seconds.

    Calls that are not idempotent are left out: they also wait for the owner of their key, and
    that time is not known here.
    """
    if call.wait_time is not None and call.ctx.idempotent and reply.outcome is Outcome.DONE:
        stats.record_added_time(max(elapsed - call.wait_time.seconds, 0.0))


class RunningCall:
    """A call that the local target is running, and the downstream calls made for it."""

    def __init__(
        self,
        call: PendingCall,
        now: float,
        on_wait_change: Callable[[float, bool], None] | None = None,
    ) -> None:
        self.call = call
        self.token = f'{_TOKEN_PREFIX}{next(_token_numbers):x}'
        self.started_at = now
        self.children: set[asyncio.Task[object]] = set()
        self.downstream_failure = ''  #: root cause of a failed downstream call
        #: Sum over its downstream calls, in seconds of a whole target of their service.
        self.downstream_cost = 0.0
        self.downstream_calls: dict[str, int] = {}  #: number of calls by service
        #: Calls to services further down that refuse them, as reported with replies.
        self.refused_calls: dict[str, RefusedCalls] = {}
        self.downstream_retry_after = 0.0  #: seconds, the longest of refused downstream calls
        self._on_wait_change = on_wait_change
        self._open_waits = 0
        self._wait_started_at = 0.0
        self._waited_seconds = 0.0

    def begin_downstream_wait(self, now: float) -> None:
        """Record that the target starts to wait for another service."""
        if not self._open_waits:
            self._wait_started_at = now
            self._notify_wait_change(now, is_waiting=True)
        self._open_waits += 1

    def end_downstream_wait(self, now: float) -> None:
        """Record the end of one wait for another service."""
        self._open_waits -= 1
        if not self._open_waits:
            self._waited_seconds += now - self._wait_started_at
            self._notify_wait_change(now, is_waiting=False)

    def _notify_wait_change(self, now: float, *, is_waiting: bool) -> None:
        if self._on_wait_change is not None:
            self._on_wait_change(now, is_waiting)

    def processing_seconds(self, now: float) -> float:
        """Return the seconds that the target spent on the call itself, without downstream waits.

        A target that waits for a slow service is not overloaded. If the wait were included, a
        slow service deep in the call graph would lower the concurrency limit of every target
        above it.
        """
        waited_seconds = self._waited_seconds + (
            now - self._wait_started_at if self._open_waits else 0.0
        )
        return max(now - self.started_at - waited_seconds, 0.0)


class RunningCalls:
    """The calls in progress at the local target, by the token that the target propagates."""

    def __init__(self) -> None:
        self._by_token: dict[str, RunningCall] = {}
        self._by_request: dict[str, RunningCall] = {}
        self._counts: dict[str, int] = {}  #: calls in progress by request id
        self._idle = asyncio.Event()
        self._idle.set()

    def add(self, running: RunningCall) -> None:
        """Add a call that is about to be sent to the target."""
        self._by_token[running.token] = running
        request_id = running.call.ctx.request_id
        self._by_request[request_id] = running
        self._counts[request_id] = self._counts.get(request_id, 0) + 1
        self._idle.clear()

    def remove(self, running: RunningCall) -> None:
        """Remove a call that has ended, and cancel its downstream calls still in progress."""
        if self._by_token.pop(running.token, None) is None:
            return
        request_id = running.call.ctx.request_id
        self._counts[request_id] -= 1
        if not self._counts[request_id]:
            del self._counts[request_id]
        if self._by_request.get(request_id) is running:
            del self._by_request[request_id]
        for task in list(running.children):
            task.cancel()
        if not self._by_token:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no call is in progress."""
        await self._idle.wait()

    def is_running(self, request_id: str) -> bool:
        """Return whether a call with this request id is in progress."""
        return request_id in self._counts

    def find(self, token: str) -> RunningCall | None:
        """Return the running call with this token, or None."""
        return self._by_token.get(token)

    def find_parent(self, request_id: str) -> RunningCall | None:
        """Return the running call that a request was made for, by its request id, or None.

        Targets that propagate no token derive the request ids of their downstream calls from
        the id of the call that they run, by appending a separator and a suffix. A request
        counts as a downstream call only if its id extends the id of a call that the local
        target is running now; any other request counts as coming from outside.
        """
        return self._by_request.get(_parent_id(request_id))

    def fingerprints(self) -> set[int]:
        """Return the fingerprints of all calls in progress."""
        return {running.call.ctx.run_fingerprint for running in self._by_token.values()}

    def __len__(self) -> int:
        return len(self._by_token)


def is_derived_request_id(request_id: str) -> bool:
    """Return whether a request id has the form of ids that targets derive for their calls."""
    return bool(_parent_id(request_id))


def _parent_id(request_id: str) -> str:
    end = len(request_id)
    while end and request_id[end - 1].isalnum():
        end -= 1
    return request_id[: end - 1] if end > 1 else ''


def downstream_retry_after(reply: Reply, running: RunningCall) -> float:
    """Return the Retry-After seconds of a call that failed because a downstream call was refused.

    When a downstream call is refused, targets mostly answer 502 without Retry-After. Without
    this value the caller would retry at once, and routers would count the overload of the
    downstream service as an error of this target.
    """
    failed = reply.status >= MIN_SERVER_ERROR_STATUS and running.call.ctx.idempotent
    if not failed or any(name == b'retry-after' for name, _ in reply.headers):
        return 0.0
    return running.downstream_retry_after
