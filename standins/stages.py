"""Measures the CPU time of the stages of a call: ``python -m standins.stages``.

Everything runs in one process. The minimum of several rounds is reported, as other load on the
machine can only make a round slower. The caches are warm, unlike in a node that waits between
calls, so the results are only suitable for comparing two versions of the code.
"""

import argparse
import asyncio
import cProfile
import io
import logging
import socket
import time
from collections.abc import Callable
from random import Random

import h11

from dunlinsaddle.calls.frame_codec import LENGTH_PREFIX_BYTES, decode_frame, encode_frame
from dunlinsaddle.calls.http import HttpLimits
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.calls.messages import Call
from dunlinsaddle.environment import Environment
from dunlinsaddle.node import Node
from dunlinsaddle.policy.admission import Admission, Sample, Ticket
from dunlinsaddle.policy.level import AdmittedLevel
from dunlinsaddle.policy.route import Candidate, Router
from dunlinsaddle.records.models import ServiceRecord, VersionedRecord
from dunlinsaddle.settings import Address, read_settings
from standins.caller import Caller
from standins.demo import print_line
from standins.target import Target

ROUNDS = 12
RUNS_PER_ROUND = 300
CALL_ROUNDS = 200
CALLS_PER_ROUND = 8
LOOPBACK = Address('127.0.0.1', 0)
HEADERS = [(b'host', b'127.0.0.1:8080'), (b'content-length', b'0'), (b'accept', b'*/*')]
HEADER_LINES = b''.join(b'%s: %s\r\n' % header for header in HEADERS)
REQUEST = b'GET /templates/oak/1 HTTP/1.1\r\n' + HEADER_LINES + b'\r\n'
RESPONSE = b'HTTP/1.1 200 \r\ncontent-type: text/plain\r\ncontent-length: 40\r\n\r\n' + b'x' * 40

Stage = Callable[[], object]


def measure_stage(stage: Stage) -> float:
    """Return the CPU time of one run in microseconds, the minimum of all rounds."""
    best = float('inf')
    for _ in range(ROUNDS):
        started_at = time.process_time()
        for _ in range(RUNS_PER_ROUND):
            stage()
        best = min(best, time.process_time() - started_at)
    return best / RUNS_PER_ROUND * 1e6


def message_events(head: h11.Request | h11.Response, body: bytes) -> list[h11.Event]:
    """Return the events of a complete message; an empty body has no event."""
    if not body:
        return [head, h11.EndOfMessage()]
    return [head, h11.Data(data=body), h11.EndOfMessage()]


def h11_stages() -> dict[str, Stage]:
    """Parse and write a small message as server and as client, on persistent connections."""
    server, client = h11.Connection(h11.SERVER), h11.Connection(h11.CLIENT)

    def serve() -> None:
        server.receive_data(REQUEST)
        while not isinstance(server.next_event(), h11.EndOfMessage):
            pass
        headers = [(b'content-type', b'text/plain'), (b'content-length', b'40')]
        for event in message_events(h11.Response(status_code=200, headers=headers), b'x' * 40):
            server.send(event)
        server.start_next_cycle()

    def send() -> None:
        for event in message_events(h11.Request(method='GET', target='/', headers=HEADERS), b''):
            client.send(event)
        client.receive_data(RESPONSE)
        while not isinstance(client.next_event(), h11.EndOfMessage):
            pass
        client.start_next_cycle()

    return {'parse, write: h11 as server': serve, 'write, parse: h11 as client': send}


def link_stages() -> dict[str, Stage]:
    """Encode and decode a frame."""
    call = Call(
        1, 'templates', 'GET', '/oak/1', HEADERS, b'', 'id', '::1', 'r', 2, 5, 1.0, 1, 0, True
    )
    frame = bytes(encode_frame(call)[0][LENGTH_PREFIX_BYTES:])
    return {
        'forward: encode one Call': lambda: encode_frame(call),
        'forward: decode one Call': lambda: decode_frame(frame),
    }


def policy_stages() -> dict[str, Stage]:
    """Make the decisions on a call, and those of a periodic update."""
    admission, level, router = Admission(), AdmittedLevel(), Router('bangor-hall', Random(1))
    candidates = [Candidate(f'bangor-{n}', 'bangor-hall') for n in range(3)]
    now = 0.0
    number = 0

    def admit() -> None:
        nonlocal now, number
        number += 1
        now += 0.0001
        ticket = Ticket(number, 200, now, now + 5)
        admission.admit(now, ticket)
        admission.finish(now, ticket, Sample('default', 0.0001, completed=True))
        admission.dequeue(now)
        admission.load(now)

    def update_level() -> None:
        nonlocal now
        now += 0.11
        for slot in range(25):
            level.record_arrival(260 + slot)
        level.update(now, 200.0)

    def route() -> None:
        chosen = router.choose(now, candidates)
        assert chosen is not None
        router.record_sent(chosen.instance)
        router.record_answer(now, chosen.instance, None)

    return {
        'decide: admit, finish, load': admit,
        'decide: one update of the level (10 per second)': update_level,
        'decide: route among three': route,
    }


