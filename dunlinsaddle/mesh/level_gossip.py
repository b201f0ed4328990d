"""Gossip of the level that the local target admits, sent while the target refuses requests."""

import asyncio

from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.agent import GossipAgent
from dunlinsaddle.policy.context import LOWEST_LEVEL
from dunlinsaddle.policy.level import STALE_AFTER_SECONDS, ChainLevels, ReportedLevel
from dunlinsaddle.policy.slots import SlotAdmission

#: Half of the time after which a learned level counts as stale, so that a node that misses one
#: message gets the next in time.
GOSSIP_INTERVAL_SECONDS = STALE_AFTER_SECONDS / 2
#: Rounds in which the level is still sent after the target admits everything again, so that nodes
#: that refuse its requests stop at once.
TRAILING_ROUNDS = 2


class LevelGossip(LoopBound):
    """Sends the admitted level to other nodes, and records the levels that they send.

    Nodes also learn levels from replies. An ingress that gets few requests, or that refuses the
    requests whose replies would carry the level, does not know the current level and admits
    requests that are refused further down. In a simulation with a level that admits half of the
    requests (`tests/test_level_gossip.py`), an ingress with five requests per second admitted 0.40
    of the excess requests and one with one per second 0.82; with this gossip both admit 0.02.

    Nothing is sent while nothing is refused.
    """

    def __init__(self, agent: GossipAgent, admission: SlotAdmission, levels: ChainLevels) -> None:
        self.agent = agent
        self.admission = admission
        self.levels = levels
        self._rounds_left = 0

    async def run(self) -> None:
        """Send the level each round until cancelled."""
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_SECONDS)
            if self.admission.has_rate_limit:
                # Other targets of the service may have capacity; replies show whether they do.
                continue
            level = self.admission.level
            if level < LOWEST_LEVEL:
                # The level is otherwise updated on calls, and none arrive while every ingress
                # refuses all requests.
                level = self.admission.load(self.now()).level
                self._rounds_left = TRAILING_ROUNDS
            elif self._rounds_left:
                self._rounds_left -= 1
            else:
                continue
            self.agent.send_level(level)

    def receive(self, service: str, level: float) -> None:
        """Record the level that another node sent for its target."""
        self.levels.record_level(self.now(), service, ReportedLevel(level))
