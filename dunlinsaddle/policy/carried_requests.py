"""Admission of the requests whose calls to a refusing service the retry budget can carry."""

import math
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from dunlinsaddle.policy.budget_account import DEMAND_AVERAGE_SECONDS
from dunlinsaddle.policy.demand_rate import DemandRate
from dunlinsaddle.policy.refused_share import MIN_REFUSED_SHARE, Refusals
from dunlinsaddle.policy.request_windows import RequestWindows
from dunlinsaddle.policy.retry_budget import Allowance
from dunlinsaddle.records.models import Rank

#: Time constant in seconds of the averages of what is reported; nodes that call the service
#: report different figures.
REPORT_AVERAGE_SECONDS = 0.3
MIN_REPORT_WEIGHT = 0.1  #: weight of one of many reports that arrive at the same time
#: Seconds without a report after which the refused share is no longer fully believed. With each
#: further step, requests are taken to need a fifth less repeats, so more of them begin and their
#: replies report the present share. Larger steps would use up the budget at an ingress that
#: admits one request per second and often gets no report for so long.
STALE_AFTER_SECONDS = 1.0
REOPEN_STEP_SECONDS = 0.5
REOPEN_STEP_FACTOR = 0.8
MAX_REFUSED_SHARE = 0.95  #: higher shares need more sends than the limit of one request
#: Repeats per call from which requests are affected, those of the smallest share.
MIN_REPEATS_PER_CALL = MIN_REFUSED_SHARE / (1 - MIN_REFUSED_SHARE)
CALLS_WEIGHT = 0.1  #: weight of one completed request in the number of calls of its rule
#: Limit of the repeats that a rule may save, in seconds of its rate. An ingress that gets a few
#: requests per second needs that much to admit one that needs several repeats.
MAX_SAVED_SECONDS = 2.0
START_SAVED_SECONDS = 0.5  #: seconds of its rate that a rule has saved when it becomes limited
MIN_SAVED_REQUESTS = 2.0  #: requests of a rule for which repeats may always be saved up
DIVIDE_INTERVAL_SECONDS = 0.1  #: bounds the work for each request where many rules are affected
REPORT_INTERVAL_SECONDS = 1.0  #: between two log lines about one rule
#: Seconds over which the rest of the budget would be spent at the present rate.
SPENDING_SECONDS = 4.0
#: Seconds over which the arrivals of a rule are averaged. An ingress gets a few requests of a rule
#: per second; over one second they often seem to need nothing, and less important ones would begin.
ARRIVAL_AVERAGE_SECONDS = 4.0
#: Seconds of a rule's requests that an ingress must have seen before it knows their rate.
MIN_KNOWN_SECONDS = 1.0
#: A request with less than this share of the time that callers have at first counts as one that was
#: refused before: a refused caller waits for a tenth of its time or more before it comes back.
RETURNING_TIME_SHARE = 0.95
#: Weight of one request in lowering the longest known time, as callers may change their timeouts.
TIME_LEFT_WEIGHT = 0.01
MAX_RULES = 4096  #: rules that are kept; a configuration grows by some hundred routes


class Verdict(Enum):
    """Decision on one request."""

    UNAFFECTED = 'unaffected'  #: its calls are not refused, as far as is known
    CARRIED = 'carried'  #: it begins, and repeats are set aside for its calls
    RETURNING = 'returning'  #: it begins without them, as its caller was refused before
    SHED = 'shed'  #: there are no repeats for its calls


class AdmittedRate(NamedTuple):
    """Rate at which requests of a rule begin while a service refuses their calls."""

    service: str
    refused_share: float
    admitted_per_second: float


class _ReportedRefusals:
    """Moving averages of what is reported of one service, and when it was last reported."""

    __slots__ = ('budget_left', 'divided_at', 'reported_at', 'value')

    def __init__(self) -> None:
        self.value = 0.0
        self.budget_left = 1.0
        self.divided_at = -math.inf  #: time at which the budget was last divided among the rules
        self.reported_at = -math.inf

    def update(self, now: float, refusals: Refusals) -> None:
        weight = 1 - math.exp((self.reported_at - now) / REPORT_AVERAGE_SECONDS)
        weight = max(weight, MIN_REPORT_WEIGHT)
        self.value += weight * (min(refusals.share, MAX_REFUSED_SHARE) - self.value)
        self.budget_left += weight * (refusals.budget_left - self.budget_left)
        self.reported_at = now

    def repeats_per_call(self, now: float) -> float:
        """Return the repeats that one call needs on average; 0 if it is refused little."""
        stale_seconds = max(now - self.reported_at - STALE_AFTER_SECONDS, 0.0)
        steps = math.ceil(stale_seconds / REOPEN_STEP_SECONDS)
        repeats = self.value / (1 - self.value) * REOPEN_STEP_FACTOR**steps
        return repeats if repeats >= MIN_REPEATS_PER_CALL else 0.0


