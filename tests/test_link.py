import asyncio
import socket

import msgspec

from dunlinsaddle.calls.frames import LinkLimits, Role, make_proof
from dunlinsaddle.calls.link import PeerLinks
from dunlinsaddle.calls.messages import (
    Call,
    Challenge,
    Frame,
    Hello,
    Lost,
    NotSent,
    Reply,
    Welcome,
)
from dunlinsaddle.calls.peer_server import PeerServer
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.settings import Address
from tests.builders import PEER_KEY, build_call, build_reply
from tests.clock import PausedClockTest
from tests.fakes.relay import Relay

PEER = Address('127.0.0.1', 7001)
BETWEEN = Address('127.0.0.1', 7002)
LIMITS = LinkLimits()
encode = msgspec.msgpack.encode


def frame(value) -> bytes:
    body = encode(value)
    return len(body).to_bytes(4, 'big') + body


class Peer:
    """A peer whose handler sleeps as the path says and echoes; counts what it ran."""

    def __init__(self, limits=LIMITS, key=PEER_KEY):
        self.server = PeerServer(key, self.handle, limits)
        self.started = 0
        self.cancelled = 0

    async def handle(self, call: Call) -> Reply:
        self.started += 1
        try:
            await asyncio.sleep(float(call.path))
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return build_reply(call.body)


class LinkTest(PausedClockTest):
    def with_peer(self, use, **changes):
        async def scenario():
            peer = Peer(**changes)
            await peer.server.listen(PEER)
            links = PeerLinks(PEER_KEY, 'menai-1', LIMITS)
            try:
                return await use(links, peer)
            finally:
                links.close()
                peer.server.close()
                await asyncio.sleep(0.1)

        return self.run_paused(scenario())


class WholeReplyTest(LinkTest):
    def test_replies_out_of_order_reach_their_callers(self):
        # Fifty calls share a link and one request id, and are answered in a mixed order. Each
        # caller gets the reply to its own call: calls are matched by their number alone.
        async def use(links, peer):
            calls = [
                build_call(path=str(n * 7 % 50 / 100), body=b'%d' % n, request_id='same')
                for n in range(50)
            ]
            return await asyncio.gather(*(links.call(PEER, call) for call in calls))

        replies = self.with_peer(use)
        self.assertEqual([b'%d' % n for n in range(50)], [r.body for r in replies])

    def test_a_reply_after_its_deadline_belongs_to_nobody(self):
        # The first call ends at its deadline, at once and not later; the peer is told, and
        # stops. The second caller, on the same link, gets its own reply.
        async def use(links, peer):
            loop = asyncio.get_running_loop()
            began = loop.time()
            first = await links.call(PEER, build_call(path='3', timeout=1.0))
            elapsed = loop.time() - began
            second = await links.call(PEER, build_call(path='3', body=b'b'))
            return first, elapsed, second, peer.cancelled

        first, elapsed, second, cancelled = self.with_peer(use)
        self.assertEqual(Lost('no answer before the deadline', ErrorKind.DEADLINE_EXCEEDED), first)
        self.assertAlmostEqual(1.0, elapsed, delta=0.01)
        self.assertEqual(b'b', second.body)
        self.assertEqual(1, cancelled)

    def test_doubled_and_unasked_replies_are_dropped(self):
        # A peer answers the first call twice and a call that was never made. The second
        # caller gets the reply with its own number.
        async def answer(reader, writer):
            writer.write(frame(Challenge(b'n' * 16)))
            hello = msgspec.msgpack.decode((await read_frame(reader)), type=Frame)
            writer.write(frame(Welcome(make_proof(PEER_KEY, Role.LISTENING, hello.nonce, ''))))
            for _ in range(2):
                call = msgspec.msgpack.decode(await read_frame(reader), type=Frame)
                reply = build_reply(call.body, id=call.id)
                writer.write(frame(reply) * 2 + frame(build_reply(b'stray', id=call.id + 7)))

        async def scenario():
            await asyncio.start_server(answer, PEER.host, PEER.port)
            links = PeerLinks(PEER_KEY, 'menai-1', LIMITS)
            first = await links.call(PEER, build_call(body=b'a'))
            second = await links.call(PEER, build_call(body=b'b'))
            links.close()
            return first.body, second.body

        self.assertEqual((b'a', b'b'), self.run_paused(scenario()))

    def test_a_fault_of_the_peer_is_answered_at_once(self):
        # The handler raises. Without a reply the caller would wait for its whole deadline.
        async def use(links, peer):
            loop = asyncio.get_running_loop()
            began = loop.time()
            reply = await links.call(PEER, build_call(path='no number'))
            return reply, loop.time() - began

        reply, elapsed = self.with_peer(use)
        self.assertEqual(ErrorKind.INTERNAL.value, reply.kind)
        self.assertLess(elapsed, 0.1)

    def test_a_caller_that_goes_is_heard_of(self):
        async def use(links, peer):
            task = asyncio.get_running_loop().create_task(links.call(PEER, build_call(path='5')))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.sleep(0.1)
            return peer.cancelled

        self.assertEqual(1, self.with_peer(use))


