"""``trace``: the story of one request, from the log lines of any number of nodes."""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec
from cleo.helpers import argument, option

from dunlinsaddle.cli.definition import JSON_OPTION, BaseCommand, table
from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.status import ExitStatus

HEADINGS = ['TIME', 'INSTANCE', 'DECISION', 'INPUTS']
#: Fields that have a column of their own, or are the same in every line of one request.
_SHOWN = frozenset({'time', 'instance', 'message', 'level', 'domain', 'request_id'})
STDIN = '-'


class Story(NamedTuple):
    """The lines on one request in order of time, and how many lines could not be read."""

    lines: list[dict[str, Any]]
    unreadable: int


def read_story(lines: Iterable[str], request_id: str) -> Story:
    """Pick the lines that name a request.

    A line may carry text before its JSON, as collectors put a time and a source there. Nodes'
    clocks differ by a little, so lines of two nodes within milliseconds may be out of order.
    """
    found: list[dict[str, Any]] = []
    unreadable = 0
    for line in lines:
        if not line.strip():
            continue
        try:
            event = msgspec.json.decode(line[line.index('{') :])
        except (ValueError, msgspec.MsgspecError, RecursionError):
            unreadable += 1
            continue
        if isinstance(event, dict) and event.get('request_id') == request_id:
            found.append(event)
    return Story(sorted(found, key=lambda event: str(event.get('time', ''))), unreadable)


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

    def work(self) -> ExitStatus:
        """Show one line a decision, the earliest first."""
        request_id = self.argument('request-id')
        story = read_story(self._lines(), request_id)
        if story.unreadable:
            self.env.stderr.write(f'{story.unreadable} lines could not be read and were skipped\n')
        if not story.lines:
            what = f'no line names the request {request_id}; give the logs of all nodes'
            raise CommandError(ExitStatus.NOT_FOUND, what)
        self.show(story.lines, table([HEADINGS, *map(_row, story.lines)]))
        return ExitStatus.OK

    def _lines(self) -> Iterator[str]:
        for path in self.argument('files') or [STDIN]:
            if path == STDIN:
                yield from self.env.stdin
                continue
            try:
                with open(path, encoding='utf-8', errors='replace') as file:
                    yield from file
            except OSError as exc:
                raise CommandError(ExitStatus.USAGE, f'{path}: {exc.strerror}') from exc
