"""Hosts that are full together, and their readiness checks.

Guards against a host that gets clients which it must refuse; and against the cure: a check that
switches with each client, and a zone whose hosts are all out in a peak that fills all of them.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import GatewayState
from ringseam.gateway.hosts.readiness import HostReadiness

ZONE = 'z'
STEP_S = 0.1


def state(name, *, full=False, draining=False, zone=ZONE):
    return GatewayState(name=name, address=f'{name}:1', zone=zone, full=full, draining=draining)


def run_for(readiness, seconds, *, connections=0.0, held=0.0, start=0.0):
    for step in range(round(seconds / STEP_S) + 1):
        readiness.update(connections=connections, held=held, now=start + step * STEP_S)
    return readiness.is_full


@pytest.mark.parametrize(('connections', 'held'), [(1, 0), (0, 0.85), (1, 1)])
def test_host_that_stays_at_a_bound_is_full(connections, held):
    readiness = HostReadiness(name='g', zone=ZONE)
    assert not run_for(readiness, 0.3, connections=connections, held=held)
    assert run_for(readiness, 0.6, connections=connections, held=held, start=0.4)


def test_full_host_takes_clients_only_after_a_while_well_below_the_bound():
    readiness = HostReadiness(name='g', zone=ZONE)
    run_for(readiness, 1, connections=1)
    assert run_for(readiness, 10, connections=0.9, start=2)
    assert run_for(readiness, 10, connections=0.5, held=0.7, start=12)
    assert run_for(readiness, 1.5, connections=0.5, start=23)
    assert not run_for(readiness, 2.5, connections=0.5, start=24.6)


def test_short_peaks_change_nothing():
    readiness = HostReadiness(name='g', zone=ZONE)
    for second in range(20):
        run_for(readiness, 0.4, connections=1, start=second)
        run_for(readiness, 0.3, connections=0.5, start=second + 0.5)
        assert not readiness.is_full


def full(name):
    readiness = HostReadiness(name=name, zone=ZONE)
    readiness.is_full = True
    return readiness


def is_out(name, gateways):
    """Return whether a full host is out once its announcement has settled."""
    readiness = full(name)
    readiness.is_out(gateways, 0, is_connected=True)
    return readiness.is_out(gateways, 5, is_connected=True)


def test_host_is_out_only_after_others_have_learned_that_it_is_full():
    readiness = full('a')
    free = [state('a'), state('b')]
    known = [state('a', full=True), state('b')]
    assert not readiness.is_out(free, 0, is_connected=True)
    assert not readiness.is_out(free, 10, is_connected=True)
    assert not readiness.is_out(known, 10, is_connected=True)
    assert not readiness.is_out(known, 10.9, is_connected=True)
    assert readiness.is_out(known, 11, is_connected=True)
    readiness.is_full = False
    assert not readiness.is_out(known, 12, is_connected=True)


def test_host_without_contact_to_control_stays_ready():
    """Its announcement doesn't come back."""
    assert not is_out('a', [])
    assert not is_out('a', [state('b'), state('c')])


def test_host_that_loses_contact_to_control_is_ready_again():
    """Its view is as it was: others that have become full since then may be out as well."""
    readiness = full('b')
    frozen = [state('a'), state('b', full=True)]
    readiness.is_out(frozen, 0, is_connected=True)
    assert readiness.is_out(frozen, 2, is_connected=True)
    assert not readiness.is_out(frozen, 3, is_connected=False)
    assert is_out('a', [state('a', full=True), state('b', full=True)])
    # After the contact has returned the announcement has to settle again.
    assert not readiness.is_out(frozen, 4, is_connected=True)
    assert not readiness.is_out(frozen, 4.9, is_connected=True)
    assert readiness.is_out(frozen, 5, is_connected=True)


def test_host_alone_in_its_zone_stays_ready():
    others = [state(name, zone='other') for name in 'bcd']
    assert not is_out('a', [state('a', full=True), *others])


def test_hosts_of_other_zones_do_not_count():
    others = [state(name, full=True, zone='other') for name in 'abc']
    assert is_out('y', [*others, state('y', full=True), state('z')])


def test_gateway_that_sees_half_of_its_zone_out_stays_ready():
    zone = [state('a', full=True), state('b', full=True), state('c', full=True), state('d')]
    assert [is_out(name, zone) for name in 'abc'] == [True, True, False]
    draining = [state('a', draining=True), *zone[1:]]
    assert [is_out(name, draining) for name in 'bc'] == [True, False]
    draining = [state('a', draining=True), state('b', draining=True), *zone[2:]]
    assert not is_out('c', draining)


zones = st.lists(
    st.tuples(st.booleans(), st.booleans(), st.sampled_from(['z', 'y'])), min_size=1, max_size=9
)


@given(zones)
def test_at_most_half_of_a_zone_is_out_by_a_naive_count(members):
    gateways = [
        state(f'g{number}', full=is_full, draining=draining, zone=zone)
        for number, (is_full, draining, zone) in enumerate(members)
    ]
    own = [one for one in gateways if one.zone == ZONE]
    out = [one for one in own if one.full and not one.draining and is_out(one.name, gateways)]
    draining = [one for one in own if one.draining]
    claims = [one for one in own if one.full and not one.draining]
    room = max(0, len(own) // 2 - len(draining))
    assert len(out) == min(len(claims), room)


@given(
    st.lists(st.tuples(st.floats(0, 1.2), st.integers(0, 8)), min_size=2, max_size=8),
    st.lists(st.integers(0, 7), max_size=6),
)
def test_at_most_half_is_out_while_views_are_late(hosts, freed):
    """All hosts are full within a moment; each learns of the others up to 0.8 s later."""
    names = [f'g{number}' for number in range(len(hosts))]
    readiness = {name: HostReadiness(name=name, zone=ZONE) for name in names}
    history = []
    for step in range(80):
        now = step * STEP_S
        history.append([state(name, full=readiness[name].is_full) for name in names])
        out = []
        for number, (name, (starts_at, late_steps)) in enumerate(zip(names, hosts, strict=True)):
            is_busy = now >= starts_at and not (number in freed and now > 4)
            readiness[name].update(connections=float(is_busy), held=0, now=now)
            seen = history[max(0, step - late_steps)]
            if readiness[name].is_out(seen, now, is_connected=True):
                out.append(name)
        assert len(out) <= len(hosts) // 2
