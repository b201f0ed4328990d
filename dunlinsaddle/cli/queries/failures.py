"""``failures``: what requests failed of, counted over the logs of any number of nodes."""

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
    """What failed, and for what reason."""

    of: str  #: a request of a caller, or a call that a target made
    service: str
    rule: str
    reason: str
    second: str  #: of the day, empty where they are not told apart


def count_failures(
    events: Iterable[dict[str, Any]], *, by_second: bool = False
) -> Counter[FailureGroup]:
    """Count the lines of failed requests; those that a node left out of its log are missing."""
    counts: Counter[FailureGroup] = Counter()
    for event in events:
        if event.get('message') == Event.FAILED.value:
            counts[_failing(event, by_second=by_second)] += 1
    return counts


def _failing(event: dict[str, Any], *, by_second: bool) -> FailureGroup:
    reason = event.get('kind') or event.get('cause') or TARGET_FAILED
    second = str(event.get('time', ''))[11:19] if by_second else ''
    of = 'call' if event.get('inner') else 'request'
    service, rule = str(event.get('service', '-')), str(event.get('rule', '-'))
    return FailureGroup(of, service, rule, str(reason), second)


class FailuresCommand(BaseCommand):
    """Counts failed requests by service, rule and reason."""

    name = 'failures'
    description = "Count what requests failed of, from nodes' logs, e.g. failures *.log."
    arguments = [
        argument('files', 'Log files; none: standard input.', optional=True, multiple=True)
    ]
    options = [
        JSON_OPTION,
        option('seconds', None, 'Tell the seconds of the day apart, the earliest first.'),
        option('debug', None, 'Show where a failure comes from.'),
    ]

    def run_command(self) -> ExitStatus:
        """Show the most frequent first, or the seconds in their order."""
        by_second = bool(self.option('seconds'))
        events = parse_events(read_log_files(self.argument('files'), self.env.stdin))
        counts = count_failures(events, by_second=by_second)
        found = counts.most_common()
        headings = HEADINGS
        if by_second:
            found.sort(key=lambda one: one[0].second)
            headings = ['SECOND', *HEADINGS]
        rows = [_row(failing, count) for failing, count in found]
        value = [{**failing._asdict(), 'count': count} for failing, count in found]
        self.write_result(value, format_table([headings, *rows]))
        return ExitStatus.OK


def _row(failing: FailureGroup, count: int) -> list[str]:
    head = [failing.second] if failing.second else []
    return [*head, str(count), failing.of, failing.service, failing.rule, failing.reason]