class _RuleState:
    """Arrivals of one rule, the calls that its requests make, and repeats saved for them."""

    def __init__(self, now: float, rank: Rank, window: float) -> None:
        self.rank = rank
        self.first_at = now
        self.arrivals = DemandRate(ARRIVAL_AVERAGE_SECONDS)
        self.begun = RequestWindows(window)
        self.service = ''  #: the refusing service that its requests call
        self.calls = 0.0  #: calls of one request at that service
        self.is_complete = False  #: whether a completed request has shown the number of calls
        #: Repeats saved for the next requests; for direct requests, requests that may begin.
        self.saved: float | None = None
        self.saved_at = now
        self.repeat_rate = 0.0  #: repeats per second that the rules before this one leave
        self.is_limited = False  #: whether its requests need more than that
        self.higher_ranks_share = 1.0  #: smallest carried share of the more important ranks
        self.admitted = DemandRate(DEMAND_AVERAGE_SECONDS)
        self.next_report_at = now
        self.longest_time_left = 0.0  #: seconds that callers wait at first

    def is_returning(self, time_left: float) -> bool:
        """Return whether a caller has waited before, as it has less time than others; record it.

        Any node may get the request that a caller sends again after a refusal, with another id.
        Its caller has less time left than those that ask for the first time.
        """
        if time_left == math.inf:
            return False
        self.longest_time_left = max(
            time_left,
            self.longest_time_left + TIME_LEFT_WEIGHT * (time_left - self.longest_time_left),
        )
        return time_left < RETURNING_TIME_SHARE * self.longest_time_left

    def use_saved(self, now: float, rate: float, repeats: float) -> bool:
        """Use saved repeats for one request; return False if there are too few.

        ``rate`` is the number of repeats that are saved per second.
        """
        if self.saved is None:
            self.saved = rate * START_SAVED_SECONDS
        else:
            limit = max(rate * MAX_SAVED_SECONDS, repeats * MIN_SAVED_REQUESTS)
            self.saved = min(self.saved + rate * (now - self.saved_at), limit)
        self.saved_at = now
        if self.saved < repeats:
            return False
        self.saved -= repeats
        return True

    def order(self) -> tuple[int, float]:
        """Return the sort key of rules: rank, then calls, to which repeats are proportional."""
        return self.rank, self.calls


