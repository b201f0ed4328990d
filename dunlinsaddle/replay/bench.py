"""All traces under the naive and the current policy: a page of figures and a plot."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

from msgspec.structs import replace

from dunlinsaddle.replay.plot import Curve, plot
from dunlinsaddle.replay.report import Figures, checks, figure_names, figures, shown
from dunlinsaddle.replay.run import replay
from dunlinsaddle.replay.trace import Trace

COMPARED = ('naive', 'current')
WORKERS = 4
BIASES = (0.0, 0.25, 0.5, 0.75, 1.0)
PAGE = 'BENCH.md'
PLOT = 'bench-recovery-bias.svg'
COLUMNS = ('goodput', 'recovery', 'critical', 'wasted', 'fairness', 'resends', 'deaths', 'median')
HEAD = """# Bench

Written by `make bench`: each trace of `tests/traces` under three policies. *naive* has a fixed
limit (the true slots), first come first served, and three retries per hop; *local* is the
current policy without what nodes learn of the hops below; *current* is the product's.

Times are in seconds, the others are shares or counts; `docs/TRACES.md` says what each means.
"""


class Row(NamedTuple):
    """One trace under one policy."""

    trace: Trace
    policy: str
    measured: Figures


def write_bench(traces: list[Trace], out: Path, say: Callable[[str], object]) -> int:
    """Run everything, write the page and the plot; gives the number of missed outcomes."""
    with ProcessPoolExecutor(WORKERS) as pool:
        jobs = [(trace, policy) for trace in traces for policy in _policies(trace)]
        rows: list[Row] = []
        for row in pool.map(_measure, jobs):
            rows.append(row)
            say(f'{row.trace.header.name} {row.policy} goodput {row.measured.goodput:.3f}')
        trade = _trade(traces, out, pool)
    missed = [line for row in rows for line in _missed(row)]
    lines = [HEAD, *_sections(rows), '## Outcomes that were missed', '']
    lines += [*(missed or ['None.']), '', *trade]
    (out / PAGE).write_text('\n'.join(lines) + '\n', encoding='utf-8')
    return len(missed)


def _policies(trace: Trace) -> tuple[str, ...]:
    return (*COMPARED, 'local') if trace.header.bias_trade else COMPARED


def _measure(job: tuple[Trace, str]) -> Row:
    trace, policy = job
    return Row(trace, policy, figures(replay(trace, policy)))


def _missed(row: Row) -> list[str]:
    return [
        f'- {row.trace.header.name}, {row.policy}: {c.expect.metric} {c.expect.op} '
        f'{c.expect.value:g}, measured {shown(c.measured)}'
        for c in checks(row.trace, row.policy, row.measured)
        if not c.met
    ]


def _sections(rows: list[Row]) -> list[str]:
    """Give one table for the traces that put recovery first, one for the others."""
    lines: list[str] = []
    for first, title in (('recovery', 'Recovery first'), ('goodput', 'Goodput first')):
        chosen = [row for row in rows if row.trace.header.first == first]
        if not chosen:
            continue
        names = [n for n in figure_names(chosen[0].trace) if n in COLUMNS]
        lines += [f'## {title}', '', f'| trace | policy | {" | ".join(names)} |']
        lines += ['|---' * (len(names) + 2) + '|']
        for row in chosen:
            values = ' | '.join(shown(getattr(row.measured, name)) for name in names)
            lines.append(f'| {row.trace.header.name} | {row.policy} | {values} |')
        lines.append('')
    return lines


def _trade(traces: list[Trace], out: Path, pool: ProcessPoolExecutor) -> list[str]:
    """Run the traces that ask for it under several biases, and draw the plot."""
    lines = ['## What recovery_bias trades', '', '| trace | bias | goodput | recovery | wasted |']
    lines.append('|---|---|---|---|---|')
    curves: list[Curve] = []
    for trace in (t for t in traces if t.header.bias_trade):
        jobs = [(_with_bias(trace, bias), 'current') for bias in BIASES]
        found = [row.measured for row in pool.map(_measure, jobs)]
        for bias, measured in zip(BIASES, found, strict=True):
            cells = (measured.goodput, measured.recovery, measured.wasted)
            text = ' | '.join(shown(cell) for cell in cells)
            lines.append(f'| {trace.header.name} | {bias:g} | {text} |')
        curves.append(Curve(trace.header.name, [(m.goodput, m.recovery) for m in found]))
    out.mkdir(parents=True, exist_ok=True)
    (out / PLOT).write_text(plot(curves), encoding='utf-8')
    return [*lines, '', f'![Recovery against goodput]({PLOT})']


def _with_bias(trace: Trace, bias: float) -> Trace:
    records = {name: record._replace(recovery_bias=bias) for name, record in trace.records.items()}
    return replace(trace, records=records)
