"""The other nodes, as the lenders of quotas see them."""

from collections.abc import Callable
from typing import Any

from dunlinsaddle.loops import OnLoop
from dunlinsaddle.membership.agent import GossipAgent
from dunlinsaddle.membership.messages import QuotaMessage
from dunlinsaddle.membership.view import MemberView, State

#: Seconds for which a dead node counts as one that may still lend behind a cut. Later it is taken
#: as gone, and the others lend what was its part.
MISSED_SECONDS = 60.0


class GossipPeers(OnLoop):
    """Speaks to the others by the datagrams of the gossip."""

    def __init__(self, agent: GossipAgent, view: MemberView, strangers: Callable[[], int]) -> None:
        self.agent = agent
        self.view = view
        self.strangers = strangers  #: how many are listed in the rosters and have not answered

    def present(self) -> tuple[list[str], float]:
        """Give the nodes that are not gone, and what share of all are surely in touch."""
        there = [m for m in self.view.members() if not m.gone]
        # Suspicions count at once: of a fleet that is cut in two, half are suspected long before
        # they are held dead, and both halves lend meanwhile.
        suspected = sum(m.state is State.SUSPECT for m in there)
        missing = max(self._missed(), self.strangers())
        share = (len(there) - suspected) / max(len(there) + missing, 1)
        return [m.instance for m in there], share

    def head(self) -> dict[str, Any]:
        """Give the fields of a message that say who sends it."""
        return self.agent.gossip.head()

    def send(self, instance: str, message: QuotaMessage) -> None:
        """Send a datagram, which may get lost."""
        member = self.view.find(instance)
        if member is not None:
            self.agent.send(member.gossip, message)

    def _missed(self) -> int:
        now = self.now()
        departed = self.agent.gossip.departed
        return sum(
            m.state is State.DEAD and departed.age(now, m.instance) < MISSED_SECONDS
            for m in departed.members()
        )
