"""Base class of tests of the HTTP listener, on a paused clock."""

import asyncio

from dunlinsaddle.calls.http import HttpLimits, HttpResponse
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.settings import Address
from tests.clock import PausedClockTest

ADDRESS = Address('127.0.0.1', 80)
LIMITS = HttpLimits(max_header_bytes=4096, max_body_bytes=1000, header_timeout=10, idle_timeout=75)


class ListenerTest(PausedClockTest):
    def setUp(self):
        super().setUp()
        self.handled = []
        self.cancelled = 0
        self.response = HttpResponse(200, [], b'whole')
        self.limits = LIMITS

    async def handle(self, req):
        self.handled.append(req)
        try:
            await asyncio.sleep(float(req.header(b'sleep') or 0))
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.response

    def run_with_listener(self, use, pipeline=1):
        async def scenario():
            listener = HttpListener(self.handle, self.limits, pipeline=pipeline)
            await listener.listen(ADDRESS)
            reader, writer = await asyncio.open_connection(ADDRESS.host, ADDRESS.port)
            try:
                return await use(listener, reader, writer)
            finally:
                writer.close()
                listener.close()
                await asyncio.sleep(0.1)

        return self.run_paused(scenario())

    def response_to(self, data, *, read_to_eof=True):
        async def use(listener, reader, writer):
            writer.write(data)
            if read_to_eof:
                return await asyncio.wait_for(reader.read(), 200)
            await asyncio.sleep(1)
            return await reader.read(65536)

        return self.run_with_listener(use)
