"""Crowds whose requests stop just short of their end, and stay open."""

import asyncio

from tests.crowds.clients import (
    Crowd,
    build_chunked_head,
    build_chunks,
    build_head,
    build_request,
    exchange,
)
from tests.crowds.crowd_case import FRONT, CrowdCase
from tests.crowds.machines import Limits, Machines

LARGE_CHUNK_BYTES = 65_536
LARGE_BODY_BYTES = 2_000_000
SMALL_CHUNK_BYTES = 16
MANY_TINY_CHUNKS = 20_000  #: of one byte
LAST_CHUNK_SIZE = b'%x\r\n' % LARGE_CHUNK_BYTES  #: of a chunk that is never whole
#: Sent on each connection twice a second, so that its body goes on faster than the slowest allowed.
TRICKLE = b'x' * 1000
HEAD_BYTES = 15_000
LARGEST_BODY_BYTES = 67_000_000


class UnfinishedBodiesTest(CrowdCase):
    # Bodies that stay just short of their end took all memory, and ordinary bodies were refused.
    def test_bodies_in_large_chunks_that_never_end(self):
        body = build_chunks(LARGE_BODY_BYTES, LARGE_CHUNK_BYTES)
        data = build_chunked_head('/deep/x') + body + LAST_CHUNK_SIZE
        self.run_crowd(lambda m: self.hold_open(m, 60, data, trickled=TRICKLE), Limits())

    # The same in chunks that each bring a few bytes.
    def test_bodies_in_small_chunks_that_never_end(self):
        body = build_chunks(LARGE_BODY_BYTES, SMALL_CHUNK_BYTES)
        data = build_chunked_head('/deep/x') + body + LAST_CHUNK_SIZE
        self.run_crowd(lambda m: self.hold_open(m, 60, data, trickled=TRICKLE, wait=15.0), Limits())

    # A part of a body takes far more memory than the few bytes in it.
    def test_bodies_in_chunks_of_one_byte_that_never_end(self):
        data = build_chunked_head('/deep/x') + build_chunks(MANY_TINY_CHUNKS, 1)
        chunk = build_chunks(1, 1)
        self.run_crowd(lambda m: self.hold_open(m, 100, data, trickled=chunk, wait=10.0), Limits())

    # A body reserved its whole length with its head, and the next ones found no memory left.
    def test_bodies_that_are_announced_and_not_sent(self):
        limits = Limits()
        head = build_head('/deep/x', f'content-length: {limits.max_body_bytes}', method='POST')
        data = head + b'\r\n' + b'x' * 1000
        self.run_crowd(lambda m: self.hold_open(m, 60, data, trickled=TRICKLE), limits)

    # A header of four bytes takes thirty times as much once it is parsed.
    def test_heads_of_tiny_headers_that_never_end(self):
        headers = b''.join(b'%c%c:\r\n' % (65 + n % 26, 97 + n % 25) for n in range(3000))
        data = build_head('/deep/x') + headers[:HEAD_BYTES]
        self.run_crowd(lambda m: self.hold_open(m, 400, data, trickled=b'a:\r\n'), Limits())

    # Whole requests with large heads were held while the target was busy with others.
    def test_requests_with_large_heads_that_wait_for_the_target(self):
        data = build_request('/deep/wait/2000', b'', 'x-padding: ' + 'p' * HEAD_BYTES) * 16
        self.run_crowd(lambda m: self.hold_open(m, 300, data), Limits())

    # Calls with bodies from several nodes took a target's node over its memory.
    def test_bodies_from_several_machines_for_one_target(self):
        async def scenario(machines: Machines) -> None:
            senders = [name for name in machines.all if name.endswith('front')]
            req = build_request('/deep/wait/1000', b'x' * 8_000_000)
            crowds = [Crowd(machines.all[name].outbound) for name in senders]
            await asyncio.gather(*(crowd.send(4, req) for crowd in crowds))
            await self.check_answered(machines)
            for crowd in crowds:
                await crowd.__aexit__()

        services = ['front', 'deep', 'front', 'front', 'front']
        self.run_crowd(scenario, Limits(max_body_bytes=1 << 23), services)


class LoneBodyTest(CrowdCase):
    def check_served(self, parts: list[bytes], size: int, limits: Limits) -> None:
        async def scenario(machines: Machines) -> None:
            answer = await exchange(machines.all[FRONT].outbound, parts)
            self.assertTrue(answer.is_success, answer)
            (target,) = (m.target for m in machines.all.values() if m.target.service == 'deep')
            self.assertIn(size, target.body_sizes.values())

        self.run_crowd(scenario, limits)

    # One upload of the largest size took several times its size at each node on its way.
    def test_a_lone_body_of_the_largest_size_is_served_on_a_small_machine(self):
        req = build_request('/deep/x', b'x' * LARGEST_BODY_BYTES)
        limits = Limits(memory_mb=200, max_body_bytes=1 << 26)
        self.check_served([req], LARGEST_BODY_BYTES, limits)

    # The same for a body whose size is known at its end only.
    def test_a_lone_body_of_the_largest_size_in_chunks_is_served_on_a_small_machine(self):
        size = LARGEST_BODY_BYTES // LARGE_CHUNK_BYTES * LARGE_CHUNK_BYTES
        chunks = build_chunks(size, LARGE_CHUNK_BYTES)
        limits = Limits(memory_mb=200, max_body_bytes=1 << 26)
        self.check_served([build_chunked_head('/deep/x'), chunks, b'0\r\n\r\n'], size, limits)

    # A body within the limits was refused for the size of its chunks, with a status that is final.
    def test_a_lone_body_in_very_small_chunks_is_served(self):
        chunks = build_chunks(MANY_TINY_CHUNKS, 1)
        parts = [build_chunked_head('/deep/x'), chunks, b'0\r\n\r\n']
        self.check_served(parts, MANY_TINY_CHUNKS, Limits())

    # A head within the limits has the same right, however many headers it has.
    def test_a_lone_request_with_a_head_of_the_largest_size_is_served(self):
        headers = [f'x{number}:' for number in range(2000)]
        parts = [build_request('/deep/x', b'x' * 100, *headers)]
        self.check_served(parts, 100, Limits())
