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
from tests.fakes.slots_load import Events

DOMAINS = ('a', 'b', 'c')
ENTRIES = 12
REFUSALS_MOST = 3  #: nodes in turn that may refuse a call
LINK = 0.001  #: seconds between nodes, one way
BETWEEN_CALLS = 0.005  #: seconds of a caller's own work
KNEE, KNEE_FACTOR = 0.95, 1.3  #: above this share of its slots a target takes so many times longer
RATIO, WINDOW = 0.2, 10.0  #: repeats for each call, over so many seconds
SENDS_MOST = 12  #: of one call that targets turn away
TURN_AWAY = 0.001  #: seconds in which a target says that it will not run a call
CALL_OBJECTIVE, CALL_DEADLINE = 0.3, 0.7  #: seconds

Process = Generator[Any, None, Any]


class Kind(NamedTuple):
    """Requests of one kind. Rates are those of usual load; times in seconds."""

    name: str
    rank: Rank
    rate: float
    objective: float
    deadline: float
    seconds: float  #: for which each call, or the request itself, holds a slot
    above: float = 0.0  #: of work before the calls
    chains: int = 0  #: of four calls one after the other, side by side; 0: it is no caller


class Pattern(NamedTuple):
    """What is unusual from second 2 to 7 of 8."""

    surge: float = 1.0  #: times the usual rates
    hard: float = 0.0  #: share of callers that come again at once, up to three times
    lost: int = 0  #: targets that are gone
    sheds: float = 0.0  #: share of what arrives that all targets turn away
    seconds: float = 5.0  #: for which it lasts, from second 2 on


class Share(NamedTuple):
    """Of the requests of one kind that came while the pattern held."""

    in_time: float
    spoilt: float  #: begun, and failed for one of their calls


@dataclass
class Try:
    """One attempt of a caller."""

    kind: Kind
    level: int
    deadline: float
    cost: float = 0.0
    heard: list[Load] = field(default_factory=list)


class Target:
    """One target, and the queue of the node beside it."""

    def __init__(self, instance: str, domain: str, factor: float, slots: int) -> None:
        self.candidate = Candidate(instance, domain)
        self.factor = factor
        self.admission = SlotAdmission()
        self.admission.set_slots(slots)
        self.waiting: dict[int, Process] = {}
        self.started: set[int] = set()


class CallingNode(NamedTuple):
    """A node of the service that calls the deep one."""

    router: Router
    levels: ChainLevels
    budget: RetryBudget


class Entry(NamedTuple):
    """A node at which requests come in."""

    levels: ChainLevels
    costs: RequestCosts
    outcomes: FailureThrottle


