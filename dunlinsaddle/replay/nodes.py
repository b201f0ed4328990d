"""Small fakes of nodes: the real decisions, with latencies in place of connections."""

from collections.abc import Callable
from typing import NamedTuple

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.admission import (
    Admission,
    AdmissionPolicy,
    Load,
    Refuse,
    Sample,
    Ticket,
    Wait,
)
from dunlinsaddle.policy.callers import ResendGuard
from dunlinsaddle.policy.level import ChainLevels, Heard
from dunlinsaddle.policy.naive import RETRIES_PER_HOP
from dunlinsaddle.policy.quarantine import DEATHS_MOST, Barred, Quarantine
from dunlinsaddle.policy.retry import Allowance, may_resend
from dunlinsaddle.policy.route import Candidate, Router
from dunlinsaddle.records.models import ServiceRecord
from dunlinsaddle.replay.attempt import ENTRY, Answer, Attempt, Parent, refused
from dunlinsaddle.replay.events import EventLoop, Process, Waiter
from dunlinsaddle.replay.fakes import FakeTarget, Network
from dunlinsaddle.replay.trace import Call

SILENT_AFTER = 1.0  #: seconds until a silent connection is dropped
VIEW_LAG = 0.5  #: seconds until all nodes have heard that a target has gone or come


class Fleet(NamedTuple):
    """What all nodes share."""

    loop: EventLoop
    network: Network
    records: dict[str, ServiceRecord]
    nodes: dict[str, list['FakeNode']]
    idempotent: Callable[[str, str], bool]  #: by service and rule
    died: Callable[['FakeNode'], None]  #: hears of a target that a request has killed


class FakeNode:
    """A node with its target. Subclasses differ in how a call is sent on."""

    def __init__(
        self,
        fleet: Fleet,
        instance: Candidate,
        target: FakeTarget,
        admission: AdmissionPolicy,
        router: Router,
    ) -> None:
        self.fleet = fleet
        self.instance = instance
        self.target = target
        self.admission = admission
        self.router = router
        self.listed = True
        self._waiting: dict[int, Waiter] = {}
        self._tickets = 0

    def enter(self, attempt: Attempt, call: Call, allowance: Allowance) -> Process:
        """Take a request of a caller."""
        return (yield from self.dispatch(attempt, call, allowance))

    def dispatch(
        self, attempt: Attempt, call: Call, allowance: Allowance, parent: Parent = ENTRY
    ) -> Process:
        """Send a call to targets of its service until one answer is final."""
        raise NotImplementedError

    def _bar(self, attempt: Attempt) -> Failure | None:
        """Refuse a request that targets have died of."""
        return None

    def _mourn(self, attempt: Attempt) -> None:
        """Note that the target died while it ran a request."""

    def execute(self, attempt: Attempt, call: Call, allowance: Allowance, hop: int = 0) -> Process:
        """Run a call at the local target, or refuse it."""
        loop = self.fleet.loop
        if not self.target.up:
            return refused(ErrorKind.NO_TARGET)
        barred = self._bar(attempt)
        if barred is not None:
            return Answer(barred)
        self._tickets += 1
        level = attempt.priority.level
        ticket = Ticket(
            self._tickets,
            level,
            loop.now,
            attempt.deadline,
            call.rule,
            attempt.caller,
            hop,
        )
        match self.admission.arrive(loop.now, ticket):
            case Refuse(failure):
                return Answer(failure, self._load(call))
            case Wait(evicted):
                if evicted is not None:
                    self._settle(evicted, ErrorKind.OVERLOADED)
                waiter = self._waiting[ticket.call_id] = Waiter(loop)
                kind: ErrorKind | None = yield waiter
                if kind is not None:
                    return refused(kind, self._load(call))
        return (yield from self._run(attempt, call, allowance, ticket))

    def crash(self) -> None:
        """Let the target die; what waits here did not run."""
        self.target.crash()
        for waiter in list(self._waiting.values()):
            waiter.resolve(ErrorKind.NO_TARGET)
        self._waiting.clear()

    def restarted(self) -> None:
        """Hear that the target has announced itself anew."""
        if isinstance(self.admission, Admission):
            self.admission.restarted(self.fleet.loop.now)

    def _run(self, attempt: Attempt, call: Call, allowance: Allowance, ticket: Ticket) -> Process:
        loop, life = self.fleet.loop, self.target.deaths
        if not self.target.accepts():
            self._finish(ticket, Sample(call.rule, 0.0, completed=False))
            return refused(ErrorKind.NO_TARGET)
        self.target.open += 1
        attempt.spend()
        began = loop.now
        if attempt.kills:
            yield self.target.service.service_time
            if self.target.deaths == life:
                self.crash()
                self.fleet.died(self)
        computed: bool = self.target.deaths == life
        if computed:
            computed = yield from self.target.compute(self._give_up(attempt))
        own_time = loop.now - began
        answer = Answer()
        if computed and call.calls:
            self.admission.leave(loop.now, ticket)
            self._release()
            parent = Parent(call.rule, ticket.hop + 1)
            answer = yield from self._call_others(attempt, call, allowance, parent)
        if self.target.deaths == life:
            self.target.open -= 1
        elif answer.failure is None:
            computed = False
        if not computed:
            kind = ErrorKind.DEADLINE_EXCEEDED
            kind = kind if self.target.deaths == life else ErrorKind.TARGET_LOST
            answer = refused(kind)
            if kind is ErrorKind.TARGET_LOST:
                self._mourn(attempt)
        done = answer.failure is None
        self._finish(ticket, Sample(call.rule, own_time, done))
        return answer._replace(load=self._load(call))

    def _call_others(
        self, attempt: Attempt, call: Call, allowance: Allowance, parent: Parent
    ) -> Process:
        for child in call.calls:
            answer: Answer = yield from self.dispatch(attempt, child, allowance, parent)
            if answer.failure is not None:
                # The target passes a failure on as its own: the work has partly run here.
                return Answer(answer.failure)
        return Answer()

    def _finish(self, ticket: Ticket, sample: Sample) -> None:
        now = self.fleet.loop.now
        self.admission.finish(now, ticket, sample)
        self._release()

    def _release(self) -> None:
        now = self.fleet.loop.now
        released = self.admission.release(now)
        for started in released.started:
            self._settle(started, None)
        for dropped in released.dropped:
            self._settle(dropped, ErrorKind.TOO_LATE_TO_START)

    def _settle(self, ticket: Ticket, kind: ErrorKind | None) -> None:
        waiter = self._waiting.pop(ticket.call_id, None)
        if waiter is not None:
            # Not at once: who waits may finish too and come back here meanwhile.
            self.fleet.loop.call_at(self.fleet.loop.now, waiter.resolve, kind)

    def _load(self, call: Call) -> Load:
        return self.admission.load(self.fleet.loop.now)

    def _give_up(self, attempt: Attempt) -> float:
        """Give the time at which the target stops work on a call."""
        return attempt.deadline

    def _send(
        self,
        other: 'FakeNode',
        attempt: Attempt,
        call: Call,
        handed: Allowance,
        hop: int,
    ) -> Process:
        """Hand a call to another node and bring its answer back; lost when cut off."""
        network = self.fleet.network
        if other is self:
            return (yield from self.execute(attempt, call, handed, hop))
        if not network.reaches(self.instance.domain, other.instance.domain):
            yield SILENT_AFTER
            return refused(ErrorKind.PEER_LOST)
        yield network.between
        answer: Answer = yield from other.execute(attempt, call, handed, hop)
        yield network.between
        if not network.reaches(self.instance.domain, other.instance.domain):
            yield SILENT_AFTER
            return refused(ErrorKind.PEER_LOST)
        return answer


