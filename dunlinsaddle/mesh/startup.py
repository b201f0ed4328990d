"""Delays that spread the first requests of starting nodes to the store."""

from random import Random
from typing import NamedTuple

#: Time over which nodes spread their first access to the roster when a whole deployment starts.
#: Callers come some ten seconds later. Without the spread all nodes would each write a roster.
ROSTER_SPREAD_SECONDS = 2.0
#: Time over which nodes then spread their first fetch of the configuration. The first nodes send
#: it to the others, so that most need no fetch.
CONFIGURATION_SPREAD_SECONDS = 2.0
#: Time after which a node of a large deployment knows enough members to decide whether it is one
#: of the watchers; of 72 nodes that start at once, all consider themselves watchers at first.
MEMBERSHIP_SETTLE_SECONDS = 6.0


class StartupDelays(NamedTuple):
    """Seconds from the start of a node to its first use of the store and of the membership."""

    roster: float = 0.0  #: until it reads the roster to find the other nodes
    configuration: float = 0.0  #: until it fetches the configuration, unless a peer has sent it
    membership: float = 0.0  #: until it relies on the members to decide whether it is a watcher


def startup_delays(rng: Random, *, first_start: bool) -> StartupDelays:
    """Return the delays: none for a node that restarts, as callers are waiting for it."""
    if not first_start:
        return StartupDelays()
    configuration_delay = ROSTER_SPREAD_SECONDS + rng.uniform(0, CONFIGURATION_SPREAD_SECONDS)
    return StartupDelays(
        rng.uniform(0, ROSTER_SPREAD_SECONDS), configuration_delay, MEMBERSHIP_SETTLE_SECONDS
    )
