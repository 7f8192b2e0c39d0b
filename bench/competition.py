"""Client accounts that compete: ``python -m bench.competition PATTERN.ini``.

Plays a pattern with several seeds in virtual time and prints the mean shares of the requests
that were answered in time, with standard errors: of all, of the worst kind, of the worst
tenth of the accounts and of the worst account. With ``--abuser ACCOUNT``, each run is
repeated with this account at ten times its usual load; printed is the harm to all others.
"""

from __future__ import annotations

import collections
import logging
import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import msgspec
import typer

from bench.experiment import error_of
from ringseam.model.clients import RequestEnd
from ringseam.model.experiment import Experiment
from ringseam.model.pattern import EventKind, PatternEvent, read_pattern
from ringseam.model.virtualtime import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

    from ringseam.model.clients import RequestOutcome
    from ringseam.model.experiment import Summary

_ABUSE_FACTOR = 10
_TENTH = 0.1


@dataclass(frozen=True, kw_only=True)
class Run:
    """One run of a pattern."""

    path: Path
    seed: int
    features: str
    #: Number of events of the pattern that take place, the first ones.
    events: int | None = None
    #: The account at ten times its usual load; empty: none.
    abuser: str = ''


class _RecordedExperiment(Experiment):
    outcomes: list[RequestOutcome]

    def _summary(self, outcomes: list[RequestOutcome]) -> Summary:
        self.outcomes = outcomes
        return super()._summary(outcomes)


def play(run: Run) -> list[RequestOutcome]:
    """Return the outcomes of all requests of a run."""
    logging.disable(logging.CRITICAL)
    pattern = read_pattern(run.path.read_text(), path=str(run.path))
    events = pattern.events[: run.events]
    if run.abuser:
        abuse = PatternEvent(kind=EventKind.burst, at=0, account=run.abuser, factor=_ABUSE_FACTOR)
        events = [*events, abuse]
    basics = msgspec.structs.replace(pattern.basics, features=run.features)
    pattern = msgspec.structs.replace(pattern, basics=basics, events=events)
    experiments: list[_RecordedExperiment] = []

    async def main(clock):
        experiments.append(_RecordedExperiment(pattern=pattern, seed=run.seed, clock=clock))
        return await experiments[0].run()

    run_virtual(main)
    return experiments[0].outcomes


def shares_in_time(
    outcomes: list[RequestOutcome], key_of: Callable[[RequestOutcome], str]
) -> list[float]:
    """Return the shares of the requests in time of each kind or account, the lowest first."""
    counts: dict[str, list[bool]] = collections.defaultdict(list)
    for outcome in outcomes:
        counts[key_of(outcome)].append(outcome.end is RequestEnd.on_time)
    return sorted(map(statistics.mean, counts.values()))


def figures_of(outcomes: list[RequestOutcome]) -> dict[str, float]:
    """Return the shares of the requests in time."""
    accounts = shares_in_time(outcomes, lambda outcome: outcome.account)
    return {
        'in time': shares_in_time(outcomes, lambda outcome: '')[0],
        'worst kind': shares_in_time(outcomes, lambda outcome: outcome.route)[0],
        'worst tenth': statistics.mean(accounts[: max(1, round(_TENTH * len(accounts)))]),
        'worst account': accounts[0],
    }


def harm_of(
    before: list[RequestOutcome], after: list[RequestOutcome], abuser: str, route: str = ''
) -> float:
    """Return what all accounts but the abuser lose of their share in time, on one route or all."""
    shares = [
        figures_of([one for one in outcomes if one.account != abuser and route in {'', one.route}])[
            'in time'
        ]
        for outcomes in (before, after)
    ]
    return shares[0] - shares[1]


def row_of(name: str, amounts: list[float]) -> str:
    """Return a printed figure with its standard error."""
    return f'{name} {statistics.mean(amounts):.3f} +- {error_of(amounts):.3f}'


def main(
    path: Path,
    seeds: Annotated[int, typer.Option(help='Runs of the pattern.')] = 5,
    features: Annotated[str, typer.Option(help='Features in force.')] = 'account-shares',
    events: Annotated[int, typer.Option(help='Only the first events; -1: all.')] = -1,
    abuser: Annotated[str, typer.Option(help='Account at ten times its load.')] = '',
    jobs: Annotated[int, typer.Option(help='Cores to use.')] = 4,
) -> None:
    """Play a pattern and print its figures."""
    limit = None if events < 0 else events
    runs = [
        Run(path=path, seed=seed, features=features, events=limit, abuser=name)
        for name in sorted({'', abuser})
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        found = list(pool.map(play, runs))
    figures = list(map(figures_of, found[:seeds]))
    typer.echo('  '.join(row_of(name, [one[name] for one in figures]) for name in figures[0]))
    pairs = list(zip(found[:seeds], found[seeds:], strict=False))
    for route in ('', *sorted({outcome.route for outcome in found[0]})) if pairs else ():
        harms = [harm_of(*pair, abuser, route) for pair in pairs]
        typer.echo(row_of(f'harm of {abuser} to others, {route or "all"}:', harms))


if __name__ == '__main__':
    typer.run(main)
