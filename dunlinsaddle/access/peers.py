"""The gossip as the transport and membership view of the quota protocol."""

from collections.abc import Callable
from typing import Any

from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.agent import GossipAgent
from dunlinsaddle.membership.messages import LoanMessage, QuotaMessage
from dunlinsaddle.membership.view import MemberView, State

#: Seconds for which a node declared dead may still lend on the other side of a network partition.
#: After that the remaining nodes lend its share.
RECENTLY_DEAD_SECONDS = 60.0


class GossipPeers(LoopBound):
    """Sends quota messages to other nodes as gossip datagrams."""

    def __init__(
        self, agent: GossipAgent, view: MemberView, count_unreached: Callable[[], int]
    ) -> None:
        self.agent = agent
        self.view = view
        #: Returns how many nodes are listed in the rosters and have not answered.
        self.count_unreached = count_unreached

    def live_nodes(self) -> tuple[list[str], float]:
        """Return the nodes that are not gone, and the share of all nodes surely reachable."""
        live = [m for m in self.view.members() if not m.is_gone]
        # Suspected nodes count as unreachable immediately. When a fleet is partitioned, half of it
        # is suspected long before it is declared dead, and until then both sides lend.
        suspected = sum(m.state is State.SUSPECT for m in live)
        missing = max(self._count_recently_dead(), self.count_unreached())
        share = (len(live) - suspected) / max(len(live) + missing, 1)
        return [m.instance for m in live], share

    def message_header(self) -> dict[str, Any]:
        """Return the message fields that identify the sender."""
        return self.agent.gossip.message_header()

    def send(self, instance: str, message: QuotaMessage | LoanMessage) -> None:
        """Send a datagram, which may get lost."""
        member = self.view.find(instance)
        if member is not None:
            self.agent.send(member.gossip, message)

    def _count_recently_dead(self) -> int:
        now = self.now()
        tombstones = self.agent.gossip.tombstones
        return sum(
            m.state is State.DEAD and tombstones.age(now, m.instance) < RECENTLY_DEAD_SECONDS
            for m in tombstones.members()
        )
