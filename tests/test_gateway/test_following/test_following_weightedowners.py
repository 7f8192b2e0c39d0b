"""Owners among hosts of uneven size.

Guards against small hosts that decide as much as large ones and lag in bursts; and against
each loss of hosts: a large one that is killed, drained or late, all large ones at once, one
that claims more than it has, a small one alone in its zone. A move costs the state of the
batches of a service, so none may move without need.
"""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import GatewayState
from ringseam.gateway.following.ownership import (
    MoveCause,
    Ownership,
    UniformOrder,
    WeightedOrder,
    order_for,
    rendezvous,
)
from ringseam.hostcapacity import HostCapacity

SERVICES = [f'service-{number}' for number in range(400)]
#: 4 large and 18 small hosts.
SHARES = [1.0] * 4 + [0.25] * 18
LARGE = frozenset(range(4))


class FakeFollower:
    def __init__(self, gateways):
        self.gateways = tuple(gateways)


def hosts(shares, draining=(), busy=()):
    return tuple(
        GatewayState(
            name=f'g{number}',
            address=f'g{number}:1',
            zone='alone' if number == len(shares) - 1 else 'z',
            draining=number in draining,
            busy=number in busy,
            capacity=HostCapacity(cpu_share=share, cores=1),
        )
        for number, share in enumerate(shares)
    )


def owners(gateways, name='observer'):
    ownership = Ownership(follower=FakeFollower(gateways), name=name)
    return {service: ownership.owner_of(service) for service in SERVICES}


def share_of(found, numbers):
    addresses = {f'g{number}:1' for number in numbers}
    return sum(owner in addresses for owner in found.values()) / len(found)


def moved(before, after):
    return {service for service in SERVICES if before[service] != after[service]}


def owned_by(found, numbers):
    addresses = {f'g{number}:1' for number in numbers}
    return {service for service, owner in found.items() if owner in addresses}


names = st.lists(st.text('abc-1', min_size=1, max_size=6), min_size=1, max_size=12, unique=True)


@given(names, st.floats(1e-3, 1e3), st.text(max_size=8))
def test_equal_weights_give_the_order_of_the_unweighted_hash(present, weight, key):
    weighted = WeightedOrder(weights=dict.fromkeys(present, weight))
    assert weighted.first(key, present) == rendezvous(key, present)


@given(names, st.floats(0, 4), st.text(max_size=8), st.booleans())
def test_equal_or_partly_unknown_hosts_are_owners_as_before(present, share, key, one_unknown):
    states = [
        GatewayState(
            name=name, address=name, zone='z', capacity=HostCapacity(cpu_share=share, cores=1)
        )
        for name in present
    ]
    if one_unknown:
        states[0] = GatewayState(name=present[0], address=present[0], zone='z')
    order = order_for(states)
    assert isinstance(order, UniformOrder)
    assert order.first(key, present) == rendezvous(key, present)


def test_services_are_owned_in_proportion_to_processors():
    found = owners(hosts(SHARES))
    expected = sum(SHARES[:4]) / sum(SHARES)
    assert share_of(found, LARGE) == pytest.approx(expected, abs=0.06)
    assert share_of(owners(hosts([1] * 22)), LARGE) == pytest.approx(4 / 22, abs=0.06)


@given(st.lists(st.floats(0.05, 4), min_size=3, max_size=8, unique=True), st.data())
def test_only_services_of_a_host_that_joins_or_leaves_move(shares, data):
    gateways = hosts(shares)
    gone = data.draw(st.integers(0, len(shares) - 1))
    staying = gateways[:gone] + gateways[gone + 1 :]
    whole, without = order_for(gateways), order_for(staying)
    for service in SERVICES[:40]:
        first = whole.first(service, [state.name for state in gateways])
        second = without.first(service, [state.name for state in staying])
        assert first == second or first == f'g{gone}'


@pytest.mark.parametrize('failure', ['killed', 'draining', 'busy'])
def test_large_host_that_fails_loses_its_services_and_no_other_moves(failure):
    before = owners(hosts(SHARES))
    if failure == 'killed':
        after = owners(hosts(SHARES)[1:])
    else:
        after = owners(hosts(SHARES, **{failure: {0}}))
    assert moved(before, after) == owned_by(before, {0})
    assert moved(before, owners(hosts(SHARES))) == set()


