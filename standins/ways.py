"""Compares transports between two nodes, with a call of 400 bytes and its reply on loopback.

Each transport has its own server process. Calls are sent one after another, with a pause.
"""

import argparse
import asyncio
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable

import pynng
from hdrh.histogram import HdrHistogram

from dunlinsaddle.calls.frames import LinkLimits
from dunlinsaddle.calls.http import HttpLimits, HttpRequest, HttpResponse
from dunlinsaddle.calls.inbound.listener import HttpListener
from dunlinsaddle.calls.inbound.peer_server import PeerServer
from dunlinsaddle.calls.messages import Call, Reply
from dunlinsaddle.calls.outbound.client import HttpClient
from dunlinsaddle.calls.outbound.link import PeerLinks
from dunlinsaddle.errors import Outcome
from dunlinsaddle.settings import Address, parse_address
from standins.demo import print_line
from standins.fleet import PEER_KEY, START_TIMEOUT_SECONDS, Process
from standins.latency import MAX_MICROSECONDS, SIGNIFICANT_DIGITS, process_cpu_seconds

BODY = b'x' * 400
ANY_PORT = Address('127.0.0.1', 0)
CALLS_PER_SECOND = 300.0
WARM_UP_CALLS = 100

Send = Callable[[], Awaitable[object]]


async def _echo_http(req: HttpRequest) -> HttpResponse:
    return HttpResponse(200, [], req.body)


async def _echo_call(call: Call) -> Reply:
    return Reply(0, 200, [], call.body, Outcome.DONE)


async def _echo_pynng(rep: pynng.Rep0) -> None:
    while True:
        await rep.asend(await rep.arecv())


def _free_address() -> Address:
    with socket.create_server(ANY_PORT) as sock:
        return Address(*sock.getsockname())


async def serve(transport: str) -> None:
    """Print the address, and serve until SIGTERM."""
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    match transport:
        case 'h11':
            address = await HttpListener(_echo_http, HttpLimits()).listen(ANY_PORT)
        case 'frames':
            address = await PeerServer(PEER_KEY, _echo_call, LinkLimits()).listen(ANY_PORT)
        case _:
            address = _free_address()
            echo_task = asyncio.create_task(_echo_pynng(pynng.Rep0(listen=f'tcp://{address}')))
            echo_task.add_done_callback(lambda _: stop.set())
    print_line(str(address))
    await stop.wait()


def build_sender(transport: str, address: Address) -> Send:
    """Return a function that sends a call and waits for its reply."""
    match transport:
        case 'h11':
            client = HttpClient()
            req = HttpRequest('POST', '/x', [], BODY, '')
            return lambda: client.send(address, req, 5)
        case 'frames':
            links = PeerLinks(PEER_KEY, 'trial', LinkLimits())
            call = Call(0, 's', 'POST', '/x', [], BODY, 'r', 'c', 'x', 2, 5, 5.0, 0, 0, True)
            return lambda: links.call(address, call)
        case _:
            req0 = pynng.Req0(dial=f'tcp://{address}')

            async def send() -> object:
                await req0.asend(BODY)
                return await req0.arecv()

            return send


async def measure(transport: str, address: Address, count: int) -> HdrHistogram:
    """Send calls one after another, with a pause between them; return their latencies."""
    send = build_sender(transport, address)
    histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
    for number in range(count + WARM_UP_CALLS):
        started_at = time.perf_counter()
        await send()
        if number >= WARM_UP_CALLS:
            histogram.record_value(int((time.perf_counter() - started_at) * 1e6))
        await asyncio.sleep(1 / CALLS_PER_SECOND)
    return histogram


def main() -> None:
    """Measure every transport twice, or serve one of them."""
    parser = argparse.ArgumentParser(description='Compares transports between two nodes.')
    parser.add_argument('--listen', choices=('h11', 'frames', 'pynng'))
    parser.add_argument('--count', default=1000, type=int)
    args = parser.parse_args()
    if args.listen:
        asyncio.run(serve(args.listen))
        return
    print_line(f'{"way":<8}{"p50 us":>8}{"p99 us":>8}{"core us/call":>14}')
    for transport in ('h11', 'frames', 'pynng') * 2:
        proc = Process([sys.executable, '-m', 'standins.ways', '--listen', transport], {})
        address = parse_address(proc.stdout_lines.get(timeout=START_TIMEOUT_SECONDS))
        before = process_cpu_seconds(proc.popen.pid)
        histogram = asyncio.run(measure(transport, address, args.count))
        cpu_per_call = (process_cpu_seconds(proc.popen.pid) - before) / (args.count + WARM_UP_CALLS)
        proc.stop()
        p50, p99 = (histogram.get_value_at_percentile(q) for q in (50, 99))
        print_line(f'{transport:<8}{p50:>8}{p99:>8}{cpu_per_call * 1e6:>14.0f}')


if __name__ == '__main__':
    main()
