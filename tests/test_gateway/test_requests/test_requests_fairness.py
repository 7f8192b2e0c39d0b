"""Underserved routes are raised in rank."""

from __future__ import annotations

from ringseam.gateway.requests.fairness import Fairness


def record_requests(fairness, route, rank, *, on_time, count, now=0.0, service='s'):
    for number in range(count):
        fairness.record(route, service, rank, now, on_time=number < on_time)


def test_starved_route_gets_the_rank_of_the_route_before_it():
    """The higher-ranked routes use the full capacity of a service. Each route must reach
    an on-time ratio of 0.6 of the mean; 0.7 of the routes before it ensures that."""
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


def test_no_route_is_raised_while_all_fail():
    fairness = Fairness(min_ratio=0.7)
    record_requests(fairness, 'dear', 0, on_time=0, count=10)
    record_requests(fairness, 'cheap', 2, on_time=0, count=10)
    assert fairness.effective_rank('cheap', 's', 2, 0) == 2


def test_unknown_route_keeps_its_rank():
    fairness = Fairness(min_ratio=0.7)
    assert fairness.effective_rank('new', 's', 2, 0) == 2
    record_requests(fairness, 'dear', 0, on_time=10, count=10)
    assert fairness.effective_rank('new', 's', 2, 0) == 2


def test_old_requests_have_little_weight():
    fairness = Fairness(min_ratio=0.7)
    record_requests(fairness, 'dear', 0, on_time=10, count=10)
    record_requests(fairness, 'cheap', 2, on_time=0, count=10)
    record_requests(fairness, 'cheap', 2, on_time=10, count=10, now=60)
    record_requests(fairness, 'dear', 0, on_time=10, count=10, now=60)
    assert fairness.effective_rank('cheap', 's', 2, 60) == 2


def test_routes_of_another_service_are_ignored():
    fairness = Fairness(min_ratio=0.7)
    record_requests(fairness, 'dear', 0, on_time=10, count=10, service='other')
    record_requests(fairness, 'cheap', 2, on_time=2, count=10)
    assert fairness.effective_rank('cheap', 's', 2, 0) == 2


def test_unused_routes_are_removed():
    fairness = Fairness(min_ratio=0.7)
    for number in range(2000):
        record_requests(fairness, f'r{number}', 0, on_time=1, count=1)
    record_requests(fairness, 'cheap', 2, on_time=1, count=1, now=100)
    fairness.effective_rank('cheap', 's', 2, 100)
    assert set(fairness.routes) == {'cheap'}
