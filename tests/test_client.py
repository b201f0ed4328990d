import asyncio

from dunlinsaddle.calls.client import HttpClient
from dunlinsaddle.calls.connection import Answered
from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.messages import Lost, NotSent
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.platform.client import CALL_TIMEOUT, HttpObjectStore
from dunlinsaddle.settings import Address
from tests.clock import PausedClockTest
from tests.fakes.target import ScriptedTarget, ok

TARGET = Address('127.0.0.1', 80)


def get(path='/'):
    return HttpRequest('GET', path, [], b'', '')


def path_of(data):
    return data.split(b' ')[1]


class ClientTest(PausedClockTest):
    def with_target(self, script, use):
        async def scenario():
            target = await ScriptedTarget(script).listen(TARGET)
            client = HttpClient(max_body_bytes=1000)
            try:
                return await use(client, target)
            finally:
                client.close()

        return self.run_paused(scenario())

    def exchanges_for(self, answer, *, end=False, method='GET', count=1):
        async def script(conversation, data):
            conversation.write(answer)
            if end:
                conversation.end()

        async def use(client, target):
            req = HttpRequest(method, '/', [], b'', '')
            return [await client.send(TARGET, req, 5) for _ in range(count)]

        return self.with_target(script, use)

    def assert_lost(self, kind, exchange):
        self.assertIsInstance(exchange, Lost)
        self.assertEqual(kind, exchange.kind)


