"""How a node finds the others and the configuration when it starts."""

import asyncio
from random import Random

from dunlinsaddle.membership.roster import Bootstrap
from dunlinsaddle.routes.follow import ConfigFollower

#: Seconds over which nodes spread their first calls to the store when a whole deployment starts.
#: Callers come some ten seconds later. All at once they would each write a roster.
START_SPREAD = 2.0
#: Seconds over which nodes then spread their first look at the configuration. The first ones tell
#: the others, so that most need none.
FIRST_LOOKS = 2.0
#: Seconds after which a node of a large deployment knows enough of the others to say whether it
#: falls to it to watch; 72 nodes that start at once all think so at first.
ACQUAINTED = 6.0


async def join_now(bootstrap: Bootstrap, follower: ConfigFollower, rng: Random) -> None:
    """Ask at once, and go on until cancelled: callers wait for a node that restarts."""
    async with asyncio.TaskGroup() as group:
        group.create_task(bootstrap.run())
        group.create_task(follower.run())


async def join_late(bootstrap: Bootstrap, follower: ConfigFollower, rng: Random) -> None:
    """Ask not all at once where a whole deployment starts, and go on until cancelled."""
    acquainted_at = follower.now() + ACQUAINTED
    delay = rng.uniform(0, START_SPREAD)
    await asyncio.sleep(delay)
    async with asyncio.TaskGroup() as group:
        group.create_task(bootstrap.run())
        await asyncio.sleep(START_SPREAD - delay + rng.uniform(0, FIRST_LOOKS))
        await follower.run(acquainted_at)
