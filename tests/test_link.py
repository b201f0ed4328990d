import asyncio
import socket

import msgspec

from dunlinsaddle.calls.call_state import RunningCall, RunningCalls
from dunlinsaddle.calls.frames import LinkLimits, Role, make_proof
from dunlinsaddle.calls.inbound.peer_server import PeerServer
from dunlinsaddle.calls.messages import (
    CALL_COST_BYTES,
    Call,
    Challenge,
    Frame,
    Hello,
    Lost,
    NotSent,
    Reply,
    Welcome,
)
from dunlinsaddle.calls.outbound.link import PeerLinks
from dunlinsaddle.errors import ErrorKind, Outcome
from dunlinsaddle.settings import Address
from tests.builders import PEER_KEY, build_call, build_pending_call, build_reply
from tests.clock import PausedClockTest
from tests.fakes.relay import Relay

PEER = Address('127.0.0.1', 7001)
RELAY = Address('127.0.0.1', 7002)
LIMITS = LinkLimits()
encode = msgspec.msgpack.encode


def frame(value) -> bytes:
    body = encode(value)
    return len(body).to_bytes(4, 'big') + body


class Peer:
    """Peer whose handler sleeps for the seconds in the path, echoes the body, counts calls."""

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
    def run_with_peer(self, use, **peer_args):
        async def scenario():
            peer = Peer(**peer_args)
            await peer.server.listen(PEER)
            links = PeerLinks(PEER_KEY, 'menai-1', LIMITS)
            try:
                return await use(links, peer)
            finally:
                links.close()
                peer.server.close()
                await asyncio.sleep(0.1)

        return self.run_paused(scenario())


class ReplyMatchingTest(LinkTest):
    def test_replies_out_of_order_reach_their_callers(self):
        # Fifty calls with the same request id share a link and are answered out of order.
        # Replies must be matched to calls by their number alone.
        async def use(links, peer):
            calls = [
                build_call(path=str(n * 7 % 50 / 100), body=b'%d' % n, request_id='same')
                for n in range(50)
            ]
            return await asyncio.gather(*(links.call(PEER, call) for call in calls))

        replies = self.run_with_peer(use)
        self.assertEqual([b'%d' % n for n in range(50)], [r.body for r in replies])

    def test_a_reply_after_the_deadline_is_ignored(self):
        # The first call ends exactly at its deadline and is cancelled at the peer. The second
        # call on the same link gets its own reply.
        async def use(links, peer):
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            first = await links.call(PEER, build_call(path='3', timeout=1.0))
            elapsed = loop.time() - started_at
            second = await links.call(PEER, build_call(path='3', body=b'b'))
            return first, elapsed, second, peer.cancelled

        first, elapsed, second, cancelled = self.run_with_peer(use)
        self.assertEqual(Lost('no answer before the deadline', ErrorKind.DEADLINE_EXCEEDED), first)
        self.assertAlmostEqual(1.0, elapsed, delta=0.01)
        self.assertEqual(b'b', second.body)
        self.assertEqual(1, cancelled)

    def test_duplicate_and_unsolicited_replies_are_ignored(self):
        # The peer answers the first call twice, and also a call that was never made. The
        # second call gets the reply with its own number.
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

    def test_an_exception_in_the_handler_is_answered_at_once(self):
        # Without a reply the caller would wait until its deadline.
        async def use(links, peer):
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            reply = await links.call(PEER, build_call(path='no number'))
            return reply, loop.time() - started_at

        reply, elapsed = self.run_with_peer(use)
        self.assertEqual(ErrorKind.INTERNAL.value, reply.kind)
        self.assertLess(elapsed, 0.1)

    def test_a_large_call_over_a_link_that_has_become_slow_is_not_lost(self):
        # At a fiftieth of its rate the link takes three seconds for an upload and as long for its
        # echo. Pings wait behind the upload for longer than a silent link is kept.
        async def use(links, peer):
            await Relay(PEER, rate=20_000).listen(RELAY)
            call = build_call(path='0', body=b'x' * 60_000, idempotent=False)
            return await links.call(RELAY, call), peer.started

        reply, started = self.run_with_peer(use)
        self.assertIsInstance(reply, Reply, reply)
        self.assertEqual((60_000, 1), (len(reply.body), started))

    def test_bodies_beyond_the_memory_of_the_peer_are_refused_as_not_run(self):
        # Each sender bounds its own bodies, but hundreds of nodes may send to one.
        async def use(links, peer):
            await links.call(PEER, build_call(path='0'))
            peer.server.is_running = lambda request_id: request_id == '1'
            memory = peer.server.held_memory
            before = memory.held
            memory.limit = before + 1000 + 2 * CALL_COST_BYTES
            calls = [build_call(path=path, request_id=path, body=b'x' * 600) for path in ('1', '2')]
            first, second = await asyncio.gather(*(links.call(PEER, call) for call in calls))
            held = memory.held - before
            third = await links.call(PEER, build_call(path='0', body=b'x' * 600))
            return first.kind, second.kind, second.outcome, third.kind, held, peer.started

        first, second, outcome, third, held, started = self.run_with_peer(use)
        self.assertEqual(('', 'overloaded', Outcome.NOT_RUN, ''), (first, second, outcome, third))
        self.assertEqual((0, 3), (held, started))

    # A call that gave way while it arrived took all calls of its link along.
    def test_call_for_which_there_is_no_memory_is_refused_while_it_arrives(self):
        async def use(links, peer):
            await Relay(PEER, rate=100_000).listen(RELAY)
            memory = peer.server.held_memory
            memory.limit = 100_000
            large = build_call(path='0', body=b'x' * 300_000)
            calls = (links.call(RELAY, call) for call in (large, build_call(path='0')))
            refused, beside = await asyncio.gather(*calls)
            after = await links.call(RELAY, build_call(path='0', body=b'small'))
            return refused, beside.kind, after.body, memory.held, len(peer.server.links)

        refused, beside, after, held, links = self.run_with_peer(use)
        self.assertEqual(('overloaded', Outcome.NOT_RUN), (refused.kind, refused.outcome))
        self.assertEqual(('', b'small', 0, 1), (beside, after, held, links))

    # Of two requests with one id, the end of the first had the second refused as not run.
    def test_request_id_that_is_used_twice_counts_as_running_until_both_end(self):
        running = RunningCalls()
        calls = [RunningCall(build_pending_call(request_id='r'), 0.0) for _ in range(2)]
        for call in calls:
            running.add(call)
        for call, is_running in ((calls[1], True), (calls[1], True), (calls[0], False)):
            running.remove(call)
            self.assertEqual(is_running, running.is_running('r'))

    def test_cancelling_a_call_cancels_it_at_the_peer(self):
        async def use(links, peer):
            task = asyncio.get_running_loop().create_task(links.call(PEER, build_call(path='5')))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.sleep(0.1)
            return peer.cancelled

        self.assertEqual(1, self.run_with_peer(use))


