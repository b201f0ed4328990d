"""The bench: replays all traces under each policy and writes a page of figures and a plot."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

from msgspec.structs import replace

from dunlinsaddle.replay.plot import Curve, plot
from dunlinsaddle.replay.report import (
    Figures,
    check_outcomes,
    compute_figures,
    format_figure,
    ordered_figure_names,
)
from dunlinsaddle.replay.run import replay
from dunlinsaddle.replay.trace import Trace

COMPARED_POLICIES = ('naive', 'current')
WORKER_PROCESSES = 4
RECOVERY_BIASES = (0.0, 0.25, 0.5, 0.75, 1.0)
PAGE_FILE = 'BENCH.md'
PLOT_FILE = 'bench-recovery-bias.svg'
FIGURE_COLUMNS = (
    'goodput',
    'recovery',
    'critical',
    'wasted',
    'fairness',
    'resends',
    'deaths',
    'median',
)
PAGE_HEADER = """# Bench

Written by `make bench`: each trace of `tests/traces` under three policies. *naive* has a fixed
limit (the true slots), first come first served, and three retries per hop; *local* is the
current policy without what nodes learn of the hops below; *current* is the product's.

Times are in seconds, the others are shares or counts; `docs/TRACES.md` says what each means.
"""


class BenchResult(NamedTuple):
    """The figures of one trace under one policy."""

    trace: Trace
    policy: str
    measured: Figures


def write_bench(traces: list[Trace], out: Path, report_progress: Callable[[str], object]) -> int:
    """Run all replays, write the page and the plot, and return the number of missed outcomes."""
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        jobs = [(trace, policy) for trace in traces for policy in _policies(trace)]
        results: list[BenchResult] = []
        for result in pool.map(_run_job, jobs):
            results.append(result)
            report_progress(
                f'{result.trace.header.name} {result.policy} goodput {result.measured.goodput:.3f}'
            )
        bias_lines = _bias_lines(traces, out, pool)
    missed_lines = [line for result in results for line in _missed_lines(result)]
    lines = [PAGE_HEADER, *_table_lines(results), '## Outcomes that were missed', '']
    lines += [*(missed_lines or ['None.']), '', *bias_lines]
    (out / PAGE_FILE).write_text('\n'.join(lines) + '\n', encoding='utf-8')
    return len(missed_lines)


def _policies(trace: Trace) -> tuple[str, ...]:
    return (*COMPARED_POLICIES, 'local') if trace.header.bias_trade else COMPARED_POLICIES


def _run_job(job: tuple[Trace, str]) -> BenchResult:
    trace, policy = job
    return BenchResult(trace, policy, compute_figures(replay(trace, policy)))


def _missed_lines(result: BenchResult) -> list[str]:
    return [
        f'- {result.trace.header.name}, {result.policy}: {c.expect.metric} {c.expect.op} '
        f'{c.expect.value:g}, measured {format_figure(c.measured)}'
        for c in check_outcomes(result.trace, result.policy, result.measured)
        if not c.met
    ]


def _table_lines(results: list[BenchResult]) -> list[str]:
    """Return one table for the traces that report recovery first, and one for the others."""
    lines: list[str] = []
    for first, title in (('recovery', 'Recovery first'), ('goodput', 'Goodput first')):
        chosen = [result for result in results if result.trace.header.first == first]
        if not chosen:
            continue
        names = [n for n in ordered_figure_names(chosen[0].trace) if n in FIGURE_COLUMNS]
        lines += [f'## {title}', '', f'| trace | policy | {" | ".join(names)} |']
        lines += ['|---' * (len(names) + 2) + '|']
        for result in chosen:
            values = ' | '.join(format_figure(getattr(result.measured, name)) for name in names)
            lines.append(f'| {result.trace.header.name} | {result.policy} | {values} |')
        lines.append('')
    return lines


def _bias_lines(traces: list[Trace], out: Path, pool: ProcessPoolExecutor) -> list[str]:
    """Run the traces with ``bias_trade`` under several recovery biases, and draw the plot."""
    lines = ['## What recovery_bias trades', '', '| trace | bias | goodput | recovery | wasted |']
    lines.append('|---|---|---|---|---|')
    curves: list[Curve] = []
    for trace in (t for t in traces if t.header.bias_trade):
        jobs = [(_with_bias(trace, bias), 'current') for bias in RECOVERY_BIASES]
        figures = [result.measured for result in pool.map(_run_job, jobs)]
        for bias, measured in zip(RECOVERY_BIASES, figures, strict=True):
            cells = (measured.goodput, measured.recovery, measured.wasted)
            text = ' | '.join(format_figure(cell) for cell in cells)
            lines.append(f'| {trace.header.name} | {bias:g} | {text} |')
        curves.append(Curve(trace.header.name, [(m.goodput, m.recovery) for m in figures]))
    out.mkdir(parents=True, exist_ok=True)
    (out / PLOT_FILE).write_text(plot(curves), encoding='utf-8')
    return [*lines, '', f'![Recovery against goodput]({PLOT_FILE})']


def _with_bias(trace: Trace, bias: float) -> Trace:
    records = {name: record._replace(recovery_bias=bias) for name, record in trace.records.items()}
    return replace(trace, records=records)
