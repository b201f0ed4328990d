"""Event counts and sums over sliding time windows, kept in buckets."""


class SlidingCount:
    """Counts events, or adds up amounts, over windows that end with the bucket of a given time.

    A window of n buckets also includes the started bucket, so it covers slightly more time than
    n buckets and never less. Totals are cached, so adding an event costs one addition for each
    cached total.
    """

    __slots__ = ('_bucket_seconds', '_buckets', '_history_buckets', '_newest', '_totals')

    def __init__(self, bucket_seconds: float, history_buckets: int) -> None:
        """Keep ``history_buckets`` buckets before the newest one for windows to cover."""
        self._bucket_seconds = bucket_seconds
        self._history_buckets = history_buckets
        self._newest = 0
        self._buckets: dict[int, float] = {}
        self._totals: dict[tuple[int, int], float] = {}  #: by last bucket and length of the window

    def add(self, now: float, count: float = 1) -> None:
        """Add events at this time."""
        number = self._advance(now)
        self._change(number, count)

    def remove_one(self) -> None:
        """Remove one event from the newest bucket unless that is empty."""
        if self._buckets.get(self._newest):
            self._change(self._newest, -1)

    def total(self, now: float, buckets: int, buckets_ago: int = 0) -> float:
        """Return the count of a window of ``buckets`` that ended ``buckets_ago`` buckets ago."""
        self._history_buckets = max(self._history_buckets, buckets_ago + buckets)
        last = self._advance(now) - buckets_ago
        total = self._totals.get((last, buckets))
        if total is None:
            counts = self._buckets
            total = sum(counts.get(number, 0) for number in range(last - buckets, last + 1))
            self._totals[last, buckets] = total
        return total

    def _change(self, number: int, count: float) -> None:
        self._buckets[number] = self._buckets.get(number, 0) + count
        for last, buckets in self._totals:
            if last == number:
                self._totals[last, buckets] += count

    def _advance(self, now: float) -> int:
        """Return the number of the current bucket; drop buckets that no window can cover."""
        number = int(now / self._bucket_seconds)
        if number != self._newest:
            self._newest = number
            self._totals.clear()
            oldest = number - self._history_buckets
            self._buckets = {n: c for n, c in self._buckets.items() if n >= oldest}
        return number
