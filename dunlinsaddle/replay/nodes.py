"""Simulated nodes: the product's policies, with latencies in place of connections."""

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
from dunlinsaddle.replay.attempt import (
    EXTERNAL_ORIGIN,
    Attempt,
    CallOrigin,
    Response,
    failure_response,
)
from dunlinsaddle.replay.events import EventLoop, Future, Process
from dunlinsaddle.replay.fakes import FakeTarget, Network
from dunlinsaddle.replay.trace import Call

SILENCE_TIMEOUT_SECONDS = 1.0  #: until a connection without traffic is closed
VIEW_DELAY_SECONDS = 0.5  #: until all nodes know that a target has stopped or started


class Fleet(NamedTuple):
    """State that all nodes share."""

    loop: EventLoop
    network: Network
    records: dict[str, ServiceRecord]
    nodes: dict[str, list['FakeNode']]
    is_idempotent: Callable[[str, str], bool]  #: given service and rule
    on_target_death: Callable[['FakeNode'], None]  #: called when a request crashed a target


class FakeNode:
    """A node with its target. Subclasses implement how a call is sent to other nodes."""

    def __init__(
        self,
        fleet: Fleet,
        candidate: Candidate,
        target: FakeTarget,
        admission: AdmissionPolicy,
        router: Router,
    ) -> None:
        self.fleet = fleet
        self.candidate = candidate
        self.target = target
        self.admission = admission
        self.router = router
        self.is_listed = True
        self._waiting_calls: dict[int, Future] = {}
        self._ticket_count = 0

    def handle_request(self, attempt: Attempt, call: Call, allowance: RetryAllowance) -> Process:
        """Handle a request of a caller."""
        return (yield from self.dispatch(attempt, call, allowance))

    def dispatch(
        self,
        attempt: Attempt,
        call: Call,
        allowance: RetryAllowance,
        origin: CallOrigin = EXTERNAL_ORIGIN,
    ) -> Process:
        """Send a call to targets of its service until a response is final."""
        raise NotImplementedError

    def _check_quarantine(self, attempt: Attempt) -> Failure | None:
        """Return the failure for a quarantined request, None for any other."""
        return None

    def _record_death(self, attempt: Attempt) -> None:
        """Record that the target crashed while it ran a request."""

    def _record_completion(self, attempt: Attempt) -> None:
        """Record that the target completed a request."""

    def execute(
        self, attempt: Attempt, call: Call, allowance: RetryAllowance, hop: int = 0
    ) -> Process:
        """Run a call at the local target, or refuse it."""
        loop = self.fleet.loop
        if not self.target.is_up:
            return failure_response(ErrorKind.NO_TARGET)
        quarantine_failure = self._check_quarantine(attempt)
        if quarantine_failure is not None:
            return Response(quarantine_failure)
        self._ticket_count += 1
        level = attempt.priority.level
        ticket = Ticket(
            self._ticket_count,
            level,
            loop.now,
            attempt.deadline,
            call.rule,
            attempt.caller,
            hop,
        )
        match self.admission.admit(loop.now, ticket):
            case Refuse(failure):
                return Response(failure, self._load(call))
            case Wait(evicted):
                if evicted is not None:
                    self._resume(evicted, ErrorKind.OVERLOADED)
                future = self._waiting_calls[ticket.call_id] = Future(loop)
                kind: ErrorKind | None = yield future
                if kind is not None:
                    return failure_response(kind, self._load(call))
        return (yield from self._run(attempt, call, allowance, ticket))

    def crash(self) -> None:
        """Crash the target; calls that wait here were not run."""
        self.target.crash()
        for future in list(self._waiting_calls.values()):
            future.set_result(ErrorKind.NO_TARGET)
        self._waiting_calls.clear()

    def on_target_restart(self) -> None:
        """Reset admission control when the target has announced itself again."""
        if isinstance(self.admission, Admission):
            self.admission.reset_after_restart(self.fleet.loop.now)

    def _run(
        self, attempt: Attempt, call: Call, allowance: RetryAllowance, ticket: Ticket
    ) -> Process:
        loop, crash_count = self.fleet.loop, self.target.crash_count
        if not self.target.accepts_connections():
            self._finish(ticket, Sample(call.rule, 0.0, completed=False))
            return failure_response(ErrorKind.NO_TARGET)
        self.target.open_connections += 1
        attempt.record_call_started()
        started_at = loop.now
        if attempt.kills:
            yield self.target.service.service_time
            if self.target.crash_count == crash_count:
                self.crash()
                self.fleet.on_target_death(self)
        computed: bool = self.target.crash_count == crash_count
        if computed:
            computed = yield from self.target.compute(self._stop_time(attempt))
        own_time = loop.now - started_at
        response = Response()
        if computed and call.calls:
            self.admission.pause(loop.now, ticket)
            self._release()
            origin = CallOrigin(call.rule, ticket.hop + 1)
            response = yield from self._call_dependencies(attempt, call, allowance, origin)
        if self.target.crash_count == crash_count:
            self.target.open_connections -= 1
        elif response.failure is None:
            computed = False
        if not computed:
            kind = ErrorKind.DEADLINE_EXCEEDED
            kind = kind if self.target.crash_count == crash_count else ErrorKind.TARGET_LOST
            response = failure_response(kind)
            if kind is ErrorKind.TARGET_LOST:
                self._record_death(attempt)
        done = response.failure is None
        self._finish(ticket, Sample(call.rule, own_time, done))
        return self._finished(attempt, call, response)

    def _finished(self, attempt: Attempt, call: Call, response: Response) -> Response:
        """Return the response to a call that the target has run, with the load."""
        if response.failure is None:
            self._record_completion(attempt)
        return response._replace(load=self._load(call))

    def _call_dependencies(
        self, attempt: Attempt, call: Call, allowance: RetryAllowance, origin: CallOrigin
    ) -> Process:
        for child in call.calls:
            response: Response = yield from self.dispatch(attempt, child, allowance, origin)
            if response.failure is not None:
                # The target returns the failure as its own, as part of its work has run.
                return Response(response.failure)
        return Response()

    def _finish(self, ticket: Ticket, sample: Sample) -> None:
        now = self.fleet.loop.now
        self.admission.finish(now, ticket, sample)
        self._release()

    def _release(self) -> None:
        now = self.fleet.loop.now
        released = self.admission.dequeue(now)
        for started in released.started:
            self._resume(started, None)
        for dropped in released.expired:
            self._resume(dropped, ErrorKind.TOO_LATE_TO_START)

    def _resume(self, ticket: Ticket, kind: ErrorKind | None) -> None:
        future = self._waiting_calls.pop(ticket.call_id, None)
        if future is not None:
            # Scheduled rather than immediate: the resumed call may finish and re-enter this method.
            self.fleet.loop.call_at(self.fleet.loop.now, future.set_result, kind)

    def _load(self, call: Call) -> Load:
        return self.admission.load(self.fleet.loop.now)

    def _stop_time(self, attempt: Attempt) -> float:
        """Return the time at which the target stops work on a call."""
        return attempt.deadline

    def _send(
        self,
        other: 'FakeNode',
        attempt: Attempt,
        call: Call,
        allowance: RetryAllowance,
        hop: int,
    ) -> Process:
        """Send a call to another node and return its response, or PEER_LOST across a partition."""
        network = self.fleet.network
        if other is self:
            return (yield from self.execute(attempt, call, allowance, hop))
        if not network.is_reachable(self.candidate.domain, other.candidate.domain):
            yield SILENCE_TIMEOUT_SECONDS
            return failure_response(ErrorKind.PEER_LOST)
        yield network.latency
        response: Response = yield from other.execute(attempt, call, allowance, hop)
        yield network.latency
        if not network.is_reachable(self.candidate.domain, other.candidate.domain):
            yield SILENCE_TIMEOUT_SECONDS
            return failure_response(ErrorKind.PEER_LOST)
        return response
