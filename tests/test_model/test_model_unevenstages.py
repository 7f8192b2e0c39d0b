"""Stage servers of different speed on shared hosts, under bursts.

Guards against full calls at slow servers while faster ones would end the pieces sooner: six servers
of each service with speeds from 0.55 to 1.2, and a share of 0.15 of the hosts that takes 2.5 times
as long, changing every 0.6 s.
"""

from __future__ import annotations

import logging
from pathlib import Path

import msgspec
import pytest

from ringseam.model.experiment import Experiment
from ringseam.model.pattern import read_pattern
from ringseam.model.virtualtime import run_virtual

PATH = Path(__file__).parents[2] / 'bench' / 'patterns' / 'unevenstages.ini'
#: Contains the first burst.
LOAD_DURATION_S = 16


@pytest.fixture(autouse=True)
def disable_logging():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def run_uneven(features):
    """Run the pattern with some features; return the summary and the experiment."""
    found = read_pattern(PATH.read_text(), path=str(PATH))
    basics = msgspec.structs.replace(
        found.basics, seconds=LOAD_DURATION_S, gateways=3, features=features
    )
    pattern = msgspec.structs.replace(found, basics=basics)

    async def main(clock):
        experiment = Experiment(pattern=pattern, seed=2, clock=clock)
        return await experiment.run(), experiment

    return run_virtual(main)


def test_more_requests_are_in_time_and_the_owner_knows_the_speeds():
    after, experiment = run_uneven('zone-overflow, server-load')
    before, _ = run_uneven('zone-overflow')
    for route, share in before.on_time_shares.items():
        assert after.on_time_shares[route] >= share
    assert after.value_share > before.value_share
    assert_speeds_are_known(experiment, 'finder')


def assert_speeds_are_known(experiment, service):
    speeds = next(
        gateway.health.speeds
        for gateway in experiment.gateways
        if not gateway.placements.ownership.owner_of(service)
    )
    stages = experiment.servers.stages.values()
    servers = sorted(
        (one for one in stages if one.report.service == service), key=lambda one: one.host.speed
    )
    factors = [speeds.own_factor(one.report, experiment.clock.now()) for one in servers]
    expected = servers[-1].host.speed / servers[0].host.speed
    assert factors[0] / factors[-1] == pytest.approx(expected, rel=0.35)
