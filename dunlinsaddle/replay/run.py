"""Replays a trace under a policy and records the outcome of each request."""

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
from dunlinsaddle.replay.attempt import Attempt, Response
from dunlinsaddle.replay.capacity import chain_rank, saturation_rate
from dunlinsaddle.replay.current_node import CurrentNode
from dunlinsaddle.replay.events import EventLoop, Process
from dunlinsaddle.replay.fakes import FakeTarget, Network
from dunlinsaddle.replay.naive_node import NaiveNode
from dunlinsaddle.replay.nodes import VIEW_DELAY_SECONDS, FakeNode, Fleet
from dunlinsaddle.replay.trace import Arrival, Call, Chain, Demand, Fault, Trace

POLICIES = ('naive', 'current', 'local')
MIN_PAUSE_SECONDS = 0.001
RESTART_SECONDS = 3.0  #: until a crashed target is up again


@dataclass(slots=True)
class Request:
    """One request of a caller with all its attempts. Times in seconds."""

    chain: str
    rank: Rank
    caller: str
    arrived_at: float
    kills: bool = False
    ended_at: float = 0.0
    succeeded: bool = False
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True)
class ReplayResult:
    """The requests and crashes of one replay."""

    trace: Trace
    policy: str
    requests: list[Request] = field(default_factory=list)
    deaths: int = 0  #: crashes of targets caused by a request


class Replay:
    """A replay of one trace under one policy."""

    def __init__(self, trace: Trace, policy: str) -> None:
        self.trace = trace
        self.policy = policy
        self.loop = EventLoop()
        self.rng = Random(trace.header.seed)
        self.network = Network(trace.header.between)
        self.result = ReplayResult(trace, policy)
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
            self._on_target_death,
        )
        for name, service in trace.services.items():
            self.fleet.nodes[name] = [self._build_node(name, i) for i in range(service.targets)]
        self.entry_nodes = [node for nodes in self.fleet.nodes.values() for node in nodes]

    def run(self) -> ReplayResult:
        """Run the trace to its end, and on until all requests have ended."""
        for demand in self.trace.demands:
            self.loop.spawn(self._generate_demand(demand))
        for arrival in self.trace.arrivals:
            self.loop.call_at(arrival.at, self._start_arrival, arrival)
        for fault in self.trace.faults:
            self.loop.call_at(fault.at, self._start_fault, fault)
            self.loop.call_at(fault.until, self._end_fault, fault)
        max_deadline = max(record.deadline for record in self.trace.records.values())
        self.loop.run(self.trace.header.duration + max_deadline + 1)
        return self.result

    def _build_node(self, service: str, number: int) -> FakeNode:
        trace = self.trace
        domain = trace.header.domains[number % len(trace.header.domains)]
        candidate = Candidate(f'{service}-{number}', domain)
        target = FakeTarget(self.loop, trace.services[service], Random(self.rng.random()))
        router = Router(domain, Random(self.rng.random()), candidate.instance)
        record = trace.records[service]
        if self.policy == 'naive':
            slots = trace.services[service].slots
            limit = FixedLimit(slots, record.connections)
            return NaiveNode(self.fleet, candidate, target, limit, router)
        admission = Admission.from_record(record)
        levels = ChainLevels() if self.policy == 'current' else None
        return CurrentNode(self.fleet, candidate, target, admission, router, levels)

    def _generate_demand(self, demand: Demand) -> Process:
        chains = list(self.trace.chains.values())
        weights = [chain.share for chain in chains]
        rate = demand.load * saturation_rate(self.trace)
        yield demand.at
        while self.loop.now < demand.until:
            chain = self.rng.choices(chains, weights)[0]
            caller = f'caller-{self.rng.randrange(self.trace.callers.count)}'
            self.loop.spawn(self._run_request(chain, caller, kills=False))
            yield self.rng.expovariate(rate)

    def _start_arrival(self, arrival: Arrival) -> None:
        chain = self.trace.chains[arrival.chain]
        self.loop.spawn(self._run_request(chain, arrival.caller, kills=arrival.kills))

    def _run_request(self, chain: Chain, caller: str, *, kills: bool) -> Process:
        """Send a request, and resend it as its caller does, until it succeeds or is too late."""
        rank = chain_rank(self.trace, chain)
        req = Request(chain.name, rank, caller, self.loop.now, kills)
        self.result.requests.append(req)
        request_number = len(self.result.requests)
        deadline = self.loop.now + self.trace.records[chain.service].deadline
        callers = self.trace.callers
        call = Call(chain.service, chain.rule, chain.calls)
        # Resends keep the request's id, and so the priority that all hops derive from it.
        priority = Priority(rank, self.rng.randrange(SLOTS_PER_RANK))
        while True:
            attempt = Attempt(caller, priority, deadline, fingerprint=request_number, kills=kills)
            req.attempts.append(attempt)
            failure = yield from self._send_attempt(attempt, call)
            if failure is None or len(req.attempts) > callers.resends:
                break
            pause = callers.pause if callers.pause != 'retry-after' else failure.retry_after
            if self.loop.now + pause >= deadline:
                break
            yield max(pause, MIN_PAUSE_SECONDS)
        req.ended_at = self.loop.now
        req.succeeded = failure is None and req.ended_at <= deadline

    def _send_attempt(self, attempt: Attempt, call: Call) -> Process:
        entry_node = self.rng.choice(self.entry_nodes)
        while not entry_node.is_listed:
            entry_node = self.rng.choice(self.entry_nodes)
        yield self.trace.header.clients
        allowance = RetryAllowance(self.trace.records[call.service].retry_bound)
        response: Response = yield from entry_node.handle_request(attempt, call, allowance)
        yield self.trace.header.clients
        is_late = self.loop.now > attempt.deadline
        attempt.record_end(succeeded=response.failure is None and not is_late)
        failure: Failure | None = response.failure
        return failure

    def _start_fault(self, fault: Fault) -> None:
        match fault.fault:
            case 'cut':
                self.network.isolated_domains.add(fault.domain)
            case 'slow':
                for node in self.fleet.nodes[fault.service]:
                    node.target.slowdown = fault.factor
            case 'restart':
                for node in self.fleet.nodes[fault.service]:
                    node.crash()
                    self.loop.call_at(
                        self.loop.now + VIEW_DELAY_SECONDS, self._update_listing, node
                    )

    def _end_fault(self, fault: Fault) -> None:
        match fault.fault:
            case 'cut':
                self.network.isolated_domains.discard(fault.domain)
            case 'slow':
                for node in self.fleet.nodes[fault.service]:
                    node.target.slowdown = 1.0
            case 'restart':
                for node in self.fleet.nodes[fault.service]:
                    self._start_target(node)

    def _on_target_death(self, node: FakeNode) -> None:
        self.result.deaths += 1
        self.loop.call_at(self.loop.now + VIEW_DELAY_SECONDS, self._update_listing, node)
        self.loop.call_at(self.loop.now + RESTART_SECONDS, self._start_target, node)

    def _start_target(self, node: FakeNode) -> None:
        node.target.start()
        node.on_target_restart()
        self.loop.call_at(self.loop.now + VIEW_DELAY_SECONDS, self._update_listing, node)

    def _update_listing(self, node: FakeNode) -> None:
        node.is_listed = node.target.is_up


def replay(trace: Trace, policy: str) -> ReplayResult:
    """Replay a trace under a policy."""
    return Replay(trace, policy).run()
