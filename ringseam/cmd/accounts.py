"""``ringseam accounts``: show which client accounts compete for services now."""

from __future__ import annotations

import json
import re
from collections import defaultdict
from typing import Annotated

import typer

from ringseam.cmd.main import app
from ringseam.cmd.metricspages import fetch_pages

_SERIES = re.compile(r'^ringseam_account_(?P<what>\w+)\{(?P<labels>.*)\} (?P<amount>\S+)$')
_LABEL = re.compile(r'(\w+)="([^"]*)"')
#: Amounts per second, in seconds of a stage server or slots of another server.
_AMOUNTS = ('asked', 'used', 'share')
_COLUMNS = ('service', 'rank', 'account', *_AMOUNTS, 'refused')

AccountKey = tuple[str, str, str]
Amounts = dict[str, float]


@app.command()
def accounts(
    gateways: Annotated[
        str, typer.Option('--gateway', help='IP:PORT[,IP:PORT...] of metrics pages.')
    ],
    service: Annotated[str, typer.Option(help='Show only this service.')] = '',
    as_json: Annotated[bool, typer.Option('--json', help='Print JSON.')] = False,
) -> None:
    """Sum what accounts ask, use and may use: ``ringseam accounts --gateway 10.0.0.1:9100``."""
    sums: dict[AccountKey, Amounts] = defaultdict(lambda: defaultdict(float))
    for page in fetch_pages(gateways).values():
        add_account_page(sums, page)
    rows = rows_of(sums, service)
    typer.echo(json.dumps(rows) if as_json else table_of(rows), nl=as_json)


def add_account_page(sums: dict[AccountKey, Amounts], page: str) -> None:
    """Add the amounts in a gateway's metrics page; refusals have no rank."""
    for line in page.splitlines():
        match = _SERIES.match(line)
        if match is None:
            continue
        labels = dict(_LABEL.findall(match['labels']))
        key = (labels.get('service', ''), labels.get('rank', ''), labels.get('account', ''))
        sums[key][match['what']] += float(match['amount'])


def rows_of(sums: dict[AccountKey, Amounts], service: str = '') -> list[dict[str, object]]:
    """Return a row for each account that asks for something, those that ask most first.

    An account whose demand is covered at every gateway has no share.
    """
    rows: list[dict[str, object]] = []
    for (name, rank, account), amounts in sorted(sums.items(), key=_order_of):
        if service not in {'', name} or not (rank or 'refused' in amounts):
            continue
        row: dict[str, object] = {'service': name, 'rank': rank, 'account': account}
        row.update(
            {what: round(amounts[what], 3) for what in _AMOUNTS if what in amounts},
            refused=int(amounts.get('refused', 0)),
        )
        rows.append(row)
    return rows


def table_of(rows: list[dict[str, object]]) -> str:
    """Return the rows as text, with a dash for what doesn't apply."""
    lines = [_COLUMNS, *(tuple(str(row.get(name) or '-') for name in _COLUMNS) for row in rows)]
    widths = [max(len(line[index]) for line in lines) for index in range(len(_COLUMNS))]
    padded = [map(str.ljust, line, widths) for line in lines]
    return ''.join(f'{"  ".join(cells).rstrip()}\n' for cells in padded)


def _order_of(entry: tuple[AccountKey, Amounts]) -> tuple[str, str, float, str]:
    (service, rank, account), amounts = entry
    return service, rank, -amounts.get('asked', 0), account
