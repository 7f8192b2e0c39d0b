"""Reports of backend servers: which is newer, and what a view believes."""

from __future__ import annotations

import pytest

from ringseam.backends import (
    BackendId,
    BackendIndex,
    BackendReport,
    BackendState,
    BackendView,
    supersedes,
)
from ringseam.routes import ServiceName

READY = BackendState.ready
DRAINING = BackendState.draining
GONE = BackendState.gone


def report(state=READY, sequence=1, instance='a', **fields):
    known = {'service': ServiceName('s'), 'address': '10.0.0.1:80', 'zone': 'z', **fields}
    return BackendReport(instance=BackendId(instance), sequence=sequence, state=state, **known)


@pytest.mark.parametrize(
    ('known', 'new', 'expected'),
    [
        (report(READY, 3), report(READY, 4), True),
        (report(READY, 3), report(READY, 3), False),
        (report(READY, 3), report(READY, 2), False),
        # A server that begins to leave is believed whatever its number: the
        # directory marks it under the number of its last report.
        (report(READY, 3), report(DRAINING, 3), True),
        (report(READY, 3), report(DRAINING, 1), True),
        (report(DRAINING, 3), report(READY, 9), False),
        (report(DRAINING, 3), report(DRAINING, 4), True),
        (report(DRAINING, 3), report(GONE, 0), True),
        (report(GONE, 3), report(READY, 9), False),
    ],
)
def test_which_report_is_newer(known, new, expected):
    assert supersedes(new, known) is expected


def test_late_report_does_not_bring_a_server_back():
    view = BackendView()
    view.apply(report(READY, 1))
    view.apply(report(GONE, 2))
    assert not view.apply(report(READY, 9))
    assert view.serving(ServiceName('s')) == []


def test_draining_server_takes_no_new_work_but_stays_known():
    view = BackendView()
    view.apply(report(READY, 5))
    view.apply(report(DRAINING, 5))
    assert view.serving(ServiceName('s')) == []
    assert BackendId('a') in view.backends


def test_silent_server_may_come_back():
    view = BackendView()
    view.apply(report(READY, 5))
    view.remove(BackendId('a'))
    assert view.apply(report(READY, 6))
    assert len(view.serving(ServiceName('s'))) == 1


def test_keep_only_forgets_the_others():
    view = BackendView()
    view.apply(report(instance='a'))
    view.apply(report(instance='b', address='10.0.0.2:80', zone='y'))
    view.keep_only({BackendId('b')})
    assert view.zones == {'10.0.0.2:80': 'y'}


# -- servers that start again under their names -------------------------------


def instances(view):
    return [row.instance for row in view.serving(ServiceName('s'))]


def test_later_start_takes_the_place_of_the_earlier_one():
    view = BackendView()
    view.apply(report(READY, 900, 'a#5'))
    assert view.apply(report(READY, 1, 'a#8'))
    assert instances(view) == ['a#8']


@pytest.mark.parametrize('state', [READY, DRAINING, GONE])
@pytest.mark.parametrize('sequence', [1, 2**53])
def test_late_report_of_an_earlier_start_changes_nothing(state, sequence):
    view = BackendView()
    view.apply(report(READY, 900, 'a#5'))
    view.apply(report(READY, 1, 'a#8'))
    assert not view.apply(report(state, sequence, 'a#5'))
    assert not view.apply(report(state, sequence, 'a#4'))
    assert instances(view) == ['a#8']


def test_server_that_left_and_started_again_is_used():
    view = BackendView()
    view.apply(report(READY, 3, 'a#5'))
    view.apply(report(GONE, 4, 'a#5'))
    assert view.apply(report(READY, 1, 'a#8'))
    assert instances(view) == ['a#8']


def test_report_of_the_same_start_with_a_lower_number_is_late():
    view = BackendView()
    view.apply(report(READY, 3, 'a#5', address='10.0.0.1:80'))
    assert not view.apply(report(READY, 2, 'a#5', address='10.0.0.2:80'))


def test_start_under_a_clock_that_was_set_back_is_used_once_the_later_one_is_silent():
    view = BackendView()
    view.apply(report(READY, 3, 'a#8'))
    assert not view.apply(report(READY, 1, 'a#7'))
    view.remove(BackendId('a#8'))
    assert view.apply(report(READY, 2, 'a#7'))


def test_whole_directory_is_worked_out_once(monkeypatch):
    """Load: a thousand servers are told at once to a gateway that has just started.
    Grounds: worked out after each report it took 0.26 s of processor, and the gateways
    have a third of a core."""
    worked_out = []
    whole = BackendIndex.__init__
    monkeypatch.setattr(
        BackendIndex,
        '__init__',
        lambda self, **fields: worked_out.append(1) or whole(self, **fields),
    )
    view = BackendView()
    for number in range(1000):
        view.apply(report(instance=f'i{number}', address=f'10.0.{number}.1:80'))
    assert len(view.serving(ServiceName('s'))) == 1000
    assert len(view.zones) == 1000
    assert worked_out == [1]
    view.remove(BackendId('i7'))
    assert len(view.serving(ServiceName('s'))) == 999
    assert '10.0.7.1:80' not in view.zones


def test_server_that_fell_silent_may_come_back_under_an_earlier_start():
    view = BackendView()
    view.apply(report(READY, 5))
    view.remove(BackendId('a'))
    assert not view.lifetimes
