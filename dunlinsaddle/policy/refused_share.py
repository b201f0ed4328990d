"""Share of the calls to each service that its targets refuse, as measured by a calling node."""

from math import exp, sqrt
from typing import NamedTuple

#: Seconds over which answers are averaged. Within that time after all targets begin to refuse
#: calls, a node that sends a hundred calls per second knows the share to within a tenth.
AVERAGE_SECONDS = 0.4
MIN_ANSWERS = 8.0  #: answers below which the share is unknown
#: Share from which a service counts as refusing. Below it one repeat in ten calls is enough, which
#: the retry budget covers for all requests.
MIN_REFUSED_SHARE = 0.1
#: Standard errors by which a share must exceed the minimum before a service counts as refusing.
#: Otherwise a node that makes few calls takes two refusals in a row for a refusing service.
START_STANDARD_ERRORS = 2.0
MIN_REFUSING_SECONDS = 0.001  #: zero stands for a service that does not refuse calls
#: Probability of so many accepted calls in a row at the known share, below which the share is zero.
ENDED_PROBABILITY = 0.001
#: Seconds for which the share is reported after it fell below the minimum, so that the nodes that
#: admit fewer requests learn of the end.
TRAILING_SECONDS = 3.0


class Refusals(NamedTuple):
    """How the calls to one service are refused, and what is left to repeat them."""

    service: str
    share: float  #: of the calls that targets refused
    budget_left: float = 1.0  #: share of the repeats of one window that may still be sent


class RefusedShares:
    """Counts answers and refusals of the targets of each service, decaying over time.

    Only refusals by the targets themselves count. Those of admission control depend on the load,
    for which admitted levels are reported.
    """

    def __init__(self) -> None:
        self._services: dict[str, _Answers] = {}

    def record(self, now: float, service: str, *, refused: bool) -> None:
        """Record an answer of a target, or its refusal to run a call."""
        answers = self._services.get(service)
        if answers is None:
            if not refused:
                return
            answers = self._services[service] = _Answers(now)
        answers.add(now, refused=refused)
        was_refusing = now - answers.last_refusing_at <= TRAILING_SECONDS
        if answers.share < (MIN_REFUSED_SHARE if was_refusing else answers.starting_share):
            return
        if not was_refusing:
            answers.refusing_since = now
        answers.last_refusing_at = now

    def share(self, now: float, service: str) -> float:
        """Return the refused share of a service, 0 if it is below the minimum or unknown."""
        report = self.report(now, service)
        return report.share if report and report.share >= MIN_REFUSED_SHARE else 0.0

    def refusing_seconds(self, now: float, service: str) -> float:
        """Return for how long a service has refused calls; 0 if it does not."""
        if not self.share(now, service):
            return 0.0
        return max(now - self._services[service].refusing_since, MIN_REFUSING_SECONDS)

    def report(self, now: float, service: str, budget_left: float = 1.0) -> Refusals | None:
        """Return the share to report upstream, or None while the service refuses little."""
        answers = self._services.get(service)
        if answers is None or now - answers.last_refusing_at > TRAILING_SECONDS:
            return None
        return Refusals(service, answers.share, budget_left)


class _Answers:
    """Decaying counts of the answers of one service's targets."""

    __slots__ = (
        'accepted_in_a_row',
        'count',
        'last_refusing_at',
        'refused',
        'refusing_since',
        'updated_at',
    )

    def __init__(self, now: float) -> None:
        self.count = 0.0
        self.refused = 0.0
        self.accepted_in_a_row = 0
        self.updated_at = now
        self.refusing_since = now
        self.last_refusing_at = float('-inf')

    @property
    def share(self) -> float:
        return min(self.refused / self.count, 1.0) if self.count >= MIN_ANSWERS else 0.0

    @property
    def starting_share(self) -> float:
        """Share that exceeds the minimum by more than random variation."""
        variance = MIN_REFUSED_SHARE * (1 - MIN_REFUSED_SHARE) / max(self.count, 1.0)
        return MIN_REFUSED_SHARE + START_STANDARD_ERRORS * sqrt(variance)

    def add(self, now: float, *, refused: bool) -> None:
        decay = exp((self.updated_at - now) / AVERAGE_SECONDS)
        self.count = self.count * decay + 1
        self.refused = self.refused * decay + refused
        self.updated_at = now
        self.accepted_in_a_row = 0 if refused else self.accepted_in_a_row + 1
        if (1 - self.share) ** self.accepted_in_a_row < ENDED_PROBABILITY:
            # The refusals have ended. Without this, requests were shed for another second.
            self.refused = 0.0
