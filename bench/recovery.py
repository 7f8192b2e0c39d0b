"""Time to recover, on the users' bench: ``python -m bench.recovery SITE --seeds 20``.

For each fault and seed a short day is played with little traffic and a change of
the configuration every fifth of a second. Printed are the times from the fault to
the first change that the leader accepts after it, and to the first answers at
half of the gateways and at all of them, as percentiles over the seeds.
"""

from __future__ import annotations

import json
import statistics
import subprocess
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import tomli_w
import typer

from bench.losses import rows_of

FAULT_AT_S = 6.0
UNTIL_S = 14.0
#: A fault is let go on for this long before recovery counts from its beginning.
FAULTS: dict[str, dict[str, Any]] = {
    'leader loses power': {'kind': 'node_kill', 'on': 'core', 'count': 1, 'how': 'power leader'},
    'all control killed': {'kind': 'herd_kill', 'on': 'core', 'how': ''},
    'two disks lost': {'kind': 'after_ack_wipe', 'count': 2, 'for_s': 3.0},
    'cut in halves': {'kind': 'core_cut', 'how': 'split', 'for_s': 4.0},
    'all gateways killed': {'kind': 'herd_kill', 'share': 1.0, 'how': ''},
}
#: Requests a second in each zone: few, so that a day takes seconds to play.
TRAFFIC_PER_S = 3.0


@dataclass(frozen=True, kw_only=True)
class Recovery:
    """Seconds from the fault; None where it did not come."""

    accepted: float | None
    half_serving: float | None
    all_serving: float | None


def day_of(site: dict[str, Any], name: str, seed: int) -> dict[str, Any]:
    """Return a short day with one fault."""
    pattern = site['day'][0]
    storm = {'at': 0.5, 'kind': 'config_storm', 'for_s': 13.0, 'gap_s': 0.2, 'how': 'idle'}
    return {
        **{key: pattern[key] for key in ('one', 'zero', 'goal', 'labels', 'wall', 'light')},
        'name': 'recovery',
        'slot': 'trouble',
        'seed': seed,
        'plan': [storm],
        'faults': [{'at': FAULT_AT_S, **FAULTS[name]}],
        'traffic': [{**zone, 'per_s': TRAFFIC_PER_S} for zone in pattern['traffic']],
    }


def recovery_of(rows: list[dict[str, Any]], began: float) -> Recovery:
    """Read one day's log."""
    accepted = [row['at'] for row in rows if row['event_name'] == 'document_accepted']
    firsts: dict[str, float] = {}
    for row in rows:
        if row['event_name'] == 'request_answered' and row['at'] > began and row['status'] == 200:
            firsts.setdefault(row['process'], row['at'] - began)
    gateways = {row['process'] for row in rows if row['event_name'] == 'request_answered'}
    served = sorted(firsts.values())
    half = (len(gateways) + 1) // 2
    return Recovery(
        accepted=next((at - began for at in accepted if at > began), None),
        half_serving=served[half - 1] if 0 < half <= len(served) else None,
        all_serving=served[-1] if served and len(served) == len(gateways) else None,
    )


def play(bench: Path, site: Path, into: Path, name: str, seed: int) -> Recovery | None:
    """Play one day; None when it can't be read."""
    stem = into / f'{site.stem}-{name.replace(" ", "-")}-{seed}'
    day, report = stem.with_suffix('.toml'), stem.with_suffix('.json')
    day.write_text(tomli_w.dumps(day_of(tomllib.loads(site.read_text()), name, seed)))
    command = [str(bench), 'run', str(site), str(day), '--no-cpu', '--log', 'all']
    command.extend(['--until', str(UNTIL_S), '--report', str(report)])
    command.extend(['--why', f'recovery: {name}'])
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    stem.with_suffix('.txt').write_text(done.stdout + done.stderr)
    if not report.exists():
        return None
    fault = FAULTS[name]['kind']
    events = json.loads(report.read_text())['events']
    began = next((event['at_s'] for event in events if event['kind'].startswith(fault)), FAULT_AT_S)
    return recovery_of(timed_rows(done.stdout + done.stderr), began)


def timed_rows(text: str) -> list[dict[str, Any]]:
    """Return log lines with the bench's own time of each as ``at``."""
    rows = []
    for line in text.splitlines():
        for row in rows_of(line):
            rows.append({**row, 'at': float(line.split()[0])})
    return rows


def summary(found: list[float | None]) -> str:
    """Return count, median, 90th percentile and maximum."""
    known = sorted(value for value in found if value is not None)
    if not known:
        return 'none'
    tenth = known[min(len(known) - 1, int(0.9 * len(known)))]
    return (
        f'n {len(known)}/{len(found)} p50 {statistics.median(known):.2f} '
        f'p90 {tenth:.2f} max {known[-1]:.2f} s'
    )


def main(
    site: Path,
    bench: Annotated[Path, typer.Option(help="The users' bench.")],
    into: Annotated[Path, typer.Option(help='Folder for days and reports.')],
    seeds: int = 20,
    jobs: int = 4,
) -> None:
    """Play all faults and print their times."""
    into.mkdir(parents=True, exist_ok=True)
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        for name in FAULTS:
            played = pool.map(
                lambda seed: play(bench, site, into, name, seed),  # noqa: B023
                range(1, seeds + 1),
            )
            found = [recovery for recovery in played if recovery is not None]
            typer.echo(f'{name}: {len(found)} of {seeds} days')
            typer.echo(f'  first change accepted  {summary([one.accepted for one in found])}')
            typer.echo(f'  half of gateways serve {summary([one.half_serving for one in found])}')
            typer.echo(f'  all gateways serve     {summary([one.all_serving for one in found])}')


if __name__ == '__main__':
    typer.run(main)