class CurrentNode(FakeNode):
    """A node with the policy of the product; without ``levels`` it sheds only locally."""

    def __init__(
        self,
        fleet: Fleet,
        instance: Candidate,
        target: FakeTarget,
        admission: AdmissionPolicy,
        router: Router,
        levels: ChainLevels | None = None,
    ) -> None:
        super().__init__(fleet, instance, target, admission, router)
        self.levels = levels
        self.guard = ResendGuard()
        self.quarantine = Quarantine()

    def enter(self, attempt: Attempt, call: Call, allowance: Allowance) -> Process:
        """Let early resends through only up to the record's ratio."""
        now, name = self.fleet.loop.now, str(attempt.fingerprint)
        record = self.fleet.records[call.service]
        failure = self.guard.check(
            now,
            attempt.caller,
            name,
            rank=attempt.priority.rank,
            ratio=record.resend_ratio,
        )
        if failure is not None:
            return Answer(failure)
        answer: Answer = yield from self.dispatch(attempt, call, allowance)
        now = self.fleet.loop.now
        if answer.failure is None:
            self.guard.answered(attempt.caller, name)
        elif answer.failure.retry_after > 0:
            wait = answer.failure.retry_after
            self.guard.refused(now, attempt.caller, name, wait)
        return answer

    def _bar(self, attempt: Attempt) -> Failure | None:
        self.quarantine.hear(self.fleet.loop.now, attempt.fingerprint, attempt.deaths)
        match self.quarantine.standing(self.fleet.loop.now, attempt.fingerprint):
            case Barred(failure):
                return failure
        return None

    def _mourn(self, attempt: Attempt) -> None:
        now = self.fleet.loop.now
        attempt.deaths = self.quarantine.died(now, attempt.fingerprint)
        self.fleet.loop.call_at(now + VIEW_LAG, self._tell, attempt.fingerprint, attempt.deaths)

    def _tell(self, fingerprint: int, deaths: int) -> None:
        for nodes in self.fleet.nodes.values():
            for node in nodes:
                if isinstance(node, CurrentNode):
                    node.quarantine.hear(self.fleet.loop.now, fingerprint, deaths)

    def dispatch(
        self, attempt: Attempt, call: Call, allowance: Allowance, parent: Parent = ENTRY
    ) -> Process:
        """Refuse early what deeper hops would refuse, else send with the shared allowance."""
        loop = self.fleet.loop
        refusal = self._early_refusal(attempt, call, parent)
        if refusal is not None:
            return Answer(refusal)
        tried: set[str] = set()
        answer: Answer | None = None
        while True:
            listed = {n.instance.instance: n for n in self.fleet.nodes[call.service] if n.listed}
            candidates = [node.instance for node in listed.values()]
            chosen = self.router.choose(loop.now, candidates, frozenset(tried))
            if chosen is None:
                return answer or self._nobody(call)
            if answer is not None and not allowance.spend():
                return answer
            if answer is not None:
                attempt.resent += 1
            tried.add(chosen.instance)
            answer = yield from self._try(
                attempt, call, allowance, listed[chosen.instance], parent.hop
            )
            if attempt.deaths >= DEATHS_MOST:
                return answer
            idempotent = self.fleet.idempotent(call.service, call.rule)
            if not may_resend(answer.kind, answer.outcome, idempotent=idempotent):
                return answer

    def _early_refusal(self, attempt: Attempt, call: Call, parent: Parent) -> Failure | None:
        now, levels = self.fleet.loop.now, self.levels
        if levels is None:
            return None
        if parent.hop:
            levels.called(now, parent.rule, call.service, call.rule)
        level = attempt.priority.level
        return levels.check(now, call.service, call.rule, level, parent.hop)

    def _nobody(self, call: Call) -> Answer:
        if self.levels is not None:
            self.levels.unavailable(self.fleet.loop.now, call.service, call.rule)
        return refused(ErrorKind.NO_TARGET)

    def _try(
        self,
        attempt: Attempt,
        call: Call,
        allowance: Allowance,
        node: FakeNode,
        hop: int,
    ) -> Process:
        name = node.instance.instance
        handed = allowance.hand_down()
        held = Allowance(handed)
        self.router.sent(name)
        answer: Answer = yield from self._send(node, attempt, call, held, hop)
        if answer.kind in (ErrorKind.PEER_LOST, ErrorKind.NO_TARGET):
            self.router.failed(self.fleet.loop.now, name)
        else:
            self.router.answered(self.fleet.loop.now, name, answer.load)
            if self.levels is not None and answer.load is not None:
                heard = Heard(answer.load.level, answer.load.age)
                self.levels.learn(self.fleet.loop.now, call.service, call.rule, heard)
        if answer.kind is not ErrorKind.PEER_LOST:
            allowance.give_back(handed, held.tokens)
        return answer

    def _load(self, call: Call) -> Load:
        load = super()._load(call)
        if self.levels is None:
            return load
        worst = self.levels.worst(self.fleet.loop.now, call.rule, load.level)
        return load._replace(level=worst.level, age=worst.age)


