import asyncio

from dunlinsaddle.calls.http import HttpRequest, HttpResponse
from tests.clock import PausedClockTest
from tests.fakes.site import Site, Target

TARGETS = 4
RESENDS = 12


class CrashingTarget(Target):
    """Crashes on a request whose path ends in ``poison``: connections close and none opens."""

    has_crashed = False

    async def handle(self, req: HttpRequest) -> HttpResponse:
        await asyncio.sleep(0.05)
        if req.path.endswith('poison'):
            self.has_crashed = True
            self.listener.close()
        return HttpResponse(200, [], b'ok')


class CrashingRequestTest(PausedClockTest):
    def test_one_request_crashes_at_most_two_targets(self):
        # A request crashes each target that runs it, and its caller resends it at once through
        # another node, while other calls are in progress. Unless nodes report crashes to each
        # other, each resend reaches a target that is still running.
        async def scenario() -> tuple[int, int, int]:
            self.site = Site()
            await self.site.write_record(retry_bound=5)
            for index in range(TARGETS):
                await self.site.start_target(f'bangor-{index}', 'cut-orders', CrashingTarget())
            await asyncio.sleep(5)
            other_calls = [asyncio.create_task(self.call_other_path(n)) for n in range(100)]
            last_status = 0
            for index in range(RESENDS):
                last_status = await self.call(index, '/cut-orders/poison')
            statuses = await asyncio.gather(*other_calls)
            served_count = sum(status == 200 for status in statuses)
            crashed_count = sum(target.has_crashed for target in self.site.targets.values())
            await self.site.stop()
            return crashed_count, last_status, served_count

        crashed_count, last_status, served_count = self.run_paused(scenario())
        self.assertLessEqual(crashed_count, 2)
        self.assertEqual(422, last_status)
        self.assertGreaterEqual(served_count, 95)

    async def call_other_path(self, index: int) -> int:
        await asyncio.sleep(index * 0.01)
        return await self.call(index, f'/cut-orders/orders/{index}')

    async def call(self, index: int, path: str) -> int:
        return (await self.site.call(f'bangor-{index % TARGETS}', path)).status
