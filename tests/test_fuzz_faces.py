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
SLOW_EVERY = 20
#: Connections that stay open of right: the target keeps one to announce itself.
KEPT = [0, 1, 0]

# Each of these makes a request wrong, whatever else it holds.
WRONG = [
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


def mutated(rng: random.Random, data: bytes) -> bytes:
    """Change, cut out or double a few bytes."""
    out = bytearray(data)
    for _ in range(rng.randrange(3)):
        at = rng.randrange(len(out) or 1)
        match rng.randrange(3):
            case 0:
                out[at : at + 1] = rng.randbytes(1)
            case 1:
                del out[at : at + rng.randrange(4)]
            case 2:
                out[at:at] = out[at : at + rng.randrange(40)]
    return bytes(out)


def bad_request(rng: random.Random, line: bytes, headers: bytes, body: bytes) -> bytes:
    if rng.random() < 0.2:
        return random_bytes(rng)
    wrong = rng.choice(WRONG)
    return line + b'host: a\r\n' + wrong + mutated(rng, headers) + b'\r\n' + body


def frame(value: object) -> bytes:
    body = msgspec.msgpack.encode(value)
    return len(body).to_bytes(4, 'big') + body


class FuzzTest(PausedClockTest):
    def fuzz(self, address_of, make, *, greet=None):
        """Give all inputs to one face, each over a connection of its own; look for harm."""

        async def scenario():
            faults = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda loop, context: faults.append(context))
            target = SleepingTarget()
            pair = await NodePair(target).start()
            node = pair.target_node
            before = (node.target.address, pair.store.objects[RECORD_KIND, 'cut-orders'])
            rng = random.Random(20)
            base = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            for number in range(INPUTS):
                await self.give(address_of(node), make(rng), rng, number, greet)
            await asyncio.sleep(100)
            grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - base
            after = (node.target.address, pair.store.objects[RECORD_KIND, 'cut-orders'])
            left = [len(face.connections) for face in (node.callers_listener, node.local_listener)]
            # The other node compares records over a link of its own, which is to stay.
            own = [link for link in pair.entry_node.links._links.values() if link.is_open]
            left.append(len(node.peer_server.links) - len(own))
            response = await pair.call(pair.entry_node, 3)
            await pair.stop()
            assert response is not None
            self.assertEqual(200, response.status)
            self.assertEqual([], faults)
            self.assertEqual(0, node.stats.faults)
            self.assertEqual(['3'], list(target.started))
            self.assertEqual(before, after)
            for count, most in zip(left, KEPT, strict=True):
                self.assertLessEqual(count, most, left)
            self.assertLess(grown, MEMORY_KILOBYTES)

        self.run_paused(scenario())

    async def give(self, address, data, rng, number, greet):
        reader, writer = await asyncio.open_connection(address.host, address.port)
        try:
            if greet is not None:
                await greet(reader, writer)
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

    def test_callers_face(self):
        # Requests that are no HTTP, or whose length can be read in two ways, with our own
        # headers spoofed: none reaches the target, none raises inside the node.
        headers = b'dunlinsaddle-call: 1\r\ndunlinsaddle-rank: 0\r\nrequest-timeout: nan\r\n'
        line = b'GET /cut-orders/orders/1 HTTP/1.1\r\n'
        self.fuzz(
            lambda node: node.addresses.callers,
            lambda rng: bad_request(rng, line, headers, rng.choice([b'12345', b'0\r\n\r\n'])),
        )

    def test_local_face(self):
        # Announcements that are wrong: the target's address stays what it was.
        bodies = [b'{}', b'[', b'{"service":1}', b'{"service":"x","address":"no port"}', b'\xff']
        line = b'POST /-/announce HTTP/1.1\r\n'

        def make(rng):
            if rng.random() < 0.5:
                return bad_request(rng, line, b'', b'{}')
            body = rng.choice(bodies)
            return line + b'host: a\r\ncontent-length: %d\r\n\r\n%s' % (len(body), body)

        self.fuzz(lambda node: node.addresses.local, make)

    def test_operators_face(self):
        # Well-formed changes with a wrong token, and malformed ones: no record changes.
        body = msgspec.json.encode({'record': None, 'expected': 1, 'who': 'nobody', 'why': 'harm'})
        line = b'PUT /v1/records/cut-orders HTTP/1.1\r\n'

        def make(rng):
            token = rng.choice([b'', b'Bearer', b'Bearer ', b'Bearer \xe9', rng.randbytes(3).hex()])
            token = token if isinstance(token, bytes) else token.encode()
            headers = b'authorization: %s\r\n' % token.strip()
            if rng.random() < 0.5:
                return bad_request(rng, line, headers, body)
            return line + b'host: a\r\n%scontent-length: %d\r\n\r\n%s' % (headers, len(body), body)

        self.fuzz(lambda node: node.addresses.operators, make)

    def test_peers_face_without_the_key(self):
        # Random bytes, absurd lengths, wrong keys, Hello frames recorded on another link:
        # no call behind them is run, also not one in the same piece of data.
        recorded = Hello(
            'menai-1', make_proof(PEER_KEY, Role.DIALLING, b'n' * 16, 'menai-1'), b'm' * 16
        )
        wrong = Hello(
            'menai-1', make_proof('wrong', Role.DIALLING, b'n' * 16, 'menai-1'), b'm' * 16
        )

        def make(rng):
            start = [
                random_bytes(rng),
                b'\xff\xff\xff\xff' + rng.randbytes(50),
                frame(recorded),
                frame(wrong),
                frame(Hello('', b'', b'')),
                frame(Welcome(b'')),
                frame(Ping(1)),
                frame([[[]]] * rng.randrange(9)),
                b'',
            ]
            return rng.choice(start) + frame(build_call(rng.randrange(9)))

        self.fuzz(lambda node: node.addresses.peers, make)

    def test_peers_face_with_the_key(self):
        # A peer with a fault: numbers out of range, wrong types, frames of the other side.
        # The link ends; nothing is run.
        bad = [
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

        async def greet(reader, writer):
            size = int.from_bytes(await reader.readexactly(4), 'big')
            challenge = msgspec.msgpack.decode(await reader.readexactly(size), type=Frame)
            assert isinstance(challenge, Challenge)
            proof = make_proof(PEER_KEY, Role.DIALLING, challenge.nonce, 'menai-1')
            writer.write(frame(Hello('menai-1', proof, b'm' * 16)))
            await reader.readexactly(4)

        def make(rng):
            if rng.random() < 0.3:
                return random_bytes(rng)
            if rng.random() < 0.2:
                return frame(build_reply(id=1)) + frame(build_call())
            change = rng.choice(bad)
            return frame(build_call(**change))

        self.fuzz(lambda node: node.addresses.peers, make, greet=greet)
