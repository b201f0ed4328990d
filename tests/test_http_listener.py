import asyncio

from dunlinsaddle.calls.http import HttpResponse, forwarded_headers
from dunlinsaddle.calls.http_codec import HEADER_COST_BYTES
from dunlinsaddle.calls.inbound.accepted_connection import CONNECTION_COST_BYTES
from dunlinsaddle.calls.messages import CALL_COST_BYTES
from dunlinsaddle.errors import ErrorKind
from tests.listener_case import ADDRESS, LIMITS, ListenerTest

#: What a request of the memory tests takes besides its body: three headers and its line.
REQUEST_BYTES = 3 * HEADER_COST_BYTES + 40


class ResponseTest(ListenerTest):
    def test_a_head_request_is_answered_without_a_body(self):
        response = self.response_to(b'HEAD / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')
        self.assertTrue(response.startswith(b'HTTP/1.1 200'))
        self.assertTrue(response.endswith(b'\r\n\r\n'))

    def test_a_204_response_has_no_length(self):
        # A length or a body in the first of two responses would be read as part of the second.
        self.response = HttpResponse(204, [], b'ignored')
        response = self.response_to(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n' * 2, read_to_eof=False)
        self.assertEqual(b'HTTP/1.1 204 \r\n\r\n' * 2, response)

    def test_an_invalid_response_becomes_an_internal_error(self):
        self.response = HttpResponse(200, [(b'a b', b'\n')], b'')
        response = self.response_to(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        self.assertTrue(response.startswith(b'HTTP/1.1 500'), response)

    def test_headers_named_in_connection_are_not_forwarded(self):
        headers = [(b'connection', b'close, X-Hop'), (b'x-hop', b'1'), (b'x-end', b'2')]
        self.assertEqual([(b'x-end', b'2')], forwarded_headers(headers))


class BadRequestTest(ListenerTest):
    def test_two_framing_headers_are_rejected(self):
        # A proxy in front that uses the other header would split the stream elsewhere.
        data = (
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n'
        )
        response = self.response_to(data)
        self.assertTrue(response.startswith(b'HTTP/1.1 400'), response)
        self.assertEqual([], self.handled)

    def test_connect_is_rejected(self):
        response = self.response_to(b'CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n')
        self.assertTrue(response.startswith(b'HTTP/1.1 405'), response)

    def test_a_slow_sender_times_out_on_a_keep_alive_connection(self):
        # After one complete request the client sends a byte per second. The header timeout of
        # ten seconds starts at the first byte, and applies instead of the idle timeout of 75.
        async def use(listener, reader, writer):
            loop = asyncio.get_running_loop()
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            await asyncio.sleep(5)
            started_at = loop.time()
            for byte in b'GET /' + b'x' * 55:
                writer.write(bytes([byte]))
                await asyncio.sleep(1)
                if reader.at_eof() or not listener.connections:
                    break
            return loop.time() - started_at, await reader.read()

        elapsed, response = self.run_with_listener(use)
        self.assertLess(elapsed, 12)
        self.assertIn(b'HTTP/1.1 408', response)


class UploadTest(ListenerTest):
    """Bodies that arrive slowly, with a header timeout of ten seconds."""

    def send_body(self, pieces, *, length=1000, pause=0.0):
        """Send a head and the pieces of a body; return the seconds and the response."""

        async def use(listener, reader, writer):
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            writer.write(b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n' % length)
            for piece in pieces:
                await asyncio.sleep(pause)
                writer.write(piece)
                if reader._buffer:
                    break
            response = await reader.readuntil(b'\r\n')
            return loop.time() - started_at, response

        return self.run_with_listener(use)

    def test_a_body_that_makes_progress_is_read_in_full(self):
        # Five pieces take thirteen seconds, longer than the header timeout for a whole request.
        # The deadline of the request has run since its head, so the handler learns how long.
        self.limits = LIMITS._replace(max_body_bytes=100_000)
        pieces = [b'x' * 20_000] * 5
        _, response = self.send_body(pieces, length=100_000, pause=2.6)
        self.assertEqual(b'HTTP/1.1 200 \r\n', response)
        (req,) = self.handled
        self.assertEqual(100_000, len(req.body))
        self.assertAlmostEqual(13.0, req.read_seconds, delta=0.1)

    def test_a_body_that_stalls_is_refused_after_the_header_timeout(self):
        seconds, response = self.send_body([b'x' * 900], pause=0.5)
        self.assertTrue(response.startswith(b'HTTP/1.1 408'), response)
        self.assertAlmostEqual(10.5, seconds, delta=0.1)
        self.assertEqual([], self.handled)

    def test_a_body_that_trickles_is_refused_soon_after_the_header_timeout(self):
        # A byte every four seconds is no stall; 1,000 of them would hold the connection for over an
        # hour.
        seconds, response = self.send_body([b'x'] * 9, pause=3.9)
        self.assertTrue(response.startswith(b'HTTP/1.1 408'), response)
        self.assertLess(seconds, 12)
        self.assertEqual([], self.handled)

    def test_a_caller_that_leaves_midway_leaves_nothing_behind(self):
        async def use(listener, reader, writer):
            writer.write(b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 900\r\n\r\n' + b'x' * 400)
            await asyncio.sleep(1)
            (conn,) = listener.connections
            busy = conn.is_busy
            writer.close()
            await asyncio.sleep(0.1)
            return busy, len(listener.connections)

        self.assertEqual((True, 0), self.run_with_listener(use))
        self.assertEqual([], self.handled)

    def test_a_refused_body_is_not_asked_for(self):
        # A caller waits for "100 Continue". Written after the refusal, it would end the connection
        # with an exception before the refusal is read.
        head = b'POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: %d\r\n\r\n'

        async def use(listener, reader, writer):
            errors = []
            asyncio.get_running_loop().set_exception_handler(lambda _, error: errors.append(error))
            writer.write(head % 1001)
            await asyncio.sleep(0.1)
            return errors, len(listener.connections), (await reader.read())[:12]

        self.assertEqual(([], 1, b'HTTP/1.1 413'), self.run_with_listener(use))
        asked = self.response_to(head % 1000, read_to_eof=False)
        self.assertEqual(b'HTTP/1.1 100 Continue\r\n\r\n', asked)

    def test_a_caller_gets_the_refusal_of_a_body_that_it_still_sends(self):
        # The refusal comes with the head. If the connection were closed at once, the caller would
        # be reset while it sends, and could not tell a refusal from a lost response.
        async def use(listener, reader, writer):
            writer.write(b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9000\r\n\r\n')
            await asyncio.sleep(0.1)
            (conn,) = listener.connections
            for _ in range(9):
                writer.write(b'x' * 1000)
                await asyncio.sleep(0.05)
            is_open, is_busy = not conn.transport.is_closing(), conn.is_busy
            response = await reader.read()
            await asyncio.sleep(1)
            return is_open, is_busy, conn.unread, response[:12], len(listener.connections)

        self.assertEqual((True, False, b'', b'HTTP/1.1 413', 0), self.run_with_listener(use))


class HeldMemoryTest(ListenerTest):
    """Requests of all connections together, for which 1,000 bytes are held at most.

    What each connection takes besides, with one that the base class opens, comes on top.
    """

    HEAD = b'POST / HTTP/1.1\r\nhost: a\r\nsleep: 5\r\n'

    def run_with_memory(self, use, connections=3, requests=0):
        async def scenario(listener, reader, writer):
            beside = connections * CONNECTION_COST_BYTES + requests * CALL_COST_BYTES
            listener.held_memory.limit = beside + 2 * REQUEST_BYTES + 1000
            self.memory = listener.held_memory
            self.refusals = []
            listener.on_refusal = lambda headers, failure: self.refusals.append(failure.kind)
            return await use(listener, reader, writer)

        return self.run_with_listener(scenario)

    async def send(self, body, *, length=None):
        """Send a request over a connection of its own; return its streams."""
        reader, writer = await asyncio.open_connection(ADDRESS.host, ADDRESS.port)
        writer.write(self.HEAD + b'content-length: %d\r\n\r\n' % (length or len(body)) + body)
        await asyncio.sleep(0.1)
        return reader, writer

    # A body that had begun kept its memory, and the next was refused however small it was.
    def test_the_unfinished_body_that_holds_most_is_refused_and_not_the_next(self):
        async def use(listener, *streams):
            slow_reader, _ = await self.send(b'x' * 900, length=901)
            reader, _ = await self.send(b'x' * 300)
            return await slow_reader.read(), await reader.read(12)

        refusal, served = self.run_with_memory(use, requests=1)
        self.assertTrue(refusal.startswith(b'HTTP/1.1 503'), refusal)
        self.assertIn(b'retry-after: 1\r\n', refusal)
        self.assertIn(b'dunlinsaddle-outcome: not-run', refusal)
        self.assertEqual(b'HTTP/1.1 200', served)
        self.assertEqual([ErrorKind.TOO_MANY_BODIES], self.refusals)

    # A length that a caller announces and does not send reserved the memory of all others.
    def test_a_body_counts_as_it_arrives(self):
        async def use(listener, *streams):
            _, writer = await self.send(b'x' * 10, length=1000)
            held = [self.memory.held]
            writer.write(b'x' * 500)
            await asyncio.sleep(0.1)
            held.append(self.memory.held)
            _, chunked = await asyncio.open_connection(ADDRESS.host, ADDRESS.port)
            chunked.write(self.HEAD + b'transfer-encoding: chunked\r\n\r\n')
            await asyncio.sleep(0.1)
            held.append(self.memory.held)
            chunked.write(b'190\r\n' + b'x' * 400 + b'\r\n')
            await asyncio.sleep(0.1)
            held.append(self.memory.held)
            return held[1] - held[0], held[3] - held[2], self.refusals

        self.assertEqual((500, 400, []), self.run_with_memory(use))

    # A request that runs is not refused, as callers would take that for a promise.
    def test_a_request_in_progress_that_holds_most_ends_with_its_connection(self):
        async def use(listener, *streams):
            reader, _ = await self.send(b'x' * 1000)
            other, _ = await self.send(b'x' * 400)
            return await reader.read(), await other.read(12)

        outcome = self.run_with_memory(use, requests=2)
        self.assertEqual((b'', b'HTTP/1.1 200'), outcome)
        self.assertEqual((1, []), (self.cancelled, self.refusals))

    def test_each_end_of_a_request_releases_what_it_held(self):
        # It leaves midway, leaves while it runs, stalls until its timeout, is too large, or waits
        # behind another request of its connection that ends with the connection.
        async def use(listener, _, unused):
            unused.close()
            await asyncio.sleep(0.1)
            before, ends = self.memory.held, []
            for body, length, seconds in ((b'x', 500, 0), (b'x' * 500, 500, 0), (b'x', 500, 12)):
                _, writer = await self.send(body, length=length)
                ends.append(self.memory.held > before)
                await asyncio.sleep(seconds)
                writer.close()
                await asyncio.sleep(0.1)
                ends.append(self.memory.held - before)
            _, writer = await self.send(b'x', length=5000)
            writer.close()
            await asyncio.sleep(0.1)
            ends.append(self.memory.held - before)
            _, writer = await self.send(
                b'x' * 300 + self.HEAD + b'content-length: 400\r\n\r\n', length=300
            )
            ends.append(self.memory.held > before)
            writer.close()
            await asyncio.sleep(0.1)
            return ends, self.memory.held - before

        ends, held = self.run_with_memory(use, requests=4)
        self.assertEqual(([True, 0, True, 0, True, 0, 0, True], 0), (ends, held))


class EvictionTest(ListenerTest):
    # A crowd that keeps its connections kept new callers out.
    def test_idle_connection_makes_way_for_a_new_one(self):
        self.limits = LIMITS._replace(max_connections=3)

        async def use(listener, idle, _):
            streams = [await asyncio.open_connection(ADDRESS.host, ADDRESS.port) for _ in range(3)]
            for _, writer in streams:
                writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            answers = [await reader.read(12) for reader, _ in streams]
            return await idle.read(), answers, listener.evicted_count

        expected = (b'', [b'HTTP/1.1 200'] * 3, 1)
        self.assertEqual(expected, self.run_with_listener(use))

    # A request in progress would be lost for a connection that has not sent any.
    def test_new_connection_is_refused_while_requests_are_in_progress_on_all(self):
        self.limits = LIMITS._replace(max_connections=1)

        async def use(listener, reader, writer):
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\nsleep: 5\r\n\r\n')
            await asyncio.sleep(0.1)
            new, _ = await asyncio.open_connection(ADDRESS.host, ADDRESS.port)
            return await new.read(12), await reader.read(12)

        self.assertEqual((b'HTTP/1.1 503', b'HTTP/1.1 200'), self.run_with_listener(use))


class DisconnectTest(ListenerTest):
    def test_end_of_stream_from_the_caller_cancels_its_request(self):
        # Most callers that disconnect only send an end of stream. Their requests must be
        # cancelled at once, down the whole chain, so that they occupy no slot.
        async def use(listener, reader, writer):
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\nsleep: 5\r\n\r\n')
            await asyncio.sleep(0.1)
            writer.write_eof()
            await asyncio.sleep(0.1)
            return self.cancelled

        self.assertEqual(1, self.run_with_listener(use))


class FlowControlTest(ListenerTest):
    def test_at_most_one_response_is_buffered_for_a_caller_that_does_not_read(self):
        # A caller sends a thousand requests and reads no response. Each request is handled only
        # after the previous response has been sent, so that responses cannot accumulate in
        # memory. The connection ends after the idle timeout.
        self.response = HttpResponse(200, [], b'x' * 100_000)

        async def use(listener, reader, writer):
            reader._transport.pause_reading()
            (conn,) = listener.connections
            for _ in range(1000):
                writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            await asyncio.sleep(30)
            unsent = conn.transport.get_write_buffer_size()
            held = len(conn.unread)
            await asyncio.sleep(60)
            return unsent, held, len(self.handled), len(listener.connections)

        unsent, held, handled, connections_left = self.run_with_listener(use)
        self.assertLess(unsent, 101_000)
        self.assertLess(held, 100_000)
        self.assertLess(handled, 5)
        self.assertEqual(0, connections_left)

    def test_pipelined_requests_are_all_answered(self):
        async def use(listener, reader, writer):
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\nsleep: 0.01\r\n\r\n' * 500)
            responses = b''
            while responses.count(b'HTTP/1.1 200') < 500:
                responses += await reader.read(65536)
            return len(self.handled)

        self.assertEqual(500, self.run_with_listener(use))
