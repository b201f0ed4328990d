"""HTTP handlers for requests of callers and of the local target."""

import asyncio
from collections.abc import Callable
from typing import TypedDict

import msgspec
import uuid6
import xxhash

from dunlinsaddle.calls.call_state import (
    PendingCall,
    RunningCall,
    RunningCalls,
    WaitTime,
    record_added_latency,
)
from dunlinsaddle.calls.dispatch import Dispatcher
from dunlinsaddle.calls.http import (
    HttpRequest,
    HttpResponse,
    failure_response,
    forwarded_headers,
    json_response,
    response_from_reply,
)
from dunlinsaddle.calls.messages import Reply, refusal
from dunlinsaddle.calls.target import TOKEN_HEADER, LocalTarget
from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.policy.classify import classify
from dunlinsaddle.policy.context import MAX_HOPS, CallContext, inherit_priority, priority_of
from dunlinsaddle.policy.resend_guard import ResendGuard
from dunlinsaddle.policy.retry import RetryAllowance
from dunlinsaddle.records.models import Mode, RequestRule, ServiceRecord
from dunlinsaddle.records.record_cache import RecordCache
from dunlinsaddle.settings import parse_address
from dunlinsaddle.stats import CallLabel, Stats

MAX_ID_LENGTH = 128  #: characters; common formats of request ids have 16 to 36
KEYS_PATH = '/-/keys/'
NO_RECORD_RETRY_AFTER_SECONDS = 1.0
UNTRACED_RULE = RequestRule('untraced', '*', '/**')


class Announcement(TypedDict):
    """Body of the request by which a target announces its service and its address."""

    service: str
    address: str


class ServicePath(TypedDict):
    """A request path split into the service name and the rest."""

    service: str
    rest: str


def split_path(path: str) -> ServicePath:
    """Split ``/service/rest``.

    >>> split_path('/slab-stock/slabs/3?full=1')
    {'service': 'slab-stock', 'rest': '/slabs/3?full=1'}
    """
    service, slash, rest = path.lstrip('/').partition('/')
    return ServicePath(service=service.partition('?')[0], rest=f'/{rest}' if slash else '/')


def parse_timeout(text: str, default: float) -> float:
    """Parse a Request-Timeout header in seconds; ``default`` is its maximum, used if invalid."""
    try:
        seconds = float(text)
    except ValueError:
        return default
    return min(seconds, default) if seconds > 0 else default


