"""Which nodes do for their failure domain what one alone has to do, chosen without asking."""

import xxhash

from dunlinsaddle.membership.view import Member, MemberView, State

COORDINATORS_PER_DOMAIN = (
    3  #: nodes of a domain that look after it: one lives, whichever two are lost
)


def rendezvous_score(salt: str, name: str) -> int:
    """Give a name's place in an order that is the same at every node."""
    return int(xxhash.xxh64_intdigest(f'{salt}/{name}'.encode()))


def rank_by_hash(view: MemberView, domain: str) -> list[Member]:
    """Give the live members of a failure domain in an order that is the same at every node."""
    live = [m for m in view.members() if m.domain == domain and not m.is_gone]
    return sorted(live, key=lambda m: rendezvous_score(domain, m.instance))


class StoreWatchers:
    """The nodes of one failure domain that watch the store for all the others.

    Those that are suspected, or about to leave, are passed over: another takes their place as
    soon as they miss an answer. Where views differ for a moment, some watch that need not.
    """

    def __init__(self, view: MemberView, domain: str) -> None:
        self.view = view
        self.domain = domain
        self._version = -1
        self._chosen: list[Member] = []

    def members(self) -> list[Member]:
        """Give them."""
        if self._version != self.view.version:
            live = rank_by_hash(self.view, self.domain)
            able = [m for m in live if m.state is State.ALIVE] or live
            self._chosen = able[:COORDINATORS_PER_DOMAIN]
            self._version = self.view.version
        return self._chosen

    def includes(self, instance: str) -> bool:
        """Say whether a node is one of them."""
        return any(m.instance == instance for m in self.members())
