"""What a replay knows of one sending of a request, and what its hops hand to each other."""

from typing import NamedTuple

from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.context import Priority


class Attempt:
    """One sending of a request by its caller, and the target calls it has cost."""

    __slots__ = (
        'caller',
        'calls_started',
        'deadline',
        'deaths',
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
        self.deaths = 0
        self.calls_started = 0
        self.wasted_calls = 0
        self.resent = 0
        self.failed = False

    def record_call_started(self) -> None:
        """Count a call that a target began to run."""
        self.calls_started += 1
        if self.failed:
            self.wasted_calls += 1

    def record_end(self, *, succeeded: bool) -> None:
        """Note how the request ended; if it failed, all its calls were wasted."""
        self.failed = not succeeded
        self.wasted_calls = 0 if succeeded else self.calls_started


class Response(NamedTuple):
    """What comes back to a hop. ``failure`` is None for a whole answer."""

    failure: Failure | None = None
    load: Load | None = None

    @property
    def kind(self) -> ErrorKind | None:
        """The kind of the failure."""
        return self.failure.kind if self.failure else None

    @property
    def outcome(self) -> Outcome:
        """What is known of the work."""
        return self.failure.outcome if self.failure else Outcome.DONE


def failure_response(kind: ErrorKind, load: Load | None = None) -> Response:
    """Give the answer for a failure."""
    return Response(Failure(kind, retry_after=1.0), load)


class CallOrigin(NamedTuple):
    """The rule that a target works on while it makes a call, and the hop of that call."""

    rule: str = ''
    hop: int = 0


EXTERNAL_ORIGIN = CallOrigin()
