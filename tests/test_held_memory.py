"""Memory that is held for peers, and which of them give way."""

import msgspec
from testtools import TestCase

from dunlinsaddle.calls.frame_codec import (
    LENGTH_PREFIX_BYTES,
    decode_frame,
    encode_frame,
    read_frame_start,
)
from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.inbound.eviction import Activity, EvictionOrder
from dunlinsaddle.calls.messages import LARGE_BODY_BYTES
from dunlinsaddle.capacity import (
    FILE_DESCRIPTORS,
    MIN_HELD_BYTES,
    ProcessLimits,
    derive_capacity,
)
from tests.builders import build_call, build_reply


class Peer:
    """Holds memory and records when it gives way."""

    def __init__(self, name: str, given_up: list[str], *, has_begun: bool = False) -> None:
        self.name, self.given_up, self.has_begun = name, given_up, has_begun

    def give_up(self) -> None:
        self.given_up.append(self.name)


class HeldMemoryTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.given_up: list[str] = []
        self.memory = HeldMemory(1000)

    # Who came next was refused: a crowd that holds memory and stays had all of the service.
    def test_the_holder_with_the_most_gives_way_and_not_the_next(self):
        crowd, other, last = (Peer(name, self.given_up) for name in ('crowd', 'other', 'last'))
        self.memory.set(crowd, 600)
        self.memory.set(other, 300)
        self.memory.set(last, 200)
        self.assertEqual((['crowd'], 500), (self.given_up, self.memory.held))
        self.assertLessEqual(self.memory.most_held, 1000)

    # Work that was nearly done was given up for calls that had not begun.
    def test_of_equal_holders_those_that_have_not_begun_give_way(self):
        running = Peer('running', self.given_up, has_begun=True)
        self.memory.set(running, 600)
        self.memory.set(Peer('arriving', self.given_up), 500)
        self.assertEqual(['arriving'], self.given_up)

    # What was released twice, or set anew after that, was counted for good.
    def test_what_a_holder_gives_back_does_not_count(self):
        peer = Peer('peer', self.given_up)
        for size in (10, 700, 20):
            self.memory.set(peer, size)
        self.memory.release(peer)
        self.memory.release(peer)
        self.assertEqual((0, []), (self.memory.held, self.given_up))


class CapacityTest(TestCase):
    # A body of the largest size that the pages allow was refused in calm on small machines.
    def test_one_body_of_the_largest_size_fits_the_smallest_machine(self):
        held = derive_capacity(ProcessLimits(memory_bytes=200_000_000)).held_bytes
        self.assertGreater(held, 1 << 26)

    # The listeners together could take more sockets than there are.
    def test_the_shares_of_all_listeners_leave_sockets_for_targets_and_store(self):
        for descriptors in (260, 500, 4100, 8192):
            capacity = derive_capacity(ProcessLimits(descriptors=descriptors))
            listening = capacity.caller_connections + capacity.peer_links
            listening += 3 * capacity.other_connections
            self.assertLess(listening, descriptors - FILE_DESCRIPTORS, descriptors)

    def test_limits_too_low_for_a_process_leave_something_to_work_with(self):
        capacity = derive_capacity(ProcessLimits(memory_bytes=1, descriptors=1))
        self.assertEqual(MIN_HELD_BYTES, capacity.held_bytes)
        self.assertGreater(capacity.caller_connections, 0)


class EvictionOrderTest(TestCase):
    # A crowd of idle connections kept new callers out.
    def test_the_connection_that_loses_least_comes_first(self):
        order: EvictionOrder[str] = EvictionOrder()
        for name, activity in (
            ('busy', Activity.BUSY),
            ('reads slowly', Activity.SENDING),
            ('sends slowly', Activity.READING),
            ('idle for long', Activity.IDLE),
            ('idle', Activity.IDLE),
        ):
            order.record(name, activity)
        order.record('idle for long', Activity.IDLE)
        found = []
        while (first := order.first()) is not None:
            found.append(first)
            order.remove(first)
        expected = ['idle for long', 'idle', 'sends slowly', 'reads slowly']
        self.assertEqual(expected, found)


class FrameCodecTest(TestCase):
    """Frames are the same bytes as before, as nodes of other builds read them."""

    # A body that is written beside its frame could be put in the wrong place.
    def test_frames_around_large_bodies_are_those_of_the_plain_encoder(self):
        encoder = msgspec.msgpack.Encoder()
        body = bytes(range(256)) * (LARGE_BODY_BYTES // 256)
        for frame in (
            build_call(1, body=body),
            build_call(1 << 40, body=body, headers=[(b'a', b'b' * 300)] * 20, path='/x' * 400),
            build_reply(body, id=300, headers=[(b'a', b'')]),
            build_call(7, body=b'small'),
            build_reply(b''),
        ):
            parts = encode_frame(frame)
            data = b''.join(parts)
            self.assertEqual(encoder.encode(frame), data[LENGTH_PREFIX_BYTES:])
            size = int.from_bytes(data[:LENGTH_PREFIX_BYTES], 'big')
            self.assertEqual(size, len(data) - LENGTH_PREFIX_BYTES)
            decoded = decode_frame(memoryview(bytearray(data))[LENGTH_PREFIX_BYTES:])
            self.assertEqual(frame.body, decoded.body)
            self.assertEqual(len(parts) == 1, isinstance(decoded.body, bytes))

    # A call that gives way while it arrives was lost without an answer.
    def test_the_number_of_a_call_is_read_from_the_start_of_its_frame(self):
        for number in (1, 127, 128, 255, 256, 65_535, 65_536, 1 << 40):
            for frame, tag in ((build_call(number), 'c'), (build_reply(id=number), 'r')):
                data = b''.join(encode_frame(frame))[LENGTH_PREFIX_BYTES:]
                self.assertEqual((tag, number), read_frame_start(data[:32]))
        for garbage in (b'', b'\x00', b'\xff' * 32, b'\x94\xa1', b'\x94' * 40):
            self.assertIsNone(read_frame_start(garbage))
