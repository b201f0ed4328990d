"""Simulated load from many entry nodes on a few targets, some of which request a rate limit.

An entry node learns about the targets only from the replies to its own calls. The figures are
those of lookups on the platform: a service time of 0.1 s, an objective of 1.5 s and a one-way
delay of 1 ms.
"""

from collections import Counter
from functools import partial
from random import Random
from typing import NamedTuple

from dunlinsaddle.policy.admission import Load, Sample, Ticket
from dunlinsaddle.policy.rate_limit import MIN_RATE
from dunlinsaddle.policy.route import Candidate, Router
from tests.builders import build_ticket
from tests.fakes.slots_load import AdmissionControlledTarget, Simulation

SLOTS = 40
SERVICE_SECONDS = 0.1  #: mean time that a call holds a slot
OBJECTIVE_SECONDS = 1.5
ONE_WAY_SECONDS = 0.001  #: delay from an entry node to a target, or back
MAX_TARGETS_TRIED = 3  #: targets that may refuse a request before it fails
DOMAINS = 3


class PendingRequest(NamedTuple):
    """A request in progress, and the targets that refused it."""

    router: Router
    started_at: float
    tried: frozenset[str]
    level: int


class RatedTarget(AdmissionControlledTarget):
    """A target behind its node, with the rate limit it requests, if any."""

    def __init__(self, load: 'RatedLoad', number: int, rate: float | None) -> None:
        super().__init__(partial(load._start, self), partial(load._refuse, self))
        self.candidate = Candidate(f't{number}', f'd{number % DOMAINS}')
        self.rate = rate
        self.admission.set_slots(SLOTS)
        self.start_times: list[float] = []
        self.refused_count = 0


class RatedLoad(Simulation):
    """Simulates requests to ``entry_count`` entry nodes.

    ``requests_per_second`` is the total rate over all entry nodes.
    """

    def __init__(
        self, entry_count: int, rates: list[float | None], requests_per_second: float, seed: int = 1
    ) -> None:
        super().__init__()
        self.rng = Random(seed)
        self.requests_per_second = requests_per_second
        targets = [RatedTarget(self, number, rate) for number, rate in enumerate(rates)]
        self.targets = {target.candidate.instance: target for target in targets}
        self.candidates = [target.candidate for target in targets]
        self.routers = [Router(f'd{n % DOMAINS}', Random(seed + n)) for n in range(entry_count)]
        for router in self.routers:
            router.sender_count = entry_count
        self.outcomes: Counter[str] = Counter()
        self.latencies: list[float] = []
        self._calls: dict[int, PendingRequest] = {}
        self._scheduled_releases: set[str] = set()

    def run(self, seconds: float) -> 'RatedLoad':
        self.schedule_at(0.0, lambda: self._start_request(seconds))
        self.run_until(seconds + 10.0)
        return self

    def _start_request(self, until: float) -> None:
        if self.now >= until:
            return
        self.schedule_at(
            self.now + self.rng.expovariate(self.requests_per_second),
            lambda: self._start_request(until),
        )
        level = self.rng.randrange(384)
        self._send(PendingRequest(self.rng.choice(self.routers), self.now, frozenset(), level))

    def _send(self, request: PendingRequest) -> None:
        chosen = request.router.choose(self.now, self.candidates, request.tried)
        if chosen is None or len(request.tried) == MAX_TARGETS_TRIED:
            self.outcomes['refused'] += 1
            return
        request.router.record_sent(chosen.instance)
        target = self.targets[chosen.instance]
        self.schedule_at(self.now + ONE_WAY_SECONDS, lambda: self._arrive(target, request))

    def _arrive(self, target: RatedTarget, request: PendingRequest) -> None:
        number = next(self.sequence)
        self._calls[number] = request
        ticket = build_ticket(
            number,
            arrived_at=self.now,
            level=request.level,
            deadline=request.started_at + 5.0,
            useful_until=request.started_at + OBJECTIVE_SECONDS,
        )
        target.arrive(self.now, ticket)
        self._schedule_release(target)

    def _start(self, target: RatedTarget, ticket: Ticket) -> None:
        target.start_times.append(self.now)
        seconds = SERVICE_SECONDS * self.rng.uniform(0.6, 1.4)
        self.schedule_at(self.now + seconds, lambda: self._end(target, ticket, seconds))

    def _end(self, target: RatedTarget, ticket: Ticket, seconds: float) -> None:
        target.admission.finish(self.now, ticket, Sample(ticket.rule, seconds, completed=True))
        target.admission.set_rate_limit(self.now, target.rate)
        request = self._calls.pop(ticket.call_id)
        self.outcomes['served'] += 1
        self.latencies.append(self.now + ONE_WAY_SECONDS - request.started_at)
        self._reply(target, request, lambda: None)
        self._release(target)

    def _refuse(self, target: RatedTarget, ticket: Ticket, retry_after: float) -> None:
        target.refused_count += 1
        request = self._calls.pop(ticket.call_id)
        retry = request._replace(tried=request.tried | {target.candidate.instance})
        self._reply(target, request, lambda: self._send(retry))

    def _reply(self, target: RatedTarget, request: PendingRequest, on_delivered) -> None:
        load: Load = target.admission.load(self.now)
        rate = None if target.rate is None else max(target.rate, MIN_RATE)
        utilisation = target.admission.rate_utilisation(self.now)

        def deliver_reply() -> None:
            name = target.candidate.instance
            request.router.record_answer(self.now, name, load)
            request.router.record_rate(self.now, name, rate, utilisation)
            on_delivered()

        self.schedule_at(self.now + ONE_WAY_SECONDS, deliver_reply)

    def _release(self, target: RatedTarget) -> None:
        target.release(self.now)
        self._schedule_release(target)

    def _schedule_release(self, target: RatedTarget) -> None:
        seconds = target.admission.seconds_to_next_start(self.now)
        name = target.candidate.instance
        if seconds is None or name in self._scheduled_releases:
            return
        self._scheduled_releases.add(name)

        def release() -> None:
            self._scheduled_releases.discard(name)
            self._release(target)

        self.schedule_at(self.now + seconds, release)
