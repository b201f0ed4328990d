import asyncio
import itertools
from collections import Counter

import msgspec
from result import Err

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.platform.store import Unavailable
from dunlinsaddle.records.history import RECORD_KIND, entries_after
from dunlinsaddle.settings import Address
from tests.builders import OPERATOR_TOKEN, build_document
from tests.clock import PausedClockTest
from tests.fakes.site import Site, Target, seconds_until
from tests.fakes.store import FakeStore

DOMAINS = {'bangor-1': 'bangor-hall', 'menai-1': 'menai-hall', 'menai-2': 'menai-hall'}
LOOKUP = '/cut-orders/orders/1'
RELEASE = '/cut-orders/orders/1/release'


class LossyStore(FakeStore):
    """Loses the response of every third record write; the write itself succeeds."""

    def __init__(self) -> None:
        super().__init__()
        self.lost = itertools.cycle([False, False, True])

    async def put(self, kind, name, value, expected):
        result = await super().put(kind, name, value, expected)
        lost = kind == RECORD_KIND and next(self.lost)
        return Err(Unavailable('lost')) if lost and result.is_ok() else result


class SlowByteTarget(Target):
    """Responds with the given bytes, which may be no HTTP, with a pause after each byte."""

    def __init__(self, response: bytes, pause_seconds: float) -> None:
        super().__init__()
        self.response = response
        self.pause_seconds = pause_seconds
        self.listener = self

    async def listen(self, address: Address) -> None:
        await asyncio.start_server(self.accept, *address)

    async def accept(self, reader, writer) -> None:
        await reader.readuntil(b'\r\n\r\n')
        for byte in self.response:
            writer.write(bytes([byte]))
            await asyncio.sleep(self.pause_seconds)