def test_small_hosts_share_by_their_weights_while_all_large_ones_are_lost():
    shares = [1.0] * 4 + [0.5] * 6 + [0.25] * 12
    before = owners(hosts(shares))
    after = owners(hosts(shares)[4:])
    assert moved(before, after) == owned_by(before, LARGE)
    assert share_of(after, range(4, 10)) == pytest.approx(0.5, abs=0.08)


def test_large_hosts_that_are_all_late_own_nothing_while_most_hosts_are_in_time():
    assert share_of(owners(hosts(SHARES, busy=LARGE)), LARGE) == 0


def test_host_that_claims_too_much_loses_its_services_when_it_lags():
    shares = [50.0, *[0.25] * 10]
    before = owners(hosts(shares))
    assert share_of(before, {0}) > 0.9
    after = owners(hosts(shares, busy={0}))
    assert share_of(after, {0}) == 0
    assert moved(before, after) == owned_by(before, {0})


def test_small_host_alone_in_its_zone_owns_by_its_processor():
    found = owners(hosts(SHARES))
    assert share_of(found, {21}) < 2.5 * SHARES[21] / sum(SHARES)


def test_gateways_with_one_view_agree_and_each_owns_its_services():
    gateways = hosts(SHARES)
    known = owners(gateways)
    for state in gateways[::5]:
        own = owners(gateways, name=state.name)
        for service, owner in own.items():
            assert known[service] == (owner or state.address)


def test_gateway_that_is_not_listed_yet_agrees_with_the_others():
    """Guards against a new gateway that sends pieces to other owners than all others."""
    gateways = hosts(SHARES)
    assert owners(gateways, name='new') == owners(gateways)


def test_gateways_whose_views_differ_disagree_only_on_the_services_of_the_difference():
    """Two owners at once: only for the services of the host that one of them hasn't seen yet."""
    old, new = owners(hosts(SHARES)), owners(hosts(SHARES)[1:])
    assert moved(old, new) == owned_by(old, {0})


@pytest.mark.parametrize(
    ('failure', 'cause'),
    [('draining', MoveCause.draining), ('busy', MoveCause.busy), ('killed', MoveCause.lost)],
)
def test_only_the_gateway_that_gains_a_service_reports_the_loss_of_its_owner(failure, cause):
    gateways = hosts(SHARES)
    changed = gateways[1:] if failure == 'killed' else hosts(SHARES, **{failure: {0}})
    service = next(iter(owned_by(owners(gateways), {0})))
    successor = owners(changed)[service].partition(':')[0]
    for name in ('g0', successor, next(f'g{n}' for n in range(1, 22) if f'g{n}' != successor)):
        follower = FakeFollower(gateways)
        ownership = Ownership(follower=follower, name=name)
        moves = []
        ownership.on_moved = moves.append
        ownership.owner_of(service)
        follower.gateways = changed
        ownership.owner_of(service)
        if name == successor:
            assert [(move.previous, move.owner, move.cause) for move in moves] == [
                ('g0:1', '', cause)
            ]
        elif name != 'g0':
            assert not moves


def test_owner_that_returns_is_preferred():
    gateways = hosts(SHARES)
    service = next(iter(owned_by(owners(gateways), {0})))
    follower = FakeFollower(gateways[1:])
    ownership = Ownership(follower=follower, name='g0')
    moves = []
    ownership.on_moved = moves.append
    ownership.owner_of(service)
    follower.gateways = gateways
    ownership.owner_of(service)
    assert [(move.owner, move.cause) for move in moves] == [('', MoveCause.preferred)]


def test_changed_zone_or_address_of_a_host_changes_no_other_owner():
    gateways = hosts(SHARES)
    renamed = (msgspec.structs.replace(gateways[0], address='g0:2'), *gateways[1:])
    assert moved(owners(gateways), owners(renamed)) == owned_by(owners(gateways), {0})
