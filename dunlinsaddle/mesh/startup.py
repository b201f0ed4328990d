"""When a node that starts asks the store for the first time."""

from random import Random
from typing import NamedTuple

#: Seconds over which nodes spread their first calls to the store when a whole deployment starts.
#: Callers come some ten seconds later. All at once they would each write a roster.
ROSTER_SPREAD_SECONDS = 2.0
#: Seconds over which nodes then spread their first look at the configuration. The first ones tell
#: the others, so that most need none.
CONFIGURATION_SPREAD_SECONDS = 2.0
#: Seconds after which a node of a large deployment knows enough of the others to say whether it
#: falls to it to watch; 72 nodes that start at once all think so at first.
MEMBERSHIP_SETTLE_SECONDS = 6.0


class StartupDelays(NamedTuple):
    """Seconds after its start at which a node does what for the first time."""

    roster: float = 0.0  #: it looks for the others
    configuration: float = 0.0  #: it looks at the configuration, unless it has heard of it
    membership: float = 0.0  #: it knows whether it falls to it to watch


def startup_delays(rng: Random, *, first_start: bool) -> StartupDelays:
    """Plan a start: a node that restarts hurries, as callers wait for it."""
    if not first_start:
        return StartupDelays()
    looks = ROSTER_SPREAD_SECONDS + rng.uniform(0, CONFIGURATION_SPREAD_SECONDS)
    return StartupDelays(rng.uniform(0, ROSTER_SPREAD_SECONDS), looks, MEMBERSHIP_SETTLE_SECONDS)
