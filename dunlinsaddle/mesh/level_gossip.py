"""Tells other nodes the level that the target beside this one admits, while it refuses some."""

import asyncio

from dunlinsaddle.loops import OnLoop
from dunlinsaddle.membership.agent import GossipAgent
from dunlinsaddle.policy.context import LOWEST_LEVEL
from dunlinsaddle.policy.level import STALE_AFTER_SECONDS, ChainLevels, ReportedLevel
from dunlinsaddle.policy.slots import SlotAdmission

#: Seconds between two rounds, half of the time after which a learned level counts as stale: an
#: entry that misses one word still has the next in time.
GOSSIP_INTERVAL_SECONDS = STALE_AFTER_SECONDS / 2
#: Rounds in which an open level is still told, so that those who refuse hear of it at once.
TRAILING_ROUNDS = 2


class LevelGossip(OnLoop):
    """Keeps entries informed that get few requests, or refuse all that would bring them news.

    Of the requests beyond a level that admits half, 0.40 began in vain at an entry with five
    requests a second, 0.82 with one; with it 0.02 (simulated, `tests/test_level_news.py`). Nothing
    is told while nothing is refused.
    """

    def __init__(self, agent: GossipAgent, admission: SlotAdmission, levels: ChainLevels) -> None:
        self.agent = agent
        self.admission = admission
        self.levels = levels
        self._rounds_left = 0

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_SECONDS)
            if self.admission.has_rate_limit:
                # Others of the service may have room, and replies tell entries whether they do.
                continue
            level = self.admission.level
            if level < LOWEST_LEVEL:
                # Where entries refuse everything no call comes that would let it be decided anew.
                level = self.admission.load(self.now()).level
                self._rounds_left = TRAILING_ROUNDS
            elif self._rounds_left:
                self._rounds_left -= 1
            else:
                continue
            self.agent.tell_level(level)

    def receive(self, service: str, level: float) -> None:
        """Take what another node told of the target beside it."""
        self.levels.record_level(self.now(), service, ReportedLevel(level))
