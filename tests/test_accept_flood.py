import asyncio
import socket
from itertools import pairwise

from testtools import TestCase

from dunlinsaddle.calls.http import HttpLimits, HttpResponse
from dunlinsaddle.calls.listener import HttpListener
from dunlinsaddle.settings import Address

WAITING = 300
AT_ONCE = 16


class FloodTest(TestCase):
    """Callers open thousands of connections to one node, which stays busy but alive.

    The loop accepted up to a thousand of them in one go. Probes of other nodes waited in
    their socket meanwhile, the node was suspected and held for dead, and its work went away.
    """

    def test_few_connections_are_accepted_between_two_other_events(self):
        async def handle(req):
            return HttpResponse(200, [], b'')

        async def scenario() -> list[int]:
            face = HttpListener(handle, HttpLimits())
            address = await face.listen(Address('127.0.0.1', 0))
            waiting = [socket.create_connection(address, timeout=5) for _ in range(WAITING)]
            seen = [len(face.connections)]
            while seen[-1] < WAITING:
                await asyncio.sleep(0)
                seen.append(len(face.connections))
            for sock in waiting:
                sock.close()
            face.close()
            return seen

        seen = asyncio.run(asyncio.wait_for(scenario(), 20))
        self.assertLessEqual(max(b - a for a, b in pairwise(seen)), AT_ONCE)
