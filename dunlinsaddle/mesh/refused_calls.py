"""Reports how the calls of a request are refused, from the node that makes them to the ingress."""

from dunlinsaddle.calls.call_state import PendingCall, RunningCall
from dunlinsaddle.calls.messages import RefusedCalls, Reply
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.policy.refused_share import RefusedShares
from dunlinsaddle.policy.retry_budget import RetryBudget


class RefusedCallReporter(LoopBound):
    """Counts the calls of running requests, and selects what is reported of them.

    Nothing is reported, and replies are no longer than before, while no service refuses calls.
    """

    def __init__(self, refused_shares: RefusedShares, budget: RetryBudget) -> None:
        self.refused_shares = refused_shares
        self.budget = budget

    def record_call(self, parent: RunningCall, call: PendingCall, reply: Reply) -> None:
        """Count a call that the local target made, with those that were made for it."""
        service = call.ctx.service
        parent.downstream_calls[service] = parent.downstream_calls.get(service, 0) + 1
        below = reply.refused_calls
        if below is None:
            return
        known = parent.refused_calls.get(below.service)
        calls = below.calls + (known.calls if known else 0)
        parent.refused_calls[below.service] = RefusedCalls(
            below.service, below.share, below.budget_left, calls
        )

    def report(self, running: RunningCall) -> RefusedCalls | None:
        """Return the calls to the service that refuses the largest share, or None."""
        reports = list(running.refused_calls.values())
        for service, calls in running.downstream_calls.items():
            own = self.report_call(service, calls)
            if own is not None:
                reports.append(own)
        return max(reports, key=lambda report: report.share, default=None)

    def report_call(self, service: str, calls: int = 1) -> RefusedCalls | None:
        """Return how a service refuses the calls of this node, or None if it does not."""
        now = self.now()
        refusals = self.refused_shares.report(now, service)
        if refusals is None:
            return None
        left = self.budget.share_left(now, service)
        return RefusedCalls(service, refusals.share, left, calls)