class CallerHandler:
    """Handles requests of callers, at any node: classifies a request and dispatches it."""

    def __init__(
        self,
        record_cache: RecordCache,
        dispatcher: Dispatcher,
        stats: Stats,
        on_unknown_outcome: Callable[[CallContext, str], None] = lambda ctx, kind: None,
    ) -> None:
        self.record_cache = record_cache
        self.dispatcher = dispatcher
        self.stats = stats
        self.on_unknown_outcome = on_unknown_outcome
        self.resend_guard = ResendGuard()

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle one request of a caller."""
        if req.path.startswith(KEYS_PATH):
            return await self._generate_key(req)
        path = split_path(req.path)
        record = self.record_cache.find(path['service'])
        if record is None:
            return failure_response(_no_record_failure(req, path['service']))
        rule = classify(record, req.method, path['rest'])
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        call = self._build_call(req, record, rule, path['rest'])
        request_key = req.header(b'idempotency-key') or req.header(b'request-id')
        failure = self._check_resend_rate(call, record, request_key)
        reply = refusal(failure) if failure else await self.dispatcher.dispatch(call)
        self._record_result(call, reply, request_key)
        label = CallLabel(record.service, rule.rank.name.lower(), reply.outcome.value, reply.kind)
        self.stats.record_call(label)
        if reply.outcome is Outcome.UNKNOWN:
            self.on_unknown_outcome(call.ctx, reply.kind)
        record_added_latency(self.stats, call, reply, loop.time() - started_at)
        return self._build_response(reply, call)

    async def _generate_key(self, req: HttpRequest) -> HttpResponse:
        service = req.path.removeprefix(KEYS_PATH)
        if self.record_cache.find(service) is None or self.dispatcher.idempotency_router is None:
            return failure_response(Failure(ErrorKind.UNKNOWN_SERVICE, service))
        if req.method != 'POST':
            return failure_response(Failure(ErrorKind.METHOD_NOT_ALLOWED, req.method))
        return json_response(
            {'key': (await self.dispatcher.idempotency_router.generate_key(service)).text}
        )

    def _check_resend_rate(
        self, call: PendingCall, record: ServiceRecord, request_key: str
    ) -> Failure | None:
        ctx = call.ctx
        if not request_key:
            # Two equal requests without a key or a request id may come from different users.
            return None
        if ctx.key and not ctx.idempotent:
            # An earlier attempt may be running, so this node must not answer that the request
            # did not run. The owner of the key detects duplicates by one table lookup.
            return None
        failure = self.resend_guard.check(
            asyncio.get_running_loop().time(),
            ctx.caller,
            request_key,
            rank=ctx.priority.rank,
            ratio=record.resend_ratio,
        )
        if failure is None:
            return None
        if record.mode is Mode.OBSERVE:
            self.stats.observed_refusals[failure.kind.value] += 1
            return None
        self.stats.shed[failure.kind.value] += 1
        return failure

    def _record_result(self, call: PendingCall, reply: Reply, request_key: str) -> None:
        ctx = call.ctx
        if not request_key:
            return
        if reply.retry_after <= 0:
            if not reply.kind:
                self.resend_guard.record_answer(ctx.caller, request_key)
        else:
            now = asyncio.get_running_loop().time()
            self.resend_guard.record_refusal(now, ctx.caller, request_key, reply.retry_after)

    def _build_call(
        self, req: HttpRequest, record: ServiceRecord, rule: RequestRule, rest: str
    ) -> PendingCall:
        now = asyncio.get_running_loop().time()
        request_id = req.header(b'request-id')[:MAX_ID_LENGTH].strip() or str(uuid6.uuid7())
        ctx = CallContext(
            request_id=request_id,
            caller=caller_id(req),
            service=record.service,
            rule=rule.name,
            priority=priority_of(rule.rank, request_id),
            deadline=now + parse_timeout(req.header(b'request-timeout'), record.deadline),
            allowance=record.retry_bound,
            hop=0,
            idempotent=rule.idempotent,
            key=req.header(b'idempotency-key')[:MAX_ID_LENGTH],
            fingerprint=request_fingerprint(req, record.service),
        )
        headers = forwarded_headers(req.headers)
        allowance = RetryAllowance(record.retry_bound)
        return PendingCall(ctx, req.method, rest, headers, req.body, allowance, WaitTime())

    def _build_response(self, reply: Reply, call: PendingCall) -> HttpResponse:
        response = response_from_reply(reply)
        response.headers.append((b'request-id', call.ctx.request_id.encode('latin-1')))
        return response._replace(useful_until=call.ctx.deadline)


def _no_record_failure(req: HttpRequest, service: str) -> Failure:
    """Return the failure for a service that has no record at this node.

    A node that has just started may not have received the record yet. A request with an
    idempotency key may be a resend of a request that ran, so its failure must not claim that it
    did not run.
    """
    if req.header(b'idempotency-key'):
        detail = f'no record of {service} is known here'
        return Failure(ErrorKind.OWNER_UNREACHABLE, detail, NO_RECORD_RETRY_AFTER_SECONDS)
    return Failure(ErrorKind.UNKNOWN_SERVICE, service)


class LocalTargetHandler:
    """Handles requests of the local target: announcement, drain and calls to other services."""

    def __init__(
        self,
        target: LocalTarget,
        running: RunningCalls,
        record_cache: RecordCache,
        dispatcher: Dispatcher,
    ) -> None:
        self.target = target
        self.running = running
        self.record_cache = record_cache
        self.dispatcher = dispatcher
        self.target_changed = asyncio.Event()

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Handle one request of the local target."""
        match (req.method, req.path):
            case ('POST', '/-/announce'):
                return self._announce(req)
            case ('POST', '/-/drain'):
                self.target.drain()
                self.target_changed.set()
                return json_response({'draining': True})
            case (_, path) if path.startswith('/-/'):
                return failure_response(Failure(ErrorKind.NOT_FOUND, path))
        return await self._forward(req)

    def _announce(self, req: HttpRequest) -> HttpResponse:
        try:
            announcement = msgspec.json.decode(req.body, type=Announcement)
            address = parse_address(announcement['address'])
        except (msgspec.MsgspecError, ValueError) as exc:
            return failure_response(Failure(ErrorKind.MALFORMED_REQUEST, f'announcement: {exc}'))
        self.target.announce(announcement['service'], address)
        self.target_changed.set()
        return json_response({'instance': self.dispatcher.instance})

    async def _forward(self, req: HttpRequest) -> HttpResponse:
        path = split_path(req.path)
        record = self.record_cache.find(path['service'])
        if record is None:
            return failure_response(Failure(ErrorKind.UNKNOWN_SERVICE, path['service']))
        parent = self.running.find(req.header(TOKEN_HEADER))
        call = self._build_call(req, record, path['rest'], parent)
        if call.ctx.hop > MAX_HOPS:
            return failure_response(Failure(ErrorKind.TOO_DEEP))
        if parent is None:
            return response_from_reply(await self.dispatcher.dispatch(call))
        return await self._forward_for_parent(parent, call)

    async def _forward_for_parent(self, parent: RunningCall, call: PendingCall) -> HttpResponse:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        parent.children.add(task)
        parent.begin_downstream_wait(loop.time())
        try:
            reply = await self.dispatcher.dispatch(call, parent.call.ctx.rule)
            if reply.kind and reply.outcome is Outcome.NOT_RUN:
                parent.downstream_retry_after = max(
                    parent.downstream_retry_after, reply.retry_after
                )
            return response_from_reply(reply)
        finally:
            parent.children.discard(task)
            parent.end_downstream_wait(loop.time())

    def _build_call(
        self, req: HttpRequest, record: ServiceRecord, rest: str, parent: RunningCall | None
    ) -> PendingCall:
        """Build a call that inherits the context of its parent; without one it has no retries."""
        rule = classify(record, req.method, rest)
        now = asyncio.get_running_loop().time()
        headers = forwarded_headers(req.headers)
        root = parent.call.ctx if parent else None
        request_id = root.request_id if root else str(uuid6.uuid7())
        allowance = parent.call.allowance if parent else RetryAllowance(0)
        deadline = now + parse_timeout(req.header(b'request-timeout'), record.deadline)
        ctx = CallContext(
            request_id=request_id,
            caller=root.caller if root else 'local',
            service=record.service,
            rule=rule.name,
            priority=inherit_priority(root.priority, rule.rank)
            if root
            else priority_of(rule.rank, request_id),
            deadline=min(root.deadline, deadline) if root else deadline,
            allowance=allowance.tokens,
            hop=root.hop + 1 if root else 0,
            idempotent=rule.idempotent,
            key=req.header(b'idempotency-key')[:MAX_ID_LENGTH],
            fingerprint=root.fingerprint if root else request_fingerprint(req, record.service),
            own_fingerprint=request_fingerprint(req, record.service) if root else 0,
        )
        return PendingCall(ctx, req.method, rest, headers, req.body, allowance)


def caller_id(req: HttpRequest) -> str:
    """Return an id of the caller from its address and its credentials, if it sends any.

    The credentials distinguish callers behind one gateway; they are not verified here. A caller
    that changes them with every request gets a new resend bucket each time, and is still
    limited by admission control.
    """
    credentials = req.header(b'authorization')
    if not credentials:
        return req.remote
    return f'{req.remote}/{xxhash.xxh64_hexdigest(credentials.encode())}'


def request_fingerprint(req: HttpRequest, service: str) -> int:
    """Return a hash that is the same for a request and its resends."""
    digest = xxhash.xxh64(service.encode())
    digest.update(req.method.encode())
    digest.update(req.path.encode('latin-1'))
    digest.update(req.body)
    return digest.intdigest()
