import asyncio

from testtools import TestCase

from dunlinsaddle.calls.http import HttpLimits, HttpResponse
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.metrics import Metrics, observe_stats
from dunlinsaddle.settings import Address
from dunlinsaddle.stats import MAX_REFUSAL_LABELS, CallLabel, Stats

BOUNDS = ('0.002', '0.005', '0.2', '0.5', '+Inf')


class RefusalCountsTest(TestCase):
    def test_only_the_organisations_with_the_most_refusals_are_reported(self):
        """Guards against a metric that grows with the customers."""
        stats = Stats()
        for number in range(20):
            for _ in range(number + 1):
                stats.record_refusal('over-quota', 'normal', f'org-{number}')
        stats.record_refusal('no-route')
        reported = stats.refusals_of_largest(10)
        self.assertEqual(list(range(11, 21)), sorted(count for count, _ in reported))

    def test_labels_take_bounded_memory(self):
        stats = Stats()
        for number in range(MAX_REFUSAL_LABELS + 10):
            stats.record_refusal('over-quota', 'normal', f'org-{number}')
        self.assertEqual(MAX_REFUSAL_LABELS + 1, len(stats.refusals))
        self.assertEqual(10, stats.refusals['over-quota', 'normal', ''])


class MetricsTest(TestCase):
    def test_instruments_show_counts_made_after_their_creation(self):
        stats = Stats()
        metrics = Metrics({'service.instance.id': 'bangor-1'})
        observe_stats(metrics, stats)
        self.assertEqual(0, metrics.read()['dunlinsaddle.retries'][0]['value'])
        label = CallLabel('cut-orders', 'critical', 'done', '')
        stats.record_call(label)
        stats.record_call(label)
        stats.shed['overloaded'] += 3
        stats.record_wait(0.005)
        stats.record_wait(0.3)
        stats.record_wait(60)
        stats.record_added_time(0.25)
        values = metrics.read()
        self.assertEqual([{'value': 2, **label._asdict()}], values['dunlinsaddle.calls'])
        self.assertEqual([{'value': 3, 'reason': 'overloaded'}], values['dunlinsaddle.shed'])
        self.assertEqual(60.305, values['dunlinsaddle.queue_time'][0]['value'])
        self.assertEqual(3, values['dunlinsaddle.queued'][0]['value'])
        buckets = {b['le']: b['value'] for b in values['dunlinsaddle.queue_time_bucket']}
        self.assertEqual((0, 1, 1, 2, 3), tuple(buckets[le] for le in BOUNDS))
        self.assertEqual(0.25, values['dunlinsaddle.added_time'][0]['value'])
        self.assertEqual(1, values['dunlinsaddle.answered'][0]['value'])
        metrics.close()

    def test_counters_are_exported_to_the_collector(self):
        # The real exporter sends to a listener on the same event loop, which can only respond if
        # the export does not block the loop.
        async def scenario():
            bodies: asyncio.Queue[tuple[str, bytes]] = asyncio.Queue()

            async def collect(req):
                bodies.put_nowait((req.path, req.body))
                return HttpResponse(200, [], b'')

            listener = HttpListener(collect, HttpLimits())
            address = await listener.listen(Address('127.0.0.1', 0))
            stats = Stats()
            stats.retries = 7
            metrics = Metrics(
                {'service.name': 'x'}, f'http://{address}/v1/metrics', export_interval=0.05
            )
            observe_stats(metrics, stats)
            task = asyncio.create_task(metrics.export_loop())
            sent = await asyncio.wait_for(bodies.get(), 10)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            listener.close()
            return sent

        path, body = asyncio.run(scenario())
        self.assertEqual('/v1/metrics', path)
        self.assertIn(b'dunlinsaddle.retries', body)
