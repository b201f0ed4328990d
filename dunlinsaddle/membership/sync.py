"""Digests of a view, by which two nodes find where their views differ."""

import functools

import xxhash

from dunlinsaddle.membership.view import MemberView, State

BUCKETS = 64


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
