"""Load on one deep service, reached by calls of requests and by requests of its own.

Simulated time; entries, the nodes that call and those beside the targets decide by the product's
own parts. The services between an entry and the deep service are a delay: they have room.
"""

from collections import Counter
from collections.abc import Generator
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from dunlinsaddle.policy.admission import Load, Refuse, Sample, Ticket, Wait
from dunlinsaddle.policy.context import LOWEST_LEVEL, SLOTS_PER_RANK, Priority
from dunlinsaddle.policy.failure_throttle import FailureThrottle
from dunlinsaddle.policy.level import ChainLevels, ReportedLevel
from dunlinsaddle.policy.request_costs import RequestCosts
from dunlinsaddle.policy.retry_budget import RetryBudget
from dunlinsaddle.policy.route import Candidate, Router
from dunlinsaddle.policy.slots import SlotAdmission
from dunlinsaddle.records.models import Rank
from tests.builders import build_ticket
from tests.fakes.slots_load import Simulation

DOMAINS = ('a', 'b', 'c')
ENTRY_NODES = 12
MAX_REFUSALS = 3  #: nodes in turn that may refuse a call
LINK_SECONDS = 0.001  #: seconds between nodes, one way
BETWEEN_CALLS_SECONDS = 0.005  #: seconds of a caller's own work
SATURATION_SHARE, SATURATION_SLOWDOWN = (
    0.95,
    1.3,
)  #: above this share of its slots a target takes so many times longer
RETRY_BUDGET_RATIO, RETRY_BUDGET_WINDOW_SECONDS = (
    0.2,
    10.0,
)  #: repeats for each call, over so many seconds
MAX_SENDS = 12  #: of one call that targets turn away
REFUSAL_SECONDS = 0.001  #: seconds in which a target says that it will not run a call
CALL_OBJECTIVE_SECONDS, CALL_TIMEOUT_SECONDS = 0.3, 0.7  #: seconds

Process = Generator[Any, None, Any]


class RequestKind(NamedTuple):
    """Requests of one kind. Rates are those of usual load; times in seconds."""

    name: str
    rank: Rank
    rate: float
    objective: float
    deadline: float
    slot_seconds: float  #: for which each call, or the request itself, holds a slot
    upstream_seconds: float = 0.0  #: of work before the calls
    chains: int = 0  #: of four calls one after the other, side by side; 0: it is no caller


class LoadPattern(NamedTuple):
    """What is unusual from second 2 to 7 of 8."""

    surge: float = 1.0  #: times the usual rates
    immediate_retries: float = 0.0  #: share of callers that come again at once, up to three times
    lost_targets: int = 0  #: targets that are gone
    shed_share: float = 0.0  #: share of what arrives that all targets turn away
    duration: float = 5.0  #: for which it lasts, from second 2 on


class RequestShares(NamedTuple):
    """Of the requests of one kind that came while the pattern held."""

    in_time: float
    wasted: float  #: begun, and failed for one of their calls


@dataclass
class Attempt:
    """One attempt of a caller."""

    kind: RequestKind
    level: int
    deadline: float
    cost: float = 0.0
    loads: list[Load] = field(default_factory=list)


class Target:
    """One target, and the queue of the node beside it."""

    def __init__(self, instance: str, domain: str, slowdown: float, slots: int) -> None:
        self.candidate = Candidate(instance, domain)
        self.slowdown = slowdown
        self.admission = SlotAdmission()
        self.admission.set_slots(slots)
        self.waiting: dict[int, Process] = {}
        self.started: set[int] = set()


class CallingNode(NamedTuple):
    """A node of the service that calls the deep one."""

    router: Router
    levels: ChainLevels
    budget: RetryBudget


class EntryNode(NamedTuple):
    """A node at which requests come in."""

    levels: ChainLevels
    costs: RequestCosts
    failure_throttle: FailureThrottle


