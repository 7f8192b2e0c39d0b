"""Ranks of requests, and the value of a response."""

from __future__ import annotations

from itertools import product

import pytest

from ringseam.gateway.priorities import engine_urgency, rank_of, response_value, route_priority


def test_route_decides_among_accounts_of_equal_priority():
    """When all accounts had priority 1, requests of the highest value waited behind those
    of the lowest."""
    assert rank_of(0, 1) < rank_of(1, 1) < rank_of(2, 1)
    assert (
        engine_urgency(rank_of(0, 1))
        < engine_urgency(rank_of(1, 1))
        < engine_urgency(rank_of(2, 1))
    )


def test_account_priority_goes_before_route_priority():
    assert rank_of(9, 0) < rank_of(0, 1)
    assert engine_urgency(rank_of(9, 0)) < engine_urgency(rank_of(0, 1))


def test_accounts_without_a_priority_are_ranked_by_route():
    assert rank_of(0, None) < rank_of(1, None)
    assert rank_of(1, None) == rank_of(1, 1)


@pytest.mark.parametrize(('route', 'account'), list(product((0, 1, 5, 200), (None, 0, 1, 7))))
def test_rank_contains_the_route_priority_and_maps_to_an_engine_urgency(route, account):
    rank = rank_of(route, account)
    assert route_priority(rank) == min(route, 99)
    assert 0 <= engine_urgency(rank) <= 9


def test_value_falls_with_the_priority_and_with_lateness():
    assert response_value(0) > response_value(1) > response_value(1, late=True)
