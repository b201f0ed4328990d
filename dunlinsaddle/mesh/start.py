"""When a node that starts asks the store for the first time."""

from random import Random
from typing import NamedTuple

#: Seconds over which nodes spread their first calls to the store when a whole deployment starts.
#: Callers come some ten seconds later. All at once they would each write a roster.
START_SPREAD = 2.0
#: Seconds over which nodes then spread their first look at the configuration. The first ones tell
#: the others, so that most need none.
FIRST_LOOKS = 2.0
#: Seconds after which a node of a large deployment knows enough of the others to say whether it
#: falls to it to watch; 72 nodes that start at once all think so at first.
ACQUAINTED = 6.0


class StartTimes(NamedTuple):
    """Seconds after its start at which a node does what for the first time."""

    rosters: float = 0.0  #: it looks for the others
    configuration: float = 0.0  #: it looks at the configuration, unless it has heard of it
    acquainted: float = 0.0  #: it knows whether it falls to it to watch


def start_times(rng: Random, *, first_start: bool) -> StartTimes:
    """Plan a start: a node that restarts hurries, as callers wait for it."""
    if not first_start:
        return StartTimes()
    looks = START_SPREAD + rng.uniform(0, FIRST_LOOKS)
    return StartTimes(rng.uniform(0, START_SPREAD), looks, ACQUAINTED)
