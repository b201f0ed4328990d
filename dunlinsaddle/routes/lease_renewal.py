"""Renews a node's proof that no newer configuration is there, for few calls to the store."""

import asyncio
import math
from random import Random

from dunlinsaddle.access.configuration_lease import ConfigurationLease
from dunlinsaddle.loops import OnLoop
from dunlinsaddle.membership.coordinators import StoreWatchers
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.routes.config_follower import ConfigFollower

RENEWAL_INTERVAL_SECONDS = 0.25  #: between two decisions whom to ask
#: Age in seconds from which the first watcher of a domain asks the store for a proof. It bounds
#: the calls to the store: one a second for each domain.
STORE_POLL_AGE_SECONDS = 0.9
#: Seconds that each further watcher waits longer than the one before it, so that it asks only
#: where that one fails.
WATCHER_STAGGER_SECONDS = 0.4
#: Age from which a node asks its domain's first watcher, whose proof is mostly younger.
PEER_POLL_AGE_SECONDS = 0.7
#: Age that no proof reaches while one of the domain's watchers is served by the store.
OVERDUE_AGE_SECONDS = (
    STORE_POLL_AGE_SECONDS + 2 * WATCHER_STAGGER_SECONDS + RENEWAL_INTERVAL_SECONDS
)
#: Seconds for which a node leaves the store alone that did not answer it.
STORE_RETRY_SECONDS = 1.0


class LeaseRenewer(OnLoop):
    """Renews the lease on a node's configuration, by question and answer.

    A proof is as old as the question that it answers. So the watches, which wait for seconds on
    purpose, are of no use here, and a short question goes to the store besides. Its answer is
    handed on with its age to whoever asks. When the watchers' proofs are overdue, as the store
    turns just those away, a node asks anybody, and in turn the store itself: about one node of a
    domain a round, however large it is, so that a store in trouble is not flooded.
    """

    def __init__(
        self,
        follower: ConfigFollower,
        configuration_lease: ConfigurationLease,
        view: MemberView,
        watchers: StoreWatchers,
        instance: str,
        rng: Random,
    ) -> None:
        self.follower = follower
        self.configuration_lease = configuration_lease
        self.view = view
        self.watchers = watchers
        self.instance = instance
        self.rng = rng
        self._refused_at = -math.inf

    async def run(self) -> None:
        """Ask until cancelled, while callers are let in by keys."""
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_SECONDS * self.rng.uniform(0.8, 1.2))
            if (
                self.follower.requires_keys
                and self.configuration_lease.age >= PEER_POLL_AGE_SECONDS
            ):
                await self._renew()

    async def _renew(self) -> None:
        if self._asks_store():
            if not await self.follower.poll_store():
                self._refused_at = self.now()
            return
        age = self.configuration_lease.age
        if age >= OVERDUE_AGE_SECONDS:
            await self._ask([m for m in self.view.members() if not m.is_gone])
        elif age >= STORE_POLL_AGE_SECONDS + WATCHER_STAGGER_SECONDS:
            await self._ask(self.watchers.members())
        else:
            await self._ask(self.watchers.members()[:1])

    def _asks_store(self) -> bool:
        if self.now() - self._refused_at < STORE_RETRY_SECONDS:
            return False
        age = self.configuration_lease.age
        for place, member in enumerate(self.watchers.members()):
            if member.instance == self.instance:
                return age >= STORE_POLL_AGE_SECONDS + place * WATCHER_STAGGER_SECONDS
        return age >= OVERDUE_AGE_SECONDS and self._falls_to_us()

    def _falls_to_us(self) -> bool:
        near = sum(m.domain == self.watchers.domain and not m.is_gone for m in self.view.members())
        return self.rng.random() * near < 1

    async def _ask(self, members: list[Member]) -> None:
        others = [m for m in members if m.instance != self.instance]
        if others:
            await self.follower.ask_peer(self.rng.choice(others))
