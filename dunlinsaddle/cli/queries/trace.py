"""The ``trace`` command: the decisions on one request, from the logs of one or more nodes."""

from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from typing import Any, NamedTuple

import msgspec
from cleo.helpers import argument, option

from dunlinsaddle.calls.decisions import Event
from dunlinsaddle.cli.definition import JSON_OPTION, BaseCommand, format_table
from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.exit_status import ExitStatus

HEADINGS = ['TIME', 'INSTANCE', 'DECISION', 'INPUTS']
#: Fields left out of the INPUTS column: they have their own column or do not concern the request.
_NON_INPUT_FIELDS = frozenset({'time', 'instance', 'message', 'level', 'domain'})
STDIN = '-'
_FAILURE_MESSAGES = frozenset({Event.FAILED.value, Event.CANCELLED.value})
MAX_CLOCK_SKEW = timedelta(milliseconds=50)  #: usual between machines synchronised by NTP
CALLS_HEADING = 'Calls of targets that failed meanwhile:'


class RequestLog(NamedTuple):
    """The log events of one request in order of time, and the number of unreadable lines.

    A call that a target makes for the request is recognised by its id, which has the request's
    id as a prefix. Targets may also give their calls unrelated ids. ``failed_calls`` holds such
    calls that failed while their target ran the request: each may be the cause of its failure.
    """

    events: list[dict[str, Any]]
    failed_calls: list[dict[str, Any]]
    unreadable_lines: int


def collect_request_log(lines: Iterable[str], request_id: str) -> RequestLog:
    """Collect the events of a request, and the failed calls that may belong to it.

    A line may have text before its JSON, because log collectors add a time and a source there.
    Nodes' clocks differ slightly, so events of two nodes that are milliseconds apart may be out
    of order.
    """
    events: list[dict[str, Any]] = []
    failed_calls: list[dict[str, Any]] = []
    unreadable_lines = 0
    for line in lines:
        if not line.strip():
            continue
        event = _parse_event(line)
        if event is None:
            unreadable_lines += 1
        elif _is_same_or_child_id(str(event.get('request_id', '')), request_id):
            events.append(event)
        elif event.get('inner') and event.get('message') in _FAILURE_MESSAGES:
            failed_calls.append(event)
    events.sort(key=_time_text)
    if any(_is_failed_child_call(event, request_id) for event in events):
        # The failed call is among the events: calls made for other requests would obscure it.
        return RequestLog(events, [], unreadable_lines)
    spans = [span for event in events for span in _attempt_spans(event)]
    calls = [event for event in failed_calls if any(span.contains(event) for span in spans)]
    return RequestLog(events, sorted(calls, key=_time_text), unreadable_lines)


def parse_events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the events of log lines and skip lines that cannot be read."""
    for line in lines:
        event = _parse_event(line)
        if event is not None:
            yield event


def read_log_files(paths: list[str], stdin: Iterable[str]) -> Iterator[str]:
    """Yield the lines of all files in turn. Raises CommandError if one cannot be read."""
    for path in paths or [STDIN]:
        if path == STDIN:
            yield from stdin
            continue
        try:
            with open(path, encoding='utf-8', errors='replace') as file:
                yield from file
        except OSError as exc:
            raise CommandError(ExitStatus.USAGE, f'{path}: {exc.strerror}') from exc


def _parse_event(line: str) -> dict[str, Any] | None:
    try:
        event = msgspec.json.decode(line[line.index('{') :])
    except (ValueError, msgspec.MsgspecError, RecursionError):
        return None
    return event if isinstance(event, dict) else None


def _is_same_or_child_id(event_id: str, request_id: str) -> bool:
    """Return whether an id is that of the request, or of a call made for it.

    >>> [_is_same_or_child_id(event_id, 'a1') for event_id in ('a1', 'a1.7f', 'a17f', 'b1')]
    [True, True, False, False]
    """
    if not event_id.startswith(request_id):
        return False
    rest = event_id[len(request_id) :]
    return not rest or not rest[0].isalnum()


def _is_failed_child_call(event: dict[str, Any], request_id: str) -> bool:
    return event.get('request_id') != request_id and event.get('message') in _FAILURE_MESSAGES


class _Span(NamedTuple):
    """The time during which one instance ran the request."""

    instance: str
    start: datetime
    end: datetime

    def contains(self, event: dict[str, Any]) -> bool:
        time = _parse_time(event)
        if event.get('instance') != self.instance or time is None:
            return False
        return self.start <= time <= self.end


def _attempt_spans(event: dict[str, Any]) -> Iterator[_Span]:
    """Yield the span of each send of a request, backwards from the time of its last event."""
    end = _parse_time(event)
    attempts = event.get('attempts')
    if end is None or not isinstance(attempts, list):
        return
    for attempt in reversed(attempts):
        start = end - timedelta(seconds=float(attempt['seconds']))
        yield _Span(str(attempt['instance']), start - MAX_CLOCK_SKEW, end + MAX_CLOCK_SKEW)
        end = start


def _time_text(event: dict[str, Any]) -> str:
    return str(event.get('time', ''))


def _parse_time(event: dict[str, Any]) -> datetime | None:
    try:
        return datetime.fromisoformat(_time_text(event))
    except ValueError:
        return None


def _format_row(event: dict[str, Any]) -> list[str]:
    inputs = [
        f'{name}={_format_value(value)}'
        for name, value in event.items()
        if name not in _NON_INPUT_FIELDS
    ]
    columns = [str(event.get(name, '-')) for name in ('time', 'instance', 'message')]
    return [*columns, ' '.join(inputs)]


def _format_value(value: Any) -> str:
    if isinstance(value, str):
        return value or '-'
    return msgspec.json.encode(value).decode()


class TraceCommand(BaseCommand):
    """Shows the decisions of all nodes on one request."""

    name = 'trace'
    description = "Show the decisions on a request from nodes' logs, e.g. trace 9c41d07b *.log."
    arguments = [
        argument('request-id', 'Id of the request.'),
        argument(
            'files', f'Log files; standard input if {STDIN} or none.', optional=True, multiple=True
        ),
    ]
    options = [
        JSON_OPTION,
        option('debug', None, 'Show the traceback of a failure.'),
    ]

    def run_command(self) -> ExitStatus:
        """Show one line for each decision, the earliest first."""
        request_id = self.argument('request-id')
        request_log = collect_request_log(
            read_log_files(self.argument('files'), self.env.stdin), request_id
        )
        if request_log.unreadable_lines:
            self.env.stderr.write(
                f'{request_log.unreadable_lines} lines could not be read and were skipped\n'
            )
        if not request_log.events:
            message = f'no line names the request {request_id}; give the logs of all nodes'
            raise CommandError(ExitStatus.NOT_FOUND, message)
        output = format_table([HEADINGS, *map(_format_row, request_log.events)])
        if request_log.failed_calls:
            output += [
                '',
                CALLS_HEADING,
                *format_table([HEADINGS, *map(_format_row, request_log.failed_calls)]),
            ]
        self.write_result({'lines': request_log.events, 'calls': request_log.failed_calls}, output)
        return ExitStatus.OK
