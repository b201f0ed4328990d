"""The ``replay`` and ``bench`` commands: compare replays of traces with expected outcomes."""

from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from dunlinsaddle.cli.definition import JSON_OPTION, BaseCommand, format_table
from dunlinsaddle.cli.exceptions import CommandError
from dunlinsaddle.exit_status import ExitStatus
from dunlinsaddle.replay.bench import write_bench
from dunlinsaddle.replay.report import (
    Figures,
    OutcomeCheck,
    check_outcomes,
    compute_figures,
    format_figure,
    ordered_figure_names,
)
from dunlinsaddle.replay.run import POLICIES, replay
from dunlinsaddle.replay.trace import Trace, TraceError, read_trace

DEFAULT_TRACES_DIRECTORY = 'tests/traces'


class ReplayCommand(BaseCommand):
    """Replays a trace and compares the figures with the expected outcomes."""

    name = 'replay'
    description = 'Replay a trace and compare it with its expected outcomes.'
    arguments = [argument('trace', 'File of the trace, JSON lines.')]
    options = [
        JSON_OPTION,
        option('policy', None, f'One of {", ".join(POLICIES)}.', flag=False, default='current'),
    ]

    def run_command(self) -> ExitStatus:
        """Show the figures and the outcomes; return EXPECTATION_NOT_MET if one was missed."""
        policy = self.option('policy')
        if policy not in POLICIES:
            allowed = ', '.join(POLICIES)
            raise CommandError(ExitStatus.USAGE, f'--policy: expected one of {allowed}')
        trace = load_trace(self.argument('trace'))
        measured = compute_figures(replay(trace, policy))
        checks = check_outcomes(trace, policy, measured)
        self.write_result(
            _json_document(trace, policy, measured, checks), _text_lines(trace, measured, checks)
        )
        return ExitStatus.OK if all(c.met for c in checks) else ExitStatus.EXPECTATION_NOT_MET


class BenchCommand(BaseCommand):
    """Replays all traces under each policy and writes the page of figures."""

    name = 'bench'
    description = 'Replay all traces, and write the figures and the plot.'
    options = [
        option(
            'traces', None, 'Directory of the traces.', flag=False, default=DEFAULT_TRACES_DIRECTORY
        ),
        option('out', None, 'Directory for BENCH.md and the plot.', flag=False, default='docs'),
    ]

    def run_command(self) -> ExitStatus:
        """Write the page and the plot; return EXPECTATION_NOT_MET if an outcome was missed."""
        paths = sorted(Path(self.option('traces')).glob('*.jsonl'))
        if not paths:
            raise CommandError(ExitStatus.USAGE, f'{self.option("traces")}: no trace (*.jsonl)')
        traces = [load_trace(str(path)) for path in paths]
        out = Path(self.option('out'))
        missed = write_bench(traces, out, lambda line: self.env.stdout.write(f'{line}\n'))
        return ExitStatus.EXPECTATION_NOT_MET if missed else ExitStatus.OK


def load_trace(path: str) -> Trace:
    """Read a trace file. The CommandError for an invalid trace names the line."""
    try:
        with open(path, encoding='utf-8') as file:
            return read_trace(file)
    except OSError as exc:
        raise CommandError(ExitStatus.USAGE, f'{path}: {exc.strerror}') from None
    except TraceError as exc:
        raise CommandError(ExitStatus.INVALID_RECORD, f'{path}: {exc}') from None


def _json_document(trace: Trace, policy: str, measured: Figures, checks: list[OutcomeCheck]) -> Any:
    return {
        'trace': trace.header.name,
        'policy': policy,
        'figures': measured._asdict(),
        'outcomes': [
            {
                'metric': c.expect.metric,
                'op': c.expect.op,
                'value': c.expect.value,
                'measured': c.measured,
                'met': c.met,
            }
            for c in checks
        ],
    }


def _text_lines(trace: Trace, measured: Figures, checks: list[OutcomeCheck]) -> list[str]:
    rows = [[name, format_figure(getattr(measured, name))] for name in ordered_figure_names(trace)]
    outcome_rows = [
        [
            'met' if c.met else 'MISSED',
            f'{c.expect.metric} {c.expect.op} {c.expect.value:g}',
            f'measured {format_figure(c.measured)}',
        ]
        for c in checks
    ]
    return [*format_table(rows), *([''] if outcome_rows else []), *format_table(outcome_rows)]
