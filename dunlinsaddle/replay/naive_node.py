"""The fake node that decides as nodes without overload control do."""

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.naive import RETRIES_PER_HOP
from dunlinsaddle.policy.retry import RetryAllowance
from dunlinsaddle.replay.attempt import ENTRY, Attempt, Parent, refused
from dunlinsaddle.replay.events import Process, Waiter
from dunlinsaddle.replay.nodes import FakeNode
from dunlinsaddle.replay.trace import Call


class NaiveNode(FakeNode):
    """A node that tries each call four times at each hop, with a timer of its own."""

    def dispatch(
        self, attempt: Attempt, call: Call, allowance: RetryAllowance, parent: Parent = ENTRY
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
        answer = yield from self._send(node, attempt, call, RetryAllowance(0), hop)
        waiter.resolve(answer)

    def _give_up(self, attempt: Attempt) -> float:
        """Deadlines are not carried down: the target works on for a caller that is gone."""
        return float('inf')
