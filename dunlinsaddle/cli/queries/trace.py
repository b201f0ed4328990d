"""``trace``: the story of one request, from the log lines of any number of nodes."""

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
#: Fields that have a column of their own, or say nothing of the request.
_SHOWN = frozenset({'time', 'instance', 'message', 'level', 'domain'})
STDIN = '-'
_UNSERVED = frozenset({Event.FAILED.value, Event.CANCELLED.value})
MAX_CLOCK_SKEW = timedelta(milliseconds=50)  #: usual between machines that set theirs by NTP
CALLS_HEADING = 'Calls of targets that failed meanwhile:'


class RequestLog(NamedTuple):
    """The lines on one request in order of time, and how many lines could not be read.

    A call that a target makes for the request is known by its id, which extends the request's.
    ``calls`` are other calls of targets that failed while one of them ran the request: where
    targets give their calls ids of another kind, it may have failed of these.
    """

    events: list[dict[str, Any]]
    failed_calls: list[dict[str, Any]]
    unreadable_lines: int


def collect_request_log(lines: Iterable[str], request_id: str) -> RequestLog:
    """Pick the lines that name a request, and the failed calls that may belong to it.

    A line may carry text before its JSON, as collectors put a time and a source there. Nodes'
    clocks differ by a little, so lines of two nodes within milliseconds may be out of order.
    """
    found: list[dict[str, Any]] = []
    failed: list[dict[str, Any]] = []
    unreadable_lines = 0
    for line in lines:
        if not line.strip():
            continue
        event = _event(line)
        if event is None:
            unreadable_lines += 1
        elif _belongs(str(event.get('request_id', '')), request_id):
            found.append(event)
        elif event.get('inner') and event.get('message') in _UNSERVED:
            failed.append(event)
    found.sort(key=_when)
    if any(_failed_call_of(event, request_id) for event in found):
        # What it failed of is in the story: calls that others were made for would hide it.
        return RequestLog(found, [], unreadable_lines)
    spans = [span for event in found for span in _spans(event)]
    calls = [event for event in failed if any(span.holds(event) for span in spans)]
    return RequestLog(found, sorted(calls, key=_when), unreadable_lines)


def parse_events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Give what the lines say, without those that cannot be read."""
    for line in lines:
        event = _event(line)
        if event is not None:
            yield event


def read_log_files(paths: list[str], stdin: Iterable[str]) -> Iterator[str]:
    """Give the lines of files one after the other. Raises CommandError where one cannot be read."""
    for path in paths or [STDIN]:
        if path == STDIN:
            yield from stdin
            continue
        try:
            with open(path, encoding='utf-8', errors='replace') as file:
                yield from file
        except OSError as exc:
            raise CommandError(ExitStatus.USAGE, f'{path}: {exc.strerror}') from exc


def _event(line: str) -> dict[str, Any] | None:
    try:
        event = msgspec.json.decode(line[line.index('{') :])
    except (ValueError, msgspec.MsgspecError, RecursionError):
        return None
    return event if isinstance(event, dict) else None


def _belongs(found: str, request_id: str) -> bool:
    """Say whether an id is that of the request, or of a call made for it.

    >>> [_belongs(found, 'a1') for found in ('a1', 'a1.7f', 'a17f', 'b1')]
    [True, True, False, False]
    """
    if not found.startswith(request_id):
        return False
    rest = found[len(request_id) :]
    return not rest or not rest[0].isalnum()


def _failed_call_of(event: dict[str, Any], request_id: str) -> bool:
    return event.get('request_id') != request_id and event.get('message') in _UNSERVED


class _Span(NamedTuple):
    """The time in which one instance had the request."""

    instance: str
    start: datetime
    end: datetime

    def holds(self, event: dict[str, Any]) -> bool:
        moment = _moment(event)
        if event.get('instance') != self.instance or moment is None:
            return False
        return self.start <= moment <= self.end


def _spans(event: dict[str, Any]) -> Iterator[_Span]:
    """Give where the sends of a request were, counted back from the line of its end."""
    end = _moment(event)
    attempts = event.get('attempts')
    if end is None or not isinstance(attempts, list):
        return
    for attempt in reversed(attempts):
        start = end - timedelta(seconds=float(attempt['seconds']))
        yield _Span(str(attempt['instance']), start - MAX_CLOCK_SKEW, end + MAX_CLOCK_SKEW)
        end = start


def _when(event: dict[str, Any]) -> str:
    return str(event.get('time', ''))


def _moment(event: dict[str, Any]) -> datetime | None:
    try:
        return datetime.fromisoformat(_when(event))
    except ValueError:
        return None


def _row(event: dict[str, Any]) -> list[str]:
    inputs = [f'{name}={_text(value)}' for name, value in event.items() if name not in _SHOWN]
    head = [str(event.get(name, '-')) for name in ('time', 'instance', 'message')]
    return [*head, ' '.join(inputs)]


def _text(value: Any) -> str:
    if isinstance(value, str):
        return value or '-'
    return msgspec.json.encode(value).decode()


class TraceCommand(BaseCommand):
    """Shows what was decided on one request, across nodes."""

    name = 'trace'
    description = "Show the story of a request from nodes' logs, e.g. trace 9c41d07b *.log."
    arguments = [
        argument('request-id', 'Id of the request.'),
        argument(
            'files', f'Log files; {STDIN} or none: standard input.', optional=True, multiple=True
        ),
    ]
    options = [
        JSON_OPTION,
        option('debug', None, 'Show where a failure comes from.'),
    ]

    def run_command(self) -> ExitStatus:
        """Show one line a decision, the earliest first."""
        request_id = self.argument('request-id')
        request_log = collect_request_log(
            read_log_files(self.argument('files'), self.env.stdin), request_id
        )
        if request_log.unreadable_lines:
            self.env.stderr.write(
                f'{request_log.unreadable_lines} lines could not be read and were skipped\n'
            )
        if not request_log.events:
            what = f'no line names the request {request_id}; give the logs of all nodes'
            raise CommandError(ExitStatus.NOT_FOUND, what)
        shown = format_table([HEADINGS, *map(_row, request_log.events)])
        if request_log.failed_calls:
            shown += [
                '',
                CALLS_HEADING,
                *format_table([HEADINGS, *map(_row, request_log.failed_calls)]),
            ]
        self.write_result({'lines': request_log.events, 'calls': request_log.failed_calls}, shown)
        return ExitStatus.OK