def loop_stages(loop: asyncio.AbstractEventLoop) -> dict[str, Stage]:
    """Make the system calls and the event loop calls of a message."""
    listener = socket.create_server(('127.0.0.1', 0))
    client_socket = socket.create_connection(listener.getsockname())
    server_socket, _ = listener.accept()

    def exchange() -> None:
        client_socket.send(RESPONSE)
        server_socket.recv(65536)

    return {
        'system: one send and recv over TCP': exchange,
        'loop: a timer set and cancelled': lambda: loop.call_later(10.0, print).cancel(),
        'loop: one task, two iterations': lambda: loop.run_until_complete(asyncio.sleep(0)),
    }


def build_node(name: str) -> Node:
    """Build a node that has no platform."""
    faces = dict.fromkeys(('callers', 'local', 'peers', 'operators', 'gossip'), str(LOOPBACK))
    flags = {
        'instance': name,
        'domain': 'bangor-hall',
        'platform': '127.0.0.1:9',
        'peer-key': 'a-key-for-trials',
        'operator-token': 'a-token-for-trials',
        **faces,
    }
    settings = read_settings(flags, {}).unwrap()
    silent = io.StringIO()
    env = Environment(stdout=silent, stderr=silent)
    node = Node(settings, env, logging.getLogger('standins.stages'))
    node.record_cache.update(VersionedRecord('templates', 1, ServiceRecord('templates', 2)))
    return node


async def measure_calls(caller: Caller, address: Address, path: str) -> float:
    """Return the mean CPU time of a call in one round, in microseconds."""
    started_at = time.process_time()
    for _ in range(CALLS_PER_ROUND):
        response = await caller.call(address, 'GET', path)
        assert response is not None and response.status == 200, response
    return (time.process_time() - started_at) / CALLS_PER_ROUND * 1e6


async def measure_whole_calls(profiler: cProfile.Profile | None) -> dict[str, float]:
    """Send calls directly to a target, through one node and through two; return the added time."""
    target_node, ingress_node = build_node('bangor-1'), build_node('menai-1')
    await target_node.start()
    await ingress_node.start()
    target = Target('bangor-1', 'templates', target_node.addresses.local, 140, 0.0, [])
    target_listener = HttpListener(target.handle, HttpLimits())
    address = await target_listener.listen(LOOPBACK)
    announce_task = asyncio.create_task(target.announce(address))
    await asyncio.sleep(0.5)
    ingress_node.view.merge(target_node.local_member())
    caller = Caller()
    paths = {
        'direct': (address, '/oak/1'),
        'one node': (target_node.addresses.callers, '/templates/oak/1'),
        'two nodes': (ingress_node.addresses.callers, '/templates/oak/1'),
    }
    best = dict.fromkeys(paths, float('inf'))
    if profiler is not None:
        profiler.enable()
    for _ in range(CALL_ROUNDS):
        for name, address_and_path in paths.items():
            best[name] = min(best[name], await measure_calls(caller, *address_and_path))
    if profiler is not None:
        profiler.disable()
    announce_task.cancel()
    caller.close()
    target_listener.close()
    for node in (ingress_node, target_node):
        await node.stop()
    return {f'{name}, added': best[name] - best['direct'] for name in ('one node', 'two nodes')}


def main() -> None:
    """Measure all stages, then whole calls."""
    parser = argparse.ArgumentParser(description='Measures the stages of a call.')
    parser.add_argument(
        '--profile', default='', help='file for the cProfile output of the whole calls'
    )
    args = parser.parse_args()
    with asyncio.Runner() as runner:
        loop = runner.get_loop()
        stages = {**h11_stages(), **link_stages(), **policy_stages(), **loop_stages(loop)}
        for name, stage in stages.items():
            print_line(f'{name:<46}{measure_stage(stage):>8.1f} us')
        for name, microseconds in runner.run(measure_whole_calls(None)).items():
            print_line(f'{name:<46}{microseconds:>8.1f} us')
        profiler = cProfile.Profile()
        runner.run(measure_whole_calls(profiler))
        # Unlike times, the number of function calls does not depend on the load of the machine.
        function_calls = sum(entry.callcount for entry in profiler.getstats()) / (
            CALL_ROUNDS * CALLS_PER_ROUND
        )
        print_line(f'{"function calls, one call on each of three paths":<46}{function_calls:>8.1f}')
        if args.profile:
            profiler.dump_stats(args.profile)


if __name__ == '__main__':
    main()
