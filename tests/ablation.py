"""Measures what each mechanism of admission control and early refusal contributes.

    python -m tests.ablation [--seeds N] [--jobs N]

Runs the load patterns of ``tests/test_deep_load.py`` with one mechanism off at a time. Prints a
line for each: for each kind of request the share that was served in time (mean, lowest and highest
over the seeds) and the share that was started and then failed. The load is simulated, without
network; a run takes about three seconds of CPU time.
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
    """A load pattern on a deep service, and the slots of each target."""

    name: str
    kinds: tuple[RequestKind, ...]
    slots: int
    pattern: LoadPattern


LOADS = (
    Load('equal', EQUAL_COST, EQUAL_COST_SLOTS, EQUAL_COST_SURGE),
    Load('unequal', UNEQUAL_COST, UNEQUAL_COST_SLOTS, UNEQUAL_COST_SURGE),
    Load('unequal, one lost', UNEQUAL_COST, UNEQUAL_COST_SLOTS, UNEQUAL_COST_LOST_TARGET),
    Load('equal, all shed', EQUAL_COST, EQUAL_COST_SLOTS, ALL_SHED),
    Load('unequal, nearly full', UNEQUAL_COST, UNEQUAL_COST_SLOTS, LoadPattern(surge=1.86)),
)


def _by_arrival(ticket: Ticket) -> tuple[float, int]:
    return ticket.arrived_at, ticket.call_id


def _calls_first(ticket: Ticket) -> tuple[int, int, int, float]:
    rank = ticket.level // SLOTS_PER_RANK
    return rank, 0 if ticket.hop else 1, ticket.level, ticket.arrived_at


class _SortedWaitQueue(WaitQueue):
    """A wait queue in another order; sums up the work ahead of a call one by one."""

    def __init__(self, sort_key: SortKey, seconds_of: Callable[[str], float]) -> None:
        super().__init__(seconds_of)
        self._calls = SortedKeyList(key=sort_key)

    def ahead_of(self, ticket: Ticket) -> QueuedWork:
        ahead = list(islice(self._calls, self._calls.bisect_left(ticket)))
        return QueuedWork(len(ahead), sum(self._seconds_of(queued.rule) for queued in ahead))


def _patch_queue_order(sort_key: SortKey) -> AbstractContextManager[Any]:
    return patch.object(slots, 'WaitQueue', partial(_SortedWaitQueue, sort_key))


class Override(NamedTuple):
    """Switches a mechanism off, by arguments of the run or by patching the product's modules."""

    arguments: dict[str, bool] = {}
    patch_values: Callable[[], AbstractContextManager[Any]] = nullcontext


OVERRIDES = {
    '(nothing off)': Override(),
    'levels reported upstream': Override({'early_refusal': False}),
    'priority by cost': Override({'prioritise_by_cost': False}),
    'queue order by level': Override(patch_values=lambda: _patch_queue_order(_by_arrival)),
    'one order for all hops': Override(patch_values=lambda: _patch_queue_order(_calls_first)),
    'failure throttle': Override({'throttle_failures': False}),
    'reopening when idle': Override(
        patch_values=lambda: patch.object(level, 'IDLE_SECONDS_TO_OPEN', NEVER)
    ),
    'wait by capacity share': Override(
        patch_values=lambda: patch.object(slots, 'MIN_CAPACITY_SHARE', 1.0)
    ),
    '95 % of the slots (94 %)': Override(
        patch_values=lambda: patch.object(slots, 'USABLE_SLOT_SHARE', 0.94)
    ),
    'retry-after within objective': Override(
        patch_values=lambda: patch.object(level, 'RETRY_AFTER_SHARE', NEVER)
    ),
}


def run_load(job: tuple[str, Load, int]) -> dict[str, RequestShares]:
    """Run one load with one mechanism off."""
    mechanism, load, seed = job
    override = OVERRIDES[mechanism]
    with override.patch_values():
        run = DeepLoad(load.kinds, load.pattern, seed, slots=load.slots, **override.arguments)
        return run.run()


def format_row(mechanism: str, load: Load, runs: list[dict[str, RequestShares]]) -> str:
    """Return one line of the table."""
    cells = [f'{mechanism:32}', f'{load.name:20}']
    for kind in load.kinds:
        shares = [run[kind.name] for run in runs]
        in_time = [share.in_time for share in shares]
        mean, lost = sum(in_time) / len(runs), sum(share.wasted for share in shares) / len(runs)
        spread = f'{min(in_time):.2f}-{max(in_time):.2f}'
        cells.append(f'{kind.name} {mean:.2f} ({spread}) lost {lost:.2f}')
    return '  '.join(cells)


def main() -> None:
    """Run all loads and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=4)
    parser.add_argument('--jobs', type=int, default=2)
    args = parser.parse_args()
    seeds = range(1, args.seeds + 1)
    jobs = [(name, load, seed) for name in OVERRIDES for load in LOADS for seed in seeds]
    with ProcessPoolExecutor(args.jobs, mp_context=get_context('spawn')) as pool:
        results = list(pool.map(run_load, jobs))
    for start in range(0, len(jobs), args.seeds):
        name, load, _ = jobs[start]
        sys.stdout.write(f'{format_row(name, load, results[start : start + args.seeds])}\n')


if __name__ == '__main__':
    main()
