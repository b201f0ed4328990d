import asyncio
from collections import Counter

from tests.clock import PausedClockTest
from tests.fakes.site import Site, Target, seconds_until

BOUND = 4
LOOK = '/orders/1'
RELEASE = '/orders/1/release'
RULES = [
    {'name': 'release', 'method': 'POST', 'path': RELEASE, 'rank': 'critical'},
    {'name': 'low', 'method': 'GET', 'path': '/low/**', 'rank': 'low'},
]


class ChainTest(PausedClockTest):
    def with_site(self, use, seed=5):
        async def scenario():
            site = Site(seed)
            try:
                return await use(site)
            finally:
                await site.stop()

        return self.run_paused(scenario())

    async def build_chain(self, site, depth, copies=2, **deepest):
        for hop in range(depth):
            await site.write_record(f's{hop}', retry_bound=BOUND, requests=RULES)
            downstream = (f'/s{hop + 1}{LOOK}',) if hop + 1 < depth else ()
            for copy in range(copies):
                target = Target(downstream=downstream, **(deepest if not downstream else {}))
                await site.start_target(f's{hop}-{copy}', f's{hop}', target)
        await site.start_node('entry')
        await asyncio.sleep(6)

    def test_retries_over_a_chain_of_nodes_stay_within_the_bound(self):
        # A third of the answers between nodes get lost, at every hop, and every hop may send
        # again. With three tries a hop of its own, a chain of eleven would multiply them to
        # 3**11 runs of the deepest service for one request; the allowance is shared instead.
        async def use(site, depth):
            await self.build_chain(site, depth)
            site.reply_loss_rate = 0.3
            for number in range(25):
                await site.call('entry', f'/s0{LOOK}', request_id=f'r{number}')
            most = Counter()
            for name, target in site.targets.items():
                for request, runs in target.runs.items():
                    most[name[:-2], request] += runs
            return max(most.values()), sum(n.stats.retries for n in site.nodes.values())

        for depth in (1, 3, 11):
            runs, retries = self.with_site(lambda site, depth=depth: use(site, depth))
            self.assertLessEqual(runs, 1 + BOUND, depth)
            self.assertLessEqual(retries, 25 * BOUND, depth)
            self.assertGreater(retries, 0)

    def test_releases_pass_while_a_slow_deep_service_sheds_lookups(self):
        # The deepest of three services has become slow, callers ask for four times what it
        # can do, and ask again at once when refused. Lookups are shed; a release and what the
        # services above call on its behalf are not, for the rank of the root goes down.
        async def use(site):
            await self.build_chain(site, 3, copies=1, slots=5, service_seconds=0.25)
            ends = Counter()

            async def press(number, method, path, pause):
                end = asyncio.get_running_loop().time() + 10
                while asyncio.get_running_loop().time() < end:
                    name = f'{method}-{number}-{ends.total()}'
                    response = await site.call('entry', path, method, request_id=name)
                    ends[method, response.status] += 1
                    await asyncio.sleep(pause)

            lookups = [press(n, 'GET', f'/s0{LOOK}', 0.1) for n in range(40)]
            releases = [press(n, 'POST', f'/s0{RELEASE}', 1.0) for n in range(5)]
            await asyncio.gather(*lookups, *releases)
            status = lambda: site.call('entry', f'/s0{LOOK}')  # noqa: E731
            return ends, await seconds_until(status, lambda r: r.status == 200)

        ends, recovery = self.with_site(use)
        refused = sum(n for (method, status), n in ends.items() if method == 'POST' != status)
        self.assertGreater(ends['GET', 503] + ends['GET', 502], 100)
        self.assertEqual(ends['POST', 200], refused, ends)
        self.assertLess(recovery, 2.0)

    def test_a_release_made_for_a_lookup_keeps_its_own_rank(self):
        # A low-ranked request makes its target release an order. The service of the releases
        # is full of ordinary lookups: the release must go before them, whoever asked for it.
        async def use(site):
            for service in ('s0', 's1'):
                await site.write_record(service, requests=RULES)
            await site.start_target('s0-0', 's0', Target(downstream=(f'POST /s1{RELEASE}',)))
            await site.start_target('s1-0', 's1', Target(slots=5, service_seconds=0.25))
            await site.start_node('entry')
            await asyncio.sleep(6)
            seen = []
            execute = site.nodes['s1-0'].executor.execute

            async def watched(work):
                seen.append((work.ctx.rule, work.ctx.priority.rank.name))
                return await execute(work)

            site.nodes['s1-0'].executor.execute = watched
            await site.call('entry', '/s0/low/1')
            await site.call('entry', f'/s0{RELEASE}', 'POST')
            return seen

        self.assertEqual([('release', 'CRITICAL')] * 2, self.with_site(use))

    def test_a_caller_that_goes_ends_the_work_of_the_whole_chain(self):
        async def use(site):
            await self.build_chain(site, 5, copies=1, service_seconds=9.0)
            call = asyncio.create_task(site.call('entry', f'/s0{LOOK}'))
            await asyncio.sleep(1)
            call.cancel()
            await asyncio.sleep(0.2)
            return [t.cancelled for t in site.targets.values()]

        self.assertEqual([1] * 5, self.with_site(use))
