"""Runs the gossip state machine on the loop."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from dunlinsaddle.membership.messages import AnyMessage, QuotaMessage, Sealer
from dunlinsaddle.membership.protocol import Gossip, Send
from dunlinsaddle.membership.transport import Opener, Transport
from dunlinsaddle.membership.tuning import GossipSizes, GossipTimes
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.settings import Address


@dataclass
class GossipCounts:
    """What gossip took on the wire; bytes without the headers of UDP and IP."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    refused: int = 0


class GossipAgent:
    """One node's part in the gossip."""

    def __init__(
        self,
        view: MemberView,
        key: str,
        rng: Random,
        seeds: Iterable[Address] = (),
        times: GossipTimes = GossipTimes(),  # noqa: B008
        sizes: GossipSizes = GossipSizes(),  # noqa: B008
    ) -> None:
        self.gossip = Gossip(view, rng, times, sizes)
        self.gossip.turns.seeds.update(seeds)
        self.counts = GossipCounts()
        self.on_quota: Callable[[QuotaMessage], None] = lambda message: None
        self.rng = rng
        self._sealer = Sealer(key)
        self._transport: Transport
        self._started = False

    async def listen(self, opener: Opener, address: Address) -> Address:
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
            await asyncio.sleep(self.gossip.times.tick)

    def announce(self, me: Member) -> None:
        """Spread a changed word on oneself at once."""
        self.gossip.announce(me)
        self._send(self.gossip.spread())

    def tell_news(self, version: int, members: Iterable[Member]) -> None:
        """Tell others at once that this node holds a newer configuration."""
        self._send(self.gossip.tell_news(version, members))

    def tell_level(self, level: float) -> None:
        """Tell some others the level that the target beside this node admits."""
        self._send(self.gossip.tell_level(level))

    def send(self, to: Address, message: AnyMessage) -> None:
        """Send a message to one member, once this node takes part."""
        if self._started:
            self._send([Send(to, message)])

    def leave(self) -> None:
        """Say goodbye and stop."""
        if self._started:
            self._send(self.gossip.leave())
            self._started = False
        self._transport.close()

    def _receive(self, data: bytes) -> None:
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        message = self._sealer.open(data)
        if message is None:
            self.counts.refused += 1
        elif isinstance(message, QuotaMessage):
            self.on_quota(message)
        elif self._started:
            self._send(self.gossip.receive(self._now(), message))

    def _send(self, sends: list[Send]) -> None:
        for to, message in sends:
            data = self._sealer.seal(message)
            self.counts.sent += 1
            self.counts.sent_bytes += len(data)
            self._transport.send(to, data)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
