"""What the results of calls teach: the state of targets, for the router and for other nodes."""

from dunlinsaddle.calls.call_state import PendingCall
from dunlinsaddle.calls.http import MIN_SERVER_ERROR_STATUS
from dunlinsaddle.calls.messages import Lost, NotSent, RelayedTargetState, Reply
from dunlinsaddle.errors import ErrorKind
from dunlinsaddle.loops import LoopBound
from dunlinsaddle.membership.view import Member, MemberView
from dunlinsaddle.policy.context import CallContext
from dunlinsaddle.policy.level import ChainLevels
from dunlinsaddle.policy.refused_share import RefusedShares
from dunlinsaddle.policy.retry import LOST_ANSWER_KINDS
from dunlinsaddle.policy.route import Router

MAX_KNOWN_TARGETS = 10_000  #: whose latest start is remembered; bounds memory
#: Error kinds, as reported by the node beside a target, of calls whose response was lost.
LOST_RESPONSE_KINDS = frozenset(kind.value for kind in LOST_ANSWER_KINDS)


class CallResults(LoopBound):
    """Records the results of calls that this node has sent."""

    def __init__(self, view: MemberView, router: Router, levels: ChainLevels) -> None:
        self.view = view
        self.router = router
        self.levels = levels
        self.refused_shares = RefusedShares()
        #: State that targets advertised, by instance. It is sent back with each call: a node that
        #: has restarted beside a running target has lost this state, and would handle the target
        #: as one that has advertised nothing.
        self.target_states: dict[str, RelayedTargetState] = {}
        self._target_checksums: dict[str, int] = {}  #: of the latest known target of each instance

    def record_target(self, member: Member) -> bool:
        """Discard what is known of a target if another was announced; return whether it was.

        A node that restarts beside a running target announces none at first, then the same one:
        what is known of that target still holds.
        """
        checksum = member.target_checksum
        known = self._target_checksums.get(member.instance, 0)
        if not checksum or checksum == known:
            return False
        if len(self._target_checksums) >= MAX_KNOWN_TARGETS:
            self._target_checksums.clear()
        self._target_checksums[member.instance] = checksum
        if not known:
            return False
        self.router.forget(member.instance)
        self.target_states.pop(member.instance, None)
        if len(self.view.serving_members(member.service)) == 1:
            self.levels.record_restart(self.now(), member.service)
        return True

    def record_duration(
        self, ctx: CallContext, member: Member, started_at: float, *, is_success: bool
    ) -> None:
        """Record how long an attempt took that was started at ``started_at``."""
        now = self.now()
        self.router.record_duration(
            now, member.instance, ctx.rule, now - started_at, completed=is_success
        )

    def record(self, call: PendingCall, member: Member, result: Reply | NotSent | Lost) -> None:
        """Update the routing state with the result of an attempt."""
        now = self.now()
        match result:
            case Reply():
                self._update_router(now, member, call.ctx.rule, result)
                self._record_refusal(now, call.ctx.service, result)
                self.record_level(now, call, result)
            case NotSent(is_local_exhaustion=True):
                self.router.record_unsent(member.instance)
            case NotSent() | Lost():
                self.router.record_failure(now, member.instance)

    def _update_router(self, now: float, member: Member, rule: str, reply: Reply) -> None:
        self._store_target_state(now, member, reply)
        if reply.kind in LOST_RESPONSE_KINDS:
            self.router.record_failure(now, member.instance)
            return
        failed = not reply.kind and reply.status >= MIN_SERVER_ERROR_STATUS
        # A target that rejects calls has the fewest in flight. Without counting its rejections
        # as errors, it would attract ever more calls.
        is_rejected = reply.kind == ErrorKind.TARGET_REFUSED.value
        # An answer over the limit, which may be one without end, is no better than a lost one.
        is_unusable = reply.kind == ErrorKind.OUTCOME_UNKNOWN.value
        error = is_rejected or is_unusable or (failed and reply.retry_after <= 0)
        self.router.record_answer(
            now, member.instance, reply.load, error=error, rule=rule, speed=reply.speed
        )
        if reply.kind in (ErrorKind.DRAINING.value, ErrorKind.NO_TARGET.value):
            self.router.avoid_leaving(now, member.instance)

    def _record_refusal(self, now: float, service: str, reply: Reply) -> None:
        refused = reply.kind == ErrorKind.TARGET_REFUSED.value
        if refused or not reply.kind:
            self.refused_shares.record(now, service, refused=refused)

    def _store_target_state(self, now: float, member: Member, reply: Reply) -> None:
        state = reply.target_state
        if state is not None:
            self.target_states[member.instance] = state
            self.router.record_rate(now, member.instance, state.rate, state.rate_use)
        elif not reply.kind:
            # The target answered without advertised state: the previous state has expired.
            self.target_states.pop(member.instance, None)
            self.router.record_rate(now, member.instance, None)

    def record_level(self, now: float, call: PendingCall, reply: Reply) -> None:
        """Record the level that the service of a call admits, as the reply reports it."""
        if reply.load is not None and self._is_service_level(call.ctx.service, reply):
            self.levels.record_response(
                now, call.ctx.service, call.ctx.rule, reply.load.reported_level
            )

    def _is_service_level(self, service: str, reply: Reply) -> bool:
        """Return whether the level in a reply is valid for the whole service.

        Calls that a target with a rate limit does not accept go to the targets without one, so
        the latter determine the level of the service. Without this check, when one of three
        targets had a rate limit of 0.5 calls a second, entry nodes refused a quarter of the
        requests by its level, although the other two targets had free capacity.
        """
        if not _has_rate_limit(reply.target_state):
            return True
        if reply.load is not None and reply.load.limited_by != service:
            return True
        states = self.target_states
        return all(
            _has_rate_limit(states.get(m.instance)) for m in self.view.serving_members(service)
        )


def _has_rate_limit(state: RelayedTargetState | None) -> bool:
    return state is not None and state.rate is not None
