"""Selection of watchers, push trees and exchange peers by rendezvous hashing."""

from collections.abc import Iterable

from dunlinsaddle.membership.coordinators import rendezvous_score
from dunlinsaddle.membership.view import Member

WATCHER_COUNT = 2  #: per failure domain; two, as one may have failed without being detected yet
FANOUT = 6  #: children of a node in a push tree; its depth is log6 of the members of a domain
NEIGHBOUR_COUNT = 3  #: fixed peers in the same failure domain, and as many in others


def watchers(domain: str, names: Iterable[str]) -> list[str]:
    """Return the instances that should watch the platform for a failure domain.

    Nodes with the same view select the same instances. Nodes with different views may select
    different ones, which only changes the number of watchers.
    """
    return sorted(names, key=lambda name: rendezvous_score(domain, name))[:WATCHER_COUNT]


def children(root: str, names: Iterable[str], instance: str) -> list[str]:
    """Return the children of an instance in the push tree rooted at ``root``.

    >>> names = [f'n{i}' for i in range(9)]
    >>> len(children('n0', names, 'n0'))
    6
    >>> len({c for n in names for c in children('n0', names, n)})
    8
    """
    ordered = [root, *sorted({*names} - {root}, key=lambda name: rendezvous_score(root, name))]
    if instance not in ordered:
        return []
    first_index = FANOUT * ordered.index(instance) + 1
    return ordered[first_index : first_index + FANOUT]


def neighbours(local_member: Member, others: Iterable[Member]) -> list[Member]:
    """Return a few peers, always the same ones, so that few links have to stay open."""
    ordered = sorted(others, key=lambda m: rendezvous_score(local_member.instance, m.instance))
    same_domain = [m for m in ordered if m.domain == local_member.domain]
    other_domains = [m for m in ordered if m.domain != local_member.domain]
    return same_domain[:NEIGHBOUR_COUNT] + other_domains[:NEIGHBOUR_COUNT]
