"""Which members watch, and which pass records on to which: pure choices by rendezvous hash."""

from collections.abc import Iterable

from dunlinsaddle.membership.coordinators import rendezvous_score
from dunlinsaddle.membership.view import Member

WATCHER_COUNT = 2  #: per failure domain, so that one may die unnoticed
FANOUT = 6  #: pushes of one node down one tree; the time is that of log6 of a domain's members
NEIGHBOUR_COUNT = 3  #: fixed peers in the own failure domain, and as many elsewhere


def watchers(domain: str, names: Iterable[str]) -> list[str]:
    """Give the instances that should watch the platform for a failure domain.

    Nodes whose views agree choose the same ones; where views differ each chooses some, which
    is enough.
    """
    return sorted(names, key=lambda name: rendezvous_score(domain, name))[:WATCHER_COUNT]


def children(root: str, names: Iterable[str], instance: str) -> list[str]:
    """Give those whom an instance serves in the tree of ``root`` over some names.

    >>> names = [f'n{i}' for i in range(9)]
    >>> len(children('n0', names, 'n0'))
    6
    >>> len({c for n in names for c in children('n0', names, n)})
    8
    """
    order = [root, *sorted({*names} - {root}, key=lambda name: rendezvous_score(root, name))]
    if instance not in order:
        return []
    first = FANOUT * order.index(instance) + 1
    return order[first : first + FANOUT]


def neighbours(local_member: Member, others: Iterable[Member]) -> list[Member]:
    """Give a few peers, always the same ones, so that few links have to stay open."""
    ordered = sorted(others, key=lambda m: rendezvous_score(local_member.instance, m.instance))
    near = [m for m in ordered if m.domain == local_member.domain]
    far = [m for m in ordered if m.domain != local_member.domain]
    return near[:NEIGHBOUR_COUNT] + far[:NEIGHBOUR_COUNT]