class NaiveNode(FakeNode):
    """A node that tries each call four times at each hop, with a timer of its own."""

    def dispatch(
        self, attempt: Attempt, call: Call, allowance: Allowance, parent: Parent = ENTRY
    ) -> Process:
        """Try up to three more targets, whatever the failure was."""
        loop = self.fleet.loop
        answer = refused(ErrorKind.NO_TARGET)
        for resend in range(RETRIES_PER_HOP + 1):
            listed = [n for n in self.fleet.nodes[call.service] if n.listed]
            if not listed:
                return answer
            attempt.resent += resend > 0
            waiter = Waiter(loop)
            timeout = self.fleet.records[call.service].deadline
            loop.call_at(loop.now + timeout, waiter.resolve, refused(ErrorKind.DEADLINE_EXCEEDED))
            loop.spawn(
                self._answer(waiter, self.router.rng.choice(listed), attempt, call, parent.hop)
            )
            answer = yield waiter
            if answer.failure is None:
                return answer
        return answer

    def _answer(
        self, waiter: Waiter, node: FakeNode, attempt: Attempt, call: Call, hop: int
    ) -> Process:
        answer = yield from self._send(node, attempt, call, Allowance(0), hop)
        waiter.resolve(answer)

    def _give_up(self, attempt: Attempt) -> float:
        """Deadlines are not carried down: the target works on for a caller that is gone."""
        return float('inf')
