import asyncio

from dunlinsaddle.calls.http import HttpLimits, HttpResponse, forwarded_headers
from dunlinsaddle.calls.listener import HttpListener
from dunlinsaddle.settings import Address
from tests.clock import PausedClockTest

FACE = Address('127.0.0.1', 80)
LIMITS = HttpLimits(max_header_bytes=4096, max_body_bytes=1000, header_timeout=10, idle_timeout=75)


class FaceTest(PausedClockTest):
    def setUp(self):
        super().setUp()
        self.handled = []
        self.cancelled = 0
        self.response = HttpResponse(200, [], b'whole')

    async def handle(self, req):
        self.handled.append(req)
        try:
            await asyncio.sleep(float(req.header(b'sleep') or 0))
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return self.response

    def with_face(self, use):
        async def scenario():
            face = HttpListener(self.handle, LIMITS)
            await face.listen(FACE)
            reader, writer = await asyncio.open_connection(FACE.host, FACE.port)
            try:
                return await use(face, reader, writer)
            finally:
                writer.close()
                face.close()
                await asyncio.sleep(0.1)

        return self.run_paused(scenario())

    def answer_to(self, data, *, until_end=True):
        async def use(face, reader, writer):
            writer.write(data)
            if until_end:
                return await asyncio.wait_for(reader.read(), 200)
            await asyncio.sleep(1)
            return await reader.read(65536)

        return self.with_face(use)