class DeepLoad(Events):
    """A run of eight seconds; ``factors`` are times that targets take for the same call."""

    def __init__(
        self,
        kinds: tuple[Kind, ...],
        pattern: Pattern,
        seed: int,
        *,
        slots: int,
        factors: tuple[float, ...] = (0.7, 0.7, 1.6),
        early: bool = True,
        by_cost: bool = True,
        by_outcome: bool = True,
    ) -> None:
        super().__init__()
        self.kinds = kinds
        self.pattern = pattern
        self.rng = Random(seed)
        self.slots = slots
        self.early = early
        self.by_cost = by_cost
        self.by_outcome = by_outcome
        self.targets = {
            f't{i}': Target(f't{i}', DOMAINS[i % 3], factor, slots)
            for i, factor in enumerate(factors)
        }
        self.entries = [
            Entry(ChainLevels(), RequestCosts(), FailureThrottle()) for _ in range(ENTRIES)
        ]
        self.callers = [
            CallingNode(Router(domain, Random(self.rng.random())), ChainLevels(), self._budget())
            for domain in DOMAINS
        ]
        self.asked: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()
        self.spoilt: Counter[str] = Counter()

    def _budget(self) -> RetryBudget:
        """Give a budget whose window is full of usual calls."""
        budget = RetryBudget(RATIO, 0.0, WINDOW)
        usual = sum(kind.rate * max(4 * kind.chains, 1) for kind in self.kinds)
        count = round(usual * WINDOW / len(DOMAINS))
        for index in range(count):
            # Spread over the window: sent in one moment, they would count beside those of the run.
            budget.record_request(index / count * WINDOW - WINDOW, 'deep')
        return budget

    def run(self) -> dict[str, Share]:
        for kind in self.kinds:
            self._next(kind)
        self.play(8.0 + self.pattern.seconds)
        return {name: self._share(name) for name in self.asked}

    def _share(self, name: str) -> Share:
        asked = self.asked[name]
        return Share(self.in_time[name] / asked, self.spoilt[name] / asked)

    @property
    def unusual(self) -> bool:
        return 2 <= self.now < 2 + self.pattern.seconds

    def _next(self, kind: Kind) -> None:
        rate = kind.rate * (self.pattern.surge if self.unusual else 1.0)
        self.at(self.now + self.rng.expovariate(rate), lambda: self._new(kind))

    def _new(self, kind: Kind) -> None:
        if self.now >= 3 + self.pattern.seconds:
            return
        self._next(kind)
        hard = self.unusual and self.rng.random() < self.pattern.hard
        self._advance(self._request(kind, hard=hard, counted=self.unusual))

    def _advance(self, process: Process) -> None:
        """Go on with a process: it yields seconds to wait, or a target whose queue it is in."""
        for wait in process:
            if isinstance(wait, float):
                self.at(self.now + wait, lambda: self._advance(process))
            else:
                target, call_id = wait
                target.waiting[call_id] = process
            return

    def _request(self, kind: Kind, *, hard: bool, counted: bool) -> Process:
        began = self.now
        self.asked[kind.name] += counted
        for left in range(3 if hard else 1, -1, -1):
            answer = yield from self._attempt(kind, began + kind.deadline)
            if answer is True:
                self.in_time[kind.name] += counted and self.now <= began + kind.objective
                return
            if answer is False:
                self.spoilt[kind.name] += counted
                return
            if left:
                time_left = began + kind.deadline - self.now
                yield 0.01 if hard else min(answer, time_left / 3)

    def _attempt(self, kind: Kind, deadline: float) -> Process:
        """Give True when served, False when lost on the way, seconds to come back if refused."""
        entry = self.rng.choice(self.entries)
        priority = Priority(kind.rank, self.rng.randrange(SLOTS_PER_RANK))
        if self.by_cost:
            priority = entry.costs.adjust_priority(self.now, kind.name, priority)
        one = Try(kind, priority.level, deadline)
        if self.early:
            failure = entry.levels.check(
                self.now, 'deep', kind.name, one.level, useful_for=kind.objective
            )
            if failure is not None:
                return failure.retry_after
        caller = self.rng.choice(self.callers)
        if self.by_outcome and not entry.outcomes.admits(self.now, kind.name):
            return kind.objective / 2
        answer = yield from (self._chains if kind.chains else self._direct)(one, caller)
        for load in one.heard:
            heard = ReportedLevel(load.level, load.age)
            entry.levels.record_response(self.now, 'deep', kind.name, heard)
        if answer in (True, False):
            entry.outcomes.record_end(self.now, kind.name, failed=answer is False)
        if answer is True:
            entry.costs.record(self.now, kind.name, kind.rank, one.cost)
        return answer

    def _direct(self, one: Try, caller: CallingNode) -> Process:
        useful = self.now + one.kind.objective
        again, heard = yield from self._call(caller, one, 0, one.deadline, useful)
        one.heard += heard
        return True if again is None else again

    def _chains(self, one: Try, caller: CallingNode) -> Process:
        yield one.kind.above * self.rng.uniform(0.5, 1.5)
        ended: list[bool] = []
        for _ in range(one.kind.chains):
            self._advance(self._chain(one, caller, ended))
        while len(ended) < one.kind.chains and False not in ended:
            yield 0.002
        worst = caller.levels.lowest_in_chain(self.now, 'middle', ReportedLevel(LOWEST_LEVEL))
        one.heard.append(Load(level=worst.level, age=worst.age))
        return all(ended)

    def _chain(self, one: Try, caller: CallingNode, ended: list[bool]) -> Process:
        for _ in range(4):
            caller.levels.record_call(self.now, 'middle', 'deep', 'call')
            deadline, useful = self.now + CALL_DEADLINE, self.now + CALL_OBJECTIVE
            again, heard = yield from self._call(caller, one, 3, deadline, useful)
            for load in heard:
                caller.levels.record_response(self.now, 'deep', 'call', ReportedLevel(load.level))
            if again is not None:
                ended.append(False)
                return
            yield BETWEEN_CALLS
        ended.append(True)

    def _call(
        self, caller: CallingNode, one: Try, hop: int, deadline: float, useful: float
    ) -> Process:
        """Ask one target after another; gives None or seconds to come back, and loads heard."""
        gone = self.pattern.lost if self.unusual else 0
        candidates = [t.candidate for t in list(self.targets.values())[gone:]]
        router = caller.router
        caller.budget.record_request(self.now, 'deep')
        turned_away = 0
        tried: set[str] = set()
        heard: list[Load] = []
        again: float | None = 0.5
        while again is not None and len(tried) < min(REFUSALS_MOST, len(candidates)):
            chosen = router.choose(self.now, candidates, frozenset(tried))
            assert chosen is not None
            tried.add(chosen.instance)
            target = self.targets[chosen.instance]
            router.record_sent(chosen.instance)
            yield LINK
            ticket = build_ticket(
                next(self.numbers),
                arrived_at=self.now,
                level=one.level,
                deadline=deadline,
                rule='call' if hop else one.kind.name,
                hop=hop,
                useful_until=useful,
            )
            again = yield from self._admitted(target, ticket)
            away = False
            if again is None:
                away = yield from self._run(target, ticket, one)
            yield LINK
            heard.append(target.admission.load(self.now))
            router.record_answer(self.now, chosen.instance, heard[-1], error=away)
            if away:
                again = 0.5
                turned_away += 1
                tried.clear()
                if turned_away == SENDS_MOST or not caller.budget.spend(
                    self.now, 'deep', one.level
                ):
                    break
        return again, heard

    def _admitted(self, target: Target, ticket: Ticket) -> Process:
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

    def _run(self, target: Target, ticket: Ticket, one: Try) -> Process:
        if self.unusual and self.pattern.sheds and self.rng.random() < self.pattern.sheds:
            yield TURN_AWAY
            sample = Sample(ticket.rule, 0.0, completed=False)
            self._ended(target, ticket, sample)
            return True
        nearly_full = target.admission.inflight > KNEE * self.slots
        factor = target.factor * (KNEE_FACTOR if nearly_full else 1.0)
        seconds = one.kind.seconds * factor * self.rng.uniform(0.5, 1.5)
        yield seconds
        one.cost += seconds / target.admission.limit
        self._ended(target, ticket, Sample(ticket.rule, seconds, completed=True))
        return False

    def _ended(self, target: Target, ticket: Ticket, sample: Sample) -> None:
        target.admission.finish(self.now, ticket, sample)
        released = target.admission.dequeue(self.now)
        for started in released.started:
            target.started.add(started.call_id)
            self._wake(target, started)
        for dropped in released.expired:
            self._wake(target, dropped)

    def _wake(self, target: Target, ticket: Ticket) -> None:
        process = target.waiting.pop(ticket.call_id)
        self.at(self.now, lambda: self._advance(process))
