"""Requests to servers that announce a limit, a pause or their departure, under load."""

from __future__ import annotations

import logging
from pathlib import Path

import msgspec
import pytest

from ringseam.model.experiment import Experiment
from ringseam.model.pattern import EventKind, PatternEvent, read_pattern
from ringseam.model.virtualtime import run_virtual

PATH = Path(__file__).parents[2] / 'bench' / 'patterns' / 'ending.ini'
#: Time of the first notices, and duration of the load, seconds.
EVENT_AT_S = 4.0
LOAD_DURATION_S = 14
#: The gateways must respect a limit from this time after its first announcement, seconds.
LIMIT_DELAY_S = 3.0
GATEWAYS = 3


@pytest.fixture(autouse=True)
def disable_logging():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def run_event(kind, service, count, *, factor=1.0, for_s=20.0):
    """Run the load with one event; return the summary and the call times of each server."""
    found = read_pattern(PATH.read_text(), path=str(PATH))
    event = PatternEvent(
        kind=kind, at=EVENT_AT_S, for_s=for_s, of=service, count=count, factor=factor
    )
    basics = msgspec.structs.replace(found.basics, seconds=LOAD_DURATION_S)
    pattern = msgspec.structs.replace(found, basics=basics, events=[event])

    async def main(clock):
        experiment = Experiment(pattern=pattern, seed=1, clock=clock)
        started = clock.now()
        summary = await experiment.run()
        servers = {**experiment.servers.stages, **experiment.servers.engines}
        call_times = [
            [at - started for at in servers[f'{service}-{number}:1'].notices.call_times]
            for number in range(count)
        ]
        return summary, call_times

    return run_virtual(main)


def max_calls_in_4_s(times):
    return max(
        (
            sum(1 for other in times if at - 4 <= other <= at)
            for at in times
            if at >= EVENT_AT_S + LIMIT_DELAY_S
        ),
        default=0,
    )


@pytest.mark.parametrize(('service', 'count'), [('engine', 1), ('engine', 6), ('ranker', 1)])
def test_limit_holds_under_load_and_is_used(service, count):
    """One or all servers of a service permanently announce a limit of 1 request per second."""
    summary, call_times = run_event(EventKind.rate_limited, service, count)
    for times in call_times:
        assert max_calls_in_4_s(times) <= 11
    later = [
        at
        for times in call_times
        for at in times
        if EVENT_AT_S + LIMIT_DELAY_S <= at < LOAD_DURATION_S
    ]
    if count == 6:
        assert len(later) >= 0.7 * count * (LOAD_DURATION_S - EVENT_AT_S - LIMIT_DELAY_S)
    else:
        assert summary.value_share > 0.8


@pytest.mark.parametrize(('service', 'count'), [('engine', 1), ('engine', 3), ('ranker', 1)])
def test_servers_get_hardly_any_requests_while_they_pause(service, count):
    """Servers refuse all requests for three seconds and ask for a pause of that length."""
    summary, call_times = run_event(EventKind.paused, service, count, for_s=3.0)
    for times in call_times:
        within = [at for at in times if EVENT_AT_S + 0.5 <= at < EVENT_AT_S + 3]
        # Each gateway learns of the pause when its first request is refused.
        assert len(within) <= 2 * GATEWAYS
        assert any(at > EVENT_AT_S + 3 for at in times)
    assert summary.value_share > 0.8


@pytest.mark.parametrize('service', ['engine', 'ranker'])
def test_server_that_announces_its_departure_gets_hardly_any_requests(service):
    """The server announces it in its responses only; the control group reports it as ready."""
    summary, call_times = run_event(EventKind.announced_leave, service, 1)
    # A gateway learns it from a response to itself, so late if it sends few requests there.
    later = [at for times in call_times for at in times if at > EVENT_AT_S + 2.5]
    assert len(later) < GATEWAYS
    assert summary.value_share > 0.8
