"""OpenTelemetry metrics, read from plain counters on demand.

A call only costs a few additions in ``Stats``. Instruments are observed on the event loop's
thread, for the operators' API or for an OTLP collector, so the counters need no lock.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from itertools import accumulate
from typing import Any

from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader, MetricReader, MetricsData
from opentelemetry.sdk.resources import Resource

from dunlinsaddle import __version__
from dunlinsaddle.calls.at_most_once.idempotency import IdempotencyRouter
from dunlinsaddle.records.record_cache import RecordCache
from dunlinsaddle.stats import QUEUE_TIME_BOUNDS, Stats

EXPORT_INTERVAL_SECONDS = 10.0
EXPORT_TIMEOUT_SECONDS = 5  #: half of the interval, so that exports never overlap

Labels = Mapping[str, str]
LabeledValues = Iterable[tuple[float, Labels]]


class Metrics:
    """The metric instruments of one node."""

    def __init__(
        self,
        resource: Labels,
        endpoint: str = '',
        export_interval: float = EXPORT_INTERVAL_SECONDS,
        extra_readers: Sequence[MetricReader] = (),
    ) -> None:
        self.endpoint = endpoint
        self.export_interval = export_interval
        self.reader = InMemoryMetricReader()
        self._provider = MeterProvider(
            [self.reader, *extra_readers], resource=Resource(dict(resource)), shutdown_on_exit=False
        )
        self._meter = self._provider.get_meter('dunlinsaddle', __version__)

    def counter(
        self, name: str, unit: str, description: str, read: Callable[[], LabeledValues]
    ) -> None:
        """Add a counter, a sum that never decreases."""
        self._meter.create_observable_counter(name, [_callback(read)], unit, description)

    def gauge(
        self, name: str, unit: str, description: str, read: Callable[[], LabeledValues]
    ) -> None:
        """Add a gauge, a value that can go up and down."""
        self._meter.create_observable_gauge(name, [_callback(read)], unit, description)

    def read(self) -> dict[str, list[dict[str, Any]]]:
        """Return the values of each instrument by its name, with their attributes."""
        values: dict[str, list[dict[str, Any]]] = {}
        data = self.reader.get_metrics_data()
        for resource in data.resource_metrics if data else ():
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    values[metric.name] = [
                        {'value': getattr(point, 'value', None), **dict(point.attributes or {})}
                        for point in metric.data.data_points
                    ]
        return values

    async def export_loop(self) -> None:
        """Export to the collector until cancelled.

        A failed export is not retried: values are cumulative, so the next one makes up for it.
        """
        if not self.endpoint:
            return
        exporter = OTLPMetricExporter(endpoint=self.endpoint, timeout=EXPORT_TIMEOUT_SECONDS)
        while True:
            await asyncio.sleep(self.export_interval)
            data = self.reader.get_metrics_data()
            if isinstance(data, MetricsData):
                # Instruments were observed on this thread; only the blocking export leaves it.
                await asyncio.to_thread(exporter.export, data)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()


def observe_stats(metrics: Metrics, stats: Stats) -> None:
    """Add the instruments for the counters of a node."""
    metrics.counter(
        'dunlinsaddle.calls',
        '{call}',
        'Ended calls by service, rank, outcome and kind of refusal.',
        lambda: [(count, label._asdict()) for label, count in stats.call_counts()],
    )
    metrics.counter(
        'dunlinsaddle.shed',
        '{call}',
        'Calls that were refused, by reason.',
        lambda: [(count, {'reason': reason}) for reason, count in stats.shed.items()],
    )
    metrics.counter(
        'dunlinsaddle.observed_refusals',
        '{call}',
        'Calls that enforcing would have refused, by reason.',
        lambda: [(count, {'reason': name}) for name, count in stats.observed_refusals.items()],
    )
    metrics.counter(
        'dunlinsaddle.keys',
        '{key}',
        'Idempotency keys that this node answered for: accepted, repeated, or why refused.',
        lambda: [(count, {'result': result}) for result, count in stats.keys.items()],
    )
    metrics.counter(
        'dunlinsaddle.queue_time_bucket',
        '{call}',
        'Calls that waited for a slot at most so many seconds, cumulative.',
        lambda: cumulative_buckets(QUEUE_TIME_BOUNDS, stats.queue_time_buckets),
    )
    sums = (
        ('retries', '{call}', 'Resends that were spent.'),
        ('wasted', '{call}', 'Work done for calls that failed later.'),
        ('queue_time', 's', 'Time that calls waited for a slot, summed.'),
        ('queued', '{call}', 'Calls that waited for a slot.'),
        ('added_time', 's', 'Time that the node added to calls, summed.'),
        ('answered', '{call}', 'Calls that the added time was taken of.'),
        ('answers_skipped', '{answer}', 'Answers of the target to another request than expected.'),
        ('answers_not_taken', '{answer}', 'Answers that callers did not read.'),
        ('faults', '{fault}', 'Faults of the node itself.'),
    )
    for name, unit, description in sums:
        metrics.counter(f'dunlinsaddle.{name}', unit, description, _stats_reader(stats, name))


def observe_records(metrics: Metrics, record_cache: RecordCache) -> None:
    """Add the instruments for the records in force."""
    metrics.gauge(
        'dunlinsaddle.record_version',
        '1',
        'Version of each record in force.',
        lambda: [(e.version, {'service': e.service}) for e in record_cache.entries()],
    )
    metrics.gauge(
        'dunlinsaddle.records_unreadable',
        '{record}',
        'Newer versions of records that cannot be read here.',
        lambda: [(len(record_cache.unreadable), {})],
    )


def observe_keys(metrics: Metrics, router: IdempotencyRouter, service: Callable[[], str]) -> None:
    """Add the instruments for the key ranges a node owns and the idempotency keys it remembers."""
    metrics.gauge(
        'dunlinsaddle.key_ranges',
        '{range}',
        'Key ranges of its service that this node owns.',
        lambda: [(router.range_manager.owned_ranges(service()).ranges, {})],
    )
    metrics.gauge(
        'dunlinsaddle.keys_held',
        '{key}',
        'Idempotency keys remembered here, by service.',
        lambda: [(len(table), {'service': name}) for name, table in router.tables.items()],
    )


def cumulative_buckets(
    bounds: Iterable[float], buckets: Iterable[int], **labels: str
) -> LabeledValues:
    """Return cumulative bucket counts, each labelled ``le`` with its upper bound."""
    names = [*map(str, bounds), '+Inf']
    totals = accumulate(buckets)
    return [(total, {'le': name, **labels}) for name, total in zip(names, totals, strict=True)]


def _stats_reader(stats: Stats, name: str) -> Callable[[], LabeledValues]:
    return lambda: [(getattr(stats, name), {})]


def _callback(
    read: Callable[[], LabeledValues],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(value, labels) for value, labels in read()]

    return observe
