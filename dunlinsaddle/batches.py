"""Lists cut into pieces that each fit into one message."""

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

T = TypeVar('T')


def split_into_batches(
    items: Iterable[T], size_of: Callable[[T], int], limit: int
) -> Iterator[list[T]]:
    """Cut items into pieces of at most ``limit`` bytes; a larger item is a piece by itself.

    >>> list(cut_pieces(['aa', 'b', 'cccc'], len, 3))
    [['aa', 'b'], ['cccc']]
    """
    piece: list[T] = []
    room = limit
    for item in items:
        size = size_of(item)
        if piece and size > room:
            yield piece
            piece, room = [], limit
        piece.append(item)
        room -= size
    if piece:
        yield piece
