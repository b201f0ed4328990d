"""The other nodes, as the lenders of quotas see them."""

from collections.abc import Callable
from typing import Any

from dunlinsaddle.loops import OnLoop
from dunlinsaddle.membership.agent import GossipAgent
from dunlinsaddle.membership.messages import QuotaMessage
from dunlinsaddle.membership.view import MemberView, State

#: Seconds for which a dead node counts as one that may still lend behind a cut. Later it is taken
#: as gone, and the others lend what was its part.
RECENTLY_DEAD_SECONDS = 60.0


class GossipPeers(OnLoop):
    """Speaks to the others by the datagrams of the gossip."""

    def __init__(
        self, agent: GossipAgent, view: MemberView, count_unreached: Callable[[], int]
    ) -> None:
        self.agent = agent
        self.view = view
        self.count_unreached = (
            count_unreached  #: how many are listed in the rosters and have not answered
        )

    def live_nodes(self) -> tuple[list[str], float]:
        """Give the nodes that are not gone, and what share of all are surely in touch."""
        there = [m for m in self.view.members() if not m.is_gone]
        # Suspicions count at once: of a fleet that is cut in two, half are suspected long before
        # they are held dead, and both halves lend meanwhile.
        suspected = sum(m.state is State.SUSPECT for m in there)
        missing = max(self._count_recently_dead(), self.count_unreached())
        share = (len(there) - suspected) / max(len(there) + missing, 1)
        return [m.instance for m in there], share

    def message_header(self) -> dict[str, Any]:
        """Give the fields of a message that say who sends it."""
        return self.agent.gossip.message_header()

    def send(self, instance: str, message: QuotaMessage) -> None:
        """Send a datagram, which may get lost."""
        member = self.view.find(instance)
        if member is not None:
            self.agent.send(member.gossip, message)

    def _count_recently_dead(self) -> int:
        now = self.now()
        departed = self.agent.gossip.tombstones
        return sum(
            m.state is State.DEAD and departed.age(now, m.instance) < RECENTLY_DEAD_SECONDS
            for m in departed.members()
        )
