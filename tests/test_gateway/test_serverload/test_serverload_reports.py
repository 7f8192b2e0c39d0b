"""Loads that servers report, on hosts that they share with others.

Guards against reports that are late, of an earlier lifetime, false, or too old to say anything:
a share of 0.15 of the hosts takes 2.5 times as long, and which ones changes every 0.6 s.
"""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import BackendId
from ringseam.calls import ServerLoad
from ringseam.gateway.serverload import reports as reports_module
from ringseam.gateway.serverload.reports import LoadReports

SERVER = BackendId('s1')
SWITCH_S = 0.6


def load(slowdown=None, running=0, waiting=0):
    return ServerLoad(running=running, waiting=waiting, slots=4, slowdown=slowdown)


def noisy_host(rng, seconds):
    """Return the slowdown of a host as a function of time."""
    spans = [2.5 if rng.random() < 0.15 else 1.0 for _ in range(int(seconds / SWITCH_S) + 2)]
    offset = rng.uniform(0, SWITCH_S)
    return lambda at: spans[int((at + offset) / SWITCH_S)]


def estimation_error(decay_s, per_s, monkeypatch):
    """Return the root mean square error of the estimated slowdown."""
    monkeypatch.setattr(reports_module, 'SLOWDOWN_DECAY_S', decay_s)
    rng = random.Random(7)
    squares = []
    for _ in range(20):
        reports, now = LoadReports(), 0.0
        slowdown = noisy_host(rng, 60)
        while now < 60:
            reports.record(SERVER, load(slowdown(now)), now)
            gap_s = rng.expovariate(per_s)
            asked = now + rng.uniform(0, gap_s)
            if 10 < asked < 60:
                squares.append((reports.slowdown_at(SERVER, asked) - slowdown(asked)) ** 2)
            now += gap_s
    return math.sqrt(sum(squares) / len(squares))


@pytest.mark.parametrize('per_s', [1, 3, 10])
def test_decay_errs_less_than_the_mean_alone_and_than_the_newest_report_alone(per_s, monkeypatch):
    errors = {decay: estimation_error(decay, per_s, monkeypatch) for decay in (1e-6, 0.3, 1e6)}
    assert errors[0.3] < errors[1e-6]
    assert errors[0.3] < errors[1e6] or per_s == 10
    assert errors[0.3] < 1.1 * errors[1e6]


def test_fresh_figure_counts_fully_and_an_old_one_not_at_all():
    reports = LoadReports()
    reports.record(SERVER, load(1), 0)
    reports.record(SERVER, load(2.5), 1)
    assert reports.slowdown_at(SERVER, 1) == 2.5
    assert reports.slowdown_at(SERVER, 4) == pytest.approx(
        reports.by_server[SERVER].mean_slowdown, rel=0.01
    )
    assert reports.slowdown_at(SERVER, 4) < 1.2


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 50), st.sampled_from([None, 0.1, 1, 2.5, 90]))
    )
)
def test_newest_report_wins_in_any_order(steps):
    reports, newest = LoadReports(), {}
    for server, at, slowdown in steps:
        instance = BackendId(f's{server}')
        reports.record(instance, load(slowdown, running=at), at)
        if at >= newest.get(instance, (0,))[0]:
            newest[instance] = (at, load(slowdown, running=at))
    assert {name: known.load for name, known in reports.by_server.items()} == {
        name: known for name, (_, known) in newest.items()
    }
    for instance in newest:
        assert 0.5 <= reports.slowdown_at(instance, 60) <= 5


def test_reports_of_an_ended_lifetime_are_dropped():
    reports = LoadReports()
    reports.record(SERVER, load(2.5), 0)
    reports.keep_only({BackendId('s1/2')})
    assert not reports.by_server
    assert not reports.reports_interference([SERVER])
    assert reports.slowdown_at(SERVER, 0) == 1


def test_three_figures_never_put_the_estimates_in_force():
    reports = LoadReports()
    reports.record(SERVER, load(), 0)
    assert not reports.reports_interference([SERVER])
    reports.record(SERVER, load(1), 1)
    assert reports.reports_interference([BackendId('s2'), SERVER])
    assert not reports.reports_interference([BackendId('s2')])
    assert LoadReports(always=True).reports_interference([])


def test_requests_sent_since_a_report_count_until_the_next_one():
    reports = LoadReports()
    reports.record(SERVER, load(running=2, waiting=1), 0)
    reports.record_send(SERVER)
    reports.record_send(BackendId('unknown'))
    assert reports.requests_at(SERVER, 1) == 4
    reports.record(SERVER, load(running=2), 1)
    assert reports.requests_at(SERVER, 1) == 2
    # A report that old says nothing of the requests that run now.
    assert reports.requests_at(SERVER, 4) == 0
