"""The store comes back from an older copy: its revisions go back and are given out again."""

import asyncio
from random import Random

import msgspec

from dunlinsaddle.access.freshness import Freshness
from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.http import HttpLimits, HttpRequest
from dunlinsaddle.calls.listener import HttpFace
from dunlinsaddle.platform.client import HttpObjectStore
from dunlinsaddle.platform.configuration import read_configuration
from dunlinsaddle.routes.follow import ConfigFollower
from dunlinsaddle.settings import Address
from standins.platform import Platform
from tests.builders import build_configuration, build_logger
from tests.clock import PausedClockTest

ADDRESS = Address('127.0.0.1', 9)
IN_FORCE = 2.0  #: seconds within which a change has to be in force
AWAY = 2.6  #: seconds for which the store answers nobody
ANSWER = 0.004  #: seconds for an answer of the store; with none, a loop without a pause never ends


class Operator:
    """Writes to the store itself, which answers it whatever it does to others."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    async def configure(self, version: str) -> None:
        await self._write('config', 'main', build_configuration(version))

    async def spend_revisions(self, count: int) -> None:
        """Write what nobody watches."""
        for number in range(count):
            await self._write('other', f'o{number}', self.platform.revision)

    async def _write(self, kind: str, name: str, value: object) -> None:
        method, path = 'POST', f'/objects/{kind}'
        if (kind, name) in self.platform.objects:
            method, path = 'PUT', f'{path}/{name}'
        body = msgspec.json.encode({'metadata': {'name': name}, 'specification': value})
        await self.platform.handle(HttpRequest(method, path, [], body, ''))


class FollowTest(PausedClockTest):
    def follow(self, scenario):
        async def run():
            platform = Platform()
            face = HttpFace(platform.handle, HttpLimits())
            await face.listen(ADDRESS)
            client = HttpClient()
            follower = ConfigFollower(
                HttpObjectStore(ADDRESS, client),
                'config',
                'main',
                read_configuration,
                Random(1),
                build_logger('follow'),
                Freshness(asyncio.get_running_loop().time, None),
            )
            task = asyncio.create_task(follower.run())
            try:
                return await scenario(platform, follower)
            finally:
                task.cancel()
                client.close()
                face.close()

        return self.run_paused(run())

    async def drill(self, platform: Platform) -> None:
        """Follow r18 and r21, and come back from a copy that lacks r21 and all since r18."""
        operator = Operator(platform)
        await operator.configure('r18')
        copy = platform.copy()
        await operator.spend_revisions(6)
        await operator.configure('r21')
        await asyncio.sleep(IN_FORCE)
        platform.faults = {'down': True}
        await asyncio.sleep(AWAY)
        platform.restore(copy)
        platform.faults = {'delay': ANSWER}

    def test_a_change_made_after_the_store_came_back_older_is_in_force_in_time(self):
        """Callers are served by old routes, as the new revision is below the one held."""

        async def scenario(platform, follower):
            await self.drill(platform)
            await Operator(platform).configure('r21')
            await asyncio.sleep(IN_FORCE)
            await Operator(platform).configure('r23')
            await asyncio.sleep(IN_FORCE)
            return follower.version

        self.assertEqual(23, self.follow(scenario))

    def test_a_store_that_came_back_older_is_not_asked_without_a_pause(self):
        """The watchers take up a third of the store's rate until its counter is past theirs."""

        async def scenario(platform, follower):
            await self.drill(platform)
            await asyncio.sleep(IN_FORCE)
            before = platform.reads
            await asyncio.sleep(10)
            return platform.reads - before

        self.assertLess(self.follow(scenario), 10)