class DeepLoad(Simulation):
    """A run of eight seconds; ``slowdowns`` are times that targets take for the same call."""

    def __init__(
        self,
        kinds: tuple[RequestKind, ...],
        pattern: LoadPattern,
        seed: int,
        *,
        slots: int,
        slowdowns: tuple[float, ...] = (0.7, 0.7, 1.6),
        early_refusal: bool = True,
        prioritise_by_cost: bool = True,
        throttle_failures: bool = True,
    ) -> None:
        super().__init__()
        self.kinds = kinds
        self.pattern = pattern
        self.rng = Random(seed)
        self.slots = slots
        self.early_refusal = early_refusal
        self.prioritise_by_cost = prioritise_by_cost
        self.throttle_failures = throttle_failures
        self.targets = {
            f't{i}': Target(f't{i}', DOMAINS[i % 3], slowdown, slots)
            for i, slowdown in enumerate(slowdowns)
        }
        self.entries = [
            EntryNode(ChainLevels(), RequestCosts(), FailureThrottle()) for _ in range(ENTRY_NODES)
        ]
        self.callers = [
            CallingNode(Router(domain, Random(self.rng.random())), ChainLevels(), self._budget())
            for domain in DOMAINS
        ]
        self.sent: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()
        self.wasted: Counter[str] = Counter()

    def _budget(self) -> RetryBudget:
        """Give a budget whose window is full of usual calls."""
        budget = RetryBudget(RETRY_BUDGET_RATIO, 0.0, RETRY_BUDGET_WINDOW_SECONDS)
        usual = sum(kind.rate * max(4 * kind.chains, 1) for kind in self.kinds)
        count = round(usual * RETRY_BUDGET_WINDOW_SECONDS / len(DOMAINS))
        for index in range(count):
            # Spread over the window: sent in one moment, they would count beside those of the run.
            budget.record_request(
                index / count * RETRY_BUDGET_WINDOW_SECONDS - RETRY_BUDGET_WINDOW_SECONDS, 'deep'
            )
        return budget

    def run(self) -> dict[str, RequestShares]:
        for kind in self.kinds:
            self._schedule_next(kind)
        self.run_until(8.0 + self.pattern.duration)
        return {name: self._share(name) for name in self.sent}

    def _share(self, name: str) -> RequestShares:
        sent = self.sent[name]
        return RequestShares(self.in_time[name] / sent, self.wasted[name] / sent)

    @property
    def is_pattern_active(self) -> bool:
        return 2 <= self.now < 2 + self.pattern.duration

    def _schedule_next(self, kind: RequestKind) -> None:
        rate = kind.rate * (self.pattern.surge if self.is_pattern_active else 1.0)
        self.schedule_at(self.now + self.rng.expovariate(rate), lambda: self._start_request(kind))

    def _start_request(self, kind: RequestKind) -> None:
        if self.now >= 3 + self.pattern.duration:
            return
        self._schedule_next(kind)
        immediate_retries = (
            self.is_pattern_active and self.rng.random() < self.pattern.immediate_retries
        )
        self._advance(
            self._run_request(
                kind, immediate_retries=immediate_retries, counted=self.is_pattern_active
            )
        )

    def _advance(self, process: Process) -> None:
        """Go on with a process: it yields seconds to wait, or a target whose queue it is in."""
        for wait in process:
            if isinstance(wait, float):
                self.schedule_at(self.now + wait, lambda: self._advance(process))
            else:
                target, call_id = wait
                target.waiting[call_id] = process
            return

    def _run_request(self, kind: RequestKind, *, immediate_retries: bool, counted: bool) -> Process:
        began = self.now
        self.sent[kind.name] += counted
        for left in range(3 if immediate_retries else 1, -1, -1):
            answer = yield from self._run_attempt(kind, began + kind.deadline)
            if answer is True:
                self.in_time[kind.name] += counted and self.now <= began + kind.objective
                return
            if answer is False:
                self.wasted[kind.name] += counted
                return
            if left:
                time_left = began + kind.deadline - self.now
                yield 0.01 if immediate_retries else min(answer, time_left / 3)

    def _run_attempt(self, kind: RequestKind, deadline: float) -> Process:
        """Give True when served, False when lost on the way, seconds to come back if refused."""
        entry = self.rng.choice(self.entries)
        priority = Priority(kind.rank, self.rng.randrange(SLOTS_PER_RANK))
        if self.prioritise_by_cost:
            priority = entry.costs.adjust_priority(self.now, kind.name, priority)
        attempt = Attempt(kind, priority.level, deadline)
        if self.early_refusal:
            failure = entry.levels.check(
                self.now, 'deep', kind.name, attempt.level, useful_for=kind.objective
            )
            if failure is not None:
                return failure.retry_after
        caller = self.rng.choice(self.callers)
        if self.throttle_failures and not entry.failure_throttle.admits(self.now, kind.name):
            return kind.objective / 2
        answer = yield from (self._run_chains if kind.chains else self._call_directly)(
            attempt, caller
        )
        for load in attempt.loads:
            reported = ReportedLevel(load.level, load.age)
            entry.levels.record_response(self.now, 'deep', kind.name, reported)
        if answer in (True, False):
            entry.failure_throttle.record_end(self.now, kind.name, failed=answer is False)
        if answer is True:
            entry.costs.record(self.now, kind.name, kind.rank, attempt.cost)
        return answer

    def _call_directly(self, attempt: Attempt, caller: CallingNode) -> Process:
        useful = self.now + attempt.kind.objective
        again, loads = yield from self._call(caller, attempt, 0, attempt.deadline, useful)
        attempt.loads += loads
        return True if again is None else again

    def _run_chains(self, attempt: Attempt, caller: CallingNode) -> Process:
        yield attempt.kind.upstream_seconds * self.rng.uniform(0.5, 1.5)
        ended: list[bool] = []
        for _ in range(attempt.kind.chains):
            self._advance(self._run_chain(attempt, caller, ended))
        while len(ended) < attempt.kind.chains and False not in ended:
            yield 0.002
        worst = caller.levels.lowest_in_chain(self.now, 'middle', ReportedLevel(LOWEST_LEVEL))
        attempt.loads.append(Load(level=worst.level, age=worst.age))
        return all(ended)

    def _run_chain(self, attempt: Attempt, caller: CallingNode, ended: list[bool]) -> Process:
        for _ in range(4):
            caller.levels.record_call(self.now, 'middle', 'deep', 'call')
            deadline, useful = self.now + CALL_TIMEOUT_SECONDS, self.now + CALL_OBJECTIVE_SECONDS
            again, loads = yield from self._call(caller, attempt, 3, deadline, useful)
            for load in loads:
                caller.levels.record_response(self.now, 'deep', 'call', ReportedLevel(load.level))
            if again is not None:
                ended.append(False)
                return
            yield BETWEEN_CALLS_SECONDS
        ended.append(True)

    def _call(
        self, caller: CallingNode, attempt: Attempt, hop: int, deadline: float, useful: float
    ) -> Process:
        """Ask one target after another; gives None or seconds to come back, and loads heard."""
        gone = self.pattern.lost_targets if self.is_pattern_active else 0
        candidates = [t.candidate for t in list(self.targets.values())[gone:]]
        router = caller.router
        caller.budget.record_request(self.now, 'deep')
        turned_away = 0
        tried: set[str] = set()
        loads: list[Load] = []
        again: float | None = 0.5
        while again is not None and len(tried) < min(MAX_REFUSALS, len(candidates)):
            chosen = router.choose(self.now, candidates, frozenset(tried))
            assert chosen is not None
            tried.add(chosen.instance)
            target = self.targets[chosen.instance]
            router.record_sent(chosen.instance)
            yield LINK_SECONDS
            ticket = build_ticket(
                next(self.sequence),
                arrived_at=self.now,
                level=attempt.level,
                deadline=deadline,
                rule='call' if hop else attempt.kind.name,
                hop=hop,
                useful_until=useful,
            )
            again = yield from self._admit(target, ticket)
            away = False
            if again is None:
                away = yield from self._run_call(target, ticket, attempt)
            yield LINK_SECONDS
            loads.append(target.admission.load(self.now))
            router.record_answer(self.now, chosen.instance, loads[-1], error=away)
            if away:
                again = 0.5
                turned_away += 1
                tried.clear()
                if turned_away == MAX_SENDS or not caller.budget.spend(
                    self.now, 'deep', attempt.level
                ):
                    break
        return again, loads

    def _admit(self, target: Target, ticket: Ticket) -> Process:
        """Give None when a slot is free for the call, or seconds to come back."""
        match target.admission.admit(self.now, ticket):
            case Refuse(failure):
                return failure.retry_after
            case Wait(evicted):
                if evicted is not None:
                    self._wake(target, evicted)
                yield target, ticket.call_id
                if ticket.call_id not in target.started:
                    return 0.5
        return None

    def _run_call(self, target: Target, ticket: Ticket, attempt: Attempt) -> Process:
        if (
            self.is_pattern_active
            and self.pattern.shed_share
            and self.rng.random() < self.pattern.shed_share
        ):
            yield REFUSAL_SECONDS
            sample = Sample(ticket.rule, 0.0, completed=False)
            self._finish(target, ticket, sample)
            return True
        nearly_full = target.admission.inflight > SATURATION_SHARE * self.slots
        slowdown = target.slowdown * (SATURATION_SLOWDOWN if nearly_full else 1.0)
        seconds = attempt.kind.slot_seconds * slowdown * self.rng.uniform(0.5, 1.5)
        yield seconds
        attempt.cost += seconds / target.admission.limit
        self._finish(target, ticket, Sample(ticket.rule, seconds, completed=True))
        return False

    def _finish(self, target: Target, ticket: Ticket, sample: Sample) -> None:
        target.admission.finish(self.now, ticket, sample)
        released = target.admission.dequeue(self.now)
        for started in released.started:
            target.started.add(started.call_id)
            self._wake(target, started)
        for dropped in released.expired:
            self._wake(target, dropped)

    def _wake(self, target: Target, ticket: Ticket) -> None:
        process = target.waiting.pop(ticket.call_id)
        self.schedule_at(self.now, lambda: self._advance(process))
