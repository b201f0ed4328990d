"""Metrics of a node on the platform, in the Prometheus text format.

Histograms are plain counters with the label ``le``, read at each scrape: recording each call with
an instrument took 17 us, a tenth of the time that a node spends on a call.
"""

import asyncio
import math
from collections import Counter
from typing import Protocol

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from prometheus_client import CollectorRegistry, generate_latest

from dunlinsaddle.access.configuration_lease import ConfigurationLease
from dunlinsaddle.access.quotas import QuotaCoordinator
from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.http import HttpRequest, HttpResponse, failure_response
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.target import LocalTarget
from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.membership.view import MemberView
from dunlinsaddle.mesh.heartbeat_endpoint import HeartbeatEndpoint
from dunlinsaddle.mesh.ingress import IngressHandler
from dunlinsaddle.mesh.learned_state import LearnedStateExchange
from dunlinsaddle.mesh.listeners import NodeListeners
from dunlinsaddle.mesh.settings import MeshSettings
from dunlinsaddle.mesh.target_status import TargetStatus
from dunlinsaddle.metrics import LabeledValues, Metrics, cumulative_buckets, observe_stats
from dunlinsaddle.platform.client import HttpObjectStore
from dunlinsaddle.platform.store import ObjectStore, version_to_position
from dunlinsaddle.policy.quota import QuotaLedger
from dunlinsaddle.policy.retry_budget import RetryBudget
from dunlinsaddle.policy.slots import SlotAdmission
from dunlinsaddle.records.models import Rank
from dunlinsaddle.routes.config_follower import ConfigFollower
from dunlinsaddle.stats import LATENCY_BOUNDS, Stats

MAX_AGE_SECONDS = 86_400.0  #: upper bound of reported ages, as a gauge cannot be infinite
#: Organisations in one metric; with a label for each, the metric would grow with the customers.
MAX_REPORTED_ORGANISATIONS = 10
PATH = '/metrics'
CONTENT_TYPE = b'text/plain; version=0.0.4; charset=utf-8'


class MetricsSource(Protocol):
    """The parts of a node that the metrics are read from."""

    settings: MeshSettings
    stats: Stats
    admission: SlotAdmission
    client: HttpClient
    view: MemberView
    budget: RetryBudget
    follower: ConfigFollower
    heartbeat_endpoint: HeartbeatEndpoint
    store: ObjectStore
    configuration_lease: ConfigurationLease
    ledger: QuotaLedger
    target: LocalTarget
    target_status: TargetStatus
    quotas: QuotaCoordinator
    held_memory: HeldMemory
    listeners: NodeListeners
    ingress: IngressHandler
    learned_state: LearnedStateExchange


