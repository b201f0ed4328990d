"""Selection of the nodes that do the shared work of a failure domain, by rendezvous hashing."""

import xxhash

from dunlinsaddle.membership.view import Member, MemberView, State

COORDINATORS_PER_DOMAIN = 3  #: one remains when any two are lost


def rendezvous_score(salt: str, name: str) -> int:
    """Return the rendezvous hash of a name, the same at every node."""
    return int(xxhash.xxh64_intdigest(f'{salt}/{name}'.encode()))


def rank_by_hash(view: MemberView, domain: str) -> list[Member]:
    """Return the live members of a failure domain in an order that is the same at every node."""
    live = [m for m in view.members() if m.domain == domain and not m.is_gone]
    return sorted(live, key=lambda m: rendezvous_score(domain, m.instance))


class StoreWatchers:
    """Selects the nodes of one failure domain that watch the store on behalf of the others.

    Suspected and draining nodes are skipped while others are alive, so a node is replaced as soon
    as it misses a probe. While views differ, more nodes than necessary may watch.
    """

    def __init__(self, view: MemberView, domain: str) -> None:
        self.view = view
        self.domain = domain
        self._version = -1
        self._selected: list[Member] = []

    def members(self) -> list[Member]:
        """Return the selected members."""
        if self._version != self.view.version:
            live = rank_by_hash(self.view, self.domain)
            eligible = [m for m in live if m.state is State.ALIVE] or live
            self._selected = eligible[:COORDINATORS_PER_DOMAIN]
            self._version = self.view.version
        return self._selected

    def includes(self, instance: str) -> bool:
        """Return whether a node is one of the watchers."""
        return any(m.instance == instance for m in self.members())