class CarriedRequests:
    """Decides at an ingress which requests begin while a service below refuses calls.

    Guards against this failure: all targets of a deep service refuse 55 % of their calls. A request
    with eight calls then needs ten repeats, and the fleet may send repeats for a third of such
    requests. When all requests begin, the repeats are used up within three seconds, and after that
    nearly all requests fail after their first calls have run.

    Each ingress spends the part of the budget that its own requests contribute, which is their
    calls times the ratio. The sum over all nodes is the budget, without coordination. Rules are
    served in the order of rank, then of the repeats that a request needs. A rule gets what the
    rules before it leave.

    A caller that was refused and comes back is not refused again: it has waited as it was told, and
    its request begins, without repeats set aside for it. If it were refused once more, the repeats
    that the others leave would go unused, and fewer requests would be completed in all.
    """

    def __init__(self, window: float, allowance: Callable[[float], Allowance]) -> None:
        """``window`` is that of the retry budget, in seconds."""
        self.window = window
        self.allowance = allowance
        self.verdicts: Counter[Verdict] = Counter()  #: on requests whose calls are refused
        self._rules: dict[str, _RuleState] = {}
        self._shares: dict[str, _ReportedRefusals] = {}

    def record_share(self, now: float, rule: str, refusals: Refusals) -> None:
        """Record the refused share of a service that calls of this rule lead to."""
        share = self._shares.setdefault(refusals.service, _ReportedRefusals())
        share.update(now, refusals)
        state = self._rules.get(rule)
        if state is not None:
            self._attribute(now, state, refusals.service)

    def record_calls(self, rule: str, service: str, calls: int, *, completed: bool) -> None:
        """Record how many calls a request made at a refusing service.

        Until a request has completed, the largest number of calls of a failed one is used.
        """
        state = self._rules.get(rule)
        if state is None or not calls or service != state.service:
            return
        if not completed:
            state.calls = state.calls if state.is_complete else max(state.calls, calls)
            return
        weight = CALLS_WEIGHT if state.is_complete else 1.0
        state.calls += weight * (calls - state.calls)
        state.is_complete = True

    def decide(
        self, now: float, rule: str, rank: Rank, service: str, time_left: float = math.inf
    ) -> Verdict:
        """Decide on a request of a caller, which is sent to ``service``, and count it.

        ``time_left`` is how many seconds the caller still waits, infinite if it does not say.
        """
        state = self._rules.get(rule)
        if state is None:
            if len(self._rules) >= MAX_RULES:
                self._rules.clear()
            state = self._rules[rule] = _RuleState(now, rank, self.window)
        state.rank = rank
        state.arrivals.add(now)
        if service in self._shares:
            self._attribute(now, state, service)
        is_direct = state.service == service
        if is_direct:
            state.calls = 1.0
        is_returning = state.is_returning(time_left)
        verdict = self._decide(now, state, is_direct=is_direct)
        if verdict is Verdict.SHED and is_returning:
            verdict = Verdict.RETURNING
        if verdict is not Verdict.UNAFFECTED:
            self.verdicts[verdict] += 1
        if verdict is not Verdict.SHED:
            state.begun.add(now)
            state.admitted.add(now)
        return verdict

    def _attribute(self, now: float, state: _RuleState, service: str) -> None:
        """Attribute a rule to this service if it refuses more than the rule's present one.

        A rule is limited by one service only, the one that refuses the largest share of calls.
        """
        current = self._shares.get(state.service)
        if state.service == service:
            return
        repeats = self._shares[service].repeats_per_call(now)
        if current is None or repeats > current.repeats_per_call(now):
            state.service, state.calls, state.is_complete = service, 0.0, False

    def admitted_rate(self, now: float, rule: str) -> AdmittedRate | None:
        """Return the rate of an affected rule, at most once per second; else None."""
        state = self._rules.get(rule)
        if state is None or not self._repeats_needed(now, state) or now < state.next_report_at:
            return None
        state.next_report_at = now + REPORT_INTERVAL_SECONDS
        share = self._shares[state.service]
        return AdmittedRate(state.service, share.value, state.admitted.rate(now))

    def refused_shares(self, now: float) -> dict[str, float]:
        """Return the refused share of each service that requests are shed for."""
        return {
            name: share.value for name, share in self._shares.items() if share.repeats_per_call(now)
        }

    def _decide(self, now: float, state: _RuleState, *, is_direct: bool) -> Verdict:
        repeats = self._repeats_needed(now, state)
        if not repeats or now - state.first_at < MIN_KNOWN_SECONDS:
            state.saved = None
            return Verdict.UNAFFECTED
        self._divide_budget(now, state.service)
        rate, is_limited = state.repeat_rate, state.is_limited
        if is_direct:
            # A refused direct request did not run and has cost nothing, so it may begin without
            # repeats. It is shed only so that no more valuable rule is served less often.
            share = state.higher_ranks_share
            rate, repeats, is_limited = state.arrivals.rate(now) * share, 1.0, share < 1
        if not is_limited or state.use_saved(now, rate, repeats):
            return Verdict.CARRIED
        return Verdict.SHED

    def _repeats_needed(self, now: float, state: _RuleState) -> float:
        """Return the repeats that one request needs on average; 0 if not affected or unknown."""
        share = self._shares.get(state.service)
        return state.calls * share.repeats_per_call(now) if share else 0.0

    def _divide_budget(self, now: float, service: str) -> None:
        """Give each rule the repeats per second that the rules before it leave."""
        share = self._shares[service]
        if now - share.divided_at < DIVIDE_INTERVAL_SECONDS:
            return
        share.divided_at = now
        affected = [state for state in self._rules.values() if state.service == service]
        left = self._budget_rate(now, share, affected)
        higher_ranks_share = rank_share = 1.0
        rank = Rank.CRITICAL
        for state in sorted(affected, key=_RuleState.order):
            if state.rank != rank:
                rank, higher_ranks_share = state.rank, rank_share
            demand = state.arrivals.rate(now) * self._repeats_needed(now, state)
            state.repeat_rate, state.higher_ranks_share = left, higher_ranks_share
            state.is_limited = demand > left
            if state.is_limited:
                rank_share = min(rank_share, left / demand)
            left = max(left - demand, 0.0)

    def _budget_rate(
        self, now: float, share: _ReportedRefusals, affected: list[_RuleState]
    ) -> float:
        """Return the repeats per second that the requests of this ingress entitle it to.

        It spends what is left of the budget over ``SPENDING_SECONDS``, so that the rate falls as
        the budget is used up, and the requests that have begun find repeats. Calls earn new ones.
        """
        ratio, extra = self.allowance(now)
        calls = sum(
            state.calls
            * state.begun.largest_count(now)
            / min(max(now - state.first_at, MIN_KNOWN_SECONDS), state.begun.covered_seconds)
            for state in affected
        )
        left = (ratio * calls * self.window + extra) * share.budget_left
        earned = ratio * sum(state.calls * state.admitted.rate(now) for state in affected)
        return max(left / SPENDING_SECONDS, earned)
