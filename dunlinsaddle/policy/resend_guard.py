"""Callers that send again too early: a ratio per caller, whatever retry rule they follow."""

from collections import OrderedDict

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.records.models import Rank

BURST = 10.0  #: early resends that a caller may make before its ratio counts; by judgement
MAX_CALLERS = 10_000  #: callers held: a bound on memory
MAX_REFUSALS = 50_000  #: refusals held until their time has passed: a bound on memory
MAX_PENALTY_SECONDS = 60.0  #: seconds; the longest that a caller is told to stay away, by judgement


class _Caller:
    __slots__ = ('early', 'tokens')

    def __init__(self) -> None:
        self.tokens = BURST
        self.early = 0


class ResendGuard:
    """Lets a caller's early resends through only up to a share of its other calls.

    A resend is known by its name, the request's id or idempotency key. It is early when it
    comes before the Retry-After that its refusal named. One that waits as it was told costs
    nothing, so an honest caller never meets this guard; one that asks again at once is refused
    at the entry, before it costs any target a thing.
    """

    def __init__(self) -> None:
        self._callers: OrderedDict[str, _Caller] = OrderedDict()
        self._come_back: OrderedDict[tuple[str, str], float] = OrderedDict()

    def check(
        self, now: float, caller: str, name: str, *, rank: Rank, ratio: float
    ) -> Failure | None:
        """Give the refusal for an early resend over the ratio, else None.

        The most valued requests pass always: a templater who presses "release" twice must
        not lose the order to this guard.
        """
        told = self._come_back.get((caller, name), 0.0)
        known = self._caller(caller)
        if told <= now:
            known.tokens = min(known.tokens + ratio, BURST)
            known.early = max(known.early - 1, 0)
            return None
        if rank is Rank.CRITICAL:
            return None
        if known.tokens >= 1:
            known.tokens -= 1
            return None
        known.early += 1
        wait = min(told - now + 0.1 * known.early, MAX_PENALTY_SECONDS)
        return Failure(ErrorKind.CALLER_OVER_RATE, 'sent again before Retry-After', wait)

    def record_refusal(self, now: float, caller: str, name: str, retry_after: float) -> None:
        """Note when a refused request was told to come back."""
        self._come_back[caller, name] = now + retry_after
        self._come_back.move_to_end((caller, name))
        if len(self._come_back) > MAX_REFUSALS:
            self._come_back.popitem(last=False)

    def record_answer(self, caller: str, name: str) -> None:
        """Note that a request was answered: the next one like it is a new one."""
        self._come_back.pop((caller, name), None)

    def _caller(self, caller: str) -> _Caller:
        known = self._callers.get(caller)
        if known is None:
            known = self._callers[caller] = _Caller()
            if len(self._callers) > MAX_CALLERS:
                self._callers.popitem(last=False)
        return known
