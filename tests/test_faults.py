import asyncio
import itertools
from collections import Counter

import msgspec
from result import Err

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.platform.store import Unavailable
from dunlinsaddle.records.history import RECORDS, entries_after
from dunlinsaddle.settings import Address
from tests.builders import OPERATOR_TOKEN, build_document
from tests.clock import PausedClockTest
from tests.fakes.site import Site, Target, seconds_until
from tests.fakes.store import FakeStore

DOMAINS = {'bangor-1': 'bangor-hall', 'menai-1': 'menai-hall', 'menai-2': 'menai-hall'}
LOOK = '/cut-orders/orders/1'
RELEASE = '/cut-orders/orders/1/release'


class LossyStore(FakeStore):
    """Loses every third answer of a write of records."""

    def __init__(self) -> None:
        super().__init__()
        self.lost = itertools.cycle([False, False, True])

    async def put(self, kind, name, value, expected):
        result = await super().put(kind, name, value, expected)
        lost = kind == RECORDS and next(self.lost)
        return Err(Unavailable('lost')) if lost and result.is_ok() else result


class DrippingTarget(Target):
    """Answers with what is no HTTP, or with one byte every half second."""

    def __init__(self, answer: bytes, pause: float) -> None:
        super().__init__()
        self.answer = answer
        self.pause = pause
        self.face = self

    async def listen(self, address: Address) -> None:
        await asyncio.start_server(self.accept, *address)

    async def accept(self, reader, writer) -> None:
        await reader.readuntil(b'\r\n\r\n')
        for byte in self.answer:
            writer.write(bytes([byte]))
            await asyncio.sleep(self.pause)


