"""Splits lists into batches that each fit into one message."""

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

T = TypeVar('T')


def split_into_batches(
    items: Iterable[T], size_of: Callable[[T], int], limit: int
) -> Iterator[list[T]]:
    """Split items into batches of at most ``limit`` bytes; a larger item is a batch by itself.

    >>> list(split_into_batches(['aa', 'b', 'cccc'], len, 3))
    [['aa', 'b'], ['cccc']]
    """
    batch: list[T] = []
    free_bytes = limit
    for item in items:
        size = size_of(item)
        if batch and size > free_bytes:
            yield batch
            batch, free_bytes = [], limit
        batch.append(item)
        free_bytes -= size
    if batch:
        yield batch
