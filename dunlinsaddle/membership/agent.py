"""Runs the gossip state machine on the loop."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from dunlinsaddle.membership.messages import AnyMessage, MessageCodec, QuotaMessage
from dunlinsaddle.membership.protocol import GossipProtocol, OutgoingMessage
from dunlinsaddle.membership.transport import Transport, TransportFactory
from dunlinsaddle.membership.tuning import GossipLimits, GossipTimes
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.settings import Address


@dataclass
class GossipCounters:
    """What gossip took on the wire; bytes without the headers of UDP and IP."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    rejected: int = 0


class GossipAgent:
    """One node's part in the gossip."""

    def __init__(
        self,
        view: MemberView,
        key: str,
        rng: Random,
        seeds: Iterable[Address] = (),
        times: GossipTimes = GossipTimes(),  # noqa: B008
        sizes: GossipLimits = GossipLimits(),  # noqa: B008
    ) -> None:
        self.gossip = GossipProtocol(view, rng, times, sizes)
        self.gossip.sync_schedule.seeds.update(seeds)
        self.counters = GossipCounters()
        self.on_quota_message: Callable[[QuotaMessage], None] = lambda message: None
        self.rng = rng
        self._codec = MessageCodec(key)
        self._transport: Transport
        self._started = False

    async def listen(self, opener: TransportFactory, address: Address) -> Address:
        """Start to listen; gives the address in use. Raises OSError when it is taken."""
        self._transport = await opener(address, self._receive)
        return self._transport.address

    def start(self, me: Member) -> None:
        """Begin to take part, with the word on oneself."""
        self.gossip.start(self._now(), me)
        self._started = True

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self._send(self.gossip.tick(self._now()))
            await asyncio.sleep(self.gossip.times.tick_interval)

    def announce(self, me: Member) -> None:
        """Spread a changed word on oneself at once."""
        self.gossip.announce(me)
        self._send(self.gossip.send_rumors())

    def announce_configuration(self, version: int, members: Iterable[Member]) -> None:
        """Tell others at once that this node holds a newer configuration."""
        self._send(self.gossip.announce_configuration(version, members))

    def send_level(self, level: float) -> None:
        """Tell some others the level that the target beside this node admits."""
        self._send(self.gossip.send_level(level))

    def send(self, to: Address, message: AnyMessage) -> None:
        """Send a message to one member, once this node takes part."""
        if self._started:
            self._send([OutgoingMessage(to, message)])

    def leave(self) -> None:
        """Say goodbye and stop."""
        if self._started:
            self._send(self.gossip.leave())
            self._started = False
        self._transport.close()

    def _receive(self, data: bytes) -> None:
        self.counters.received += 1
        self.counters.received_bytes += len(data)
        message = self._codec.decode(data)
        if message is None:
            self.counters.rejected += 1
        elif isinstance(message, QuotaMessage):
            self.on_quota_message(message)
        elif self._started:
            self._send(self.gossip.receive(self._now(), message))

    def _send(self, sends: list[OutgoingMessage]) -> None:
        for to, message in sends:
            data = self._codec.encode(message)
            self.counters.sent += 1
            self.counters.sent_bytes += len(data)
            self._transport.send(to, data)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
