"""Builders of test data: each returns a valid default with the changes that a test passes."""

import asyncio
import io
import json
import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from heapq import heappop, heappush
from random import Random
from typing import Any

from dunlinsaddle.access.configuration_lease import ConfigurationLease
from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.calls.messages import Call, Reply
from dunlinsaddle.environment import Environment
from dunlinsaddle.errors import Outcome
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.platform.configuration import read_configuration
from dunlinsaddle.platform.store import ObjectStore
from dunlinsaddle.policy.admission import Ticket
from dunlinsaddle.policy.concurrency_limit import AdaptiveLimit
from dunlinsaddle.policy.context import CallContext, Priority
from dunlinsaddle.policy.learned_state import FORMAT_VERSION, LearnedState, RuleCost, RuleTime
from dunlinsaddle.policy.retry import RetryAllowance
from dunlinsaddle.records.changes import Change
from dunlinsaddle.records.models import Rank, RequestRule, ServiceRecord
from dunlinsaddle.records.record_cache import RecordCache
from dunlinsaddle.records.sync import RecordSync
from dunlinsaddle.routes.config_follower import ConfigFollower
from dunlinsaddle.settings import Address, Settings, read_settings
from tests.fakes.network import open_in_memory

PEER_KEY = 'a-key-for-tests'
OPERATOR_TOKEN = 'a-token-for-tests'


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def build_environment(**changes: Any) -> Environment:
    values: dict[str, Any] = {
        'stdout': io.StringIO(),
        'stderr': io.StringIO(),
        'stdin': io.StringIO(),
        'environ': {},
        'rng': Random(7),
        'open_gossip': open_in_memory,
        'boottime_clock': _loop_time,
        **changes,
    }
    return Environment(**values)


def build_settings(**changes: str) -> Settings:
    flags = {
        'instance': 'bangor-1',
        'domain': 'bangor-hall',
        'platform': '127.0.0.1:9',
        'peer-key': PEER_KEY,
        'operator-token': OPERATOR_TOKEN,
        **{name.replace('_', '-'): text for name, text in changes.items()},
    }
    return read_settings(flags, {}).unwrap()


def build_logger(name: str = 'test') -> logging.Logger:
    logger = logging.getLogger(f'dunlinsaddle.tests.{name}')
    logger.addHandler(logging.NullHandler())
    logger.propagate = False
    return logger


def build_follower(store: ObjectStore) -> ConfigFollower:
    return ConfigFollower(
        store,
        'config',
        'main',
        read_configuration,
        Random(1),
        build_logger('follow'),
        ConfigurationLease(_loop_time, None),
    )


@asynccontextmanager
async def running_follower(store: ObjectStore) -> AsyncIterator[ConfigFollower]:
    """Run a configuration follower until the end of the block."""
    follower = build_follower(store)
    task = asyncio.create_task(follower.run())
    try:
        yield follower
    finally:
        task.cancel()


def build_record_sync(store: ObjectStore) -> RecordSync:
    """Build the record sync of a node that knows no other nodes."""
    member = build_member()
    logger = build_logger('records')
    return RecordSync(RecordCache(), store, MemberView(), None, lambda: member, Random(1), logger)  # type: ignore[arg-type]


def build_record(service: str = 'cut-orders', **changes: Any) -> ServiceRecord:
    rules = (
        RequestRule('release', 'POST', '/orders/*/release', Rank.CRITICAL, False),
        RequestRule('read', 'GET', '/orders/**'),
    )
    return ServiceRecord(service, 2, rules=rules)._replace(**changes)


def build_document(service: str = 'cut-orders', **changes: Any) -> dict[str, Any]:
    return {
        'schema': 2,
        'service': service,
        'requests': [
            {
                'name': 'release',
                'method': 'POST',
                'path': '/orders/*/release',
                'rank': 'critical',
                'idempotent': False,
            }
        ],
        **changes,
    }


def build_change(change_id: str = 'change-1', **changes: Any) -> Change:
    base = Change(
        id=change_id,
        service='cut-orders',
        doc=build_document(),
        expected=0,
        who='ann',
        why='trial',
        when=1_700_000_000.0,
    )
    return base._replace(**changes)


def build_member(instance: str = 'bangor-1', **changes: Any) -> Member:
    port = 1000 + sum(instance.encode()) % 1000
    base = Member(
        instance=instance,
        incarnation=1,
        state=State.ALIVE,
        domain='bangor-hall',
        service='cut-orders',
        peers=Address('127.0.0.1', port),
        gossip=Address('127.0.0.1', port + 1000),
    )
    return base._replace(**changes)


def build_ticket(call_id: int = 1, **changes: Any) -> Ticket:
    return Ticket(call_id, level=200, arrived_at=0.0, deadline=10.0)._replace(**changes)


def build_pending_call(tokens: int = 3, **changes: Any) -> PendingCall:
    ctx = CallContext(
        request_id='request-1',
        caller='tablet',
        service='cut-orders',
        rule='read',
        priority=Priority(Rank.NORMAL, 5),
        deadline=10.0,
        allowance=tokens,
        hop=0,
        idempotent=True,
        key='',
        fingerprint=1,
    )
    return PendingCall(ctx._replace(**changes), 'GET', '/orders/1', [], b'', RetryAllowance(tokens))


def build_call(call_id: int = 1, **changes: Any) -> Call:
    values: dict[str, Any] = {
        'id': call_id,
        'service': 'cut-orders',
        'method': 'GET',
        'path': '/orders/1',
        'headers': [],
        'body': b'',
        'request_id': 'r-1',
        'caller': '127.0.0.1',
        'rule': 'read',
        'rank': 2,
        'slot': 5,
        'timeout': 10.0,
        'retry_tokens': 0,
        'hop': 0,
        'idempotent': True,
        **changes,
    }
    return Call(**values)


