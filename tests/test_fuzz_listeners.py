import asyncio
import random
import resource

import msgspec

from dunlinsaddle.calls.frames import Role, make_proof
from dunlinsaddle.calls.messages import Challenge, Frame, Hello, Ping, Welcome
from dunlinsaddle.records.changes import RECORD_KIND
from tests.builders import PEER_KEY, build_call, build_reply
from tests.clock import PausedClockTest
from tests.fakes.pair import NodePair, SleepingTarget

INPUTS = 2000
MEMORY_KILOBYTES = 32 << 10
SLOW_EVERY = 20  #: one input in so many is sent in small pieces
#: Connections that may stay open on the listeners for callers, local requests and peers. The
#: target keeps one local connection to announce itself.
MAX_OPEN_CONNECTIONS = [0, 1, 0]

# Each of these makes a request invalid, whatever the rest of it is.
INVALID_HEADERS = [
    b'content-length: 5\r\ncontent-length: 6\r\n',
    b'content-length: 5\r\ntransfer-encoding: chunked\r\n',
    b'transfer-encoding: gzip, chunked\r\n',
    b'transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n',
    b'content-length: -1\r\n',
    b'content-length: 0x10\r\n',
    b'content-length: ' + b'9' * 30 + b'\r\n',
    b'content-length: ' + b'9' * 5000 + b'\r\n',
    b'content-length: 99999999\r\n',
    b'bad header\r\n',
    b'bad\x00name: 1\r\n',
    b'name: bad\x00value\r\n',
    b'big: ' + b'x' * 20_000 + b'\r\n',
    b'x: y\r\n' * 3000,
    b'host: b\r\n',
]


def random_bytes(rng: random.Random) -> bytes:
    return rng.randbytes(rng.randrange(1, 400))


def mutate(rng: random.Random, data: bytes) -> bytes:
    """Replace, delete or repeat a few bytes."""
    out = bytearray(data)
    for _ in range(rng.randrange(3)):
        offset = rng.randrange(len(out) or 1)
        match rng.randrange(3):
            case 0:
                out[offset : offset + 1] = rng.randbytes(1)
            case 1:
                del out[offset : offset + rng.randrange(4)]
            case 2:
                out[offset:offset] = out[offset : offset + rng.randrange(40)]
    return bytes(out)


def build_bad_request(rng: random.Random, line: bytes, headers: bytes, body: bytes) -> bytes:
    if rng.random() < 0.2:
        return random_bytes(rng)
    invalid_header = rng.choice(INVALID_HEADERS)
    return line + b'host: a\r\n' + invalid_header + mutate(rng, headers) + b'\r\n' + body


def encode_frame(value: object) -> bytes:
    body = msgspec.msgpack.encode(value)
    return len(body).to_bytes(4, 'big') + body


