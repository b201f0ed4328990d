"""What a replay knows of one sending of a request, and what its hops hand to each other."""

from typing import NamedTuple

from dunlinsaddle.errors import ErrorKind, Failure, Outcome
from dunlinsaddle.policy.admission import Load
from dunlinsaddle.policy.context import Priority


class Attempt:
    """One sending of a request by its caller, and the target calls it has cost."""

    __slots__ = (
        'caller',
        'calls',
        'deadline',
        'deaths',
        'failed',
        'fingerprint',
        'kills',
        'priority',
        'resent',
        'wasted',
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
        self.calls = 0
        self.wasted = 0
        self.resent = 0
        self.failed = False

    def spend(self) -> None:
        """Count a call that a target began to run."""
        self.calls += 1
        if self.failed:
            self.wasted += 1

    def end(self, *, whole: bool) -> None:
        """Note how the request ended; if it failed, all its calls were wasted."""
        self.failed = not whole
        self.wasted = 0 if whole else self.calls


class Answer(NamedTuple):
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


def refused(kind: ErrorKind, load: Load | None = None) -> Answer:
    """Give the answer for a failure."""
    return Answer(Failure(kind, retry_after=1.0), load)


class Parent(NamedTuple):
    """The rule that a target works on while it makes a call, and the hop of that call."""

    rule: str = ''
    hop: int = 0


ENTRY = Parent()
