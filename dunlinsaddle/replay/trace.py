"""The format of trace files: JSON lines of several kinds, validated before the replay."""

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
    """An invalid line of a trace; ``number`` counts from 1."""

    def __init__(self, number: int, message: str) -> None:
        super().__init__(f'line {number}: {message}')
        self.number = number


class Line(msgspec.Struct, tag_field='kind', forbid_unknown_fields=True):
    """Base class of all lines."""


class Header(Line, tag='trace'):
    """The first line. Times are in seconds, latencies are one way."""

    name: str
    duration: float
    domains: list[str]
    seed: int = 1
    warm_up: float = 5.0  #: seconds at the start that no figure includes
    between: float = 0.0005  #: latency between failure domains
    clients: float = 0.001  #: latency between callers and nodes
    first: Literal['recovery', 'goodput'] = 'goodput'  #: figure that is reported first
    bias_trade: bool = False  #: the bench runs the trace under several values of recovery_bias


class Service(Line, tag='service'):
    """One service: the actual properties of its targets, and its record."""

    name: str
    targets: int
    slots: int
    service_time: float
    connections: int = 1000
    cold_factor: float = 3.0  #: ratio by which a target is slower just after its start
    cold_seconds: float = 2.0
    record: dict[str, Any] = {}


class Call(msgspec.Struct, forbid_unknown_fields=True):
    """A call that a target makes for a request, and the calls made for it in turn, in order."""

    service: str
    rule: str = 'default'
    calls: list['Call'] = []


class Chain(Line, tag='chain'):
    """A kind of request: its first service and rule, its share of demand, and its calls."""

    name: str
    service: str
    rule: str = 'default'
    share: float = 1.0
    calls: list[Call] = []


class Callers(Line, tag='callers'):
    """The callers, all alike: they resend after a pause in seconds (0: at once), or Retry-After."""

    count: int = 20
    resends: int = 0
    pause: float | Literal['retry-after'] = 'retry-after'


class Demand(Line, tag='demand'):
    """A phase of demand; ``load`` is a multiple of what the capacity allows."""

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
    """A fault: targets of a service slow down or restart, or a failure domain is isolated."""

    fault: Literal['slow', 'restart', 'cut']
    at: float
    until: float
    service: str = ''
    domain: str = ''
    factor: float = 5.0


class Expect(Line, tag='expect'):
    """An expected outcome: a bound on a figure under a policy."""

    metric: Metric
    op: Literal['>=', '<=']
    value: float
    policy: Literal['naive', 'current', 'local'] = 'current'


AnyLine = Header | Service | Chain | Callers | Demand | Arrival | Fault | Expect


class Trace(msgspec.Struct):
    """A trace with all its lines."""

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
        """Return the time when the last fault or surge ends; None if there is none."""
        ends = [f.until + self._cold_seconds(f) for f in self.faults]
        surges = [d.until for d in self.demands if d.load > 1]
        ends += [end for end in surges if end < self.header.duration]
        return max(ends, default=None)

    def _cold_seconds(self, fault: Fault) -> float:
        return self.services[fault.service].cold_seconds if fault.fault == 'restart' else 0.0

    def trigger_start(self) -> float | None:
        """Return the time when the first fault or surge begins; None if there is none."""
        starts = [f.at for f in self.faults] + [d.at for d in self.demands if d.load > 1]
        return min(starts, default=None)


_DECODER = msgspec.json.Decoder(AnyLine)


def read_trace(lines: Iterable[str]) -> Trace:
    """Read a trace. Raises TraceError with the number of the first invalid line."""
    trace: Trace | None = None
    number = 0
    for number, text in enumerate(lines, 1):
        if not text.strip() or text.startswith('#'):
            continue
        line = _decode_line(number, text)
        if trace is None:
            if not isinstance(line, Header):
                raise TraceError(number, 'expected a line of kind "trace" first')
            trace = Trace(line)
        else:
            _add_line(trace, number, line)
    if trace is None:
        raise TraceError(number + 1, 'expected a line of kind "trace", found the end')
    if not trace.chains:
        raise TraceError(number + 1, 'expected at least one line of kind "chain", found the end')
    return trace


def _decode_line(number: int, text: str) -> AnyLine:
    try:
        return _DECODER.decode(text)
    except msgspec.MsgspecError as exc:
        raise TraceError(number, str(exc)) from None


def _add_line(trace: Trace, number: int, line: AnyLine) -> None:
    match line:
        case Header():
            raise TraceError(number, 'expected a single line of kind "trace"')
        case Service():
            trace.services[line.name] = line
            trace.records[line.name] = _build_record(number, line)
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


def _build_record(number: int, service: Service) -> ServiceRecord:
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
