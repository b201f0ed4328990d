"""Datagrams in memory: between transports on a loop, and between bare state machines."""

import asyncio
import heapq
import weakref
from collections import Counter
from collections.abc import Callable
from random import Random

from dunlinsaddle.membership.messages import MessageCodec
from dunlinsaddle.membership.protocol import GossipProtocol, OutgoingMessage
from dunlinsaddle.membership.transport import DatagramHandler, Transport
from dunlinsaddle.membership.tuning import GossipTimes
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.settings import Address

FIRST_PORT = 40_000


class FakeNetwork:
    """All transports opened on one loop."""

    def __init__(self) -> None:
        self.receivers: dict[Address, DatagramHandler] = {}
        self.opened = 0
        self.unreachable: set[Address] = set()  #: nothing gets from or to these

    def send(self, sender: Address, to: Address, data: bytes) -> None:
        receiver = self.receivers.get(to)
        if receiver is not None and not self.unreachable & {sender, to}:
            asyncio.get_running_loop().call_later(0.001, receiver, data)


_networks: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, FakeNetwork] = (
    weakref.WeakKeyDictionary()
)


class FakeTransport:
    def __init__(self, network: FakeNetwork, address: Address) -> None:
        self.network = network
        self.address = address

    def send(self, to: Address, data: bytes) -> None:
        self.network.send(self.address, to, data)

    def close(self) -> None:
        self.network.receivers.pop(self.address, None)


def current_network() -> FakeNetwork:
    """Give the network of the running loop."""
    return _networks.setdefault(asyncio.get_running_loop(), FakeNetwork())


async def open_in_memory(address: Address, receiver: DatagramHandler) -> Transport:
    network = current_network()
    network.opened += 1
    if address.port == 0:
        address = address._replace(port=FIRST_PORT + network.opened)
    network.receivers[address] = receiver
    return FakeTransport(network, address)


class GossipSimulation:
    """Many state machines, a clock that jumps, and a network that can be cut.

    Every message is sealed and opened, so that its bytes are those on the wire.
    """

    def __init__(self, seed: int = 11, times: GossipTimes | None = None) -> None:
        self.rng = Random(seed)
        self.times = times or GossipTimes()
        self.now = 0.0
        self.nodes: dict[str, GossipProtocol] = {}
        self.paused: set[str] = set()
        self.loss = 0.0
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.sent_bytes: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()
        self.recorded: list[bytes] = []
        self.recording = False
        self._names: dict[Address, str] = {}
        self._events: list[tuple[float, int, str, bytes | None]] = []
        self._count = 0
        self._codec = MessageCodec('a-key-for-tests')

    def add_node(
        self, name: str, *, domain: str = 'bangor-hall', incarnation: int = 1
    ) -> GossipProtocol:
        address = Address('127.0.0.1', FIRST_PORT + len(self._names))
        me = Member(name, incarnation, State.ALIVE, domain, 'cut-orders', address, address)
        node = GossipProtocol(MemberView(), Random(self.rng.random()), self.times)
        node.start(self.now, me)
        self.nodes[name] = node
        self._names[address] = name
        self._push(self.now + self.rng.random() * self.times.tick_interval, name, None)
        return node

    def add_nodes(self, count: int, domains: int = 1) -> None:
        """Add members that all know each other already."""
        for i in range(count):
            self.add_node(f'n{i:03}', domain=f'domain-{i % domains}')
        mes = [node.me for node in self.nodes.values()]
        for node in self.nodes.values():
            for me in mes:
                node.view.merge(me)
            node.rumors = type(node.rumors)(node.limits.extra_transmissions)

    def kill(self, name: str) -> None:
        del self.nodes[name]

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, name, data = heapq.heappop(self._events)
            self._step(name, data)
        self.now = end

    def run_until(self, done: Callable[[], bool], limit: float, step: float = 0.25) -> float:
        """Run until something holds; gives the time it took, or fails."""
        began = self.now
        while not done():
            if self.now - began > limit:
                raise AssertionError(f'not within {limit} s')
            self.run(step)
        return self.now - began

    def count_states(self, name: str) -> Counter[State | None]:
        """Count what the others hold of one member."""
        found = (n.view.find(name) for k, n in self.nodes.items() if k != name)
        return Counter(m.state if m else None for m in found)

    def all_alive(self) -> bool:
        """Whether every node holds every other alive."""
        for node in self.nodes.values():
            for name in self.nodes:
                held = node.view.find(name)
                if held is None or held.state != State.ALIVE:
                    return False
        return True

    def replay(self, data: bytes, to: str) -> None:
        self._push(self.now, to, data)

    def _step(self, name: str, data: bytes | None) -> None:
        if data is None and name in self.nodes:
            self._push(self.now + self.times.tick_interval, name, None)
        node = self.nodes.get(name)
        if node is None or name in self.paused:
            return
        if data is None:
            self.send(name, node.tick(self.now))
            return
        message = self._codec.decode(data)
        assert message is not None
        self.send(name, node.receive(self.now, message))

    def send(self, sender: str, outgoing: list[OutgoingMessage]) -> None:
        for to, message in outgoing:
            data = self._codec.encode(message)
            self.sent[sender] += 1
            self.sent_bytes[sender] += len(data)
            if self.recording:
                self.recorded.append(data)
            name = self._names.get(to, '')
            lost = self.loss and self.rng.random() < self.loss
            if not lost and not self.is_cut(sender, name):
                self._push(self.now + self.rng.uniform(0.001, 0.004), name, data)

    def _push(self, at: float, name: str, data: bytes | None) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, name, data))
