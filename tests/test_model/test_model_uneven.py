"""Engines of different speed on shared hosts, under load of several gateways.

Guards against requests that wait at a slow engine while a fast one is idle: speeds from 0.55 to
1.2, and a share of 0.15 of the hosts that takes 2.5 times as long, changing every 0.6 s.
"""

from __future__ import annotations

import logging
from pathlib import Path

import msgspec
import pytest

from ringseam.gateway.serverload.reports import LoadReports
from ringseam.model.experiment import Experiment
from ringseam.model.pattern import read_pattern
from ringseam.model.virtualtime import run_virtual

PATH = Path(__file__).parents[2] / 'bench' / 'patterns' / 'uneven.ini'
LOAD_DURATION_S = 12


@pytest.fixture(autouse=True)
def disable_logging():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def run_uneven():
    """Run the pattern; return the summary and the gateways."""
    found = read_pattern(PATH.read_text(), path=str(PATH))
    basics = msgspec.structs.replace(found.basics, seconds=LOAD_DURATION_S, gateways=3)
    pattern = msgspec.structs.replace(found, basics=basics)

    async def main(clock):
        experiment = Experiment(pattern=pattern, seed=1, clock=clock)
        return await experiment.run(), experiment

    return run_virtual(main)


def test_load_and_speed_serve_more_requests_and_read_no_more_prompts_again(monkeypatch):
    after, _ = run_uneven()
    monkeypatch.setattr(LoadReports, 'reports_interference', lambda *_: False)
    before, _ = run_uneven()
    assert after.value_share > before.value_share + 0.03
    assert after.repeated_tokens <= before.repeated_tokens


def test_owner_learns_loads_and_speeds_from_all_gateways():
    _, experiment = run_uneven()
    engines = {engine.report.instance: engine for engine in experiment.servers.engines.values()}
    owner = next(
        gateway
        for gateway in experiment.gateways
        if not gateway.placements.ownership.owner_of('engine')
    )
    speeds = owner.health.speeds
    assert set(speeds.reports.by_server) == set(engines)
    now = experiment.clock.now()
    factors = {name: speeds.own_factor(one.report, now) for name, one in engines.items()}
    ordered = sorted(engines, key=lambda name: engines[name].speed)
    slow, fast = ordered[:4], ordered[-4:]
    assert sum(factors[name] for name in slow) > 1.3 * sum(factors[name] for name in fast)
    # Only the owner knows what else an engine had to read.
    others = [gateway for gateway in experiment.gateways if gateway is not owner]
    assert not any(gateway.health.speeds.services for gateway in others)
