"""The metrics of a node on the platform, as text for Prometheus.

Histograms are plain counts with the label ``le``, observed when somebody asks: recording each
call with an instrument took 17 us, a tenth of what a node spends on it.
"""

import asyncio
import math
from collections import Counter
from typing import Protocol

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import CollectorRegistry, generate_latest

from dunlinsaddle.access.freshness import Freshness
from dunlinsaddle.access.quotas import Quotas
from dunlinsaddle.calls.http import HttpRequest, HttpResponse, failure_response
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.membership.view import MemberView
from dunlinsaddle.mesh.heartbeat_endpoint import HeartbeatEndpoint
from dunlinsaddle.mesh.settings import MeshSettings
from dunlinsaddle.mesh.target_status import TargetStatus
from dunlinsaddle.metrics import Metrics, Values, cumulative, observe_stats
from dunlinsaddle.platform.client import HttpObjectStore
from dunlinsaddle.platform.store import ObjectStore, place_of
from dunlinsaddle.policy.quota import QuotaLedger
from dunlinsaddle.policy.retry_budget import RetryBudget
from dunlinsaddle.policy.slots import SlotAdmission
from dunlinsaddle.routes.follow import ConfigFollower
from dunlinsaddle.stats import LATENCY_BOUNDS, Stats

MAX_AGE_SECONDS = 86_400.0  #: seconds; a gauge takes no infinite age
MAX_REPORTED_ORGANISATIONS = (
    10  #: organisations in a metric: a label for each would grow with the customers
)
PATH = '/metrics'
CONTENT_TYPE = b'text/plain; version=0.0.4; charset=utf-8'


class MetricsSource(Protocol):
    """The parts of a node that metrics are read from."""

    settings: MeshSettings
    stats: Stats
    admission: SlotAdmission
    view: MemberView
    budget: RetryBudget
    follower: ConfigFollower
    heartbeat_endpoint: HeartbeatEndpoint
    store: ObjectStore
    freshness: Freshness
    ledger: QuotaLedger
    target_status: TargetStatus
    quotas: Quotas


