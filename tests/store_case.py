"""Base class of tests of the store client against a simulated platform, with a paused clock."""

from dunlinsaddle.calls.http import HttpLimits
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.platform.client import HttpObjectStore
from dunlinsaddle.settings import Address
from standins.platform import MAX_VALUE_BYTES, Platform
from tests.clock import PausedClockTest

ADDRESS = Address('127.0.0.1', 9)


class StoreClientTestCase(PausedClockTest):
    """Runs scenarios with a store client and the simulated platform that it is connected to."""

    def run_with_platform(self, scenario, handler=None):
        """Run a scenario; ``handler`` replaces that of the simulated platform."""

        async def run():
            platform = Platform()
            limits = HttpLimits(max_body_bytes=2 * MAX_VALUE_BYTES)
            listener = HttpListener(handler or platform.handle, limits)
            await listener.listen(ADDRESS)
            client = HttpClient()
            try:
                return await scenario(HttpObjectStore(ADDRESS, client), platform)
            finally:
                client.close()
                listener.close()

        return self.run_paused(run())
