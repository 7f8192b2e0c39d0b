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
_KIND = re.compile(r'kind="(?P<name>[^"]*)"')
_LEVELS = ('low', 'medium', 'high')
_MS_PER_S = 1000
_SERVICE = re.compile(r'service="(?P<name>[^"]*)"')


@dataclass(kw_only=True)
class HostReport:
    """What the metrics page of a gateway says of its host."""

    address: str
    #: Sums over the labels, by metric.
    sums: dict[str, float] = field(default_factory=dict)
    #: What is in use, as the gateway publishes it: levels by kind.
    load: dict[str, str] = field(default_factory=dict)
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
        if match is not None:
            _add_series(report, match['name'], match['labels'] or '', float(match['amount']))
    return report


def _add_series(report: HostReport, name: str, labels: str, amount: float) -> None:
    report.sums[name] = report.sums.get(name, 0) + amount
    kind = _KIND.search(labels)
    if name == 'host_load' and kind is not None:
        report.load[kind['name']] = _LEVELS[int(amount)]
    service = _SERVICE.search(labels)
    if name == 'owned' and amount and service is not None:
        report.owned.append(service['name'])


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
        *_load_parts(report),
        'behind' if sums.get('gateway_behind') else 'in time',
        f'decides for {", ".join(report.owned) or "none"}',
    ]
    return ', '.join(parts)


def _load_parts(report: HostReport) -> list[str]:
    """Return what is in use; nothing if the gateway doesn't measure it."""
    sums = report.sums
    if not report.load:
        return []
    late_ms = _MS_PER_S * sums.get('event_loop_late_seconds', 0)
    bound = sums.get('client_connections_bound', 0)
    return [
        f'timers {late_ms:.0f} ms late ({report.load.get("lag")})',
        f'{100 * sums.get("processor_share", 0):.0f} % of processor'
        f' ({report.load.get("processor")})',
        f'{sums.get("client_connections", 0):g} of {f"{bound:g}" if bound else "any number of"}'
        f' clients ({report.load.get("connections")})',
        'full, not ready' if sums.get('host_out') else _readiness_of(sums),
    ]


def _readiness_of(sums: dict[str, float]) -> str:
    return 'full, ready' if sums.get('host_full') else 'has room'
