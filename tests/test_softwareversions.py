"""The history of the software versions of services."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.routes import ServiceName
from ringseam.softwareversions import UniformVersion, VersionHistory

SERVICE = ServiceName('writers')
OLD, NEW = frozenset({'v1'}), frozenset({'v2'})


def history_of(*observations):
    history = VersionHistory()
    for now, versions in observations:
        history.observe({SERVICE: versions}, now)
    return history


def uniform(history, *, duration_s, now):
    return history.uniform_version(SERVICE, duration_s=duration_s, now=now)


@pytest.mark.parametrize(
    ('observations', 'now', 'expected'),
    [
        ([], 100, None),
        ([(0, OLD)], 9, None),
        ([(0, OLD)], 10, 'v1'),
        ([(0, OLD), (5, OLD)], 10, 'v1'),
        ([(0, OLD), (5, OLD | NEW)], 100, None),
        ([(0, OLD), (5, OLD | NEW), (6, OLD)], 15, None),
        ([(0, OLD), (5, OLD | NEW), (6, OLD)], 16, 'v1'),
        ([(0, OLD), (50, NEW)], 55, None),
        ([(0, OLD), (50, NEW)], 60, 'v2'),
        # A server that names no version counts as one of a version of its own.
        ([(0, frozenset({''}))], 10, ''),
        ([(0, frozenset({'', 'v1'}))], 100, None),
    ],
)
def test_version_is_uniform_once_no_other_has_served_for_long(observations, now, expected):
    assert uniform(history_of(*observations), duration_s=10, now=now) == expected


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.frozensets(st.sampled_from(['v1', 'v2']), min_size=1)),
        min_size=1,
        max_size=12,
    ),
    st.integers(0, 6),
)
def test_uniform_version_is_the_only_one_of_all_observations_in_the_window(steps, later):
    """The naive version keeps all observations, the last of which holds until now."""
    now = 0
    observations = []
    for pause, versions in steps:
        now += pause
        observations.append((now, versions))
    now += later
    window = [versions for at, versions in observations if at > now - 5]
    window += [versions for at, versions in observations if at <= now - 5][-1:]
    began = observations[0][0] <= now - 5
    served = frozenset().union(*window)
    expected = next(iter(served)) if began and len(served) == 1 else None
    assert uniform(history_of(*observations), duration_s=5, now=now) == expected


def test_restart_forgets_how_long_versions_have_served():
    history = history_of((0, OLD))
    history.restart(20)
    assert uniform(history, duration_s=10, now=29) is None
    assert uniform(history, duration_s=10, now=30) == 'v1'


def test_longer_history_of_another_process_is_learned_only_for_the_same_version():
    history = history_of((100, OLD))
    history.learn([UniformVersion(service=SERVICE, software='v2', duration_s=50)], 101)
    assert uniform(history, duration_s=10, now=101) is None
    history.learn([UniformVersion(service=SERVICE, software='v1', duration_s=50)], 101)
    assert uniform(history, duration_s=50, now=101) == 'v1'


def test_report_counts_from_when_all_servers_were_known():
    history = history_of((0, OLD))
    history.observe({ServiceName('mixed'): OLD | NEW}, 0)
    assert history.report(complete_since=4, now=4) == ()
    assert history.report(complete_since=4, now=10) == (
        UniformVersion(service=SERVICE, software='v1', duration_s=6),
    )
