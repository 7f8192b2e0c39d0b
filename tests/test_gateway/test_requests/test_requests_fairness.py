"""Routes that are served much less than others go before their rank."""

from __future__ import annotations

from ringseam.gateway.requests.fairness import Fairness


def ended(fairness, route, rank, *, in_time, of, now=0.0, service='s'):
    for number in range(of):
        fairness.note(route, service, rank, now, in_time=number < in_time)


def test_route_that_is_starved_shares_the_turn_of_the_one_before_it():
    """Load: the first routes take all that a service can do. Grounds: no route is
    to be served less than 0.6 of the mean; 0.7 of the routes before it keeps it there."""
    fairness = Fairness(least=0.7)
    ended(fairness, 'dear', 0, in_time=9, of=10)
    ended(fairness, 'middle', 1, in_time=9, of=10)
    ended(fairness, 'cheap', 2, in_time=2, of=10)
    assert fairness.rank('cheap', 's', 2, 0) == 1
    assert fairness.rank('middle', 's', 1, 0) == 1
    assert fairness.rank('dear', 's', 0, 0) == 0


def test_route_that_is_served_nearly_as_often_keeps_its_rank():
    fairness = Fairness(least=0.7)
    ended(fairness, 'dear', 0, in_time=8, of=10)
    ended(fairness, 'cheap', 2, in_time=6, of=10)
    assert fairness.rank('cheap', 's', 2, 0) == 2


def test_nobody_is_raised_while_all_fail():
    fairness = Fairness(least=0.7)
    ended(fairness, 'dear', 0, in_time=0, of=10)
    ended(fairness, 'cheap', 2, in_time=0, of=10)
    assert fairness.rank('cheap', 's', 2, 0) == 2


def test_route_that_nothing_is_known_of_keeps_its_rank():
    fairness = Fairness(least=0.7)
    assert fairness.rank('new', 's', 2, 0) == 2
    ended(fairness, 'dear', 0, in_time=10, of=10)
    assert fairness.rank('new', 's', 2, 0) == 2


def test_what_is_long_ago_weighs_little():
    fairness = Fairness(least=0.7)
    ended(fairness, 'dear', 0, in_time=10, of=10)
    ended(fairness, 'cheap', 2, in_time=0, of=10)
    ended(fairness, 'cheap', 2, in_time=10, of=10, now=60)
    ended(fairness, 'dear', 0, in_time=10, of=10, now=60)
    assert fairness.rank('cheap', 's', 2, 60) == 2


def test_routes_of_another_service_are_not_compared_with():
    fairness = Fairness(least=0.7)
    ended(fairness, 'dear', 0, in_time=10, of=10, service='other')
    ended(fairness, 'cheap', 2, in_time=2, of=10)
    assert fairness.rank('cheap', 's', 2, 0) == 2


def test_routes_that_nobody_asks_for_are_forgotten():
    fairness = Fairness(least=0.7)
    for number in range(2000):
        ended(fairness, f'r{number}', 0, in_time=1, of=1)
    ended(fairness, 'cheap', 2, in_time=1, of=1, now=100)
    fairness.rank('cheap', 's', 2, 100)
    assert set(fairness.shares) == {'cheap'}