async def read_frame(reader) -> bytes:
    size = int.from_bytes(await reader.readexactly(4), 'big')
    return await reader.readexactly(size)


class SilentLinkTest(LinkTest):
    def run_through_relay(self, use):
        async def relayed(links, peer):
            relay = await Relay(PEER).listen(RELAY)
            return await use(links, peer, relay)

        return self.run_with_peer(relayed)

    def test_calls_on_a_silent_link_are_lost_within_two_seconds(self):
        # A middlebox silently drops the connection during a call of eight seconds. Within two
        # seconds the call is reported as lost and the peer cancels its work. The next call
        # opens a new link.
        async def use(links, peer, relay):
            loop = asyncio.get_running_loop()
            task = loop.create_task(links.call(RELAY, build_call(path='8')))
            await asyncio.sleep(1.2)
            relay.drop_connections()
            started_at = loop.time()
            lost = await task
            elapsed = loop.time() - started_at
            reply = await links.call(RELAY, build_call(path='0', body=b'new'))
            await asyncio.sleep(1)
            return lost, elapsed, reply, relay.accepted, peer.cancelled

        lost, elapsed, reply, accepted, cancelled = self.run_through_relay(use)
        self.assertEqual(Lost('the link to the peer ended'), lost)
        self.assertLessEqual(elapsed, 2.0)
        self.assertEqual(b'new', reply.body)
        self.assertEqual(2, accepted)
        self.assertEqual(1, cancelled)

    def test_an_idle_link_is_checked_before_it_is_used(self):
        # The connection is silently dropped while idle. A call written to it would have an
        # unknown outcome, so the link is checked for 0.25 s and then a new one is opened.
        async def use(links, peer, relay):
            loop = asyncio.get_running_loop()
            await links.call(RELAY, build_call(path='0'))
            await asyncio.sleep(5)
            relay.drop_connections()
            started_at = loop.time()
            reply = await links.call(RELAY, build_call(path='0', body=b'x', idempotent=False))
            return reply, loop.time() - started_at, relay.accepted

        reply, elapsed, accepted = self.run_through_relay(use)
        self.assertEqual(b'x', reply.body)
        self.assertLessEqual(elapsed, 0.3)
        self.assertEqual(2, accepted)

    def test_a_slow_call_on_a_live_link_is_not_lost(self):
        async def use(links, peer, relay):
            return await links.call(RELAY, build_call(path='9', body=b'slow'))

        self.assertEqual(b'slow', self.run_through_relay(use).body)

    def test_an_idle_link_sends_nothing(self):
        # Pings on thousands of idle links would cost more than the calls.
        async def use(links, peer, relay):
            await links.call(RELAY, build_call(path='0'))
            await asyncio.sleep(1)
            (link,) = peer.server.links
            received_at = link.last_received_at
            await asyncio.sleep(60)
            return link.last_received_at - received_at

        self.assertEqual(0, self.run_through_relay(use))


