"""When a node compares its view with others, and what it tells of what differs."""

from collections.abc import Iterator
from itertools import islice, takewhile
from random import Random

from dunlinsaddle.membership.departed import Departed
from dunlinsaddle.membership.messages import PAGE_BYTES, Sync, Word, size_of, word_of
from dunlinsaddle.membership.rumors import Budget
from dunlinsaddle.membership.tuning import GossipSizes, GossipTimes
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.pieces import cut_pieces
from dunlinsaddle.settings import Address


class Exchange:
    """What a node tells one whose view differs from its own."""

    def __init__(
        self,
        view: MemberView,
        rng: Random,
        budget: Budget,
        departed: Departed,
        sizes: GossipSizes,
    ) -> None:
        self.view = view
        self.rng = rng
        self.budget = budget
        self.departed = departed
        self.sizes = sizes

    def differing(self, sync: Sync) -> set[int]:
        """Give the buckets that differ from those of the sender."""
        mine = self.view.digests.numbers()
        if len(sync.digests) != len(mine):
            return set()
        return {i for i, digest in enumerate(mine) if digest != sync.digests[i]}

    def pages(self, now: float, differing: set[int]) -> Iterator[list[Word]]:
        """Give words on the members of these buckets, a message each, as the budget allows."""
        members = self._in_order(differing)
        words = (word_of(m, age=self.departed.age(now, m.instance)) for m in members)
        pages = islice(cut_pieces(words, size_of, PAGE_BYTES), self.sizes.pages)
        return takewhile(lambda page: self.budget.spend(sum(map(size_of, page))), pages)

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


class SyncTurns:
    """When a node compares its view with others next, and with whom."""

    def __init__(self, rng: Random, times: GossipTimes, sizes: GossipSizes) -> None:
        self.rng = rng
        self.times = times
        self.sizes = sizes
        self.at = 0.0
        self.seeds: set[Address] = set()
        self._contacts: set[Address] = set()
        self._young_until = 0.0
        self._joining = False

    @property
    def count(self) -> int:
        """How many members are asked at the next turn."""
        return self.sizes.join if self._joining else 1

    def contact(self, now: float, addresses: set[Address]) -> None:
        """Turn soon, also to these."""
        self._contacts |= addresses
        if self._contacts:
            self.at = now

    def join(self, now: float) -> None:
        """Turn now, to several: much may have been missed."""
        self._joining = True
        self.at = now

    def again_if_young(self, now: float, differing: int) -> None:
        """Turn again soon while this node has only just met the others.

        Several are asked only while much of the view differs, in ``differing`` buckets. Among
        hundreds some member always changes, so that some bucket always differs: each node of a
        fleet that had just started asked six others twice a second for its first minute.
        """
        if now >= self._young_until:
            return
        if differing >= self.sizes.much:
            self._joining = True
            self.at = min(self.at, now + self.times.sync_again)
        else:
            self.at = min(self.at, now + self.times.sync_young)

    def take(self, now: float, me: Address, others: list[Address]) -> list[Address]:
        """Give whom to ask at this turn, and set the next; ``others`` are ``count`` members."""
        self._joining = False
        if not others:
            self._young_until = now + self.times.young
            self._contacts |= self.seeds - {me}
        few = self.rng.sample(sorted(self._contacts), min(len(self._contacts), self.sizes.relays))
        self._contacts.clear()
        period = self.times.sync if others else self.times.probe
        self.at = now + period * self.rng.uniform(0.8, 1.2)
        return [*others, *few]
