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
from dunlinsaddle.policy.retry import RetryAllowance
from dunlinsaddle.policy.route import Candidate, Router
from dunlinsaddle.records.models import ServiceRecord
from dunlinsaddle.replay.attempt import ENTRY, Answer, Attempt, Parent, refused
from dunlinsaddle.replay.events import EventLoop, Process, Waiter
from dunlinsaddle.replay.fakes import FakeTarget, Network
from dunlinsaddle.replay.trace import Call

SILENCE_TIMEOUT_SECONDS = 1.0  #: seconds until a silent connection is dropped
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

    def enter(self, attempt: Attempt, call: Call, allowance: RetryAllowance) -> Process:
        """Take a request of a caller."""
        return (yield from self.dispatch(attempt, call, allowance))

    def dispatch(
        self, attempt: Attempt, call: Call, allowance: RetryAllowance, parent: Parent = ENTRY
    ) -> Process:
        """Send a call to targets of its service until one answer is final."""
        raise NotImplementedError

    def _bar(self, attempt: Attempt) -> Failure | None:
        """Refuse a request that targets have died of."""
        return None

    def _mourn(self, attempt: Attempt) -> None:
        """Note that the target died while it ran a request."""

    def execute(
        self, attempt: Attempt, call: Call, allowance: RetryAllowance, hop: int = 0
    ) -> Process:
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
        match self.admission.admit(loop.now, ticket):
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
            self.admission.reset_after_restart(self.fleet.loop.now)

    def _run(
        self, attempt: Attempt, call: Call, allowance: RetryAllowance, ticket: Ticket
    ) -> Process:
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
            self.admission.pause(loop.now, ticket)
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
        self, attempt: Attempt, call: Call, allowance: RetryAllowance, parent: Parent
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
        released = self.admission.dequeue(now)
        for started in released.started:
            self._settle(started, None)
        for dropped in released.expired:
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
        handed: RetryAllowance,
        hop: int,
    ) -> Process:
        """Hand a call to another node and bring its answer back; lost when cut off."""
        network = self.fleet.network
        if other is self:
            return (yield from self.execute(attempt, call, handed, hop))
        if not network.reaches(self.instance.domain, other.instance.domain):
            yield SILENCE_TIMEOUT_SECONDS
            return refused(ErrorKind.PEER_LOST)
        yield network.between
        answer: Answer = yield from other.execute(attempt, call, handed, hop)
        yield network.between
        if not network.reaches(self.instance.domain, other.instance.domain):
            yield SILENCE_TIMEOUT_SECONDS
            return refused(ErrorKind.PEER_LOST)
        return answer
