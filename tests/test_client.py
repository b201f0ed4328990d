import asyncio
from unittest import mock

from testtools import TestCase

from dunlinsaddle.calls.http import HttpRequest
from dunlinsaddle.calls.messages import Lost, NotSent
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered, Match
from dunlinsaddle.calls.outbound.sent_requests import MAX_REMEMBERED_REQUESTS, SentRequests
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.platform.client import CALL_TIMEOUT_SECONDS, HttpObjectStore
from dunlinsaddle.settings import Address
from tests.clock import PausedClockTest
from tests.fakes.target import ScriptedTarget, ok_response

TARGET = Address('127.0.0.1', 80)


def get_request(path='/'):
    return HttpRequest('GET', path, [], b'', '')


def path_of(data):
    return data.split(b' ')[1]


class ClientTest(PausedClockTest):
    def run_with_target(self, script, use):
        async def scenario():
            target = await ScriptedTarget(script).listen(TARGET)
            client = HttpClient(max_body_bytes=1000)
            try:
                return await use(client, target)
            finally:
                client.close()

        return self.run_paused(scenario())

    def results_for(self, response, *, close=False, method='GET', count=1):
        async def script(connection, data):
            connection.write(response)
            if close:
                connection.close()

        async def use(client, target):
            req = HttpRequest(method, '/', [], b'', '')
            return [await client.send(TARGET, req, 5) for _ in range(count)]

        return self.run_with_target(script, use)

    def assert_lost(self, kind, result):
        self.assertIsInstance(result, Lost)
        self.assertEqual(kind, result.kind)


