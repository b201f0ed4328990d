"""Runs a trace against a policy and measures what came of each request."""

from dataclasses import dataclass, field
from random import Random

from dunlinsaddle.errors import Failure
from dunlinsaddle.policy.admission import Admission
from dunlinsaddle.policy.context import SLOTS_PER_RANK, Priority
from dunlinsaddle.policy.level import ChainLevels
from dunlinsaddle.policy.naive import FixedLimit
from dunlinsaddle.policy.retry import RetryAllowance
from dunlinsaddle.policy.route import Candidate, Router
from dunlinsaddle.records.models import Rank
from dunlinsaddle.replay.attempt import Answer, Attempt
from dunlinsaddle.replay.capacity import full_rate, rank_of
from dunlinsaddle.replay.current_node import CurrentNode
from dunlinsaddle.replay.events import EventLoop, Process
from dunlinsaddle.replay.fakes import FakeTarget, Network
from dunlinsaddle.replay.naive_node import NaiveNode
from dunlinsaddle.replay.nodes import VIEW_LAG, FakeNode, Fleet
from dunlinsaddle.replay.trace import Arrival, Call, Chain, Demand, Fault, Trace

POLICIES = ('naive', 'current', 'local')
MIN_PAUSE = 0.001
RESTART_SECONDS = 3.0  #: until a target that died is up again


@dataclass(slots=True)
class Request:
    """One request of a caller over all its sendings. Times in seconds."""

    chain: str
    rank: Rank
    caller: str
    arrived: float
    kills: bool = False
    ended: float = 0.0
    whole: bool = False
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class Run:
    """What a replay gave."""

    trace: Trace
    policy: str
    requests: list[Request] = field(default_factory=list)
    deaths: int = 0  #: targets that died of a request


class Replay:
    """One trace under one policy."""

    def __init__(self, trace: Trace, policy: str) -> None:
        self.trace = trace
        self.policy = policy
        self.loop = EventLoop()
        self.rng = Random(trace.header.seed)
        self.network = Network(trace.header.between)
        self.run_data = Run(trace, policy)
        idempotent = {
            (name, rule.name): rule.idempotent
            for name, record in trace.records.items()
            for rule in record.rules
        }
        self.fleet = Fleet(
            self.loop,
            self.network,
            trace.records,
            {},
            lambda service, rule: idempotent.get((service, rule), True),
            self._died,
        )
        for name, service in trace.services.items():
            self.fleet.nodes[name] = [self._node(name, i) for i in range(service.targets)]
        self.entries = [node for nodes in self.fleet.nodes.values() for node in nodes]

    def run(self) -> Run:
        """Run the trace to its end, and past it until all requests have ended."""
        for demand in self.trace.demands:
            self.loop.spawn(self._demand(demand))
        for arrival in self.trace.arrivals:
            self.loop.call_at(arrival.at, self._arrive, arrival)
        for fault in self.trace.faults:
            self.loop.call_at(fault.at, self._begin, fault)
            self.loop.call_at(fault.until, self._end, fault)
        longest = max(record.deadline for record in self.trace.records.values())
        self.loop.run(self.trace.header.duration + longest + 1)
        return self.run_data

    def _node(self, service: str, number: int) -> FakeNode:
        trace = self.trace
        domain = trace.header.domains[number % len(trace.header.domains)]
        instance = Candidate(f'{service}-{number}', domain)
        target = FakeTarget(self.loop, trace.services[service], Random(self.rng.random()))
        router = Router(domain, Random(self.rng.random()), instance.instance)
        record = trace.records[service]
        if self.policy == 'naive':
            slots = trace.services[service].slots
            limit = FixedLimit(slots, record.connections)
            return NaiveNode(self.fleet, instance, target, limit, router)
        admission = Admission.from_record(record)
        levels = ChainLevels() if self.policy == 'current' else None
        return CurrentNode(self.fleet, instance, target, admission, router, levels)

    def _demand(self, demand: Demand) -> Process:
        chains = list(self.trace.chains.values())
        weights = [chain.share for chain in chains]
        rate = demand.load * full_rate(self.trace)
        yield demand.at
        while self.loop.now < demand.until:
            chain = self.rng.choices(chains, weights)[0]
            caller = f'caller-{self.rng.randrange(self.trace.callers.count)}'
            self.loop.spawn(self._request(chain, caller, kills=False))
            yield self.rng.expovariate(rate)

    def _arrive(self, arrival: Arrival) -> None:
        chain = self.trace.chains[arrival.chain]
        self.loop.spawn(self._request(chain, arrival.caller, kills=arrival.kills))

    def _request(self, chain: Chain, caller: str, *, kills: bool) -> Process:
        """Send a request, again as its caller does, until it is whole or too late."""
        rank = rank_of(self.trace, chain)
        req = Request(chain.name, rank, caller, self.loop.now, kills)
        self.run_data.requests.append(req)
        number = len(self.run_data.requests)
        deadline = self.loop.now + self.trace.records[chain.service].deadline
        callers = self.trace.callers
        call = Call(chain.service, chain.rule, chain.calls)
        # Resends keep the request's id, and with it the priority that all hops derive from it.
        priority = Priority(rank, self.rng.randrange(SLOTS_PER_RANK))
        while True:
            attempt = Attempt(caller, priority, deadline, fingerprint=number, kills=kills)
            req.attempts.append(attempt)
            failure = yield from self._send(attempt, call)
            if failure is None or len(req.attempts) > callers.resends:
                break
            pause = callers.pause if callers.pause != 'retry-after' else failure.retry_after
            if self.loop.now + pause >= deadline:
                break
            yield max(pause, MIN_PAUSE)
        req.ended = self.loop.now
        req.whole = failure is None and req.ended <= deadline

    def _send(self, attempt: Attempt, call: Call) -> Process:
        entry = self.rng.choice(self.entries)
        while not entry.listed:
            entry = self.rng.choice(self.entries)
        yield self.trace.header.clients
        allowance = RetryAllowance(self.trace.records[call.service].retry_bound)
        answer: Answer = yield from entry.enter(attempt, call, allowance)
        yield self.trace.header.clients
        late = self.loop.now > attempt.deadline
        attempt.end(whole=answer.failure is None and not late)
        failure: Failure | None = answer.failure
        return failure

    def _begin(self, fault: Fault) -> None:
        match fault.fault:
            case 'cut':
                self.network.cut.add(fault.domain)
            case 'slow':
                for node in self.fleet.nodes[fault.service]:
                    node.target.factor = fault.factor
            case 'restart':
                for node in self.fleet.nodes[fault.service]:
                    node.crash()
                    self.loop.call_at(self.loop.now + VIEW_LAG, self._list, node)

    def _end(self, fault: Fault) -> None:
        match fault.fault:
            case 'cut':
                self.network.cut.discard(fault.domain)
            case 'slow':
                for node in self.fleet.nodes[fault.service]:
                    node.target.factor = 1.0
            case 'restart':
                for node in self.fleet.nodes[fault.service]:
                    self._start(node)

    def _died(self, node: FakeNode) -> None:
        self.run_data.deaths += 1
        self.loop.call_at(self.loop.now + VIEW_LAG, self._list, node)
        self.loop.call_at(self.loop.now + RESTART_SECONDS, self._start, node)

    def _start(self, node: FakeNode) -> None:
        node.target.start()
        node.restarted()
        self.loop.call_at(self.loop.now + VIEW_LAG, self._list, node)

    def _list(self, node: FakeNode) -> None:
        node.listed = node.target.up


def replay(trace: Trace, policy: str) -> Run:
    """Run a trace under a policy."""
    return Replay(trace, policy).run()
