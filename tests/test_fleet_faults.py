import asyncio
import itertools
import signal
from typing import NamedTuple

import msgspec

from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.messages import NotSent
from dunlinsaddle.settings import parse_address
from tests.fleet_case import DOMAINS, FleetCase

VICTIM = 'bangor-1'
CALLERS = 2  #: at each entry
RUN_SECONDS = 0.2
CUT = -1  #: as a status: the connection ended before the whole answer


class End(NamedTuple):
    """How one call ended; status 0 where the port was closed."""

    entry: str
    number: int
    status: int
    mine: bool


class FleetFaultsTest(FleetCase):
    def setUp(self):
        super().setUp()
        self.start_target_in_each_domain(50, RUN_SECONDS)
        self.apply_record(VICTIM)
        for placed in self.fleet.deployments.values():
            self.wait_for_answer(placed)

    def under_load(self, fault, seconds=8.0):
        """Let callers press all entries while a fault happens; give how each call ended."""

        async def scenario():
            loop = asyncio.get_running_loop()
            client, numbers, ends = HttpClient(), itertools.count(), []
            end = loop.time() + seconds

            async def press(entry):
                address = parse_address(self.fleet.deployments[entry].listeners['callers'])
                while loop.time() < end:
                    number = next(numbers)
                    path = f'/cut-orders/orders/{number}'
                    req = HttpRequest('GET', path, [(b'idempotency-key', b'%d' % number)], b'', '')
                    exchange = await client.send(address, req, 20)
                    ends.append(end_of(entry, number, exchange))
                    await asyncio.sleep(0.05)

            callers = [press(entry) for entry in DOMAINS for _ in range(CALLERS)]
            found, *_ = await asyncio.gather(fault(), *callers)
            client.close()
            return found, ends

        return asyncio.run(scenario())

    async def runs(self):
        """Give the numbers of the calls that the victim's target has been given."""
        address = parse_address(self.fleet.deployments[VICTIM].target_address)
        exchange = await HttpClient().send(address, HttpRequest('GET', '/-/runs', [], b'', ''), 5)
        return set(msgspec.json.decode(exchange.response.body))

    def test_a_node_frozen_under_load_costs_nobody_elsewhere_an_answer(self):
        # The node beside one target stops for five seconds and goes on. Callers of the other
        # entries are answered by other targets after their links to it went silent; its own
        # callers wait for it. Each gets an answer, and only the answer to its own call.
        async def freeze():
            await asyncio.sleep(2)
            node = self.fleet.deployments[VICTIM].node
            node.kill(signal.SIGSTOP)
            await asyncio.sleep(5)
            node.kill(signal.SIGCONT)

        _, ends = self.under_load(freeze, 12.0)
        elsewhere = [e.status for e in ends if e.entry != VICTIM]
        self.assertEqual([], [e for e in ends if not e.mine])
        self.assertEqual({200}, set(elsewhere))
        self.assertGreater(len(elsewhere), 100)
        self.assertEqual({200}, {e.status for e in ends if e.entry == VICTIM} - {502, 503, 504})
        self.assertEqual(200, [e.status for e in ends if e.entry == VICTIM][-1])

    def test_a_killed_node_costs_nobody_elsewhere_an_answer(self):
        # The node's process ends at once. Lookups that it had are sent again to other targets;
        # only the callers whose entry it was lose their connections.
        async def kill():
            await asyncio.sleep(2)
            self.fleet.deployments[VICTIM].node.kill()

        _, ends = self.under_load(kill, 6.0)
        self.assertEqual([], [e for e in ends if not e.mine])
        self.assertEqual({200}, {e.status for e in ends if e.entry != VICTIM})
        self.assertLessEqual([e.status for e in ends].count(CUT), CALLERS)

    def test_a_stopped_node_cuts_nothing_and_gets_nothing_new_after_two_seconds(self):
        # SIGTERM reaches a node under load. What its target has been given is answered whole;
        # callers of the other entries see no error; after two seconds nothing new is started.
        self.stop_under_load()

    def test_a_node_stopped_while_the_platform_is_out_cuts_nothing_either(self):
        # The platform answers nothing any more, so the node cannot give its ranges away. Its
        # drain goes on without, and the process ends.
        async def fail():
            req = HttpRequest('POST', '/faults', [], b'{"down": true}', '')
            await HttpClient().send(parse_address(self.fleet.platform_address), req, 5)

        asyncio.run(fail())
        self.stop_under_load()
        self.assertEqual(0, self.fleet.deployments[VICTIM].node.popen.wait(20))

    def stop_under_load(self):
        async def stop():
            await asyncio.sleep(2)
            self.fleet.deployments[VICTIM].node.kill(signal.SIGTERM)
            await asyncio.sleep(2)
            early = await self.runs()
            await asyncio.sleep(3)
            return await self.runs() - early

        late, ends = self.under_load(stop)
        self.assertEqual(set(), late)
        self.assertEqual([], [e for e in ends if not e.mine])
        self.assertEqual({200}, {e.status for e in ends if e.entry != VICTIM})
        self.assertEqual(set(), {e.status for e in ends if e.entry == VICTIM} - {0, 200, 503})


def end_of(entry, number, exchange):
    if isinstance(exchange, NotSent):
        return End(entry, number, 0, mine=True)
    if not isinstance(exchange, Answered):
        return End(entry, number, CUT, mine=True)
    response = exchange.response
    if response.status != 200:
        return End(entry, number, response.status, mine=True)
    path = msgspec.json.decode(response.body)['path']
    return End(entry, number, 200, path == f'/orders/{number}')
