"""The state of one attempt of a request, and the values that its hops pass to each other."""

from typing import NamedTuple

from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.context import Priority
from dunlinsaddle.policy.quarantine import Crash


class Attempt:
    """One send of a request by its caller, and the calls of targets made for it.

    If ``kills`` is set, each target that runs the request crashes.
    """

    __slots__ = (
        'caller',
        'calls_started',
        'crashes',
        'deadline',
        'failed',
        'fingerprint',
        'kills',
        'priority',
        'resent',
        'wasted_calls',
    )

    def __init__(
        self,
        caller: str,
        priority: Priority,
        deadline: float,
        *,
        fingerprint: int = 0,
        kills: bool = False,
    ) -> None:
        self.caller = caller
        self.priority = priority
        self.deadline = deadline
        self.fingerprint = fingerprint
        self.kills = kills
        self.crashes: tuple[Crash, ...] = ()  #: of targets that ran it, told with it and its answer
        self.calls_started = 0
        self.wasted_calls = 0
        self.resent = 0
        self.failed = False

    def record_call_started(self) -> None:
        """Count a call that a target started to run."""
        self.calls_started += 1
        if self.failed:
            self.wasted_calls += 1

    def record_end(self, *, succeeded: bool) -> None:
        """Record the outcome of the attempt; if it failed, all its calls were wasted."""
        self.failed = not succeeded
        self.wasted_calls = 0 if succeeded else self.calls_started


class Response(NamedTuple):
    """The response to a call. ``failure`` is None if the call succeeded."""

    failure: Failure | None = None
    load: Load | None = None

    @property
    def kind(self) -> ErrorKind | None:
        """The kind of the failure, None if the call succeeded."""
        return self.failure.kind if self.failure else None

    @property
    def outcome(self) -> Outcome:
        """Whether the work was done, as far as is known."""
        return self.failure.outcome if self.failure else Outcome.DONE


def failure_response(kind: ErrorKind, load: Load | None = None) -> Response:
    """Return a response for a failure of a kind."""
    return Response(Failure(kind, retry_after=1.0), load)


class CallOrigin(NamedTuple):
    """Where a call comes from: the rule that the calling target runs, and the hop of the call.

    A request of a caller has an empty rule and is at hop 0.
    """

    rule: str = ''
    hop: int = 0


EXTERNAL_ORIGIN = CallOrigin()