class MeshMetrics:
    """The instruments of one node, and the endpoint that exposes them."""

    def __init__(self, node: MetricsSource) -> None:
        self.node = node
        reader = PrometheusMetricReader(disable_target_info=True, scope_info_enabled=False)
        # The exporter registers its collector in the registry of the process, which several nodes
        # in one process would share.
        self.registry = CollectorRegistry()
        self.registry.register(reader._collector)
        cfg = node.settings
        resource = {'service.name': 'dunlinsaddle', 'service.instance.id': cfg.instance}
        self.metrics = Metrics(resource, extra_readers=[reader])
        # The node's view of the cluster comes before the histograms: these few lines are kept by a
        # scraper that truncates the response.
        self._observe_cluster_view()
        self._observe_target()
        self._observe_access()
        observe_stats(self.metrics, node.stats)
        self._observe_calls()

    async def handle(self, req: HttpRequest) -> HttpResponse:
        """Return the metrics."""
        if req.method != 'GET' or req.path.partition('?')[0] != PATH:
            return failure_response(Failure(ErrorKind.NOT_FOUND, req.path))
        headers = [(b'content-type', CONTENT_TYPE)]
        return HttpResponse(200, headers, generate_latest(self.registry))

    def close(self) -> None:
        """Shut down the instruments."""
        self.metrics.close()

    def _observe_calls(self) -> None:
        metrics, node = self.metrics, self.node
        metrics.counter(
            'dunlinsaddle.latency_bucket',
            '{call}',
            'Calls that took at most so many seconds, cumulative, by hop.',
            lambda: _latency_buckets(node.stats),
        )
        metrics.gauge(
            'dunlinsaddle.refused_share',
            '1',
            'Share of calls that the targets of a service refuse, where requests are shed for it.',
            lambda: [
                (share, {'service': name})
                for name, share in node.ingress.carried_requests.refused_shares(_now()).items()
            ],
        )
        metrics.counter(
            'dunlinsaddle.requests_to_refusing_services',
            '{request}',
            'Requests of callers whose calls are refused, by the decision of the ingress.',
            lambda: [
                (count, {'verdict': verdict.value})
                for verdict, count in node.ingress.carried_requests.verdicts.items()
            ],
        )
        metrics.gauge('dunlinsaddle.load', '{call}', 'Load of the target.', self._load)
        memory = node.held_memory
        metrics.gauge(
            'dunlinsaddle.held_bytes',
            'By',
            'Bytes held for callers, the target and other nodes, the most so far, and the limit.',
            lambda: [
                (memory.held, {'of': 'held'}),
                (memory.most_held, {'of': 'most'}),
                (memory.limit, {'of': 'limit'}),
            ],
        )
        metrics.counter(
            'dunlinsaddle.holders_given_up',
            '{holder}',
            'Requests, answers and connections that were given up as they held the most memory.',
            lambda: [(memory.given_up_count, {})],
        )
        metrics.counter(
            'dunlinsaddle.connections_evicted',
            '{connection}',
            'Connections of callers that were closed for others, as there are too many.',
            lambda: [(node.listeners.callers.evicted_count, {})],
        )
        metrics.counter(
            'dunlinsaddle.repeats',
            '{call}',
            'Repeats by service and kind: own, borrowed, inherited, refused, lent.',
            lambda: [
                (count, {'service': service, 'kind': kind.value})
                for (service, kind), count in node.budget.repeat_totals.items()
            ],
        )
        metrics.gauge(
            'dunlinsaddle.retry_budget_left',
            '{call}',
            'Repeats that this node may still send in the present window, by service.',
            lambda: [
                (left, {'service': name}) for name, left in node.budget.remaining(_now()).items()
            ],
        )

    def _observe_cluster_view(self) -> None:
        metrics, node = self.metrics, self.node
        metrics.gauge(
            'dunlinsaddle.configuration_version',
            '1',
            'Version in force here, 0 for none.',
            lambda: [(node.follower.version, {})],
        )
        metrics.gauge(
            'dunlinsaddle.routes_of_unknown_kind',
            '1',
            'Routes whose kind this version does not know; their requests run at most once.',
            lambda: [(_count_unknown_kinds(node.follower), {})],
        )
        metrics.gauge(
            'dunlinsaddle.unreadable_entries',
            '1',
            'Entries of the configuration in force that cannot be read and are left out.',
            lambda: [(_count_unreadable(node.follower), {})],
        )
        metrics.gauge(
            'dunlinsaddle.configuration_revision',
            '1',
            'Revision of the store up to which this node knows all changes of the configuration.',
            lambda: [(version_to_position(node.follower.store_version).revision, {})],
        )
        metrics.gauge(
            'dunlinsaddle.store_epoch',
            '1',
            'Epoch of that revision; rises each time the store returns from a copy.',
            lambda: [(version_to_position(node.follower.store_version).epoch, {})],
        )
        metrics.gauge(
            'dunlinsaddle.members',
            '{instance}',
            'Instances by what is believed of them.',
            lambda: _members(node.view),
        )
        metrics.counter(
            'dunlinsaddle.platform_calls',
            '{call}',
            'Calls to the platform, each watch as one.',
            lambda: [(node.store.calls, {})],
        )
        metrics.counter(
            'dunlinsaddle.platform_failures',
            '{call}',
            'Calls to the platform that it refused or did not answer, by why.',
            lambda: _failures(node.store),
        )
        metrics.counter(
            'dunlinsaddle.learned_state',
            '{event}',
            'Learned state that was applied, ignored or stored, by source and result.',
            lambda: [
                (count, {'source': source, 'result': result})
                for (source, result), count in node.learned_state.counts.items()
            ],
        )
        metrics.gauge(
            'dunlinsaddle.learned_state_bytes',
            'By',
            'Size of the latest object of learned state that this node wrote.',
            lambda: [(node.learned_state.stored_bytes, {})],
        )
        metrics.gauge(
            'dunlinsaddle.belief_age',
            's',
            'Seconds since the latest word of the target and of the platform, and since this node '
            'or a peer asked the store whether the configuration is the newest.',
            self._ages,
        )

    def _observe_target(self) -> None:
        metrics, node = self.metrics, self.node
        metrics.gauge(
            'dunlinsaddle.target_rate',
            '{request}/s',
            'Requests a second that the target says it takes, none where it names no rate.',
            lambda: (
                []
                if node.target_status.reported.rate is None
                else [(node.target_status.reported.rate, {})]
            ),
        )
        metrics.counter(
            'dunlinsaddle.target_starts',
            '{start}',
            'Starts of the target that were announced to this node.',
            lambda: [(node.heartbeat_endpoint.starts, {})],
        )
        metrics.counter(
            'dunlinsaddle.heartbeats',
            '{message}',
            'Heartbeats and deregistrations of the target, by their effect here.',
            lambda: [
                (count, {'effect': effect.value})
                for effect, count in node.heartbeat_endpoint.effects.items()
            ],
        )
        metrics.counter(
            'dunlinsaddle.target_health_checks',
            '{check}',
            'Health checks sent to the target, to confirm that it serves.',
            lambda: [(node.heartbeat_endpoint.probe.sent, {})],
        )
        metrics.gauge(
            'dunlinsaddle.target_draining',
            '1',
            'Whether the target gets no new work, as it or its node leaves.',
            lambda: [(int(node.target.draining), {})],
        )
        metrics.gauge(
            'dunlinsaddle.target_leaving',
            '1',
            'Whether the target says with its answers that it leaves.',
            lambda: [(int(node.target_status.reported.leaving), {})],
        )

        metrics.gauge(
            'dunlinsaddle.target_slowdown',
            '1',
            'Service time of the recent calls of the target relative to the usual one.',
            lambda: [(node.admission.slowdown, {})],
        )
        metrics.gauge(
            'dunlinsaddle.target_warmup',
            's',
            'Rest of the warm-up that the target announced, 0 if it is warm.',
            lambda: [(node.admission.warmup_seconds(_now()), {})],
        )

    def _observe_access(self) -> None:
        metrics, node = self.metrics, self.node
        metrics.gauge(
            'dunlinsaddle.configuration_age',
            's',
            'Seconds since it was proved that no newer configuration is there.',
            lambda: [(min(node.configuration_lease.age, MAX_AGE_SECONDS), {})],
        )
        metrics.gauge(
            'dunlinsaddle.quota_left',
            '{request}',
            'Requests that may still be lent here, of the organisations nearest to their limit.',
            lambda: _lowest_quotas(node.ledger.tokens_left()),
        )
        metrics.counter(
            'dunlinsaddle.refused_requests',
            '{request}',
            'Requests that this node refused to callers, not run, by reason and rank.',
            lambda: _refusals(node.stats),
        )
        metrics.counter(
            'dunlinsaddle.organisation_refusals',
            '{request}',
            'The same by organisation, of those that were refused most.',
            lambda: [
                (count, label._asdict())
                for count, label in node.stats.refusals_of_largest(MAX_REPORTED_ORGANISATIONS)
            ],
        )
        metrics.counter(
            'dunlinsaddle.quota_questions',
            '{message}',
            'Questions to the lenders of quotas.',
            lambda: [(node.quotas.lender_client.queries_sent, {})],
        )
        metrics.counter(
            'dunlinsaddle.quota_granted',
            '{request}',
            'Requests that this node took in and that were within a quota, by rank.',
            lambda: _by_rank(node.quotas.granted_count),
        )
        metrics.counter(
            'dunlinsaddle.quota_refused',
            '{request}',
            'Requests that this node took in and refused for a quota, by rank.',
            lambda: _by_rank(node.quotas.refused_count),
        )
        metrics.counter(
            'dunlinsaddle.quota_refused_unasked',
            '{request}',
            'Requests refused for a quota without a query to its lender, by rank.',
            lambda: _by_rank(node.quotas.knowledge.refused_count),
        )

    def _load(self) -> LabeledValues:
        load = self.node.admission.load(_now())
        values = {'inflight': load.inflight, 'waiting': load.waiting, 'limit': load.limit}
        return [(value, {'of': name}) for name, value in values.items()]

    def _ages(self) -> LabeledValues:
        last_message_at = {'target': self.node.heartbeat_endpoint.last_heartbeat_at}
        match self.node.store:
            case HttpObjectStore(last_response_at=last_response_at):
                last_message_at['platform'] = last_response_at
        ages = {name: _now() - at for name, at in last_message_at.items()}
        ages['configuration'] = self.node.configuration_lease.age
        return [(age, {'of': name}) for name, age in ages.items() if age < math.inf]


