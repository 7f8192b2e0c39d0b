"""Days drawn from all kinds of trouble: ``python -m bench.mixes SITE --days 10``.

The users' bench hunts in the troubles of one site. This draws from each kind and
variant that the bench lists (``bench/days/kinds.toml``), two of each day's kinds
twice, writes a day for each seed, plays it with the bench and prints one line a
day: its worth, and the rules that it broke.
"""

from __future__ import annotations

import json
import random
import subprocess
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import tomli_w
import typer

KINDS = Path(__file__).parent / 'days' / 'kinds.toml'
#: How many faults and how much planned work a day has.
FAULTS = (5, 9)
PLANNED = (3, 5)
#: When an entry may begin, seconds after the start of traffic.
FIRST_S = 0.5
LAST_S = 29.0


@dataclass(kw_only=True)
class Mixer:
    """Draw days for a site."""

    site: Path
    kinds: dict[str, list[dict[str, Any]]]

    def day(self, seed: int) -> dict[str, Any]:
        """Return the day of ``seed``: the same for the same kinds."""
        draw = random.Random(seed)
        pattern = tomllib.loads(self.site.read_text())['day'][-1]
        closing = draw.choice(self.kinds['closing'])
        return {
            'name': f'mix-{seed}',
            'slot': 'trouble',
            'seed': seed,
            'closing': closing,
            'one': 0.6,
            'zero': 0.2,
            'goal': {'floor': 0.05},
            'labels': [],
            'wall': 5.0,
            'light': False,
            'plan': self.entries(draw, 'plan', draw.randint(*PLANNED)),
            'faults': self.entries(draw, 'faults', draw.randint(*FAULTS)),
            'traffic': pattern['traffic'],
        }

    def entries(self, draw: random.Random, part: str, count: int) -> list[dict[str, Any]]:
        """Return ``count`` entries of ``part``, one of them twice."""
        chosen = draw.sample(self.kinds[part], count)
        chosen.append(draw.choice(chosen))
        return [{'at': round(draw.uniform(FIRST_S, LAST_S), 2), **entry} for entry in chosen]


def play(bench: Path, site: Path, day: Path, *, charged: bool) -> str:
    """Play ``day``, keep its report beside it, and return its line."""
    report = day.with_suffix('.json')
    command = [str(bench), 'run', str(site), str(day), '--report', str(report)]
    command.extend(['--why', f'own mix {day.stem}'])
    if not charged:
        command.append('--no-cpu')
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    day.with_suffix('.txt').write_text(done.stdout + done.stderr)
    if not report.exists():
        return f'{day.stem}: not played: {done.stderr[-300:]}'
    return f'{day.stem}: {summary(json.loads(report.read_text()))}'


def summary(report: dict[str, Any]) -> str:
    """Return the worth of a played day, the rules that it broke, and its faults."""
    day = report['days'][0] if 'days' in report else report
    found = {part: day[part] for part in ('breaks', 'fault', 'short', 'missed') if day.get(part)}
    return f'worth {day.get("G", 0):.3f} served {day.get("served", 0):.3f} {found or ""}'


def main(
    site: Path,
    bench: Annotated[Path, typer.Option(help="The users' bench.")],
    into: Annotated[Path, typer.Option(help='Folder for days and reports.')],
    first: Annotated[int, typer.Option(help='Seed of the first day.')] = 1,
    days: int = 10,
    jobs: int = 2,
    charged: Annotated[bool, typer.Option(help='Charge processor time.')] = False,
) -> None:
    """Draw and play days."""
    mixer = Mixer(site=site, kinds=tomllib.loads(KINDS.read_text()))
    into.mkdir(parents=True, exist_ok=True)
    paths = []
    for seed in range(first, first + days):
        path = into / f'{site.stem}-{seed}.toml'
        path.write_text(tomli_w.dumps(mixer.day(seed)))
        paths.append(path)
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        for line in pool.map(lambda path: play(bench, site, path, charged=charged), paths):
            typer.echo(line)


if __name__ == '__main__':
    typer.run(main)
