"""``ringseam hosts``: what the hosts of the gateways have, hold and decide."""

from __future__ import annotations

import json
import re
from dataclasses import asdict, dataclass, field
from typing import Annotated

import typer

from ringseam.cmd.main import app
from ringseam.cmd.metricspages import fetch_pages

_BYTES_PER_MB = 10**6
_SERIES = re.compile(r'^ringseam_(?P<name>\w+?)(\{(?P<labels>.*)\})? (?P<amount>\S+)$')
_SERVICE = re.compile(r'service="(?P<name>[^"]*)"')


@dataclass(kw_only=True)
class HostReport:
    """What the metrics page of a gateway says of its host."""

    address: str
    #: Sums over the labels, by metric.
    sums: dict[str, float] = field(default_factory=dict)
    #: Services that the gateway decides for.
    owned: list[str] = field(default_factory=list)


@app.command()
def hosts(
    gateways: Annotated[str, typer.Option('--gateway', help='Metrics IP:PORT[,IP:PORT...]')],
    as_json: Annotated[bool, typer.Option('--json', help='Print JSON.')] = False,
) -> None:
    """Show owners and load of all hosts: ``ringseam hosts --gateway 10.0.0.1:9100``."""
    pages = fetch_pages(gateways)
    reports = [read_metrics_page(address, page) for address, page in pages.items()]
    if as_json:
        typer.echo(json.dumps([asdict(report) for report in reports]))
        return
    for report in reports:
        typer.echo(format_report(report))


def read_metrics_page(address: str, page: str) -> HostReport:
    """Return what a metrics page says of a host; metrics that it lacks are missing."""
    report = HostReport(address=address)
    for line in page.splitlines():
        match = _SERIES.match(line)
        if match is None:
            continue
        name, amount = match['name'], float(match['amount'])
        report.sums[name] = report.sums.get(name, 0) + amount
        service = _SERVICE.search(match['labels'] or '')
        if name == 'owned' and amount and service is not None:
            report.owned.append(service['name'])
    return report


def format_report(report: HostReport) -> str:
    """Return a line on a host; figures that its settings don't give are unknown."""
    sums = report.sums
    processor = f'{sums["host_processor"]:g}' if sums.get('host_processor') else 'unknown'
    memory_mb = sums.get('host_memory_bytes', 0) / _BYTES_PER_MB
    parts = [
        f'{report.address}: processor {processor}',
        f'memory {memory_mb:g} MB' if memory_mb else 'memory unknown',
        f'used {sums.get("processor_seconds", 0):.1f} s of processor',
        f'holds {sums.get("held_bytes", 0) / _BYTES_PER_MB:.1f} MB'
        f' ({100 * sums.get("held_share", 0):.0f} % of its bound)',
        f'gave up {sums.get("clients_given_up", 0):g} clients',
        'behind' if sums.get('gateway_behind') else 'in time',
        f'decides for {", ".join(report.owned) or "none"}',
    ]
    return ', '.join(parts)
