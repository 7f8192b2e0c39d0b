"""Figures of accounts that compete, from outcomes that are known."""

from __future__ import annotations

import pytest

from bench.competition import figures_of, harm_of
from ringseam.model.clients import RequestEnd, RequestOutcome


def outcomes(*rows):
    """Return outcomes: account, route, number of requests, and how many were in time."""
    return [
        RequestOutcome(
            route=route,
            sent_at=0,
            value=1,
            account=account,
            end=RequestEnd.on_time if number < in_time else RequestEnd.late,
        )
        for account, route, count, in_time in rows
        for number in range(count)
    ]


def test_figures_name_the_worst_kind_and_account():
    found = figures_of(outcomes(('a', 'x', 10, 10), ('b', 'x', 30, 15), ('b', 'y', 10, 1)))
    assert found['in time'] == pytest.approx(26 / 50)
    assert found['worst kind'] == pytest.approx(0.1)
    assert found['worst account'] == pytest.approx(16 / 40)
    assert found['worst tenth'] == found['worst account']


def test_harm_is_what_the_others_lose():
    before = outcomes(('abuser', 'x', 10, 10), ('b', 'x', 10, 9))
    after = outcomes(('abuser', 'x', 100, 0), ('b', 'x', 10, 7))
    assert harm_of(before, after, 'abuser') == pytest.approx(0.2)
    assert harm_of(before, after, 'abuser', 'x') == pytest.approx(0.2)
