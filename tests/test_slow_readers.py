"""Peers that read slowly, over real sockets with small windows, and peers that have gone."""

import asyncio
import ctypes
import math
import socket
import struct

from testtools import TestCase

from dunlinsaddle.calls.held_memory import HeldMemory
from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse
from dunlinsaddle.calls.inbound.accepted_connection import CONNECTION_COST_BYTES
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.calls.keepalive import UNACKED_TIMEOUT_MILLISECONDS
from dunlinsaddle.calls.messages import CALL_COST_BYTES
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.connection import Answered
from dunlinsaddle.policy.peer_progress import (
    MIN_STALL_SECONDS,
    SILENT_SECONDS,
    PeerProgress,
    SendState,
    Verdict,
)
from dunlinsaddle.settings import Address

ANY_ADDRESS = Address('127.0.0.1', 0)
ANSWER_BYTES = 36_000
UNREAD_LIMIT_BYTES = 20 * ANSWER_BYTES
WINDOW_BYTES = 4096  #: receive buffer of a slow reader
PAUSE_SECONDS = 4.5  #: longer than the kernel's timeout and its first check
IDLE_SECONDS = 15.0
#: The kernel's timeout, and a second for its retransmissions and the interval of the watch.
MAX_FOUND_SECONDS = UNACKED_TIMEOUT_MILLISECONDS / 1000 + 1.0
SO_ATTACH_FILTER = 26  #: of Linux; not in the standard library
REQUEST = b'GET / HTTP/1.1\r\nhost: h\r\n\r\n'
CLOSING_REQUEST = b'GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n'


