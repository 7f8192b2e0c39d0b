"""Two revisions on the same days and seeds: ``python -m bench.panel SITE --revs A B``.

Each revision (a commit, or ``.`` for the tree as it is) is copied below ``--at`` and
built there. The users' bench plays each day with each seed on each of them. Printed are
the mean worth, the paired difference with its standard error, by day, kind and price,
broken rules and faults, and how many days a difference of 0.01 needs.
"""

from __future__ import annotations

import collections
import json
import shutil
import statistics
import subprocess
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Optional

import typer

#: A difference is told from none when it is this many standard errors.
_ERRORS = 2.0
_SMALL = 0.01


@dataclass(frozen=True, kw_only=True)
class Play:
    """One day under one revision."""

    revision: str
    site: Path
    day: str
    seed: int

    @property
    def key(self) -> tuple[str, str, int]:
        """Return what plays of several revisions have in common."""
        return (self.site.stem, self.day, self.seed)


@dataclass(frozen=True, kw_only=True)
class Bench:
    """How days are played: the program, where copies lie, and whether time is charged."""

    program: Path
    folder: Path
    charge_processor: bool
    why: str

    def prepare(self, revision: str) -> None:
        """Copy a revision of the repository and build it."""
        copy = self.copy_of(revision)
        shutil.rmtree(copy, ignore_errors=True)
        subprocess.run(['git', 'clone', '-q', '.', str(copy)], check=True)
        if revision == '.':
            _copy_changes(copy)
        else:
            subprocess.run(['git', '-C', str(copy), 'checkout', '-q', revision], check=True)
        subprocess.run([self.program, 'build'], cwd=copy, check=True, capture_output=True)

    def play(self, play: Play) -> dict[str, Any] | None:
        """Return the report of one day; None when it was not played."""
        copy = self.copy_of(play.revision)
        report = copy.parent / f'{play.site.stem}-{play.day}-{play.seed}.json'
        asked = [self.program, 'run', play.site, play.day, '--seed', str(play.seed)]
        asked += ['--report', report, '--why', self.why]
        if not self.charge_processor:
            asked.append('--no-cpu')
        subprocess.run(asked, cwd=copy, capture_output=True, check=False)
        return json.loads(report.read_text()) if report.exists() else None

    def copy_of(self, revision: str) -> Path:
        """Return where a revision is copied to."""
        name = 'tree' if revision == '.' else revision
        return self.folder / name / 'copy'


def _copy_changes(copy: Path) -> None:
    listed = subprocess.run(
        ['git', 'ls-files', '-m', '-o', '--exclude-standard'],
        capture_output=True,
        text=True,
        check=True,
    )
    for name in listed.stdout.split():
        if Path(name).exists() and not name.startswith('journal/'):
            (copy / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(name, copy / name)


def days_of(site: Path) -> list[str]:
    """Return the standard days of a site but the quiet ones."""
    days = tomllib.loads(site.read_text())['day']
    return [day['name'] for day in days if day.get('slot') != 'quiet']


def table_of(reports: dict[str, list[dict[str, Any]]]) -> list[str]:
    """Return the lines of a table; ``reports`` are paired, by revision."""
    base = next(iter(reports.values()))
    lines = []
    for revision, rows in reports.items():
        line = f'{revision:12} worth {statistics.mean(row["G"] for row in rows):.3f}'
        if rows is not base and len(rows) > 1:
            pairs = zip(rows, base, strict=True)
            line += _difference([row['G'] - other['G'] for row, other in pairs])
        broken = collections.Counter(rule for row in rows for rule in row['breaks'])
        faults = sum(1 for row in rows if row['fault'])
        lines.append(f'{line}  broken {dict(broken) or "none"}  faults {faults}')
        lines.append('    kinds ' + _means(rows, 'classes', lambda kind: kind['worth']))
        lines.append('    prices ' + _prices(rows))
    return lines


def _difference(differences: list[float]) -> str:
    spread = statistics.stdev(differences)
    needed = (_ERRORS * spread / _SMALL) ** 2
    error = spread / len(differences) ** 0.5
    mean = statistics.mean(differences)
    return f'  difference {mean:+.3f} +- {error:.3f} ({needed:.0f} days for {_SMALL})'


def _means(rows: list[dict[str, Any]], field: str, amount: Any) -> str:
    found: dict[str, list[float]] = {}
    for row in rows:
        for part in row[field]:
            found.setdefault(part['name'], []).append(amount(part))
    return ', '.join(f'{name} {statistics.mean(values):.2f}' for name, values in found.items())


def _prices(rows: list[dict[str, Any]]) -> str:
    costs: collections.Counter[str] = collections.Counter()
    for row in rows:
        for name, _, cost in row['prices']:
            costs[name] += cost / len(rows)
    return ', '.join(f'{name} {cost:.3f}' for name, cost in costs.most_common(7))


def main(
    sites: list[Path],
    program: Annotated[Path, typer.Option(help="The users' bench.")],
    at: Annotated[Path, typer.Option(help='Where copies lie; not below /tmp.')],
    revs: Annotated[list[str], typer.Option(help='Revisions, the first to compare with.')],
    days: Annotated[Optional[list[str]], typer.Option(help='Default: all but quiet.')] = None,
    seeds: Annotated[int, typer.Option(help='Seeds a day.')] = 3,
    first_seed: Annotated[int, typer.Option()] = 7001,
    jobs: Annotated[int, typer.Option(help='Days at once.')] = 3,
    cpu: Annotated[bool, typer.Option(help='Charge processor time.')] = False,
    why: Annotated[str, typer.Option(help='A line for the journal.')] = 'panel: trial',
) -> None:
    """Play the days and print a table for each site."""
    bench = Bench(program=program.resolve(), folder=at.resolve(), charge_processor=cpu, why=why)
    for revision in revs:
        bench.prepare(revision)
    plays = [
        Play(revision=revision, site=site.resolve(), day=day, seed=seed)
        for site in sites
        for day in days or days_of(site)
        for seed in range(first_seed, first_seed + seeds)
        for revision in revs
    ]
    with ThreadPoolExecutor(jobs) as pool:
        found = dict(zip(plays, pool.map(bench.play, plays), strict=True))
    for site in sites:
        typer.echo(site.stem)
        for line in table_of(_paired(found, site.stem, revs)):
            typer.echo(f'  {line}')


def _paired(
    found: dict[Play, dict[str, Any] | None],
    site: str,
    revs: list[str],
) -> dict[str, list[dict[str, Any]]]:
    """Return the reports of days that every revision played, in one order."""
    by_key: dict[tuple[str, str, int], dict[str, Any]] = {}
    for play, report in found.items():
        if report is not None and play.site.stem == site:
            by_key.setdefault(play.key, {})[play.revision] = report
    whole = [reports for reports in by_key.values() if len(reports) == len(revs)]
    typer.echo(f'  {len(whole)} days played, {len(by_key) - len(whole)} not on all revisions')
    return {revision: [reports[revision] for reports in whole] for revision in revs}


if __name__ == '__main__':
    typer.run(main)
