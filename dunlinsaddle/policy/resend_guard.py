"""Limit on early resends by a caller, as a share of its other calls."""

from collections import OrderedDict

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.records.models import Rank

BURST = 10.0  #: early resends that a caller may make before the ratio applies
MAX_CALLERS = 10_000  #: callers with a record; bounds memory
MAX_REFUSALS = 50_000  #: refusals kept until their Retry-After has passed; bounds memory
MAX_PENALTY_SECONDS = 60.0  #: upper bound of the Retry-After in a refusal by this limit


class _CallerRecord:
    """The tokens of one caller, and how many of its early resends were refused recently."""

    __slots__ = ('early', 'tokens')

    def __init__(self) -> None:
        self.tokens = BURST
        self.early = 0


class ResendGuard:
    """Limits the early resends of each caller to a share of its other calls.

    A resend is recognised by the request's id or idempotency key. It is early if it arrives before
    the time given by Retry-After in the refusal. A resend at or after that time is always allowed,
    so a caller that respects Retry-After is never limited. A caller that resends immediately is
    refused at the entry node, before the call uses any capacity of a target.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[str, _CallerRecord] = OrderedDict()
        self._retry_times: OrderedDict[tuple[str, str], float] = OrderedDict()

    def check(
        self, now: float, caller: str, request_key: str, *, rank: Rank, ratio: float
    ) -> Failure | None:
        """Return the refusal for an early resend above the ratio, else None.

        Requests of rank critical always pass: a user who presses a button twice must not lose an
        order because of this limit.
        """
        retry_time = self._retry_times.get((caller, request_key), 0.0)
        record = self._record_of(caller)
        if retry_time <= now:
            record.tokens = min(record.tokens + ratio, BURST)
            record.early = max(record.early - 1, 0)
            return None
        if rank is Rank.CRITICAL:
            return None
        if record.tokens >= 1:
            record.tokens -= 1
            return None
        record.early += 1
        retry_after = min(retry_time - now + 0.1 * record.early, MAX_PENALTY_SECONDS)
        return Failure(ErrorKind.CALLER_OVER_RATE, 'sent again before Retry-After', retry_after)

    def record_refusal(self, now: float, caller: str, request_key: str, retry_after: float) -> None:
        """Record the Retry-After of a request's refusal."""
        self._retry_times[caller, request_key] = now + retry_after
        self._retry_times.move_to_end((caller, request_key))
        if len(self._retry_times) > MAX_REFUSALS:
            self._retry_times.popitem(last=False)

    def record_answer(self, caller: str, request_key: str) -> None:
        """Record that a request was answered: another one with the same key is not a resend."""
        self._retry_times.pop((caller, request_key), None)

    def _record_of(self, caller: str) -> _CallerRecord:
        record = self._records.get(caller)
        if record is None:
            record = self._records[caller] = _CallerRecord()
            if len(self._records) > MAX_CALLERS:
                self._records.popitem(last=False)
        return record
