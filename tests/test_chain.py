import asyncio
from collections import Counter

from tests.clock import PausedClockTest
from tests.fakes.site import Site, Target, seconds_until

RETRY_BOUND = 4
LOOKUP = '/orders/1'
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
            await site.write_record(f's{hop}', retry_bound=RETRY_BOUND, requests=RULES)
            downstream = (f'/s{hop + 1}{LOOKUP}',) if hop + 1 < depth else ()
            for copy in range(copies):
                target = Target(downstream=downstream, **(deepest if not downstream else {}))
                await site.start_target(f's{hop}-{copy}', f's{hop}', target)
        await site.start_node('entry')
        await asyncio.sleep(6)

    def test_retries_over_a_chain_of_nodes_stay_within_the_bound(self):
        # A third of the replies between nodes get lost, and every hop may retry. With three
        # attempts at each hop, a chain of eleven services would run the deepest one 3**11 times
        # for one request, so all hops share one retry allowance.
        async def use(site, depth):
            await self.build_chain(site, depth)
            site.reply_loss_rate = 0.3
            for number in range(25):
                await site.call('entry', f'/s0{LOOKUP}', request_id=f'r{number}')
            runs_per_service = Counter()
            for name, target in site.targets.items():
                for request, runs in target.runs.items():
                    runs_per_service[name[:-2], request] += runs
            return max(runs_per_service.values()), sum(n.stats.retries for n in site.nodes.values())

        for depth in (1, 3, 11):
            runs, retries = self.with_site(lambda site, depth=depth: use(site, depth))
            self.assertLessEqual(runs, 1 + RETRY_BOUND, depth)
            self.assertLessEqual(retries, 25 * RETRY_BOUND, depth)
            self.assertGreater(retries, 0)

    def test_releases_succeed_while_a_slow_deep_service_sheds_lookups(self):
        # The deepest of three services has become slow. Callers send four times its capacity and
        # retry at once when refused. Lookups are shed, but releases and the calls made for them
        # are not, because calls inherit the rank of the root request.
        async def use(site):
            await self.build_chain(site, 3, copies=1, slots=5, service_seconds=0.25)
            counts = Counter()

            async def send_requests(number, method, path, pause):
                end_time = asyncio.get_running_loop().time() + 10
                while asyncio.get_running_loop().time() < end_time:
                    name = f'{method}-{number}-{counts.total()}'
                    response = await site.call('entry', path, method, request_id=name)
                    counts[method, response.status] += 1
                    await asyncio.sleep(pause)

            lookups = [send_requests(n, 'GET', f'/s0{LOOKUP}', 0.1) for n in range(40)]
            releases = [send_requests(n, 'POST', f'/s0{RELEASE}', 1.0) for n in range(5)]
            await asyncio.gather(*lookups, *releases)
            status = lambda: site.call('entry', f'/s0{LOOKUP}')  # noqa: E731
            return counts, await seconds_until(status, lambda r: r.status == 200)

        counts, recovery = self.with_site(use)
        releases = sum(n for (method, status), n in counts.items() if method == 'POST' != status)
        self.assertGreater(counts['GET', 503] + counts['GET', 502], 100)
        self.assertEqual(counts['POST', 200], releases, counts)
        self.assertLess(recovery, 2.0)

    def test_a_release_made_for_a_lookup_keeps_its_own_rank(self):
        # A request of low rank makes its target release an order. The service that handles
        # releases may be full of lookups of normal rank; the release must have priority over them.
        async def use(site):
            for service in ('s0', 's1'):
                await site.write_record(service, requests=RULES)
            await site.start_target('s0-0', 's0', Target(downstream=(f'POST /s1{RELEASE}',)))
            await site.start_target('s1-0', 's1', Target(slots=5, service_seconds=0.25))
            await site.start_node('entry')
            await asyncio.sleep(6)
            executed = []
            execute = site.nodes['s1-0'].executor.execute

            async def record_and_execute(call):
                executed.append((call.ctx.rule, call.ctx.priority.rank.name))
                return await execute(call)

            site.nodes['s1-0'].executor.execute = record_and_execute
            await site.call('entry', '/s0/low/1')
            await site.call('entry', f'/s0{RELEASE}', 'POST')
            return executed

        self.assertEqual([('release', 'CRITICAL')] * 2, self.with_site(use))

    def test_a_caller_that_disconnects_cancels_the_work_of_the_whole_chain(self):
        async def use(site):
            await self.build_chain(site, 5, copies=1, service_seconds=9.0)
            call = asyncio.create_task(site.call('entry', f'/s0{LOOKUP}'))
            await asyncio.sleep(1)
            call.cancel()
            await asyncio.sleep(0.2)
            return [t.cancelled for t in site.targets.values()]

        self.assertEqual([1] * 5, self.with_site(use))
