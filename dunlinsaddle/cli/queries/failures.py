"""The ``failures`` command: count failed requests by reason, over logs of one or more nodes."""

from collections import Counter
from collections.abc import Iterable
from typing import Any, NamedTuple

from cleo.helpers import argument, option

from dunlinsaddle.calls.decisions import Event
from dunlinsaddle.cli.definition import JSON_OPTION, BaseCommand, format_table
from dunlinsaddle.cli.queries.trace import parse_events, read_log_files
from dunlinsaddle.exit_status import ExitStatus

HEADINGS = ['COUNT', 'OF', 'SERVICE', 'RULE', 'REASON']
TARGET_FAILED = 'the target failed'


class FailureGroup(NamedTuple):
    """The attributes by which failures are counted together."""

    of: str  #: a request of a caller, or a call that a target made
    service: str
    rule: str
    reason: str
    second: str  #: time of day, 'HH:MM:SS'; empty unless counted by second


def count_failures(
    events: Iterable[dict[str, Any]], *, by_second: bool = False
) -> Counter[FailureGroup]:
    """Count the log lines of failed requests.

    Lines that a node omitted because of its log rate limit are missing from the counts.
    """
    counts: Counter[FailureGroup] = Counter()
    for event in events:
        if event.get('message') == Event.FAILED.value:
            counts[_failure_group(event, by_second=by_second)] += 1
    return counts


def _failure_group(event: dict[str, Any], *, by_second: bool) -> FailureGroup:
    reason = event.get('kind') or event.get('cause') or TARGET_FAILED
    second = str(event.get('time', ''))[11:19] if by_second else ''
    of = 'call' if event.get('inner') else 'request'
    service, rule = str(event.get('service', '-')), str(event.get('rule', '-'))
    return FailureGroup(of, service, rule, str(reason), second)


class FailuresCommand(BaseCommand):
    """Counts failed requests by service, rule and reason."""

    name = 'failures'
    description = "Count failed requests by reason, from nodes' logs, e.g. failures *.log."
    arguments = [
        argument('files', 'Log files; standard input if none.', optional=True, multiple=True)
    ]
    options = [
        JSON_OPTION,
        option('seconds', None, 'Count each second of the day separately, the earliest first.'),
        option('debug', None, 'Show the traceback of a failure.'),
    ]

    def run_command(self) -> ExitStatus:
        """Show the most frequent failures first, or with ``--seconds`` in order of time."""
        by_second = bool(self.option('seconds'))
        events = parse_events(read_log_files(self.argument('files'), self.env.stdin))
        counts = count_failures(events, by_second=by_second)
        failures = counts.most_common()
        headings = HEADINGS
        if by_second:
            failures.sort(key=lambda item: item[0].second)
            headings = ['SECOND', *HEADINGS]
        rows = [_format_row(group, count) for group, count in failures]
        value = [{**group._asdict(), 'count': count} for group, count in failures]
        self.write_result(value, format_table([headings, *rows]))
        return ExitStatus.OK


def _format_row(group: FailureGroup, count: int) -> list[str]:
    prefix = [group.second] if group.second else []
    return [*prefix, str(count), group.of, group.service, group.rule, group.reason]
