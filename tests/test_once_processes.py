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
            await self.wait_for_owners(names)
            await scenario()
            self.caller.close()

        asyncio.run(run())

    async def fetch(self, address: str, path: str) -> object:
        response = await self.caller.call(parse_address(address), 'GET', path)
        assert response is not None
        return msgspec.json.decode(response.body)

    async def read_owners(self) -> list[str]:
        stored = await self.fetch(self.fleet.platform_address, '/objects/ranges/cut-orders')
        if not stored:
            return []
        return [
            row[-1].owner.instance
            for row in decode_range_map(stored['specification']).ranges
            if row
        ]

    async def wait_for_owners(self, names: Collection[str]) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            owners = await self.read_owners()
            if len(owners) == RANGE_COUNT and set(owners) == set(names):
                return
            await asyncio.sleep(0.2)
        raise AssertionError(f'ranges after {TIMEOUT_SECONDS} s: {Counter(owners)}')

    async def wait_for_ranges_released_by(self, name: str) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while name in await self.read_owners():
            self.assertLess(time.monotonic(), deadline, f'{name} still owns ranges')
            await asyncio.sleep(0.2)

    async def generate_key_owned_by(self, owner: str) -> str:
        ranges = [index for index, name in enumerate(await self.read_owners()) if name == owner]
        return generate_key(int(time.time() * 1000), self.rng, 'cut-orders', ranges).text

    async def fetch_key(self, entry: str) -> str:
        address = parse_address(self.fleet.deployments[entry].listeners['callers'])
        response = await self.caller.call(address, 'POST', '/-/keys/cut-orders')
        assert response is not None
        return msgspec.json.decode(response.body)['key']

    async def send_release(self, entry: str, key: str) -> HttpResponse | None:
        address = parse_address(self.fleet.deployments[entry].listeners['callers'])
        headers = [(b'idempotency-key', key.encode())]
        return await self.caller.call(address, 'POST', RELEASE, headers, timeout=5.0)

    async def read_run_counts(self, *names: str) -> Counter[str]:
        total: Counter[str] = Counter()
        for name in names or DOMAINS:
            total.update(await self.fetch(self.fleet.deployments[name].target_address, '/-/runs'))
        return total

    def outcome(self, response: HttpResponse | None) -> str:
        assert response is not None
        return dict(response.headers)[b'dunlinsaddle-outcome'].decode()

    def test_owner_killed_while_its_target_runs_the_key(self):
        # The first call is lost with the owner node, but the target finishes the work. Each resend
        # gets the outcome "unknown", and no target runs the key again.
        async def scenario() -> None:
            # Three calls fit into the initial limit of a new target, so all of them are running.
            keys = [await self.generate_key_owned_by('bangor-1') for _ in range(3)]
            first_calls = [asyncio.create_task(self.send_release('menai-1', key)) for key in keys]
            await asyncio.sleep(RUN_SECONDS / 2)
            self.fleet.deployments['bangor-1'].node.kill()
            outcomes = Counter([self.outcome(await task) for task in first_calls])
            for entry in ('menai-1', 'caernarfon-1') * 2:
                outcomes.update([self.outcome(await self.send_release(entry, key)) for key in keys])
            self.assertEqual({'unknown': 15}, dict(outcomes))
            self.assertEqual(dict.fromkeys(keys, 1), dict(await self.read_run_counts()))

        self.run_scenario(scenario)

    def test_restarted_owner_replaces_its_killed_predecessor(self):
        # While a node with a fixed peers address is paused, a second one cannot listen on that
        # address, and takes over nothing. After the first one was killed, a new one ends the
        # ownership of the former run within about 31 s in place of 300 s.
        with socket.socket() as free_socket:
            free_socket.bind(('127.0.0.1', 0))
            peers = f'127.0.0.1:{free_socket.getsockname()[1]}'
        spec = TargetSpec('cut-orders', 'bangor-hall', 50, RUN_SECONDS)
        former = self.fleet.deploy('bangor-2', spec, peers=peers)

        async def scenario() -> None:
            former.node.kill(signal.SIGSTOP)
            # The first line of output is the reason why it ends, not its addresses.
            start = self.fleet.start_node
            self.assertRaises(ValueError, start, 'bangor-2', 'bangor-hall', peers=peers)
            self.assertIn('bangor-2', await self.read_owners())
            former.node.kill()
            former.node.popen.wait()
            former.target.stop()
            self.fleet.deploy('bangor-2', spec, peers=peers)
            await self.check_former_ranges_end('bangor-2')

        self.run_scenario(scenario, {*DOMAINS, 'bangor-2'})

    async def check_former_ranges_end(self, name: str) -> None:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            stored = await self.fetch(self.fleet.platform_address, '/objects/ranges/cut-orders')
            rows = decode_range_map(stored['specification']).ranges
            epochs = {i.owner.epoch for row in rows for i in row if i.owner.instance == name}
            if len(epochs) == 2:
                break
            await asyncio.sleep(0.2)
        seconds_left = [
            former.until / 1000 - time.time()
            for row in rows
            for former, successor in pairwise(row)
            if former.owner.instance == successor.owner.instance == name
        ]
        self.assertNotEqual([], seconds_left)
        self.assertTrue(min(seconds_left) > 20 and max(seconds_left) < 32, seconds_left)

    def test_owner_paused_while_it_runs_the_key(self):
        # The owner's process is paused for 2 s. The first call and a resend get "unknown", because
        # the link is silent. Once it runs again, the owner knows the outcome.
        async def scenario() -> None:
            key, node = (
                await self.generate_key_owned_by('bangor-1'),
                self.fleet.deployments['bangor-1'].node,
            )
            first = asyncio.create_task(self.send_release('menai-1', key))
            await asyncio.sleep(RUN_SECONDS / 2)
            node.kill(signal.SIGSTOP)
            second = asyncio.create_task(self.send_release('caernarfon-1', key))
            await asyncio.sleep(2.5)
            node.kill(signal.SIGCONT)
            self.assertEqual('unknown', self.outcome(await first))
            self.assertEqual('unknown', self.outcome(await second))
            await asyncio.sleep(1)
            for entry in DOMAINS:
                self.assertEqual('done', self.outcome(await self.send_release(entry, key)))
            self.assertEqual({key: 1}, dict(await self.read_run_counts()))

        self.run_scenario(scenario)

    def test_owner_drained_under_calls(self):
        # The owner gets SIGTERM while it runs a key, and completes it. Later keys run at the nodes
        # that took over its ranges. No key that has run is reported as "not run".
        async def scenario() -> None:
            key = await self.generate_key_owned_by('bangor-1')
            first = asyncio.create_task(self.send_release('menai-1', key))
            await asyncio.sleep(RUN_SECONDS / 2)
            self.fleet.deployments['bangor-1'].node.kill(signal.SIGTERM)
            self.assertEqual('done', self.outcome(await first))
            self.assertNotIn('bangor-1', await self.read_owners())
            keys = [await self.generate_key_owned_by(name) for name in ('menai-1', 'caernarfon-1')]
            for key in [*keys, await self.fetch_key('menai-1')]:
                self.assertEqual('done', self.outcome(await self.send_release('caernarfon-1', key)))
            self.assertEqual({1}, set((await self.read_run_counts()).values()))

        self.run_scenario(scenario)

    def test_rolling_restart_under_calls(self):
        # Each node drains, ends and restarts at the same addresses while calls go on. At the end
        # the caller resends each key through another entry node, and gets the result of its only
        # run.
        async def scenario() -> None:
            sent: dict[str, asyncio.Task[HttpResponse | None]] = {}
            load = asyncio.create_task(self.send_new_keys(sent))
            for name in DOMAINS:
                await self.restart(name)
                await asyncio.sleep(2)
            load.cancel()
            await asyncio.gather(*sent.values())
            resend_outcomes = {
                key: self.outcome(await self.send_release('menai-1', key)) for key in sent
            }
            run_counts = await self.read_run_counts()
            counts = f'{Counter(resend_outcomes.values())} of {len(sent)}, {len(run_counts)} ran'
            self.addDetail('outcomes', text_content(counts))
            self.assertEqual({1}, set(run_counts.values()))
            self.assertGreater(len(sent), 100)
            self.assertEqual(
                set(run_counts), {key for key in sent if resend_outcomes[key] == 'done'}
            )

        self.run_scenario(scenario)

    async def send_new_keys(self, sent: 'dict[str, asyncio.Task[HttpResponse | None]]') -> None:
        while True:
            key = generate_key(int(time.time() * 1000), self.rng, 'cut-orders').text
            entry = self.rng.choice(list(DOMAINS))
            sent[key] = asyncio.create_task(self.send_release(entry, key))
            await asyncio.sleep(0.06)

    async def restart(self, name: str) -> None:
        placed = self.fleet.deployments[name]
        placed.node.kill(signal.SIGTERM)
        await asyncio.to_thread(placed.node.popen.wait)
        start = partial(self.fleet.start_node, name, DOMAINS[name], **placed.listeners)
        node, faces = await asyncio.to_thread(start)
        self.fleet.deployments[name] = placed._replace(node=node, listeners=faces)

    def test_target_killed_while_it_runs_a_call_without_a_key(self):
        # Without a key, a resend cannot be told from a new call, but the system's own retries must
        # not run the call twice. The outcome is "unknown", although other targets are idle.
        async def scenario() -> None:
            address = parse_address(self.fleet.deployments['menai-1'].listeners['callers'])
            calls = [self.caller.call(address, 'POST', RELEASE, timeout=5.0) for _ in range(9)]
            tasks = [asyncio.create_task(call) for call in calls]
            await asyncio.sleep(RUN_SECONDS / 2)
            runs_before = {name: await self.read_run_counts(name) for name in DOMAINS}
            victim = max(DOMAINS, key=lambda name: len(runs_before[name]))
            self.fleet.deployments[victim].target.kill()
            outcomes = Counter([self.outcome(await task) for task in tasks])
            runs_elsewhere = await self.read_run_counts(
                *(name for name in DOMAINS if name != victim)
            )
            self.assertEqual({1}, set(runs_before[victim].values()) | set(runs_elsewhere.values()))
            self.assertEqual(set(), set(runs_before[victim]) & set(runs_elsewhere))
            self.assertGreaterEqual(outcomes['unknown'], len(runs_before[victim]))
            self.assertEqual(9, outcomes.total())
            await self.wait_for_ranges_released_by(victim)

        self.run_scenario(scenario)