async def connect_slowly(address: Address) -> socket.socket:
    """Open a connection with a small receive window."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (address.host, address.port))
    return sock


def vanish(sock: socket.socket) -> None:
    """Have the kernel drop all packets that arrive at a socket, by a filter that accepts none."""
    accept_nothing = ctypes.create_string_buffer(struct.pack('HBBI', 0x06, 0, 0, 0))
    program = struct.pack('HxxxxxxP', 1, ctypes.addressof(accept_nothing))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


async def read_slowly(sock: socket.socket, size: int, pause: float = 0.0) -> int:
    """Read up to ``size`` bytes at 8 kB a second after a pause; return the bytes that came."""
    loop, count = asyncio.get_running_loop(), 0
    await asyncio.sleep(pause)
    try:
        while count < size:
            data = await loop.sock_recv(sock, 65536 if pause else 800)
            if not data:
                break
            count += len(data)
            await asyncio.sleep(0 if pause else 0.1)
    except ConnectionError:
        pass
    return count


class SlowCallerTest(TestCase):
    async def start(self, *, useful_seconds: float = math.inf, limit: float = math.inf) -> None:
        """Start a listener that answers each request with a large body."""

        async def respond(req: HttpRequest) -> HttpResponse:
            until = asyncio.get_running_loop().time() + useful_seconds
            return HttpResponse(200, [], bytes(ANSWER_BYTES), until)

        self.not_taken: list[str] = []
        self.listener = HttpListener(
            respond,
            HttpLimits(idle_timeout=IDLE_SECONDS),
            pipeline=16,
            held_memory=HeldMemory(limit),
            on_not_taken=lambda remote, why, size: self.not_taken.append(why),
        )
        self.address = await self.listener.listen(ANY_ADDRESS)

    async def call(self, request: bytes, size: int, pause: float = 0.0) -> int:
        sock = await connect_slowly(self.address)
        try:
            await asyncio.get_running_loop().sock_sendall(sock, request)
            return await read_slowly(sock, size, pause)
        finally:
            sock.close()

    # Callers that read steadily or paused for some seconds lost answers that were ready.
    def test_slow_callers_get_whole_answers(self):
        async def scenario() -> list[int]:
            await self.start()
            calls = [self.call(REQUEST, ANSWER_BYTES), self.call(CLOSING_REQUEST, ANSWER_BYTES)]
            calls += [
                self.call(REQUEST * 2, 2 * ANSWER_BYTES, PAUSE_SECONDS),
                self.call(CLOSING_REQUEST, ANSWER_BYTES, PAUSE_SECONDS),
            ]
            sizes = await asyncio.gather(*calls)
            self.listener.close()
            return sizes

        sizes = asyncio.run(scenario())
        expected = [ANSWER_BYTES * count for count in (1, 1, 2, 1)]
        self.assertTrue(all(s >= e for s, e in zip(sizes, expected, strict=True)), sizes)

    # A caller that reads nothing kept its connection and the answers, if it had a request open.
    def test_caller_that_reads_nothing_is_let_go_after_its_deadline(self):
        async def scenario() -> tuple[list[str], int]:
            await self.start(useful_seconds=MIN_STALL_SECONDS + 1.0)
            sock = await connect_slowly(self.address)
            await asyncio.get_running_loop().sock_sendall(sock, REQUEST * 400)
            await asyncio.sleep(MIN_STALL_SECONDS)
            before = len(self.listener.connections)
            await asyncio.sleep(3.0)
            left = len(self.listener.connections)
            sock.close()
            self.listener.close()
            return self.not_taken, before - left

        self.assertEqual((['stalled'], 1), asyncio.run(scenario()))

    # Answers that had waited behind a slow one were counted while their connection was open.
    def test_answers_that_were_taken_do_not_count(self):
        async def scenario() -> tuple[float, float]:
            await self.start()
            respond, seconds = self.listener.handler, iter((0.2, 0.0))

            async def respond_late(req: HttpRequest) -> HttpResponse:
                await asyncio.sleep(next(seconds))
                return await respond(req)

            self.listener.handler = respond_late
            reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
            writer.write(REQUEST * 2)
            await reader.readexactly(2 * ANSWER_BYTES)
            memory = self.listener.held_memory
            await asyncio.sleep(0.1)
            held = memory.held
            writer.close()
            self.listener.close()
            return memory.most_held, held

        # The answer that is written keeps the one behind it waiting; then both are gone.
        most_held, held = asyncio.run(scenario())
        beside = CONNECTION_COST_BYTES + 2 * CALL_COST_BYTES
        self.assertTrue(ANSWER_BYTES <= most_held <= ANSWER_BYTES + beside, most_held)
        self.assertEqual(CONNECTION_COST_BYTES, held)

    # Hundreds of callers that read nothing made the node hold their answers without a bound.
    def test_memory_of_unread_answers_is_bounded(self):
        async def scenario() -> tuple[float, int]:
            await self.start(limit=UNREAD_LIMIT_BYTES)
            socks = [await connect_slowly(self.address) for _ in range(40)]
            for sock in socks:
                await asyncio.get_running_loop().sock_sendall(sock, REQUEST * 400)
            await asyncio.sleep(1.0)
            for sock in socks:
                sock.close()
            self.listener.close()
            return self.listener.held_memory.most_held, self.not_taken.count('memory')

        most_held, ended = asyncio.run(scenario())
        self.assertLessEqual(most_held, UNREAD_LIMIT_BYTES)
        self.assertGreater(ended, 0)


class VanishedCallerTest(TestCase):
    """Callers whose sockets drop all packets that arrive, as behind a cut."""

    async def start(self) -> Address:
        async def respond(req: HttpRequest) -> HttpResponse:
            if req.path == '/vanish':
                vanish(self.sock)
            return HttpResponse(200, [], bytes(ANSWER_BYTES))

        self.listener = HttpListener(respond, HttpLimits(idle_timeout=IDLE_SECONDS))
        return await self.listener.listen(ANY_ADDRESS)

    async def seconds_until_found(self) -> float:
        """Return how long the listener keeps the connection of a caller that has vanished."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for _ in range(300):
            if not self.listener.connections:
                break
            await asyncio.sleep(0.05)
        self.sock.close()
        self.listener.close()
        return loop.time() - started_at

    # The timeout was lifted for callers that had gone, and their connections stayed for longer.
    def test_caller_that_vanishes_in_a_pause_is_found_within_seconds(self):
        async def scenario(pause: float) -> float:
            self.sock = await connect_slowly(await self.start())
            await asyncio.get_running_loop().sock_sendall(self.sock, REQUEST)
            await asyncio.sleep(pause)
            vanish(self.sock)
            return await self.seconds_until_found()

        seconds = [asyncio.run(scenario(pause)) for pause in (0.3, 2.0, PAUSE_SECONDS)]
        self.assertLess(max(seconds), MAX_FOUND_SECONDS, seconds)

    # It sends its request again, as it gets no acknowledgement: that was taken for a sign of life.
    def test_caller_that_vanishes_before_its_answer_is_found_within_seconds(self):
        async def scenario() -> float:
            address, loop = await self.start(), asyncio.get_running_loop()
            self.sock = socket.create_connection((address.host, address.port))
            self.sock.setblocking(False)
            for request in (REQUEST, REQUEST.replace(b' / ', b' /vanish ')):
                await loop.sock_sendall(self.sock, request)
                if request is REQUEST:
                    await read_slowly(self.sock, ANSWER_BYTES, 0.1)
            return await self.seconds_until_found()

        self.assertLess(asyncio.run(scenario()), MAX_FOUND_SECONDS)


