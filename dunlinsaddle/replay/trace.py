"""The format of a trace: JSON lines, each of one kind, checked before anything runs."""

from collections.abc import Iterable
from typing import Any, Literal

import msgspec
from result import Err, Ok, Result

from dunlinsaddle.errors import Failure
from dunlinsaddle.records.models import ServiceRecord
from dunlinsaddle.records.schema import decode_record

Metric = Literal[
    'goodput', 'recovery', 'critical', 'wasted', 'fairness', 'resends', 'deaths', 'median'
]


class TraceError(Exception):
    """A line that cannot be taken; ``number`` counts from 1."""

    def __init__(self, number: int, message: str) -> None:
        super().__init__(f'line {number}: {message}')
        self.number = number


class Line(msgspec.Struct, tag_field='kind', forbid_unknown_fields=True):
    """What all lines share."""


class Header(Line, tag='trace'):
    """The first line. Times in seconds, latencies one way."""

    name: str
    duration: float
    domains: list[str]
    seed: int = 1
    warm_up: float = 5.0  #: seconds that are left out of all figures
    between: float = 0.0005  #: latency between failure domains
    clients: float = 0.001  #: latency to callers
    first: Literal['recovery', 'goodput'] = 'goodput'  #: which figure is reported first
    bias_trade: bool = False  #: the bench runs it under several values of recovery_bias


class Service(Line, tag='service'):
    """One service: how its targets really are, and the record that describes it."""

    name: str
    targets: int
    slots: int
    service_time: float
    connections: int = 1000
    cold_factor: float = 3.0  #: how much slower a target is just after its start
    cold_seconds: float = 2.0
    record: dict[str, Any] = {}


class Call(msgspec.Struct, forbid_unknown_fields=True):
    """A call that a target makes for a request, and those that follow from it, in order."""

    service: str
    rule: str = 'default'
    calls: list['Call'] = []


class Chain(Line, tag='chain'):
    """A kind of request: its first service and rule, its share of demand, what it calls."""

    name: str
    service: str
    rule: str = 'default'
    share: float = 1.0
    calls: list[Call] = []


class Callers(Line, tag='callers'):
    """Who sends: equal callers that resend at once, after a pause, or as Retry-After says."""

    count: int = 20
    resends: int = 0
    pause: float | Literal['retry-after'] = 'retry-after'


class Demand(Line, tag='demand'):
    """A phase of demand, as a multiple of what the capacity allows."""

    at: float
    until: float
    load: float


class Arrival(Line, tag='arrival'):
    """A single request; ``kills`` makes each target that runs it crash."""

    at: float
    chain: str
    caller: str = 'single'
    kills: bool = False


class Fault(Line, tag='fault'):
    """A trigger: targets of a service slow or restart, or a failure domain is cut off."""

    fault: Literal['slow', 'restart', 'cut']
    at: float
    until: float
    service: str = ''
    domain: str = ''
    factor: float = 5.0


class Expect(Line, tag='expect'):
    """A stated outcome."""

    metric: Metric
    op: Literal['>=', '<=']
    value: float
    policy: Literal['naive', 'current', 'local'] = 'current'


AnyLine = Header | Service | Chain | Callers | Demand | Arrival | Fault | Expect


class Trace(msgspec.Struct):
    """A whole trace."""

    header: Header
    services: dict[str, Service] = {}
    records: dict[str, ServiceRecord] = {}
    chains: dict[str, Chain] = {}
    callers: Callers = msgspec.field(default_factory=Callers)
    demands: list[Demand] = []
    arrivals: list[Arrival] = []
    faults: list[Fault] = []
    expects: list[Expect] = []

    def trigger_end(self) -> float | None:
        """Give the moment when the last fault or surge ends; None if there is none."""
        ends = [f.until + self._cold_seconds(f) for f in self.faults]
        surges = [d.until for d in self.demands if d.load > 1]
        ends += [end for end in surges if end < self.header.duration]
        return max(ends, default=None)

    def _cold_seconds(self, fault: Fault) -> float:
        return self.services[fault.service].cold_seconds if fault.fault == 'restart' else 0.0

    def trigger_start(self) -> float | None:
        """Give the moment when the first fault or surge begins; None if there is none."""
        starts = [f.at for f in self.faults] + [d.at for d in self.demands if d.load > 1]
        return min(starts, default=None)


_DECODER = msgspec.json.Decoder(AnyLine)


def read_trace(lines: Iterable[str]) -> Trace:
    """Read a trace. Raises TraceError with the number of the first line that is wrong."""
    trace: Trace | None = None
    number = 0
    for number, text in enumerate(lines, 1):
        if not text.strip() or text.startswith('#'):
            continue
        line = _decode(number, text)
        if trace is None:
            if not isinstance(line, Header):
                raise TraceError(number, 'expected a line of kind "trace" first')
            trace = Trace(line)
        else:
            _add(trace, number, line)
    if trace is None:
        raise TraceError(number + 1, 'expected a line of kind "trace", found the end')
    if not trace.chains:
        raise TraceError(number + 1, 'expected at least one line of kind "chain", found the end')
    return trace


def _decode(number: int, text: str) -> AnyLine:
    try:
        return _DECODER.decode(text)
    except msgspec.MsgspecError as exc:
        raise TraceError(number, str(exc)) from None


def _add(trace: Trace, number: int, line: AnyLine) -> None:
    match line:
        case Header():
            raise TraceError(number, 'expected a single line of kind "trace"')
        case Service():
            trace.services[line.name] = line
            trace.records[line.name] = _record(number, line)
        case Chain():
            _check_calls(trace, number, [Call(line.service, line.rule, line.calls)])
            trace.chains[line.name] = line
        case Callers():
            trace.callers = line
        case Demand():
            trace.demands.append(line)
        case Arrival():
            if line.chain not in trace.chains:
                raise TraceError(number, f'expected a chain named above, not {line.chain!r}')
            trace.arrivals.append(line)
        case Fault():
            _check_fault(trace, number, line)
            trace.faults.append(line)
        case Expect():
            trace.expects.append(line)


def _record(number: int, service: Service) -> ServiceRecord:
    targets = {'connections': service.connections}
    document = {'schema': 2, 'service': service.name, 'targets': targets, **service.record}
    decoded: Result[ServiceRecord, Failure] = decode_record(document)
    match decoded:
        case Ok(record):
            return record
        case Err(failure):
            raise TraceError(number, f'record: {failure.detail}')


def _check_calls(trace: Trace, number: int, calls: list[Call]) -> None:
    for call in calls:
        if call.service not in trace.services:
            raise TraceError(number, f'expected a service named above, not {call.service!r}')
        _check_calls(trace, number, call.calls)


def _check_fault(trace: Trace, number: int, fault: Fault) -> None:
    if fault.fault == 'cut' and fault.domain not in trace.header.domains:
        raise TraceError(number, f'domain: expected one of the header, not {fault.domain!r}')
    if fault.fault != 'cut' and fault.service not in trace.services:
        raise TraceError(number, f'service: expected one named above, not {fault.service!r}')
