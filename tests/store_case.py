"""A test of the store's client against the stand-in of the store, with a paused clock."""

from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.http import HttpLimits
from dunlinsaddle.calls.listener import HttpListener
from dunlinsaddle.platform.client import HttpObjectStore
from dunlinsaddle.settings import Address
from standins.platform import MAX_VALUE_BYTES, Platform
from tests.clock import PausedClockTest

ADDRESS = Address('127.0.0.1', 9)


class StoreCase(PausedClockTest):
    """Runs scenarios with a store's client, and the stand-in behind it."""

    def run_with_platform(self, scenario, handler=None):
        """Run a scenario; ``handler`` answers in place of the stand-in."""

        async def run():
            platform = Platform()
            limits = HttpLimits(max_body_bytes=2 * MAX_VALUE_BYTES)
            face = HttpListener(handler or platform.handle, limits)
            await face.listen(ADDRESS)
            client = HttpClient()
            try:
                return await scenario(HttpObjectStore(ADDRESS, client), platform)
            finally:
                client.close()
                face.close()

        return self.run_paused(run())