def build_reply(body: bytes = b'', **changes: Any) -> Reply:
    values: dict[str, Any] = {'id': 0, 'status': 200, 'headers': [], 'outcome': Outcome.DONE}
    return Reply(**{**values, 'body': body, **changes})


def build_release_call(key: str = '', **changes: Any) -> PendingCall:
    """Build a call that must run at most once.

    Needs a running event loop, whose clock sets the deadline.
    """
    pending_call = build_pending_call(
        2,
        rule='release',
        idempotent=False,
        key=key,
        **{'deadline': asyncio.get_running_loop().time() + 10.0, **changes},
    )
    headers = [(b'idempotency-key', key.encode())] if key else []
    return pending_call._replace(method='POST', path='/orders/1/release', headers=headers)


def build_trace_lines(load: float = 0.5) -> list[str]:
    """Build a trace of one service with two targets of ten slots each."""
    lines: list[dict[str, Any]] = [
        {'kind': 'trace', 'name': 'small', 'duration': 9, 'domains': ['bangor-hall']},
        {'kind': 'service', 'name': 'stock', 'targets': 2, 'slots': 10, 'service_time': 0.1},
        {'kind': 'chain', 'name': 'read', 'service': 'stock'},
        {'kind': 'demand', 'at': 0, 'until': 9, 'load': load},
    ]
    return [json.dumps(line) for line in lines]


def build_learned_state(**changes: Any) -> LearnedState:
    """Build the state that a node beside a target of ``deep`` has learned."""
    values: dict[str, Any] = {
        'format_version': FORMAT_VERSION,
        'written_at': 1_700_000_000.0,
        'instance': 'b',
        'service': 'deep',
        'incarnation': 'i-1/1',
        'service_times': [RuleTime('', 0.2), RuleTime('deep', 0.2)],
        'call_times': [RuleTime('deep', 0.25)],
        'costs': [RuleCost('deep', Rank.NORMAL, 0.02, 0.5)],
        **changes,
    }
    return LearnedState(**values)


class FakeServer:
    """Simulates a target that always has more requests than its concurrency limit admits."""

    def __init__(self, slots: int, service_time: float) -> None:
        self.slots = slots
        self.service_time = service_time
        self.now = 0.0
        self.rng = Random(3)
        self.inflight = 0
        self._slot_free_times = [0.0] * slots
        self._running: list[tuple[float, float, int]] = []  #: end, start, cohort

    def run(self, limit: AdaptiveLimit, seconds: float) -> None:
        end_time = self.now + seconds
        while self.now < end_time:
            while self.inflight < limit.value:
                self._start(limit)
            end, started_at, cohort = heappop(self._running)
            self.now = end
            self.inflight -= 1
            limit.record_finish(end, cohort, 'read', end - started_at)

    def _start(self, limit: AdaptiveLimit) -> None:
        self.inflight += 1
        start = max(self.now, heappop(self._slot_free_times))
        end = start + self.service_time * (0.5 + 0.5 * self.rng.expovariate(1.0))
        heappush(self._slot_free_times, end)
        heappush(self._running, (end, self.now, limit.record_start(self.inflight)))


def build_route(name: str = 'r', **changes: Any) -> dict[str, Any]:
    specification = {
        'host': 'h.example',
        'pathPrefix': changes.pop('prefix', '/a/'),
        'kind': 'safe',
        'timeout': '800ms',
        'targetLatency': '1500ms',
        'priority': 2,
        'service': 'svc',
        'attempts': 2,
        **changes,
    }
    present = {key: value for key, value in specification.items() if value is not None}
    return {'resourceKind': 'routes', 'metadata': {'name': name}, 'specification': present}


def build_tenant(name: str = 'org', *keys: str, **changes: Any) -> dict[str, Any]:
    """Build an organisation as a resource of the platform's configuration."""
    specification = {'apiKeys': list(keys or (f'key-of-{name}',)), **changes}
    return {'resourceKind': 'tenants', 'metadata': {'name': name}, 'specification': specification}


def build_configuration(
    version: str = 'r7',
    routes: list[dict[str, Any]] | None = None,
    tenants: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 1 << 20,
        'headerTimeout': '3000ms',
        'idleTimeout': '15000ms',
    }
    routes = [build_route()] if routes is None else routes
    services = {route['specification'].get('service') for route in routes}
    service = {'healthPath': '/health', 'maxConnections': 952}
    return {
        'version': version,
        'resources': [
            *routes,
            *(
                {'resourceKind': 'services', 'metadata': {'name': name}, 'specification': service}
                for name in sorted({'svc'} | {s for s in services if isinstance(s, str)})
            ),
            *(tenants or []),
            {'resourceKind': 'limits', 'metadata': {}, 'specification': limits},
        ],
    }


def build_node_file(**changes: Any) -> dict[str, Any]:
    """Build the settings file that the platform gives a node, as the platform documents it."""
    return {
        'nodeName': 'sidecar-bangor-hall-1',
        'ipAddress': '10.1.0.8',
        'zone': 'bangor-hall',
        'region': 'gwynedd',
        'listen': {
            'inbound': '10.1.0.8:8300',
            'outbound': '10.1.0.8:8304',
            'ready': '10.1.0.8:8302',
            'control': '10.1.0.8:8306',
        },
        'internalPortRange': [7620, 7635],
        'seeds': [],
        'bounds': {
            'drain': '2000ms',
            'grace': '6s',
            'retryBudgetRatio': 0.2,
            'retryBudgetExtra': 55,
            'budgetWindow': '10s',
        },
        'appAddress': '10.1.0.8:8301',
        'service': 'huvo11a',
        'platform': {'address': '10.200.1.7:8309'},
        **changes,
    }
