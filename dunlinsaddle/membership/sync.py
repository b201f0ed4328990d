"""Anti-entropy: comparison of a node's view with those of other nodes."""

from collections.abc import Iterator
from itertools import islice, takewhile
from random import Random

from dunlinsaddle.batches import split_into_batches
from dunlinsaddle.membership.messages import (
    SYNC_PAGE_BYTES,
    MemberUpdate,
    Sync,
    encoded_size,
    update_of,
)
from dunlinsaddle.membership.rumors import ByteBudget
from dunlinsaddle.membership.tombstones import Tombstones
from dunlinsaddle.membership.tuning import GossipLimits, GossipTimes
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.settings import Address


class SyncResponder:
    """Builds the updates for a node whose view differs from the local one."""

    def __init__(
        self,
        view: MemberView,
        rng: Random,
        budget: ByteBudget,
        tombstones: Tombstones,
        limits: GossipLimits,
    ) -> None:
        self.view = view
        self.rng = rng
        self.budget = budget
        self.tombstones = tombstones
        self.limits = limits

    def differing_buckets(self, sync: Sync) -> set[int]:
        """Return the buckets that differ from those of the sender."""
        own_digests = self.view.digests.values()
        if len(sync.digests) != len(own_digests):
            return set()
        return {i for i, digest in enumerate(own_digests) if digest != sync.digests[i]}

    def build_pages(self, now: float, differing: set[int]) -> Iterator[list[MemberUpdate]]:
        """Return the updates of these buckets, one list per message, within the byte budget."""
        members = self._members_in_random_order(differing)
        updates = (update_of(m, age=self.tombstones.age(now, m.instance)) for m in members)
        pages = islice(
            split_into_batches(updates, encoded_size, SYNC_PAGE_BYTES), self.limits.max_sync_pages
        )
        return takewhile(lambda page: self.budget.try_spend(sum(map(encoded_size, page))), pages)

    def _members_in_random_order(self, differing: set[int]) -> Iterator[Member]:
        """Return the members of differing buckets, one bucket after the other.

        The order is random at each node, so that a new node that syncs with several nodes at once
        receives few updates twice. Buckets that it has completely are not requested again.
        """
        for bucket in self.rng.sample(sorted(differing), len(differing)):
            members = list(self.view.digests.members(bucket))
            # The budget may run out within a bucket; each time other members should be left out.
            self.rng.shuffle(members)
            yield from members


class SyncSchedule:
    """Decides when a node syncs next, and with which nodes."""

    def __init__(self, rng: Random, times: GossipTimes, limits: GossipLimits) -> None:
        self.rng = rng
        self.times = times
        self.limits = limits
        self.next_at = 0.0
        self.seeds: set[Address] = set()
        self._contacts: set[Address] = set()
        self._joining_until = 0.0
        self._sync_with_several = False

    @property
    def peer_count(self) -> int:
        """Number of members to sync with in the next round."""
        return self.limits.join_sync_fanout if self._sync_with_several else 1

    def add_contacts(self, now: float, addresses: set[Address]) -> None:
        """Sync now, also with these addresses."""
        self._contacts |= addresses
        if self._contacts:
            self.next_at = now

    def schedule_join(self, now: float) -> None:
        """Sync with several members now, because many updates may have been missed."""
        self._sync_with_several = True
        self.next_at = now

    def resync_if_joining(self, now: float, differing: int) -> None:
        """Schedule another sync soon if this node joined recently.

        ``differing`` is the number of differing buckets. The node syncs with several members only
        if many buckets differ. Among hundreds of members some bucket always differs: without this
        threshold, each node of a newly started fleet synced with six others twice per second for
        its first minute.
        """
        if now >= self._joining_until:
            return
        if differing >= self.limits.join_threshold_buckets:
            self._sync_with_several = True
            self.next_at = min(self.next_at, now + self.times.join_sync_interval)
        else:
            self.next_at = min(self.next_at, now + self.times.slow_join_sync_interval)

    def next_peers(self, now: float, me: Address, members: list[Address]) -> list[Address]:
        """Return the addresses to sync with now, and schedule the next round.

        ``members`` are ``peer_count`` members chosen at random.
        """
        self._sync_with_several = False
        if not members:
            self._joining_until = now + self.times.join_period
            self._contacts |= self.seeds - {me}
        contacts = self.rng.sample(
            sorted(self._contacts), min(len(self._contacts), self.limits.indirect_probes)
        )
        self._contacts.clear()
        period = self.times.sync_interval if members else self.times.probe_interval
        self.next_at = now + period * self.rng.uniform(0.8, 1.2)
        return [*members, *contacts]
