"""Levels of what is in use on a host.

Guards against a state that changes with each timer: every change is sent to all gateways.
"""

from __future__ import annotations

import itertools
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import GatewayState
from ringseam.gateway.hosts.load import LevelTracker, LoadMeter
from ringseam.hostcapacity import UNKNOWN_CAPACITY, HostCapacity, HostLoad, LoadLevel

LIMITS = (0.5, 0.85)
STEP_S = 0.1


def run_for(tracker, seconds, share, start=0.0):
    for step in range(round(seconds / STEP_S) + 1):
        tracker.update(share, start + step * STEP_S)
    return tracker.level


@pytest.mark.parametrize(
    ('share', 'level'),
    [(0.49, LoadLevel.low), (0.5, LoadLevel.medium), (0.84, LoadLevel.medium), (2, LoadLevel.high)],
)
def test_level_rises_after_a_second_above_its_limit(share, level):
    tracker = LevelTracker(limits=LIMITS)
    assert run_for(tracker, 0.8, share) is LoadLevel.low
    assert run_for(tracker, 0.4, share, start=0.9) is level


def test_level_falls_late_and_well_below_its_limit():
    tracker = LevelTracker(limits=LIMITS)
    run_for(tracker, 2, 0.9)
    assert run_for(tracker, 30, 0.7, start=2) is LoadLevel.high
    assert run_for(tracker, 9, 0.6, start=33) is LoadLevel.high
    assert run_for(tracker, 1.2, 0.6, start=42.1) is LoadLevel.medium
    assert run_for(tracker, 11, 0.1, start=44) is LoadLevel.low


@pytest.mark.parametrize('seed', range(5))
def test_noise_changes_a_level_at_most_once_in_ten_seconds(seed):
    dice = random.Random(seed)
    tracker = LevelTracker(limits=LIMITS)
    levels = []
    for step in range(6000):
        levels.append(tracker.update(dice.uniform(0, 1.5) ** 2, step * STEP_S))
    falls = sum(after < before for before, after in itertools.pairwise(levels))
    assert falls <= 60


@given(st.lists(st.floats(0, 10), max_size=50))
def test_level_is_never_above_a_naive_one(shares):
    """The level was exceeded at some time before."""
    tracker = LevelTracker(limits=LIMITS)
    highest = 0
    for second, share in enumerate(shares):
        highest = max(highest, sum(share >= limit for limit in LIMITS))
        assert tracker.update(share, second) <= highest


def meter(capacity):
    return LoadMeter(capacity=capacity, now=0, processor_s=3)


def test_processor_time_is_a_share_of_what_the_host_has():
    small = meter(HostCapacity(cpu_share=0.25, cores=1))
    small.measure_processor(3.1, 0.5)
    assert small.processor_share == 0
    small.measure_processor(3.2, 1)
    assert small.processor_share == pytest.approx(0.8)
    small.measure_processor(3.2, 2.5)
    assert small.processor_share == 0


def test_processor_of_an_unknown_host_is_unknown():
    unknown = meter(UNKNOWN_CAPACITY)
    unknown.measure_processor(1000, 1)
    assert unknown.processor_share == 0


def test_each_figure_has_its_level():
    host = meter(HostCapacity(cpu_share=1, cores=1))
    for second in range(3):
        host.measure_processor(3 + 0.6 * second, second)
        load = host.update(late_s=0.3, held=0.1, connections=0.9, now=second)
    assert load.lag is LoadLevel.high
    assert load.held is LoadLevel.low
    assert load.connections is LoadLevel.high
    host.measure_processor(5, 3)
    host.update(late_s=0, held=0, connections=0, now=3)
    assert host.update(late_s=0, held=0, connections=0, now=4).processor is LoadLevel.medium


def test_idle_host_takes_no_bytes_in_its_state():
    host = meter(HostCapacity(cpu_share=1, cores=1))
    load = host.update(late_s=0, held=0, connections=0, now=1)
    assert load == HostLoad()
    state = GatewayState(name='g', address='g:1', zone='z')
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(state)).keys() == {
        'name',
        'address',
        'zone',
    }


def test_state_of_a_version_that_publishes_its_load_is_read():
    state = GatewayState(name='g', address='g:1', zone='z', full=True)
    raw = msgspec.to_builtins(state) | {'load': {'lag': 2, 'held': 1}}
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(raw), type=GatewayState) == state
