"""Loans of repeats between nodes, from those that need few to those that have used up theirs."""

from random import Random
from typing import NamedTuple

ASK_INTERVAL_SECONDS = 0.1  #: bounds the messages of a node that is short of repeats
URGENT_ASK_INTERVAL_SECONDS = 0.01  #: until it knows how much the fleet has used
MAX_URGENT_QUERIES = 20  #: without an answer; nodes that are cut off get none


class LoanRequest(NamedTuple):
    """A request for repeats. A loan is accepted once, for the number of its request."""

    number: int
    wanted: int


class _Pending(NamedTuple):
    service: str
    asked_at: float


class _Borrowed(NamedTuple):
    expires_at: float
    repeats: int


class BudgetLoans:
    """What one node has borrowed from others, by service.

    The sum over all nodes stays within the bound whatever becomes of a loan. The lender gives up
    what it lends at once, and the borrower may use it for ``loan_seconds`` after its own request,
    which is earlier. A loan whose message is lost, or whose borrower dies, remains unused. A
    duplicate is not accepted.
    """

    def __init__(self, loan_seconds: float, rng: Random) -> None:
        self.loan_seconds = loan_seconds
        self.rng = rng
        self._borrowed: dict[str, list[_Borrowed]] = {}
        self._pending: dict[int, _Pending] = {}
        self._asked_at: dict[str, float] = {}

    def ask(
        self, now: float, service: str, wanted: int, *, is_urgent: bool = False
    ) -> LoanRequest | None:
        """Return a request for repeats, or None if the last one was just before."""
        is_urgent = is_urgent and len(self._pending) < MAX_URGENT_QUERIES
        interval = URGENT_ASK_INTERVAL_SECONDS if is_urgent else ASK_INTERVAL_SECONDS
        if now - self._asked_at.get(service, -interval) < interval:
            return None
        self._asked_at[service] = now
        self._pending = {
            number: pending
            for number, pending in self._pending.items()
            if now - pending.asked_at < self.loan_seconds
        }
        number = self.rng.getrandbits(48)
        self._pending[number] = _Pending(service, now)
        return LoanRequest(number, wanted)

    def accept(self, now: float, number: int, amount: int) -> str | None:
        """Record a loan and return its service; an unsolicited or duplicate one is ignored."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return None
        expires_at = pending.asked_at + self.loan_seconds
        if now < expires_at and amount > 0:
            loans = self._borrowed.setdefault(pending.service, [])
            loans.append(_Borrowed(expires_at, amount))
        return pending.service

    def borrowed(self, now: float, service: str) -> int:
        """Return the borrowed repeats that may still be sent."""
        loans = self._borrowed.get(service)
        if not loans:
            return 0
        loans[:] = [loan for loan in loans if now < loan.expires_at and loan.repeats]
        return sum(loan.repeats for loan in loans)

    def use(self, now: float, service: str) -> bool:
        """Use one borrowed repeat; return False if there is none."""
        if not self.borrowed(now, service):
            return False
        loans = self._borrowed[service]
        loans[0] = loans[0]._replace(repeats=loans[0].repeats - 1)
        return True