async def read_frame(reader) -> bytes:
    size = int.from_bytes(await reader.readexactly(4), 'big')
    return await reader.readexactly(size)


class SilentLinkTest(LinkTest):
    def through_relay(self, use):
        async def relayed(links, peer):
            relay = await Relay(PEER).listen(BETWEEN)
            return await use(links, peer, relay)

        return self.with_peer(relayed)

    def test_calls_on_a_silent_link_are_lost_within_two_seconds(self):
        # A middle box forgets the link while a call of eight seconds runs. Its caller hears
        # within two seconds that the call is lost; the peer stops the work that nobody
        # waits for; a new link is dialled for the next call.
        async def use(links, peer, relay):
            loop = asyncio.get_running_loop()
            task = loop.create_task(links.call(BETWEEN, build_call(path='8')))
            await asyncio.sleep(1.2)
            relay.forget()
            began = loop.time()
            lost = await task
            elapsed = loop.time() - began
            reply = await links.call(BETWEEN, build_call(path='0', body=b'new'))
            await asyncio.sleep(1)
            return lost, elapsed, reply, relay.accepted, peer.cancelled

        lost, elapsed, reply, accepted, cancelled = self.through_relay(use)
        self.assertEqual(Lost('the link to the peer ended'), lost)
        self.assertLessEqual(elapsed, 2.0)
        self.assertEqual(b'new', reply.body)
        self.assertEqual(2, accepted)
        self.assertEqual(1, cancelled)

    def test_an_idle_link_is_proved_before_it_is_used(self):
        # The link is forgotten while idle. The next call must not be written to it, for
        # its outcome would be unknown: it waits a quarter of a second and takes a new link.
        async def use(links, peer, relay):
            loop = asyncio.get_running_loop()
            await links.call(BETWEEN, build_call(path='0'))
            await asyncio.sleep(5)
            relay.forget()
            began = loop.time()
            reply = await links.call(BETWEEN, build_call(path='0', body=b'x', idempotent=False))
            return reply, loop.time() - began, relay.accepted

        reply, elapsed, accepted = self.through_relay(use)
        self.assertEqual(b'x', reply.body)
        self.assertLessEqual(elapsed, 0.3)
        self.assertEqual(2, accepted)

    def test_a_slow_call_on_a_live_link_is_not_lost(self):
        async def use(links, peer, relay):
            return await links.call(BETWEEN, build_call(path='9', body=b'slow'))

        self.assertEqual(b'slow', self.through_relay(use).body)

    def test_an_idle_link_sends_nothing(self):
        # Thousands of idle links that ping would cost more than the calls.
        async def use(links, peer, relay):
            await links.call(BETWEEN, build_call(path='0'))
            await asyncio.sleep(1)
            (link,) = peer.server.links
            heard = link.last_received_at
            await asyncio.sleep(60)
            return link.last_received_at - heard

        self.assertEqual(0, self.through_relay(use))