class AnswerTest(FaceTest):
    def test_head_is_answered_without_a_body(self):
        answer = self.answer_to(b'HEAD / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')
        self.assertTrue(answer.startswith(b'HTTP/1.1 200'))
        self.assertTrue(answer.endswith(b'\r\n\r\n'))

    def test_no_content_has_no_length(self):
        # Two answers on one connection: a length or a body in the first would be read as
        # part of the second.
        self.response = HttpResponse(204, [], b'ignored')
        answer = self.answer_to(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n' * 2, until_end=False)
        self.assertEqual(b'HTTP/1.1 204 \r\n\r\n' * 2, answer)

    def test_an_answer_that_is_no_http_becomes_a_fault(self):
        self.response = HttpResponse(200, [(b'a b', b'\n')], b'')
        answer = self.answer_to(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        self.assertTrue(answer.startswith(b'HTTP/1.1 500'), answer)

    def test_headers_that_connection_names_do_not_travel_on(self):
        headers = [(b'connection', b'close, X-Hop'), (b'x-hop', b'1'), (b'x-end', b'2')]
        self.assertEqual([(b'x-end', b'2')], forwarded_headers(headers))


class BadRequestTest(FaceTest):
    def test_two_framings_are_refused(self):
        # A party in front that believes the other header would cut the stream elsewhere.
        data = (
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n'
        )
        answer = self.answer_to(data)
        self.assertTrue(answer.startswith(b'HTTP/1.1 400'), answer)
        self.assertEqual([], self.handled)

    def test_connect_is_refused(self):
        answer = self.answer_to(b'CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n')
        self.assertTrue(answer.startswith(b'HTTP/1.1 405'), answer)

    def test_a_trickling_sender_is_ended_also_on_a_kept_connection(self):
        # After one whole request the sender gives a byte a second. The time for a request
        # runs from its first byte, so it ends after ten seconds, not after 75 of idleness.
        async def use(face, reader, writer):
            loop = asyncio.get_running_loop()
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            await asyncio.sleep(5)
            began = loop.time()
            for byte in b'GET /' + b'x' * 55:
                writer.write(bytes([byte]))
                await asyncio.sleep(1)
                if reader.at_eof() or not face.connections:
                    break
            return loop.time() - began, await reader.read()

        elapsed, answer = self.with_face(use)
        self.assertLess(elapsed, 12)
        self.assertIn(b'HTTP/1.1 408', answer)


class CallerGoneTest(FaceTest):
    def test_a_caller_that_ends_its_side_has_gone(self):
        # Most callers that go away send an end of stream and no more. Their work stops
        # at once, down the whole chain, instead of taking a slot for nobody.
        async def use(face, reader, writer):
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\nsleep: 5\r\n\r\n')
            await asyncio.sleep(0.1)
            writer.write_eof()
            await asyncio.sleep(0.1)
            return self.cancelled

        self.assertEqual(1, self.with_face(use))


class FlowControlTest(FaceTest):
    def test_a_caller_that_reads_nothing_holds_one_answer(self):
        # A caller sends a thousand requests and reads no answer. The next request is run
        # only once the last answer is sent, so that answers cannot pile up; after the idle
        # time the connection ends.
        self.response = HttpResponse(200, [], b'x' * 100_000)

        async def use(face, reader, writer):
            reader._transport.pause_reading()
            (conn,) = face.connections
            for _ in range(1000):
                writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            await asyncio.sleep(30)
            unsent = conn.transport.get_write_buffer_size()
            held = len(conn.held)
            await asyncio.sleep(60)
            return unsent, held, len(self.handled), len(face.connections)

        unsent, held, handled, left = self.with_face(use)
        self.assertLess(unsent, 101_000)
        self.assertLess(held, 100_000)
        self.assertLess(handled, 5)
        self.assertEqual(0, left)

    def test_requests_sent_ahead_are_all_answered(self):
        async def use(face, reader, writer):
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\nsleep: 0.01\r\n\r\n' * 500)
            answers = b''
            while answers.count(b'HTTP/1.1 200') < 500:
                answers += await reader.read(65536)
            return len(self.handled)

        self.assertEqual(500, self.with_face(use))


class ClosingTest(FaceTest):
    def test_a_request_that_meets_the_closing_is_answered(self):
        # The node starts to leave while a caller keeps a connection. A request that is
        # under way gets its answer, which says that the connection ends.
        async def use(face, reader, writer):
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            await asyncio.sleep(1)
            face.start_closing()
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            return await reader.read()

        answer = self.with_face(use)
        self.assertEqual(2, answer.count(b'HTTP/1.1 200'))
        self.assertEqual(1, answer.count(b'onnection: close'))

    def test_waiting_for_the_end_includes_the_sending(self):
        # The caller reads slowly. The answer is whole in this process but not yet with the
        # caller: closing now would cut it.
        self.response = HttpResponse(200, [], b'x' * 400_000)

        async def use(face, reader, writer):
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            face.start_closing()
            await asyncio.sleep(0.1)
            waiting = asyncio.get_running_loop().create_task(face.wait_idle())
            await asyncio.sleep(1)
            early = waiting.done()
            answer = await reader.read()
            await waiting
            return early, len(answer)

        early, size = self.with_face(use)
        self.assertFalse(early)
        self.assertGreater(size, 400_000)


class SentAheadTest(FaceTest):
    def test_repeatable_requests_run_together_and_are_answered_in_order(self):
        async def handle(req):
            self.handled.append(req.path)
            await asyncio.sleep(float(req.header(b'sleep')))
            return HttpResponse(200, [], req.path.encode())

        async def scenario():
            face = HttpListener(handle, LIMITS, pipeline=8)
            await face.listen(FACE)
            reader, writer = await asyncio.open_connection(FACE.host, FACE.port)
            loop = asyncio.get_running_loop()
            began = loop.time()
            for path, seconds in ((b'/1', b'3'), (b'/2', b'1'), (b'/3', b'2')):
                writer.write(b'GET %s HTTP/1.1\r\nhost: a\r\nsleep: %s\r\n\r\n' % (path, seconds))
            await asyncio.sleep(3.5)
            answers = await reader.read(65536)
            writer.write(b'POST /4 HTTP/1.1\r\nhost: a\r\nsleep: 1\r\ncontent-length: 0\r\n\r\n')
            writer.write(b'GET /5 HTTP/1.1\r\nhost: a\r\nsleep: 1\r\n\r\n')
            await asyncio.sleep(0.5)
            begun = list(self.handled)
            writer.close()
            face.close()
            return answers, begun, loop.time() - began

        answers, begun, _ = self.run_paused(scenario())
        places = [answers.index(path) for path in (b'/1', b'/2', b'/3')]
        self.assertEqual(sorted(places), places)
        # What changes something runs alone: the one behind it has not begun.
        self.assertEqual(['/1', '/2', '/3', '/4'], begun)

    def test_closing_waits_for_all_that_was_begun(self):
        # The face begins to close while three requests of one connection run. Each of them
        # may have been passed on, so each is answered; the last answer tells of the closing.
        async def scenario():
            face = HttpListener(self.handle, LIMITS, pipeline=8)
            await face.listen(FACE)
            reader, writer = await asyncio.open_connection(FACE.host, FACE.port)
            for seconds in (b'1', b'2', b'3'):
                writer.write(b'GET / HTTP/1.1\r\nhost: a\r\nsleep: %s\r\n\r\n' % seconds)
            await asyncio.sleep(0.5)
            face.start_closing()
            answers = await asyncio.wait_for(reader.read(), 10)
            writer.close()
            face.close()
            return answers

        answers = self.run_paused(scenario())
        self.assertEqual(3, answers.count(b'HTTP/1.1 200'))
        self.assertEqual(1, answers.count(b'connection: close'))
        self.assertEqual(0, self.cancelled)