class SlowTargetTest(TestCase):
    # A target that read an upload slowly lost its connection, and the upload its answer.
    def test_slow_target_gets_a_whole_body(self):
        async def scenario() -> object:
            async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await asyncio.sleep(PAUSE_SECONDS)
                await reader.readexactly(ANSWER_BYTES * 200)
                writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')

            listening = socket.socket()
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            listening.bind(('127.0.0.1', 0))
            server = await asyncio.start_server(accept, sock=listening, limit=WINDOW_BYTES)
            client = HttpClient()
            req = HttpRequest('POST', '/', [], bytes(ANSWER_BYTES * 200), '')
            result = await client.send(Address('127.0.0.1', listening.getsockname()[1]), req, 14.0)
            client.close()
            server.close()
            return result

        self.assertIsInstance(asyncio.run(scenario()), Answered)


def alive(undelivered: int = 1000, delivered: int = 0, silent: float = 0.1) -> SendState:
    return SendState(undelivered, delivered, silent)


class PeerProgressTest(TestCase):
    def judge(self, *states: SendState, until: float = math.inf) -> list[Verdict]:
        """Return the verdicts on states that are half a second apart."""
        progress = PeerProgress(0.0)
        return [
            progress.judge(number / 2, state, until, IDLE_SECONDS)
            for number, state in enumerate(states)
        ]

    def test_timeout_is_lifted_once_for_a_peer_that_acknowledges(self):
        verdicts = self.judge(alive(), alive(), alive(), SendState(0))
        self.assertEqual([Verdict.WAIT, Verdict.SLOW, Verdict.WAIT, Verdict.DELIVERED], verdicts)

    # The kernel's timeout was lifted for a peer that had gone, and its calls waited for minutes.
    def test_timeout_stays_for_a_peer_that_does_not_acknowledge(self):
        silent = [SendState(1000, 0, 1.0 + number / 2, is_in_flight=True) for number in range(9)]
        self.assertEqual({Verdict.WAIT}, set(self.judge(*silent)))

    # Where the kernel does not say what a peer acknowledges, its timeout is all there is.
    def test_timeout_stays_where_the_kernel_says_nothing(self):
        self.assertEqual({Verdict.WAIT}, set(self.judge(*[SendState(1000)] * 6)))

    # Packets of a peer that got none of ours arrived, and it was taken for a slow one.
    def test_slow_peer_that_acknowledges_no_data_in_flight_is_found(self):
        heard = SendState(1000, 0, 0.1, is_in_flight=True)
        verdicts = self.judge(alive(), alive(), *[heard] * 7)
        self.assertEqual(SILENT_SECONDS, (verdicts.index(Verdict.GONE) - 2) / 2)

    # A peer that vanished while its window was closed was not found any more.
    def test_slow_peer_that_vanishes_is_found_within_the_timeout(self):
        silent = [SendState(1000, 0, number / 2, True) for number in range(1, 8)]
        verdicts = self.judge(alive(), alive(), *silent)
        found_after = silent[verdicts.index(Verdict.GONE) - 2].silent_seconds
        self.assertLessEqual(found_after, UNACKED_TIMEOUT_MILLISECONDS / 1000)

    # The probes of a closed window become rare: the time between two was taken for silence.
    def test_peer_is_not_gone_between_two_probes_of_its_window(self):
        quiet = [SendState(1000, 0, number / 2) for number in range(1, 12)]
        probe = SendState(1000, 0, 6.0, True)
        verdicts = self.judge(alive(), alive(), *quiet, probe, alive())
        self.assertNotIn(Verdict.GONE, verdicts)

    # A caller that read steadily was cut at its idle timeout, counted from the latest answer.
    def test_peer_that_takes_data_is_never_stalled(self):
        states = [alive(100_000 - 100 * number, 100 * number) for number in range(200)]
        self.assertNotIn(Verdict.STALLED, self.judge(*states, until=1.0))

    def test_peer_that_takes_nothing_is_given_up_after_its_deadline(self):
        verdicts = self.judge(*[alive()] * 40, until=6.0)
        self.assertEqual(6.0, verdicts.index(Verdict.STALLED) / 2)
        verdicts = self.judge(*[alive()] * 40)
        self.assertEqual(IDLE_SECONDS, verdicts.index(Verdict.STALLED) / 2)