class HandshakeTest(LinkTest):
    def test_a_wrong_key_is_refused_and_the_call_was_not_sent(self):
        # The nodes hold different keys. Nothing of the call leaves, so it provably did not
        # run, on either side.
        async def use(links, peer):
            exchange = await links.call(PEER, build_call())
            return exchange, peer.started, peer.server.rejected_handshakes

        exchange, started, refused = self.with_peer(use, key='another-key')
        self.assertIsInstance(exchange, NotSent)
        self.assertEqual((0, 1), (started, refused))

    def test_a_listener_without_the_key_gets_no_call(self):
        # Something else listens at a peer's old address and takes any Hello. It must not be
        # handed a call, and its replies must not be believed.
        got = []

        async def impostor(reader, writer):
            writer.write(frame(Challenge(b'n' * 16)))
            got.append(await read_frame(reader))
            writer.write(frame(Welcome(b'no proof')))
            got.append(await reader.read())

        async def scenario():
            await asyncio.start_server(impostor, PEER.host, PEER.port)
            return await PeerLinks(PEER_KEY, 'menai-1', LIMITS).call(PEER, build_call())

        self.assertIsInstance(self.run_paused(scenario()), NotSent)
        self.assertEqual(b'', got[1])

    def test_a_silent_handshake_ends_within_the_budget(self):
        async def scenario():
            await asyncio.start_server(lambda r, w: asyncio.sleep(99), PEER.host, PEER.port)
            loop = asyncio.get_running_loop()
            began = loop.time()
            call = build_call(timeout=0.2)
            exchange = await PeerLinks(PEER_KEY, 'menai-1', LIMITS).call(PEER, call)
            return exchange, loop.time() - began

        exchange, elapsed = self.run_paused(scenario())
        self.assertIsInstance(exchange, NotSent)
        self.assertLessEqual(elapsed, 0.21)


class FlowControlTest(LinkTest):
    def test_a_peer_that_does_not_read_replies_gives_no_more_calls(self):
        # A peer sends a thousand calls, whose replies are large, and reads none. It is
        # ended; what waits for it in memory stays under a few replies.
        async def use(links, peer):
            reader, writer = await asyncio.open_connection(PEER.host, PEER.port)
            challenge = msgspec.msgpack.decode(await read_frame(reader), type=Frame)
            proof = make_proof(PEER_KEY, Role.DIALLING, challenge.nonce, 'menai-1')
            writer.write(frame(Hello('menai-1', proof, b'm' * 16)))
            await read_frame(reader)
            most = 0
            for n in range(1000):
                writer.write(frame(build_call(n, path='0', body=b'x' * 100_000)))
                await asyncio.sleep(0.01)
                for link in peer.server.links:
                    most = max(most, link.transport.get_write_buffer_size())
            return most, len(peer.server.links)

        most, left = self.with_peer(use)
        self.assertLess(most, 3 * LIMITS.max_body_bytes)
        self.assertEqual(0, left)

    def test_a_peer_that_takes_no_calls_gets_no_more(self):
        # The peer's process is stopped: it reads nothing. Calls that would pile up in this
        # node's memory are refused as never sent, and can go elsewhere.
        async def use(links, peer):
            await links.call(PEER, build_call(path='0'))
            (serving,) = peer.server.links
            serving.transport.pause_reading()
            loop = asyncio.get_running_loop()
            body = b'x' * 500_000
            calls = (links.call(PEER, build_call(path='0', body=body)) for _ in range(50))
            tasks = [loop.create_task(call) for call in calls]
            return await asyncio.gather(*tasks)

        exchanges = self.with_peer(use)
        kinds = [type(e) for e in exchanges]
        self.assertGreater(kinds.count(NotSent), 40)
        self.assertEqual(50, kinds.count(NotSent) + kinds.count(Lost))

    def test_an_idle_link_sends_nothing(self):
        # A thousand idle links, each with a probe a second from either end, by a frame or by
        # the kernel, would spend ten times what a node may send for control.
        async def use(links, peer):
            await links.call(PEER, build_call(path='0'))
            await asyncio.sleep(2 * LIMITS.probe_interval)
            ends = [*links._links.values(), *peer.server.links]
            heard = [end.last_received_at for end in ends]
            await asyncio.sleep(50)
            return len(ends), [end.last_received_at for end in ends] == heard

        self.assertEqual((2, True), self.with_peer(use))

        async def kernel():
            peer, links = Peer(), PeerLinks(PEER_KEY, 'menai-1', LIMITS)
            address = await peer.server.listen(Address('127.0.0.1', 0))
            await links.call(address, build_call(path='0'))
            ends = [*links._links.values(), *peer.server.links]
            socks = [end.transport.get_extra_info('socket') for end in ends]
            idle = [s.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) for s in socks]
            links.close()
            peer.server.close()
            return idle

        self.assertEqual([60, 60], asyncio.run(kernel()))
