"""When a node compares its view with others, and what it tells of what differs."""

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
    """What a node tells one whose view differs from its own."""

    def __init__(
        self,
        view: MemberView,
        rng: Random,
        budget: ByteBudget,
        tombstones: Tombstones,
        sizes: GossipLimits,
    ) -> None:
        self.view = view
        self.rng = rng
        self.budget = budget
        self.tombstones = tombstones
        self.sizes = sizes

    def differing_buckets(self, sync: Sync) -> set[int]:
        """Give the buckets that differ from those of the sender."""
        mine = self.view.digests.numbers()
        if len(sync.digests) != len(mine):
            return set()
        return {i for i, digest in enumerate(mine) if digest != sync.digests[i]}

    def build_pages(self, now: float, differing: set[int]) -> Iterator[list[MemberUpdate]]:
        """Give words on the members of these buckets, a message each, as the budget allows."""
        members = self._in_order(differing)
        words = (update_of(m, age=self.tombstones.age(now, m.instance)) for m in members)
        pages = islice(
            split_into_batches(words, encoded_size, SYNC_PAGE_BYTES), self.sizes.max_sync_pages
        )
        return takewhile(lambda page: self.budget.try_spend(sum(map(encoded_size, page))), pages)

    def _in_order(self, differing: set[int]) -> Iterator[Member]:
        """Give the members of differing buckets, whole buckets one after the other.

        In an order of our own: a fresh node that asks several at once hears few words twice,
        and asks no more for the buckets that it has in full.
        """
        for bucket in self.rng.sample(sorted(differing), len(differing)):
            members = list(self.view.digests.members(bucket))
            # The budget may end within a bucket; its rest must not be the same each time.
            self.rng.shuffle(members)
            yield from members


class SyncSchedule:
    """When a node compares its view with others next, and with whom."""

    def __init__(self, rng: Random, times: GossipTimes, sizes: GossipLimits) -> None:
        self.rng = rng
        self.times = times
        self.sizes = sizes
        self.next_at = 0.0
        self.seeds: set[Address] = set()
        self._contacts: set[Address] = set()
        self._joining_until = 0.0
        self._sync_with_several = False

    @property
    def peer_count(self) -> int:
        """How many members are asked at the next turn."""
        return self.sizes.join_sync_fanout if self._sync_with_several else 1

    def add_contacts(self, now: float, addresses: set[Address]) -> None:
        """Turn soon, also to these."""
        self._contacts |= addresses
        if self._contacts:
            self.next_at = now

    def schedule_join(self, now: float) -> None:
        """Turn now, to several: much may have been missed."""
        self._sync_with_several = True
        self.next_at = now

    def resync_if_joining(self, now: float, differing: int) -> None:
        """Turn again soon while this node has only just met the others.

        Several are asked only while much of the view differs, in ``differing`` buckets. Among
        hundreds some member always changes, so that some bucket always differs: each node of a
        fleet that had just started asked six others twice a second for its first minute.
        """
        if now >= self._joining_until:
            return
        if differing >= self.sizes.join_threshold_buckets:
            self._sync_with_several = True
            self.next_at = min(self.next_at, now + self.times.join_sync_interval)
        else:
            self.next_at = min(self.next_at, now + self.times.young_sync_interval)

    def next_peers(self, now: float, me: Address, others: list[Address]) -> list[Address]:
        """Return the addresses to sync with now, and schedule the next round.

        ``others`` are ``peer_count`` members chosen at random.
        """
        self._sync_with_several = False
        if not others:
            self._joining_until = now + self.times.join_period
            self._contacts |= self.seeds - {me}
        few = self.rng.sample(
            sorted(self._contacts), min(len(self._contacts), self.sizes.indirect_probes)
        )
        self._contacts.clear()
        period = self.times.sync_interval if others else self.times.probe_interval
        self.next_at = now + period * self.rng.uniform(0.8, 1.2)
        return [*others, *few]
