import asyncio
import socket
from itertools import pairwise

from testtools import TestCase

from dunlinsaddle.calls.http import HttpLimits, HttpResponse
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.settings import Address

CONNECTIONS = 300
MAX_ACCEPTS_PER_EVENT = 16


class AcceptFloodTest(TestCase):
    """Callers open thousands of connections to one node, which must stay responsive.

    If the event loop accepts up to a thousand of them at once, probes of other nodes wait in
    their socket meanwhile. The node is then suspected, declared dead, and gets no more work.
    """

    def test_few_connections_are_accepted_per_loop_iteration(self):
        async def handle(req):
            return HttpResponse(200, [], b'')

        async def scenario() -> list[int]:
            listener = HttpListener(handle, HttpLimits())
            address = await listener.listen(Address('127.0.0.1', 0))
            clients = [socket.create_connection(address, timeout=5) for _ in range(CONNECTIONS)]
            counts = [len(listener.connections)]
            while counts[-1] < CONNECTIONS:
                await asyncio.sleep(0)
                counts.append(len(listener.connections))
            for sock in clients:
                sock.close()
            listener.close()
            return counts

        counts = asyncio.run(asyncio.wait_for(scenario(), 20))
        self.assertLessEqual(max(b - a for a, b in pairwise(counts)), MAX_ACCEPTS_PER_EVENT)