class WholeAnswerTest(ClientTest):
    def test_a_doubled_answer_is_not_read_as_the_next_one(self):
        # The target writes its first answer twice in one piece. The second caller, on the
        # same kept connection, must not be given the first caller's answer: the bytes
        # behind a whole answer end the connection.
        async def script(conversation, data):
            times = 2 if path_of(data) == b'/a' else 1
            conversation.write(ok(path_of(data)) * times)

        async def use(client, target):
            first = await client.send(TARGET, get('/a'), 5)
            second = await client.send(TARGET, get('/b'), 5)
            return first, second

        first, second = self.with_target(script, use)
        self.assertEqual(b'/a', first.response.body)
        self.assertEqual(b'/b', second.response.body)

    def test_a_byte_on_an_idle_connection_ends_it(self):
        # The target sends half an answer nobody asked for, after a whole one. The next
        # caller must not see it in front of its own.
        async def script(conversation, data):
            conversation.write(ok(path_of(data)))
            if path_of(data) == b'/a':
                loop = asyncio.get_running_loop()
                loop.call_later(0.01, conversation.write, ok(b'stray'))

        async def use(client, target):
            await client.send(TARGET, get('/a'), 5)
            await asyncio.sleep(0.05)
            return await client.send(TARGET, get('/b'), 5), target.connections

        exchange, connections = self.with_target(script, use)
        self.assertEqual(b'/b', exchange.response.body)
        self.assertEqual(2, connections)

    def test_a_late_answer_belongs_to_nobody(self):
        # The first call's deadline passes; its answer comes later, while the second call
        # waits. The second caller gets its own.
        async def script(conversation, data):
            delay = 2 if path_of(data) == b'/slow' else 1.5
            await asyncio.sleep(delay)
            conversation.write(ok(path_of(data)))

        async def use(client, target):
            first = await client.send(TARGET, get('/slow'), 1)
            return first, await client.send(TARGET, get('/b'), 5)

        first, second = self.with_target(script, use)
        self.assert_lost(ErrorKind.DEADLINE_EXCEEDED, first)
        self.assertEqual(b'/b', second.response.body)

    def test_cut_answers_are_lost(self):
        # Each answer ends before it is whole; none may be passed on, not even in part.
        cut = [
            b'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf',
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
            b'HTTP/1.1 200 OK\r\ncontent-le',
        ]
        for answer in cut:
            (exchange,) = self.exchanges_for(answer, end=True)
            self.assert_lost(ErrorKind.INCOMPLETE_ANSWER, exchange)

    def test_a_connection_that_ends_without_a_byte_lost_the_target(self):
        (exchange,) = self.exchanges_for(b'', end=True)
        self.assert_lost(ErrorKind.TARGET_LOST, exchange)

    def test_an_answer_that_ends_with_its_connection_is_not_trusted(self):
        # Neither a length nor chunks: whole and cut look the same, so it is never passed on.
        (exchange,) = self.exchanges_for(b'HTTP/1.0 200 OK\r\n\r\nperhaps whole', end=True)
        self.assert_lost(ErrorKind.OUTCOME_UNKNOWN, exchange)

    def test_answers_over_the_limit_are_lost(self):
        declared = b'HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n'
        chunked = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7d0\r\n' + b'x' * 2000
        for answer in (declared, chunked):
            (exchange,) = self.exchanges_for(answer)
            self.assert_lost(ErrorKind.OUTCOME_UNKNOWN, exchange)

    def test_answers_without_a_body_leave_the_connection_whole(self):
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n'
        for method, answer in (
            ('HEAD', head),
            ('GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
            ('GET', b'HTTP/1.1 304 Not Modified\r\ncontent-length: 7\r\n\r\n'),
        ):
            for exchange in self.exchanges_for(answer, method=method, count=2):
                self.assertIsInstance(exchange, Answered)
                self.assertEqual(b'', exchange.response.body)

    def test_interim_answers_are_passed_over(self):
        interim = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'
        for exchange in self.exchanges_for(interim + ok(b'final'), count=2):
            self.assertEqual(b'final', exchange.response.body)

    def test_chunked_answers_are_put_together(self):
        answer = (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
        )
        for exchange in self.exchanges_for(answer, count=2):
            self.assertEqual(b'abcde', exchange.response.body)

    def test_a_request_that_is_no_http_was_not_sent(self):
        async def script(conversation, data):
            conversation.write(ok(b''))

        async def use(client, target):
            bad = HttpRequest('GET', '/', [(b'a b', b'\n')], b'', '')
            return await client.send(TARGET, bad, 5), target.requests

        exchange, requests = self.with_target(script, use)
        self.assertIsInstance(exchange, NotSent)
        self.assertEqual([], requests)

    def test_nothing_is_sent_after_the_deadline(self):
        # Written and given up in the same moment, the call would be work for nobody, and
        # its outcome unknown.
        async def script(conversation, data):
            conversation.write(ok(b''))

        async def use(client, target):
            await client.send(TARGET, get('/a'), 5)
            exchange = await client.send(TARGET, get('/b'), 0)
            await asyncio.sleep(0.1)
            return exchange, target.requests

        exchange, requests = self.with_target(script, use)
        self.assertIsInstance(exchange, NotSent)
        self.assertEqual(1, len(requests))


class BelongingTest(ClientTest):
    def test_a_late_answer_before_the_right_one_is_passed_over(self):
        # The target answers an earlier request once more, just as ours is sent: the caller
        # gets the answer with its own id.
        async def script(conversation, data):
            conversation.write(b'HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\n\r\nold')
            await asyncio.sleep(0.01)
            conversation.write(b'HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 3\r\n\r\nnew')

        async def use(client, target):
            req = HttpRequest('GET', '/', [], b'', '')
            return await client.send(
                TARGET, req, 5, matches_request=lambda headers: (b'id', b'2') in headers
            )

        self.assertEqual(b'new', self.with_target(script, use).response.body)

    def test_an_open_ended_answer_is_whole_only_where_that_is_promised(self):
        async def script(conversation, data):
            conversation.write(b'HTTP/1.1 200 OK\r\n\r\nwhole')
            await asyncio.sleep(0.1)
            conversation.end()

        async def use(client, target):
            req = HttpRequest('GET', '/', [], b'', '')
            trusting = HttpClient(allow_close_delimited=True)
            return await client.send(TARGET, req, 5), await trusting.send(TARGET, req, 5)

        strict, trusting = self.with_target(script, use)
        self.assert_lost(ErrorKind.OUTCOME_UNKNOWN, strict)
        self.assertEqual(b'whole', trusting.response.body)


class SilentConnectionTest(ClientTest):
    async def forgetful(self, conversation, data):
        """Answer once on the first connection, then swallow; other connections work."""
        self.seen = getattr(self, 'seen', 0) + 1
        if conversation.number > 1 or self.seen == 1:
            conversation.write(ok(b'%d' % conversation.number))

    def test_a_connection_idle_for_long_is_not_used_again(self):
        # Something between forgets idle connections: writes succeed, nothing answers. The
        # caller of the next call sees no delay, for its call goes over a new connection.
        async def use(client, target):
            await client.send(TARGET, get(), 5)
            await asyncio.sleep(3)
            began = asyncio.get_running_loop().time()
            exchange = await client.send(TARGET, get(), 5)
            return exchange, asyncio.get_running_loop().time() - began

        exchange, elapsed = self.with_target(self.forgetful, use)
        self.assertEqual(b'2', exchange.response.body)
        self.assertLess(elapsed, 0.1)

    def test_what_must_not_run_twice_wants_a_fresher_connection(self):
        # The connection is forgotten half a second after its last answer. A request that
        # could be sent again may take the risk; one that could not goes over a new one.
        async def use(client, target):
            await client.send(TARGET, get(), 5)
            await asyncio.sleep(0.5)
            return await client.send(TARGET, HttpRequest('POST', '/', [], b'', ''), 5)

        exchange = self.with_target(self.forgetful, use)
        self.assertEqual(b'2', exchange.response.body)

    def overdue(self, script, *, allowed=True):
        """Send one request that is overdue while later ones are answered."""
        asked = []

        def allow_resend():
            asked.append(allowed)
            return allowed

        async def use(client, target):
            loop = asyncio.get_running_loop()
            await client.send(TARGET, get(), 10)
            began = loop.time()
            overdue = loop.create_task(
                client.send(TARGET, get('/x'), 10, allow_resend=allow_resend)
            )
            await asyncio.sleep(0.2)
            await client.send(TARGET, get(), 10, allow_resend=allow_resend)
            return await overdue, loop.time() - began, len(asked)

        return self.with_target(script, use)

    def test_an_overdue_lookup_is_sent_once_more_over_a_new_connection(self):
        # A lookup is swallowed by a kept connection; a later one is answered over a new
        # one. The first is answered after a second, not lost at its deadline of ten.
        exchange, elapsed, asked = self.overdue(self.forgetful)
        self.assertIsInstance(exchange, Answered)
        self.assertLess(elapsed, 1.1)
        self.assertEqual(1, asked)

    def test_without_allowance_an_overdue_lookup_waits(self):
        exchange, _, asked = self.overdue(self.forgetful, allowed=False)
        self.assert_lost(ErrorKind.DEADLINE_EXCEEDED, exchange)
        self.assertEqual(1, asked)

    def test_a_lookup_that_was_only_slow_is_answered_by_the_first(self):
        # The lookup takes three seconds, each time it runs. It is sent once more after one
        # second, and the answer to the first sending counts: nothing is given up for it.
        async def script(conversation, data):
            await asyncio.sleep(3 if path_of(data) == b'/x' else 0)
            conversation.write(ok(b'%d' % conversation.number))

        exchange, elapsed, _ = self.overdue(script)
        self.assertEqual(b'1', exchange.response.body)
        self.assertAlmostEqual(3.0, elapsed, delta=0.05)

    def test_a_slow_request_is_left_alone_when_nothing_else_is_answered(self):
        # All requests of this target take two seconds: none is taken for lost.
        async def script(conversation, data):
            await asyncio.sleep(2)
            conversation.write(ok(b''))

        async def use(client, target):
            await client.send(TARGET, get(), 10)
            sends = (client.send(TARGET, get(), 10, allow_resend=lambda: True) for _ in range(3))
            return await asyncio.gather(*sends), target.requests

        exchanges, requests = self.with_target(script, use)
        self.assertEqual(4, len(requests))
        for exchange in exchanges:
            self.assertIsInstance(exchange, Answered)

    def test_a_request_that_must_run_once_is_left_alone_when_overdue(self):
        # A release takes three seconds while lookups take none. Giving it up would make a
        # known outcome unknown.
        async def script(conversation, data):
            if path_of(data) == b'/release':
                await asyncio.sleep(3)
            conversation.write(ok(b''))

        async def use(client, target):
            loop = asyncio.get_running_loop()
            await client.send(TARGET, get(), 10)
            release = loop.create_task(client.send(TARGET, get('/release'), 10))
            for _ in range(20):
                await asyncio.sleep(0.1)
                await client.send(TARGET, get(), 10, allow_resend=lambda: True)
            return await release

        self.assertIsInstance(self.with_target(script, use), Answered)

    def test_connections_that_will_not_be_used_again_are_closed(self):
        # Each must-run-once request takes a new connection. Kept for ever, the old ones
        # would fill the places of the target, which has a few hundred.
        async def script(conversation, data):
            conversation.write(ok(b''))

        async def use(client, target):
            for _ in range(20):
                await client.send(TARGET, HttpRequest('POST', '/', [], b'', ''), 5)
                await asyncio.sleep(0.5)
            return target.connections - target.ended

        self.assertLessEqual(self.with_target(script, use), 5)

    def test_cancelling_closes_the_connection(self):
        async def script(conversation, data):
            await asyncio.sleep(0)

        async def use(client, target):
            task = asyncio.get_running_loop().create_task(client.send(TARGET, get(), 10))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait_for(target.closed.wait(), 0.1)
            return True

        self.assertTrue(self.with_target(script, use))


class PlatformSilentTest(ClientTest):
    def test_one_call_finds_out_that_the_platform_forgot_the_connections(self):
        # The platform's kept connections go silent while in use; new ones work. One call
        # fails after its time, and takes the other kept connections with it: the
        # next call succeeds at once over a new one.
        async def script(conversation, data):
            self.seen = getattr(self, 'seen', 0) + 1
            if self.seen <= 3 or conversation.number > 3:
                await asyncio.sleep(0.01)
                conversation.write(ok(b'{"items": [], "atRevision": 1}'))

        async def use(client, target):
            store = HttpObjectStore(TARGET, client)
            loop = asyncio.get_running_loop()
            await asyncio.gather(*(store.list('records') for _ in range(3)))
            began = loop.time()
            first = await store.list('records')
            lost_after = loop.time() - began
            second = await store.list('records')
            return first, lost_after, second, loop.time() - began - lost_after

        first, lost_after, second, elapsed = self.with_target(script, use)
        self.assertTrue(first.is_err())
        self.assertAlmostEqual(CALL_TIMEOUT, lost_after, delta=0.05)
        self.assertTrue(second.is_ok())
        self.assertLess(elapsed, 0.1)
