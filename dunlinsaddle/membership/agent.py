"""Runs the gossip protocol on the event loop and connects it to a transport."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from dunlinsaddle.membership.messages import AnyMessage, LoanMessage, MessageCodec, QuotaMessage
from dunlinsaddle.membership.protocol import GossipProtocol, OutgoingMessage
from dunlinsaddle.membership.transport import Transport, TransportFactory
from dunlinsaddle.membership.tuning import GossipLimits, GossipTimes
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.settings import Address


@dataclass
class GossipCounters:
    """Counts gossip messages and their bytes, without UDP and IP headers."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    rejected: int = 0


class GossipAgent:
    """Sends and receives gossip messages for one node."""

    def __init__(
        self,
        view: MemberView,
        key: str,
        rng: Random,
        seeds: Iterable[Address] = (),
        times: GossipTimes = GossipTimes(),  # noqa: B008
        limits: GossipLimits = GossipLimits(),  # noqa: B008
    ) -> None:
        self.gossip = GossipProtocol(view, rng, times, limits)
        self.gossip.sync_schedule.seeds.update(seeds)
        self.counters = GossipCounters()
        self.on_quota_message: Callable[[QuotaMessage], None] = lambda message: None
        self.on_loan_message: Callable[[LoanMessage], None] = lambda message: None
        self.rng = rng
        self._codec = MessageCodec(key)
        self._transport: Transport
        self._started = False

    async def listen(self, open_transport: TransportFactory, address: Address) -> Address:
        """Start listening and return the bound address. Raises OSError if it is in use."""
        self._transport = await open_transport(address, self._receive)
        return self._transport.address

    def start(self, me: Member) -> None:
        """Join the gossip as ``me``."""
        self.gossip.start(self._now(), me)
        self._started = True

    async def run(self) -> None:
        """Run the periodic work of the protocol until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(self.gossip.times.tick_interval)

    def tick(self) -> None:
        """Perform the periodic work that is due without waiting for the next interval."""
        self._send(self.gossip.tick(self._now()))

    def announce(self, me: Member) -> None:
        """Publish a change of this node's own member entry immediately."""
        is_new_target = bool(me.service) and me.service != self.gossip.me.service
        self.gossip.announce(me)
        self._send(self.gossip.announce_target() if is_new_target else self.gossip.send_rumors())

    def introduce_target(self, member: Member) -> None:
        """Tell a member that was unknown so far of the target beside this node."""
        self._send(self.gossip.introduce_target(member))

    def announce_configuration(self, version: int, members: Iterable[Member]) -> None:
        """Announce at once that this node holds a newer configuration."""
        self._send(self.gossip.announce_configuration(version, members))

    def send_level(self, level: float) -> None:
        """Send the admission level of the local target to some other nodes."""
        self._send(self.gossip.send_level(level))

    def send(self, to: Address, message: AnyMessage) -> None:
        """Send a message to one member, if this node has started."""
        if self._started:
            self._send([OutgoingMessage(to, message)])

    def leave(self) -> None:
        """Announce that this node leaves and close the transport."""
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
        elif isinstance(message, LoanMessage):
            self.on_loan_message(message)
        elif isinstance(message, QuotaMessage):
            self.on_quota_message(message)
        elif self._started:
            self._send(self.gossip.receive(self._now(), message))

    def _send(self, outgoing: list[OutgoingMessage]) -> None:
        for to, message in outgoing:
            data = self._codec.encode(message)
            self.counters.sent += 1
            self.counters.sent_bytes += len(data)
            self._transport.send(to, data)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
