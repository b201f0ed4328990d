"""A count over the last seconds, in buckets."""


class SlidingCount:
    """Counts over windows of whole buckets, a little more than their seconds rather than less.

    ``width`` is the seconds of a bucket; ``held`` the buckets behind the newest that windows may
    reach back to. The totals that were asked for are kept, so that one more costs an addition.
    """

    __slots__ = ('_buckets', '_held', '_newest', '_totals', '_width')

    def __init__(self, width: float, held: int) -> None:
        self._width = width
        self._held = held
        self._newest = 0
        self._buckets: dict[int, int] = {}
        self._totals: dict[tuple[int, int], int] = {}  #: by the last bucket of a window, and length

    def add(self, now: float, count: int = 1) -> None:
        """Count now."""
        number = self._advance(now)
        self._change(number, count)

    def remove_one(self) -> None:
        """Count one less in the newest bucket, if it has any."""
        if self._buckets.get(self._newest):
            self._change(self._newest, -1)

    def total(self, now: float, buckets: int, before: int = 0) -> int:
        """Give the count of a window of so many buckets that ended ``before`` buckets ago."""
        self._held = max(self._held, before + buckets)
        last = self._advance(now) - before
        found = self._totals.get((last, buckets))
        if found is None:
            held = self._buckets
            found = sum(held.get(number, 0) for number in range(last - buckets, last + 1))
            self._totals[last, buckets] = found
        return found

    def _change(self, number: int, count: int) -> None:
        self._buckets[number] = self._buckets.get(number, 0) + count
        for last, buckets in self._totals:
            if last == number:
                self._totals[last, buckets] += count

    def _advance(self, now: float) -> int:
        """Give the bucket of this moment, and forget what no window reaches any more."""
        number = int(now / self._width)
        if number != self._newest:
            self._newest = number
            self._totals.clear()
            oldest = number - self._held
            self._buckets = {n: c for n, c in self._buckets.items() if n >= oldest}
        return number
