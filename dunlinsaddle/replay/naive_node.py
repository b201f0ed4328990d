"""The simulated node without overload control."""

from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.policy.naive import RETRIES_PER_HOP
from dunlinsaddle.policy.retry import RetryAllowance
from dunlinsaddle.replay.attempt import EXTERNAL_ORIGIN, Attempt, CallOrigin, failure_response
from dunlinsaddle.replay.events import Future, Process
from dunlinsaddle.replay.nodes import FakeNode
from dunlinsaddle.replay.trace import Call


class NaiveNode(FakeNode):
    """A node that tries each call up to four times at each hop, each with its own timeout."""

    def dispatch(
        self,
        attempt: Attempt,
        call: Call,
        allowance: RetryAllowance,
        origin: CallOrigin = EXTERNAL_ORIGIN,
    ) -> Process:
        """Send a call, and again up to three times after any failure."""
        loop = self.fleet.loop
        response = failure_response(ErrorKind.NO_TARGET)
        for resend in range(RETRIES_PER_HOP + 1):
            listed = [n for n in self.fleet.nodes[call.service] if n.is_listed]
            if not listed:
                return response
            attempt.resent += resend > 0
            future = Future(loop)
            timeout = self.fleet.records[call.service].deadline
            loop.call_at(
                loop.now + timeout, future.set_result, failure_response(ErrorKind.DEADLINE_EXCEEDED)
            )
            loop.spawn(
                self._send_and_set_result(
                    future, self.router.rng.choice(listed), attempt, call, origin.hop
                )
            )
            response = yield future
            if response.failure is None:
                return response
        return response

    def _send_and_set_result(
        self, future: Future, node: FakeNode, attempt: Attempt, call: Call, hop: int
    ) -> Process:
        response = yield from self._send(node, attempt, call, RetryAllowance(0), hop)
        future.set_result(response)

    def _stop_time(self, attempt: Attempt) -> float:
        """Return infinity: deadlines are not propagated, so targets work on after a timeout."""
        return float('inf')
