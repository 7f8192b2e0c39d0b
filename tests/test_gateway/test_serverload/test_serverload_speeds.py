"""Speeds of servers that differ by more than two, on hosts whose slowdown changes.

Guards against estimates that are wrong by three after a start or a change of owner, against
durations that vary by request, and against servers whose reported slowdown is false.
"""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import BackendId, BackendReport
from ringseam.calls import ServerLoad
from ringseam.gateway.serverload.speeds import ObservedSpeeds
from ringseam.routes import ServiceName

SERVICE = ServiceName('llm')
EXPECTED_S = 0.3


def server(name):
    return BackendReport(
        instance=BackendId(name), service=SERVICE, address=f'{name}:1', zone='a', sequence=1
    )


def report(speeds, name, slowdown, now):
    load = ServerLoad(running=1, waiting=0, slots=1, slowdown=slowdown)
    speeds.reports.record(BackendId(name), load, now)


def observe(speeds, name, duration_s, now):
    speeds.observe(SERVICE, BackendId(name), expected_s=EXPECTED_S, duration_s=duration_s, now=now)


def serve(speeds, durations, *, seconds, began=0.0, spread=0.0, seed=1):
    """Let each server work without a pause; durations vary by ``spread`` (logarithm)."""
    rng = random.Random(seed)
    for name, duration_s in durations.items():
        now = began
        while now < began + seconds:
            took_s = duration_s * math.exp(rng.gauss(0, spread))
            now += took_s
            observe(speeds, name, took_s, now)
    return began + seconds


def factors(speeds, names, now):
    return {name: speeds.duration_factor(server(name), now) for name in names}


def test_speeds_within_a_service_are_learned_relative_to_its_mean():
    speeds = ObservedSpeeds()
    now = serve(speeds, {'fast': 0.3 / 1.2, 'slow': 0.3 / 0.55}, seconds=5, spread=0.3)
    found = factors(speeds, ('fast', 'slow', 'new'), now)
    assert found['slow'] / found['fast'] == pytest.approx(1.2 / 0.55, rel=0.35)
    assert found['new'] == 1
    assert speeds.service_factor(SERVICE) == pytest.approx(1 / math.sqrt(1.2 * 0.55), rel=0.25)


@pytest.mark.parametrize('ratio', [3, 1 / 3])
def test_estimate_that_is_wrong_by_three_is_right_after_five_seconds(ratio):
    speeds = ObservedSpeeds()
    others = [f's{number}' for number in range(7)]
    now = serve(speeds, dict.fromkeys((*others, 'odd'), EXPECTED_S), seconds=5)
    now = serve(
        speeds,
        {**dict.fromkeys(others, EXPECTED_S), 'odd': EXPECTED_S * ratio},
        seconds=5,
        began=now,
    )
    found = factors(speeds, (others[0], 'odd'), now)
    assert found['odd'] / found[others[0]] == pytest.approx(ratio, rel=0.25)


def test_deviation_decays_while_a_server_is_idle():
    speeds = ObservedSpeeds()
    now = serve(speeds, {'fast': 0.2, 'slow': 0.6}, seconds=5)
    after = [speeds.duration_factor(server('slow'), now + idle_s) for idle_s in (0, 15, 300)]
    assert after[0] > after[1] > after[2]
    assert after[2] == pytest.approx(1, abs=0.01)


def test_speed_ends_with_the_lifetime():
    speeds = ObservedSpeeds()
    now = serve(speeds, {'fast': 0.2, 'slow': 0.6}, seconds=5)
    speeds.keep_only({BackendId('fast')})
    assert speeds.duration_factor(server('slow'), now) == 1
    assert speeds.service_factor(SERVICE) == pytest.approx(0.2 / EXPECTED_S, rel=0.01)
    speeds.keep_only(set())
    assert not speeds.services


def test_reported_slowdown_is_no_property_of_the_server():
    speeds = ObservedSpeeds()
    rng = random.Random(3)
    for step in range(100):
        for name in ('calm', 'noisy'):
            now = step * 0.3
            slowdown = 2.5 if name == 'noisy' and rng.random() < 0.5 else 1.0
            report(speeds, name, slowdown, now)
            observe(speeds, name, 0.1 * slowdown, now)
    assert speeds.own_factor(server('noisy'), 30) == pytest.approx(1, rel=0.35)
    report(speeds, 'noisy', 2.5, 30)
    report(speeds, 'calm', 1.0, 30)
    found = factors(speeds, ('noisy', 'calm'), 30)
    assert found['noisy'] / found['calm'] > 2


@pytest.mark.parametrize(
    ('said', 'actual'), [(1, 3), (3, 1), (0.01, 1), (99, 1), (99, 3), (0.01, 3)]
)
def test_constant_false_report_is_corrected_by_the_durations(said, actual):
    """The estimate of a server that says idle and is slow, or says slow and is idle."""
    speeds = ObservedSpeeds()
    for step in range(30):
        now = step * 0.3
        for name in ('a', 'b', 'c'):
            report(speeds, name, 1, now)
            observe(speeds, name, EXPECTED_S, now)
        report(speeds, 'liar', said, now)
        observe(speeds, 'liar', EXPECTED_S * actual, now)
    found = factors(speeds, ('a', 'liar'), 9)
    assert found['liar'] / found['a'] == pytest.approx(actual, rel=0.4)


def test_harm_of_reports_that_change_at_the_wrong_times_is_bounded():
    speeds = ObservedSpeeds()
    for step in range(200):
        now = step * 0.3
        slow = step % 2
        report(speeds, 'a', 1, now)
        observe(speeds, 'a', EXPECTED_S, now)
        report(speeds, 'liar', 1 if slow else 99, now)
        observe(speeds, 'liar', EXPECTED_S * (3 if slow else 1), now)
    found = factors(speeds, ('a', 'liar'), 60)
    # Each of the two parts is bounded, and their errors are opposite.
    assert 1 / 4 <= found['liar'] / found['a'] <= 5


@given(
    st.lists(
        st.tuples(
            st.sampled_from('abc'),
            st.floats(1e-6, 1e6),
            st.sampled_from([None, 0.01, 1, 99]),
            st.floats(0, 30),
        ),
        max_size=40,
    )
)
def test_mean_and_factors_are_those_of_a_naive_computation_and_bounded(steps):
    speeds = ObservedSpeeds()
    now = 0.0
    for name, duration_s, slowdown, passed in steps:
        now += passed
        report(speeds, name, slowdown, now)
        observe(speeds, name, duration_s, now)
        known = speeds.services[SERVICE]
        logs = [seen.log_ratio for seen in known.by_server.values()]
        assert known.mean == pytest.approx(math.fsum(logs) / len(logs), abs=1e-9)
        for other in 'abc':
            assert 1 / 4 / 2 <= speeds.duration_factor(server(other), now) <= 4 * 5


@pytest.mark.parametrize(('expected_s', 'duration_s'), [(0, 1), (1, 0), (1, -1), (-1, 1)])
def test_impossible_durations_change_nothing(expected_s, duration_s):
    speeds = ObservedSpeeds()
    speeds.observe(SERVICE, BackendId('a'), expected_s=expected_s, duration_s=duration_s, now=0)
    assert not speeds.services
