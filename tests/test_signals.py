import asyncio
import signal
import time

from dunlinsaddle.exit_status import ExitStatus
from dunlinsaddle.settings import parse_address
from standins.caller import Caller
from standins.fleet import TargetSpec
from tests.fleet_case import FleetCase

SERVICE_SECONDS = 2.0


class SignalTest(FleetCase):
    def setUp(self):
        super().setUp()
        spec = TargetSpec('cut-orders', 'bangor-hall', 9, SERVICE_SECONDS)
        self.deployment = self.fleet.deploy('bangor-1', spec)
        self.apply_record('bangor-1')
        self.wait_for_answer(self.deployment)

    def send_signals(self, *signals):
        """Send signals while a call runs.

        Returns the response to the call, the exit status and the time elapsed.
        """
        node = self.deployment.node

        async def scenario():
            caller = Caller()
            address = parse_address(self.deployment.listeners['callers'])
            call = asyncio.create_task(caller.call(address, 'GET', '/cut-orders/orders/1'))
            await asyncio.sleep(0.3)
            for number in signals:
                node.kill(number)
                await asyncio.sleep(0.2)
            response = await call
            caller.close()
            return response

        started_at = time.monotonic()
        response = asyncio.run(scenario())
        exit_status = node.popen.wait(10)
        return response, exit_status, time.monotonic() - started_at

    def test_sigterm_completes_running_calls(self):
        # The node gets SIGTERM while a call of two seconds runs. The caller gets the complete
        # answer, then the process exits with success.
        response, exit_status, _ = self.send_signals(signal.SIGTERM)
        self.assertEqual(200, response.status)
        self.assertEqual(ExitStatus.OK, exit_status)

    def test_a_second_sigint_ends_at_once(self):
        # An operator at a terminal interrupts twice because the drain takes too long. The
        # connection of the call is closed, and the process ends at once with the exit status for
        # an interruption.
        response, exit_status, elapsed = self.send_signals(signal.SIGINT, signal.SIGINT)
        self.assertIsNone(response)
        self.assertEqual(ExitStatus.INTERRUPTED, exit_status)
        self.assertLess(elapsed, SERVICE_SECONDS)
