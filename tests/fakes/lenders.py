"""Nodes that lend each other quotas, on a network that is late, loses messages and is cut."""

import asyncio
from collections import defaultdict
from random import Random
from typing import Any

from result import Ok

from dunlinsaddle.access.quotas import QuotaCoordinator
from dunlinsaddle.membership.messages import QuotaMessage
from dunlinsaddle.policy.quota import QuotaLedger
from dunlinsaddle.routes.models import Organisation, Quota
from dunlinsaddle.settings import Address

SLACK = 20.0
OVERAGE = 0.1
WINDOW = 5.0
DEAD_AFTER = 5.0  #: seconds after which the others hold a silent node dead
SUSPECT_AFTER = 2.5  #: seconds after which half of a cut fleet is suspected by the rest
BOOT = 0.3  #: seconds in which a restarted node meets the others


class FakePeers:
    def __init__(self, fleet: 'LendingFleet', name: str) -> None:
        self.fleet = fleet
        self.name = name

    def live_nodes(self) -> tuple[list[str], float]:
        return self.fleet.seen_by(self.name)

    def message_header(self) -> dict[str, Any]:
        return {'sender': self.name, 'reply_to': Address('127.0.0.1', 1)}

    def send(self, instance: str, message: QuotaMessage) -> None:
        self.fleet.send(self.name, instance, message)


class LendingFleet:
    """Nodes, the views that they have of each other, and what ran where and when."""

    def __init__(self, count: int, seed: int, organisations: list[Organisation]) -> None:
        self.rng = Random(seed)
        self.names = [f'n{i:03}' for i in range(count)]
        self.organisations = {org.name: org for org in organisations}
        self.down: dict[str, float] = {}  #: since when
        self.frozen: set[str] = set()
        self.sides: dict[str, int] = {}  #: those of another side are not reached
        self.cut_at = self.frozen_at = 0.0
        self.started: dict[str, float] = dict.fromkeys(self.names, -60.0)
        self.loss = 0.0
        self.delay = (0.0003, 0.002)
        self.messages = 0
        self.ran: dict[str, list[float]] = defaultdict(list)
        self.asked: dict[str, list[float]] = defaultdict(list)
        self.refused = 0
        self.nodes: dict[str, QuotaCoordinator] = {}
        for name in self.names:
            self._make(name)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def _make(self, name: str) -> None:
        ledger = QuotaLedger(SLACK, WINDOW, OVERAGE)
        node = QuotaCoordinator(name, FakePeers(self, name), ledger, self.organisations.get)
        self.nodes[name] = node
        node.on_members_change()

    def seen_by(self, name: str) -> tuple[list[str], float]:
        now = self.now()
        if now - self.started[name] < BOOT:
            met = int((now - self.started[name]) / BOOT * len(self.names))
            return [name, *self.names[:met]], 1.0
        silent = {n: self._silence(name, n, now) for n in self.names}
        there = [n for n in self.names if silent[n] <= DEAD_AFTER]
        sure = sum(silence <= SUSPECT_AFTER for silence in silent.values())
        return there, sure / len(self.names)

    def _silence(self, name: str, other: str, now: float) -> float:
        if other in self.down:
            return now - self.down[other]
        if other in self.frozen:
            return now - self.frozen_at
        if self.sides.get(name, 0) != self.sides.get(other, 0):
            return now - self.cut_at
        return 0.0

    def reached(self, sender: str, to: str) -> bool:
        return to not in self.down and self.sides.get(sender, 0) == self.sides.get(to, 0)

    def send(self, sender: str, to: str, message: QuotaMessage) -> None:
        self.messages += 1
        if sender in self.down or not self.reached(sender, to) or self.rng.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.rng.uniform(*self.delay), self._deliver, sender, to, message)

    def _deliver(self, sender: str, to: str, message: QuotaMessage) -> None:
        if to in self.frozen:
            # It reads what has come when it goes on.
            asyncio.get_running_loop().call_later(0.05, self._deliver, sender, to, message)
        elif self.reached(sender, to):
            self.nodes[to].handle_message(message)

    def kill(self, name: str) -> None:
        self.down[name] = self.now()

    def restart(self, name: str) -> None:
        self.down.pop(name, None)
        self.started[name] = self.now()
        self._make(name)

    def freeze(self, names: set[str]) -> None:
        self.frozen |= names
        self.frozen_at = self.now()

    def cut(self, sides: dict[str, int]) -> None:
        self.sides = sides
        self.cut_at = self.now()

    async def tell_members(self) -> None:
        """Let all nodes look at each other now and then, as their gossip would."""
        while True:
            await asyncio.sleep(0.2)
            for node in self.nodes.values():
                node.on_members_change()

    async def request(self, entry: str, name: str) -> None:
        org = self.organisations[name]
        sent = self.now()
        self.asked[name].append(sent)
        node = self.nodes[entry]
        taken = await node.acquire(org)
        if entry in self.down or self.nodes[entry] is not node:
            return
        if isinstance(taken, Ok):
            self.ran[name].append(sent)
        else:
            self.refused += 1

    async def load(self, name: str, rate: float, seconds: float) -> None:
        """Send requests of an organisation at random nodes that are up."""
        end = self.now() + seconds
        sends = []
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            if self.now() >= end:
                break
            entry = self.rng.choice(self.names)
            if entry not in self.down and entry not in self.frozen:
                sends.append(asyncio.ensure_future(self.request(entry, name)))
        await asyncio.gather(*sends)

    def excess(self, name: str) -> float:
        """Give by how much the worst window goes beyond what the users allow."""
        quota = self.organisations[name].quota
        assert quota is not None
        allowed = (quota.rate * WINDOW + quota.burst) * (1 + OVERAGE) + SLACK
        return most_within(self.ran[name], WINDOW) - allowed


def most_within(times: list[float], seconds: float) -> int:
    """Give the most of these times that lie in one span."""
    times = sorted(times)
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] > seconds:
            first += 1
        most = max(most, last - first + 1)
    return most


def organisation(name: str, rate: float) -> Organisation:
    return Organisation(name, frozenset(), None, Quota(rate, rate))