class MeshMetrics:
    """The instruments of one node, and the face that shows them."""

    def __init__(self, node: MetricsSource) -> None:
        self.node = node
        reader = PrometheusMetricReader(disable_target_info=True, scope_info_enabled=False)
        # The exporter puts its collector into the registry of the process, which several nodes
        # in one process would share.
        self.registry = CollectorRegistry()
        self.registry.register(reader._collector)
        cfg = node.settings
        resource = {'service.name': 'dunlinsaddle', 'service.instance.id': cfg.instance}
        self.metrics = Metrics(resource, further=[reader])
        # A reader that cuts the answer short keeps what tells a node's beliefs: they are few lines,
        # and come before the histograms.
        self._observe_beliefs()
        self._observe_target()
        self._observe_access()
        observe_stats(self.metrics, node.stats)
        self._observe_calls()

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Answer a question for the metrics."""
        if req.method != 'GET' or req.path.partition('?')[0] != PATH:
            return failure_response(Failure(ErrorKind.NOT_FOUND, req.path))
        headers = [(b'content-type', CONTENT_TYPE)]
        return HttpResponse(200, headers, generate_latest(self.registry))

    def close(self) -> None:
        """Let go of the instruments."""
        self.metrics.close()

    def _observe_calls(self) -> None:
        add, node = self.metrics, self.node
        add.counter(
            'dunlinsaddle.latency_bucket',
            '{call}',
            'Calls that took at most so many seconds, cumulative, by hop.',
            lambda: _latency(node.stats),
        )
        add.gauge('dunlinsaddle.load', '{call}', 'Load of the target.', self._load)
        add.gauge(
            'dunlinsaddle.retry_budget_left',
            '{call}',
            'Repeats that this node may still send in the present window, by service.',
            lambda: [
                (left, {'service': name}) for name, left in node.budget.remaining(_now()).items()
            ],
        )

    def _observe_beliefs(self) -> None:
        add, node = self.metrics, self.node
        add.gauge(
            'dunlinsaddle.configuration_version',
            '1',
            'Version in force here, 0 for none.',
            lambda: [(node.follower.version, {})],
        )
        add.gauge(
            'dunlinsaddle.configuration_revision',
            '1',
            'Revision of the store up to which this node knows all changes of the configuration.',
            lambda: [(place_of(node.follower.known_to).revision, {})],
        )
        add.gauge(
            'dunlinsaddle.store_epoch',
            '1',
            'Epoch of that revision; rises each time the store returns from a copy.',
            lambda: [(place_of(node.follower.known_to).epoch, {})],
        )
        add.gauge(
            'dunlinsaddle.members',
            '{instance}',
            'Instances by what is believed of them.',
            lambda: _members(node.view),
        )
        add.counter(
            'dunlinsaddle.platform_calls',
            '{call}',
            'Calls to the platform, each watch as one.',
            lambda: [(node.store.calls, {})],
        )
        add.counter(
            'dunlinsaddle.platform_failures',
            '{call}',
            'Calls to the platform that it refused or did not answer, by why.',
            lambda: _failures(node.store),
        )
        add.gauge(
            'dunlinsaddle.belief_age',
            's',
            'Seconds since the latest word of the target and of the platform.',
            self._ages,
        )

    def _observe_target(self) -> None:
        add, node = self.metrics, self.node
        add.gauge(
            'dunlinsaddle.target_rate',
            '{request}/s',
            'Requests a second that the target says it takes, none where it names no rate.',
            lambda: (
                []
                if node.target_status.reported.rate is None
                else [(node.target_status.reported.rate, {})]
            ),
        )
        add.gauge(
            'dunlinsaddle.target_leaving',
            '1',
            'Whether the target says with its answers that it leaves.',
            lambda: [(int(node.target_status.reported.leaving), {})],
        )

    def _observe_access(self) -> None:
        add, node = self.metrics, self.node
        add.gauge(
            'dunlinsaddle.configuration_age',
            's',
            'Seconds since it was proved that no newer configuration is there.',
            lambda: [(min(node.freshness.age, MAX_AGE_SECONDS), {})],
        )
        add.gauge(
            'dunlinsaddle.quota_left',
            '{request}',
            'Requests that may still be lent here, of the organisations nearest to their limit.',
            lambda: _nearest(node.ledger.tokens_left()),
        )
        add.counter(
            'dunlinsaddle.quota_questions',
            '{message}',
            'Questions to the lenders of quotas.',
            lambda: [(node.quotas.questions.count, {})],
        )

    def _load(self) -> Values:
        load = self.node.admission.load(_now())
        found = {'inflight': load.inflight, 'waiting': load.waiting, 'limit': load.limit}
        return [(value, {'of': name}) for name, value in found.items()]

    def _ages(self) -> Values:
        heard = {'target': self.node.heartbeat_endpoint.last_heartbeat_at}
        match self.node.store:
            case HttpObjectStore(answered_at=answered_at):
                heard['platform'] = answered_at
        return [(_now() - at, {'of': name}) for name, at in heard.items() if at > -math.inf]


def _nearest(tokens: dict[str, float]) -> Values:
    lowest = sorted(tokens.items(), key=lambda item: item[1])[:MAX_REPORTED_ORGANISATIONS]
    return [(left, {'organisation': name}) for name, left in lowest]


def _latency(stats: Stats) -> Values:
    return [
        pair
        for hop, buckets in stats.latency.items()
        for pair in cumulative(LATENCY_BOUNDS, buckets, hop=hop.value)
    ]


def _members(view: MemberView) -> Values:
    counts = Counter(member.state.name.lower() for member in view.members())
    return [(count, {'state': state}) for state, count in counts.items()]


def _failures(store: ObjectStore) -> Values:
    match store:
        case HttpObjectStore(failures=failures):
            return [(count, {'why': why}) for why, count in failures.items()]
    return []


def _now() -> float:
    return asyncio.get_running_loop().time()
