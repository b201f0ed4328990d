import asyncio

from testtools import TestCase

from dunlinsaddle.calls.http import HttpLimits, HttpResponse
from dunlinsaddle.calls.listener import HttpListener
from dunlinsaddle.metrics import Metrics, observe_stats
from dunlinsaddle.settings import Address
from dunlinsaddle.stats import CallLabel, Stats

LE = ('0.002', '0.005', '0.2', '0.5', '+Inf')


class MetricsTest(TestCase):
    def test_instruments_show_what_was_counted_since(self):
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
        found = metrics.read()
        self.assertEqual([{'value': 2, **label._asdict()}], found['dunlinsaddle.calls'])
        self.assertEqual([{'value': 3, 'reason': 'overloaded'}], found['dunlinsaddle.shed'])
        self.assertEqual(60.305, found['dunlinsaddle.queue_time'][0]['value'])
        self.assertEqual(3, found['dunlinsaddle.queued'][0]['value'])
        buckets = {b['le']: b['value'] for b in found['dunlinsaddle.queue_time_bucket']}
        self.assertEqual((0, 1, 1, 2, 3), tuple(buckets[le] for le in LE))
        self.assertEqual(0.25, found['dunlinsaddle.added_time'][0]['value'])
        self.assertEqual(1, found['dunlinsaddle.answered'][0]['value'])
        metrics.close()

    def test_collector_gets_what_the_face_shows(self):
        # The real exporter sends to a listener on this loop, which can answer only while the
        # export does not hold the loop.
        async def scenario():
            bodies: asyncio.Queue[tuple[str, bytes]] = asyncio.Queue()

            async def collect(req):
                bodies.put_nowait((req.path, req.body))
                return HttpResponse(200, [], b'')

            face = HttpListener(collect, HttpLimits())
            address = await face.listen(Address('127.0.0.1', 0))
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
            face.close()
            return sent

        path, body = asyncio.run(scenario())
        self.assertEqual('/v1/metrics', path)
        self.assertIn(b'dunlinsaddle.retries', body)
