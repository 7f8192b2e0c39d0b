"""Order of backend servers' reports, and the view that is built from them."""

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
        # A change to draining counts with any sequence: the directory marks a server as
        # draining under the sequence of its last report.
        (report(READY, 3), report(DRAINING, 3), True),
        (report(READY, 3), report(DRAINING, 1), True),
        (report(DRAINING, 3), report(READY, 9), False),
        (report(DRAINING, 3), report(DRAINING, 4), True),
        (report(DRAINING, 3), report(GONE, 0), True),
        (report(GONE, 3), report(READY, 9), False),
    ],
)
def test_supersedes(known, new, expected):
    assert supersedes(new, known) is expected


def test_late_report_does_not_restore_a_departed_server():
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


def test_removed_silent_server_is_added_by_a_newer_report():
    view = BackendView()
    view.apply(report(READY, 5))
    view.remove(BackendId('a'))
    assert view.apply(report(READY, 6))
    assert len(view.serving(ServiceName('s'))) == 1


def test_keep_only_removes_all_others():
    view = BackendView()
    view.apply(report(instance='a'))
    view.apply(report(instance='b', address='10.0.0.2:80', zone='y'))
    view.keep_only({BackendId('b')})
    assert view.zones == {'10.0.0.2:80': 'y'}


# -- servers that restart under the same name ---------------------------------


def instances(view):
    return [row.instance for row in view.serving(ServiceName('s'))]


def test_new_lifetime_replaces_the_previous_one():
    view = BackendView()
    view.apply(report(READY, 900, 'a#5'))
    assert view.apply(report(READY, 1, 'a#8'))
    assert instances(view) == ['a#8']


@pytest.mark.parametrize('state', [READY, DRAINING, GONE])
@pytest.mark.parametrize('sequence', [1, 2**53])
def test_late_report_of_a_previous_lifetime_is_ignored(state, sequence):
    view = BackendView()
    view.apply(report(READY, 900, 'a#5'))
    view.apply(report(READY, 1, 'a#8'))
    assert not view.apply(report(state, sequence, 'a#5'))
    assert not view.apply(report(state, sequence, 'a#4'))
    assert instances(view) == ['a#8']


def test_departed_server_is_used_after_a_restart():
    view = BackendView()
    view.apply(report(READY, 3, 'a#5'))
    view.apply(report(GONE, 4, 'a#5'))
    assert view.apply(report(READY, 1, 'a#8'))
    assert instances(view) == ['a#8']


def test_report_with_a_lower_sequence_is_ignored():
    view = BackendView()
    view.apply(report(READY, 3, 'a#5', address='10.0.0.1:80'))
    assert not view.apply(report(READY, 2, 'a#5', address='10.0.0.2:80'))


def test_lifetime_with_an_earlier_start_is_used_once_the_later_one_is_removed():
    view = BackendView()
    view.apply(report(READY, 3, 'a#8'))
    assert not view.apply(report(READY, 1, 'a#7'))
    view.remove(BackendId('a#8'))
    assert view.apply(report(READY, 2, 'a#7'))


def test_index_is_built_once_for_a_full_directory(monkeypatch):
    """Guards against rebuilding the index after every report: with a thousand servers,
    all reported at once to a gateway that has just started, that took 0.26 s of CPU time,
    and gateways have a third of a core."""
    built = []
    original_init = BackendIndex.__init__
    monkeypatch.setattr(
        BackendIndex,
        '__init__',
        lambda self, **fields: built.append(1) or original_init(self, **fields),
    )
    view = BackendView()
    for number in range(1000):
        view.apply(report(instance=f'i{number}', address=f'10.0.{number}.1:80'))
    assert len(view.serving(ServiceName('s'))) == 1000
    assert len(view.zones) == 1000
    assert built == [1]
    view.remove(BackendId('i7'))
    assert len(view.serving(ServiceName('s'))) == 999
    assert '10.0.7.1:80' not in view.zones


def test_removed_server_leaves_no_current_lifetime():
    view = BackendView()
    view.apply(report(READY, 5))
    view.remove(BackendId('a'))
    assert not view.lifetimes
