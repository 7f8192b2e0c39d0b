"""Choice of plain servers on shared hosts, by many gateways.

Guards against hosts that take 2.5 times as long for 0.6 s, two of six at a time, against servers
of different speed, and against gateways that all choose the server which was idle in an old report.
"""

from __future__ import annotations

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.serverload import Case, play
from ringseam.backends import BackendId, BackendReport
from ringseam.calls import ServerLoad
from ringseam.gateway.following.health import HealthTracker
from ringseam.gateway.requests.balancing import (
    LatencyPolicy,
    LeastCompletionPolicy,
    ReportedLoadPolicy,
    TwoChoicesPolicy,
)
from ringseam.routes import ServiceName

SERVERS = [
    BackendReport(
        instance=BackendId(f's{number}'),
        service=ServiceName('plain'),
        address=f's{number}:1',
        zone='ab'[number % 2],
        sequence=1,
        slots=6,
    )
    for number in range(6)
]
POLICIES = (LeastCompletionPolicy, TwoChoicesPolicy)


def report(health, now=0.0, **slowdowns):
    for server in SERVERS:
        load = ServerLoad(
            running=1, waiting=0, slots=6, slowdown=slowdowns.get(server.instance, 1.0)
        )
        health.speeds.reports.record(server.instance, load, now)


def switched_policy(health):
    return ReportedLoadPolicy(
        reported=LeastCompletionPolicy(health=health, zone='a', name='g'),
        other=LatencyPolicy(health=health, zone='a'),
    )


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.floats(0.001, 1),
            st.integers(0, 9),
            st.booleans(),
            st.floats(0, 2),
        )
    )
)
def test_servers_that_report_three_figures_are_chosen_as_before(steps):
    health = HealthTracker()
    policy, former = switched_policy(health), LatencyPolicy(health=health, zone='a')
    now = 0.0
    for number, latency_s, running, fails, passed in steps:
        now += passed
        instance = SERVERS[number].instance
        load = ServerLoad(running=running, waiting=0, slots=6)
        health.speeds.reports.record(instance, load, now)
        health.speeds.observe(
            SERVERS[number].service, instance, expected_s=1, duration_s=latency_s, now=now
        )
        health.record_latency(instance, latency_s)
        health.of(instance).reported_running = running
        health.of(instance).reported_at = now
        if fails:
            health.record_failure(instance, now)
        assert policy.choose(SERVERS, now) is former.choose(SERVERS, now)
        assert policy.cost(SERVERS[number], now) == former.cost(SERVERS[number], now)


@pytest.mark.parametrize('kind', POLICIES)
def test_no_server_is_chosen_of_none_and_an_ejected_one_only_if_all_are(kind):
    health = HealthTracker()
    policy = kind(health=health, zone='a', name='g')
    assert policy.choose([], 0) is None
    for server in SERVERS[1:]:
        health.record_failure(server.instance, 0, hard=True)
    chosen = {policy.choose(SERVERS[:2], 0).instance for _ in range(20)}
    assert chosen == {'s0'}
    assert policy.choose(SERVERS[1:], 0) in SERVERS[1:]


def test_host_that_is_slow_now_is_avoided_and_tried_again_when_the_report_is_old():
    health = HealthTracker()
    policy = switched_policy(health)
    report(health, s0=2.5, s2=2.5)
    local = [server for server in SERVERS if server.zone == 'a']
    assert {policy.choose(local, 0).instance for _ in range(20)} == {'s4'}
    health.of(BackendId('s4')).in_flight = 3
    assert policy.choose(local, 3).instance != 's4'


def test_wait_for_a_permit_counts():
    policy = switched_policy(HealthTracker())
    policy.health.speeds.reports.always = True
    waits = {server.instance: 1.0 for server in SERVERS if server.instance != 's3'}
    assert policy.choose(SERVERS, 0, waits).instance == 's3'


def test_gateways_that_read_the_same_old_report_spread_over_equal_servers():
    counts = collections.Counter()
    for number in range(60):
        health = HealthTracker()
        report(health)
        policy = LeastCompletionPolicy(health=health, zone='c', name=f'g{number}')
        counts[policy.choose(SERVERS, 0.1).instance] += 1
    assert max(counts.values()) < 60 / 2
    assert len(counts) == len(SERVERS)


def test_own_requests_since_a_report_count():
    health = HealthTracker()
    report(health)
    policy = LeastCompletionPolicy(health=health, zone='c', name='g')
    counts = collections.Counter()
    for _ in range(36):
        chosen = policy.choose(SERVERS, 0.1)
        health.speeds.reports.record_send(chosen.instance)
        counts[chosen.instance] += 1
    assert set(counts.values()) == {6}


@pytest.mark.parametrize('seed', [0, 1])
def test_least_work_reaches_hosts_that_are_slow_by_turns(seed):
    case = Case(name='', speeds=(1,) * 6, slots=6, gateways=3, per_s=200, slow=2, seconds=15)
    share, latencies = play(
        case, lambda health, name: LeastCompletionPolicy(health=health, zone='a', name=name), seed
    )
    former, _ = play(case, lambda health, _: LatencyPolicy(health=health, zone='a'), seed)
    # A third of the servers is slow at any time.
    assert share < 0.05
    assert share < former
    # The work takes 30 ms, two trips over the network 2 ms.
    assert sorted(latencies)[int(0.9 * len(latencies))] < 0.04


def test_slow_servers_get_their_share_and_no_more_in_a_burst():
    case = Case(
        name='', speeds=(0.55, 0.9, 1.2), slots=6, gateways=22, per_s=250, slow=0.15, seconds=20
    )
    _, latencies = play(
        case, lambda health, name: LeastCompletionPolicy(health=health, zone='a', name=name), 1
    )
    _, former = play(case, lambda health, _: LatencyPolicy(health=health, zone='a'), 1)
    assert sorted(latencies)[int(0.95 * len(latencies))] < 0.15
    assert sorted(latencies)[int(0.95 * len(latencies))] < sorted(former)[int(0.95 * len(former))]