class CompleteResponseTest(ClientTest):
    def test_a_duplicate_response_is_not_read_as_the_next_one(self):
        # The target writes its first response twice in one piece. The next request must not
        # get that response: bytes after a complete response end the connection.
        async def script(connection, data):
            times = 2 if path_of(data) == b'/a' else 1
            connection.write(ok_response(path_of(data)) * times)

        async def use(client, target):
            first = await client.send(TARGET, get_request('/a'), 5)
            second = await client.send(TARGET, get_request('/b'), 5)
            return first, second

        first, second = self.run_with_target(script, use)
        self.assertEqual(b'/a', first.response.body)
        self.assertEqual(b'/b', second.response.body)

    def test_unsolicited_data_ends_an_idle_connection(self):
        # The target sends an unsolicited response after a complete one. The next request must
        # not get it as its response.
        async def script(connection, data):
            connection.write(ok_response(path_of(data)))
            if path_of(data) == b'/a':
                loop = asyncio.get_running_loop()
                loop.call_later(0.01, connection.write, ok_response(b'stray'))

        async def use(client, target):
            await client.send(TARGET, get_request('/a'), 5)
            await asyncio.sleep(0.05)
            return await client.send(TARGET, get_request('/b'), 5), target.connection_count

        result, connections = self.run_with_target(script, use)
        self.assertEqual(b'/b', result.response.body)
        self.assertEqual(2, connections)

    def test_a_response_after_the_deadline_is_ignored(self):
        # The response to the first request arrives after its deadline, while the second
        # request waits. The second request gets its own response.
        async def script(connection, data):
            delay = 2 if path_of(data) == b'/slow' else 1.5
            await asyncio.sleep(delay)
            connection.write(ok_response(path_of(data)))

        async def use(client, target):
            first = await client.send(TARGET, get_request('/slow'), 1)
            return first, await client.send(TARGET, get_request('/b'), 5)

        first, second = self.run_with_target(script, use)
        self.assert_lost(ErrorKind.DEADLINE_EXCEEDED, first)
        self.assertEqual(b'/b', second.response.body)

    def test_truncated_responses_are_lost(self):
        # No part of an incomplete response may be passed on.
        truncated = [
            b'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf',
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n',
            b'HTTP/1.1 200 OK\r\ncontent-le',
        ]
        for response in truncated:
            (result,) = self.results_for(response, close=True)
            self.assert_lost(ErrorKind.INCOMPLETE_ANSWER, result)

    def test_a_connection_that_ends_without_a_byte_means_the_target_is_lost(self):
        (result,) = self.results_for(b'', close=True)
        self.assert_lost(ErrorKind.TARGET_LOST, result)

    def test_a_close_delimited_response_is_not_trusted(self):
        # It has neither a length nor chunks, so a truncated one looks the same as a complete one.
        (result,) = self.results_for(b'HTTP/1.0 200 OK\r\n\r\nperhaps whole', close=True)
        self.assert_lost(ErrorKind.OUTCOME_UNKNOWN, result)

    def test_responses_over_the_size_limit_are_lost(self):
        declared = b'HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n'
        chunked = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7d0\r\n' + b'x' * 2000
        for response in (declared, chunked):
            (result,) = self.results_for(response)
            self.assert_lost(ErrorKind.OUTCOME_UNKNOWN, result)

    def test_responses_without_a_body_keep_the_connection_usable(self):
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n'
        for method, response in (
            ('HEAD', head),
            ('GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
            ('GET', b'HTTP/1.1 304 Not Modified\r\ncontent-length: 7\r\n\r\n'),
        ):
            for result in self.results_for(response, method=method, count=2):
                self.assertIsInstance(result, Answered)
                self.assertEqual(b'', result.response.body)

    # Callers waited until their deadlines for the answer behind one that is none.
    def test_statuses_that_are_none_and_interim_responses_with_a_body_are_no_answers(self):
        for status, framing in (
            (b'000', b'content-length: 1\r\n\r\nx'),
            (b'000', b'\r\n'),
            (b'099', b'content-length: 0\r\n\r\n'),
            (b'600', b'content-length: 1\r\n\r\nx'),
            (b'999', b'content-length: 0\r\n\r\n'),
            (b'199', b'content-length: 1\r\n\r\nx'),
            (b'103', b'transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n'),
            (b'101', b'connection: upgrade\r\nupgrade: x\r\n\r\n'),
        ):
            (result,) = self.results_for(b'HTTP/1.1 ' + status + b' X\r\n' + framing)
            self.assert_lost(ErrorKind.INCOMPLETE_ANSWER, result)

    def test_interim_responses_are_ignored(self):
        interim = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'
        for result in self.results_for(interim + ok_response(b'final'), count=2):
            self.assertEqual(b'final', result.response.body)

    def test_chunked_responses_are_joined(self):
        response = (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
        )
        for result in self.results_for(response, count=2):
            self.assertEqual(b'abcde', result.response.body)

    def test_connection_that_cannot_be_opened_here_says_nothing_of_the_target(self):
        async def scenario():
            client = HttpClient()
            loop = asyncio.get_running_loop()
            with mock.patch.object(loop, 'create_connection', side_effect=OSError(24, 'EMFILE')):
                lacking = await client.send(TARGET, get_request('/'), 1)
            return lacking, await client.send(TARGET, get_request('/'), 1)

        lacking, refused = self.run_paused(scenario())
        self.assertEqual((True, False), (lacking.is_local_exhaustion, refused.is_local_exhaustion))

    def test_an_invalid_request_is_not_sent(self):
        async def script(connection, data):
            connection.write(ok_response(b''))

        async def use(client, target):
            invalid = HttpRequest('GET', '/', [(b'a b', b'\n')], b'', '')
            return await client.send(TARGET, invalid, 5), target.requests

        result, requests = self.run_with_target(script, use)
        self.assertIsInstance(result, NotSent)
        self.assertEqual([], requests)

    def test_nothing_is_sent_after_the_deadline(self):
        # Otherwise the target would work for a request that has already ended, with an
        # unknown outcome.
        async def script(connection, data):
            connection.write(ok_response(b''))

        async def use(client, target):
            await client.send(TARGET, get_request('/a'), 5)
            result = await client.send(TARGET, get_request('/b'), 0)
            await asyncio.sleep(0.1)
            return result, target.requests

        result, requests = self.run_with_target(script, use)
        self.assertIsInstance(result, NotSent)
        self.assertEqual(1, len(requests))


class EarlyResponseTest(PausedClockTest):
    def test_a_response_before_the_body_is_in_counts_and_ends_the_connection(self):
        # The target answers an upload by its head and reads no more. If the connection were used
        # again, the next upload would never be read, and could not be repeated.
        async def respond_early(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(ok_response(b'early'))
            await asyncio.sleep(10)

        async def scenario():
            server = await asyncio.start_server(respond_early, TARGET.host, TARGET.port)
            client = HttpClient()
            uploads = [HttpRequest('POST', '/', [], b'x' * size, '') for size in (360_000, 10)]
            results = [await client.send(TARGET, upload, 5) for upload in uploads]
            server.close()
            client.close()
            return [getattr(r, 'response', r) for r in results]

        first, second = self.run_paused(scenario())
        self.assertEqual((200, b'early', b'early'), (first.status, first.body, second.body))


class ResponseMatchingTest(ClientTest):
    def test_a_response_to_an_earlier_request_is_skipped(self):
        # The target repeats its response to an earlier request just as ours is sent. The
        # response with the matching id is returned.
        async def script(connection, data):
            connection.write(b'HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 3\r\n\r\nold')
            await asyncio.sleep(0.01)
            connection.write(b'HTTP/1.1 200 OK\r\nid: 2\r\ncontent-length: 3\r\n\r\nnew')

        async def use(client, target):
            def match(headers):
                return Match.OWN if (b'id', b'2') in headers else Match.OTHER

            req = HttpRequest('GET', '/', [], b'', '')
            return await client.send(TARGET, req, 5, matches_request=match)

        self.assertEqual(b'new', self.run_with_target(script, use).response.body)

    # A copy of the response to one send of a request was taken for the response to the next one.
    def test_a_connection_carries_a_request_once(self):
        async def script(connection, data):
            connection.write(ok_response(b'%d' % connection.number))

        async def use(client, target):
            async def send(request_id):
                result = await client.send(TARGET, get_request(), 5, request_id=request_id)
                return int(result.response.body)

            numbers = [await send(request_id) for request_id in ('a', 'b', 'a', 'b', 'a', 'c')]
            await asyncio.sleep(0.2)
            return [*numbers, await send('')]

        # The second send of "a" opens a connection, which "b" may then use, the third one another.
        self.assertEqual([1, 1, 2, 2, 3, 3, 3], self.run_with_target(script, use))

    def test_a_close_delimited_response_is_accepted_only_where_allowed(self):
        async def script(connection, data):
            connection.write(b'HTTP/1.1 200 OK\r\n\r\nwhole')
            await asyncio.sleep(0.1)
            connection.close()

        async def use(client, target):
            req = HttpRequest('GET', '/', [], b'', '')
            permissive = HttpClient(allow_close_delimited=True)
            return await client.send(TARGET, req, 5), await permissive.send(TARGET, req, 5)

        strict, permissive = self.run_with_target(script, use)
        self.assert_lost(ErrorKind.OUTCOME_UNKNOWN, strict)
        self.assertEqual(b'whole', permissive.response.body)


class SentRequestsTest(TestCase):
    def test_requests_are_remembered_until_their_deadline(self):
        sent = SentRequests()
        sent.add(0.0, 'a', 5.0)
        sent.add(1.0, 'b', 2.0)
        self.assertFalse(sent.allows(4.9, 'a'))
        self.assertTrue(sent.allows(5.0, 'a'))
        self.assertEqual(0, len(sent))

    # A hundred requests a second, each with a deadline of a day: the memory would grow for good.
    def test_a_connection_that_can_remember_no_more_carries_no_more(self):
        sent = SentRequests()
        carried = 0
        while carried < 10_000 and sent.allows(carried / 100, str(carried)):
            sent.add(carried / 100, str(carried), 86_400.0)
            carried += 1
        self.assertEqual(MAX_REMEMBERED_REQUESTS, carried)
        self.assertFalse(sent.allows(1e4, 'other'))
        self.assertTrue(sent.allows(86_400.0, 'other'))


class SilentConnectionTest(ClientTest):
    async def drop_first_connection(self, connection, data):
        """Answer one request on the first connection, then none; other connections work."""
        self.request_count = getattr(self, 'request_count', 0) + 1
        if connection.number > 1 or self.request_count == 1:
            connection.write(ok_response(b'%d' % connection.number))

    def test_a_connection_that_was_idle_too_long_is_not_reused(self):
        # A middlebox silently drops idle connections: writes succeed but nothing is answered.
        # The next request is not delayed because it uses a new connection.
        async def use(client, target):
            await client.send(TARGET, get_request(), 5)
            await asyncio.sleep(3)
            started_at = asyncio.get_running_loop().time()
            result = await client.send(TARGET, get_request(), 5)
            return result, asyncio.get_running_loop().time() - started_at

        result, elapsed = self.run_with_target(self.drop_first_connection, use)
        self.assertEqual(b'2', result.response.body)
        self.assertLess(elapsed, 0.1)

    def test_a_non_idempotent_request_needs_a_more_recent_connection(self):
        # The connection is silently dropped within half a second after its last response. Only
        # a request that could be sent again may be sent on it.
        async def use(client, target):
            await client.send(TARGET, get_request(), 5)
            await asyncio.sleep(0.5)
            return await client.send(TARGET, HttpRequest('POST', '/', [], b'', ''), 5)

        result = self.run_with_target(self.drop_first_connection, use)
        self.assertEqual(b'2', result.response.body)

    def run_overdue(self, script, *, allowed=True):
        """Send a request that becomes overdue while a later one is answered."""
        resend_checks = []

        def allow_resend():
            resend_checks.append(allowed)
            return allowed

        async def use(client, target):
            loop = asyncio.get_running_loop()
            await client.send(TARGET, get_request(), 10)
            started_at = loop.time()
            overdue = loop.create_task(
                client.send(TARGET, get_request('/x'), 10, allow_resend=allow_resend)
            )
            await asyncio.sleep(0.2)
            await client.send(TARGET, get_request(), 10, allow_resend=allow_resend)
            return await overdue, loop.time() - started_at, len(resend_checks)

        return self.run_with_target(script, use)

    def test_an_overdue_request_is_resent_on_a_new_connection(self):
        # A request is lost on a reused connection, and a later one is answered on a new one.
        # The first is answered after one second instead of failing at its deadline of ten.
        result, elapsed, checks = self.run_overdue(self.drop_first_connection)
        self.assertIsInstance(result, Answered)
        self.assertLess(elapsed, 1.1)
        self.assertEqual(1, checks)

    def test_an_overdue_request_waits_if_a_resend_is_not_allowed(self):
        result, _, checks = self.run_overdue(self.drop_first_connection, allowed=False)
        self.assert_lost(ErrorKind.DEADLINE_EXCEEDED, result)
        self.assertEqual(1, checks)

    def test_a_slow_request_is_answered_on_its_first_connection(self):
        # The request takes three seconds each time. It is resent after one second, but the
        # response on the first connection arrives first and counts.
        async def script(connection, data):
            await asyncio.sleep(3 if path_of(data) == b'/x' else 0)
            connection.write(ok_response(b'%d' % connection.number))

        result, elapsed, _ = self.run_overdue(script)
        self.assertEqual(b'1', result.response.body)
        self.assertAlmostEqual(3.0, elapsed, delta=0.05)

    def test_a_slow_request_is_not_resent_if_no_other_is_answered(self):
        # All requests to this target take two seconds: none may be treated as lost.
        async def script(connection, data):
            await asyncio.sleep(2)
            connection.write(ok_response(b''))

        async def use(client, target):
            await client.send(TARGET, get_request(), 10)
            sends = (
                client.send(TARGET, get_request(), 10, allow_resend=lambda: True) for _ in range(3)
            )
            return await asyncio.gather(*sends), target.requests

        results, requests = self.run_with_target(script, use)
        self.assertEqual(4, len(requests))
        for result in results:
            self.assertIsInstance(result, Answered)

    def test_an_overdue_non_idempotent_request_is_not_resent(self):
        # A release takes three seconds while reads take none. Ending it early would turn a
        # known outcome into an unknown one.
        async def script(connection, data):
            if path_of(data) == b'/release':
                await asyncio.sleep(3)
            connection.write(ok_response(b''))

        async def use(client, target):
            loop = asyncio.get_running_loop()
            await client.send(TARGET, get_request(), 10)
            release = loop.create_task(client.send(TARGET, get_request('/release'), 10))
            for _ in range(20):
                await asyncio.sleep(0.1)
                await client.send(TARGET, get_request(), 10, allow_resend=lambda: True)
            return await release

        self.assertIsInstance(self.run_with_target(script, use), Answered)

    def test_connections_that_can_no_longer_be_reused_are_closed(self):
        # Each non-idempotent request opens a new connection. If the old ones stayed open, they
        # would use up the target's limit of a few hundred connections.
        async def script(connection, data):
            connection.write(ok_response(b''))

        async def use(client, target):
            for _ in range(20):
                await client.send(TARGET, HttpRequest('POST', '/', [], b'', ''), 5)
                await asyncio.sleep(0.5)
            return target.connection_count - target.closed_count

        self.assertLessEqual(self.run_with_target(script, use), 5)

    def test_cancelling_closes_the_connection(self):
        async def script(connection, data):
            await asyncio.sleep(0)

        async def use(client, target):
            task = asyncio.get_running_loop().create_task(client.send(TARGET, get_request(), 10))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait_for(target.connection_closed.wait(), 0.1)
            return True

        self.assertTrue(self.run_with_target(script, use))


class ListeningTest(PausedClockTest):
    def is_listening(self, on_connection):
        """Return what the client finds; ``on_connection`` gets the server and each connection."""

        async def scenario() -> bool:
            async def accept(reader, writer):
                await on_connection(server, writer)

            server = await asyncio.start_server(accept, TARGET.host, TARGET.port)
            try:
                return await HttpClient().is_listening(TARGET)
            finally:
                server.close()

        return self.run_paused(scenario())

    # A killed target counted as alive, as its port was the last of its sockets to be closed.
    def test_target_whose_port_closes_after_a_connection_is_dead(self):
        async def close_all(server, writer):
            server.close()
            writer.close()

        self.assertFalse(self.is_listening(close_all))

    # A target with too many connections counted as crashed, and its requests as suspects.
    def test_target_that_ends_each_connection_at_once_is_alive(self):
        async def close_connection(server, writer):
            writer.close()

        self.assertTrue(self.is_listening(close_connection))

    def test_target_that_keeps_the_connection_is_alive(self):
        async def keep(server, writer):
            await asyncio.sleep(1.0)
            writer.close()

        self.assertTrue(self.is_listening(keep))


class PlatformConnectionsTest(ClientTest):
    def test_one_timeout_closes_all_idle_connections_to_the_platform(self):
        # The open connections to the platform are silently dropped; new ones work. One call
        # times out and closes the other idle connections, so the next call succeeds at once.
        async def script(connection, data):
            self.request_count = getattr(self, 'request_count', 0) + 1
            if self.request_count <= 3 or connection.number > 3:
                await asyncio.sleep(0.01)
                connection.write(ok_response(b'{"items": [], "atRevision": 1}'))

        async def use(client, target):
            store = HttpObjectStore(TARGET, client)
            loop = asyncio.get_running_loop()
            await asyncio.gather(*(store.list('records') for _ in range(3)))
            started_at = loop.time()
            first = await store.list('records')
            failed_after = loop.time() - started_at
            second = await store.list('records')
            return first, failed_after, second, loop.time() - started_at - failed_after

        first, failed_after, second, elapsed = self.run_with_target(script, use)
        self.assertTrue(first.is_err())
        self.assertAlmostEqual(CALL_TIMEOUT_SECONDS, failed_after, delta=0.05)
        self.assertTrue(second.is_ok())
        self.assertLess(elapsed, 0.1)