class FaultsTest(PausedClockTest):
    def with_site(self, use):
        async def scenario():
            site = Site()
            await site.write_record()
            try:
                return await use(site)
            finally:
                await site.stop()

        return self.run_paused(scenario())

    async def start_all(self, site):
        for name, domain in DOMAINS.items():
            await site.start_target(name, 'cut-orders', domain=domain)
        await asyncio.sleep(10)

    def test_partitioned_domain_keeps_serving_in_a_platform_outage_and_catches_up(self):
        # A failure domain is partitioned from the others under load, while the platform is
        # unreachable. Both sides keep serving lookups and releases. The platform comes back for
        # one side only, which gets a change; the other side keeps the old record until the
        # partition ends.
        async def use(site):
            await self.start_all(site)
            counts = {name: Counter() for name in DOMAINS}
            versions = {name: [] for name in DOMAINS}

            async def load(name):
                for number in itertools.count():
                    order = f'/orders/{name}-{number}'
                    call = (f'{order}/release', 'POST') if number % 4 == 0 else (order, 'GET')
                    response = await site.call(name, f'/cut-orders{call[0]}', call[1])
                    own_body = response.status != 200 or response.body == call[0].encode()
                    counts[name][response.status if own_body else 'wrong body'] += 1
                    versions[name].append(site.nodes[name].record_cache.version('cut-orders'))
                    await asyncio.sleep(0.1)

            loads = [asyncio.create_task(load(name)) for name in DOMAINS]
            await asyncio.sleep(3)
            site.store.down, site.is_link_cut = True, lambda one, other: one != other
            await asyncio.sleep(20)
            site.store.down = False
            cut_off = site.nodes['bangor-1']
            cut_off.sync.store = cut_off.range_manager.store = down = FakeStore()
            down.down = True
            version = await site.write_record(deadline=3.0)
            await asyncio.sleep(5)
            updated = [
                site.nodes[n].record_cache.version('cut-orders') for n in ('menai-1', 'menai-2')
            ]
            site.is_link_cut = lambda one, other: False
            read = lambda: asyncio.sleep(0, cut_off.record_cache.version('cut-orders'))  # noqa: E731
            catch_up_seconds = await seconds_until(read, lambda current: current >= version)
            await asyncio.sleep(5)
            for task in loads:
                task.cancel()
            return version, updated, catch_up_seconds, counts, versions

        version, updated, catch_up_seconds, counts, versions = self.with_site(use)
        self.assertEqual([version] * 2, updated)
        self.assertLess(catch_up_seconds, 5.0)
        for name, observed in versions.items():
            self.assertEqual(sorted(observed), observed, name)
            good, total = counts[name][200], counts[name].total()
            self.assertGreater(good / total, 0.95, counts)

    def test_new_node_with_seeds_serves_while_the_platform_is_down_or_slow(self):
        # A node starts while the platform is down, or takes 2 s for each response. It gets the
        # members and records from its seeds, and serves lookups and releases within seconds.
        async def use(site, **faults):
            await self.start_all(site)
            vars(site.store).update(faults)
            seeds = str(site.nodes['bangor-1'].addresses.gossip)
            await site.start_node('fresh', 'caernarfon-hall', seeds=seeds)
            await asyncio.sleep(3)
            calls = ((LOOKUP, 'GET'), (RELEASE, 'POST'))
            return [(await site.call('fresh', *call)).status for call in calls]

        for faults in ({'down': True}, {'delay': 2.0}):
            statuses = self.with_site(lambda site, faults=faults: use(site, **faults))
            self.assertEqual([200, 200], statuses, faults)

    def test_concurrent_changes_through_a_platform_that_loses_responses_apply_once(self):
        # Eight operators change one record concurrently through two nodes, and every third
        # response of the platform is lost. Each operator retries with the version from the
        # conflict until its change is accepted. The audit trail has one entry per operator, and
        # all nodes end with the latest version.
        async def use(site):
            site.store = LossyStore()
            version = await site.write_record()
            await self.start_all(site)

            async def operate(number):
                expected = version
                while True:
                    change = {
                        'id': f'{number}/{expected}',
                        'record': build_document(deadline=1.0 + number),
                        'expected': expected,
                        'who': f'operator {number}',
                        'why': 'race',
                    }
                    status, body = await self.put(site, number, change)
                    if status == 200:
                        return body['version']
                    expected = body.get('conflict', {}).get('version', expected)
                    await asyncio.sleep(0.1)

            versions = await asyncio.gather(*map(operate, range(8)))
            await asyncio.sleep(2)
            stored = site.store.objects[RECORD_KIND, 'cut-orders']
            in_force = {n.record_cache.version('cut-orders') for n in site.nodes.values()}
            return versions, entries_after(stored, version), in_force

        versions, entries, in_force = self.with_site(use)
        self.assertEqual(8, len(entries))
        self.assertEqual(8, len({entry['who'] for entry in entries}))
        self.assertEqual({max(versions)}, in_force)

    async def put(self, site, number, change):
        node = list(site.nodes.values())[number % 2]
        headers = [(b'authorization', f'Bearer {OPERATOR_TOKEN}'.encode())]
        body = msgspec.json.encode(change)
        req = HttpRequest('PUT', '/v1/records/cut-orders', headers, body, '')
        exchange = await site.client.send(node.addresses.operators, req, 30)
        return exchange.response.status, msgspec.json.decode(exchange.response.body)

    def test_record_change_applies_to_running_targets(self):
        # The record arrives after the target has announced itself, and changes while it runs.
        # Admission must use the limits of the record in force, not those at the announcement.
        async def use(site):
            await site.start_target('yard-1', 'slab-stock')
            limits = []
            for connections in (300, 3):
                await site.write_record('slab-stock', targets={'connections': connections})
                await asyncio.sleep(2)
                limits.append(site.nodes['yard-1'].admission.max_inflight)
            return limits

        self.assertEqual([300, 3], self.with_site(use))

    def test_request_with_a_key_runs_once_in_observe_mode_too(self):
        # In observe mode another system still protects the service. Its callers send one key
        # through several entry nodes at once and again later. Only the key prevents a second
        # run.
        async def use(site):
            await site.write_record(mode='observe')
            await self.start_all(site)
            key = (await site.call('menai-1', '/-/keys/cut-orders', 'POST')).body
            key = msgspec.json.decode(key)['key']
            sends = [site.call(n, RELEASE, 'POST', idempotency_key=key) for n in DOMAINS]
            await asyncio.gather(*sends)
            last = await site.call('bangor-1', RELEASE, 'POST', idempotency_key=key)
            return last.status, sum(t.runs.total() for t in site.targets.values())

        self.assertEqual((200, 1), self.with_site(use))

    def test_invalid_and_very_slow_responses_of_one_target_do_not_harm_callers(self):
        # One of four targets responds with bytes that are no HTTP, or takes minutes to send its
        # response. A lookup gets a complete response from another target, or an error by its
        # deadline, but never a partial response. A release sent to that target has an unknown
        # outcome.
        async def use(site, response_bytes, pause):
            await site.start_target('bad-1', 'cut-orders', SlowByteTarget(response_bytes, pause))
            await self.start_all(site)
            results = Counter()
            for number in range(40):
                method, path = ('POST', RELEASE) if number % 4 == 0 else ('GET', LOOKUP)
                entry = list(DOMAINS)[number % 3]
                started_at = asyncio.get_running_loop().time()
                response = await site.call(entry, path, method, request_timeout='2')
                self.assertLess(asyncio.get_running_loop().time() - started_at, 2.1)
                outcome = dict(response.headers)[b'dunlinsaddle-outcome']
                results[method, response.status, outcome.decode()] += 1
                self.assertEqual(response.status == 200, response.body == path[11:].encode())
            self.assertEqual(0, sum(n.stats.faults for n in site.nodes.values()))
            return results

        slow_response = b'HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n' + b'x' * 200
        for response_bytes, pause in ((b'\x00\xff no http\r\n\r\n' * 9, 0.0), (slow_response, 0.5)):
            results = self.with_site(lambda site, r=response_bytes, p=pause: use(site, r, p))
            self.assertGreater(results['GET', 200, 'done'], 20, results)
            self.assertEqual(
                0, sum(n for (_, s, o), n in results.items() if (o == 'done') != (s == 200))
            )
