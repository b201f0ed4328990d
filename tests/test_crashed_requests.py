"""Crashes of targets while callers send equal requests, with nodes and targets in one loop."""

import asyncio
from collections import Counter

from dunlinsaddle.calls.http import HttpLimits, HttpResponse
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.policy.quarantine import Crash
from tests.fakes.mesh import Mesh, MeshTarget
from tests.mesh_case import MeshTest

TARGETS = ('a:front', 'b:deep', 'c:deep', 'd:deep', 'e:deep')
POPULAR = '/deep/popular'
FATAL = '/deep/fatal'
WORK_SECONDS = 0.3
DOWN_SECONDS = 2.0
INTERVAL_SECONDS = 0.02  #: between two requests for the popular path
CONFIRMED = 422


class CrashingTarget:
    """Makes a target crash, at a fatal request or when asked to, and start again."""

    def __init__(self, mesh: Mesh, target: MeshTarget) -> None:
        self.mesh = mesh
        self.target = target
        self.crash_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        target.respond = self.run

    async def run(self, req) -> HttpResponse:
        start = self.target.started_at_ms
        if req.path == FATAL:
            self.crash()
        await asyncio.sleep(WORK_SECONDS)
        if self.target.started_at_ms != start or not self.target.heartbeats_enabled:
            await asyncio.sleep(DOWN_SECONDS * 4)  # its process is gone
        return self.target.signed_response(req)

    def crash(self) -> None:
        self.crash_count += 1
        self.target.heartbeats_enabled = False
        self.target.listener.close()
        task = asyncio.create_task(self._start_again())
        self._tasks.add(task)

    async def _start_again(self) -> None:
        await asyncio.sleep(DOWN_SECONDS)
        self.target.started_at_ms += 1
        self.target.sequence = 0
        self.target.listener = HttpListener(self.target.handle, HttpLimits())
        await self.target.listener.listen(self.target.node.settings.target)
        self.target.heartbeats_enabled = True
        await self.target.send_heartbeat(self.mesh.client)


def make_crashing(mesh: Mesh) -> dict[str, CrashingTarget]:
    return {name: CrashingTarget(mesh, mesh.targets[name]) for name in 'bcde'}


async def call_popular(mesh: Mesh, seconds: float) -> list[tuple[float, int]]:
    """Send popular requests at all nodes; return the time and the status of each."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    results: list[tuple[float, int]] = []

    async def call(ingress: str) -> None:
        sent_at = loop.time()
        results.append((sent_at, (await mesh.call(ingress, POPULAR)).status))

    tasks, count = [], 0
    while loop.time() < until:
        tasks.append(asyncio.create_task(call('abcde'[count % 5])))
        count += 1
        await asyncio.sleep(INTERVAL_SECONDS)
    await asyncio.gather(*tasks)
    return results


class CrashedRequestTest(MeshTest):
    # A target that crashed while it ran two equal requests had all nodes deny them from then on.
    def test_popular_request_is_served_after_a_crash(self):
        async def scenario(mesh):
            targets = make_crashing(mesh)
            calls = asyncio.create_task(call_popular(mesh, 8.0))
            await asyncio.sleep(1.0)
            targets['b'].crash()
            return Counter(status for _, status in await calls)

        statuses = self.run_mesh(scenario, targets=TARGETS, attempts=2)
        self.assertEqual({200}, set(statuses), statuses)

    # A third of the targets, then all of them, crashed within a second: the request was denied.
    def test_popular_request_is_not_denied_after_many_crashes(self):
        async def scenario(mesh):
            targets = make_crashing(mesh)
            loop = asyncio.get_running_loop()
            calls = asyncio.create_task(call_popular(mesh, 14.0))
            for name in 'bcde':
                await asyncio.sleep(1.0 if name == 'b' else 0.25)
                targets[name].crash()
            crashed_at = loop.time()
            results = await calls
            late = {status for sent_at, status in results if sent_at > crashed_at + 5.0}
            return Counter(status for _, status in results), late

        statuses, late = self.run_mesh(scenario, targets=TARGETS, attempts=2)
        self.assertEqual((0, {200}), (statuses[CONFIRMED], late), statuses)

    # A fatal request took the popular one with it, or went on to crash targets beside it.
    def test_fatal_request_among_popular_ones_takes_few_targets(self):
        async def scenario(mesh):
            targets = make_crashing(mesh)
            calls = asyncio.create_task(call_popular(mesh, 20.0))
            await asyncio.sleep(1.0)
            statuses = []
            for turn in range(70):
                statuses.append((await mesh.call('abcde'[turn % 5], FATAL)).status)
                await asyncio.sleep(0.25)
            crash_count = sum(target.crash_count for target in targets.values())
            return Counter(status for _, status in await calls), statuses, crash_count

        popular, fatal, crash_count = self.run_mesh(scenario, targets=TARGETS, attempts=2)
        self.assertEqual((2, {CONFIRMED}), (crash_count, set(fatal[2:])), fatal)
        self.assertEqual(0, popular[CONFIRMED], popular)
        self.assertGreaterEqual(popular[200] / popular.total(), 0.98, popular)

    # Equal fatal requests came at all nodes in one moment, and each node tried one of them.
    def test_fatal_requests_at_all_nodes_at_once_take_few_targets(self):
        async def scenario(mesh):
            targets = make_crashing(mesh)
            first = await mesh.call('a', FATAL)
            calls = [mesh.call('abcde'[turn % 5], FATAL) for turn in range(40)]
            statuses = [reply.status for reply in await asyncio.gather(*calls)]
            return first.status, statuses, sum(target.crash_count for target in targets.values())

        _, statuses, crash_count = self.run_mesh(scenario, targets=TARGETS, attempts=1)
        self.assertLessEqual(crash_count, 2, statuses)

    # A crash ended many different requests, and each that completed was told to each node.
    def test_cleared_requests_are_told_together(self):
        async def scenario(mesh):
            frames = []
            links = mesh.nodes['c'].links
            send = links.notify

            async def count(address, frame):
                frames.extend([frame] if frame.cleared else [])
                return await send(address, frame)

            links.notify = count
            for fingerprint in range(1, 600):
                mesh.nodes['c'].crash_notifier.report_cleared(fingerprint, [9])
            await asyncio.sleep(1.0)
            now, told = asyncio.get_running_loop().time(), mesh.nodes['b'].quarantine
            told.record(now, 599, [Crash(9)])
            return len(frames), told.crashes(now, 599)

        self.assertEqual((3 * 4, ()), self.run_mesh(scenario, targets=TARGETS))

    # A node that was restarted did not know which requests crash targets, and lost its own again.
    def test_node_that_restarts_knows_which_requests_crash_targets(self):
        async def scenario(mesh):
            targets = make_crashing(mesh)
            for _ in range(5):
                await mesh.call('a', FATAL)
                await asyncio.sleep(0.25)
            await asyncio.sleep(DOWN_SECONDS * 2)
            before = sum(target.crash_count for target in targets.values())
            for name in 'bcde':
                await mesh.kill(name)
                await mesh.restart(name)
                await asyncio.sleep(2.0)
                for _ in range(3):
                    await mesh.call(name, FATAL)
            return sum(target.crash_count for target in targets.values()) - before

        self.assertEqual(0, self.run_mesh(scenario, targets=TARGETS, attempts=2))
