"""Owners while a group is upgraded.

Guards against two owners of one service that are both settled, because gateways of two versions
order the hosts differently.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringseam.backends import GatewayState
from ringseam.gateway.following.ownership import Ownership, UniformOrder, order_for
from ringseam.hostcapacity import UNKNOWN_CAPACITY, HostCapacity

SERVICES = [f'service-{number}' for number in range(400)]
SHARES = [1.0] * 4 + [0.25] * 18


class FakeFollower:
    def __init__(self, gateways):
        self.gateways = tuple(gateways)


def hosts(shares, unknown=(), **flags):
    return tuple(
        GatewayState(
            name=f'g{number}',
            address=f'g{number}:1',
            zone='z',
            capacity=UNKNOWN_CAPACITY
            if number in unknown
            else HostCapacity(cpu_share=share, cores=1),
            **{flag: number in numbers for flag, numbers in flags.items()},
        )
        for number, share in enumerate(shares)
    )


def owners(gateways, services=SERVICES, name='observer'):
    ownership = Ownership(follower=FakeFollower(gateways), name=name)
    return {service: ownership.owner_of(service) for service in services}


def moved(before, after):
    return {service for service in before if before[service] != after[service]}


@pytest.mark.parametrize('backwards', [False, True])
def test_no_service_moves_until_all_hosts_of_a_group_are_known(backwards):
    """Gateways of a former version know no weights; two orders would mean two owners."""
    numbers = list(range(len(SHARES)))[:: -1 if backwards else 1]
    before = owners(hosts(SHARES, unknown=numbers))
    for upgraded in range(1, len(numbers)):
        assert owners(hosts(SHARES, unknown=numbers[upgraded:])) == before
    assert owners(hosts(SHARES)) != before


def test_group_without_a_known_host_owns_as_before():
    assert isinstance(order_for(hosts(SHARES, unknown=range(22))), UniformOrder)
    assert isinstance(order_for(hosts(SHARES, unknown=range(1, 22))), UniformOrder)


@given(st.lists(st.sampled_from([0, 0.1, 0.25, 0.3, 1, 3]), min_size=2, max_size=9), st.randoms())
def test_views_in_any_order_are_equal(shares, dice):
    gateways = list(hosts(shares))
    shuffled = list(gateways)
    dice.shuffle(shuffled)
    services = SERVICES[:33]
    assert owners(gateways, services) == owners(shuffled, services)


@given(st.lists(st.sampled_from([0, 0.25, 0.5, 1, 3]), min_size=2, max_size=9), st.data())
def test_loss_of_a_host_moves_only_its_own_services_where_hosts_are_known(shares, data):
    gateways = hosts([share or 2 for share in shares])
    lost = data.draw(st.integers(0, len(gateways) - 1))
    before = owners(gateways, SERVICES[:60])
    after = owners(gateways[:lost] + gateways[lost + 1 :], SERVICES[:60])
    assert all(before[service] == f'g{lost}:1' for service in moved(before, after))


def test_settled_owner_stays_so_while_others_join_and_leave():
    """Also of stage services: each service is owned by itself, whatever the others are."""
    gateways = hosts(SHARES)
    follower = FakeFollower(gateways)
    ownership = Ownership(follower=follower, name='g0')
    own = [service for service in SERVICES if not ownership.owner_of(service)]
    assert not any(ownership.is_settled(service, 0) for service in own)
    for number in range(1, len(gateways)):
        follower.gateways = gateways[:number] + gateways[number + 1 :]
        assert all(ownership.is_settled(service, 2 + number) for service in own)


def test_one_owner_is_settled_while_one_gateway_after_the_other_is_replaced():
    gateways = hosts(SHARES)
    members = {
        state.name: Ownership(follower=FakeFollower(gateways), name=state.name)
        for state in gateways
    }
    for second, restarted in enumerate(gateways):
        present = tuple(state for state in gateways if state is not restarted)
        for now, view in ((6 * second, present), (6 * second + 3, gateways)):
            for ownership in members.values():
                ownership.follower.gateways = view
            settled = [
                service
                for name, ownership in members.items()
                if name in {state.name for state in view}
                for service in SERVICES[:100]
                if ownership.is_settled(service, now)
            ]
            assert len(settled) == len(set(settled))
            assert settled or not now
