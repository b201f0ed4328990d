import asyncio

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from tests.clock import PausedClockTest
from tests.fakes.site import Site, Target

TARGETS = 4
RESENDS = 12


class MortalTarget(Target):
    """Dies of a request whose path ends in ``poison``: all its connections end, none opens."""

    dead = False

    async def handle(self, req: HttpRequest) -> HttpResponse:
        await asyncio.sleep(0.05)
        if req.path.endswith('poison'):
            self.dead = True
            self.face.close()
        return HttpResponse(200, [], b'ok')


class KillerTest(PausedClockTest):
    def test_at_most_two_targets_die_of_one_request(self):
        # A request crashes each target that runs it. Its caller sends it again at once, each
        # time by another entry, while innocent calls are in progress everywhere. Without a
        # word between the nodes each entry would find a target that has not heard of it.
        async def scenario() -> tuple[int, int, int]:
            self.site = Site()
            await self.site.write(retry_bound=5)
            for number in range(TARGETS):
                await self.site.place(f'bangor-{number}', 'cut-orders', MortalTarget())
            await asyncio.sleep(5)
            innocent = [asyncio.create_task(self.innocent(n)) for n in range(100)]
            last = 0
            for number in range(RESENDS):
                last = await self.call(number, '/cut-orders/poison')
            statuses = await asyncio.gather(*innocent)
            served = sum(status == 200 for status in statuses)
            dead = sum(target.dead for target in self.site.targets.values())
            await self.site.stop()
            return dead, last, served

        dead, last, served = self.run_paused(scenario())
        self.assertLessEqual(dead, 2)
        self.assertEqual(422, last)
        self.assertGreaterEqual(served, 95)

    async def innocent(self, number: int) -> int:
        await asyncio.sleep(number * 0.01)
        return await self.call(number, f'/cut-orders/orders/{number}')

    async def call(self, number: int, path: str) -> int:
        return (await self.site.call(f'bangor-{number % TARGETS}', path)).status
