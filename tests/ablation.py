"""What each mechanism of admission and early refusal is worth, on the loads of a deep service.

    python -m tests.ablation [--seeds N] [--jobs N]

Plays the patterns of ``tests/test_deep_load.py`` with one mechanism off at a time. Prints a line
for each: the share of each kind that was served in time, least and most over the seeds, and the
share that was begun and lost. No network; a run takes some three seconds of a processor.
"""

import argparse
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from contextlib import AbstractContextManager, nullcontext
from functools import partial
from itertools import islice
from multiprocessing import get_context
from typing import Any, NamedTuple
from unittest.mock import patch

from sortedcontainers import SortedKeyList

from dunlinsaddle.policy import level, slots
from dunlinsaddle.policy.admission import Ticket
from dunlinsaddle.policy.context import SLOTS_PER_RANK
from dunlinsaddle.policy.wait_queue import QueuedWork, WaitQueue
from tests.fakes.deep_load import DeepLoad, LoadPattern, RequestKind, RequestShares
from tests.test_deep_load import (
    ALL_SHED,
    EQUAL_COST,
    EQUAL_COST_SLOTS,
    EQUAL_COST_SURGE,
    UNEQUAL_COST,
    UNEQUAL_COST_LOST_TARGET,
    UNEQUAL_COST_SLOTS,
    UNEQUAL_COST_SURGE,
)

NEVER = 1e9

SortKey = Callable[[Ticket], tuple[float, ...]]


class Load(NamedTuple):
    """What is played."""

    name: str
    kinds: tuple[RequestKind, ...]
    slots: int
    pattern: LoadPattern


LOADS = (
    Load('alike', EQUAL_COST, EQUAL_COST_SLOTS, EQUAL_COST_SURGE),
    Load('unlike', UNEQUAL_COST, UNEQUAL_COST_SLOTS, UNEQUAL_COST_SURGE),
    Load('unlike, one lost', UNEQUAL_COST, UNEQUAL_COST_SLOTS, UNEQUAL_COST_LOST_TARGET),
    Load('alike, all shed', EQUAL_COST, EQUAL_COST_SLOTS, ALL_SHED),
    Load('unlike, nearly full', UNEQUAL_COST, UNEQUAL_COST_SLOTS, LoadPattern(surge=1.86)),
)


def _by_arrival(ticket: Ticket) -> tuple[float, int]:
    return ticket.arrived_at, ticket.call_id


def _calls_first(ticket: Ticket) -> tuple[int, int, int, float]:
    rank = ticket.level // SLOTS_PER_RANK
    return rank, 0 if ticket.hop else 1, ticket.level, ticket.arrived_at


class _WaitingInOrder(WaitQueue):
    """Calls in another order, in which the work ahead of one is added up."""

    def __init__(self, order: SortKey, seconds_of: Callable[[str], float]) -> None:
        super().__init__(seconds_of)
        self._calls = SortedKeyList(key=order)

    def ahead_of(self, ticket: Ticket) -> QueuedWork:
        ahead = list(islice(self._calls, self._calls.bisect_left(ticket)))
        return QueuedWork(len(ahead), sum(self._seconds_of(waiting.rule) for waiting in ahead))


def _ordered(order: SortKey) -> AbstractContextManager[Any]:
    return patch.object(slots, 'WaitQueue', partial(_WaitingInOrder, order))


class Override(NamedTuple):
    """How a mechanism is switched off: an argument of the run, or a value that is replaced."""

    arguments: dict[str, bool] = {}
    patch_values: Callable[[], AbstractContextManager[Any]] = nullcontext


WITHOUT = {
    '(nothing off)': Override(),
    'levels upstream': Override({'early_refusal': False}),
    'places by cost': Override({'prioritise_by_cost': False}),
    'order by level': Override(patch_values=lambda: _ordered(_by_arrival)),
    'one order for calls and others': Override(patch_values=lambda: _ordered(_calls_first)),
    'rules held back': Override({'throttle_failures': False}),
    'opening when slots are free': Override(
        patch_values=lambda: patch.object(level, 'IDLE_SECONDS_TO_OPEN', NEVER)
    ),
    'wait for calls to come': Override(
        patch_values=lambda: patch.object(slots, 'MIN_CAPACITY_SHARE', 1.0)
    ),
    '95 % of the slots (94 %)': Override(
        patch_values=lambda: patch.object(slots, 'USABLE_SLOT_SHARE', 0.94)
    ),
    'return within the objective': Override(
        patch_values=lambda: patch.object(level, 'RETRY_AFTER_SHARE', NEVER)
    ),
}


def run_load(job: tuple[str, Load, int]) -> dict[str, RequestShares]:
    """Play one load with one mechanism off."""
    without, load, seed = job
    off = WITHOUT[without]
    with off.patch_values():
        run = DeepLoad(load.kinds, load.pattern, seed, slots=load.slots, **off.arguments)
        return run.run()


def format_row(without: str, load: Load, runs: list[dict[str, RequestShares]]) -> str:
    """Give one line of the table."""
    cells = [f'{without:32}', f'{load.name:20}']
    for kind in load.kinds:
        shares = [run[kind.name] for run in runs]
        in_time = [share.in_time for share in shares]
        mean, wasted = sum(in_time) / len(runs), sum(share.wasted for share in shares) / len(runs)
        spread = f'{min(in_time):.2f}-{max(in_time):.2f}'
        cells.append(f'{kind.name} {mean:.2f} ({spread}) lost {wasted:.2f}')
    return '  '.join(cells)


def main() -> None:
    """Play all and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=4)
    parser.add_argument('--jobs', type=int, default=2)
    args = parser.parse_args()
    seeds = range(1, args.seeds + 1)
    jobs = [(name, load, seed) for name in WITHOUT for load in LOADS for seed in seeds]
    with ProcessPoolExecutor(args.jobs, mp_context=get_context('spawn')) as pool:
        results = list(pool.map(run_load, jobs))
    for start in range(0, len(jobs), args.seeds):
        name, load, _ = jobs[start]
        sys.stdout.write(f'{format_row(name, load, results[start : start + args.seeds])}\n')


if __name__ == '__main__':
    main()