class FuzzTest(PausedClockTest):
    def fuzz(self, get_address, build_input, *, handshake=None):
        """Send each input over its own connection to one listener, then check the node."""

        async def scenario():
            loop_errors = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda loop, context: loop_errors.append(context))
            target = SleepingTarget()
            pair = await NodePair(target).start()
            node = pair.target_node
            before = (node.target.address, pair.store.objects[RECORD_KIND, 'cut-orders'])
            rng = random.Random(20)
            memory_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            for number in range(INPUTS):
                await self.send_input(get_address(node), build_input(rng), rng, number, handshake)
            await asyncio.sleep(100)
            memory_growth = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - memory_before
            after = (node.target.address, pair.store.objects[RECORD_KIND, 'cut-orders'])
            open_connections = [
                len(listener.connections)
                for listener in (node.callers_listener, node.local_listener)
            ]
            # The other node keeps a link open, over which it compares records.
            own_links = [link for link in pair.entry_node.links._links.values() if link.is_open]
            open_connections.append(len(node.peer_server.links) - len(own_links))
            response = await pair.call(pair.entry_node, 3)
            await pair.stop()
            assert response is not None
            self.assertEqual(200, response.status)
            self.assertEqual([], loop_errors)
            self.assertEqual(0, node.stats.faults)
            self.assertEqual(['3'], list(target.started))
            self.assertEqual(before, after)
            for count, maximum in zip(open_connections, MAX_OPEN_CONNECTIONS, strict=True):
                self.assertLessEqual(count, maximum, open_connections)
            self.assertLess(memory_growth, MEMORY_KILOBYTES)

        self.run_paused(scenario())

    async def send_input(self, address, data, rng, number, handshake):
        reader, writer = await asyncio.open_connection(address.host, address.port)
        try:
            if handshake is not None:
                await handshake(reader, writer)
            if number % SLOW_EVERY:
                writer.write(data)
            else:
                for piece in range(0, min(len(data), 60), 3):
                    writer.write(data[piece : piece + 3])
                    await asyncio.sleep(rng.random() / 50)
            await asyncio.sleep(0.001)
        except ConnectionError:
            pass
        finally:
            writer.close()

    def test_callers_listener(self):
        # Malformed HTTP and requests of ambiguous length, with spoofed headers of the node's own:
        # none may reach the target or raise inside the node.
        headers = b'dunlinsaddle-call: 1\r\ndunlinsaddle-rank: 0\r\nrequest-timeout: nan\r\n'
        line = b'GET /cut-orders/orders/1 HTTP/1.1\r\n'
        self.fuzz(
            lambda node: node.addresses.callers,
            lambda rng: build_bad_request(rng, line, headers, rng.choice([b'12345', b'0\r\n\r\n'])),
        )

    def test_local_listener(self):
        # Invalid announcements must not change the address of the target.
        bodies = [b'{}', b'[', b'{"service":1}', b'{"service":"x","address":"no port"}', b'\xff']
        line = b'POST /-/announce HTTP/1.1\r\n'

        def build_input(rng):
            if rng.random() < 0.5:
                return build_bad_request(rng, line, b'', b'{}')
            body = rng.choice(bodies)
            return line + b'host: a\r\ncontent-length: %d\r\n\r\n%s' % (len(body), body)

        self.fuzz(lambda node: node.addresses.local, build_input)

    def test_operators_listener(self):
        # Valid changes with a wrong token, and malformed changes: no record may change.
        body = msgspec.json.encode({'record': None, 'expected': 1, 'who': 'nobody', 'why': 'harm'})
        line = b'PUT /v1/records/cut-orders HTTP/1.1\r\n'

        def build_input(rng):
            token = rng.choice([b'', b'Bearer', b'Bearer ', b'Bearer \xe9', rng.randbytes(3).hex()])
            token = token if isinstance(token, bytes) else token.encode()
            headers = b'authorization: %s\r\n' % token.strip()
            if rng.random() < 0.5:
                return build_bad_request(rng, line, headers, body)
            return line + b'host: a\r\n%scontent-length: %d\r\n\r\n%s' % (headers, len(body), body)

        self.fuzz(lambda node: node.addresses.operators, build_input)

    def test_peers_listener_without_the_key(self):
        # Random bytes, huge lengths, wrong keys and Hello frames recorded on another link: a call
        # that follows them must not run, even when it arrives in the same chunk of data.
        recorded_hello = Hello(
            'menai-1', make_proof(PEER_KEY, Role.DIALLING, b'n' * 16, 'menai-1'), b'm' * 16
        )
        wrong_hello = Hello(
            'menai-1', make_proof('wrong', Role.DIALLING, b'n' * 16, 'menai-1'), b'm' * 16
        )

        def build_input(rng):
            first_frames = [
                random_bytes(rng),
                b'\xff\xff\xff\xff' + rng.randbytes(50),
                encode_frame(recorded_hello),
                encode_frame(wrong_hello),
                encode_frame(Hello('', b'', b'')),
                encode_frame(Welcome(b'')),
                encode_frame(Ping(1)),
                encode_frame([[[]]] * rng.randrange(9)),
                b'',
            ]
            return rng.choice(first_frames) + encode_frame(build_call(rng.randrange(9)))

        self.fuzz(lambda node: node.addresses.peers, build_input)

    def test_peers_listener_with_the_key(self):
        # A faulty peer sends numbers out of range, wrong types, or frames that only the other side
        # may send. The link is closed and no call is run.
        invalid_fields = [
            {'rank': 99},
            {'rank': -1},
            {'slot': 10**6},
            {'timeout': -1.0},
            {'timeout': float('nan')},
            {'timeout': float('inf')},
            {'retry_tokens': 10**9},
            {'retry_tokens': -1},
            {'hop': 10**9},
            {'headers': [[1, 2]]},
            {'method': 7},
            {'body': 'text'},
        ]

        async def handshake(reader, writer):
            size = int.from_bytes(await reader.readexactly(4), 'big')
            challenge = msgspec.msgpack.decode(await reader.readexactly(size), type=Frame)
            assert isinstance(challenge, Challenge)
            proof = make_proof(PEER_KEY, Role.DIALLING, challenge.nonce, 'menai-1')
            writer.write(encode_frame(Hello('menai-1', proof, b'm' * 16)))
            await reader.readexactly(4)

        def build_input(rng):
            if rng.random() < 0.3:
                return random_bytes(rng)
            if rng.random() < 0.2:
                return encode_frame(build_reply(id=1)) + encode_frame(build_call())
            change = rng.choice(invalid_fields)
            return encode_frame(build_call(**change))

        self.fuzz(lambda node: node.addresses.peers, build_input, handshake=handshake)
