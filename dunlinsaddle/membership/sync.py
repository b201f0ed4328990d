"""Digests of a view, by which two nodes find where their views differ."""

import functools
from random import Random

import xxhash

from dunlinsaddle.membership.tuning import GossipSizes, GossipTimes
from dunlinsaddle.membership.view import Member, MemberView, State
from dunlinsaddle.settings import Address

BUCKETS = 64  #: digests of 4 bytes each, so that a comparison takes one datagram


@functools.lru_cache(maxsize=8192)
def bucket_of(instance: str) -> int:
    """Give the bucket of an instance."""
    return xxhash.xxh32_intdigest(instance.encode()) % BUCKETS


def digests_of(view: MemberView) -> list[int]:
    """Give a number of 32 bits for each bucket, equal where the views are equal.

    The dead are left out, as each node concludes and forgets them at a time of its own; the
    suspected count as alive, as suspicions come and go faster than views are compared.
    """
    digests = [0] * BUCKETS
    for member in view.members():
        if member.gone:
            continue
        draining = member.state == State.DRAINING
        word = f'{member.instance}:{member.incarnation}:{draining:d}'
        digests[bucket_of(member.instance)] ^= xxhash.xxh32_intdigest(word.encode())
    return digests


def pages_order(view: MemberView, differing: set[int], rng: Random) -> list[Member]:
    """Give the members of differing buckets, whole buckets one after the other.

    In an order of our own: a fresh node that asks several at once hears few words twice, and
    asks no more for the buckets that it has in full.
    """
    order = rng.sample(sorted(differing), len(differing))
    places = {bucket: place for place, bucket in enumerate(order)}
    members = [m for m in view.members() if bucket_of(m.instance) in differing]
    # The budget may end within a bucket; its rest must not be the same each time.
    rng.shuffle(members)
    members.sort(key=lambda m: places[bucket_of(m.instance)])
    return members


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

    def again_if_young(self, now: float) -> None:
        """Turn again soon while this node has only just met the others."""
        if now < self._young_until:
            self._joining = True
            self.at = min(self.at, now + self.times.sync_again)

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
