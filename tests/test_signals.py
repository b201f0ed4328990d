import asyncio
import signal
import time

from dunlinsaddle.exit_status import ExitStatus
from dunlinsaddle.settings import parse_address
from standins.caller import Caller
from standins.fleet import TargetSpec
from tests.fleet_case import FleetCase

SECONDS = 2.0


class SignalTest(FleetCase):
    def setUp(self):
        super().setUp()
        spec = TargetSpec('cut-orders', 'bangor-hall', 9, SECONDS)
        self.placed = self.fleet.deploy('bangor-1', spec)
        self.apply_record('bangor-1')
        self.wait_for_answer(self.placed)

    def signalled(self, *signals):
        """Send signals while a call runs; give its status, the exit status and the time."""
        node = self.placed.node

        async def scenario():
            caller = Caller()
            address = parse_address(self.placed.listeners['callers'])
            call = asyncio.create_task(caller.call(address, 'GET', '/cut-orders/orders/1'))
            await asyncio.sleep(0.3)
            for number in signals:
                node.kill(number)
                await asyncio.sleep(0.2)
            response = await call
            caller.close()
            return response

        began = time.monotonic()
        response = asyncio.run(scenario())
        status = node.popen.wait(10)
        return response, status, time.monotonic() - began

    def test_sigterm_lets_calls_end(self):
        # The node is told to end while a call of two seconds runs. Its caller gets the whole
        # answer, then the process ends with success.
        response, status, _ = self.signalled(signal.SIGTERM)
        self.assertEqual(200, response.status)
        self.assertEqual(ExitStatus.OK, status)

    def test_a_second_sigint_ends_at_once(self):
        # Somebody at a terminal interrupts twice, because the drain takes too long for them:
        # the call is cut, and the process ends at once and says that it was interrupted.
        response, status, elapsed = self.signalled(signal.SIGINT, signal.SIGINT)
        self.assertIsNone(response)
        self.assertEqual(ExitStatus.INTERRUPTED, status)
        self.assertLess(elapsed, SECONDS)
