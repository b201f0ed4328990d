from testtools import TestCase
from testtools.matchers import raises

from dunlinsaddle.calls.http_codec import (
    BodyTooLarge,
    HeadTooLarge,
    MalformedMessage,
    encode_request,
    encode_response,
)
from dunlinsaddle.calls.request_reader import RequestReader
from dunlinsaddle.calls.response_reader import ResponseReader

HEAD = b'POST /a HTTP/1.1\r\nHost: x\r\n'


class RequestReaderTest(TestCase):
    def read(self, *pieces):
        reader = RequestReader(1000, 100)
        return [message for piece in pieces for message in reader.feed(piece)]

    def test_requests_are_complete_however_the_bytes_are_split(self):
        data = HEAD + b'Content-Length: 3\r\n\r\nabc' + HEAD + b'Content-Length: 0\r\n\r\n'
        for size in (1, 7, 1000):
            messages = self.read(*(data[n : n + size] for n in range(0, len(data), size)))
            self.assertEqual([b'abc', b''], [message.body for message in messages])
            self.assertEqual([(b'host', b'x')], messages[0].headers[:1])

    def test_chunks_are_joined_and_trailers_are_not_headers(self):
        data = HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\nhost: y\r\n\r\n'
        (message,) = self.read(data)
        self.assertEqual(b'abc', message.body)
        self.assertEqual(1, len([n for n, _ in message.headers if n == b'host']))

    # Callers that send small chunks were refused for good, though their bodies were small.
    def test_chunks_of_one_byte_are_no_framing_without_end(self):
        reader = RequestReader(1000, 5000)
        data = HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + b'1\r\nx\r\n' * 5000 + b'0\r\n\r\n'
        pieces = (data[n : n + 1000] for n in range(0, len(data), 1000))
        (message,) = [message for piece in pieces for message in reader.feed(piece)]
        self.assertEqual(b'x' * 5000, message.body)

    # What the parser does not report was read, and kept, for as long as the caller sent it.
    def test_extensions_and_trailers_without_end_are_rejected(self):
        head = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        for start, rest in (
            (b'5;', b'x' * 900),
            (b'1\r\nx\r\n0\r\n', b'a: b\r\n' * 150),
            (b'1\r\nx\r\n0\r\na: ', b'b' * 900),
        ):
            self.assertThat(
                lambda start=start, rest=rest: self.read(head + start, *[rest] * 5),
                raises(HeadTooLarge),
            )

    def test_messages_over_the_size_limits_are_rejected(self):
        large_header = b'x: ' + b'y' * 2000 + b'\r\n\r\n'
        self.assertThat(lambda: self.read(HEAD + large_header), raises(HeadTooLarge))
        self.assertThat(lambda: self.read(HEAD + b'x: ', *[b'y' * 500] * 5), raises(HeadTooLarge))
        length_header = b'Content-Length: 101\r\n\r\n'
        self.assertThat(lambda: self.read(HEAD + length_header), raises(BodyTooLarge))
        chunked = b'Transfer-Encoding: chunked\r\n\r\n65\r\n' + b'z' * 101
        self.assertThat(lambda: self.read(HEAD + chunked), raises(BodyTooLarge))

    def test_a_request_without_exactly_one_host_is_rejected(self):
        for head in (b'GET / HTTP/1.1\r\n', b'GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n'):
            self.assertThat(lambda head=head: self.read(head + b'\r\n'), raises(MalformedMessage))

    def test_an_upgrade_request_closes_the_connection(self):
        data = b'GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: x\r\n\r\njunk'
        (message,) = self.read(data)
        self.assertFalse(message.keep_alive)


class ResponseReaderTest(TestCase):
    def test_two_responses_in_one_piece_are_separated(self):
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n'
        messages = ResponseReader(1000, 100).feed(head + b'a' + head + b'b')
        self.assertEqual([b'a', b'b'], [message.body for message in messages])

    def test_bytes_after_a_response_keep_it_complete_but_mark_the_reader(self):
        reader = ResponseReader(1000, 100)
        (message,) = reader.feed(b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na???')
        self.assertEqual(b'a', message.body)
        self.assertTrue(reader.broken or reader.in_message)

    def test_a_body_without_length_is_complete_only_at_the_end(self):
        reader = ResponseReader(1000, 100)
        self.assertEqual([], reader.feed(b'HTTP/1.1 200 OK\r\n\r\nab'))
        reader.feed(b'c')
        self.assertEqual(b'abc', reader.feed_eof().body)

    def test_a_truncated_body_is_never_complete(self):
        for head in (b'content-length: 9\r\n', b'transfer-encoding: chunked\r\n'):
            reader = ResponseReader(1000, 100)
            reader.feed(b'HTTP/1.1 200 OK\r\n' + head + b'\r\n')
            self.assertIsNone(reader.feed_eof())


class EncodeTest(TestCase):
    def test_a_line_break_in_a_header_is_rejected(self):
        for name, value in ((b'a\r\nb', b'c'), (b'a', b'b\nc: d'), (b'a', b'\0')):
            headers = [(name, value)]
            self.assertThat(lambda h=headers: encode_response(200, h, b''), raises(ValueError))
            self.assertThat(
                lambda h=headers: encode_request('GET', '/', h, b''), raises(ValueError)
            )

    def test_a_request_target_with_a_space_or_line_break_is_rejected(self):
        for target in ('/a b', '/a\r\nx: y', ''):
            self.assertThat(lambda t=target: encode_request('GET', t, [], b''), raises(ValueError))
