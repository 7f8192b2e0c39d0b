"""Histories of routes, compared with all documents that were in force.

Failure: a process took a route or a time limit that it had not observed for one that had
never been in force.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.routes import ServiceName
from ringseam.streamroutes import RouteHistory, RoutePlace, StreamRoutes

PREFIXES = ('/', '/a/', '/a/b/', '/c/')
SERVICES = tuple(map(ServiceName, ('s', 't', 'u')))
LIMITS_S = (1.0, 4.0, 10.0)


def routes_of(number, services, limits=None):
    """Return routes: services by prefix, and limits by service."""
    limits = limits or {}
    used = frozenset().union(*services.values())
    return StreamRoutes(
        number=number,
        services={RoutePlace('h', prefix): frozenset(names) for prefix, names in services.items()},
        limits_s={service: limits.get(service, 4.0) for service in used},
    )


route_sets = st.dictionaries(
    st.sampled_from(PREFIXES),
    st.frozensets(st.sampled_from(SERVICES), min_size=1, max_size=2),
    min_size=1,
)
limit_sets = st.fixed_dictionaries({service: st.sampled_from(LIMITS_S) for service in SERVICES})
documents = st.lists(
    st.tuples(st.sampled_from([0.5, 2.0, 5.0, 12.0]), route_sets, limit_sets),
    min_size=1,
    max_size=6,
)


def played(drawn):
    """Return when each document came into force, with its routes."""
    at = 0.0
    history = []
    for number, (pause_s, services, limits) in enumerate(drawn, start=1):
        at += pause_s
        history.append((at, routes_of(number, services, limits)))
    return history


def is_alone(history, service, duration_s, now):
    """Return whether no path that led to a service led elsewhere in that time."""
    in_force = [
        routes
        for index, (begun, routes) in enumerate(history)
        if index + 1 == len(history) or history[index + 1][0] > now - duration_s
    ]
    for prefix in PREFIXES:
        reached = frozenset().union(
            *(routes.services_at(RoutePlace('h', prefix)) for routes in in_force)
        )
        if service in reached and len(reached) > 1:
            return False
    return True


def longest_s(history, service, now):
    """Return the longest limit under which a stream may still go on."""
    longest = 0.0
    for index, (_, routes) in enumerate(history):
        limit_s = routes.limits_s.get(service, 0)
        ended = history[index + 1][0] if index + 1 < len(history) else now
        if ended + limit_s > now:
            longest = max(longest, limit_s)
    return longest


def observed(history, first=0):
    """Return what a process knows that runs since before a document came into force."""
    known = RouteHistory()
    for index, (at, routes) in enumerate(history[first:]):
        known.observe(routes, at, is_next=index > 0)
    return known


def check(known, history, now, *, from_start):
    for service in SERVICES:
        for duration_s in (0.4, 2.0, 6.0, 15.0):
            if known.is_alone(service, duration_s=duration_s, now=now):
                assert is_alone(history, service, duration_s, now)
        if from_start:
            assert known.longest_s(service, now) >= longest_s(history, service, now)


@given(documents, st.sampled_from([0.1, 1.0, 8.0, 30.0]))
def test_history_claims_only_what_was_so(drawn, later_s):
    history = played(drawn)
    now = history[-1][0] + later_s
    check(observed(history), history, now, from_start=True)


@given(documents, st.integers(0, 5), st.sampled_from([0.1, 1.0, 8.0, 30.0]))
def test_process_that_starts_later_claims_only_what_was_so(drawn, skipped, later_s):
    history = played(drawn)
    first = min(skipped, len(history) - 1)
    now = history[-1][0] + later_s
    check(observed(history, first), history, now, from_start=False)


@given(documents, st.sampled_from([0.1, 1.0, 8.0, 30.0]), st.sampled_from([0.0, 1.0, 5.0]))
def test_process_that_starts_later_learns_what_another_has_observed(drawn, later_s, told_s):
    history = played(drawn)
    leader, started = observed(history), RouteHistory()
    told_at = history[-1][0] + later_s
    started.learn(leader.report(told_at), told_at)
    started.observe(history[-1][1], told_at + 0.1)
    now = told_at + told_s + 0.2
    check(started, history, now, from_start=True)
    for service in history[-1][1].limits_s:
        for duration_s in (0.4, 2.0, 6.0):
            claimed = leader.is_alone(service, duration_s=duration_s, now=now)
            assert started.is_alone(service, duration_s=duration_s, now=now) == claimed


@pytest.mark.parametrize(
    ('before', 'after', 'alone'),
    [
        ({'/': ['s']}, {'/': ['s'], '/c/': ['s']}, True),
        ({'/a/': ['s']}, {'/a/': ['s'], '/c/': ['t']}, True),
        ({'/a/': ['s']}, {'/a/': ['t'], '/c/': ['s']}, False),
        ({'/a/': ['s']}, {'/a/': ['s'], '/a/b/': ['t']}, False),
        ({'/a/': ['s'], '/a/b/': ['t']}, {'/a/': ['s']}, False),
    ],
)
def test_route_that_takes_over_requests_of_another_one_ends_its_history(before, after, alone):
    known = RouteHistory()
    known.observe(routes_of(1, before), 0)
    known.observe(routes_of(2, after), 50, is_next=True)
    assert known.is_alone(ServiceName('s'), duration_s=10, now=51) is alone
    assert known.is_alone(ServiceName('s'), duration_s=10, now=63)


def test_route_that_returns_with_another_service_ends_its_history():
    known = RouteHistory()
    known.observe(routes_of(1, {'/a/': ['s'], '/c/': ['s']}), 0)
    known.observe(routes_of(2, {'/c/': ['s']}), 50, is_next=True)
    known.observe(routes_of(3, {'/a/': ['t'], '/c/': ['s']}), 52, is_next=True)
    assert not known.is_alone(ServiceName('s'), duration_s=10, now=53)
    assert not known.is_alone(ServiceName('t'), duration_s=10, now=53)


def test_what_was_told_of_another_document_is_not_believed():
    told = observed([(0, routes_of(1, {'/a/': ['s']}))]).report(60)
    known = RouteHistory()
    known.observe(routes_of(2, {'/a/': ['s']}), 60)
    known.learn(told, 60)
    assert not known.is_alone(ServiceName('s'), duration_s=10, now=61)
