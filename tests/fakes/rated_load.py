"""Many entries before a few targets, some of which name a rate, in simulated time.

Each entry knows of the targets only what replies to its own calls tell. Figures are those of
lookups on the platform: 0.1 s of a slot, worth most within 1.5 s, one way of 1 ms.
"""

from collections import Counter
from functools import partial
from random import Random
from typing import NamedTuple

from dunlinsaddle.policy.admission import Load, Sample, Ticket
from dunlinsaddle.policy.rate_limit import MIN_RATE
from dunlinsaddle.policy.route import Candidate, Router
from tests.builders import build_ticket
from tests.fakes.slots_load import ByNode, Events

SLOTS = 40
SECONDS = 0.1  #: for which a call holds a slot
OBJECTIVE = 1.5
WAY = 0.001  #: seconds to a target or back
TRIES = 3  #: targets in turn that may refuse a call
DOMAINS = 3


class Out(NamedTuple):
    """A call on its way."""

    router: Router
    began: float
    tried: frozenset[str]
    level: int


class RatedTarget(ByNode):
    """A target behind its node."""

    def __init__(self, load: 'RatedLoad', number: int, rate: float | None) -> None:
        super().__init__(partial(load._start, self), partial(load._refuse, self))
        self.candidate = Candidate(f't{number}', f'd{number % DOMAINS}')
        self.rate = rate
        self.admission.set_slots(SLOTS)
        self.starts: list[float] = []
        self.refused = 0


class RatedLoad(Events):
    """Requests at ``entries`` for some seconds, so many a second at all of them together."""

    def __init__(
        self, entries: int, rates: list[float | None], requests: float, seed: int = 1
    ) -> None:
        super().__init__()
        self.rng = Random(seed)
        self.requests = requests
        targets = [RatedTarget(self, number, rate) for number, rate in enumerate(rates)]
        self.targets = {target.candidate.instance: target for target in targets}
        self.candidates = [target.candidate for target in targets]
        self.routers = [Router(f'd{n % DOMAINS}', Random(seed + n)) for n in range(entries)]
        for router in self.routers:
            router.sender_count = entries
        self.ended: Counter[str] = Counter()
        self.seconds: list[float] = []
        self._calls: dict[int, Out] = {}
        self._due: set[str] = set()

    def run(self, seconds: float) -> 'RatedLoad':
        self.at(0.0, lambda: self._new(seconds))
        self.play(seconds + 10.0)
        return self

    def _new(self, until: float) -> None:
        if self.now >= until:
            return
        self.at(self.now + self.rng.expovariate(self.requests), lambda: self._new(until))
        level = self.rng.randrange(384)
        self._send(Out(self.rng.choice(self.routers), self.now, frozenset(), level))

    def _send(self, out: Out) -> None:
        chosen = out.router.choose(self.now, self.candidates, out.tried)
        if chosen is None or len(out.tried) == TRIES:
            self.ended['refused'] += 1
            return
        out.router.record_sent(chosen.instance)
        target = self.targets[chosen.instance]
        self.at(self.now + WAY, lambda: self._arrive(target, out))

    def _arrive(self, target: RatedTarget, out: Out) -> None:
        number = next(self.numbers)
        self._calls[number] = out
        ticket = build_ticket(
            number,
            arrived_at=self.now,
            level=out.level,
            deadline=out.began + 5.0,
            useful_until=out.began + OBJECTIVE,
        )
        target.arrive(self.now, ticket)
        self._wake(target)

    def _start(self, target: RatedTarget, ticket: Ticket) -> None:
        target.starts.append(self.now)
        seconds = SECONDS * self.rng.uniform(0.6, 1.4)
        self.at(self.now + seconds, lambda: self._end(target, ticket, seconds))

    def _end(self, target: RatedTarget, ticket: Ticket, seconds: float) -> None:
        target.admission.finish(self.now, ticket, Sample(ticket.rule, seconds, completed=True))
        target.admission.set_rate_limit(self.now, target.rate)
        out = self._calls.pop(ticket.call_id)
        self.ended['served'] += 1
        self.seconds.append(self.now + WAY - out.began)
        self._reply(target, out, lambda: None)
        self._release(target)

    def _refuse(self, target: RatedTarget, ticket: Ticket, retry_after: float) -> None:
        target.refused += 1
        out = self._calls.pop(ticket.call_id)
        again = out._replace(tried=out.tried | {target.candidate.instance})
        self._reply(target, out, lambda: self._send(again))

    def _reply(self, target: RatedTarget, out: Out, then) -> None:
        load: Load = target.admission.load(self.now)
        rate = None if target.rate is None else max(target.rate, MIN_RATE)
        use = target.admission.rate_utilisation(self.now)

        def heard() -> None:
            name = target.candidate.instance
            out.router.record_answer(self.now, name, load)
            out.router.record_rate(self.now, name, rate, use)
            then()

        self.at(self.now + WAY, heard)

    def _release(self, target: RatedTarget) -> None:
        target.release(self.now)
        self._wake(target)

    def _wake(self, target: RatedTarget) -> None:
        seconds = target.admission.seconds_to_next_start(self.now)
        name = target.candidate.instance
        if seconds is None or name in self._due:
            return
        self._due.add(name)

        def due() -> None:
            self._due.discard(name)
            self._release(target)

        self.at(self.now + seconds, due)
