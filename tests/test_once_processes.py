import asyncio
import signal
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Collection
from functools import partial
from itertools import pairwise
from random import Random

import msgspec
from testtools.content import text_content

from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.policy.keys import RANGE_COUNT, generate_key
from dunlinsaddle.policy.ownership import decode_range_map
from dunlinsaddle.settings import parse_address
from standins.caller import Caller
from standins.fleet import TargetSpec
from tests.fleet_case import DOMAINS, FleetCase

RUN_SECONDS = 0.6
TIMEOUT_SECONDS = 15.0
RELEASE = '/cut-orders/orders/17/release'


class OnceProcessesTest(FleetCase):
    def setUp(self):
        super().setUp()
        self.start_target_in_each_domain(50, RUN_SECONDS)
        self.apply_record('bangor-1')
        self.caller = Caller()
        self.rng = Random(3)

    def run_scenario(
        self, scenario: Callable[[], Awaitable[None]], names: Collection[str] = DOMAINS
    ) -> None:
        async def run() -> None:
            await self.ranges_shared(names)
            await scenario()
            self.caller.close()

        asyncio.run(run())

    async def fetch(self, address: str, path: str) -> object:
        response = await self.caller.call(parse_address(address), 'GET', path)
        assert response is not None
        return msgspec.json.decode(response.body)

    async def owners(self) -> list[str]:
        stored = await self.fetch(self.fleet.platform_address, '/objects/ranges/cut-orders')
        if not stored:
            return []
        return [
            row[-1].owner.instance
            for row in decode_range_map(stored['specification']).ranges
            if row
        ]

    async def ranges_shared(self, names: Collection[str]) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            owners = await self.owners()
            if len(owners) == RANGE_COUNT and set(owners) == set(names):
                return
            await asyncio.sleep(0.2)
        raise AssertionError(f'ranges after {TIMEOUT_SECONDS} s: {Counter(owners)}')

    async def ranges_left_by(self, name: str) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while name in await self.owners():
            self.assertLess(time.monotonic(), deadline, f'{name} still owns ranges')
            await asyncio.sleep(0.2)

    async def mint(self, owner: str) -> str:
        wanted = [n for n, name in enumerate(await self.owners()) if name == owner]
        return generate_key(int(time.time() * 1000), self.rng, 'cut-orders', wanted).text

    async def fetch_key(self, entry: str) -> str:
        address = parse_address(self.fleet.deployments[entry].listeners['callers'])
        response = await self.caller.call(address, 'POST', '/-/keys/cut-orders')
        assert response is not None
        return msgspec.json.decode(response.body)['key']

    async def send(self, entry: str, key: str) -> HttpResponse | None:
        address = parse_address(self.fleet.deployments[entry].listeners['callers'])
        headers = [(b'idempotency-key', key.encode())]
        return await self.caller.call(address, 'POST', RELEASE, headers, timeout=5.0)

    async def runs(self, *names: str) -> Counter[str]:
        total: Counter[str] = Counter()
        for name in names or DOMAINS:
            total.update(await self.fetch(self.fleet.deployments[name].target_address, '/-/runs'))
        return total

    def outcome(self, response: HttpResponse | None) -> str:
        assert response is not None
        return dict(response.headers)[b'dunlinsaddle-outcome'].decode()

    def test_owner_killed_while_its_target_runs_the_key(self):
        # The caller's first call is lost with the node that had it; the target finishes the
        # work all the same. Each resend is told "unknown", and nobody runs the key again.
        async def scenario() -> None:
            # Three fit into the first limit of a cold target, so that all of them are running.
            keys = [await self.mint('bangor-1') for _ in range(3)]
            first = [asyncio.create_task(self.send('menai-1', key)) for key in keys]
            await asyncio.sleep(RUN_SECONDS / 2)
            self.fleet.deployments['bangor-1'].node.kill()
            outcomes = Counter([self.outcome(await task) for task in first])
            for entry in ('menai-1', 'caernarfon-1') * 2:
                outcomes.update([self.outcome(await self.send(entry, key)) for key in keys])
            self.assertEqual({'unknown': 15}, dict(outcomes))
            self.assertEqual(dict.fromkeys(keys, 1), dict(await self.runs()))

        self.run_scenario(scenario)

    def test_killed_owner_is_followed_at_its_own_address(self):
        # A node with a fixed peers address is stopped: a second one cannot listen there, and
        # nothing is taken over. Killed and started again, it closes its former run's ranges
        # some 31 s ahead in place of 300.
        with socket.socket() as free:
            free.bind(('127.0.0.1', 0))
            peers = f'127.0.0.1:{free.getsockname()[1]}'
        spec = TargetSpec('cut-orders', 'bangor-hall', 50, RUN_SECONDS)
        former = self.fleet.deploy('bangor-2', spec, peers=peers)

        async def scenario() -> None:
            former.node.kill(signal.SIGSTOP)
            # Its first line says why it ends, not where it listens.
            start = self.fleet.start_node
            self.assertRaises(ValueError, start, 'bangor-2', 'bangor-hall', peers=peers)
            self.assertIn('bangor-2', await self.owners())
            former.node.kill()
            former.node.popen.wait()
            former.target.stop()
            self.fleet.deploy('bangor-2', spec, peers=peers)
            await self.former_run_closed('bangor-2')

        self.run_scenario(scenario, {*DOMAINS, 'bangor-2'})

    async def former_run_closed(self, name: str) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            stored = await self.fetch(self.fleet.platform_address, '/objects/ranges/cut-orders')
            rows = decode_range_map(stored['specification']).ranges
            epochs = {i.owner.epoch for row in rows for i in row if i.owner.instance == name}
            if len(epochs) == 2:
                break
            await asyncio.sleep(0.2)
        ends = [
            former.until / 1000 - time.time()
            for row in rows
            for former, after in pairwise(row)
            if former.owner.instance == after.owner.instance == name
        ]
        self.assertNotEqual([], ends)
        self.assertTrue(min(ends) > 20 and max(ends) < 32, ends)

    def test_owner_frozen_while_it_runs_the_key(self):
        # The owner's process stops for 2 s. The first call and a resend end as "unknown", for
        # the link went silent. Once it runs again, the owner knows how the run ended.
        async def scenario() -> None:
            key, node = await self.mint('bangor-1'), self.fleet.deployments['bangor-1'].node
            first = asyncio.create_task(self.send('menai-1', key))
            await asyncio.sleep(RUN_SECONDS / 2)
            node.kill(signal.SIGSTOP)
            second = asyncio.create_task(self.send('caernarfon-1', key))
            await asyncio.sleep(2.5)
            node.kill(signal.SIGCONT)
            self.assertEqual('unknown', self.outcome(await first))
            self.assertEqual('unknown', self.outcome(await second))
            await asyncio.sleep(1)
            for entry in DOMAINS:
                self.assertEqual('done', self.outcome(await self.send(entry, key)))
            self.assertEqual({key: 1}, dict(await self.runs()))

        self.run_scenario(scenario)

    def test_owner_drained_under_calls(self):
        # The owner is told to stop while it runs keys: those end whole. Keys that come later
        # run at its heirs; nothing is refused as "not run" that ran.
        async def scenario() -> None:
            key = await self.mint('bangor-1')
            first = asyncio.create_task(self.send('menai-1', key))
            await asyncio.sleep(RUN_SECONDS / 2)
            self.fleet.deployments['bangor-1'].node.kill(signal.SIGTERM)
            self.assertEqual('done', self.outcome(await first))
            self.assertNotIn('bangor-1', await self.owners())
            keys = [await self.mint(name) for name in ('menai-1', 'caernarfon-1')]
            for key in [*keys, await self.fetch_key('menai-1')]:
                self.assertEqual('done', self.outcome(await self.send('caernarfon-1', key)))
            self.assertEqual({1}, set((await self.runs()).values()))

        self.run_scenario(scenario)

    def test_rolling_restart_under_calls(self):
        # Each node drains, ends and comes back at its addresses while calls go on. At the end
        # the caller sends each key again by another entry: it gets the answer of the one run.
        async def scenario() -> None:
            sent: dict[str, asyncio.Task[HttpResponse | None]] = {}
            load = asyncio.create_task(self.send_new_keys(sent))
            for name in DOMAINS:
                await self.restart(name)
                await asyncio.sleep(2)
            load.cancel()
            await asyncio.gather(*sent.values())
            again = {key: self.outcome(await self.send('menai-1', key)) for key in sent}
            runs = await self.runs()
            counts = f'{Counter(again.values())} of {len(sent)}, {len(runs)} ran'
            self.addDetail('outcomes', text_content(counts))
            self.assertEqual({1}, set(runs.values()))
            self.assertGreater(len(sent), 100)
            self.assertEqual(set(runs), {key for key in sent if again[key] == 'done'})

        self.run_scenario(scenario)

    async def send_new_keys(self, sent: 'dict[str, asyncio.Task[HttpResponse | None]]') -> None:
        while True:
            key = generate_key(int(time.time() * 1000), self.rng, 'cut-orders').text
            entry = self.rng.choice(list(DOMAINS))
            sent[key] = asyncio.create_task(self.send(entry, key))
            await asyncio.sleep(0.06)

    async def restart(self, name: str) -> None:
        placed = self.fleet.deployments[name]
        placed.node.kill(signal.SIGTERM)
        await asyncio.to_thread(placed.node.popen.wait)
        start = partial(self.fleet.start_node, name, DOMAINS[name], **placed.listeners)
        node, faces = await asyncio.to_thread(start)
        self.fleet.deployments[name] = placed._replace(node=node, listeners=faces)

    def test_target_killed_while_it_runs_a_call_without_a_key(self):
        # No key came, so no resend can be told from a new call; but the system's own retries
        # must not run it twice. The answer is "unknown", although other targets are idle.
        async def scenario() -> None:
            address = parse_address(self.fleet.deployments['menai-1'].listeners['callers'])
            calls = [self.caller.call(address, 'POST', RELEASE, timeout=5.0) for _ in range(9)]
            tasks = [asyncio.create_task(call) for call in calls]
            await asyncio.sleep(RUN_SECONDS / 2)
            ran = {name: await self.runs(name) for name in DOMAINS}
            victim = max(DOMAINS, key=lambda name: len(ran[name]))
            self.fleet.deployments[victim].target.kill()
            outcomes = Counter([self.outcome(await task) for task in tasks])
            after = await self.runs(*(name for name in DOMAINS if name != victim))
            self.assertEqual({1}, set(ran[victim].values()) | set(after.values()))
            self.assertEqual(set(), set(ran[victim]) & set(after))
            self.assertGreaterEqual(outcomes['unknown'], len(ran[victim]))
            self.assertEqual(9, outcomes.total())
            await self.ranges_left_by(victim)

        self.run_scenario(scenario)
