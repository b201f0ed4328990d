"""In-memory networks: for transports on an event loop, and a simulation of gossip protocols."""

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
    """Connects all transports opened on one event loop."""

    def __init__(self) -> None:
        self.receivers: dict[Address, DatagramHandler] = {}
        self.open_count = 0
        self.unreachable: set[Address] = set()  #: messages from and to these are dropped

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
    """Return the network of the running event loop."""
    return _networks.setdefault(asyncio.get_running_loop(), FakeNetwork())


async def open_in_memory(address: Address, receiver: DatagramHandler) -> Transport:
    network = current_network()
    network.open_count += 1
    if address.port == 0:
        address = address._replace(port=FIRST_PORT + network.open_count)
    network.receivers[address] = receiver
    return FakeTransport(network, address)


class GossipSimulation:
    """Simulates many nodes with a virtual clock and a network that can lose messages and partition.

    Every message is encoded and decoded, so that its size is that on the wire.
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
        self._event_count = 0
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
        """Add nodes that all know each other already."""
        for i in range(count):
            self.add_node(f'n{i:03}', domain=f'domain-{i % domains}')
        members = [node.me for node in self.nodes.values()]
        for node in self.nodes.values():
            for member in members:
                node.view.merge(member)
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
        """Run until ``done`` holds and return the seconds it took; fail after ``limit``."""
        started_at = self.now
        while not done():
            if self.now - started_at > limit:
                raise AssertionError(f'not within {limit} s')
            self.run(step)
        return self.now - started_at

    def count_states(self, name: str) -> Counter[State | None]:
        """Count the states of one member in the views of the others."""
        entries = (n.view.find(name) for other, n in self.nodes.items() if other != name)
        return Counter(m.state if m else None for m in entries)

    def all_alive(self) -> bool:
        """Return whether every node considers every other node alive."""
        for node in self.nodes.values():
            for name in self.nodes:
                member = node.view.find(name)
                if member is None or member.state != State.ALIVE:
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

    def _push(self, time: float, name: str, data: bytes | None) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (time, self._event_count, name, data))
