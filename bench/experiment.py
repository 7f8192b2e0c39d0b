"""Patterns of load in virtual time: ``python -m bench.experiment PATTERN.ini ...``.

Plays each pattern with several seeds under the policies in force, in parallel, and
prints a row for each: mean and standard error of the worth less prices, the worth by
route, and what was wasted. ``--json`` keeps the figures; ``--against`` compares with
such a file of another revision, pattern by pattern and seed by seed.
"""

from __future__ import annotations

import json
import logging
import statistics
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated, Any, Optional

import msgspec
import typer

from ringseam.model.experiment import Summary, run_experiment
from ringseam.model.pattern import read_pattern


def play(path: Path, seed: int, features: str | None = None) -> dict[str, Any]:
    """Return the figures of one run."""
    logging.disable(logging.CRITICAL)
    pattern = read_pattern(path.read_text(), path=str(path))
    if features is not None:
        basics = msgspec.structs.replace(pattern.basics, features=features)
        pattern = msgspec.structs.replace(pattern, basics=basics)
    return figures_of(run_experiment(pattern, seed))


def figures_of(summary: Summary) -> dict[str, Any]:
    """Return what is kept of a run."""
    return {
        'net': summary.net_share,
        'worth': summary.value_share,
        'worst windows': summary.worst_windows_share,
        'worst route': summary.worst_route_share,
        'wasted s': summary.wasted_s,
        'crossed GB': summary.cross_zone_gb,
        'on time': summary.on_time_shares,
        'pieces a call': summary.pieces_per_call,
        'earned': summary.route_value_shares,
        'accounts': summary.account_value_shares,
    }


def row_of(name: str, runs: list[dict[str, Any]], before: list[dict[str, Any]]) -> str:
    """Return the printed row of one pattern."""
    net = [run['net'] for run in runs]
    shares = {
        route: statistics.mean(run['earned'][route] for run in runs) for route in runs[0]['earned']
    }
    row = f'{name:12} net {statistics.mean(net):.3f} +- {error_of(net):.3f}'
    row += f'  wasted {statistics.mean(run["wasted s"] for run in runs):5.1f} s  '
    row += '  '.join(f'{route} {share:.2f}' for route, share in sorted(shares.items()))
    by_account = [run['accounts'] for run in runs if len(run['accounts']) > 1]
    if by_account:
        worst = [min(shares.values()) for shares in by_account]
        row += f'  worst account {statistics.mean(worst):.3f} +- {error_of(worst):.3f}'
    if before:
        differences = [run['net'] - other['net'] for run, other in zip(runs, before, strict=True)]
        row += f'  difference {statistics.mean(differences):+.4f} +- {error_of(differences):.4f}'
    return row


def error_of(amounts: list[float]) -> float:
    """Return the standard error of a mean; 0 for one amount."""
    if len(amounts) < 2:
        return 0
    return statistics.stdev(amounts) / len(amounts) ** 0.5


def main(
    patterns: list[Path],
    seeds: Annotated[int, typer.Option(help='Runs of each pattern.')] = 4,
    features: Annotated[
        Optional[str], typer.Option(help='Features in force, instead of those of the patterns.')
    ] = None,
    jobs: Annotated[int, typer.Option(help='Cores to use.')] = 4,
    into: Annotated[Optional[Path], typer.Option('--json', help='Keep the figures.')] = None,
    against: Annotated[Optional[Path], typer.Option(help='Compare with kept figures.')] = None,
) -> None:
    """Play patterns and print a row for each."""
    asked = [(path, seed, features) for path in patterns for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor(jobs) as pool:
        runs = list(pool.map(play, *zip(*asked, strict=True)))
    kept = {
        path.stem: [run for (other, *_), run in zip(asked, runs, strict=True) if other == path]
        for path in patterns
    }
    before = json.loads(against.read_text()) if against else {}
    for name, rows in kept.items():
        typer.echo(row_of(name, rows, before.get(name, [])))
    if into:
        into.write_text(json.dumps(kept, indent=1))


if __name__ == '__main__':
    typer.run(main)
