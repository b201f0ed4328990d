"""Renews the lease on a node's configuration with few calls to the store.

The age of the lease at the watchers bounds how late a change may be.
docs/design/configuration.md weighs the ways.
"""

import asyncio
import math
from random import Random

from dunlinsaddle.access.configuration_lease import ConfigurationLease
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.coordinators import StoreWatchers
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.routes.config_follower import ConfigFollower

RENEWAL_INTERVAL_SECONDS = 0.25  #: between two checks whether a renewal is due
#: Lease age in seconds from which the first watcher of a failure domain calls the store. It bounds
#: the calls to the store: one a second for each domain.
STORE_POLL_AGE_SECONDS = 0.9
#: Seconds that each further watcher waits longer than the one before it, so that it calls the
#: store only if that one fails.
WATCHER_STAGGER_SECONDS = 0.4
#: Lease age from which a node asks its domain's first watcher, whose lease is usually younger.
PEER_POLL_AGE_SECONDS = 0.7
#: Lease age that is not reached while the store answers one of the domain's watchers.
OVERDUE_AGE_SECONDS = (
    STORE_POLL_AGE_SECONDS + 2 * WATCHER_STAGGER_SECONDS + RENEWAL_INTERVAL_SECONDS
)
#: Shortest time between two calls of a node to a store that does not answer it.
STORE_RETRY_SECONDS = 1.0


class LeaseRenewer(LoopBound):
    """Renews the configuration lease by asking the store or other nodes.

    A renewal is valid as of the time when its request was sent. A watch may be answered only after
    seconds, or never, which looks the same as no change. So watchers also send short requests to
    the store, whatever became of their watch. They pass the renewal on, with its age, to every node
    that asks. If the renewals of all watchers are overdue, for instance because the store refuses
    only them, a node asks any other node or the store. In each round about one node of a failure
    domain asks the store, however large the domain is, so that an overloaded store is not flooded.
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
        self._unanswered_call_at = -math.inf

    async def run(self, members_known_at: float = -math.inf) -> None:
        """Renew the lease until cancelled, at watchers and where callers need keys.

        Before ``members_known_at`` the node doesn't know whether it is a watcher.
        """
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_SECONDS * self.rng.uniform(0.8, 1.2))
            if self._needs_lease(members_known_at):
                await self._renew_if_due()

    def _needs_lease(self, members_known_at: float) -> bool:
        if not self.follower.version:
            # The first call of a node that starts may be one that is never answered.
            return self.follower.is_answer_overdue
        if self.follower.requires_keys:
            return True
        return self.now() >= members_known_at and self.watchers.includes(self.instance)

    async def _renew_if_due(self) -> None:
        age = self.configuration_lease.age
        if age < PEER_POLL_AGE_SECONDS:
            return
        if self._should_ask_store():
            called_at = self.now()
            if not await self.follower.poll_store():
                self._unanswered_call_at = called_at
            return
        if age >= OVERDUE_AGE_SECONDS:
            await self._ask([m for m in self.view.members() if not m.is_gone])
        elif age >= STORE_POLL_AGE_SECONDS + WATCHER_STAGGER_SECONDS:
            await self._ask(self.watchers.members())
        else:
            await self._ask(self.watchers.members()[:1])

    def _should_ask_store(self) -> bool:
        if self.now() - self._unanswered_call_at < STORE_RETRY_SECONDS:
            return False
        age = self.configuration_lease.age
        for index, member in enumerate(self.watchers.members()):
            if member.instance == self.instance:
                return age >= STORE_POLL_AGE_SECONDS + index * WATCHER_STAGGER_SECONDS
        return age >= OVERDUE_AGE_SECONDS and self._is_randomly_chosen()

    def _is_randomly_chosen(self) -> bool:
        domain_size = sum(
            m.domain == self.watchers.domain and not m.is_gone for m in self.view.members()
        )
        return self.rng.random() * domain_size < 1

    async def _ask(self, members: list[Member]) -> None:
        others = [m for m in members if m.instance != self.instance]
        if others:
            await self.follower.ask_peer(self.rng.choice(others))
