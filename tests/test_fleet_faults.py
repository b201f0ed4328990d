import asyncio
import itertools
import signal
from typing import NamedTuple

import msgspec

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.messages import NotSent
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.settings import parse_address
from tests.fleet_case import DOMAINS, FleetCase

VICTIM = 'bangor-1'
CALLERS_PER_ENTRY = 2
RUN_SECONDS = 0.2
CONNECTION_LOST = -1  #: status of a call whose connection ended before a complete answer


class CallResult(NamedTuple):
    """Result of one call. The status is 0 if the port was closed."""

    entry: str
    number: int
    status: int
    is_own_answer: bool


class FleetFaultsTest(FleetCase):
    def setUp(self):
        super().setUp()
        self.start_target_in_each_domain(50, RUN_SECONDS)
        self.apply_record(VICTIM)
        for deployment in self.fleet.deployments.values():
            self.wait_for_answer(deployment)

    def run_under_load(self, fault, seconds=8.0):
        """Send calls to all entry nodes during a fault.

        Returns the result of ``fault`` and the results of the calls.
        """

        async def scenario():
            loop = asyncio.get_running_loop()
            client, numbers, results = HttpClient(), itertools.count(), []
            end_time = loop.time() + seconds

            async def send_calls(entry):
                address = parse_address(self.fleet.deployments[entry].listeners['callers'])
                while loop.time() < end_time:
                    number = next(numbers)
                    path = f'/cut-orders/orders/{number}'
                    req = HttpRequest('GET', path, [(b'idempotency-key', b'%d' % number)], b'', '')
                    exchange = await client.send(address, req, 20)
                    results.append(classify_result(entry, number, exchange))
                    await asyncio.sleep(0.05)

            callers = [send_calls(entry) for entry in DOMAINS for _ in range(CALLERS_PER_ENTRY)]
            fault_result, *_ = await asyncio.gather(fault(), *callers)
            client.close()
            return fault_result, results

        return asyncio.run(scenario())

    async def read_started_calls(self):
        """Return the numbers of the calls that the target of the victim has started."""
        address = parse_address(self.fleet.deployments[VICTIM].target_address)
        exchange = await HttpClient().send(address, HttpRequest('GET', '/-/runs', [], b'', ''), 5)
        return set(msgspec.json.decode(exchange.response.body))

    def test_a_node_paused_under_load_loses_no_answers_at_other_entries(self):
        # The node of one target is paused for five seconds. Callers of the other entry nodes are
        # answered by other targets once the links to the paused node are silent; its own callers
        # wait for it. Each caller gets an answer, and only the answer to its own call.
        async def freeze():
            await asyncio.sleep(2)
            node = self.fleet.deployments[VICTIM].node
            node.kill(signal.SIGSTOP)
            await asyncio.sleep(5)
            node.kill(signal.SIGCONT)

        _, results = self.run_under_load(freeze, 12.0)
        elsewhere = [result.status for result in results if result.entry != VICTIM]
        self.assertEqual([], [result for result in results if not result.is_own_answer])
        self.assertEqual({200}, set(elsewhere))
        self.assertGreater(len(elsewhere), 100)
        self.assertEqual(
            {200}, {result.status for result in results if result.entry == VICTIM} - {502, 503, 504}
        )
        self.assertEqual(200, [result.status for result in results if result.entry == VICTIM][-1])

    def test_a_killed_node_loses_no_answers_at_other_entries(self):
        # Lookups in progress at the killed node are resent to other targets. Only its own callers
        # lose their connections.
        async def kill():
            await asyncio.sleep(2)
            self.fleet.deployments[VICTIM].node.kill()

        _, results = self.run_under_load(kill, 6.0)
        self.assertEqual([], [result for result in results if not result.is_own_answer])
        self.assertEqual({200}, {result.status for result in results if result.entry != VICTIM})
        self.assertLessEqual(
            [result.status for result in results].count(CONNECTION_LOST), CALLERS_PER_ENTRY
        )

    def test_a_stopped_node_completes_its_calls_and_starts_none_after_two_seconds(self):
        # A node under load gets SIGTERM. Calls that its target has started are answered, callers
        # of the other entry nodes see no error, and after two seconds no new call starts.
        self.check_stop_under_load()

    def test_a_node_stopped_without_a_platform_completes_its_calls(self):
        # The platform does not answer, so the node cannot hand its key ranges over. It must drain
        # without that, and end.
        async def stop_platform():
            req = HttpRequest('POST', '/faults', [], b'{"down": true}', '')
            await HttpClient().send(parse_address(self.fleet.platform_address), req, 5)

        asyncio.run(stop_platform())
        self.check_stop_under_load()
        self.assertEqual(0, self.fleet.deployments[VICTIM].node.popen.wait(20))

    def check_stop_under_load(self):
        async def stop():
            await asyncio.sleep(2)
            self.fleet.deployments[VICTIM].node.kill(signal.SIGTERM)
            await asyncio.sleep(2)
            started_before = await self.read_started_calls()
            await asyncio.sleep(3)
            return await self.read_started_calls() - started_before

        started_late, results = self.run_under_load(stop)
        self.assertEqual(set(), started_late)
        self.assertEqual([], [result for result in results if not result.is_own_answer])
        self.assertEqual({200}, {result.status for result in results if result.entry != VICTIM})
        self.assertEqual(
            set(), {result.status for result in results if result.entry == VICTIM} - {0, 200, 503}
        )


def classify_result(entry, number, exchange):
    if isinstance(exchange, NotSent):
        return CallResult(entry, number, 0, is_own_answer=True)
    if not isinstance(exchange, Answered):
        return CallResult(entry, number, CONNECTION_LOST, is_own_answer=True)
    response = exchange.response
    if response.status != 200:
        return CallResult(entry, number, response.status, is_own_answer=True)
    path = msgspec.json.decode(response.body)['path']
    return CallResult(entry, number, 200, path == f'/orders/{number}')
