"""What reaches servers that say something of themselves, under load in virtual time."""

from __future__ import annotations

import logging
from pathlib import Path

import msgspec
import pytest

from ringseam.model.experiment import Experiment
from ringseam.model.pattern import EventKind, PatternEvent, read_pattern
from ringseam.model.virtualtime import run_virtual

PATH = Path(__file__).parents[2] / 'bench' / 'patterns' / 'ending.ini'
#: When servers say something, and until when the load comes, seconds.
AT_S = 4.0
SECONDS = 14
#: A limit binds from this long after it was first named, seconds.
BINDS_S = 3.0
GATEWAYS = 3


@pytest.fixture(autouse=True)
def quiet_log():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def play(kind, service, count, *, factor=1.0, for_s=20.0):
    """Play three kinds of staged requests; return the figures and what came to whom."""
    found = read_pattern(PATH.read_text(), path=str(PATH))
    event = PatternEvent(kind=kind, at=AT_S, for_s=for_s, of=service, count=count, factor=factor)
    basics = msgspec.structs.replace(found.basics, seconds=SECONDS)
    pattern = msgspec.structs.replace(found, basics=basics, events=[event])

    async def main(clock):
        experiment = Experiment(pattern=pattern, seed=1, clock=clock)
        begun = clock.now()
        summary = await experiment.run()
        servers = {**experiment.servers.stages, **experiment.servers.engines}
        hit = [
            [at - begun for at in servers[f'{service}-{number}:1'].saying.arrived]
            for number in range(count)
        ]
        return summary, hit

    return run_virtual(main)


def most_in_4_s(times):
    return max(
        (
            sum(1 for other in times if at - 4 <= other <= at)
            for at in times
            if at >= AT_S + BINDS_S
        ),
        default=0,
    )


@pytest.mark.parametrize(('service', 'count'), [('engine', 1), ('engine', 6), ('ranker', 1)])
def test_limit_holds_under_load_and_is_used(service, count):
    """Servers of a service name a limit of 1 a second for good, one or all of them."""
    summary, hit = play(EventKind.limited, service, count)
    for times in hit:
        assert most_in_4_s(times) <= 11
    later = [at for times in hit for at in times if AT_S + BINDS_S <= at < SECONDS]
    if count == 6:
        assert len(later) >= 0.7 * count * (SECONDS - AT_S - BINDS_S)
    else:
        assert summary.worth > 0.8


@pytest.mark.parametrize(('service', 'count'), [('engine', 1), ('engine', 3), ('ranker', 1)])
def test_servers_are_left_alone_while_they_pause(service, count):
    """Servers turn all away for three seconds and ask for as long a pause."""
    summary, hit = play(EventKind.paused, service, count, for_s=3.0)
    for times in hit:
        within = [at for at in times if AT_S + 0.5 <= at < AT_S + 3]
        # Each gateway hears of it when it is turned away for the first time.
        assert len(within) <= 2 * GATEWAYS
        assert any(at > AT_S + 3 for at in times)
    assert summary.worth > 0.8


@pytest.mark.parametrize('service', ['engine', 'ranker'])
def test_server_that_says_it_leaves_is_left(service):
    """A server says so in its answers alone; control calls it ready for good."""
    summary, hit = play(EventKind.saying, service, 1)
    # Each gateway is told by an answer to itself; one that sends it little hears late.
    later = [at for times in hit for at in times if at > AT_S + 2.5]
    assert len(later) < GATEWAYS
    assert summary.worth > 0.8
