"""The fake node that decides by the policy of the product."""

from dunlinsaddle.errors import ErrorKind, Failure
from dunlinsaddle.policy.admission import AdmissionPolicy, Load
from dunlinsaddle.policy.callers import ResendGuard
from dunlinsaddle.policy.level import ChainLevels
from dunlinsaddle.policy.quarantine import DEATHS_TO_QUARANTINE, Quarantine, Quarantined
from dunlinsaddle.policy.retry import RetryAllowance, may_resend
from dunlinsaddle.policy.route import Candidate, Router
from dunlinsaddle.replay.attempt import ENTRY, Answer, Attempt, Parent, refused
from dunlinsaddle.replay.events import Process
from dunlinsaddle.replay.fakes import FakeTarget
from dunlinsaddle.replay.nodes import VIEW_LAG, FakeNode, Fleet
from dunlinsaddle.replay.trace import Call


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

    def enter(self, attempt: Attempt, call: Call, allowance: RetryAllowance) -> Process:
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
            self.guard.record_answer(attempt.caller, name)
        elif answer.failure.retry_after > 0:
            wait = answer.failure.retry_after
            self.guard.record_refusal(now, attempt.caller, name, wait)
        return answer

    def _bar(self, attempt: Attempt) -> Failure | None:
        self.quarantine.merge_deaths(self.fleet.loop.now, attempt.fingerprint, attempt.deaths)
        match self.quarantine.check(self.fleet.loop.now, attempt.fingerprint):
            case Quarantined(failure):
                return failure
        return None

    def _mourn(self, attempt: Attempt) -> None:
        now = self.fleet.loop.now
        attempt.deaths = self.quarantine.record_death(now, attempt.fingerprint)
        self.fleet.loop.call_at(now + VIEW_LAG, self._tell, attempt.fingerprint, attempt.deaths)

    def _tell(self, fingerprint: int, deaths: int) -> None:
        for nodes in self.fleet.nodes.values():
            for node in nodes:
                if isinstance(node, CurrentNode):
                    node.quarantine.merge_deaths(self.fleet.loop.now, fingerprint, deaths)

    def dispatch(
        self, attempt: Attempt, call: Call, allowance: RetryAllowance, parent: Parent = ENTRY
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
            if attempt.deaths >= DEATHS_TO_QUARANTINE:
                return answer
            idempotent = self.fleet.idempotent(call.service, call.rule)
            if not may_resend(answer.kind, answer.outcome, idempotent=idempotent):
                return answer

    def _early_refusal(self, attempt: Attempt, call: Call, parent: Parent) -> Failure | None:
        now, levels = self.fleet.loop.now, self.levels
        if levels is None:
            return None
        if parent.hop:
            levels.record_call(now, parent.rule, call.service, call.rule)
        level = attempt.priority.level
        return levels.check(now, call.service, call.rule, level, parent.hop)

    def _nobody(self, call: Call) -> Answer:
        if self.levels is not None:
            self.levels.record_unavailable(self.fleet.loop.now, call.service, call.rule)
        return refused(ErrorKind.NO_TARGET)

    def _try(
        self,
        attempt: Attempt,
        call: Call,
        allowance: RetryAllowance,
        node: FakeNode,
        hop: int,
    ) -> Process:
        name = node.instance.instance
        handed = allowance.delegate()
        held = RetryAllowance(handed)
        self.router.record_sent(name)
        answer: Answer = yield from self._send(node, attempt, call, held, hop)
        if answer.kind in (ErrorKind.PEER_LOST, ErrorKind.NO_TARGET):
            self.router.record_failure(self.fleet.loop.now, name)
        else:
            self.router.record_answer(self.fleet.loop.now, name, answer.load)
            if self.levels is not None and answer.load is not None:
                self.levels.record_response(
                    self.fleet.loop.now, call.service, call.rule, answer.load.reported_level
                )
        if answer.kind is not ErrorKind.PEER_LOST:
            allowance.reclaim(handed, held.tokens)
        return answer

    def _load(self, call: Call) -> Load:
        load = super()._load(call)
        if self.levels is None:
            return load
        return load.with_chain_level(self.levels, self.fleet.loop.now, call.service, call.rule)