def _lowest_quotas(tokens: dict[str, float]) -> LabeledValues:
    lowest = sorted(tokens.items(), key=lambda item: item[1])[:MAX_REPORTED_ORGANISATIONS]
    return [(left, {'organisation': name}) for name, left in lowest]


def _by_rank(counts: list[int]) -> LabeledValues:
    return [(count, {'rank': rank.name.lower()}) for rank, count in zip(Rank, counts, strict=True)]


def _count_unknown_kinds(follower: ConfigFollower) -> int:
    return len(follower.table.configuration.unknown_kinds) if follower.table else 0


def _count_unreadable(follower: ConfigFollower) -> int:
    return len(follower.table.configuration.unreadable) if follower.table else 0


def _latency_buckets(stats: Stats) -> LabeledValues:
    return [
        pair
        for hop, buckets in stats.latency_buckets.items()
        for pair in cumulative_buckets(LATENCY_BOUNDS, buckets, hop=hop.value)
    ]


def _refusals(stats: Stats) -> LabeledValues:
    counts: Counter[tuple[str, str]] = Counter()
    for label, count in stats.refusals.items():
        counts[label.reason, label.rank] += count
    return [(count, {'reason': reason, 'rank': rank}) for (reason, rank), count in counts.items()]


def _members(view: MemberView) -> LabeledValues:
    counts = Counter(member.state.name.lower() for member in view.members())
    return [(count, {'state': state}) for state, count in counts.items()]


def _failures(store: ObjectStore) -> LabeledValues:
    match store:
        case HttpObjectStore(failures=failures):
            return [(count, {'why': why}) for why, count in failures.items()]
    return []


def _now() -> float:
    return asyncio.get_running_loop().time()
