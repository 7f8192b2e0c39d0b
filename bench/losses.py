"""Where a played day's worth went: ``python -m bench.losses REPORT LOG --into PAGE``.

REPORT is what the users' bench writes with ``run --report``, LOG its output with
``--log all``. The page shows what was lost by kind of request, by zone, by second
and by price, and, from our own logs, why answers were late, refused or missing.
"""

from __future__ import annotations

import collections
import html
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

from bench.stageaccount import lines_of
from ringseam.plots import ChartBar, bar_chart

#: Answers whose stages took this share of their time and more are late by them.
_STAGES_SHARE = 0.7


@dataclass(frozen=True, kw_only=True)
class Loss:
    """Why one request earned less than it could, by our own log."""

    cause: str
    route: str


def losses_of(rows: list[dict[str, Any]]) -> list[Loss]:
    """Return a loss for each logged request that was not answered in time."""
    judges = {
        'request_answered': _late_cause,
        'request_refused': lambda row: f'refused: {_short(row["detail"])}',
        'request_failed': lambda row: f'failed with {row["status"]}: {_short(row["detail"])}',
        'request_left': lambda row: 'client left',
    }
    losses = []
    for row in rows:
        judge = judges.get(row.get('event_name', ''))
        cause = judge(row) if judge else ''
        if cause:
            losses.append(Loss(cause=cause, route=row.get('route', '')))
    return losses


def page_of(name: str, report: dict[str, Any], losses: list[Loss]) -> str:
    """Return the whole page."""
    causes = collections.Counter(loss.cause for loss in losses)
    plots = [
        bar_chart('Share of worth lost, by kind of request', _missing(report['classes'])),
        bar_chart('Share of worth lost, by zone of clients', _missing(report['zones'])),
        bar_chart('Share of worth lost, by second of sending', _missing(report['windows'])),
        bar_chart('Prices, shares of the day', _prices(report['prices'])),
        bar_chart(
            'Requests by cause, from the log',
            [ChartBar(name=cause, value=count) for cause, count in causes.most_common(20)],
        ),
    ]
    troubles = ''.join(f'<li>{html.escape(_trouble(event))}</li>' for event in report['events'])
    head = f'<h1>{html.escape(name)}: worth {report["G"]:.3f}</h1>'
    return f'<!doctype html><meta charset="utf-8">{head}{"".join(plots)}<ul>{troubles}</ul>\n'


def rows_of(text: str) -> list[dict[str, Any]]:
    """Return the log lines in the bench's output: time, process, JSON."""
    rows = []
    for line in text.splitlines():
        _, brace, rest = line.partition('{')
        if brace and '"event_name"' in rest:
            rows.append(json.loads(brace + rest))
    return rows


def _late_cause(row: dict[str, Any]) -> str:
    if not row['late']:
        return ''
    if row['first_ms'] and row['stages_ms'] >= _STAGES_SHARE * row['first_ms']:
        return 'late: stages'
    return 'late: server' if row['stages_ms'] else 'late: plain request'


def _short(detail: str) -> str:
    """Return a detail without the numbers and addresses that make it unique."""
    words = [word for word in detail.split() if not any(char.isdigit() for char in word)]
    return ' '.join(words)


def _missing(rows: list[dict[str, Any]]) -> list[ChartBar]:
    return [ChartBar(name=row['name'], value=1 - row['worth']) for row in rows]


def _prices(prices: list[list[Any]]) -> list[ChartBar]:
    known = [ChartBar(name=name, value=price) for name, _, price in prices if price > 0]
    return sorted(known, key=lambda chart_bar: -chart_bar.value)


def _trouble(event: dict[str, Any]) -> str:
    return f'{event["at_s"]} to {event["to_s"]} s: {event["kind"]} {event["what"]}'


def main(
    report: Path,
    log: Path,
    into: Annotated[Path, typer.Option(help='The page to write.')],
) -> None:
    """Write the page; print the causes, and what the stages did."""
    rows = rows_of(log.read_text())
    losses = losses_of(rows)
    into.write_text(page_of(report.stem, json.loads(report.read_text()), losses))
    for cause, count in collections.Counter(loss.cause for loss in losses).most_common(20):
        typer.echo(f'{count:6} {cause}')
    for line in lines_of(rows):
        typer.echo(line)


if __name__ == '__main__':
    typer.run(main)
