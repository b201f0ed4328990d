"""Measures the cost of at-most-once calls at a node: time per decision, memory per key."""

import sys
import time
import tracemalloc
from random import Random

import msgspec

from dunlinsaddle.calls.messages import Reply
from dunlinsaddle.errors import Outcome
from dunlinsaddle.policy.key_table import KeyTable
from dunlinsaddle.policy.keys import TimestampedKey, generate_key, parse_key, range_number
from dunlinsaddle.policy.ownership import (
    Owner,
    PlanContext,
    RangeMap,
    encode_range_map,
    plan_ranges,
)

KEYS = 40_000
BODY = b'x' * 200
NOW = 1_750_000_000_000


def measure_decisions(texts: list[str]) -> tuple[KeyTable[Reply], float]:
    """Process each key once, from parsing to its response; return the microseconds per key."""
    table: KeyTable[Reply] = KeyTable()
    started_at = time.perf_counter()
    for text in texts:
        key = parse_key(text).unwrap()
        assert isinstance(key, TimestampedKey)
        range_number('cut-orders', key)
        if table.lookup(key.text, 7) is None:
            table.begin(key.text, key.birth, 7, NOW)
            table.complete(key.text, Reply(0, 200, [], BODY + b'.', Outcome.DONE), len(BODY))
    return table, (time.perf_counter() - started_at) / len(texts) * 1e6


def measure_planning(instances: int) -> tuple[int, float]:
    """Plan a stable range map; return its size in bytes and the microseconds per plan."""
    names = [f'instance-{number}' for number in range(instances)]
    ranges = RangeMap()
    for name in names:
        context = PlanContext(Owner(name, f'{name:0>12}'), names, NOW, {})
        planned = plan_ranges('cut-orders', ranges, context)
        ranges = planned.range_map if planned else ranges
    started_at = time.perf_counter()
    for _ in range(100):
        plan_ranges('cut-orders', ranges, PlanContext(Owner(names[0], 'e'), names, NOW, {}))
    elapsed = (time.perf_counter() - started_at) / 100 * 1e6
    return len(msgspec.json.encode(encode_range_map(ranges))), elapsed


def main() -> None:
    """Print the measurements."""
    rng = Random(1)
    texts = [generate_key(NOW, rng, 'cut-orders').text for _ in range(KEYS)]
    _, micros = measure_decisions(texts)
    tracemalloc.start()
    table, _ = measure_decisions(texts)
    memory = tracemalloc.get_traced_memory()[0] / len(table)
    tracemalloc.stop()
    sys.stdout.write(f'decision: {micros:.1f} us, memory per key: {memory:.0f} bytes\n')
    for instances in (3, 7, 20):
        size, micros = measure_planning(instances)
        sys.stdout.write(f'{instances} instances: map {size} bytes, plan {micros:.0f} us\n')


if __name__ == '__main__':
    main()
