"""Command that shows, by client account, how requests ended."""

from __future__ import annotations

import collections
import enum
import json
import types
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from ringseam import timeline as merged_timeline
from ringseam.cmd.main import ExitCode, app
from ringseam.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ringseam.timeline import TimelineEvent


class CallerEnd(enum.Enum):
    """How a request ended for its caller."""

    in_time = 'in time'
    late = 'late'
    refused = 'refused'
    failed = 'failed'


_NO_ACCOUNT = '-'
_ANSWERED = Event.request_answered.number
_ENDS = types.MappingProxyType(
    {
        Event.request_refused.number: CallerEnd.refused,
        Event.request_failed.number: CallerEnd.failed,
    }
)
_SERVER_ERROR = 500


def end_of(event: TimelineEvent) -> CallerEnd | None:
    """Return how an event ended a request; None if it didn't."""
    if event.number == _ANSWERED:
        if event.details.get('status', 0) >= _SERVER_ERROR:
            return CallerEnd.failed
        return CallerEnd.late if event.details.get('late') else CallerEnd.in_time
    return _ENDS.get(event.number)


def count_ends(events: Iterable[TimelineEvent]) -> dict[str, collections.Counter[CallerEnd]]:
    """Count how attempts ended, by account."""
    counts: dict[str, collections.Counter[CallerEnd]] = {}
    for event in events:
        end = end_of(event)
        if end is not None:
            account = event.details.get('account') or _NO_ACCOUNT
            counts.setdefault(account, collections.Counter())[end] += 1
    return counts


def format_ends(counts: Mapping[str, collections.Counter[CallerEnd]]) -> str:
    """Format the counts as a table; the account with the smallest share in time is first."""
    ends = list(CallerEnd)
    rows = [('account', 'requests', *(end.value for end in ends), 'in time %')]
    ordered = sorted(counts, key=lambda name: (_share_in_time(counts[name]), name))
    for account in ordered:
        found = counts[account]
        share = f'{100 * _share_in_time(found):.1f}'
        rows.append((account, str(found.total()), *(str(found[end]) for end in ends), share))
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = (
        '  '.join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )
    return ''.join(f'{line}\n' for line in lines)


@app.command()
def callers(
    logs: Annotated[list[Path], typer.Argument(help='Log files of one or more gateways.')],
    as_json: Annotated[bool, typer.Option('--json', help='Print JSON.')] = False,
) -> None:
    """Count by account how requests ended: ``ringseam callers gateway-*.log``.

    Each attempt of a client counts; one that was refused may have been served later.
    """
    try:
        counts = count_ends(merged_timeline.read_events(logs))
    except OSError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.usage) from None
    if as_json:
        typer.echo(
            json.dumps(
                {
                    account: {end.value: found[end] for end in CallerEnd}
                    for account, found in sorted(counts.items())
                }
            )
        )
        return
    typer.echo(format_ends(counts), nl=False)


def _share_in_time(found: collections.Counter[CallerEnd]) -> float:
    return found[CallerEnd.in_time] / found.total()