class HandshakeTest(LinkTest):
    def test_a_wrong_key_is_rejected_and_the_call_is_not_sent(self):
        # The nodes have different keys. The call is never sent, so it is certain not to have
        # run.
        async def use(links, peer):
            result = await links.call(PEER, build_call())
            return result, peer.started, peer.server.rejected_handshakes

        result, started, rejected = self.run_with_peer(use, key='another-key')
        self.assertIsInstance(result, NotSent)
        self.assertEqual((0, 1), (started, rejected))

    def test_a_listener_without_the_key_gets_no_call(self):
        # Another process listens at the old address of a peer and accepts any Hello. It must
        # not be sent a call, and its replies must not be trusted.
        received = []

        async def impostor(reader, writer):
            writer.write(frame(Challenge(b'n' * 16)))
            received.append(await read_frame(reader))
            writer.write(frame(Welcome(b'no proof')))
            received.append(await reader.read())

        async def scenario():
            await asyncio.start_server(impostor, PEER.host, PEER.port)
            return await PeerLinks(PEER_KEY, 'menai-1', LIMITS).call(PEER, build_call())

        self.assertIsInstance(self.run_paused(scenario()), NotSent)
        self.assertEqual(b'', received[1])

    def test_a_handshake_without_answer_ends_at_the_call_timeout(self):
        async def scenario():
            await asyncio.start_server(lambda r, w: asyncio.sleep(99), PEER.host, PEER.port)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            call = build_call(timeout=0.2)
            result = await PeerLinks(PEER_KEY, 'menai-1', LIMITS).call(PEER, call)
            return result, loop.time() - started_at

        result, elapsed = self.run_paused(scenario())
        self.assertIsInstance(result, NotSent)
        self.assertLessEqual(elapsed, 0.21)


class FlowControlTest(LinkTest):
    def test_no_more_calls_are_read_from_a_peer_that_does_not_read_replies(self):
        # A peer sends a thousand calls with large replies and reads none of them. Its link
        # ends, and the replies buffered for it stay within the size of three bodies.
        async def use(links, peer):
            reader, writer = await asyncio.open_connection(PEER.host, PEER.port)
            challenge = msgspec.msgpack.decode(await read_frame(reader), type=Frame)
            proof = make_proof(PEER_KEY, Role.DIALLING, challenge.nonce, 'menai-1')
            writer.write(frame(Hello('menai-1', proof, b'm' * 16)))
            await read_frame(reader)
            max_buffered = 0
            for n in range(1000):
                writer.write(frame(build_call(n, path='0', body=b'x' * 100_000)))
                await asyncio.sleep(0.01)
                for link in peer.server.links:
                    max_buffered = max(max_buffered, link.transport.get_write_buffer_size())
            return max_buffered, len(peer.server.links)

        max_buffered, links_left = self.run_with_peer(use)
        self.assertLess(max_buffered, 3 * LIMITS.max_body_bytes)
        self.assertEqual(0, links_left)

    def test_no_more_calls_are_sent_to_a_peer_that_does_not_read_them(self):
        # The process of the peer is stopped. Calls that would accumulate in the memory of this
        # node are reported as not sent, so that they can go elsewhere.
        async def use(links, peer):
            await links.call(PEER, build_call(path='0'))
            (server_link,) = peer.server.links
            server_link.transport.pause_reading()
            loop = asyncio.get_running_loop()
            body = b'x' * 500_000
            calls = (links.call(PEER, build_call(path='0', body=body)) for _ in range(50))
            tasks = [loop.create_task(call) for call in calls]
            return await asyncio.gather(*tasks)

        results = self.run_with_peer(use)
        kinds = [type(result) for result in results]
        self.assertGreater(kinds.count(NotSent), 40)
        self.assertEqual(50, kinds.count(NotSent) + kinds.count(Lost))

    def test_an_idle_link_sends_nothing(self):
        # A probe per second from each end of a thousand idle links, by a frame or by the
        # kernel, would cost ten times what a node may send for control.
        async def use(links, peer):
            await links.call(PEER, build_call(path='0'))
            await asyncio.sleep(2 * LIMITS.probe_interval)
            ends = [*links._links.values(), *peer.server.links]
            received_at = [end.last_received_at for end in ends]
            await asyncio.sleep(50)
            return len(ends), [end.last_received_at for end in ends] == received_at

        self.assertEqual((2, True), self.run_with_peer(use))

        async def kernel_idle_seconds():
            peer, links = Peer(), PeerLinks(PEER_KEY, 'menai-1', LIMITS)
            address = await peer.server.listen(Address('127.0.0.1', 0))
            await links.call(address, build_call(path='0'))
            ends = [*links._links.values(), *peer.server.links]
            sockets = [end.transport.get_extra_info('socket') for end in ends]
            idle = [s.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) for s in sockets]
            links.close()
            peer.server.close()
            return idle

        self.assertEqual([60, 60], asyncio.run(kernel_idle_seconds()))
