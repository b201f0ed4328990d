import asyncio
import contextlib

from testtools import TestCase

from dunlinsaddle.calls.http import HttpResponse
from dunlinsaddle.calls.inbound.accepted_connection import AcceptedConnection
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.settings import Address
from tests.listener_case import ADDRESS, LIMITS, ListenerTest


class ClosingTest(ListenerTest):
    def test_a_request_sent_while_closing_starts_is_answered(self):
        # The node starts to leave while a caller has an open connection. A request in flight
        # gets its response, which announces the end of the connection.
        async def use(listener, reader, writer):
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            await asyncio.sleep(1)
            listener.start_closing()
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            return await reader.read()

        response = self.run_with_listener(use)
        self.assertEqual(2, response.count(b'HTTP/1.1 200'))
        self.assertEqual(1, response.count(b'onnection: close'))

    def test_wait_idle_waits_until_responses_are_sent(self):
        # The caller reads slowly, so the response is still buffered in this process. Closing
        # now would truncate it.
        self.response = HttpResponse(200, [], b'x' * 400_000)

        async def use(listener, reader, writer):
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            listener.start_closing()
            await asyncio.sleep(0.1)
            wait_task = asyncio.get_running_loop().create_task(listener.wait_idle())
            await asyncio.sleep(1)
            done_before_read = wait_task.done()
            response = await reader.read()
            await wait_task
            return done_before_read, len(response)

        done_before_read, size = self.run_with_listener(use)
        self.assertFalse(done_before_read)
        self.assertGreater(size, 400_000)


class FinishTest(ListenerTest):
    """Connections of a listener that starts no request behind one in progress."""

    def finish_with(self, requests, sent_later=b''):
        async def use(listener, reader, writer):
            writer.write(requests)
            await asyncio.sleep(0.5)
            listener.finish_connections()
            writer.write(sent_later)
            responses = await asyncio.wait_for(reader.read(), 10)
            is_busy = [conn.is_busy for conn in listener.connections]
            writer.close()
            await asyncio.wait_for(listener.wait_idle(), 0.5)
            return responses, is_busy

        return self.run_with_listener(use, pipeline=8)

    # A connection with requests behind those in progress did not come to its end.
    def test_requests_behind_those_in_progress_are_left_unread(self):
        get = b'GET /%d HTTP/1.1\r\nhost: a\r\nsleep: %d\r\n\r\n'
        post = b'POST /9 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n'
        for behind, later in ((get % (3, 1), b''), (post + b'abc', b''), (post, b'abc')):
            self.handled.clear()
            responses, is_busy = self.finish_with(get % (1, 2) + get % (2, 1) + behind, later)
            started = [req.path for req in self.handled if req.method == 'GET']
            self.assertEqual(len(started), responses.count(b'HTTP/1.1 200'))
            self.assertEqual(1, responses.count(b'connection: close'))
            self.assertNotIn('/9', {req.path for req in self.handled})
            # The drain waits until the caller has read the last response.
            self.assertEqual([True], is_busy)

    def test_a_body_that_arrives_alone_is_read_and_answered(self):
        head = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n'
        responses, _ = self.finish_with(head, b'abc')
        self.assertEqual(1, responses.count(b'HTTP/1.1 200'))
        self.assertEqual(1, responses.count(b'connection: close'))


class ResetTest(TestCase):
    """The end of a connection over real sockets."""

    # The node's close reset the connection of a caller that still sent, before it read the answer.
    def test_a_caller_that_still_sends_gets_the_last_response(self):
        async def handle(req):
            await asyncio.sleep(0.05)
            return HttpResponse(200, [], b'x' * 200_000)

        async def scenario():
            listener = HttpListener(handle, LIMITS, pipeline=8)
            address = await listener.listen(Address('127.0.0.1', 0))
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n' * 2)
            await asyncio.sleep(0.02)
            listener.finish_connections()
            for _ in range(20):
                writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
                await asyncio.sleep(0.01)
            responses = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            listener.close()
            return responses

        responses = asyncio.run(scenario())
        self.assertEqual(2, responses.count(b'HTTP/1.1 200'))
        self.assertEqual(400_000, responses.count(b'x'))

    # A connection that was being set up when the listener stopped was served and then cut off.
    def test_a_connection_accepted_before_the_stop_is_not_served_after_it(self):
        handled = []

        async def handle(req):
            handled.append(req)
            return HttpResponse(200, [], b'')

        async def scenario():
            listener = HttpListener(handle, LIMITS)

            def stop_and_create():
                asyncio.get_running_loop().call_soon(listener.stop_listening)
                return AcceptedConnection(listener)

            listener.new_connection = stop_and_create
            address = await listener.listen(Address('127.0.0.1', 0))
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            with contextlib.suppress(ConnectionError):
                self.assertEqual(b'', await asyncio.wait_for(reader.read(), 5))
            writer.close()

        asyncio.run(scenario())
        self.assertEqual([], handled)


class PipeliningTest(ListenerTest):
    def test_safe_requests_run_concurrently_and_are_answered_in_order(self):
        async def handle(req):
            self.handled.append(req.path)
            await asyncio.sleep(float(req.header(b'sleep')))
            return HttpResponse(200, [], req.path.encode())

        async def scenario():
            listener = HttpListener(handle, LIMITS, pipeline=8)
            await listener.listen(ADDRESS)
            reader, writer = await asyncio.open_connection(ADDRESS.host, ADDRESS.port)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            for path, seconds in ((b'/1', b'3'), (b'/2', b'1'), (b'/3', b'2')):
                writer.write(b'GET %s HTTP/1.1\r\nhost: a\r\nsleep: %s\r\n\r\n' % (path, seconds))
            await asyncio.sleep(3.5)
            responses = await reader.read(65536)
            writer.write(b'POST /4 HTTP/1.1\r\nhost: a\r\nsleep: 1\r\ncontent-length: 0\r\n\r\n')
            writer.write(b'GET /5 HTTP/1.1\r\nhost: a\r\nsleep: 1\r\n\r\n')
            await asyncio.sleep(0.5)
            started = list(self.handled)
            writer.close()
            listener.close()
            return responses, started, loop.time() - started_at

        responses, started, _ = self.run_paused(scenario())
        positions = [responses.index(path) for path in (b'/1', b'/2', b'/3')]
        self.assertEqual(sorted(positions), positions)
        # A request that is not safe runs alone: the one after it has not started.
        self.assertEqual(['/1', '/2', '/3', '/4'], started)

    def test_closing_waits_for_all_started_requests(self):
        # The listener starts closing while three requests of one connection run. Each may have
        # been forwarded already, so each is answered; the last response announces the close.
        async def use(listener, reader, writer):
            for seconds in (b'1', b'2', b'3'):
                writer.write(b'GET / HTTP/1.1\r\nhost: a\r\nsleep: %s\r\n\r\n' % seconds)
            await asyncio.sleep(0.5)
            listener.start_closing()
            return await asyncio.wait_for(reader.read(), 10)

        responses = self.run_with_listener(use, pipeline=8)
        self.assertEqual(3, responses.count(b'HTTP/1.1 200'))
        self.assertEqual(1, responses.count(b'connection: close'))
        self.assertEqual(0, self.cancelled)
