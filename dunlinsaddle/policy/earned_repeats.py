"""Repeats that requests have earned, each of which may be sent for a limited time."""

from collections import deque
from dataclasses import dataclass

SLOTS = 10  #: parts of the time of validity; with more, amounts would expire less early


@dataclass(slots=True)
class _Slot:
    number: int
    amount: float


class EarnedRepeats:
    """Amounts that expire ``valid_seconds`` after they were added, or up to a slot earlier."""

    __slots__ = ('_slot_seconds', '_slots', '_total')

    def __init__(self, valid_seconds: float) -> None:
        self._slot_seconds = valid_seconds / SLOTS
        self._slots: deque[_Slot] = deque()  #: oldest first
        self._total = 0.0

    def add(self, now: float, amount: float) -> None:
        """Add what a request has earned."""
        number = self._expire(now)
        if not self._slots or self._slots[-1].number != number:
            self._slots.append(_Slot(number, 0.0))
        self._slots[-1].amount += amount
        self._total += amount

    def available(self, now: float) -> float:
        """Return what has not expired."""
        self._expire(now)
        return self._total

    def take(self, now: float, wanted: float) -> float:
        """Take at most ``wanted``, the oldest first; return what was taken."""
        self._expire(now)
        missing = wanted
        while self._slots and missing > 0:
            taken = min(self._slots[0].amount, missing)
            self._slots[0].amount -= taken
            missing -= taken
            if missing > 0:
                self._slots.popleft()
        self._subtract(wanted - missing)
        return wanted - missing

    def _expire(self, now: float) -> int:
        """Drop the slots that have expired, and return the number of the current slot."""
        number = int(now / self._slot_seconds)
        while self._slots and self._slots[0].number <= number - SLOTS:
            self._subtract(self._slots.popleft().amount)
        return number

    def _subtract(self, amount: float) -> None:
        # Set to zero when empty, so that rounding errors do not add up.
        self._total = self._total - amount if self._slots else 0.0
