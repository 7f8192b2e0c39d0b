"""Routes that are served much less than others go before their rank."""

from __future__ import annotations

from ringseam.gateway.requests.fairness import Fairness


def record_requests(fairness, route, rank, *, on_time, count, now=0.0, service='s'):
    for number in range(count):
        fairness.record(route, service, rank, now, on_time=number < on_time)


def test_route_that_is_starved_shares_the_turn_of_the_one_before_it():
    """Load: the first routes take all that a service can do. Grounds: no route is
    to be served less than 0.6 of the mean; 0.7 of the routes before it keeps it there."""
    fairness = Fairness(min_ratio=0.7)
    record_requests(fairness, 'dear', 0, on_time=9, count=10)
    record_requests(fairness, 'middle', 1, on_time=9, count=10)
    record_requests(fairness, 'cheap', 2, on_time=2, count=10)
    assert fairness.effective_rank('cheap', 's', 2, 0) == 1
    assert fairness.effective_rank('middle', 's', 1, 0) == 1
    assert fairness.effective_rank('dear', 's', 0, 0) == 0


def test_route_that_is_served_nearly_as_often_keeps_its_rank():
    fairness = Fairness(min_ratio=0.7)
    record_requests(fairness, 'dear', 0, on_time=8, count=10)
    record_requests(fairness, 'cheap', 2, on_time=6, count=10)
    assert fairness.effective_rank('cheap', 's', 2, 0) == 2


def test_nobody_is_raised_while_all_fail():
    fairness = Fairness(min_ratio=0.7)
    record_requests(fairness, 'dear', 0, on_time=0, count=10)
    record_requests(fairness, 'cheap', 2, on_time=0, count=10)
    assert fairness.effective_rank('cheap', 's', 2, 0) == 2


def test_route_that_nothing_is_known_of_keeps_its_rank():
    fairness = Fairness(min_ratio=0.7)
    assert fairness.effective_rank('new', 's', 2, 0) == 2
    record_requests(fairness, 'dear', 0, on_time=10, count=10)
    assert fairness.effective_rank('new', 's', 2, 0) == 2


def test_what_is_long_ago_weighs_little():
    fairness = Fairness(min_ratio=0.7)
    record_requests(fairness, 'dear', 0, on_time=10, count=10)
    record_requests(fairness, 'cheap', 2, on_time=0, count=10)
    record_requests(fairness, 'cheap', 2, on_time=10, count=10, now=60)
    record_requests(fairness, 'dear', 0, on_time=10, count=10, now=60)
    assert fairness.effective_rank('cheap', 's', 2, 60) == 2


def test_routes_of_another_service_are_not_compared_with():
    fairness = Fairness(min_ratio=0.7)
    record_requests(fairness, 'dear', 0, on_time=10, count=10, service='other')
    record_requests(fairness, 'cheap', 2, on_time=2, count=10)
    assert fairness.effective_rank('cheap', 's', 2, 0) == 2


def test_routes_that_nobody_asks_for_are_forgotten():
    fairness = Fairness(min_ratio=0.7)
    for number in range(2000):
        record_requests(fairness, f'r{number}', 0, on_time=1, count=1)
    record_requests(fairness, 'cheap', 2, on_time=1, count=1, now=100)
    fairness.effective_rank('cheap', 's', 2, 100)
    assert set(fairness.routes) == {'cheap'}