class FaultsTest(PausedClockTest):
    def with_site(self, use):
        async def scenario():
            site = Site()
            await site.write()
            try:
                return await use(site)
            finally:
                await site.stop()

        return self.run_paused(scenario())

    async def place_all(self, site):
        for name, domain in DOMAINS.items():
            await site.place(name, 'cut-orders', domain=domain)
        await asyncio.sleep(10)

    def test_domain_cut_off_during_a_platform_outage_serves_on_and_catches_up(self):
        # A failure domain is cut from the others while the platform is out, under load. Both
        # sides go on serving lookups and releases. The platform comes back, and one side takes
        # a change; the other, still cut off, keeps what it had until the cut ends.
        async def use(site):
            await self.place_all(site)
            tallies = {name: Counter() for name in DOMAINS}
            seen = {name: [] for name in DOMAINS}

            async def load(name):
                for number in itertools.count():
                    order = f'/orders/{name}-{number}'
                    call = (f'{order}/release', 'POST') if number % 4 == 0 else (order, 'GET')
                    response = await site.call(name, f'/cut-orders{call[0]}', call[1])
                    whole = response.status != 200 or response.body == call[0].encode()
                    tallies[name][response.status if whole else 'not its own'] += 1
                    seen[name].append(site.nodes[name].record_cache.version('cut-orders'))
                    await asyncio.sleep(0.1)

            loads = [asyncio.create_task(load(name)) for name in DOMAINS]
            await asyncio.sleep(3)
            site.store.down, site.cut = True, lambda one, other: one != other
            await asyncio.sleep(20)
            site.store.down = False
            far = site.nodes['bangor-1']
            far.sync.store = far.keeper.store = down = FakeStore()
            down.down = True
            version = await site.write(deadline=3.0)
            await asyncio.sleep(5)
            near = [
                site.nodes[n].record_cache.version('cut-orders') for n in ('menai-1', 'menai-2')
            ]
            site.cut = lambda one, other: False
            look = lambda: asyncio.sleep(0, far.record_cache.version('cut-orders'))  # noqa: E731
            healed = await seconds_until(look, lambda held: held >= version)
            await asyncio.sleep(5)
            for task in loads:
                task.cancel()
            return version, near, healed, tallies, seen

        version, near, healed, tallies, seen = self.with_site(use)
        self.assertEqual([version] * 2, near)
        self.assertLess(healed, 5.0)
        for name, versions in seen.items():
            self.assertEqual(sorted(versions), versions, name)
            good, total = tallies[name][200], tallies[name].total()
            self.assertGreater(good / total, 0.95, tallies)

    def test_fresh_node_with_seeds_serves_while_the_platform_is_down_or_slow(self):
        # A node is started in an outage, or when each answer of the platform takes 2 s. Its
        # seeds give it members and records: lookups and releases pass within seconds.
        async def use(site, **faults):
            await self.place_all(site)
            vars(site.store).update(faults)
            seeds = str(site.nodes['bangor-1'].addresses.gossip)
            await site.start('fresh', 'caernarfon-hall', seeds=seeds)
            await asyncio.sleep(3)
            calls = ((LOOK, 'GET'), (RELEASE, 'POST'))
            return [(await site.call('fresh', *call)).status for call in calls]

        for faults in ({'down': True}, {'delay': 2.0}):
            found = self.with_site(lambda site, faults=faults: use(site, **faults))
            self.assertEqual([200, 200], found, faults)

    def test_operators_race_at_two_nodes_over_a_platform_that_loses_answers(self):
        # Eight operators change one record at once through two nodes; every third answer of
        # the platform is lost. Each tries again, with the version it hears of, until its
        # change is accepted: the trail has one entry for each, and the versions join up.
        async def use(site):
            site.store = LossyStore()
            version = await site.write()
            await self.place_all(site)

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
                    status, said = await self.put(site, number, change)
                    if status == 200:
                        return said['version']
                    expected = said.get('conflict', {}).get('version', expected)
                    await asyncio.sleep(0.1)

            versions = await asyncio.gather(*map(operate, range(8)))
            await asyncio.sleep(2)
            held = site.store.objects[RECORDS, 'cut-orders']
            books = {n.record_cache.version('cut-orders') for n in site.nodes.values()}
            return versions, entries_after(held, version), books

        versions, entries, books = self.with_site(use)
        self.assertEqual(8, len(entries))
        self.assertEqual(8, len({entry['who'] for entry in entries}))
        self.assertEqual({max(versions)}, books)

    async def put(self, site, number, change):
        node = list(site.nodes.values())[number % 2]
        headers = [(b'authorization', f'Bearer {OPERATOR_TOKEN}'.encode())]
        body = msgspec.json.encode(change)
        req = HttpRequest('PUT', '/v1/records/cut-orders', headers, body, '')
        exchange = await site.client.send(node.addresses.operators, req, 30)
        return exchange.response.status, msgspec.json.decode(exchange.response.body)

    def test_a_change_binds_targets_that_run_already(self):
        # The record comes after the targets have announced themselves, and is changed while
        # they run. Status says that it is in force; the limits of admission must follow.
        async def use(site):
            await site.place('yard-1', 'slab-stock')
            found = []
            for connections in (300, 3):
                await site.write('slab-stock', targets={'connections': connections})
                await asyncio.sleep(2)
                found.append(site.nodes['yard-1'].admission.max_inflight)
            return found

        self.assertEqual([300, 3], self.with_site(use))

    def test_a_key_runs_once_also_where_decisions_are_only_observed(self):
        # The older system still protects the service, and its callers send a key by several
        # entries at once and again later. Nothing else keeps it from running twice.
        async def use(site):
            await site.write(mode='observe')
            await self.place_all(site)
            key = (await site.call('menai-1', '/-/keys/cut-orders', 'POST')).body
            key = msgspec.json.decode(key)['key']
            sends = [site.call(n, RELEASE, 'POST', idempotency_key=key) for n in DOMAINS]
            await asyncio.gather(*sends)
            last = await site.call('bangor-1', RELEASE, 'POST', idempotency_key=key)
            return last.status, sum(t.runs.total() for t in site.targets.values())

        self.assertEqual((200, 1), self.with_site(use))

    def test_garbage_and_dripping_answers_cost_one_target_not_the_caller(self):
        # One of three targets answers every call with what is no HTTP, or lets its answer drip
        # for minutes. A lookup gets a whole answer from another target or an error by its
        # deadline, and never a part; a release that was sent there is of unknown end.
        async def use(site, answer, pause):
            await site.place('bad-1', 'cut-orders', DrippingTarget(answer, pause))
            await self.place_all(site)
            ends = Counter()
            for number in range(40):
                method, path = ('POST', RELEASE) if number % 4 == 0 else ('GET', LOOK)
                entry = list(DOMAINS)[number % 3]
                began = asyncio.get_running_loop().time()
                response = await site.call(entry, path, method, request_timeout='2')
                self.assertLess(asyncio.get_running_loop().time() - began, 2.1)
                outcome = dict(response.headers)[b'dunlinsaddle-outcome']
                ends[method, response.status, outcome.decode()] += 1
                self.assertEqual(response.status == 200, response.body == path[11:].encode())
            self.assertEqual(0, sum(n.stats.faults for n in site.nodes.values()))
            return ends

        whole = b'HTTP/1.1 200 OK\r\ncontent-length: 200\r\n\r\n' + b'x' * 200
        for answer, pause in ((b'\x00\xff no http\r\n\r\n' * 9, 0.0), (whole, 0.5)):
            ends = self.with_site(lambda site, a=answer, p=pause: use(site, a, p))
            self.assertGreater(ends['GET', 200, 'done'], 20, ends)
            self.assertEqual(
                0, sum(n for (_, s, o), n in ends.items() if (o == 'done') != (s == 200))
            )
