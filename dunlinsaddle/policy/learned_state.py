"""Learned state that nodes hand to a node that starts: what is kept, its encoding and its age."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from dunlinsaddle.policy.context import LOWEST_LEVEL
from dunlinsaddle.policy.quarantine import CrashedRequest
from dunlinsaddle.records.models import Rank

#: Incremented when the meaning of a field changes; another version is ignored as a whole.
FORMAT_VERSION = 1
MAX_BYTES = 16 * 1024  #: larger state is not decoded
#: Age after which state is ignored: by then load and targets may have changed in any way.
MAX_AGE_SECONDS = 60.0
#: Difference between the clocks of two machines that is tolerated in the time of writing.
MAX_CLOCK_SKEW_SECONDS = 5.0
MAX_ENTRIES = 96  #: entries of one list; the first ones are kept
#: Change of the stored figures, as a share of their sum, from which they are written again.
MIN_CHANGE_SHARE = 0.1
#: Weight of the latest sample in the stored figures. The moving averages of a node vary by more
#: than a tenth under a steady load, and each write has a price.
SAMPLE_WEIGHT = 0.25
MAX_DURATION_SECONDS = 3600.0  #: rejects absurd values

# The decoder rejects values out of range, NaN included: one of them would never leave a moving
# average.
Name = Annotated[str, Meta(max_length=1024)]
Age = Annotated[float, Meta(ge=0, le=MAX_AGE_SECONDS)]
Duration = Annotated[float, Meta(gt=0, le=MAX_DURATION_SECONDS)]
Level = Annotated[float, Meta(ge=-1, le=LOWEST_LEVEL)]
Ratio = Annotated[float, Meta(gt=0, le=100)]


class KnownLevel(msgspec.Struct, array_like=True, frozen=True):
    """The level that ``source`` admits, which limits a rule at a service; ``age`` in seconds."""

    service: Name
    rule: Name
    source: Name
    level: Level
    age: Age


class RuleCost(msgspec.Struct, array_like=True, frozen=True):
    """The cost of a rule at the service that limits it, in seconds of one whole target."""

    rule: Name
    rank: Rank
    seconds: Duration
    age: Age


class RuleTime(msgspec.Struct, array_like=True, frozen=True):
    """A mean time of a rule in seconds; an empty rule stands for all calls."""

    rule: Name
    seconds: Duration


class TargetRatio(msgspec.Struct, array_like=True, frozen=True):
    """The latency of a target relative to the others, for one incarnation of its node's entry."""

    instance: Name
    incarnation: int
    ratio: Ratio
    age: Age


class LearnedState(msgspec.Struct, array_like=True, frozen=True):
    """What one node has learned.

    ``written_at`` is in Unix seconds. ``service_times`` are those of the target ``incarnation``
    beside ``instance``; ``call_times`` are those of calls to other targets.
    """

    format_version: int
    written_at: float
    instance: Name
    service: Name
    incarnation: Name
    service_times: list[RuleTime] = []
    call_times: list[RuleTime] = []
    costs: list[RuleCost] = []
    levels: list[KnownLevel] = []
    ratios: list[TargetRatio] = []
    crashed_requests: list[CrashedRequest] = []

    @property
    def is_empty(self) -> bool:
        """Whether nothing was learned."""
        return not (
            self.service_times
            or self.call_times
            or self.costs
            or self.levels
            or self.crashed_requests
        )


class _Header(msgspec.Struct, array_like=True):
    format_version: int


class Unusable(StrEnum):
    """Why learned state is ignored."""

    TOO_LARGE = 'too large'
    UNREADABLE = 'unreadable'
    OTHER_FORMAT = 'another format version'
    STALE = 'too old'


@dataclass(frozen=True, slots=True)
class Ignored:
    """Learned state that is ignored; ``age`` is in seconds, 0 if unknown."""

    reason: Unusable
    age: float = 0.0


def encode_state(state: LearnedState) -> bytes:
    """Return the state as JSON, without the last entries of each list if it is too large."""
    count = MAX_ENTRIES
    while True:
        data = msgspec.json.encode(_shortened(state, count))
        if len(data) <= MAX_BYTES or not count:
            return data
        count //= 2


def decode_state(data: bytes) -> Result[LearnedState, Ignored]:
    """Return the state, or why it is ignored."""
    if len(data) > MAX_BYTES:
        return Err(Ignored(Unusable.TOO_LARGE))
    try:
        if msgspec.json.decode(data, type=_Header).format_version != FORMAT_VERSION:
            return Err(Ignored(Unusable.OTHER_FORMAT))
        return Ok(msgspec.json.decode(data, type=LearnedState))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return Err(Ignored(Unusable.UNREADABLE))


def check_age(now: float, state: LearnedState) -> Result[float, Ignored]:
    """Return the age of stored state in seconds; ``now`` is in Unix seconds.

    State from the future is ignored as well: a clock is wrong, so its age is not known.
    """
    age = now - state.written_at
    if not -MAX_CLOCK_SKEW_SECONDS <= age <= MAX_AGE_SECONDS:
        return Err(Ignored(Unusable.STALE, age))
    return Ok(max(age, 0.0))


def change_share(before: LearnedState | None, after: LearnedState) -> float:
    """Return by how much the stored figures differ, as a share of the sum of the earlier ones."""
    old = _figures(before) if before is not None else {}
    new = _figures(after)
    total = sum(old.values())
    if not total:
        return 1.0 if new else 0.0
    changed = sum(abs(new.get(name, 0.0) - old.get(name, 0.0)) for name in old.keys() | new.keys())
    return changed / total


def smoothed(before: LearnedState | None, after: LearnedState) -> LearnedState:
    """Return the latest state, with its figures averaged with the earlier samples."""
    old = _figures(before) if before is not None else {}

    def average(name: tuple[str, str], seconds: float) -> float:
        return seconds + (1 - SAMPLE_WEIGHT) * (old.get(name, seconds) - seconds)

    return msgspec.structs.replace(
        after,
        service_times=[
            RuleTime(t.rule, average(('service', t.rule), t.seconds)) for t in after.service_times
        ],
        call_times=[
            RuleTime(t.rule, average(('call', t.rule), t.seconds)) for t in after.call_times
        ],
        costs=[
            RuleCost(c.rule, c.rank, average(('cost', c.rule), c.seconds), c.age)
            for c in after.costs
        ],
    )


def without_short_lived(state: LearnedState) -> LearnedState:
    """Return the part that is worth storing.

    A level reopens within four seconds and a ratio decays within five. The stored object may be ten
    seconds old when the nodes stop: a completion may have taken a crash back since.
    """
    return msgspec.structs.replace(state, levels=[], ratios=[], crashed_requests=[])


def _figures(state: LearnedState) -> dict[tuple[str, str], float]:
    service_times = {('service', t.rule): t.seconds for t in state.service_times}
    call_times = {('call', t.rule): t.seconds for t in state.call_times}
    return {**service_times, **call_times, **{('cost', c.rule): c.seconds for c in state.costs}}


def _shortened(state: LearnedState, count: int) -> LearnedState:
    return msgspec.structs.replace(
        state,
        service_times=state.service_times[:count],
        call_times=state.call_times[:count],
        costs=state.costs[:count],
        levels=state.levels[:count],
        ratios=state.ratios[:count],
        crashed_requests=state.crashed_requests[:count],
    )
