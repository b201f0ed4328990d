"""The simulated node that uses the product's policy."""

import xxhash

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.admission import AdmissionPolicy, Load
from dunlinsaddle.policy.level import ChainLevels
from dunlinsaddle.policy.quarantine import (
    Crash,
    Paused,
    Quarantine,
    Quarantined,
    QuarantineState,
    Suspected,
    choose_trial_instance,
)
from dunlinsaddle.policy.resend_guard import ResendGuard
from dunlinsaddle.policy.retry import RetryAllowance, may_resend
from dunlinsaddle.policy.route import Candidate, Router
from dunlinsaddle.replay.attempt import (
    EXTERNAL_ORIGIN,
    Attempt,
    CallOrigin,
    Response,
    failure_response,
)
from dunlinsaddle.replay.events import Future, Process
from dunlinsaddle.replay.fakes import FakeTarget
from dunlinsaddle.replay.nodes import VIEW_DELAY_SECONDS, FakeNode, Fleet
from dunlinsaddle.replay.trace import Call


class CurrentNode(FakeNode):
    """A node with the product's policy.

    Without ``levels`` it sheds load only for its own target, not for targets of later hops.
    """

    def __init__(
        self,
        fleet: Fleet,
        candidate: Candidate,
        target: FakeTarget,
        admission: AdmissionPolicy,
        router: Router,
        levels: ChainLevels | None = None,
    ) -> None:
        super().__init__(fleet, candidate, target, admission, router)
        self.levels = levels
        self.resend_guard = ResendGuard()
        self.quarantine = Quarantine()
        self._trial: Attempt | None = None  #: the suspected request that the target runs
        self._trial_waits: list[Future] = []

    def handle_request(self, attempt: Attempt, call: Call, allowance: RetryAllowance) -> Process:
        """Handle a request; limit resends before Retry-After to the record's ``resend_ratio``."""
        now, name = self.fleet.loop.now, str(attempt.fingerprint)
        record = self.fleet.records[call.service]
        failure = self.resend_guard.check(
            now,
            attempt.caller,
            name,
            rank=attempt.priority.rank,
            ratio=record.resend_ratio,
        )
        if failure is not None:
            return Response(failure)
        response: Response = yield from self.dispatch(attempt, call, allowance)
        now = self.fleet.loop.now
        if response.failure is None:
            self.resend_guard.record_answer(attempt.caller, name)
        elif response.failure.retry_after > 0:
            wait = response.failure.retry_after
            self.resend_guard.record_refusal(now, attempt.caller, name, wait)
        return response

    def execute(
        self, attempt: Attempt, call: Call, allowance: RetryAllowance, hop: int = 0
    ) -> Process:
        """Run a call; a suspected request runs alone, and others like it wait for its end."""
        while isinstance(self._quarantine_state(attempt), Suspected) and self._trial is not None:
            future = Future(self.fleet.loop)
            self._trial_waits.append(future)
            yield future
        if not isinstance(self._quarantine_state(attempt), Suspected):
            return (yield from super().execute(attempt, call, allowance, hop))
        self._trial = attempt
        response: Response = yield from super().execute(attempt, call, allowance, hop)
        self._trial = None
        waits, self._trial_waits = self._trial_waits, []
        for future in waits:
            future.set_result(None)
        return response

    def _quarantine_state(self, attempt: Attempt) -> QuarantineState:
        now = self.fleet.loop.now
        self.quarantine.record(now, attempt.fingerprint, attempt.crashes)
        return self.quarantine.check(now, attempt.fingerprint)

    def _check_quarantine(self, attempt: Attempt) -> Failure | None:
        match self._quarantine_state(attempt):
            case Paused(failure) | Quarantined(failure):
                return failure
        return None

    def _record_death(self, attempt: Attempt) -> None:
        now, fingerprint = self.fleet.loop.now, attempt.fingerprint
        completed_before = self.quarantine.has_completed(fingerprint)
        crash = Crash(self._crash_name(), self._trial is attempt, completed_before)
        self._record_crash(fingerprint, crash)
        attempt.crashes = self.quarantine.crashes(now, fingerprint)
        self.fleet.loop.call_at(now + VIEW_DELAY_SECONDS, self._propagate_crash, fingerprint, crash)

    def _crash_name(self) -> int:
        """Return the name of the target's latest crash; 0 stands for crashes without a name."""
        name = f'{self.candidate.instance}/{self.target.crash_count}'
        return 1 + xxhash.xxh32_intdigest(name.encode())

    def _record_crash(self, fingerprint: int, crash: Crash) -> None:
        self.quarantine.record(self.fleet.loop.now, fingerprint, [crash])

    def _propagate_crash(self, fingerprint: int, crash: Crash) -> None:
        for nodes in self.fleet.nodes.values():
            for node in nodes:
                if isinstance(node, CurrentNode):
                    node._record_crash(fingerprint, crash)

    def _record_completion(self, attempt: Attempt) -> None:
        self.quarantine.record_completion(attempt.fingerprint)
        attempt.crashes = ()
        if self.quarantine.clear(self.fleet.loop.now, attempt.fingerprint):
            self.fleet.loop.call_at(
                self.fleet.loop.now + VIEW_DELAY_SECONDS,
                self._propagate_completion,
                attempt.fingerprint,
            )

    def _propagate_completion(self, fingerprint: int) -> None:
        for nodes in self.fleet.nodes.values():
            for node in nodes:
                if isinstance(node, CurrentNode):
                    node.quarantine.clear(self.fleet.loop.now, fingerprint)

    def dispatch(
        self,
        attempt: Attempt,
        call: Call,
        allowance: RetryAllowance,
        origin: CallOrigin = EXTERNAL_ORIGIN,
    ) -> Process:
        """Refuse a call that a later hop would refuse, otherwise send it.

        Resends use up the retry allowance that all hops of a request share.
        """
        refusal = self._early_refusal(attempt, call, origin)
        if refusal is not None:
            return Response(refusal)
        tried: set[str] = set()
        response: Response | None = None
        while True:
            listed = {
                n.candidate.instance: n for n in self.fleet.nodes[call.service] if n.is_listed
            }
            candidates = [node.candidate for node in listed.values()]
            chosen = self._choose(attempt, candidates, tried)
            if chosen is None:
                return response or self._no_target_response(call)
            if response is not None and not allowance.spend():
                return response
            if response is not None:
                attempt.resent += 1
            tried.add(chosen.instance)
            response = yield from self._send_once(
                attempt, call, allowance, listed[chosen.instance], origin.hop
            )
            if self._check_quarantine(attempt) is not None:
                return response
            idempotent = self.fleet.is_idempotent(call.service, call.rule)
            if not may_resend(response.kind, response.outcome, idempotent=idempotent):
                return response

    def _choose(
        self, attempt: Attempt, candidates: list[Candidate], tried: set[str]
    ) -> Candidate | None:
        """Return the target of a call: for a suspected request, the one of its trial."""
        if not isinstance(self._quarantine_state(attempt), Suspected):
            return self.router.choose(self.fleet.loop.now, candidates, frozenset(tried))
        untried = {c.instance: c for c in candidates if c.instance not in tried}
        chosen = choose_trial_instance(attempt.fingerprint, untried)
        return None if chosen is None else untried[chosen]

    def _early_refusal(self, attempt: Attempt, call: Call, origin: CallOrigin) -> Failure | None:
        now, levels = self.fleet.loop.now, self.levels
        if levels is None:
            return None
        if origin.hop:
            levels.record_call(now, origin.rule, call.service, call.rule)
        level = attempt.priority.level
        return levels.check(now, call.service, call.rule, level, origin.hop)

    def _no_target_response(self, call: Call) -> Response:
        if self.levels is not None:
            self.levels.record_unavailable(self.fleet.loop.now, call.service, call.rule)
        return failure_response(ErrorKind.NO_TARGET)

    def _send_once(
        self,
        attempt: Attempt,
        call: Call,
        allowance: RetryAllowance,
        node: FakeNode,
        hop: int,
    ) -> Process:
        name = node.candidate.instance
        delegated = allowance.delegate()
        hop_allowance = RetryAllowance(delegated)
        self.router.record_sent(name)
        response: Response = yield from self._send(node, attempt, call, hop_allowance, hop)
        if response.kind in (ErrorKind.PEER_LOST, ErrorKind.NO_TARGET):
            self.router.record_failure(self.fleet.loop.now, name)
        else:
            self.router.record_answer(self.fleet.loop.now, name, response.load)
            if self.levels is not None and response.load is not None:
                self.levels.record_response(
                    self.fleet.loop.now, call.service, call.rule, response.load.reported_level
                )
        if response.kind is not ErrorKind.PEER_LOST:
            allowance.reclaim(delegated, hop_allowance.tokens)
        return response

    def _load(self, call: Call) -> Load:
        load = super()._load(call)
        if self.levels is None:
            return load
        return load.with_chain_level(self.levels, self.fleet.loop.now, call.service, call.rule)
