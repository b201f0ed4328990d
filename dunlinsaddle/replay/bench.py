"""All traces under the naive and the current policy: a page of figures and a plot."""

from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from msgspec.structs import replace

from dunlinsaddle.replay.plot import Curve, plot
from dunlinsaddle.replay.report import Figures, checks, figure_names, figures, shown
from dunlinsaddle.replay.run import replay
from dunlinsaddle.replay.trace import Trace

COMPARED = ('naive', 'local', 'current')
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
    rows: list[Row] = []
    missed: list[str] = []
    for trace in traces:
        for policy in COMPARED:
            measured = figures(replay(trace, policy))
            rows.append(Row(trace, policy, measured))
            say(f'{trace.header.name} {policy} goodput {measured.goodput:.3f}')
            missed += _missed(rows[-1])
    out.mkdir(parents=True, exist_ok=True)
    lines = [HEAD, *_sections(rows), '## Outcomes that were missed', '']
    lines += missed or ['None.']
    lines += ['', *_trade(traces, out, say)]
    (out / PAGE).write_text('\n'.join(lines) + '\n', encoding='utf-8')
    return len(missed)


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


def _trade(traces: list[Trace], out: Path, say: Callable[[str], object]) -> list[str]:
    """Run the traces that name a trigger's end under several biases."""
    lines = ['## What recovery_bias trades', '', '| trace | bias | goodput | recovery | wasted |']
    lines.append('|---|---|---|---|---|')
    curves: list[Curve] = []
    for trace in (t for t in traces if t.header.bias_trade):
        points: list[tuple[float, float]] = []
        for bias in BIASES:
            measured = figures(replay(_with_bias(trace, bias), 'current'))
            say(f'{trace.header.name} bias {bias} recovery {shown(measured.recovery)}')
            points.append((measured.goodput, measured.recovery))
            cells = (measured.goodput, measured.recovery, measured.wasted)
            text = ' | '.join(shown(cell) for cell in cells)
            lines.append(f'| {trace.header.name} | {bias:g} | {text} |')
        curves.append(Curve(trace.header.name, points))
    (out / PLOT).write_text(plot(curves), encoding='utf-8')
    return [*lines, '', f'![Recovery against goodput]({PLOT})']


def _with_bias(trace: Trace, bias: float) -> Trace:
    records = {name: record._replace(recovery_bias=bias) for name, record in trace.records.items()}
    return replace(trace, records=records)
